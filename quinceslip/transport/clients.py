"""HTTP clients: a few threads for each kind of target, reused connections, a time limit on every call."""

import http.client
import itertools
import logging
import queue
import socket
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from quinceslip.coordination.actor.effects import NOT_SENT, UNKNOWN, Call, CallResult
from quinceslip.protocol.settings import split_address
from quinceslip.transport.clock import steady_us
from quinceslip.transport.headers import HeaderError, Headers, read_headers

log = logging.getLogger(__name__)

MAX_ANSWER_BYTES = 64 * 1024 * 1024
#: a call is given so long at least, once it is sent at all
MIN_TIMEOUT_S = 0.05
#: an unused connection is kept for so long: before its server closes it as idle
MAX_IDLE_US = 8_000_000
#: the status of a call that is over the rate limit, and was not executed
TOO_MANY_REQUESTS = 429
#: such a call is repeated after the pause, if so much of its time is left
REPEAT_PAUSE_S = 0.1
MIN_TIME_TO_REPEAT_US = 300_000
#: calls that wait in one pool, about 0.3 kB each. A worker has no more than one command and one probe under way, each
#: in a pool of its own, so this is four times what a fleet of 4,000 machines needs.
MAX_QUEUED_CALLS = 16_384


class Response(http.client.HTTPResponse):
    """`http.client`'s, with a reader of its own for the header lines (`transport/headers.py`)."""

    def begin(self) -> None:
        """Read the head; raises `OSError` or `HTTPException`. `read` needs no more than what is set here."""
        version, headers = self._read_head()
        self.chunked = (headers.get("transfer-encoding") or "").lower() == "chunked"
        self.chunk_left = None
        length = headers.get("content-length") or ""
        self.length = int(length) if length.isascii() and length.isdigit() and not self.chunked else None
        if self.status in (http.client.NO_CONTENT, http.client.NOT_MODIFIED):
            self.length = 0
        # A body without a length ends with the connection.
        self.will_close = (
            "close" in (headers.get("connection") or "").lower()
            or version == "HTTP/1.0"
            or (self.length is None and not self.chunked)
        )

    def _read_head(self) -> tuple[str, Headers]:
        """The version and the header lines of the first answer that is more than "100 Continue"."""
        # Bound: the time limit of the socket, since each turn reads an answer.
        while True:
            version, self.status, self.reason = self._read_status()  # type: ignore[attr-defined]
            try:
                headers = read_headers(self.fp)
            except HeaderError as error:
                raise http.client.HTTPException(str(error)) from error
            if self.status != http.client.CONTINUE:
                return version, headers


class Connection(http.client.HTTPConnection):
    """One connection to a server, with a time limit on each socket call."""

    def connect(self) -> None:
        """Connect; raises `OSError`."""
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
    """One request: status and body of the answer; NOT_SENT where it surely never left, UNKNOWN where none came."""
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
        answer = response.read(MAX_ANSWER_BYTES)
        if response.will_close:
            connection.close()
        return response.status, answer
    except (OSError, http.client.HTTPException, ValueError) as error:
        log.debug("%s:%s %s: %s", connection.host, connection.port, path, error)
        connection.close()
        return UNKNOWN, b""


class RateLimiter:
    """Token buckets over requests and writes, so that this controller keeps to its share of a rate limit.

    The share is learnt: a refusal says that the others need theirs, and then it shrinks down to an
    equal part; while nothing is refused it grows, so that the part of a controller that is down is used.
    """

    GROWTH_PER_S = 0.05
    CUT = 0.8
    #: refusals of one moment count once
    MIN_CUT_INTERVAL_US = 300_000

    def __init__(self, rate: float, write_rate: float, size: int) -> None:
        """Rates are per second, for all of the `size` controllers."""
        self.rates = (rate, write_rate)
        self.min_share = 1.0 / size
        self.share = min(1.0, 2.0 / size)
        self.tokens = [rate * self.share, write_rate * self.share]
        self.last_us = steady_us()
        self.last_cut_us = 0  # when the share was cut last
        self.lock = threading.Lock()

    def acquire(self, writes: int) -> float:
        """Seconds to wait before asking again; 0 when a request with so many writes may go now."""
        with self.lock:
            self._refill()
            costs = (1.0, min(float(writes), self.rates[1] * self.share))
            wait_s = max(
                (cost - tokens) / (rate * self.share) if cost > tokens else 0.0
                for cost, tokens, rate in zip(costs, self.tokens, self.rates, strict=True)
            )
            if wait_s <= 0:
                self.tokens = [tokens - cost for tokens, cost in zip(self.tokens, costs, strict=True)]
            return wait_s

    def record_rejection(self) -> None:
        """The service answered 429."""
        with self.lock:
            now_us = steady_us()
            if now_us > self.last_cut_us + self.MIN_CUT_INTERVAL_US:
                self.last_cut_us = now_us
                self.share = max(self.min_share, self.share * self.CUT)

    def _refill(self) -> None:
        """Let the share and the tokens grow for the time that has passed; no more than a second's are kept."""
        now_us = steady_us()
        passed_s = (now_us - self.last_us) / 1e6
        self.last_us = now_us
        self.share = min(1.0, self.share + passed_s * self.GROWTH_PER_S)
        self.tokens = [
            min(rate * self.share, tokens + passed_s * rate * self.share)
            for tokens, rate in zip(self.tokens, self.rates, strict=True)
        ]


