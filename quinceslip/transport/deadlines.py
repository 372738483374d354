"""A queue of deadlines that all have the same duration."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class DeadlineQueue(Generic[Key]):
    """Deadlines by key. All have the same duration, so they expire in the order of their start: O(1) per operation."""

    def __init__(self, duration_us: int) -> None:
        self.duration_us = duration_us
        self._deadlines_us: OrderedDict[Key, int] = OrderedDict()  # in order of start

    def __contains__(self, key: Key) -> bool:
        return key in self._deadlines_us

    def start(self, key: Key, now_us: int) -> None:
        """Start the deadline of a key, or restart it."""
        self._deadlines_us[key] = now_us + self.duration_us
        self._deadlines_us.move_to_end(key)

    def cancel(self, key: Key) -> None:
        """Remove a key, if present."""
        self._deadlines_us.pop(key, None)

    def next_us(self) -> int | None:
        """Return the earliest deadline; None if there is none."""
        return next(iter(self._deadlines_us.values()), None)

    def pop_expired(self, now_us: int) -> list[Key]:
        """Remove and return the keys whose deadline has passed."""
        expired: list[Key] = []
        for key, deadline_us in self._deadlines_us.items():
            if deadline_us > now_us:
                break
            expired.append(key)
        for key in expired:
            del self._deadlines_us[key]
        return expired
