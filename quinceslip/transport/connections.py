"""The open connections of an HTTP server, their states, and which of them is closed when there are too many."""

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

#: buffer for what a client sends, kept from the first byte of a request to its answer. Most heartbeats fit into one
READ_BUFFER_BYTES = 2048


class ConnectionState(StrEnum):
    """Who has a connection at hand. Only a request thread that serves it reads, writes or closes its socket."""

    RESTING = auto()  # between two requests: the selector waits for the next one
    QUEUED = auto()  # has sent something, or its answer is there: waits for a request thread
    SERVING = auto()  # a request thread reads from it or writes to it
    AWAITING_REPLY = auto()  # its request is with the actor
    CLOSED = auto()


class Connection:
    """One open connection.

    Its socket has the timeout 0 but for the calls that wait for the client, which end at `deadline_us` at the latest.
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
        self.state = ConnectionState.RESTING
        self.is_worker = False  # a valid heartbeat came through it
        self.interrupted = False  # the thread that serves it is to close it
        self.deadline_us = 0  # steady clock, for what the client is to send or to take now
        self.waiting_since_us: int | None = None  # a request thread has waited for the client since
        self.reader: RequestReader | None = None  # None while nothing of a request is read
        self.handler: RequestHandler | None = None  # of the request that is with the actor or has its reply
        self.reply: Reply | None = None  # to that request; None when there was none in time

    @property
    def host(self) -> str:
        """The client's address without its port."""
        return self.address[0]

    def receive_into(self, buffer: memoryview) -> int:
        """Receive bytes, 0 at the end of the stream; raises `OSError`, as `TimeoutError` at the deadline."""
        try:
            received = self.socket.recv_into(buffer)
        except BlockingIOError:
            with self._waiting_for_client():
                received = self.socket.recv_into(buffer)
        if self.interrupted:
            raise ConnectionAbortedError("interrupted in favour of another connection")
        return received

    def send(self, data: bytes) -> None:
        """Send all of `data`; raises `OSError`, as `TimeoutError` at the deadline."""
        try:
            sent = self.socket.send(data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            with self._waiting_for_client():
                self.socket.sendall(memoryview(data)[sent:])

    @contextmanager
    def _waiting_for_client(self) -> Iterator[None]:
        """Let a socket call wait until the deadline; meanwhile the connection counts as slow."""
        now_us = steady_us()
        if now_us >= self.deadline_us:
            raise TimeoutError("the client's time is over")
        self.waiting_since_us = now_us
        self.socket.settimeout((self.deadline_us - now_us) / 1e6)
        try:
            yield
        finally:
            self.waiting_since_us = None
            self.socket.settimeout(0)


class _RawReader(io.RawIOBase):
    """The bytes that a connection receives; none come while it is paused."""

    def __init__(self, connection: Connection) -> None:
        self.paused = False
        self._connection = connection

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int | None:  # type: ignore[override]
        return None if self.paused else self._connection.receive_into(buffer)


class RequestReader(io.BufferedReader):
    """What a connection receives, as the file that `http.server` reads; it waits for the client."""

    def __init__(self, connection: Connection) -> None:
        self._source = _RawReader(connection)
        super().__init__(self._source, READ_BUFFER_BYTES)

    def has_buffered_data(self) -> bool:
        """Whether bytes behind those that were read are here already; does not wait."""
        self._source.paused = True
        try:
            return bool(self.peek(1))
        finally:
            self._source.paused = False


class ConnectionWriter(io.BufferedIOBase):
    """What is sent by a connection, as the file that `http.server` writes; it waits for the client."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    def writable(self) -> bool:
        """For `io`: it can be written to."""
        return True

    def write(self, data: bytes) -> int:  # type: ignore[override]
        """Send all of `data` at once."""
        self._connection.send(data)
        return len(data)


class ConnectionTable:
    """The open connections, those of users in the order in which they last sent a whole request; for any thread."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._lock = threading.Lock()
        self._users: OrderedDict[Connection, None] = OrderedDict()
        self._workers: set[Connection] = set()

    def __len__(self) -> int:
        return len(self._users) + len(self._workers)

    def all(self) -> list[Connection]:
        """A copy."""
        with self._lock:
            return [*self._users, *self._workers]

    def add(self, connection: Connection) -> None:
        """Begin with a connection that was accepted."""
        with self._lock:
            self._users[connection] = None

    def mark_worker(self, connection: Connection) -> None:
        """A valid heartbeat came through it: it is never closed in favour of another one."""
        with self._lock:
            connection.is_worker = True
            if connection in self._users:
                del self._users[connection]
                self._workers.add(connection)

    def mark_active(self, connection: Connection) -> None:
        """It has sent a whole request."""
        with self._lock:
            if connection in self._users:
                self._users.move_to_end(connection)

    def longest_quiet(self) -> Connection | None:
        """The user's connection that has sent no request for the longest time; None where all are workers'."""
        with self._lock:
            return next(iter(self._users), None)

    def move(self, connection: Connection, state: ConnectionState) -> bool:
        """Pass a connection on; False where it is closed, or interrupted and to be closed by its thread."""
        with self._lock:
            if connection.state is ConnectionState.CLOSED or connection.interrupted:
                return False
            connection.state = state
            return True

    def interrupt_if_waiting(self, connection: Connection) -> None:
        """Take the thread from a connection that keeps it waiting for its client: the thread closes it at once."""
        with self._lock:
            if connection.state is ConnectionState.SERVING and connection.waiting_since_us is not None:
                self._interrupt(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection, at once, or by the thread that serves it; one that is closed already stays so."""
        with self._lock:
            if connection.state is ConnectionState.SERVING:
                self._interrupt(connection)
            else:
                self._close(connection)

    def close_served(self, connection: Connection) -> None:
        """Close a connection in the thread that serves it."""
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
