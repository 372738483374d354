"""HTTP clients: a thread pool for each kind of target, reused connections, a time limit on every call."""

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
#: minimum time limit of a call that is sent at all
MIN_TIMEOUT_S = 0.05
#: unused connections are kept for this long; less than the server's own idle timeout
MAX_IDLE_US = 8_000_000
#: status of a call that exceeded the rate limit and was not executed
TOO_MANY_REQUESTS = 429
#: a rate-limited call is retried after this delay, if at least `MIN_TIME_TO_RETRY_US` remain until its deadline
RETRY_DELAY_S = 0.1
MIN_TIME_TO_RETRY_US = 300_000
#: calls queued in one pool, about 0.3 kB each. A worker has at most one command and one probe in flight, each in its
#: own pool, so this is four times what a fleet of 4,000 machines needs
MAX_QUEUED_CALLS = 16_384


class Response(http.client.HTTPResponse):
    """`http.client`'s response, with the header parser of `transport/headers.py`."""

    def begin(self) -> None:
        """Read the head and set the attributes that `read` needs; raises `OSError` or `HTTPException`."""
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
        """Return the version and the headers of the first response that isn't "100 Continue"."""
        # Bound: the time limit of the socket, since each iteration reads a response.
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

    def send_request(self, method: str, path: str, data: bytes | None) -> Response:
        """Send a request in one packet and read the head of the response. Needs no escaping: all paths are our own."""
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
    """Send a request and return the status and body of the response.

    The status is NOT_SENT if the request certainly was not sent, UNKNOWN if it may have been but no response arrived.
    """
    connection.timeout = timeout_s
    try:
        if connection.sock is None:
            connection.connect()
        else:
            connection.sock.settimeout(timeout_s)
    except OSError as error:
        log.debug("connection to %s:%s failed: %s", connection.host, connection.port, error)
        connection.close()
        return NOT_SENT, b""
    data = None if body is None else msgspec.json.encode(body)
    try:
        response = connection.send_request(method, path, data)
        answer = response.read(MAX_ANSWER_BYTES)
        if response.will_close:
            connection.close()
        return response.status, answer
    except (OSError, http.client.HTTPException, ValueError) as error:
        log.debug("request to %s:%s%s failed: %s", connection.host, connection.port, path, error)
        connection.close()
        return UNKNOWN, b""


class RateLimiter:
    """Token buckets for requests and writes that keep this controller within its share of a rate limit.

    The share adapts: a rejection shows that the other controllers need theirs, so it shrinks, down to an equal
    part; without rejections it grows, so that the share of a controller that is down gets used.
    """

    SHARE_GROWTH_PER_S = 0.05
    SHARE_CUT_FACTOR = 0.8
    #: rejections within this interval cut the share only once
    MIN_CUT_INTERVAL_US = 300_000

    def __init__(self, rate: float, write_rate: float, controller_count: int) -> None:
        """Rates are per second and shared by all controllers."""
        self.rates = (rate, write_rate)
        self.min_share = 1.0 / controller_count
        self.share = min(1.0, 2.0 / controller_count)
        self.tokens = [rate * self.share, write_rate * self.share]
        self.last_refill_us = steady_us()
        self.last_cut_us = 0  # time of the last cut of the share
        self.lock = threading.Lock()

    def acquire(self, writes: int) -> float:
        """Take the tokens of a request with `writes` writes and return 0.

        If there are too few, take none and return the seconds to wait before the next try.
        """
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
        """Record that the service answered 429, and cut the share."""
        with self.lock:
            now_us = steady_us()
            if now_us > self.last_cut_us + self.MIN_CUT_INTERVAL_US:
                self.last_cut_us = now_us
                self.share = max(self.min_share, self.share * self.SHARE_CUT_FACTOR)

    def _refill(self) -> None:
        """Grow the share and add tokens for the time that has passed; at most the tokens of one second are kept."""
        now_us = steady_us()
        elapsed_s = (now_us - self.last_refill_us) / 1e6
        self.last_refill_us = now_us
        self.share = min(1.0, self.share + elapsed_s * self.SHARE_GROWTH_PER_S)
        self.tokens = [
            min(rate * self.share, tokens + elapsed_s * rate * self.share)
            for tokens, rate in zip(self.tokens, self.rates, strict=True)
        ]


class QueuedCall(NamedTuple):
    """A call that waits for a thread; the tuple order is the order in which calls are sent."""

    urgency: int
    sequence_number: int  # calls of equal urgency are sent in order of submission
    deadline_us: int  # steady clock
    call: Call


