"""Requests to the actor that wait for its reply, which the actor sends from its own thread."""

import itertools
import threading
from collections.abc import Callable
from typing import Any

from quinceslip.coordination.actor.effects import Reply
from quinceslip.transport.clock import steady_us
from quinceslip.transport.connections import Connection
from quinceslip.transport.deadlines import DeadlineQueue


class Replies:
    """Numbers requests to the actor, and reports the reply or the timeout of each exactly once; thread-safe.

    A connection that waits here occupies no thread.
    """

    def __init__(self, post: Callable[[Any], bool]) -> None:
        self._post = post
        self._request_numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._connections: dict[int, Connection] = {}  # by request number
        self._deadlines: dict[int, DeadlineQueue[int]] = {}  # by time limit
        #: called with each reply, or None on a timeout; set by the server
        self.on_reply: Callable[[Connection, Reply | None], None] = lambda _connection, _reply: None

    def submit(self, connection: Connection, make_message: Callable[[int], Any], timeout_us: int) -> bool:
        """Post the message made with a new request number; returns False if the inbox is full.

        When this returns True, another thread may own the connection already.
        """
        number = next(self._request_numbers)
        with self._lock:
            self._connections[number] = connection
            if timeout_us not in self._deadlines:
                self._deadlines[timeout_us] = DeadlineQueue(timeout_us)
            self._deadlines[timeout_us].start(number, steady_us())
        accepted = False
        try:
            accepted = self._post(make_message(number))
        finally:
            if not accepted:
                self._remove(number)
        return accepted

    def deliver(self, reply: Reply) -> None:
        """Pass a reply to `on_reply`; it is dropped if its request no longer waits."""
        connection = self._remove(reply.request)
        if connection is not None:
            self.on_reply(connection, reply)

    def expire(self, now_us: int) -> None:
        """Report the timeout of the requests whose deadline has passed."""
        with self._lock:
            expired = [number for queue in self._deadlines.values() for number in queue.pop_expired(now_us)]
            connections = [self._connections.pop(number) for number in expired]
        for connection in connections:
            self.on_reply(connection, None)

    def next_deadline_us(self) -> int | None:
        """Return the earliest deadline of a request, by the steady clock; None if there is none."""
        with self._lock:
            deadlines_us = [queue.next_us() for queue in self._deadlines.values()]
        return min((deadline_us for deadline_us in deadlines_us if deadline_us is not None), default=None)

    def _remove(self, number: int) -> Connection | None:
        with self._lock:
            for queue in self._deadlines.values():
                queue.cancel(number)
            return self._connections.pop(number, None)
