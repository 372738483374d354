"""HTTP for users, workers and health checks, on `http.server`.

A thread serves one connection. Their number is bounded; at the bound the connection that has been
quiet longest is closed, never one of a worker, so that slow clients cannot starve reports.
"""

import itertools
import logging
import socket
import threading
from collections.abc import Callable, Sequence
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any
from urllib.parse import parse_qs

import msgspec

from quinceslip.coordination.actor.effects import HeartbeatReceived, Reply, SubsystemQuery, UserRequest
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import split_address
from quinceslip.transport.clock import steady_us
from quinceslip.transport.headers import HeaderError, read_headers

log = logging.getLogger(__name__)

IDLE_S = 20.0
ANSWER_S = 4.5
_report_decoder = msgspec.json.Decoder(m.WorkerHeartbeat)


class Replies:
    """Hands the actor's replies to the threads that wait for them."""

    def __init__(self, post: Callable[[Any], bool]) -> None:
        self._post = post
        self._ids = itertools.count(1)
        self._waiting: dict[int, tuple[threading.Lock, list[Reply]]] = {}

    def ask(self, make: Callable[[int], Any], timeout_s: float) -> Reply | None:
        number = next(self._ids)
        answered = threading.Lock()  # held until the answer is there; an Event is three times as dear
        answered.acquire()
        slot: list[Reply] = []
        self._waiting[number] = (answered, slot)
        try:
            if not self._post(make(number)) or not answered.acquire(timeout=timeout_s):
                return None
            return slot[0]
        finally:
            self._waiting.pop(number, None)

    def give(self, reply: Reply) -> None:
        found = self._waiting.get(reply.request)
        if found is not None and not found[1]:
            found[1].append(reply)
            found[0].release()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server_version = "quinceslip"
    sys_version = ""
    disable_nagle_algorithm = True
    timeout = IDLE_S
    wbufsize = -1  # one packet for each answer
    server: "ApiServer"
    raw_requestline: bytes

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
        self.wfile.flush()

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        self.close_connection = True
        self.command = getattr(self, "command", None) or "GET"
        try:
            self._send(int(code), {"error": message or "bad request"})
        except OSError:
            pass

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
        self.server.active(self.connection)
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
        if (found.get("expect") or "").lower() == "100-continue" and self.request_version != "HTTP/1.0":
            self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.wfile.flush()
        return True

    def _serve(self) -> None:
        body = self._body()
        if body is None:
            return
        path = self.path.partition("?")[0]
        if path == m.PATH_HEARTBEAT:
            self._report(body)
        elif path == m.PATH_READY:
            if self._allow("GET"):
                self._ask(lambda n: UserRequest(n, "ready"), 0.9)
        elif path == m.PATH_JOBS:
            if self._allow("POST"):
                self._submit(body)
        elif path.startswith(m.PATH_JOBS + "/"):
            job_id = path[len(m.PATH_JOBS) + 1 :]
            if job_id.endswith(m.CANCEL_END):
                job_id = job_id[: -len(m.CANCEL_END)]
                if "/" in job_id or not job_id:
                    self._send(404, {"error": "no such path"})
                elif self._allow("POST"):
                    self._ask(lambda n: UserRequest(n, "cancel", job_id), ANSWER_S)
            elif "/" in job_id or not job_id:
                self._send(404, {"error": "no such path"})
            elif self._allow("GET"):
                self._ask(lambda n: UserRequest(n, "poll", job_id), ANSWER_S)
        elif path in self.server.questions:
            if self._allow("GET"):
                after = parse_qs(self.path.partition("?")[2]).get("after", [""])[0]
                self._ask(lambda n: SubsystemQuery(n, path[1:], after), ANSWER_S)
        else:
            self._send(404, {"error": "no such path"})

    def _allow(self, method: str) -> bool:
        if self.command == method or (method == "GET" and self.command == "HEAD"):
            return True
        self._send(405, {"error": "method not allowed"}, {"Allow": method})
        return False

    def _ask(self, make: Callable[[int], Any], timeout_s: float) -> None:
        reply = self.server.replies.ask(make, timeout_s)
        if reply is None:
            self._send(503, {"error": "busy"}, {"Retry-After": "1"})
        else:
            self._send(reply.status, reply.body, reply.headers)

    def _submit(self, body: bytes) -> None:
        spec = m.read_submission(body)
        if isinstance(spec, m.Malformed):
            if spec.job_id:
                # Guard: a repeat of an accepted job gets its state, however it is written; 400 would be for ever.
                self._ask(lambda n: UserRequest(n, "malformed", spec.job_id, spec), ANSWER_S)
            else:
                self._send(400, {"error": spec.why})
            return
        self._ask(lambda n: UserRequest(n, "submit", spec.job_id, spec), ANSWER_S)

    def _report(self, body: bytes) -> None:
        if not self._allow("POST"):
            return
        try:
            heartbeat = _report_decoder.decode(body)
            split_address(heartbeat.endpoint)  # it is going to be asked there
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            log.error("malformed report from %s: %s", self.client_address[0], error)
            self._send(400, {"error": str(error)})
            return
        self.server.is_worker(self.connection)
        self._ask(lambda n: HeartbeatReceived(n, heartbeat), 3.0)

    do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = do_PATCH = do_OPTIONS = _serve


class ApiServer(HTTPServer):
    """Bounded threads, one for each connection."""

    request_queue_size = 128
    allow_reuse_address = True

    def __init__(self, address: tuple[str, int], replies: Replies, most: int, questions: Sequence[str] = ()) -> None:
        self.replies = replies
        self.questions = questions  # paths that subsystems answer
        self.most = most
        self._lock = threading.Lock()
        self._open: dict[socket.socket, list[int]] = {}  # last active, 1 if a worker's
        super().__init__(address, Handler)

    def server_bind(self) -> None:
        # Not HTTPServer's: that looks up the host's name, and there is no name service.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        self.server_address = self.socket.getsockname()
        self.server_name, self.server_port = str(self.server_address[0]), int(self.server_address[1])

    def active(self, connection: socket.socket) -> None:
        entry = self._open.get(connection)
        if entry is not None:
            entry[0] = steady_us()

    def is_worker(self, connection: socket.socket) -> None:
        entry = self._open.get(connection)
        if entry is not None:
            entry[1] = 1

    def process_request(self, request: Any, client_address: Any) -> None:
        with self._lock:
            if len(self._open) >= self.most:
                self._evict()
            if len(self._open) >= self.most + 16:
                self.shutdown_request(request)
                return
            self._open[request] = [steady_us(), 0]
        try:
            threading.Thread(target=self._run, args=(request, client_address), daemon=True).start()
        except RuntimeError:
            log.error("no more threads")
            with self._lock:
                self._open.pop(request, None)
            self.shutdown_request(request)

    def _evict(self) -> None:
        quiet = min(self._open.items(), key=lambda kv: (kv[1][1], kv[1][0]), default=None)
        if quiet is not None and not quiet[1][1]:
            # Its thread may take a moment to end; the next one to be closed must be another.
            del self._open[quiet[0]]
            try:
                quiet[0].shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _run(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except (OSError, ValueError) as error:
            log.debug("connection of %s ended: %s", client_address, error)
        except Exception:
            log.exception("while serving %s", client_address)
        finally:
            with self._lock:
                self._open.pop(request, None)
            self.shutdown_request(request)
