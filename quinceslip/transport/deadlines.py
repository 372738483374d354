"""Deadlines of many keys that all get the same time."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class DeadlineQueue(Generic[Key]):
    """Since all keys get the same time, the one started first expires first: every step takes constant time."""

    def __init__(self, duration_us: int) -> None:
        self.duration_us = duration_us
        self._deadlines_us: OrderedDict[Key, int] = OrderedDict()  # in the order in which they were started

    def __contains__(self, key: Key) -> bool:
        return key in self._deadlines_us

    def start(self, key: Key, now_us: int) -> None:
        """Begin the time of a key, or begin it anew."""
        self._deadlines_us[key] = now_us + self.duration_us
        self._deadlines_us.move_to_end(key)

    def cancel(self, key: Key) -> None:
        """Forget a key, if it is there."""
        self._deadlines_us.pop(key, None)

    def next_us(self) -> int | None:
        """The earliest deadline; None without one."""
        return next(iter(self._deadlines_us.values()), None)

    def pop_expired(self, now_us: int) -> list[Key]:
        """The keys whose time is over; they are forgotten."""
        expired: list[Key] = []
        for key, deadline_us in self._deadlines_us.items():
            if deadline_us > now_us:
                break
            expired.append(key)
        for key in expired:
            del self._deadlines_us[key]
        return expired
