"""Starts a real process on loopback, with stand-ins for the state service, cloud and one worker."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

from quinceslip.transport.watchdog import STALL_EXIT_STATUS
from tests.inputs import ROOT, settings_text
from tests.simulation.inputs import job_spec


class Outside:
    """State service and cloud in one, just enough of both."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.revision = 0
        self.data: dict[str, tuple[Any, int]] = {}
        self.history: list[dict[str, Any]] = []
        self.worker: Worker | None = None  # the machine that is asked directly
        outside = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, format: str, *args: Any) -> None:
                pass

            def serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length)) if length else None
                status, answer = outside.answer(self.path, body)
                data = json.dumps(answer).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:  # the process was ended while it waited
                    self.close_connection = True

            do_GET = do_POST = do_DELETE = serve

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.port = self.server.server_address[1]

    def answer(self, path: str, body: Any) -> tuple[int, Any]:
        if path in ("/inspect", "/do"):
            assert self.worker is not None
            return self.worker.asked(body)
        if path.startswith("/changes"):
            since = int(path.split("since=")[1].split("&")[0])
            for _ in range(20):
                with self.lock:
                    events = [e for e in self.history if e["stamp"] > since]
                    if events:
                        return 200, {"ledger": self.revision, "events": events}
                time.sleep(0.02)
            return 200, {"ledger": self.revision, "events": []}
        with self.lock:
            if path == "/txn":
                failed = [c["k"] for c in body["if"] if self.data.get(c["k"], (0, 0))[1] != c["stamp"]]
                if failed:
                    return 409, {"failed": failed, "ledger": self.revision}
                self.revision += 1
                for op in body["then"]:
                    key = op.get("write") or op["drop"]
                    if "write" in op:
                        self.data[key] = (op["v"], self.revision)
                    else:
                        self.data.pop(key, None)
                    self.history.append({**op, "stamp": self.revision})
                return 200, {"ledger": self.revision}
            if path.startswith("/holds"):
                return 200, {"hold": 1}
            if path.startswith("/kv?"):
                items = [{"k": k, "v": v, "stamp": s} for k, (v, s) in sorted(self.data.items())]
                return 200, {"items": items, "hasNext": False, "ledger": self.revision}
            if path.startswith("/kv/"):
                found = self.data.get(path.removeprefix("/kv/"))
                if found is not None:
                    return 200, {"k": path.removeprefix("/kv/"), "v": found[0], "stamp": found[1]}
                return 404, {"ledger": self.revision}
            if path == "/flavors":
                return 200, {
                    "builds": [
                        {
                            "label": "m",
                            "vcpus": 16,
                            "gpus": 0,
                            "memGb": 64,
                            "price": 1.0,
                            "lowPrice": 0.4,
                            "startupS": 1,
                            "yards": ["a"],
                        }
                    ]
                }
            if path.startswith("/hosts?"):
                return 200, {"berths": [], "hasNext": False}
            return 503, {"error": "no capacity"}


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def _ask(port: int, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=6)
    try:
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        connection.request(method, path, body=data)
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else None
    finally:
        connection.close()


def _wait(condition: Any, seconds: float = 20.0) -> None:
    ends = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < ends, "nothing came of it in time"
        time.sleep(0.1)


def loopback() -> None:
    outside = Outside()
    port = _free_port()
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "service.toml"
        # So little memory that no more than 64 connections are served at once.
        config.write_text(
            settings_text(api=port, peer=_free_port(), cloud=outside.port, state=outside.port)
            + "[facts.limits]\nmemory_mb = 45.0\nmax_sockets = 80\n"
        )
        tree = Path(folder) / "quotas.ini"
        tree.write_text("[quota]\nversion = 1\n[quota guild]\ncpus_max = 8\nteams = team\n")
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "run.py"), "run", "--config", str(config), "--operator-config", str(tree)],
            env={**os.environ, "LOG_LEVEL": "error"},
        )
        try:
            _serve(process, port, outside)
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait(10)


#: a controller whose levels are never solved while a file is there
NEVER_SOLVED = """
import os, sys, threading
sys.path[:0] = [{root!r}, {deps!r}]
from quinceslip.coordination.load_balancing import queueing_model
solved = queueing_model.fair_levels
def fair_levels(stations, total):
    while os.path.exists({mark!r}):
        if os.path.getsize({mark!r}):
            threading.Event().wait()
    return solved(stations, total)
queueing_model.fair_levels = fair_levels
from quinceslip.cli import main
sys.exit(main(sys.argv[1:]))
"""


