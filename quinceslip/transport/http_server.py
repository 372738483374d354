"""The HTTP server: connections rest in one selector loop, and a bounded pool of threads serves those that have sent.

A connection is RESTING in the loop until something arrives, QUEUED for a thread, then SERVING: a thread reads one
request with blocking calls. While the actor has the request the connection is AWAITING_REPLY and takes no thread; with
its reply it is QUEUED again to be answered, and rests. So neither idle clients nor a late actor take threads, and slow
clients take no more than `request_threads` lets them.
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
from quinceslip.transport.resting_connections import RestingConnections

log = logging.getLogger(__name__)

#: a connection has so long to begin a request, so long to send all of it, and so long to take the answer
IDLE_TIMEOUT_S = 20.0
#: the loop looks so often for connections that wait for a thread and for replies that are late; the time limits of
#: replies are longer
MAX_WAIT_S = 0.1
#: the same while connections wait for a thread
CONGESTED_WAIT_S = 0.005
#: connections that the kernel is asked to hold until they are accepted: all workers of a large site may come at once,
#: from a controller that ended. The kernel caps it (net.core.somaxconn, mostly 4,096)
LISTEN_BACKLOG = 16_384


class ApiServer:
    """Listens on an address and serves the HTTP API there."""

    def __init__(
        self,
        address: tuple[str, int],
        replies: Replies,
        max_connections: int,
        questions: Sequence[str] = (),
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        max_threads: int = MAX_REQUEST_THREADS,
    ) -> None:
        """Begin to listen; raises `OSError` where the address can't be had."""
        self.questions = questions  # paths that subsystems answer
        self.connections = ConnectionTable(max_connections)
        self._replies = replies
        self._idle_timeout_us = int(idle_timeout_s * SECOND_US)
        self._stopping = False
        self._listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
        self._listener.setblocking(False)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._threads = RequestThreads(max_threads, self._serve)
        self._resting = RestingConnections(self._listener, self.connections, self._idle_timeout_us, self._enqueue)
        replies.on_reply = self._on_reply

    def serve_forever(self) -> None:
        """Serve until `shutdown` is called from another thread; then the address is free again."""
        with self._listener:
            try:
                # Bound: none, it is the life of the thread.
                while not self._stopping:
                    self._turn()
            finally:
                self._end()

    def shutdown(self) -> None:
        """Let `serve_forever` return."""
        self._stopping = True
        self._resting.wake()

    def _turn(self) -> None:
        self._resting.turn(self._wait_s())
        self._threads.add_threads()
        now_us = steady_us()
        self._replies.expire(now_us)
        for connection in self._threads.slow_connections(now_us):
            log.debug("connection closed reason=slow client=%s", connection.host)
            self.connections.interrupt_if_waiting(connection)

    def _wait_s(self) -> float:
        """Seconds until the next turn at the latest."""
        max_wait_s = CONGESTED_WAIT_S if self._threads.has_waiting() else MAX_WAIT_S
        deadline_us = self._replies.next_deadline_us()
        if deadline_us is None:
            return max_wait_s
        return min(max_wait_s, max(0, deadline_us - steady_us()) / SECOND_US)

    def _end(self) -> None:
        """Close all connections and wait for the threads."""
        self._threads.stop()
        for connection in self.connections.all():
            self.connections.close(connection)
        self._threads.join()
        self._resting.close()

    def _enqueue(self, connection: Connection) -> None:
        if self.connections.move(connection, ConnectionState.QUEUED):
            self._threads.submit(connection)

    def _on_reply(self, connection: Connection, reply: Reply | None) -> None:
        """Have a request answered; in the thread of the actor, or of the loop when there was no reply in time."""
        connection.reply = reply
        self._enqueue(connection)

    def _serve(self, connection: Connection) -> None:
        """In a request thread: read a request, or answer the one whose reply is there.

        What fails costs this connection and nothing else.
        """
        if not self.connections.move(connection, ConnectionState.SERVING):
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
            log.exception("while serving %s", connection.host)
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
        """Ask, and leave the connection to whoever has the reply; where the inbox is full, answer 503."""
        assert handler.actor_request is not None
        connection.handler = handler
        if not self.connections.move(connection, ConnectionState.AWAITING_REPLY):
            self.connections.close_served(connection)
        elif not self._replies.ask(connection, *handler.actor_request):
            connection.reply = None
            if self.connections.move(connection, ConnectionState.SERVING):
                self._answer(connection, handler)

    def _answer(self, connection: Connection, handler: RequestHandler) -> None:
        handler.answer(connection.reply)
        connection.handler = connection.reply = None
        self._finish(connection, handler)

    def _finish(self, connection: Connection, handler: RequestHandler) -> None:
        """After an answer: close, serve what was sent behind the request, or rest."""
        if handler.close_connection:
            self.connections.close_served(connection)
            return
        if connection.reader is not None and connection.reader.has_buffered_data():
            if self.connections.move(connection, ConnectionState.QUEUED):
                self._threads.submit(connection)
                return
        else:
            connection.reader = None  # its buffer is larger than all else of a connection
            if self.connections.move(connection, ConnectionState.RESTING):
                self._resting.rest(connection)
                return
        self.connections.close_served(connection)
