"""The selector loop of the HTTP server: accepts connections and watches idle ones for their next request."""

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

#: extra connections accepted when workers hold all up to the limit
SPARE_CONNECTIONS = 16
#: connections accepted in one iteration, before the open ones are served again
MAX_ACCEPTS_PER_ITERATION = 64


class SelectorLoop:
    """Watches the listener and the connections without a request in progress, in one thread.

    A connection that has data, or whose client has disconnected, is passed to `on_readable`; `add` returns it to the
    loop. A connection that is idle for longer than `idle_timeout_us` is closed.
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
        self._idle = DeadlineQueue[Connection](idle_timeout_us)  # exactly those that the selector watches
        self._added: deque[Connection] = deque()
        self._wakeup = Wakeup()
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._wakeup, selectors.EVENT_READ)
        self._selector.register(listener, selectors.EVENT_READ)

    def add(self, connection: Connection) -> None:
        """Watch a connection for its next request; thread-safe."""
        self._added.append(connection)
        self._wakeup.wake()

    def wake(self) -> None:
        """Make `run_once` return early; thread-safe."""
        self._wakeup.wake()

    def run_once(self, max_wait_s: float) -> None:
        """Wait at most `max_wait_s` for events, and handle them."""
        for key, _ in self._selector.select(self._select_timeout_s(max_wait_s)):
            if key.fileobj is self._listener:
                self._accept()
            elif key.fileobj is self._wakeup:
                self._wakeup.clear()
            else:
                self._on_connection_event(key.data)
        # Bound: the connections added so far.
        for _ in range(len(self._added)):
            self._watch(self._added.popleft())
        for connection in self._idle.pop_expired(steady_us()):
            log.debug("connection closed reason=idle client=%s", connection.host)
            self._selector.unregister(connection.socket)
            self._connections.close(connection)

    def close(self) -> None:
        """Close the selector. The connections stay open; they belong to the `ConnectionTable`."""
        self._selector.close()
        self._wakeup.close()

    def _select_timeout_s(self, max_wait_s: float) -> float:
        idle_deadline_us = self._idle.next_us()
        if idle_deadline_us is None:
            return max_wait_s
        return min(max_wait_s, max(0, idle_deadline_us - steady_us()) / 1e6)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                accepted, address = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.debug("connection not accepted error=%s", error)  # the client may have disconnected already
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
            log.debug("connection closed reason=%s client=%s", error, connection.host)  # the client may be gone
            self._connections.close(connection)
        self._watch(connection)

    def _make_room(self) -> bool:
        """Return whether one more may be accepted; at the limit, close a user's least recently active one first."""
        if len(self._connections) < self._connections.max_connections:
            return True
        oldest = self._connections.least_recently_active()
        if oldest is not None:
            self._unwatch(oldest)
            self._connections.close(oldest)
        return len(self._connections) < self._connections.max_connections + SPARE_CONNECTIONS

    def _watch(self, connection: Connection) -> None:
        if connection.state is ConnectionState.CLOSED:
            return
        try:
            self._selector.register(connection.socket, selectors.EVENT_READ, connection)
        except OSError as error:
            log.error("connection closed reason=%s client=%s", error, connection.host)  # the system limit on watches
            self._connections.close(connection)
            return
        self._idle.start(connection, steady_us())

    def _unwatch(self, connection: Connection) -> None:
        if connection in self._idle:
            self._idle.cancel(connection)
            self._selector.unregister(connection.socket)

    def _on_connection_event(self, connection: Connection) -> None:
        if connection not in self._idle:
            return  # closed in this iteration in favour of another one
        self._unwatch(connection)
        self._on_readable(connection)
