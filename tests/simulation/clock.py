"""The unit of virtual time."""

from quinceslip.coordination.actor.timing import SECOND

SECOND_US = SECOND
