"""The open connections of an HTTP server, their states, and the choice of the one to close when there are too many."""

import io
import socket
import threading
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from enum import StrEnum, auto
from typing import TYPE_CHECKING

from quinceslip.coordination.actor.effects import Reply
from quinceslip.transport.clock import steady_us

if TYPE_CHECKING:
    from quinceslip.transport.request_handler import RequestHandler

#: receive buffer of a connection, held from the first byte of a request to its answer; most heartbeats fit into it
READ_BUFFER_BYTES = 2048


class ConnectionState(StrEnum):
    """Who owns a connection. While it is SERVING, only its request thread reads, writes or closes the socket."""

    IDLE = auto()  # between two requests: the selector waits for the next one
    QUEUED = auto()  # has sent data, or its reply is available: waits for a request thread
    SERVING = auto()  # a request thread reads from it or writes to it
    AWAITING_REPLY = auto()  # its request is with the actor
    CLOSED = auto()


class Connection:
    """One open connection.

    Its socket is non-blocking, except in calls that wait for the client, which end at `deadline_us` at the latest.
    """

    __slots__ = (
        "address",
        "deadline_us",
        "handler",
        "interrupted",
        "is_worker",
        "reader",
        "reply",
        "socket",
        "state",
        "waiting_since_us",
    )

    def __init__(self, accepted: socket.socket, address: tuple[str, int]) -> None:
        self.socket = accepted
        self.address = address
        self.state = ConnectionState.IDLE
        self.is_worker = False  # it has sent a valid heartbeat
        self.interrupted = False  # the thread that serves it must close it
        self.deadline_us = 0  # steady clock; limit for the client's current sending or receiving
        self.waiting_since_us: int | None = None  # start of the current wait of a request thread for the client
        self.reader: RequestReader | None = None  # None before the first byte of a request
        self.handler: RequestHandler | None = None  # of the request that waits for the actor or has its reply
        self.reply: Reply | None = None  # to that request; None if it timed out

    @property
    def host(self) -> str:
        """The client's address without its port."""
        return self.address[0]

    def receive_into(self, buffer: memoryview) -> int:
        """Receive bytes and return the count, 0 at end of stream; raises `OSError`, at the deadline `TimeoutError`."""
        try:
            received = self.socket.recv_into(buffer)
        except BlockingIOError:
            with self._waiting_for_client():
                received = self.socket.recv_into(buffer)
        if self.interrupted:
            raise ConnectionAbortedError("interrupted in favour of another connection")
        return received

    def send(self, data: bytes) -> None:
        """Send all of `data`; raises `OSError`, at the deadline `TimeoutError`."""
        try:
            sent = self.socket.send(data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            with self._waiting_for_client():
                self.socket.sendall(memoryview(data)[sent:])

    @contextmanager
    def _waiting_for_client(self) -> Iterator[None]:
        """Make socket calls block until the deadline; meanwhile the connection counts as slow."""
        now_us = steady_us()
        if now_us >= self.deadline_us:
            raise TimeoutError("client deadline exceeded")
        self.waiting_since_us = now_us
        self.socket.settimeout((self.deadline_us - now_us) / 1e6)
        try:
            yield
        finally:
            self.waiting_since_us = None
            self.socket.settimeout(0)


class _RawReader(io.RawIOBase):
    """Raw stream of the bytes that a connection receives; returns none while it is paused."""

    def __init__(self, connection: Connection) -> None:
        self.paused = False
        self._connection = connection

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int | None:  # type: ignore[override]
        return None if self.paused else self._connection.receive_into(buffer)


class RequestReader(io.BufferedReader):
    """Buffered stream of what a connection receives, for `http.server` to read; reading waits for the client."""

    def __init__(self, connection: Connection) -> None:
        self._source = _RawReader(connection)
        super().__init__(self._source, READ_BUFFER_BYTES)

    def has_buffered_data(self) -> bool:
        """Return whether more bytes than those already read are available; does not wait."""
        self._source.paused = True
        try:
            return bool(self.peek(1))
        finally:
            self._source.paused = False


class ConnectionWriter(io.BufferedIOBase):
    """Stream that sends through a connection, for `http.server` to write to; writing waits for the client."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    def writable(self) -> bool:
        """Return True, as `io` requires of a writable stream."""
        return True

    def write(self, data: bytes) -> int:  # type: ignore[override]
        """Send all of `data` at once."""
        self._connection.send(data)
        return len(data)


class ConnectionTable:
    """The open connections, those of users ordered by the time of their last complete request; thread-safe."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._lock = threading.Lock()
        self._users: OrderedDict[Connection, None] = OrderedDict()
        self._workers: set[Connection] = set()

    def __len__(self) -> int:
        return len(self._users) + len(self._workers)

    def all(self) -> list[Connection]:
        """Return a copy of the list of open connections."""
        with self._lock:
            return [*self._users, *self._workers]

    def add(self, connection: Connection) -> None:
        """Add an accepted connection; it counts as a user's until `mark_worker`."""
        with self._lock:
            self._users[connection] = None

    def mark_worker(self, connection: Connection) -> None:
        """Record that it has sent a valid heartbeat: it is never closed in favour of another one."""
        with self._lock:
            connection.is_worker = True
            if connection in self._users:
                del self._users[connection]
                self._workers.add(connection)

    def mark_active(self, connection: Connection) -> None:
        """Record that it has sent a complete request."""
        with self._lock:
            if connection in self._users:
                self._users.move_to_end(connection)

    def least_recently_active(self) -> Connection | None:
        """Return the least recently active connection of a user; None if all are workers'."""
        with self._lock:
            return next(iter(self._users), None)

    def set_state(self, connection: Connection, state: ConnectionState) -> bool:
        """Change the state of a connection; returns False if it is closed, or interrupted and about to be closed."""
        with self._lock:
            if connection.state is ConnectionState.CLOSED or connection.interrupted:
                return False
            connection.state = state
            return True

    def interrupt_if_waiting(self, connection: Connection) -> None:
        """Interrupt a connection whose thread waits for the client; the thread then closes it at once."""
        with self._lock:
            if connection.state is ConnectionState.SERVING and connection.waiting_since_us is not None:
                self._interrupt(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection: immediately, or through the thread that serves it. Idempotent."""
        with self._lock:
            if connection.state is ConnectionState.SERVING:
                self._interrupt(connection)
            else:
                self._close(connection)

    def close_served(self, connection: Connection) -> None:
        """Close a connection; called by the thread that serves it."""
        with self._lock:
            self._close(connection)

    def _interrupt(self, connection: Connection) -> None:
        connection.interrupted = True
        self._remove(connection)
        with suppress(OSError):  # its client is gone
            connection.socket.shutdown(socket.SHUT_RDWR)

    def _close(self, connection: Connection) -> None:
        self._remove(connection)
        if connection.state is ConnectionState.CLOSED:
            return
        connection.state = ConnectionState.CLOSED
        connection.reader = connection.handler = connection.reply = None
        with suppress(OSError):  # its client is gone
            connection.socket.shutdown(socket.SHUT_WR)
        connection.socket.close()

    def _remove(self, connection: Connection) -> None:
        self._users.pop(connection, None)
        self._workers.discard(connection)
