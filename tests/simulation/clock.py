"""The unit of virtual time: microseconds in one second."""

from quinceslip.coordination.actor.timing import SECOND

SECOND_US = SECOND
