"""The HTTP server with many connections, with slow clients and at its bounds: on loopback, a stub for the actor."""

import contextlib
import io
import json
import queue
import resource
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quinceslip.coordination.actor.effects import Call, CallResult, HeartbeatReceived, Reply, UserRequest
from quinceslip.protocol.settings import Limits
from quinceslip.transport.capacity import CONNECTION_MB, max_api_connections, probe_threads, request_threads
from quinceslip.transport.clients import ClientPool
from quinceslip.transport.clock import steady_us
from quinceslip.transport.connections import Connection, RequestReader
from quinceslip.transport.deadlines import DeadlineQueue
from quinceslip.transport.http_server import ApiServer
from quinceslip.transport.replies import Replies
from quinceslip.transport.request_threads import MAX_REQUEST_THREADS, RUNNABLE_THREADS

FLEET = 4_000
#: sockets of the test itself, beside two for each connection
SPARE_FILES = 200
#: an answer that is not there by then never comes
PATIENCE_S = 10.0
#: a heartbeat is answered in less, whatever the other clients do
PROMPT_S = 1.0

REPORT = json.dumps(
    {
        "berth": "n-000001",
        "endpoint": "127.0.0.1:1",
        "build": "m",
        "yard": "a",
        "loaners": False,
        "stint": 1,
        "tick": 1,
        "baton": 0,
        "warningS": None,
        "picks": [],
    }
).encode()


