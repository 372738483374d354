"""Reads an HTTP request of a user, a worker or a health check, and answers it or passes it to the actor."""

import logging
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler
from typing import TYPE_CHECKING, Any, ClassVar, NamedTuple
from urllib.parse import parse_qs

import msgspec

from quinceslip.coordination.actor.effects import HeartbeatReceived, Reply, SubsystemQuery, UserRequest
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import split_address
from quinceslip.transport.connections import Connection, ConnectionWriter, RequestReader
from quinceslip.transport.headers import HeaderError, read_headers

if TYPE_CHECKING:
    from quinceslip.transport.http_server import ApiServer

log = logging.getLogger(__name__)

SECOND_US = 1_000_000
#: time limits for the actor's reply; after that the answer is 503
USER_REPLY_TIMEOUT_S = 4.5
HEARTBEAT_REPLY_TIMEOUT_S = 3.0
READY_REPLY_TIMEOUT_S = 0.9

_heartbeat_decoder = msgspec.json.Decoder(m.WorkerHeartbeat)


class ActorRequest(NamedTuple):
    """A request for the actor, to be posted after the handler returns."""

    make_message: Callable[[int], Any]  # takes the request number
    timeout_us: int


class RequestHandler(BaseHTTPRequestHandler):
    """Reads one request and answers it, or sets `actor_request`; then `answer` is called with the actor's reply."""

    protocol_version = "HTTP/1.1"
    server_version = "quinceslip"
    sys_version = ""
    raw_requestline: bytes

    def __init__(self, connection: Connection, reader: RequestReader, api: "ApiServer") -> None:
        # Doesn't call the base class, which would serve the whole connection at once.
        self.api = api
        self.client_connection = connection
        self.client_address = connection.address
        self.rfile = reader
        self.wfile = ConnectionWriter(connection)
        self.close_connection = True
        self.actor_request: ActorRequest | None = None

    def answer(self, reply: Reply | None) -> None:
        """Send the actor's reply, or 503 for None (the reply timed out)."""
        if reply is None:
            self._send(503, {"error": "busy"}, {"Retry-After": "1"})
        else:
            self._send(reply.status, reply.body, reply.headers)

    def log_message(self, format: str, *args: Any) -> None:
        """Log the messages of `http.server` at debug level."""
        log.debug("http.server client=%s message=%r", self.client_address[0], format % args)

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
        """Answer with an error and close the connection, since the start of the next request may be unknown."""
        self.close_connection = True
        self.command = getattr(self, "command", None) or "GET"
        self._send(int(code), {"error": message or "bad request"})

    def _read_body(self) -> bytes | None:
        """Read the body, up to the limit; returns None after an error answer or if the client closed the connection."""
        if self.headers.get("Transfer-Encoding"):
            self.send_error(411, "a length is needed")
            return None
        text = (self.headers.get("Content-Length") or "0").strip()
        if not text.isascii() or not text.isdigit():
            self.send_error(400, "bad length")
            return None
        if len(text) > 9 or int(text) > m.MAX_BODY_BYTES:
            self.send_error(413, "body over 64 KiB")
            return None
        data = self.rfile.read(int(text))
        if len(data) != int(text):
            self.close_connection = True
            return None
        return data

    def parse_request(self) -> bool:
        """Parse a request like `http.server`, but with the header parser of `transport/headers.py`."""
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
            headers = read_headers(self.rfile)
        except HeaderError as error:
            self.send_error(error.status, str(error))
            return False
        self.headers = headers  # type: ignore[assignment]
        connection = (headers.get("connection") or "").lower()
        self.close_connection = connection == "close" or (
            self.request_version == "HTTP/1.0" and connection != "keep-alive"
        )
        if (headers.get("expect") or "").lower() == "100-continue" and self.request_version != "HTTP/1.0":
            self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def _dispatch(self) -> None:
        """Read the body and call the handler of the path."""
        body = self._read_body()
        if body is None:
            return
        self.api.connections.mark_active(self.client_connection)
        path = self.path.partition("?")[0]
        handle_path = self._HANDLERS_BY_PATH.get(path)
        if handle_path is not None:
            handle_path(self, body)
        elif path.startswith(m.PATH_JOBS + "/"):
            self._poll_or_cancel(path.removeprefix(m.PATH_JOBS + "/"))
        elif path in self.api.subsystem_paths:
            self._query_subsystem(path)
        else:
            self._send(404, {"error": "no such path"})

    def _query_subsystem(self, path: str) -> None:
        if self._check_method("GET"):
            after = parse_qs(self.path.partition("?")[2]).get("after", [""])[0]
            self._defer_to_actor(lambda n: SubsystemQuery(n, path[1:], after), USER_REPLY_TIMEOUT_S)

    def _handle_ready(self, _body: bytes) -> None:
        if self._check_method("GET"):
            self._defer_to_actor(lambda n: UserRequest(n, "ready"), READY_REPLY_TIMEOUT_S)

    def _poll_or_cancel(self, path: str) -> None:
        job_id = path.removesuffix(m.CANCEL_SUFFIX)
        verb, method = ("poll", "GET") if job_id == path else ("cancel", "POST")
        if not job_id or "/" in job_id:
            self._send(404, {"error": "no such path"})
        elif self._check_method(method):
            self._defer_to_actor(lambda n: UserRequest(n, verb, job_id), USER_REPLY_TIMEOUT_S)

    def _check_method(self, method: str) -> bool:
        if self.command == method or (method == "GET" and self.command == "HEAD"):
            return True
        self._send(405, {"error": "method not allowed"}, {"Allow": method})
        return False

    def _defer_to_actor(self, make_message: Callable[[int], Any], timeout_s: float) -> None:
        """Leave the request to the actor. It is posted after this handler returns, since the reply may come at once."""
        self.actor_request = ActorRequest(make_message, int(timeout_s * SECOND_US))

    def _handle_submission(self, body: bytes) -> None:
        if not self._check_method("POST"):
            return
        spec = m.read_submission(body)
        if isinstance(spec, m.MalformedSubmission):
            if spec.job_id:
                # Guard: resubmitting an accepted job returns its state, even if malformed now; a 400 would be final.
                self._defer_to_actor(lambda n: UserRequest(n, "malformed", spec.job_id, spec), USER_REPLY_TIMEOUT_S)
            else:
                self._send(400, {"error": spec.reason})
            return
        self._defer_to_actor(lambda n: UserRequest(n, "submit", spec.job_id, spec), USER_REPLY_TIMEOUT_S)

    def _handle_heartbeat(self, body: bytes) -> None:
        if not self._check_method("POST"):
            return
        try:
            heartbeat = _heartbeat_decoder.decode(body)
            split_address(heartbeat.endpoint)  # must be valid: commands and probes are sent there
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            log.error("malformed heartbeat from %s: %s", self.client_address[0], error)
            self._send(400, {"error": str(error)})
            return
        self.api.connections.mark_worker(self.client_connection)
        self._defer_to_actor(lambda n: HeartbeatReceived(n, heartbeat), HEARTBEAT_REPLY_TIMEOUT_S)

    _HANDLERS_BY_PATH: ClassVar[dict[str, Callable[["RequestHandler", bytes], None]]] = {
        m.PATH_HEARTBEAT: _handle_heartbeat,
        m.PATH_READY: _handle_ready,
        m.PATH_JOBS: _handle_submission,
    }

    # Method names that `http.server` looks up.
    do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = do_PATCH = do_OPTIONS = _dispatch  # noqa: N815
