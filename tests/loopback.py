"""Runs a real process over loopback, with fakes of the state service, the cloud and one worker."""

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


class FakeServices:
    """Minimal fake of the state service and the cloud behind one port."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.revision = 0
        self.data: dict[str, tuple[Any, int]] = {}
        self.history: list[dict[str, Any]] = []
        self.worker: FakeWorker | None = None  # the worker that receives direct calls
        services = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, format: str, *args: Any) -> None:
                pass

            def serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length)) if length else None
                status, answer = services.answer(self.path, body)
                data = json.dumps(answer).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:  # the process was terminated before the answer
                    self.close_connection = True

            do_GET = do_POST = do_DELETE = serve

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.port = self.server.server_address[1]

    def answer(self, path: str, body: Any) -> tuple[int, Any]:
        if path in ("/inspect", "/do"):
            assert self.worker is not None
            return self.worker.handle_call(body)
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


def _request(port: int, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=6)
    try:
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        connection.request(method, path, body=data)
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else None
    finally:
        connection.close()


def _wait_for(condition: Any, seconds: float = 20.0) -> None:
    deadline_s = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline_s, "timed out waiting for the condition"
        time.sleep(0.1)


def loopback() -> None:
    services = FakeServices()
    port = _free_port()
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "service.toml"
        # The memory limit allows no more than 64 connections at a time.
        config.write_text(
            settings_text(api=port, peer=_free_port(), cloud=services.port, state=services.port)
            + "[facts.limits]\nmemory_mb = 45.0\nmax_sockets = 80\n"
        )
        tree = Path(folder) / "quotas.ini"
        tree.write_text("[quota]\nversion = 1\n[quota guild]\ncpus_max = 8\nteams = team\n")
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "run.py"), "run", "--config", str(config), "--operator-config", str(tree)],
            env={**os.environ, "LOG_LEVEL": "error"},
        )
        try:
            _serve(process, port, services)
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait(10)


#: runs a controller that never finishes solving the fair levels while a file exists
STALLING_CONTROLLER = """
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


def stalled_actor() -> None:
    """A real process exits when its actor has stalled, but not after it was merely stopped by a signal."""
    services = FakeServices()
    port = _free_port()
    with tempfile.TemporaryDirectory() as folder:
        config, operator_config, stall_file = (
            Path(folder) / "service.toml",
            Path(folder) / "own.ini",
            Path(folder) / "mark",
        )
        lease_s, stall_limit_s = 6.0, 2.0
        config.write_text(
            settings_text(api=port, peer=_free_port(), cloud=services.port, state=services.port).replace(
                "lease_s = 10.0", f"lease_s = {lease_s}"
            )
        )
        operator_config.write_text("[quinceslip]\nbalance_period_s = 0.3\n")
        log = (Path(folder) / "log").open("wb")
        script = STALLING_CONTROLLER.format(root=str(ROOT), deps=str(ROOT / "target" / "deps"), mark=str(stall_file))

        def start() -> subprocess.Popen[bytes]:
            return subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    script,
                    "run",
                    "--config",
                    str(config),
                    "--operator-config",
                    str(operator_config),
                ],
                env={**os.environ, "LOG_LEVEL": "info"},
                stderr=log,
            )

        process = start()
        try:
            worker = FakeWorker(port, services)
            _wait_for(lambda: _ready(port))
            worker.run_job("req-000001")
            # Stopped for less and for more than the stall limit: each time the process continues.
            for stopped_s in (stall_limit_s / 2, 2 * stall_limit_s):
                process.send_signal(signal.SIGSTOP)
                time.sleep(stopped_s)
                process.send_signal(signal.SIGCONT)
                worker.run_job(f"req-1{int(10 * stopped_s):05d}")
            deadline_s = time.monotonic() + stall_limit_s

            def heartbeat_until_deadline() -> bool:
                worker.heartbeat()
                return time.monotonic() > deadline_s

            _wait_for(heartbeat_until_deadline)
            assert process.poll() is None
            # Now the actor really stalls: the process exits with its own status, after the limit and two calls. (On a
            # busy machine it takes longer to use processor time of half the limit.)
            _wait_for(lambda: _request(port, "POST", "/v1/jobs", job_spec("req-000002"))[0] in (200, 201))
            stall_file.touch()
            started_s = time.monotonic()
            status = process.wait(20)
            took_s = time.monotonic() - started_s
            assert status == STALL_EXIT_STATUS and stall_limit_s <= took_s < stall_limit_s + 8.0, (status, took_s)
            # The process is restarted. The same load records still exist; solving the fair levels is suspended.
            process = start()
            _wait_for(lambda: _ready(port))
            worker.run_job("req-000002")
            worker.run_job("req-000003")
            assert process.poll() is None
            stall_file.unlink()
            # After the pause, the levels are solved again.
            assert services.data["q/standstill/berth-0"][0]["times"] == 1
            _wait_for(lambda: "fair workload levels resumed" in (Path(folder) / "log").read_text(encoding="utf-8"))
            assert time.monotonic() > started_s + took_s + 2 * lease_s - 1.0
            assert _ready(port) and process.poll() is None
            # The actor stalls for the second time in a row, this time blocked without using processor time.
            stall_file.write_text("waits")
            started_s = time.monotonic()
            status = process.wait(20)
            assert (
                status == STALL_EXIT_STATUS and stall_limit_s <= time.monotonic() - started_s < stall_limit_s + 8.0
            ), status
            assert services.data["q/standstill/berth-0"][0]["times"] == 2
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait(10)
            log.close()
        log_text = (Path(folder) / "log").read_text(encoding="utf-8")
        assert log_text.count("actor stalled: it has worked for ") == 1, log_text[-2000:]
        assert log_text.count("actor stalled: it waits at one place") == 1, log_text[-2000:]
        assert "(levels), at" in log_text and ", in fair_levels" in log_text and "most recent call first" in log_text
        assert (
            log_text.count("fair workload levels suspended") == 1
            and log_text.count("fair workload levels resumed") == 1
        ), log_text[-2000:]


