"""A site of three controllers, started with the command of the deploy file, among the stand-ins."""

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.standins_2.cloud import Cloud
from review.standins_2.state import State
from review.standins_2.wire import Client
from review.standins_2.worker import Worker

ROOT = Path(__file__).resolve().parents[2]
USER_TIMEOUT_S = 5.0

#: facts of two small deployments; the first is that of DEPLOY
PRESS = {
    "zones": ["cork-hall", "galway-loft"],
    "team": "prepress-desk",
    "workers": {"report_s": 3.0, "lease_s": 26.0, "cancel_s": 46.0},
    "state": {"rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 16},
    "cloud": {"rps": 8.0, "list_lag_s": 6.0},
    "limits": {"cpu_share": 1.0, "memory_mb": 146.0, "max_sockets": 1500},
    "back_s": 6.0,
    "latency_s": 0.006,
}
PICKERS = {
    "zones": ["erie-east", "michigan-west", "superior-north"],
    "team": "floor-ops",
    "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 35.0},
    "state": {"rps": 150.0, "write_rps": 20.0, "value_kb": 32.0, "txn_ops": 16},
    "cloud": {"rps": 4.0, "list_lag_s": 5.0},
    "limits": {"cpu_share": 0.5, "memory_mb": 106.0, "max_sockets": 800},
    "back_s": 4.0,
    "latency_s": 0.005,
}


def build(label: str, vcpus: float, mem_gb: float, zones: list[str], pull: float = 1.0) -> dict[str, Any]:
    """A machine type."""
    return {
        "label": label,
        "vcpus": vcpus,
        "gpus": 0.0,
        "memGb": mem_gb,
        "cacheGb": 60.0,
        "pullGbPerS": pull,
        "price": 1.0,
        "lowPrice": 0.4,
        "startupS": 25.0,
        "yards": zones,
    }


def job(uid: str, team: str, **fields: Any) -> dict[str, Any]:
    """A submission: an array of one task, unless `fields` say otherwise."""
    return {
        "uid": uid,
        "lane": "reslot-run",
        "crew": team,
        "shape": "array",
        "rank": "normal",
        "picks": 1,
        "vcpus": 1.0,
        "gpus": 0.0,
        "memGb": 1.0,
        "kit": "img-01",
        "sizeGb": 0.5,
        "builds": None,
        "yard": None,
        "together": False,
        "spread": False,
        "loaners": False,
        "expectS": 5.0,
        "markEveryS": 0.0,
        "markCostS": 0.0,
        "dueS": None,
    } | fields


def free_ports(count: int) -> list[int]:
    """Ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Site:
    """Controllers and stand-ins of one run; `note` writes a line to the record."""

    def __init__(self, facts: dict[str, Any], types: list[dict[str, Any]], record: Path, capacity: int = 0) -> None:
        self.facts, self.types = facts, {one["label"]: one for one in types}
        self.folder = Path(tempfile.mkdtemp(prefix="quinceslip-"))
        self._record = record.open("w", encoding="utf-8")
        self._begun = time.monotonic()
        self.state = State(**facts["state"], latency_s=facts["latency_s"])
        self.cloud = Cloud(**facts["cloud"], types=types, capacity=capacity)
        self.cloud.boot, self.cloud.gone = self._boot, self._machine_gone
        self.labels = [f"berth-{number}" for number in range(3)]
        ports = free_ports(6)
        self.api = {label: f"127.0.0.1:{ports[n]}" for n, label in enumerate(self.labels)}
        self.peer = {label: f"127.0.0.1:{ports[3 + n]}" for n, label in enumerate(self.labels)}
        #: addresses that a controller is told for others, where a proxy stands between
        self.state_address: dict[str, str] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: Callable[[dict[str, Any]], float] = lambda one: one["expectS"]
        #: how long a machine boots; "at times machines are up within a second or two"
        self.boot_s = 2.0
        self._background: list[asyncio.Task[Any]] = []
        self._clients: dict[str, Client] = {}
        #: by task: the machine that it is on now
        self.on_machine: dict[str, set[str]] = {}
        self.twice: list[str] = []
        self.done_tasks: set[str] = set()

    def note(self, *what: Any) -> None:
        """Write a line to the record, with the seconds since the start."""
        self._record.write(f"{time.monotonic() - self._begun:9.3f} {' '.join(map(str, what))}\n")
        self._record.flush()

    def note_task(self, what: str, machine: str, *rest: Any) -> None:
        """Note a start or an end of a task, and whether it is on two machines."""
        self.note(what, machine, *rest)
        if what == "start":
            machines = self.on_machine.setdefault(rest[0], set())
            machines.add(machine)
            if len(machines) > 1:
                self.twice.append(f"{rest[0]} on {sorted(machines)}")
        elif what == "end":
            self.on_machine.get(rest[0], set()).discard(machine)
            if rest[2] == "done":
                self.done_tasks.add(rest[0])

    async def start_services(self) -> None:
        """Start the state service and the cloud."""
        await self.state.server.start()
        await self.cloud.server.start()
        self._background += [asyncio.create_task(self.state.run()), asyncio.create_task(self.cloud.run())]

    def _boot(self, name: str, label: str, yard: str, _loaners: bool) -> None:
        self.workers[name] = Worker(
            name, self.types[label], yard, self.api, self.facts["workers"], self.jobs, self._run_s, self.note_task
        )
        self._background.append(asyncio.create_task(self._bring_up(name)))

    async def _bring_up(self, name: str) -> None:
        await asyncio.sleep(self.boot_s)
        if name in self.cloud.hosts:
            await self.workers[name].start()
            self.cloud.hosts[name] |= {"status": "running", "endpoint": self.workers[name].server.address}
            self.note("machine up", name)

    async def machine_up(self, label: str, yard: str, controller: int | None = None) -> Worker:
        """Add a machine that is up at once; `controller` is the position of the one that it reports to first."""
        boot_s, self.boot_s = self.boot_s, 0.0
        name = self.cloud.add(label, yard)
        if controller is not None:
            self.workers[name].current = controller
        while not self.workers[name].server.port:
            await asyncio.sleep(0.01)
        self.boot_s = boot_s
        return self.workers[name]

    def _run_s(self, one: dict[str, Any]) -> float:
        return self.run_s(one)

    def _machine_gone(self, name: str) -> None:
        self.note("machine gone", name)
        self.workers[name].end()

    # Controllers.

    def _settings(self, label: str) -> str:
        facts = self.facts
        others = [other for other in self.labels if other != label]
        zone = {other: facts["zones"][n % len(facts["zones"])] for n, other in enumerate(self.labels)}
        lines = [f'label = "{label}"', f'location = "{zone[label]}"']
        lines += [f'api_addr = "{self.api[label]}"', f'peer_bind = "{self.peer[label]}"']
        for other in others:
            lines += ["[[known]]", f'label = "{other}"', f'location = "{zone[other]}"']
            lines.append(f'endpoint = "{self.peer[other]}"')
        state = self.state_address.get(label, self.state.server.address)
        lines += ["[outside]", f'cloud = "{self.cloud.server.address}"', f'state = "{state}"', "[facts]", "size = 3"]
        lines += [f"zones = {facts['zones']}".replace("'", '"'), "time_bound_ms = 5.0"]
        for team in facts.get("teams", [{"name": facts["team"]}]):
            lines += ["[[facts.teams]]", f'name = "{team["name"]}"']
            lines += [f"{name} = {team.get(name, 0.0)}" for name in ("cpus", "cpus_max", "gpus", "gpus_max")]
        for section in ("workers", "state", "cloud", "limits"):
            lines.append(f"[facts.{section}]")
            lines += [f"{name} = {value}" for name, value in facts[section].items()]
        return "\n".join(lines) + "\n"

    async def start(self, label: str) -> None:
        """Start a controller with the command of the deploy file."""
        config = self.folder / f"{label}.toml"
        config.write_text(self._settings(label), encoding="utf-8")
        command = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        log = (self.folder / f"{label}.log").open("ab")
        self.note("start controller", label)
        self.processes[label] = await asyncio.create_subprocess_exec(
            *command, str(config), cwd=ROOT, stdout=log, stderr=log, env={**os.environ, "LOG_LEVEL": "info"}
        )
        log.close()

    async def kill(self, label: str) -> None:
        """Kill a controller."""
        process = self.processes.pop(label)
        self.note("kill controller", label, f"returncode={process.returncode}")
        if process.returncode is None:
            process.kill()
        await process.wait()

    def start_later(self, label: str, seconds: float) -> None:
        """Start a controller after a while."""

        async def start() -> None:
            await asyncio.sleep(seconds)
            await self.start(label)

        self._background.append(asyncio.create_task(start()))

    def signal(self, label: str, number: signal.Signals) -> None:
        """Send a controller a signal."""
        self.note("signal", number.name, label)
        self.processes[label].send_signal(number)

    async def end(self) -> None:
        """End all that was started."""
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        for label in list(self.processes):
            await self.kill(label)
        for worker in self.workers.values():
            worker.end()

    # Users.

    async def ask(self, label: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send a user's request to one controller."""
        client = Client(self.api[label], 2.0 if method == "GET" else USER_TIMEOUT_S)
        status, answer = await client.request(method, path, body)
        client.close()
        return status, answer

    async def ready(self, label: str) -> bool:
        """Whether a controller is ready."""
        return (await self.ask(label, "GET", "/ready"))[0] == 200

    async def until(self, condition: Callable[[], Awaitable[bool]], seconds: float, what: str) -> None:
        """Wait for a condition; raises TimeoutError."""
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise TimeoutError(what)
            await asyncio.sleep(0.2)

    async def submit(self, one: dict[str, Any], label: str = "", seconds: float = 60.0) -> None:
        """Submit a job until it is accepted; raises TimeoutError, or ValueError if it is refused."""
        self.jobs[one["uid"]] = one
        end, turn = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            status, answer = await self.ask(label or self.labels[turn % 3], "POST", "/v1/jobs", one)
            self.note("submit", one["uid"], label or self.labels[turn % 3], status, answer)
            if status in (200, 201):
                return
            if status in (400, 422):
                raise ValueError(f"{status}: {answer}")
            turn += 1
            await asyncio.sleep(1.0)
        raise TimeoutError(f"{one['uid']} not accepted")

    async def status(self, uid: str, label: str) -> str:
        """The state of a job as one controller says it; empty without an answer."""
        status, answer = await self.ask(label, "GET", f"/v1/jobs/{uid}")
        self.note("poll", uid, label, status, answer)
        return answer["status"] if status == 200 else str(status) if status == 404 else ""


def main(case: Callable[[bool, Path], Awaitable[int]], file: str) -> None:
    """Run a case: `case` gets whether there is trouble, and the record's path, and returns the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Path(file).resolve().parent / "record.txt"

    async def run() -> int:
        running = asyncio.current_task()
        assert running is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, running.cancel)
        try:
            return await asyncio.wait_for(case(trouble, record), 115.0)
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001 - a case that can't run says why
            with record.open("a", encoding="utf-8") as lines:
                lines.write(f"could not run: {type(error).__name__}: {error}\n")
            return 2

    sys.exit(asyncio.run(run()))