def standstill() -> None:
    """The actor of a real process stands still and is ended; a process that was only stopped is not."""
    outside = Outside()
    port = _free_port()
    with tempfile.TemporaryDirectory() as folder:
        config, own, mark = Path(folder) / "service.toml", Path(folder) / "own.ini", Path(folder) / "mark"
        lease_s, hold_s = 6.0, 2.0
        config.write_text(
            settings_text(api=port, peer=_free_port(), cloud=outside.port, state=outside.port).replace(
                "lease_s = 10.0", f"lease_s = {lease_s}"
            )
        )
        own.write_text("[quinceslip]\nbalance_period_s = 0.3\n")
        log = (Path(folder) / "log").open("wb")
        script = NEVER_SOLVED.format(root=str(ROOT), deps=str(ROOT / "target" / "deps"), mark=str(mark))

        def start() -> subprocess.Popen[bytes]:
            return subprocess.Popen(
                [sys.executable, "-c", script, "run", "--config", str(config), "--operator-config", str(own)],
                env={**os.environ, "LOG_LEVEL": "info"},
                stderr=log,
            )

        process = start()
        try:
            worker = Worker(port, outside)
            _wait(lambda: _ready(port))
            worker.runs("req-000001")
            # Stopped for less than the limit, and for more: each time it goes on as it was.
            for stopped_s in (hold_s / 2, 2 * hold_s):
                process.send_signal(signal.SIGSTOP)
                time.sleep(stopped_s)
                process.send_signal(signal.SIGCONT)
                worker.runs(f"req-1{int(10 * stopped_s):05d}")
            until = time.monotonic() + hold_s

            def heartbeats_until_then() -> bool:
                worker.heartbeat()
                return time.monotonic() > until

            _wait(heartbeats_until_then)
            assert process.poll() is None
            # Now the actor stands still in earnest: ended with its own status, after the limit and two calls. (A
            # machine that is busy gives it half the limit of processor time later.)
            _wait(lambda: _ask(port, "POST", "/v1/jobs", job_spec("req-000002"))[0] in (200, 201))
            mark.touch()
            begun = time.monotonic()
            status = process.wait(20)
            took_s = time.monotonic() - begun
            assert status == STALL_EXIT_STATUS and hold_s <= took_s < hold_s + 8.0, (status, took_s)
            # Whatever runs it starts it again. The same records are still there, and are not solved at once.
            process = start()
            _wait(lambda: _ready(port))
            worker.runs("req-000002")
            worker.runs("req-000003")
            assert process.poll() is None
            mark.unlink()
            # The pause over, the levels are solved again.
            assert outside.data["q/standstill/berth-0"][0]["times"] == 1
            _wait(lambda: "fair workload levels resumed" in (Path(folder) / "log").read_text(encoding="utf-8"))
            assert time.monotonic() > begun + took_s + 2 * lease_s - 1.0
            assert _ready(port) and process.poll() is None
            # It stands still again, waiting for nothing now: the second time in a row.
            mark.write_text("waits")
            begun = time.monotonic()
            status = process.wait(20)
            assert status == STALL_EXIT_STATUS and hold_s <= time.monotonic() - begun < hold_s + 8.0, status
            assert outside.data["q/standstill/berth-0"][0]["times"] == 2
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait(10)
            log.close()
        said = (Path(folder) / "log").read_text(encoding="utf-8")
        assert said.count("actor stalled: it has worked for ") == 1, said[-2000:]
        assert said.count("actor stalled: it waits at one place") == 1, said[-2000:]
        assert "(levels), at" in said and ", in fair_levels" in said and "most recent call first" in said
        assert said.count("fair workload levels suspended") == 1 and said.count("fair workload levels resumed") == 1, (
            said[-2000:]
        )


def _ready(port: int) -> bool:
    try:
        return _ask(port, "GET", "/ready")[0] == 200
    except OSError:
        return False


