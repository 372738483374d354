"""The unit of virtual time."""

from quinceslip.coordination.actor.timing import SECOND

US = SECOND
