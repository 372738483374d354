"""HTTP clients: a few threads for each kind of target, reused connections, a time limit on all."""

import http.client
import itertools
import logging
import queue
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

import msgspec

from quinceslip.coordination.actor.effects import NOT_SENT, UNKNOWN, Call, CallResult
from quinceslip.protocol.settings import split_address
from quinceslip.transport.clock import steady_us
from quinceslip.transport.headers import HeaderError, read_headers

log = logging.getLogger(__name__)

MAX_ANSWER = 64 * 1024 * 1024
#: calls that wait in one pool, about 0.3 kB each. A worker has no more than one command and one probe under way, each
#: in a pool of its own, so this is four times what a fleet of 4,000 machines needs.
MAX_QUEUED_CALLS = 16_384


class Response(http.client.HTTPResponse):
    """`http.client`'s, with a reader of its own for the header lines (`transport/headers.py`)."""

    def begin(self) -> None:
        while True:
            version, self.status, self.reason = self._read_status()  # type: ignore[attr-defined]
            try:
                found = read_headers(self.fp)
            except HeaderError as error:
                raise http.client.HTTPException(str(error)) from error
            if self.status != http.client.CONTINUE:
                break
        # Afterwards `read` needs no more than these.
        self.chunked = (found.get("transfer-encoding") or "").lower() == "chunked"
        self.chunk_left = None
        text = found.get("content-length") or ""
        self.length = int(text) if text.isascii() and text.isdigit() and not self.chunked else None
        if self.status in (http.client.NO_CONTENT, http.client.NOT_MODIFIED):
            self.length = 0
        # A body without a length ends with the connection.
        self.will_close = (
            "close" in (found.get("connection") or "").lower()
            or version == "HTTP/1.0"
            or (self.length is None and not self.chunked)
        )