class Worker:
    """One machine that reports, answers when it is asked, and is done with each task at once."""

    def __init__(self, port: int, outside: Outside) -> None:
        self.port = port
        self.endpoint = f"127.0.0.1:{outside.port}"
        self.lock = threading.Lock()
        self.tasks: list[dict[str, Any]] = []
        self.tick = self.baton = 0
        outside.worker = self

    def state(self) -> dict[str, Any]:
        with self.lock:
            self.tick += 1
            return {
                "berth": "n-000001",
                "endpoint": self.endpoint,
                "build": "m",
                "yard": "a",
                "loaners": False,
                "stint": 1,
                "tick": self.tick,
                "baton": self.baton,
                "warningS": None,
                "picks": list(self.tasks),
            }

    def obey(self, answer: dict[str, Any]) -> None:
        with self.lock:
            if answer["baton"] < self.baton:
                return
            self.baton = answer["baton"]
            for order in answer["orders"]:
                if order["verb"] == "launch" and not any(t["pick"] == order["pick"] for t in self.tasks):
                    self.tasks.append({"pick": order["pick"], "try": order["try"], "status": "exited", "cause": "done"})
                elif order["verb"] == "reap":
                    self.tasks = [t for t in self.tasks if t["pick"] != order["pick"]]

    def asked(self, body: Any) -> tuple[int, Any]:
        """`/inspect`, or `/do` with its orders."""
        if body is not None:
            self.obey(body)
        return 200, self.state()

    def heartbeat(self) -> None:
        try:
            status, answer = _ask(self.port, "POST", "/hello", self.state())
        except OSError:
            return
        if status == 200:
            self.obey(answer)

    def runs(self, job_id: str) -> None:
        """Submit a job, report until it is done."""
        _wait(lambda: _ask(self.port, "POST", "/v1/jobs", job_spec(job_id))[0] in (200, 201))

        def done() -> bool:
            self.heartbeat()
            return bool(_ask(self.port, "GET", f"/v1/jobs/{job_id}")[1].get("status") == "done")

        _wait(done)


def _serve(process: subprocess.Popen[bytes], port: int, outside: Outside) -> None:
    _wait(lambda: _ready(port))
    job_id = "req-000007"
    spec = job_spec(job_id)
    _wait(lambda: _ask(port, "POST", "/v1/jobs", spec)[0] in (200, 201))
    assert _ask(port, "POST", "/v1/jobs", {**spec, "picks": 9})[0] == 200
    assert _ask(port, "POST", "/v1/jobs", b"{")[0] == 400
    assert _ask(port, "POST", "/v1/jobs", b"[1]")[0] == 400
    assert _ask(port, "POST", "/v1/jobs", job_spec("req-000008", crew="nobody"))[0] == 422
    assert _ask(port, "POST", "/v1/jobs", job_spec("req-000009", vcpus=99.0))[0] == 422
    assert _ask(port, "GET", "/v1/jobs/req-000404")[0] == 404
    assert _ask(port, "GET", "/elsewhere")[0] == 404
    assert "over the limit of guild" in _ask(port, "POST", "/v1/jobs", job_spec("req-000010", vcpus=9.0))[1]["error"]
    assert _ask(port, "DELETE", f"/v1/jobs/{job_id}")[0] == 405
    assert _ask(port, "PUT", "/hello", b"{}")[0] == 405
    assert _ask(port, "POST", "/hello", b'{"berth":3}')[0] == 400
    nowhere = b'{"berth":"n-1","endpoint":"nowhere","build":"m","yard":"a","stint":1,"tick":1,"baton":0}'
    assert _ask(port, "POST", "/hello", nowhere)[0] == 400
    with socket.create_connection(("127.0.0.1", port), timeout=5) as large:
        large.sendall(b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n")
        assert b" 413 " in large.recv(200)  # refused before the body is sent
    for body in (b"", b"\xff\xfe", b"null", b'{"uid":' * 500, b'{"uid":"req-1","picks":1e999}') * 20:
        assert _ask(port, "POST", "/v1/jobs", body)[0] == 400
    # More half-open and slow clients than the process has connections for, while the others are served:
    # the one that has been quiet longest is closed, never a worker's.
    slow = []
    for _ in range(100):
        connection = socket.create_connection(("127.0.0.1", port), timeout=5)
        connection.sendall(b"POST /hello HTTP/1.1\r\nContent-Le")
        slow.append(connection)
    # A worker appears, is told to launch the task, and reports it done.
    Worker(port, outside).runs(job_id)
    assert _ask(port, "GET", f"/v1/jobs/{job_id}")[1]["status"] == "done"
    assert _ask(port, "POST", f"/v1/jobs/{job_id}/cancel")[1]["status"] == "done"
    shown = subprocess.run(
        [sys.executable, str(ROOT / "run.py"), "quota", "show", "--from", f"127.0.0.1:{port}", "--json"],
        capture_output=True,
        check=True,
        timeout=30,
    ).stdout
    guild = json.loads(shown)["levels"][0]
    assert guild["level"] == "guild" and guild["cap"] == {"cpus": 8.0} and guild["held"], guild
    for connection in slow:
        connection.close()
    assert process.poll() is None