def _ready(port: int) -> bool:
    try:
        return _request(port, "GET", "/ready")[0] == 200
    except OSError:
        return False


class FakeWorker:
    """A fake worker that sends heartbeats, answers direct calls and completes each task immediately."""

    def __init__(self, port: int, services: FakeServices) -> None:
        self.port = port
        self.endpoint = f"127.0.0.1:{services.port}"
        self.lock = threading.Lock()
        self.tasks: list[dict[str, Any]] = []
        self.tick = self.baton = 0
        services.worker = self

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

    def apply_orders(self, answer: dict[str, Any]) -> None:
        with self.lock:
            if answer["baton"] < self.baton:
                return
            self.baton = answer["baton"]
            for order in answer["orders"]:
                if order["verb"] == "launch" and not any(t["pick"] == order["pick"] for t in self.tasks):
                    self.tasks.append({"pick": order["pick"], "try": order["try"], "status": "exited", "cause": "done"})
                elif order["verb"] == "reap":
                    self.tasks = [t for t in self.tasks if t["pick"] != order["pick"]]

    def handle_call(self, body: Any) -> tuple[int, Any]:
        """Handle `/inspect`, or `/do` with its orders."""
        if body is not None:
            self.apply_orders(body)
        return 200, self.state()

    def heartbeat(self) -> None:
        try:
            status, answer = _request(self.port, "POST", "/hello", self.state())
        except OSError:
            return
        if status == 200:
            self.apply_orders(answer)

    def run_job(self, job_id: str) -> None:
        """Submit a job, and send heartbeats until it is done."""
        _wait_for(lambda: _request(self.port, "POST", "/v1/jobs", job_spec(job_id))[0] in (200, 201))

        def done() -> bool:
            self.heartbeat()
            return bool(_request(self.port, "GET", f"/v1/jobs/{job_id}")[1].get("status") == "done")

        _wait_for(done)


def _serve(process: subprocess.Popen[bytes], port: int, services: FakeServices) -> None:
    _wait_for(lambda: _ready(port))
    job_id = "req-000007"
    spec = job_spec(job_id)
    _wait_for(lambda: _request(port, "POST", "/v1/jobs", spec)[0] in (200, 201))
    assert _request(port, "POST", "/v1/jobs", {**spec, "picks": 9})[0] == 200
    assert _request(port, "POST", "/v1/jobs", b"{")[0] == 400
    assert _request(port, "POST", "/v1/jobs", b"[1]")[0] == 400
    assert _request(port, "POST", "/v1/jobs", job_spec("req-000008", crew="nobody"))[0] == 422
    assert _request(port, "POST", "/v1/jobs", job_spec("req-000009", vcpus=99.0))[0] == 422
    assert _request(port, "GET", "/v1/jobs/req-000404")[0] == 404
    assert _request(port, "GET", "/elsewhere")[0] == 404
    assert (
        "over the limit of guild" in _request(port, "POST", "/v1/jobs", job_spec("req-000010", vcpus=9.0))[1]["error"]
    )
    assert _request(port, "DELETE", f"/v1/jobs/{job_id}")[0] == 405
    assert _request(port, "PUT", "/hello", b"{}")[0] == 405
    assert _request(port, "POST", "/hello", b'{"berth":3}')[0] == 400
    nowhere = b'{"berth":"n-1","endpoint":"nowhere","build":"m","yard":"a","stint":1,"tick":1,"baton":0}'
    assert _request(port, "POST", "/hello", nowhere)[0] == 400
    with socket.create_connection(("127.0.0.1", port), timeout=5) as large:
        large.sendall(b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n")
        assert b" 413 " in large.recv(200)  # rejected before the body is sent
    for body in (b"", b"\xff\xfe", b"null", b'{"uid":' * 500, b'{"uid":"req-1","picks":1e999}') * 20:
        assert _request(port, "POST", "/v1/jobs", body)[0] == 400
    # More half-open and slow clients than the process has connections for. The others are still served: the
    # connection that has been idle longest is closed, but never one of a worker.
    slow_clients = []
    for _ in range(100):
        connection = socket.create_connection(("127.0.0.1", port), timeout=5)
        connection.sendall(b"POST /hello HTTP/1.1\r\nContent-Le")
        slow_clients.append(connection)
    # A worker connects, is ordered to launch the task, and reports it as done.
    FakeWorker(port, services).run_job(job_id)
    assert _request(port, "GET", f"/v1/jobs/{job_id}")[1]["status"] == "done"
    assert _request(port, "POST", f"/v1/jobs/{job_id}/cancel")[1]["status"] == "done"
    output = subprocess.run(
        [sys.executable, str(ROOT / "run.py"), "quota", "show", "--from", f"127.0.0.1:{port}", "--json"],
        capture_output=True,
        check=True,
        timeout=30,
    ).stdout
    guild = json.loads(output)["levels"][0]
    assert guild["level"] == "guild" and guild["cap"] == {"cpus": 8.0} and guild["held"], guild
    for connection in slow_clients:
        connection.close()
    assert process.poll() is None
