"""One small deployment for a case: real controllers, stand-ins around them, users, and the record of what happened."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from review.standins.http import request
from review.standins.machines import Cloud, MachineType, Site
from review.standins.state import Limits, State

ROOT = Path(__file__).resolve().parents[2]

SETTINGS = """label = "{label}"
location = "{zone}"
api_addr = "127.0.0.1:{api}"
peer_bind = "127.0.0.1:{peer}"
{known}
[outside]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"

[facts]
size = {size}
zones = [{zones}]
time_bound_ms = 5.0
{teams}
[facts.workers]
report_s = {report_s}
lease_s = {lease_s}
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = {cancel_s}

[facts.state]
rps = {limits.rps}
write_rps = {limits.write_rps}
value_kb = {limits.value_kb}
txn_ops = {limits.txn_ops}

[facts.cloud]
rps = 8.0
list_lag_s = 6.0

[facts.limits]
cpu_share = 1.0
memory_mb = {memory_mb}
max_sockets = {max_sockets}
"""


class Record:
    """Writes `record.txt`: a line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.notes: list[tuple[float, str, dict[str, Any]]] = []
        self._file = path.open("w", encoding="utf-8", buffering=1)

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def note(self, what: str, **details: Any) -> None:
        """Write a line."""
        at = self.now()
        self.notes.append((at, what, details))
        self._file.write(f"{at:8.3f} {what} {json.dumps(details)}\n")


