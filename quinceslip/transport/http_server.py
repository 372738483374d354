"""The HTTP server: a selector loop watches idle connections, and a bounded pool of threads serves active ones.

A connection is IDLE in the loop until data arrives, then QUEUED for a thread, then SERVING: a thread reads one request
with blocking calls. While the actor has the request, the connection is AWAITING_REPLY and occupies no thread; once it
has the reply, it is QUEUED again to be answered, and becomes IDLE. So neither idle clients nor a slow actor occupy
threads, and slow clients occupy no more than `request_threads` allows.
"""

import logging
import socket
from collections.abc import Sequence

from quinceslip.coordination.actor.effects import Reply
from quinceslip.transport.clock import steady_us
from quinceslip.transport.connections import Connection, ConnectionState, ConnectionTable, RequestReader
from quinceslip.transport.replies import Replies
from quinceslip.transport.request_handler import SECOND_US, RequestHandler
from quinceslip.transport.request_threads import MAX_REQUEST_THREADS, RequestThreads
from quinceslip.transport.selector_loop import SelectorLoop

log = logging.getLogger(__name__)

#: time limit of a client to begin a request, to send all of it, and to receive the answer; each of the three
IDLE_TIMEOUT_S = 20.0
#: longest wait of the loop between two checks for queued connections and overdue replies; shorter than the time limits
#: of replies
MAX_WAIT_S = 0.1
#: the same while connections wait for a thread
CONGESTED_WAIT_S = 0.005
#: connections for the kernel to queue until they are accepted: when a controller fails, all workers of a large site may
#: connect at once. Capped by the kernel (net.core.somaxconn, usually 4,096)
LISTEN_BACKLOG = 16_384


class ApiServer:
    """Listens on an address and serves the HTTP API there."""

    def __init__(
        self,
        address: tuple[str, int],
        replies: Replies,
        max_connections: int,
        subsystem_paths: Sequence[str] = (),
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        max_threads: int = MAX_REQUEST_THREADS,
    ) -> None:
        """Start listening; raises `OSError` if the address can't be bound."""
        self.subsystem_paths = subsystem_paths  # answered by subsystems
        self.connections = ConnectionTable(max_connections)
        self._replies = replies
        self._idle_timeout_us = int(idle_timeout_s * SECOND_US)
        self._stopping = False
        self._listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
        self._listener.setblocking(False)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._threads = RequestThreads(max_threads, self._serve)
        self._selector_loop = SelectorLoop(self._listener, self.connections, self._idle_timeout_us, self._enqueue)
        replies.on_reply = self._on_reply

    def serve_forever(self) -> None:
        """Serve until `shutdown` is called from another thread, then release the address."""
        with self._listener:
            try:
                # Bound: none, it runs until `shutdown`.
                while not self._stopping:
                    self._run_once()
            finally:
                self._close()

    def shutdown(self) -> None:
        """Make `serve_forever` return."""
        self._stopping = True
        self._selector_loop.wake()

    def _run_once(self) -> None:
        self._selector_loop.run_once(self._max_wait_s())
        self._threads.add_threads()
        now_us = steady_us()
        self._replies.expire(now_us)
        for connection in self._threads.slow_connections(now_us):
            log.debug("connection closed reason=slow client=%s", connection.host)
            self.connections.interrupt_if_waiting(connection)

    def _max_wait_s(self) -> float:
        """Return the longest wait, in seconds, until the next iteration."""
        max_wait_s = CONGESTED_WAIT_S if self._threads.has_waiting() else MAX_WAIT_S
        deadline_us = self._replies.next_deadline_us()
        if deadline_us is None:
            return max_wait_s
        return min(max_wait_s, max(0, deadline_us - steady_us()) / SECOND_US)

    def _close(self) -> None:
        """Close all connections and wait for the threads to end."""
        self._threads.stop()
        for connection in self.connections.all():
            self.connections.close(connection)
        self._threads.join()
        self._selector_loop.close()

    def _enqueue(self, connection: Connection) -> None:
        if self.connections.set_state(connection, ConnectionState.QUEUED):
            self._threads.submit(connection)

    def _on_reply(self, connection: Connection, reply: Reply | None) -> None:
        """Queue a request to be answered; called by the actor's thread, or by the loop if the reply timed out."""
        connection.reply = reply
        self._enqueue(connection)

    def _serve(self, connection: Connection) -> None:
        """Read a request, or answer the one whose reply has arrived; called by a request thread.

        An exception closes only this connection.
        """
        if not self.connections.set_state(connection, ConnectionState.SERVING):
            return
        connection.deadline_us = steady_us() + self._idle_timeout_us
        try:
            if connection.handler is None:
                self._read_request(connection)
            else:
                self._answer(connection, connection.handler)
        except (OSError, ValueError) as error:
            log.debug("connection closed reason=%s client=%s", error, connection.host)
            self.connections.close_served(connection)
        except Exception:
            log.exception("error while serving %s", connection.host)
            self.connections.close_served(connection)

    def _read_request(self, connection: Connection) -> None:
        if connection.reader is None:
            connection.reader = RequestReader(connection)
        handler = RequestHandler(connection, connection.reader, self)
        handler.handle_one_request()
        if handler.actor_request is None:
            self._finish(connection, handler)
        else:
            self._ask_actor(connection, handler)

    def _ask_actor(self, connection: Connection, handler: RequestHandler) -> None:
        """Post the request to the actor; the connection then belongs to its reply. Answer 503 if the inbox is full."""
        assert handler.actor_request is not None
        connection.handler = handler
        if not self.connections.set_state(connection, ConnectionState.AWAITING_REPLY):
            self.connections.close_served(connection)
        elif not self._replies.submit(connection, *handler.actor_request):
            connection.reply = None
            if self.connections.set_state(connection, ConnectionState.SERVING):
                self._answer(connection, handler)

    def _answer(self, connection: Connection, handler: RequestHandler) -> None:
        handler.answer(connection.reply)
        connection.handler = connection.reply = None
        self._finish(connection, handler)

    def _finish(self, connection: Connection, handler: RequestHandler) -> None:
        """After an answer, close the connection, queue it for a pipelined request, or make it idle."""
        if handler.close_connection:
            self.connections.close_served(connection)
            return
        if connection.reader is not None and connection.reader.has_buffered_data():
            if self.connections.set_state(connection, ConnectionState.QUEUED):
                self._threads.submit(connection)
                return
        else:
            connection.reader = None  # frees its buffer, the largest part of a connection
            if self.connections.set_state(connection, ConnectionState.IDLE):
                self._selector_loop.add(connection)
                return
        self.connections.close_served(connection)
