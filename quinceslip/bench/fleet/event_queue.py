"""Event queue with virtual time."""

import heapq
from collections.abc import Callable
from typing import NamedTuple


class _Event(NamedTuple):
    """A scheduled action; actions for the same time run in the order in which they were scheduled."""

    at_us: int
    sequence_number: int
    action: Callable[[], None]


class EventQueue:
    """Scheduled actions, ordered by time."""

    def __init__(self) -> None:
        """Create an empty queue at time 0."""
        self.now_us = 0
        self._events: list[_Event] = []
        self._scheduled_count = 0

    def schedule(self, delay_us: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay of at least one microsecond."""
        self._scheduled_count += 1
        at_us = self.now_us + max(1, int(delay_us))
        heapq.heappush(self._events, _Event(at_us, self._scheduled_count, action))

    def run_until(self, end_us: int) -> None:
        """Run all actions up to and including `end_us`, also those that are scheduled meanwhile."""
        # Bound: an action is scheduled at least a microsecond later than the one that schedules it.
        while self._events and self._events[0].at_us <= end_us:
            event = heapq.heappop(self._events)
            self.now_us = event.at_us
            event.action()
