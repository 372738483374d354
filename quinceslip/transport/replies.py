"""Requests to the actor, and the replies that it gives from its own thread."""

import itertools
import threading
from collections.abc import Callable
from typing import Any

from quinceslip.coordination.actor.effects import Reply
from quinceslip.transport.clock import steady_us
from quinceslip.transport.connections import Connection
from quinceslip.transport.deadlines import DeadlineQueue


class Replies:
    """Numbers requests to the actor, and hands on each reply, or that its time is over, once; for any thread.

    A connection that waits here takes no thread.
    """

    def __init__(self, post: Callable[[Any], bool]) -> None:
        self._post = post
        self._request_numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._waiting: dict[int, Connection] = {}  # by number of the request
        self._deadlines: dict[int, DeadlineQueue[int]] = {}  # by the time that a reply may take
        #: what is done with a reply, None where there is none in time; the server's
        self.on_reply: Callable[[Connection, Reply | None], None] = lambda _connection, _reply: None

    def ask(self, connection: Connection, make_message: Callable[[int], Any], timeout_us: int) -> bool:
        """Post the message made with a new request number; False where the inbox is full.

        When this returns True, another thread may have the connection already.
        """
        number = next(self._request_numbers)
        with self._lock:
            self._waiting[number] = connection
            if timeout_us not in self._deadlines:
                self._deadlines[timeout_us] = DeadlineQueue(timeout_us)
            self._deadlines[timeout_us].start(number, steady_us())
        accepted = False
        try:
            accepted = self._post(make_message(number))
        finally:
            if not accepted:
                self._take(number)
        return accepted

    def deliver(self, reply: Reply) -> None:
        """Hand on a reply. Without a request that still waits for it, it is dropped."""
        connection = self._take(reply.request)
        if connection is not None:
            self.on_reply(connection, reply)

    def expire(self, now_us: int) -> None:
        """End the wait of requests whose time is over."""
        with self._lock:
            expired = [number for queue in self._deadlines.values() for number in queue.pop_expired(now_us)]
            connections = [self._waiting.pop(number) for number in expired]
        for connection in connections:
            self.on_reply(connection, None)

    def next_deadline_us(self) -> int | None:
        """When the next request's time is over, on the steady clock; None without one."""
        with self._lock:
            deadlines_us = [queue.next_us() for queue in self._deadlines.values()]
        return min((deadline_us for deadline_us in deadlines_us if deadline_us is not None), default=None)

    def _take(self, number: int) -> Connection | None:
        with self._lock:
            for queue in self._deadlines.values():
                queue.cancel(number)
            return self._waiting.pop(number, None)