class Connection(http.client.HTTPConnection):
    def connect(self) -> None:
        self.sock = socket.create_connection((self.host, self.port), self.timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def ask(self, method: str, path: str, data: bytes | None) -> Response:
        """Send one request in one packet, and read the answer's head. Paths and methods are our own words."""
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
        if data is not None:
            head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        elif method != "GET":
            head += "Content-Length: 0\r\n"
        self.sock.sendall(head.encode() + b"\r\n" + (data or b""))
        response = Response(self.sock, method=method)
        response.begin()
        return response


def exchange(connection: Connection, method: str, path: str, body: Any, timeout_s: float) -> tuple[int, bytes]:
    """One request; NOT_SENT where it surely never left, UNKNOWN where no answer came."""
    connection.timeout = timeout_s
    try:
        if connection.sock is None:
            connection.connect()
        else:
            connection.sock.settimeout(timeout_s)
    except OSError as error:
        log.debug("%s:%s: %s", connection.host, connection.port, error)
        connection.close()
        return NOT_SENT, b""
    data = None if body is None else msgspec.json.encode(body)
    try:
        response = connection.ask(method, path, data)
        answer = response.read(MAX_ANSWER)
        if response.will_close:
            connection.close()
        return response.status, answer
    except (OSError, http.client.HTTPException, ValueError) as error:
        log.debug("%s:%s %s: %s", connection.host, connection.port, path, error)
        connection.close()
        return UNKNOWN, b""


class Budget:
    """A token bucket over requests and writes, so that this node keeps to its share.

    The share is learnt: a refusal says that the others need theirs, and then it shrinks down to an
    equal part; while nothing is refused it grows, so that the part of a node that is down is used.
    """

    GROWTH_PER_S = 0.05
    CUT = 0.8

    def __init__(self, rate: float, write_rate: float, size: int) -> None:
        self.rates = (rate, write_rate)
        self.least = 1.0 / size
        self.share = min(1.0, 2.0 / size)
        self.tokens = [rate * self.share, write_rate * self.share]
        self.last_us = steady_us()
        self.cut_us = 0
        self.lock = threading.Lock()

    def take(self, writes: int) -> float:
        """Seconds to wait before asking again; 0 when the request may go now."""
        with self.lock:
            now_us = steady_us()
            passed_s = (now_us - self.last_us) / 1e6
            self.last_us = now_us
            self.share = min(1.0, self.share + passed_s * self.GROWTH_PER_S)
            for i, rate in enumerate(self.rates):
                self.tokens[i] = min(rate * self.share, self.tokens[i] + passed_s * rate * self.share)
            need = (1.0, min(float(writes), self.rates[1] * self.share))
            waits = [
                (need[i] - self.tokens[i]) / (self.rates[i] * self.share) for i in (0, 1) if need[i] > self.tokens[i]
            ]
            if waits:
                return max(waits)
            self.tokens[0] -= need[0]
            self.tokens[1] -= need[1]
            return 0.0

    def refused(self) -> None:
        """The service answered 429."""
        with self.lock:
            now_us = steady_us()
            if now_us > self.cut_us + 300_000:  # refusals of one moment count once
                self.cut_us = now_us
                self.share = max(self.least, self.share * self.CUT)


class Pool:
    """Threads that carry out calls, the most urgent first, and post their answers."""

    def __init__(
        self, name: str, threads: int, post: Callable[[Any], bool], budget: Budget | None = None, max_idle: int = 64
    ) -> None:
        self.post = post
        self.budget = budget
        self.max_idle = max_idle
        self.calls: queue.PriorityQueue[tuple[int, int, int, Call]] = queue.PriorityQueue()
        self.order = itertools.count()
        self.choosing = threading.Lock()
        self.idle: dict[str, list[tuple[int, Connection]]] = {}
        self.lock = threading.Lock()
        for number in range(threads):
            threading.Thread(target=self._run, name=f"{name}-{number}", daemon=True).start()

    def submit(self, call: Call, address: str) -> None:
        call.target = address
        # The queue itself has no bound: threads put back what must wait, and would lock up at one.
        if self.calls.qsize() >= MAX_QUEUED_CALLS:
            self.post(CallResult(call.id, NOT_SENT))
        else:
            self.calls.put((call.urgency, next(self.order), steady_us() + call.timeout_us, call))

    def _run(self) -> None:
        while True:
            entry = self._next()
            try:
                answer = self._carry_out(entry)
            except Exception:
                log.exception("call to %s", entry[3].target)
                answer = CallResult(entry[3].id, UNKNOWN)
            if answer is not None:
                self.post(answer)

    def _next(self) -> tuple[int, int, int, Call]:
        """The most urgent call, once the budget has room for it.

        While it waits, one that is more urgent may come, so the choice is made anew each time.
        """
        if self.budget is None:
            return self.calls.get()
        with self.choosing:
            while True:
                entry = self.calls.get()
                wait_s = self.budget.take(entry[3].writes) if steady_us() < entry[2] else 0.0
                if wait_s <= 0:
                    return entry
                self.calls.put(entry)
                time.sleep(min(wait_s, 0.05))

    def _carry_out(self, entry: tuple[int, int, int, Call]) -> CallResult | None:
        _, _, deadline_us, call = entry
        left_s = (deadline_us - steady_us()) / 1e6
        if left_s <= 0:
            return CallResult(call.id, NOT_SENT)
        connection = self._connection(call.target)
        status, body = exchange(connection, call.method, call.path, call.body, max(left_s, 0.05))
        if connection.sock is not None:
            self._keep(call.target, connection)
        if status == 429:
            if self.budget:
                self.budget.refused()
            if steady_us() + 300_000 < deadline_us:
                time.sleep(0.1)  # not executed: others used the budget up
                self.calls.put(entry)
                return None
        return CallResult(call.id, status, body)

    def _connection(self, address: str) -> Connection:
        with self.lock:
            kept = self.idle.get(address, [])
            while kept:
                since_us, connection = kept.pop()
                if steady_us() - since_us < 8_000_000:
                    return connection
                connection.close()
        host, port = split_address(address)
        return Connection(host, port)

    def _keep(self, address: str, connection: Connection) -> None:
        if not self.max_idle:
            connection.close()
            return
        with self.lock:
            if sum(map(len, self.idle.values())) >= self.max_idle:
                oldest = min((a for a in self.idle if self.idle[a]), key=lambda a: self.idle[a][0][0])
                self.idle[oldest].pop(0)[1].close()
            self.idle.setdefault(address, []).append((steady_us(), connection))
            for known in [a for a, kept in self.idle.items() if not kept]:
                del self.idle[known]
