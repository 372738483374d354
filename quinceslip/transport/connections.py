"""The open connections of an HTTP server, and which of them is closed when there are too many."""

import socket
from collections import OrderedDict
from typing import Protocol

from quinceslip.coordination.actor.effects import Reply
from quinceslip.transport.buffers import ReceiveBuffer, SendBuffer


class Connection:
    """One open connection. It waits for a request, for the actor's reply, or until its answer is sent."""

    __slots__ = ("address", "closing", "continue_sent", "events", "incoming", "outgoing", "pending", "socket")

    def __init__(self, accepted: socket.socket, address: tuple[str, int]) -> None:
        self.socket = accepted
        self.address = address
        self.incoming = ReceiveBuffer()
        self.outgoing = SendBuffer()
        self.events = 0  # what the selector watches it for
        self.pending: PendingRequest | None = None  # the request that waits for the actor's reply
        self.continue_sent = False  # "100 Continue", for the request that is arriving
        self.closing = False  # once its answer is sent


class PendingRequest(Protocol):
    """A request that has been read; with a number it waits for the actor's reply, else it has been answered."""

    request_number: int | None
    reply_timeout_us: int
    close_connection: bool

    def answer(self, reply: Reply | None) -> None:
        """Write the answer to the connection's outgoing buffer; None when the time for a reply is over."""


class ConnectionTable:
    """The open connections, those of users in the order in which they were last active."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._users: OrderedDict[Connection, None] = OrderedDict()
        self._workers: set[Connection] = set()

    def __len__(self) -> int:
        return len(self._users) + len(self._workers)

    def __contains__(self, connection: Connection) -> bool:
        return connection in self._users or connection in self._workers

    def all(self) -> list[Connection]:
        """A copy."""
        return [*self._users, *self._workers]

    def add(self, connection: Connection) -> None:
        self._users[connection] = None

    def remove(self, connection: Connection) -> None:
        self._users.pop(connection, None)
        self._workers.discard(connection)

    def mark_worker(self, connection: Connection) -> None:
        """A heartbeat came through it: it is never closed in favour of another one."""
        self._users.pop(connection, None)
        self._workers.add(connection)

    def mark_active(self, connection: Connection) -> None:
        """It has sent a whole request."""
        if connection in self._users:
            self._users.move_to_end(connection)

    def longest_quiet(self) -> Connection | None:
        """The user's connection that has sent no request for the longest time; None where all are workers'."""
        return next(iter(self._users), None)
