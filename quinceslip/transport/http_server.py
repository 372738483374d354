"""The HTTP API for users, workers and health checks: its paths, on the request parser of `http.server`."""

import logging
import socket
from collections.abc import Callable, Sequence
from http.server import BaseHTTPRequestHandler
from typing import Any
from urllib.parse import parse_qs

import msgspec

from quinceslip.coordination.actor.effects import HeartbeatReceived, Reply, SubsystemQuery, UserRequest
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import split_address
from quinceslip.transport.connections import Connection, ConnectionTable
from quinceslip.transport.event_loop import EventLoop
from quinceslip.transport.headers import HeaderError, read_headers
from quinceslip.transport.replies import Replies

log = logging.getLogger(__name__)

SECOND_US = 1_000_000
#: a connection has so long to begin a request, so long to send all of it, and so long to take the answer
IDLE_TIMEOUT_S = 20.0
#: how long the actor may take for its reply; then the answer is 503
USER_REPLY_TIMEOUT_S = 4.5
HEARTBEAT_REPLY_TIMEOUT_S = 3.0
READY_REPLY_TIMEOUT_S = 0.9
#: connections that the kernel is asked to hold until they are accepted: all workers of a large site may come at once,
#: from a controller that ended. The kernel caps it (net.core.somaxconn, mostly 4,096)
LISTEN_BACKLOG = 16_384

_report_decoder = msgspec.json.Decoder(m.WorkerHeartbeat)