def free_ports(count: int) -> list[int]:
    """Return different ports that are free now, below those that the system gives to outgoing connections."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Deployment:
    """Controllers as separate processes, and the outside systems that they meet."""

    def __init__(
        self,
        record: Record,
        size: int = 3,
        types: list[MachineType] | None = None,
        capacity: int = 4,
        limits: Limits | None = None,
        teams: str = '[[facts.teams]]\nname = "prepress-desk"\n',
        **facts: Any,
    ) -> None:
        self.record, self.size, self.teams = record, size, teams
        self.facts = {
            "report_s": 4.0,
            "lease_s": 26.0,
            "cancel_s": 46.0,
            "memory_mb": 146.0,
            "max_sockets": 1500,
            **facts,
        }
        self.zones = ["cork-hall", "galway-loft"]
        self.labels = [f"berth-{i}" for i in range(size)]
        ports = free_ports(2 * size)
        self.api = dict(zip(self.labels, ports[:size], strict=True))
        self.peer = dict(zip(self.labels, ports[size:], strict=True))
        self.folder = tempfile.TemporaryDirectory()
        self.site = Site(record.note, self.api, self.facts["report_s"], self.facts["lease_s"])
        self.state = State(limits or Limits())
        self.cloud = Cloud(self.site, types or [MachineType()], capacity)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        #: addresses of the state service by controller, where a case puts a proxy between them
        self.state_ports: dict[str, int] = {}

    async def start_outside(self) -> None:
        """Start the state service and the cloud."""
        await self.state.start()
        await self.cloud.start()

    def _settings(self, label: str) -> Path:
        known = "".join(
            f'\n[[known]]\nlabel = "{other}"\nlocation = "{self._zone(other)}"\nendpoint = "127.0.0.1:{port}"\n'
            for other, port in self.peer.items()
            if other != label
        )
        path = Path(self.folder.name) / f"{label}.toml"
        path.write_text(
            SETTINGS.format(
                label=label,
                zone=self._zone(label),
                api=self.api[label],
                peer=self.peer[label],
                known=known,
                cloud=self.cloud.server.port,
                state=self.state_ports.get(label, self.state.server.port),
                size=self.size,
                zones=", ".join(f'"{zone}"' for zone in self.zones),
                teams=self.teams,
                limits=self.state.limits,
                **self.facts,
            ),
            encoding="utf-8",
        )
        return path

    def _zone(self, label: str) -> str:
        return self.zones[self.labels.index(label) % len(self.zones)]

    def start(self, label: str) -> None:
        """Start a controller with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        command = [*shlex.split(deploy["run"]), str(self._settings(label))]
        log = (Path(self.folder.name) / f"{label}.log").open("ab")
        env = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "error")}
        self.processes[label] = subprocess.Popen(command, cwd=ROOT, stderr=log, stdout=log, env=env)
        log.close()
        self.record.note("controller started", label=label)

    def signal(self, label: str, number: signal.Signals) -> None:
        """Send a signal to a controller of this case."""
        self.processes[label].send_signal(number)
        self.record.note("signal", label=label, signal=number.name)

    def kill(self, label: str) -> None:
        """Kill a controller without a warning, and wait for its end."""
        process = self.processes.pop(label)
        if process.poll() is None:
            process.kill()
        self.record.note("controller killed", label=label, status=process.wait())

    def end(self) -> None:
        """End all processes of this case and keep what they wrote as errors."""
        for label in list(self.processes):
            self.kill(label)
        for label in self.labels:
            log = Path(self.folder.name) / f"{label}.log"
            lines = log.read_text(encoding="utf-8", errors="replace").splitlines() if log.exists() else []
            for line in lines[-int(os.environ.get("LOG_LINES", "8")) :]:
                self.record.note("log", label=label, line=line[:400])
        self.folder.cleanup()

    # Users.

    async def ready(self, label: str) -> bool:
        """Return whether a controller answers its health check with 200."""
        return (await request(self.api[label], "GET", "/ready", None, 1.0))[0] == 200

    async def wait_for(self, condition: Callable[[], Any], seconds: float, step_s: float = 0.2) -> bool:
        """Wait until an awaitable condition holds; returns whether it did in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(step_s)
        return False

    async def all_ready(self) -> bool:
        """Return whether all controllers are ready."""
        return all([await self.ready(label) for label in self.labels])

    def healthy(self) -> list[str]:
        """Return the controllers whose process runs."""
        return [label for label, process in self.processes.items() if process.poll() is None]

    async def submit(self, spec: dict[str, Any], run_s: float = 1.0, seconds: float = 60.0, first: int = 0) -> int:
        """Submit a job as a user does, again and again for a minute; returns the last status.

        `first` is the number of the controller that is asked first.
        """
        self.site.specs[spec["uid"]] = spec
        self.site.run_s[spec["uid"]] = run_s
        return await self._repeat("POST", "/v1/jobs", spec, seconds, (200, 201, 400, 422), first)

    async def cancel(self, job: str, seconds: float = 60.0) -> int:
        """Cancel a job as a user does; returns the last status."""
        return await self._repeat("POST", f"/v1/jobs/{job}/cancel", None, seconds, (200, 404))

    async def _repeat(
        self, method: str, path: str, body: Any, seconds: float, final: tuple[int, ...], position: int = 0
    ) -> int:
        end = time.monotonic() + seconds
        while True:
            label = self.labels[position % self.size]
            self.record.note("sent", to=f"{method} {path}", node=label, body=body)
            status, answer = await request(self.api[label], method, path, body, 5.0)
            uid = body["uid"] if body else path
            self.record.note("answer", to=f"{method} {path}", uid=uid, node=label, status=status, body=answer)
            if status in final or time.monotonic() > end:
                return status
            position += 1
            await asyncio.sleep(1.0)

    async def poll(self, job: str, label: str, quiet: bool = False) -> tuple[int, str | None]:
        """Ask one controller about a job; returns the HTTP status and the status of the job."""
        sent = self.record.now()
        status, answer = await request(self.api[label], "GET", f"/v1/jobs/{job}", None, 2.0)
        if not quiet:
            self.record.note("answer", sent=round(sent, 3), to="poll", uid=job, node=label, status=status, body=answer)
        return status, answer.get("status") if answer else None


def job(uid: str, **changes: Any) -> dict[str, Any]:
    """Return a job's description as its user submits it."""
    spec: dict[str, Any] = {
        "uid": uid,
        "lane": "proof-render",
        "crew": "prepress-desk",
        "shape": "array",
        "rank": "normal",
        "picks": 2,
        "vcpus": 2.0,
        "gpus": 0.0,
        "memGb": 6.4,
        "kit": "img-1",
        "sizeGb": 0.5,
        "builds": None,
        "yard": None,
        "together": False,
        "spread": False,
        "loaners": True,
        "expectS": 5.0,
        "markEveryS": 0.0,
        "markCostS": 0.0,
        "dueS": None,
    }
    return {**spec, **changes}


#: exit statuses of a case
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: longest run of a case
MAX_RUN_S = 117.0


class NotRunError(Exception):
    """The case could not be brought to the point at which the rule is judged."""


def require(condition: object, text: str) -> None:
    """Raise NotRunError unless the condition holds."""
    if not condition:
        raise NotRunError(text)


def run_case(folder: Path, play: Callable[[Record, bool], Coroutine[Any, Any, list[str]]]) -> int:
    """Play a case and return its exit status; `play` gets whether to cause the disruption, and returns the breaches."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))  # the processes are ended on the way out
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("case", folder=folder.name, trouble=trouble)
    try:
        breaches = asyncio.run(asyncio.wait_for(play(record, trouble), MAX_RUN_S))
    except (NotRunError, TimeoutError, OSError) as error:
        record.note("not run", error=repr(error))
        print(f"could not run: {error!r}")
        return NOT_RUN
    for breach in breaches:
        record.note("BROKEN", rule=breach)
        print(f"broken: {breach}")
    if not breaches:
        record.note("held")
        print("the rule held")
    return BROKEN if breaches else HELD