def request(method: str, path: str, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: q", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


HEARTBEAT = request("POST", "/hello", REPORT)
POLL = request("GET", "/v1/jobs/req-000001")
NOWHERE = request("GET", "/nowhere")


class EchoActor:
    """Replies to each request from a thread of its own with what was asked, but for the verbs that it ignores."""

    def __init__(self, *ignored: str, accepts: bool = True) -> None:
        self.ignored = set(ignored)
        self.accepts = accepts
        self.inbox: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.user_requests = 0
        self.replies = Replies(self.post)

    def post(self, message: Any) -> bool:
        if self.accepts:
            self.inbox.put(message)
        return self.accepts

    def run(self) -> None:
        while (message := self.inbox.get()) is not None:
            self.user_requests += isinstance(message, UserRequest)
            if isinstance(message, HeartbeatReceived):
                self.replies.deliver(Reply(message.request, 200, {"worker": message.heartbeat.worker}))
            elif isinstance(message, UserRequest) and message.verb not in self.ignored:
                self.replies.deliver(Reply(message.request, 200, {"verb": message.verb, "uid": message.job_id}))


@contextlib.contextmanager
def serving(
    actor: EchoActor, max_connections: int = 1_000, idle_timeout_s: float = 20.0, max_threads: int = MAX_REQUEST_THREADS
) -> Iterator[ApiServer]:
    api = ApiServer(
        ("127.0.0.1", 0), actor.replies, max_connections, idle_timeout_s=idle_timeout_s, max_threads=max_threads
    )
    threads = [threading.Thread(target=api.serve_forever, name="api"), threading.Thread(target=actor.run, name="actor")]
    for thread in threads:
        thread.start()
    try:
        yield api
    finally:
        api.shutdown()
        actor.inbox.put(None)
        for thread in threads:
            thread.join(PATIENCE_S)
            assert not thread.is_alive()


class Client:
    """One connection to the server."""

    def __init__(self, api: ApiServer, *sent: bytes, host: str = "127.0.0.1") -> None:
        self.socket = socket.create_connection(api.address, PATIENCE_S, (host, 0))
        self.received = b""
        for data in sent:
            self.send(data)

    def __enter__(self) -> "Client":
        return self

    def __exit__(self, *_: Any) -> None:
        self.socket.close()

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def answer(self) -> tuple[int, str, Any]:
        """The next answer: status, header lines and body."""
        head = self._take(self._until(b"\r\n\r\n")).decode()
        length = int(head.partition("Content-Length: ")[2].partition("\r\n")[0] or 0)
        self._until_length(length)
        body = self._take(length)
        return int(head.split()[1]), head, json.loads(body) if body else None

    def exchange(self, data: bytes) -> tuple[int, str, Any]:
        self.send(data)
        return self.answer()

    def until_closed(self) -> bytes:
        """All that still comes before the server closes the connection."""
        with contextlib.suppress(ConnectionError):
            while received := self.socket.recv(65536):
                self.received += received
        return self._take(len(self.received))

    def _until(self, mark: bytes) -> int:
        while mark not in self.received:
            self._until_length(len(self.received) + 1)
        return self.received.index(mark) + len(mark)

    def _until_length(self, length: int) -> None:
        while len(self.received) < length:
            received = self.socket.recv(65536)
            assert received, "closed before the answer"
            self.received += received

    def _take(self, count: int) -> bytes:
        taken, self.received = self.received[:count], self.received[count:]
        return taken


@contextlib.contextmanager
def open_files(count: int) -> Iterator[None]:
    """Let this process open so many files."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * resource.getpagesize() / 1e6


def within(seconds: float, condition: Callable[[], bool]) -> None:
    ends = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < ends, "not in time"
        time.sleep(0.01)


def test_a_fleet_of_4000_reports_through_a_bounded_number_of_threads() -> None:
    with open_files(2 * FLEET + SPARE_FILES), serving(EchoActor(), FLEET) as api, contextlib.ExitStack() as stack:
        threads, before_mb = threading.active_count(), resident_mb()
        workers = [stack.enter_context(Client(api)) for _ in range(FLEET)]
        for _ in range(3):
            for worker in workers:
                worker.send(HEARTBEAT)
            assert threading.active_count() <= threads + MAX_REQUEST_THREADS
            assert all(worker.answer()[0] == 200 for worker in workers)
        assert resident_mb() - before_mb < FLEET * CONNECTION_MB  # with the clients' part, which is here as well
        assert threading.active_count() <= threads + MAX_REQUEST_THREADS


def test_slow_senders_from_one_address_hold_up_no_heartbeat() -> None:
    with serving(EchoActor()) as api, contextlib.ExitStack() as stack:
        for sent in (HEARTBEAT[:20], HEARTBEAT[:-5], b"") * 100:
            stack.enter_context(Client(api, sent))
        with Client(api) as worker:
            for _ in range(3):
                began = time.monotonic()
                assert worker.exchange(HEARTBEAT)[0] == 200
                assert time.monotonic() - began < PROMPT_S


def test_requests_without_a_reply_hold_up_no_heartbeat() -> None:
    actor = EchoActor("poll")
    with serving(actor) as api, contextlib.ExitStack() as stack:
        users = [stack.enter_context(Client(api, POLL)) for _ in range(500)]
        with Client(api) as worker:
            began = time.monotonic()
            assert worker.exchange(HEARTBEAT)[0] == 200
            assert time.monotonic() - began < PROMPT_S
        # The actor comes to them at last. (Requests of several connections reach it in any order.)
        within(PATIENCE_S, lambda: actor.user_requests == len(users))
        for number in range(1, 501 + 1):
            actor.replies.deliver(Reply(number, 200, {"late": True}))
        assert all(user.answer()[2] == {"late": True} for user in users)


def test_what_the_actor_leaves_unanswered_is_busy() -> None:
    with serving(EchoActor("ready")) as api, Client(api) as user:
        status, head, body = user.exchange(request("GET", "/ready"))
        assert status == 503 and "\r\nRetry-After: 1\r\n" in head and body == {"error": "busy"}
        assert user.exchange(POLL)[0] == 200  # the connection stays


def test_a_reply_after_the_server_has_ended_is_dropped() -> None:
    actor = EchoActor()
    with serving(actor):
        pass
    actor.replies.deliver(Reply(1, 200))


def test_a_full_inbox_is_busy() -> None:
    with serving(EchoActor(accepts=False)) as api, Client(api) as user:
        for data in (HEARTBEAT, POLL):
            status, head, _ = user.exchange(data)
            assert status == 503 and "\r\nRetry-After: 1\r\n" in head


def test_a_reply_that_comes_too_late_is_dropped() -> None:
    actor = EchoActor("ready")
    with serving(actor) as api, Client(api) as user:
        assert user.exchange(request("GET", "/ready"))[0] == 503
        actor.replies.deliver(Reply(1, 200, {"late": True}))
        assert user.exchange(POLL)[2] == {"verb": "poll", "uid": "req-000001"}


@pytest.mark.parametrize("piece", [1, 7, 100, 100_000])
def test_pipelined_requests_are_answered_in_order(piece: int) -> None:
    expected = [(HEARTBEAT, 200), (NOWHERE, 404), (POLL, 200), (NOWHERE, 404), (NOWHERE, 404), (HEARTBEAT, 200)]
    sent = b"".join(data for data, _ in expected)
    with serving(EchoActor()) as api, Client(api) as client:
        client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for start in range(0, len(sent), piece):
            client.send(sent[start : start + piece])
        assert [client.answer()[0] for _ in expected] == [status for _, status in expected]


@pytest.mark.parametrize("idle_timeout_s", [0.2, 0.5])
def test_idle_connections_are_closed(idle_timeout_s: float) -> None:
    with (
        serving(EchoActor(), idle_timeout_s=idle_timeout_s) as api,
        Client(api) as silent,
        Client(api) as resting,
        Client(api) as slow,
        Client(api) as dripping,
    ):
        began = time.monotonic()
        assert resting.exchange(HEARTBEAT)[0] == 200
        slow.send(HEARTBEAT[:-5])
        for client in (silent, resting, slow):
            assert client.until_closed() == b""
            assert idle_timeout_s * 0.9 < time.monotonic() - began < idle_timeout_s + PROMPT_S
        # A whole request has no more time than that, however often a byte of it comes.
        began = time.monotonic()
        with contextlib.suppress(ConnectionError):
            for byte in HEARTBEAT:
                dripping.send(bytes([byte]))
                time.sleep(idle_timeout_s / 10)
        assert time.monotonic() - began < idle_timeout_s + PROMPT_S


def test_what_waits_for_its_reply_is_not_idle() -> None:
    actor = EchoActor("poll")
    with serving(actor, idle_timeout_s=0.1) as api, Client(api, POLL) as user:
        time.sleep(0.3)
        actor.replies.deliver(Reply(1, 200))
        assert user.answer()[0] == 200


class VerboseActor(EchoActor):
    """Replies to users at length, and knows when it was last asked."""

    def __init__(self, reply_bytes: int) -> None:
        super().__init__("poll")
        self.text = "x" * reply_bytes
        self.asked_s = 0.0

    def post(self, message: Any) -> bool:
        if isinstance(message, UserRequest):
            self.asked_s = time.monotonic()
            self.replies.deliver(Reply(message.request, 200, self.text))
            return True
        return super().post(message)


@pytest.mark.parametrize("reply_bytes", [0, 10_000, 30_000_000])
def test_a_client_that_reads_nothing_is_closed_and_holds_up_nobody(reply_bytes: int) -> None:
    actor = VerboseActor(reply_bytes)
    with serving(actor, idle_timeout_s=0.5) as api, Client(api) as greedy:
        greedy.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        greedy.socket.settimeout(0.2)
        with contextlib.suppress(TimeoutError, ConnectionError):
            while True:  # until the server takes no more of it
                greedy.send(POLL * 1_000)
        began = time.monotonic()
        with Client(api) as worker:
            assert worker.exchange(HEARTBEAT)[0] == 200
            assert time.monotonic() - began < PROMPT_S
        # What the client sent before is answered as long as there is room for answers, however long that takes; with
        # the first answer that finds none its time begins, and no further request is read.
        while len(api.connections):
            assert time.monotonic() < actor.asked_s + 0.5 + PROMPT_S, "not in time"
            time.sleep(0.01)


@pytest.mark.parametrize("slow_host", ["127.0.0.1", "127.0.0.2"])
def test_slow_senders_with_all_threads_hold_up_no_heartbeat(slow_host: str) -> None:
    with serving(EchoActor(), max_threads=32) as api, contextlib.ExitStack() as stack:
        slow = [stack.enter_context(Client(api, HEARTBEAT[:-5], host=slow_host)) for _ in range(200)]
        for _ in range(20):
            with Client(api) as worker:
                began = time.monotonic()
                assert worker.exchange(HEARTBEAT)[0] == 200
                assert time.monotonic() - began < PROMPT_S
        assert slow[0].until_closed() == b""


def test_users_from_many_addresses_leave_threads_to_workers() -> None:
    with serving(EchoActor(), idle_timeout_s=5.0, max_threads=8) as api, contextlib.ExitStack() as stack:
        workers = [stack.enter_context(Client(api, HEARTBEAT)) for _ in range(8)]
        assert all(worker.answer()[0] == 200 for worker in workers)
        for number in range(60):
            stack.enter_context(Client(api, HEARTBEAT[:-5], host=f"127.0.0.{2 + number}"))
        for _ in range(20):
            for worker in workers:
                began = time.monotonic()
                assert worker.exchange(HEARTBEAT)[0] == 200
                assert time.monotonic() - began < PROMPT_S


def test_a_worker_that_sends_slowly_is_never_closed_for_a_user() -> None:
    with serving(EchoActor(), max_threads=4) as api, Client(api, HEARTBEAT) as worker, contextlib.ExitStack() as stack:
        assert worker.answer()[0] == 200
        worker.send(HEARTBEAT[:-5])
        users = [stack.enter_context(Client(api, POLL[:-2])) for _ in range(40)]
        assert users[0].until_closed() == b""
        worker.send(HEARTBEAT[-5:])
        assert worker.answer()[0] == 200


def test_slow_clients_that_keep_nobody_waiting_are_served() -> None:
    with serving(EchoActor()) as api, contextlib.ExitStack() as stack:
        users = [stack.enter_context(Client(api, POLL[:-2])) for _ in range(40)]
        time.sleep(0.5)
        for user in users:
            user.send(POLL[-2:])
        assert all(user.answer()[0] == 200 for user in users)


def test_a_thread_that_can_not_be_started_is_tried_again(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    start, failed = threading.Thread.start, list[str]()

    def start_late(thread: threading.Thread) -> None:
        if thread.name.startswith("request-") and len(failed) < 3:
            failed.append(thread.name)
            raise RuntimeError("can't start new thread")
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", start_late)
    with serving(EchoActor()) as api, contextlib.ExitStack() as stack:
        users = [stack.enter_context(Client(api, POLL)) for _ in range(100)]
        assert all(user.answer()[0] == 200 for user in users)
    assert len(failed) == 3 and caplog.text.count("request thread not started") == 1


def test_threads_end_when_slow_clients_are_gone() -> None:
    with serving(EchoActor(), max_threads=32) as api:
        threads = threading.active_count()
        with contextlib.ExitStack() as stack:
            for number in range(200):
                stack.enter_context(Client(api, HEARTBEAT[:-5], host=f"127.0.0.{2 + number % 8}"))
            within(PATIENCE_S, lambda: threading.active_count() > threads + RUNNABLE_THREADS)
            for _ in range(20):
                assert threading.active_count() <= threads + 32
                time.sleep(0.01)
        within(PATIENCE_S, lambda: threading.active_count() <= threads + RUNNABLE_THREADS)


def test_at_the_bound_the_longest_quiet_user_is_closed_and_no_worker() -> None:
    with (
        serving(EchoActor(), 4) as api,
        Client(api) as worker,
        Client(api) as first,
        Client(api) as second,
        Client(api) as third,
    ):
        assert worker.exchange(HEARTBEAT)[0] == 200
        for client in (first, second, third):  # one after the other: requests sent together are read in any order
            assert client.exchange(POLL)[0] == 200
        assert first.exchange(POLL)[0] == 200  # now the second has been quiet longest
        with Client(api, POLL) as fifth:
            assert second.until_closed() == b""
            for client in (fifth, worker, first, third):
                assert client.exchange(POLL)[0] == 200


def test_slow_senders_beyond_the_bound_hold_up_no_heartbeat() -> None:
    with serving(EchoActor(), 64) as api, contextlib.ExitStack() as stack:
        slow = [stack.enter_context(Client(api, HEARTBEAT[:20])) for _ in range(100)]
        for _ in range(20):
            with Client(api) as worker:
                began = time.monotonic()
                assert worker.exchange(HEARTBEAT)[0] == 200
                assert time.monotonic() - began < PROMPT_S
        assert slow[0].until_closed() == b""


def test_workers_that_hold_all_connections_leave_some_to_users() -> None:
    with serving(EchoActor(), 4) as api, contextlib.ExitStack() as stack:
        workers = [stack.enter_context(Client(api, HEARTBEAT)) for _ in range(4)]
        assert all(worker.answer()[0] == 200 for worker in workers)
        for _ in range(40):
            assert stack.enter_context(Client(api)).exchange(POLL)[0] == 200
        assert all(worker.exchange(HEARTBEAT)[0] == 200 for worker in workers)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GARBAGE\r\n", 400),
        (b"GET / HTTP/2.0\r\n", 505),
        (b"BREW / HTTP/1.1\r\n\r\n", 501),
        (b"GET /" + b"x" * 70_000, 414),
        (b"GET / HTTP/1.1\r\nX: " + b"x" * 70_000, 431),
        (b"GET / HTTP/1.1\r\n" + b"X: x\r\n" * 101, 431),
        (b"GET / HTTP/1.1\r\nno colon\r\n", 400),
        (b"POST /hello HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n", 413),
        (b"POST /hello HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
        (b"GET /nowhere HTTP/1.0\r\n\r\n", 404),
        (request("GET", "/nowhere", b"", "Connection: close"), 404),
    ],
    ids=[
        "request line",
        "version",
        "method",
        "long target",
        "long header",
        "many headers",
        "header",
        "large body",
        "length",
        "chunked",
        "HTTP 1.0",
        "close",
    ],
)
def test_the_connection_is_closed_after_this_answer(sent: bytes, status: int) -> None:
    with serving(EchoActor()) as api, Client(api, sent) as client:
        found, head, body = client.answer()
        assert found == status and "\r\nConnection: close\r\n" in head and body["error"]
        assert client.until_closed() == b""


def test_a_body_that_waits_to_be_asked_for_is_asked_for_once() -> None:
    with serving(EchoActor()) as api, Client(api) as client:
        head, body = request("POST", "/hello", REPORT, "Expect: 100-continue").split(b"\r\n\r\n")
        assert client.exchange(head + b"\r\n\r\n")[0] == 100
        client.send(body[:10])
        time.sleep(0.05)
        client.send(body[10:])
        assert client.answer()[0] == 200
        assert client.exchange(HEARTBEAT)[0] == 200


@pytest.mark.parametrize(
    ("sent", "statuses"),
    [(POLL, [200]), (POLL + NOWHERE, [200, 404]), (POLL[:-2], [200]), (HEARTBEAT[:-5], []), (b"", []), (b"GET", [400])],
)
def test_a_client_that_sends_no_more_gets_its_answers(sent: bytes, statuses: list[int]) -> None:
    with serving(EchoActor()) as api, Client(api, sent) as client:
        client.socket.shutdown(socket.SHUT_WR)
        assert [client.answer()[0] for _ in statuses] == statuses
        assert client.until_closed() == b""


def test_a_handler_that_fails_costs_its_own_connection(caplog: pytest.LogCaptureFixture) -> None:
    class Failing(EchoActor):
        def post(self, message: Any) -> bool:
            if isinstance(message, UserRequest):
                raise RuntimeError("no such actor")
            return super().post(message)

    with serving(Failing()) as api, Client(api, POLL) as user, Client(api) as worker:
        assert user.until_closed() == b""
        assert worker.exchange(HEARTBEAT)[0] == 200
        assert "no such actor" in caplog.text


def test_sockets_and_memory_bound_the_connections() -> None:
    assert max_api_connections(Limits(memory_mb=256.0, max_sockets=8_192)) == 6_144
    assert FLEET <= max_api_connections(Limits(memory_mb=128.0, max_sockets=8_192)) < 6_144
    assert max_api_connections(Limits(memory_mb=30.0, max_sockets=16)) == 64


def test_sockets_and_memory_bound_the_request_threads() -> None:
    assert request_threads(Limits(memory_mb=256.0, max_sockets=10**6)) == MAX_REQUEST_THREADS == 256
    assert request_threads(Limits(memory_mb=256.0, max_sockets=1_024)) == 64
    assert request_threads(Limits(memory_mb=80.0, max_sockets=8_192)) == 80
    assert request_threads(Limits(memory_mb=30.0, max_sockets=16)) == 32


def test_a_site_with_more_sockets_has_more_threads_for_probes() -> None:
    assert [probe_threads(Limits(max_sockets=sockets)) for sockets in (16, 1_024, 6_144, 10**6)] == [12, 16, 96, 96]


def test_a_pool_takes_a_call_to_every_worker_of_a_fleet() -> None:
    refused: list[CallResult] = []

    def post(answer: CallResult) -> bool:
        refused.append(answer)
        return False

    pool = ClientPool("test", 0, post)
    for number in range(2 * FLEET):
        pool.submit(Call("10.0.0.1:1", number, "GET", "/inspect"), "10.0.0.1:1")
    assert not refused


def read_all(pieces: list[bytes]) -> list[bytes]:
    """The requests of a line and, after it, three bytes, read while they arrive."""
    server, client = socket.socketpair()
    found = []
    with server, client:
        server.setblocking(False)
        connection = Connection(server, ("client", 0))
        connection.deadline_us = steady_us() + int(PATIENCE_S * 1e6)
        reader = RequestReader(connection)
        sender = threading.Thread(target=send_all, args=(client, pieces))
        sender.start()
        while line := reader.readline(8):
            found += [line, reader.read(3)]
            reader.has_buffered_data()  # does not wait, and loses nothing
        assert not reader.has_buffered_data()
        sender.join()
    return found


def send_all(client: socket.socket, pieces: list[bytes]) -> None:
    for piece in pieces:
        client.sendall(piece)
    client.shutdown(socket.SHUT_WR)


@settings(deadline=None, max_examples=200)
@given(st.lists(st.binary(min_size=1, max_size=12).map(lambda data: data.replace(b"\0", b"\n")), max_size=8))
def test_however_a_stream_is_cut_the_same_is_read(pieces: list[bytes]) -> None:
    whole, expected = io.BytesIO(b"".join(pieces)), []
    while line := whole.readline(8):
        expected += [line, whole.read(3)]
    assert read_all(pieces) == expected


@settings(deadline=None)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 30), st.booleans()), max_size=40))
def test_deadlines_expire_in_time(steps: list[tuple[int, int, bool]]) -> None:
    deadlines, expected, now_us = DeadlineQueue[int](20), dict[int, int](), 0
    for key, passed_us, starts in steps:
        now_us += passed_us
        expired = {key for key, deadline_us in expected.items() if deadline_us <= now_us}
        assert set(deadlines.pop_expired(now_us)) == expected.keys() & expired
        expected = {key: deadline_us for key, deadline_us in expected.items() if key not in expired}
        if starts:
            deadlines.start(key, now_us)
            expected[key] = now_us + 20
        else:
            deadlines.cancel(key)
            expected.pop(key, None)
        assert deadlines.next_us() == min(expected.values(), default=None)
