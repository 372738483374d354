"""Virtual time."""

import heapq
from collections.abc import Callable
from typing import NamedTuple


class _Event(NamedTuple):
    """An action at its time; of one time, the one that was scheduled first comes first."""

    at_us: int
    number: int
    action: Callable[[], None]


class EventQueue:
    """Actions in the order of their times."""

    def __init__(self) -> None:
        """An empty queue at time 0."""
        self.now_us = 0
        self._events: list[_Event] = []
        self._scheduled = 0

    def after(self, delay_us: float, action: Callable[[], None]) -> None:
        """Run an action later, by a microsecond at least."""
        self._scheduled += 1
        at_us = self.now_us + max(1, int(delay_us))
        heapq.heappush(self._events, _Event(at_us, self._scheduled, action))

    def run_until(self, end_us: int) -> None:
        """Run all actions up to and including a time, also those that are scheduled meanwhile."""
        # Bound: the time rises with each action that schedules another one.
        while self._events and self._events[0].at_us <= end_us:
            event = heapq.heappop(self._events)
            self.now_us = event.at_us
            event.action()
