"""Requests to the actor, and the replies that it gives from its own thread."""

import itertools
from collections import deque
from collections.abc import Callable
from typing import Any

from quinceslip.coordination.actor.effects import Reply


class Replies:
    """Numbers the requests of one event loop and collects their replies.

    `give` may be called from any thread; all else belongs to the event loop's.
    """

    def __init__(self, post: Callable[[Any], bool]) -> None:
        self._post = post
        self._request_numbers = itertools.count(1)
        self._given: deque[Reply] = deque()
        self.wake: Callable[[], None] = lambda: None  # how the event loop learns of a reply

    def ask(self, make_message: Callable[[int], Any]) -> int | None:
        """Post the message made with a new request number, and return the number; None where the inbox is full."""
        number = next(self._request_numbers)
        return number if self._post(make_message(number)) else None

    def give(self, reply: Reply) -> None:
        """Hand a reply to the event loop. Without a request that still waits for it, it is dropped there."""
        self._given.append(reply)
        self.wake()

    def take(self) -> list[Reply]:
        """The replies given since the last call."""
        return [self._given.popleft() for _ in range(len(self._given))]