class IdleConnections:
    """Pool of at most `max_idle` idle connections, by address; thread-safe."""

    def __init__(self, max_idle: int) -> None:
        self._max_idle = max_idle
        self._lock = threading.Lock()
        self._idle: dict[str, list[tuple[int, Connection]]] = {}  # by address, with the time of the last use

    def acquire(self, address: str) -> Connection:
        """Return a recently used connection, or a new one that is not connected yet."""
        with self._lock:
            idle = self._idle.get(address, [])
            # Bound: each iteration removes one.
            while idle:
                used_us, connection = idle.pop()
                if steady_us() - used_us < MAX_IDLE_US:
                    return connection
                connection.close()
        host, port = split_address(address)
        return Connection(host, port)

    def release(self, address: str, connection: Connection) -> None:
        """Keep a connection for reuse; closes the least recently used one if there are too many."""
        if not self._max_idle:
            connection.close()
            return
        with self._lock:
            if sum(map(len, self._idle.values())) >= self._max_idle:
                self._close_oldest()
            self._idle.setdefault(address, []).append((steady_us(), connection))
            for unused_address in [key for key, idle in self._idle.items() if not idle]:
                del self._idle[unused_address]

    def _close_oldest(self) -> None:
        oldest = min((address for address, idle in self._idle.items() if idle), key=lambda a: self._idle[a][0][0])
        _, connection = self._idle[oldest].pop(0)
        connection.close()


class ClientPool:
    """Thread pool that sends calls, the most urgent first, and posts their results."""

    #: longest sleep while the most urgent call waits for the rate limiter; then the most urgent call is chosen again
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
        self._sequence_numbers = itertools.count()
        self._selection_lock = threading.Lock()
        for number in range(threads):
            threading.Thread(target=self._run, name=f"{name}-{number}", daemon=True).start()

    def submit(self, call: Call, address: str) -> None:
        """Queue a call to an address; its result is posted as a `CallResult`."""
        call.target = address
        # The queue itself is unbounded: threads put waiting calls back, and would deadlock on a full queue.
        if self._calls.qsize() >= MAX_QUEUED_CALLS:
            self._post(CallResult(call.id, NOT_SENT))
        else:
            deadline_us = steady_us() + call.timeout_us
            self._calls.put(QueuedCall(call.urgency, next(self._sequence_numbers), deadline_us, call))

    def _run(self) -> None:
        # Bound: none, it runs as long as the thread.
        while True:
            queued = self._next_call()
            try:
                result = self._carry_out(queued)
            except Exception:
                log.exception("error while calling %s", queued.call.target)
                result = CallResult(queued.call.id, UNKNOWN)
            if result is not None:
                self._post(result)

    def _next_call(self) -> QueuedCall:
        """Return the most urgent call as soon as the rate limiter allows it.

        A more urgent call may arrive during the wait, so the choice is made again after each sleep.
        """
        if self._rate_limiter is None:
            return self._calls.get()
        with self._selection_lock:
            # Bound: the deadline of the call, after which it is returned regardless of the rate limiter.
            while True:
                queued = self._calls.get()
                expired = steady_us() >= queued.deadline_us
                wait_s = 0.0 if expired else self._rate_limiter.acquire(queued.call.writes)
                if wait_s <= 0:
                    return queued
                self._calls.put(queued)
                time.sleep(min(wait_s, self.MAX_WAIT_S))

    def _carry_out(self, queued: QueuedCall) -> CallResult | None:
        """Send a call and return its result; None if it was queued for a retry."""
        call = queued.call
        remaining_s = (queued.deadline_us - steady_us()) / 1e6
        if remaining_s <= 0:
            return CallResult(call.id, NOT_SENT)
        connection = self._idle.acquire(call.target)
        status, body = exchange(connection, call.method, call.path, call.body, max(remaining_s, MIN_TIMEOUT_S))
        if connection.sock is not None:
            self._idle.release(call.target, connection)
        if status == TOO_MANY_REQUESTS and self._retry(queued):
            return None
        return CallResult(call.id, status, body)

    def _retry(self, queued: QueuedCall) -> bool:
        """Queue a rate-limited call again after a delay; returns False if too little of its time is left."""
        if self._rate_limiter:
            self._rate_limiter.record_rejection()
        if steady_us() + MIN_TIME_TO_RETRY_US >= queued.deadline_us:
            return False
        time.sleep(RETRY_DELAY_S)
        self._calls.put(queued)
        return True