class RequestHandler(BaseHTTPRequestHandler):
    """Reads one request and answers it, at once or when the actor's reply is there (`PendingRequest`)."""

    protocol_version = "HTTP/1.1"
    server_version = "quinceslip"
    sys_version = ""
    raw_requestline: bytes

    def __init__(self, connection: Connection, api: "ApiServer") -> None:
        # Not the base class's, which would serve the whole connection at once.
        self.api = api
        self.peer = connection
        self.client_address = connection.address
        self.rfile = connection.incoming  # type: ignore[assignment]
        self.wfile = connection.outgoing  # type: ignore[assignment]
        self.close_connection = True
        self.request_number: int | None = None
        self.reply_timeout_us = 0

    def answer(self, reply: Reply | None) -> None:
        """Write the answer that the actor gave; None where it gave none in time."""
        if reply is None:
            self._send(503, {"error": "busy"}, {"Retry-After": "1"})
        else:
            self._send(reply.status, reply.body, reply.headers)

    def log_message(self, format: str, *args: Any) -> None:
        log.debug("%s: " + format, self.client_address[0], *args)

    def _send(self, status: int, body: Any = None, headers: dict[str, str] | None = None) -> None:
        data = b"" if body is None else msgspec.json.encode(body)
        lines = [
            f"HTTP/1.1 {status} {self.responses.get(status, ('Unknown',))[0]}",
            "Content-Type: application/json",
            f"Content-Length: {len(data)}",
        ]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if self.close_connection:
            lines.append("Connection: close")
        payload = b"" if self.command == "HEAD" else data
        self.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\n" + payload)

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        self.close_connection = True
        self.command = getattr(self, "command", None) or "GET"
        self._send(int(code), {"error": message or "bad request"})

    def _body(self) -> bytes | None:
        """The body; None after an error was answered. Nothing over the limit is read."""
        if self.headers.get("Transfer-Encoding"):
            self.send_error(411, "a length is needed")
            return None
        text = (self.headers.get("Content-Length") or "0").strip()
        if not text.isascii() or not text.isdigit():
            self.send_error(400, "bad length")
            return None
        if len(text) > 9 or int(text) > m.MAX_BODY:
            self.send_error(413, "body over 64 KiB")
            return None
        data = self.rfile.read(int(text))
        if len(data) != int(text):
            self.close_connection = True
            return None
        return data

    def parse_request(self) -> bool:
        """`http.server`'s, with a reader of its own for the header lines (`transport/headers.py`)."""
        self.command, self.close_connection = "", True
        self.requestline = self.raw_requestline.decode("latin-1").rstrip("\r\n")
        words = self.requestline.split()
        if len(words) != 3 or not words[2].startswith("HTTP/1."):
            if words:
                self.send_error(505 if len(words) == 3 and words[2].startswith("HTTP/") else 400, "bad request line")
            return False
        self.command, self.path, self.request_version = words
        if self.path.startswith("//"):
            self.path = "/" + self.path.lstrip("/")
        try:
            found = read_headers(self.rfile)
        except HeaderError as error:
            self.send_error(error.status, str(error))
            return False
        self.headers = found  # type: ignore[assignment]
        connection = (found.get("connection") or "").lower()
        self.close_connection = connection == "close" or (
            self.request_version == "HTTP/1.0" and connection != "keep-alive"
        )
        if (
            (found.get("expect") or "").lower() == "100-continue"
            and self.request_version != "HTTP/1.0"
            and not self.peer.continue_sent
        ):
            self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.peer.continue_sent = True  # the header is read again when the body has arrived
        return True

    def _serve(self) -> None:
        body = self._body()
        if body is None:
            return
        path = self.path.partition("?")[0]
        if path == m.PATH_HEARTBEAT:
            self._heartbeat(body)
        elif path == m.PATH_READY:
            if self._allow("GET"):
                self._ask(lambda n: UserRequest(n, "ready"), READY_REPLY_TIMEOUT_S)
        elif path == m.PATH_JOBS:
            if self._allow("POST"):
                self._submit(body)
        elif path.startswith(m.PATH_JOBS + "/"):
            self._poll_or_cancel(path.removeprefix(m.PATH_JOBS + "/"))
        elif path in self.api.questions:
            if self._allow("GET"):
                after = parse_qs(self.path.partition("?")[2]).get("after", [""])[0]
                self._ask(lambda n: SubsystemQuery(n, path[1:], after), USER_REPLY_TIMEOUT_S)
        else:
            self._send(404, {"error": "no such path"})

    def _poll_or_cancel(self, path: str) -> None:
        job_id = path.removesuffix(m.CANCEL_END)
        verb, method = ("poll", "GET") if job_id == path else ("cancel", "POST")
        if not job_id or "/" in job_id:
            self._send(404, {"error": "no such path"})
        elif self._allow(method):
            self._ask(lambda n: UserRequest(n, verb, job_id), USER_REPLY_TIMEOUT_S)

    def _allow(self, method: str) -> bool:
        if self.command == method or (method == "GET" and self.command == "HEAD"):
            return True
        self._send(405, {"error": "method not allowed"}, {"Allow": method})
        return False

    def _ask(self, make_message: Callable[[int], Any], timeout_s: float) -> None:
        """Ask the actor; the answer follows by `answer`."""
        self.request_number = self.api.replies.ask(make_message)
        self.reply_timeout_us = int(timeout_s * SECOND_US)
        if self.request_number is None:
            self.answer(None)

    def _submit(self, body: bytes) -> None:
        spec = m.read_submission(body)
        if isinstance(spec, m.Malformed):
            if spec.job_id:
                # Guard: a repeat of an accepted job gets its state, however it is written; 400 would be for ever.
                self._ask(lambda n: UserRequest(n, "malformed", spec.job_id, spec), USER_REPLY_TIMEOUT_S)
            else:
                self._send(400, {"error": spec.why})
            return
        self._ask(lambda n: UserRequest(n, "submit", spec.job_id, spec), USER_REPLY_TIMEOUT_S)

    def _heartbeat(self, body: bytes) -> None:
        if not self._allow("POST"):
            return
        try:
            heartbeat = _report_decoder.decode(body)
            split_address(heartbeat.endpoint)  # it is going to be asked there
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            log.error("malformed report from %s: %s", self.client_address[0], error)
            self._send(400, {"error": str(error)})
            return
        self.api.mark_worker(self.peer)
        self._ask(lambda n: HeartbeatReceived(n, heartbeat), HEARTBEAT_REPLY_TIMEOUT_S)

    do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = do_PATCH = do_OPTIONS = _serve


class ApiServer:
    """Listens on an address and serves the HTTP API there, all connections in the thread of `serve_forever`."""

    def __init__(
        self,
        address: tuple[str, int],
        replies: Replies,
        max_connections: int,
        questions: Sequence[str] = (),
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        """Begin to listen; raises `OSError` where the address can't be had."""
        self.replies = replies
        self.questions = questions  # paths that subsystems answer
        self._listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
        self._listener.setblocking(False)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._loop = EventLoop(
            self._listener, replies, max_connections, int(idle_timeout_s * SECOND_US), self._read_request
        )

    def serve_forever(self) -> None:
        """Serve until `shutdown` is called from another thread; then the address is free again."""
        with self._listener:
            self._loop.serve_forever()

    def shutdown(self) -> None:
        """Let `serve_forever` return."""
        self._loop.shutdown()

    @property
    def connections(self) -> ConnectionTable:
        """Those that are open."""
        return self._loop.connections

    def mark_worker(self, connection: Connection) -> None:
        """A heartbeat came through this connection: it is never closed in favour of another one."""
        self.connections.mark_worker(connection)

    def _read_request(self, connection: Connection) -> "RequestHandler":
        handler = RequestHandler(connection, self)
        handler.handle_one_request()
        return handler