class QueuedCall(NamedTuple):
    """A call that waits for a thread, in the order in which calls are taken."""

    urgency: int
    number: int  # of two that are as urgent, the first one is taken first
    deadline_us: int  # steady clock
    call: Call


class IdleConnections:
    """Connections that wait for the next call to their address, at most `max_idle`; for any thread."""

    def __init__(self, max_idle: int) -> None:
        self._max_idle = max_idle
        self._lock = threading.Lock()
        self._idle: dict[str, list[tuple[int, Connection]]] = {}  # by address, with the time of the last use

    def take(self, address: str) -> Connection:
        """One that was used a short while ago, or a new one that is not connected yet."""
        with self._lock:
            idle = self._idle.get(address, [])
            # Bound: each turn takes one away.
            while idle:
                used_us, connection = idle.pop()
                if steady_us() - used_us < MAX_IDLE_US:
                    return connection
                connection.close()
        host, port = split_address(address)
        return Connection(host, port)

    def put(self, address: str, connection: Connection) -> None:
        """Keep a connection, in place of the one that was used longest ago where there are too many."""
        if not self._max_idle:
            connection.close()
            return
        with self._lock:
            if sum(map(len, self._idle.values())) >= self._max_idle:
                self._close_oldest()
            self._idle.setdefault(address, []).append((steady_us(), connection))
            for unused in [known for known, idle in self._idle.items() if not idle]:
                del self._idle[unused]

    def _close_oldest(self) -> None:
        oldest = min((address for address, idle in self._idle.items() if idle), key=lambda a: self._idle[a][0][0])
        _, connection = self._idle[oldest].pop(0)
        connection.close()


class ClientPool:
    """Threads that carry out calls, the most urgent first, and post their answers."""

    #: while the most urgent call waits for the budget, the choice is made anew so often
    MAX_WAIT_S = 0.05

    def __init__(
        self,
        name: str,
        threads: int,
        post: Callable[[Any], bool],
        rate_limiter: RateLimiter | None = None,
        max_idle: int = 64,
    ) -> None:
        self._post = post
        self._rate_limiter = rate_limiter
        self._idle = IdleConnections(max_idle)
        self._calls: queue.PriorityQueue[QueuedCall] = queue.PriorityQueue()
        self._numbers = itertools.count()
        self._choosing = threading.Lock()
        for number in range(threads):
            threading.Thread(target=self._run, name=f"{name}-{number}", daemon=True).start()

    def submit(self, call: Call, address: str) -> None:
        """Have a call carried out at an address; the answer is posted as a `CallResult`."""
        call.target = address
        # The queue itself has no bound: threads put back what must wait, and would lock up at one.
        if self._calls.qsize() >= MAX_QUEUED_CALLS:
            self._post(CallResult(call.id, NOT_SENT))
        else:
            deadline_us = steady_us() + call.timeout_us
            self._calls.put(QueuedCall(call.urgency, next(self._numbers), deadline_us, call))

    def _run(self) -> None:
        # Bound: none, it is the life of the thread.
        while True:
            queued = self._next_call()
            try:
                result = self._carry_out(queued)
            except Exception:
                log.exception("call to %s", queued.call.target)
                result = CallResult(queued.call.id, UNKNOWN)
            if result is not None:
                self._post(result)

    def _next_call(self) -> QueuedCall:
        """The most urgent call, once the budget has room for it.

        While it waits, one that is more urgent may come, so the choice is made anew each time.
        """
        if self._rate_limiter is None:
            return self._calls.get()
        with self._choosing:
            # Bound: the time limit of the call, after which it is taken whatever the budget.
            while True:
                queued = self._calls.get()
                expired = steady_us() >= queued.deadline_us
                wait_s = 0.0 if expired else self._rate_limiter.acquire(queued.call.writes)
                if wait_s <= 0:
                    return queued
                self._calls.put(queued)
                time.sleep(min(wait_s, self.MAX_WAIT_S))

    def _carry_out(self, queued: QueuedCall) -> CallResult | None:
        """Send a call and return its result; None where it is to be sent again."""
        call = queued.call
        left_s = (queued.deadline_us - steady_us()) / 1e6
        if left_s <= 0:
            return CallResult(call.id, NOT_SENT)
        connection = self._idle.take(call.target)
        status, body = exchange(connection, call.method, call.path, call.body, max(left_s, MIN_TIMEOUT_S))
        if connection.sock is not None:
            self._idle.put(call.target, connection)
        if status == TOO_MANY_REQUESTS and self._repeat(queued):
            return None
        return CallResult(call.id, status, body)

    def _repeat(self, queued: QueuedCall) -> bool:
        """Put back a call that was refused, since others used the budget up; False where it has no time left."""
        if self._rate_limiter:
            self._rate_limiter.record_rejection()
        if steady_us() + MIN_TIME_TO_REPEAT_US >= queued.deadline_us:
            return False
        time.sleep(REPEAT_PAUSE_S)
        self._calls.put(queued)
        return True
