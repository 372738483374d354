"""The event loop of an HTTP server: one thread for all of its connections.

A connection takes no thread, neither between two requests nor while a request arrives slowly, waits for the actor's
reply or is answered to a client that reads slowly. So the number of connections is bounded by sockets and memory
alone, and no client can hold what another one, or a worker's heartbeat, needs.

Handlers run in the loop's thread: they may compute, and must not wait. What they need of the actor they ask through
`Replies`; the answer is sent when the reply is there.
"""

import logging
import selectors
import socket
from collections.abc import Callable
from functools import partial
from typing import Any

from quinceslip.coordination.actor.effects import Reply
from quinceslip.transport.buffers import IncompleteRequest
from quinceslip.transport.clock import steady_us
from quinceslip.transport.connections import Connection, ConnectionTable, PendingRequest
from quinceslip.transport.deadlines import DeadlineQueue
from quinceslip.transport.replies import Replies
from quinceslip.transport.wakeup import Wakeup

log = logging.getLogger(__name__)

#: connections beyond the bound that are taken while workers hold all the others
SPARE_CONNECTIONS = 16
#: connections accepted at a time, before the open ones get their turn again
ACCEPTS_PER_TURN = 64


class EventLoop:
    """Accepts connections, reads requests, sends answers and closes what is idle too long.

    `read_request` reads one request from a connection's incoming buffer: it raises `IncompleteRequest` while bytes
    are missing. Apart from `Replies.give` and `shutdown`, everything here runs in the thread of `serve_forever`.
    """

    def __init__(
        self,
        listener: socket.socket,
        replies: Replies,
        max_connections: int,
        idle_timeout_us: int,
        read_request: Callable[[Connection], PendingRequest],
    ) -> None:
        self.connections = ConnectionTable(max_connections)
        self._listener = listener
        self._replies = replies
        self._read_request = read_request
        self._stopping = False
        # A connection has so long to begin a request, so long to send all of it, and so long to take the answer.
        self._idle = DeadlineQueue[Connection](idle_timeout_us)
        self._awaiting: dict[int, Connection] = {}  # by number of the request
        self._reply_deadlines: dict[int, DeadlineQueue[int]] = {}  # by the time that a reply may take
        self._unread: list[Connection] = []  # connections with pipelined requests: no socket event announces them
        self._selector = selectors.DefaultSelector()
        self._wakeup = Wakeup()
        self._selector.register(self._wakeup, selectors.EVENT_READ, lambda _: self._wakeup.clear())
        self._selector.register(listener, selectors.EVENT_READ, lambda _: self._accept())
        replies.wake = self._wakeup.wake

    def serve_forever(self) -> None:
        """Serve until `shutdown`, then close all connections; the listener stays its owner's."""
        try:
            # Bound: none, it is the life of the thread.
            while not self._stopping:
                self._turn()
        finally:
            self._close_all()

    def shutdown(self) -> None:
        """Let `serve_forever` return, from any thread."""
        self._stopping = True
        self._wakeup.wake()

    def _turn(self) -> None:
        """Each connection that has something to do gets its turn once."""
        for key, events in self._selector.select(self._wait_s()):
            key.data(events)
        self._deliver_replies()
        unread, self._unread = self._unread, []
        for connection in unread:
            self._guarded(connection, self._read)
        self._expire(steady_us())

    def _wait_s(self) -> float | None:
        """Seconds until something is due without an event; None where nothing is."""
        if self._unread:
            return 0.0
        queues: list[DeadlineQueue[Any]] = [self._idle, *self._reply_deadlines.values()]
        deadlines_us = [deadline_us for queue in queues if (deadline_us := queue.next_us()) is not None]
        return max(0, min(deadlines_us) - steady_us()) / 1e6 if deadlines_us else None

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                accepted, address = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.debug("accepting a connection: %s", error)  # its client may be gone already
                return
            if self._make_room():
                connection = Connection(accepted, address)
                self.connections.add(connection)
                self._guarded(connection, self._open)
            else:
                accepted.close()

    def _make_room(self) -> bool:
        """At the bound, close the connection that has been quiet longest, never one of a worker's."""
        if len(self.connections) < self.connections.max_connections:
            return True
        quiet = self.connections.longest_quiet()
        if quiet is not None:
            self._close(quiet)
        return len(self.connections) < self.connections.max_connections + SPARE_CONNECTIONS

    def _guarded(self, connection: Connection, step: Callable[[Connection], None]) -> None:
        """Take a step with a connection; one that fails costs this connection and nothing else."""
        if connection not in self.connections:
            return
        try:
            step(connection)
        except (OSError, ValueError) as error:
            log.debug("connection of %s ended: %s", connection.address, error)
            self._close(connection)
        except Exception:
            log.exception("while serving %s", connection.address)
            self._close(connection)

    def _open(self, connection: Connection) -> None:
        connection.socket.setblocking(False)
        connection.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._rest(connection)

    def _on_event(self, connection: Connection, events: int) -> None:
        if connection.pending is not None:
            self._watch(connection, 0)  # a pipelined request, or its client is gone: seen after the answer
        elif events & selectors.EVENT_WRITE:
            self._guarded(connection, self._send)
        else:
            self._guarded(connection, self._receive)

    def _receive(self, connection: Connection) -> None:
        if connection.incoming.worth_reading():
            return  # it has its turn already, for what is read
        begins = not connection.incoming
        connection.incoming.fill(connection.socket)
        if begins:
            self._idle.start(connection, steady_us())
        self._read(connection)

    def _read(self, connection: Connection) -> None:
        """Read one request, if all of it is there; a pipelined one behind it waits for the next turn."""
        if connection.pending is not None or connection.outgoing or not connection.incoming.worth_reading():
            return
        connection.incoming.rewind()
        try:
            request = self._read_request(connection)
        except IncompleteRequest:
            if connection.outgoing:  # "100 Continue": the client waits for it
                self._send(connection)
            return
        connection.incoming.discard_read()
        connection.continue_sent = False
        self.connections.mark_active(connection)
        if request.request_number is None:
            self._finish(connection, request)
        else:
            self._await_reply(connection, request, request.request_number)

    def _await_reply(self, connection: Connection, request: PendingRequest, number: int) -> None:
        connection.pending = request
        self._idle.cancel(connection)
        self._awaiting[number] = connection
        timeout_us = request.reply_timeout_us
        if timeout_us not in self._reply_deadlines:
            self._reply_deadlines[timeout_us] = DeadlineQueue(timeout_us)
        self._reply_deadlines[timeout_us].start(number, steady_us())

    def _deliver_replies(self) -> None:
        for reply in self._replies.take():
            self._answer(reply.request, reply)

    def _answer(self, number: int, reply: Reply | None) -> None:
        """Answer the request that waits under this number, if it still does."""
        connection = self._awaiting.get(number)
        if connection is None or connection.pending is None:
            return
        request = connection.pending
        self._forget_pending(connection)
        self._guarded(connection, partial(self._answer_late, request=request, reply=reply))

    def _answer_late(self, connection: Connection, request: PendingRequest, reply: Reply | None) -> None:
        request.answer(reply)
        self._finish(connection, request)

    def _forget_pending(self, connection: Connection) -> None:
        request, connection.pending = connection.pending, None
        if request is not None and request.request_number is not None:
            self._awaiting.pop(request.request_number, None)
            self._reply_deadlines[request.reply_timeout_us].cancel(request.request_number)

    def _finish(self, connection: Connection, request: PendingRequest) -> None:
        connection.closing = request.close_connection
        self._idle.start(connection, steady_us())
        self._send(connection)

    def _send(self, connection: Connection) -> None:
        """Send what the client takes; when that is all, wait for the next request or close."""
        connection.outgoing.send_to(connection.socket)
        if connection.outgoing:
            self._watch(connection, selectors.EVENT_WRITE)
        elif connection.closing:
            self._close(connection)
        else:
            self._rest(connection)

    def _rest(self, connection: Connection) -> None:
        self._idle.start(connection, steady_us())
        self._watch(connection, selectors.EVENT_READ)
        if connection.incoming.worth_reading():
            self._unread.append(connection)

    def _watch(self, connection: Connection, events: int) -> None:
        if events == connection.events:
            return
        if not events:
            self._selector.unregister(connection.socket)
        elif connection.events:
            self._selector.modify(connection.socket, events, partial(self._on_event, connection))
        else:
            self._selector.register(connection.socket, events, partial(self._on_event, connection))
        connection.events = events

    def _expire(self, now_us: int) -> None:
        for connection in self._idle.pop_expired(now_us):
            log.debug("connection of %s ended: idle", connection.address)
            self._close(connection)
        for queue in self._reply_deadlines.values():
            for number in queue.pop_expired(now_us):
                self._answer(number, None)

    def _close(self, connection: Connection) -> None:
        self.connections.remove(connection)
        self._idle.cancel(connection)
        self._forget_pending(connection)
        self._watch(connection, 0)
        try:
            connection.socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # its client is gone
        connection.socket.close()

    def _close_all(self) -> None:
        for connection in self.connections.all():
            self._close(connection)
        self._selector.close()
        self._wakeup.close()
