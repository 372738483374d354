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

from tests.inputs import ROOT, settings_text
from tests.world import job_spec


class Outside:
    """State service and cloud in one, just enough of both."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.ledger = 0
        self.data: dict[str, tuple[Any, int]] = {}
        self.history: list[dict[str, Any]] = []
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
        if path.startswith("/changes"):
            since = int(path.split("since=")[1].split("&")[0])
            for _ in range(20):
                with self.lock:
                    events = [e for e in self.history if e["stamp"] > since]
                    if events:
                        return 200, {"ledger": self.ledger, "events": events}
                time.sleep(0.02)
            return 200, {"ledger": self.ledger, "events": []}
        with self.lock:
            if path == "/txn":
                failed = [c["k"] for c in body["if"] if self.data.get(c["k"], (0, 0))[1] != c["stamp"]]
                if failed:
                    return 409, {"failed": failed, "ledger": self.ledger}
                self.ledger += 1
                for op in body["then"]:
                    key = op.get("write") or op["drop"]
                    if "write" in op:
                        self.data[key] = (op["v"], self.ledger)
                    else:
                        self.data.pop(key, None)
                    self.history.append({**op, "stamp": self.ledger})
                return 200, {"ledger": self.ledger}
            if path.startswith("/holds"):
                return 200, {"hold": 1}
            if path.startswith("/kv?"):
                items = [{"k": k, "v": v, "stamp": s} for k, (v, s) in sorted(self.data.items())]
                return 200, {"items": items, "hasNext": False, "ledger": self.ledger}
            if path.startswith("/kv/"):
                return 404, {"ledger": self.ledger}
            if path == "/flavors":
                return 200, {"builds": [{"label": "m", "vcpus": 16, "gpus": 0, "memGb": 64, "price": 1.0,
                                         "lowPrice": 0.4, "startupS": 1, "yards": ["a"]}]}
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
        config.write_text(settings_text(api=port, peer=_free_port(), cloud=outside.port, state=outside.port)
                          + "[facts.limits]\nmemory_mb = 45.0\n")
        tree = Path(folder) / "quotas.ini"
        tree.write_text("[quota]\nversion = 1\n[quota guild]\ncpus_max = 8\nteams = team\n")
        process = subprocess.Popen([sys.executable, str(ROOT / "run.py"), "run", "--config", str(config),
                                    "--operator-config", str(tree)],
                                   env={**os.environ, "LOG_LEVEL": "error"})
        try:
            _serve(process, port)
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait(10)


def _serve(process: subprocess.Popen[bytes], port: int) -> None:
    def ready() -> bool:
        try:
            return _ask(port, "GET", "/ready")[0] == 200
        except OSError:
            return False

    _wait(ready)
    uid = "req-000007"
    spec = job_spec(uid)
    _wait(lambda: _ask(port, "POST", "/v1/jobs", spec)[0] in (200, 201))
    assert _ask(port, "POST", "/v1/jobs", {**spec, "picks": 9})[0] == 200
    assert _ask(port, "POST", "/v1/jobs", b"{")[0] == 400
    assert _ask(port, "POST", "/v1/jobs", b"[1]")[0] == 400
    assert _ask(port, "POST", "/v1/jobs", job_spec("req-000008", crew="nobody"))[0] == 422
    assert _ask(port, "POST", "/v1/jobs", job_spec("req-000009", vcpus=99.0))[0] == 422
    assert _ask(port, "GET", "/v1/jobs/req-000404")[0] == 404
    assert _ask(port, "GET", "/elsewhere")[0] == 404
    assert "over the limit of guild" in _ask(port, "POST", "/v1/jobs", job_spec("req-000010", vcpus=9.0))[1]["error"]
    assert _ask(port, "DELETE", f"/v1/jobs/{uid}")[0] == 405
    assert _ask(port, "PUT", "/hello", b"{}")[0] == 405
    assert _ask(port, "POST", "/hello", b'{"berth":3}')[0] == 400
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
    tasks: list[dict[str, Any]] = []
    tick = 0

    def report() -> dict[str, Any]:
        nonlocal tick
        tick += 1
        status, answer = _ask(port, "POST", "/hello", {
            "berth": "n-000001", "endpoint": "127.0.0.1:1", "build": "m", "yard": "a", "loaners": False,
            "stint": 1, "tick": tick, "baton": baton, "warningS": None, "picks": tasks})
        return answer if status == 200 else {"baton": baton, "orders": []}

    baton = 0
    for _ in range(50):
        answer = report()
        baton = answer["baton"]
        for order in answer["orders"]:
            if order["verb"] == "launch" and not tasks:
                tasks.append({"pick": order["pick"], "try": order["try"], "status": "exited", "cause": "done"})
            elif order["verb"] == "reap":
                tasks = [t for t in tasks if t["pick"] != order["pick"]]
        if _ask(port, "GET", f"/v1/jobs/{uid}")[1]["status"] == "done":
            break
        time.sleep(0.2)
    assert _ask(port, "GET", f"/v1/jobs/{uid}")[1]["status"] == "done"
    assert _ask(port, "POST", f"/v1/jobs/{uid}/cancel")[1]["status"] == "done"
    shown = subprocess.run([sys.executable, str(ROOT / "run.py"), "quota", "show", "--from", f"127.0.0.1:{port}",
                            "--json"], capture_output=True, check=True, timeout=30).stdout
    guild = json.loads(shown)["levels"][0]
    assert guild["level"] == "guild" and guild["cap"] == {"cpus": 8.0} and guild["held"], guild
    for connection in slow:
        connection.close()
    assert process.poll() is None
