"""The selector loop of an HTTP server: accepts connections, and watches those that rest between two requests."""

import logging
import selectors
import socket
from collections import deque
from collections.abc import Callable

from quinceslip.transport.clock import steady_us
from quinceslip.transport.connections import Connection, ConnectionState, ConnectionTable
from quinceslip.transport.deadlines import DeadlineQueue
from quinceslip.transport.wakeup import Wakeup

log = logging.getLogger(__name__)

#: connections beyond the bound that are taken while workers have all the others
SPARE_CONNECTIONS = 16
#: connections accepted at a time, before the open ones get their turn again
ACCEPTS_PER_TURN = 64


class RestingConnections:
    """One thread's loop over the listener and the connections without a request under way.

    A connection that has sent something, or whose client is gone, is handed to `on_readable`; `rest` takes it back.
    One that rests longer than `idle_timeout_us` is closed.
    """

    def __init__(
        self,
        listener: socket.socket,
        connections: ConnectionTable,
        idle_timeout_us: int,
        on_readable: Callable[[Connection], None],
    ) -> None:
        self._listener = listener
        self._connections = connections
        self._on_readable = on_readable
        self._idle = DeadlineQueue[Connection](idle_timeout_us)  # holds just those that the selector watches
        self._returned: deque[Connection] = deque()
        self._wakeup = Wakeup()
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._wakeup, selectors.EVENT_READ)
        self._selector.register(listener, selectors.EVENT_READ)

    def rest(self, connection: Connection) -> None:
        """Watch a connection for its next request; from any thread."""
        self._returned.append(connection)
        self._wakeup.wake()

    def wake(self) -> None:
        """Let `turn` return early; from any thread."""
        self._wakeup.wake()

    def turn(self, max_wait_s: float) -> None:
        """Wait at most so long for something to do, and do it."""
        for key, _ in self._selector.select(self._wait_s(max_wait_s)):
            if key.fileobj is self._listener:
                self._accept()
            elif key.fileobj is self._wakeup:
                self._wakeup.clear()
            else:
                self._pass_on(key.data)
        # Bound: what was returned so far.
        for _ in range(len(self._returned)):
            self._watch(self._returned.popleft())
        for connection in self._idle.pop_expired(steady_us()):
            log.debug("connection closed reason=idle client=%s", connection.host)
            self._selector.unregister(connection.socket)
            self._connections.close(connection)

    def close(self) -> None:
        """Free the selector; the connections stay their table's."""
        self._selector.close()
        self._wakeup.close()

    def _wait_s(self, max_wait_s: float) -> float:
        idle_deadline_us = self._idle.next_us()
        if idle_deadline_us is None:
            return max_wait_s
        return min(max_wait_s, max(0, idle_deadline_us - steady_us()) / 1e6)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                accepted, address = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.debug("connection not accepted error=%s", error)  # its client may be gone already
                return
            if self._make_room():
                self._open(Connection(accepted, address))
            else:
                accepted.close()

    def _open(self, connection: Connection) -> None:
        self._connections.add(connection)
        try:
            connection.socket.setblocking(False)
            connection.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            log.debug("connection closed reason=%s client=%s", error, connection.host)  # its client may be gone already
            self._connections.close(connection)
        self._watch(connection)

    def _make_room(self) -> bool:
        """At the bound, close the connection that has been quiet longest, never one of a worker's."""
        if len(self._connections) < self._connections.max_connections:
            return True
        quiet = self._connections.longest_quiet()
        if quiet is not None:
            self._unwatch(quiet)
            self._connections.close(quiet)
        return len(self._connections) < self._connections.max_connections + SPARE_CONNECTIONS

    def _watch(self, connection: Connection) -> None:
        if connection.state is ConnectionState.CLOSED:
            return
        try:
            self._selector.register(connection.socket, selectors.EVENT_READ, connection)
        except OSError as error:
            log.error("connection closed reason=%s client=%s", error, connection.host)  # the system's limit of watches
            self._connections.close(connection)
            return
        self._idle.start(connection, steady_us())

    def _unwatch(self, connection: Connection) -> None:
        if connection in self._idle:
            self._idle.cancel(connection)
            self._selector.unregister(connection.socket)

    def _pass_on(self, connection: Connection) -> None:
        if connection not in self._idle:
            return  # closed in this turn, in favour of another one
        self._unwatch(connection)
        self._on_readable(connection)
