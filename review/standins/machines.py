"""Stand-ins of the cloud and of its machines, each with a worker that runs tasks."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins.http import MAX_BODY_BYTES, Answer, Server, request

#: a worker drops the answer to a report after this time
ANSWER_TIMEOUT_S = 4.0
#: shortest time between two reports
MIN_REPORT_S = 0.5

Note = Callable[..., None]


@dataclass(slots=True)
class MachineType:
    """A machine type as `/flavors` shows it."""

    label: str = "bench-sixteen"
    vcpus: float = 16.0
    mem_gb: float = 64.0
    boot_s: float = 1.0
    yards: tuple[str, ...] = ("cork-hall",)

    def wire(self) -> dict[str, Any]:
        """Return the entry of `/flavors`."""
        return {
            "label": self.label,
            "vcpus": self.vcpus,
            "gpus": 0,
            "memGb": self.mem_gb,
            "cacheGb": 25.0,
            "pullGbPerS": 10.0,
            "price": 0.9,
            "lowPrice": 0.36,
            "startupS": self.boot_s,
            "yards": list(self.yards),
        }


@dataclass(slots=True)
class Task:
    """One attempt of a task on a machine."""

    name: str
    attempt: int
    status: str
    cause: str | None = None
    runner: asyncio.Task[None] | None = None

    def wire(self) -> dict[str, Any]:
        """Return the entry in a report."""
        entry: dict[str, Any] = {"pick": self.name, "try": self.attempt, "status": self.status}
        return entry if self.cause is None else {**entry, "cause": self.cause}


@dataclass
class Site:
    """What users, machines and the judge of a case share."""

    note: Note
    nodes: dict[str, int]  # ports of the controllers by label
    report_s: float = 1.0
    lease_s: float = 10.0
    specs: dict[str, dict[str, Any]] = field(default_factory=dict)  # descriptions that users uploaded
    run_s: dict[str, float] = field(default_factory=dict)  # run time of the tasks by job
    results: set[str] = field(default_factory=set)  # tasks whose result is kept
    running: dict[str, set[str]] = field(default_factory=dict)  # machines that have each task, from its start on


class Worker:
    """The worker of one machine, as the protocol page describes it."""

    def __init__(self, site: Site, name: str, kind: MachineType, yard: str, spot: bool) -> None:
        self.site, self.name, self.kind, self.yard, self.spot = site, name, kind, yard, spot
        self.stint, self.tick, self.baton = 1, 0, 0
        self.tasks: dict[str, Task] = {}
        self.answered_at = time.monotonic()  # when the last answered report was sent, or the session began
        self.changed = asyncio.Event()
        self.server = Server(self._handle)
        self.loops: list[asyncio.Task[None]] = []
        self.last_report_bytes = 0
        self.mute = False  # its reports reach no controller
        self.gone = False  # its machine does not exist any more
        self.deaf = False  # nothing that controllers send reaches it
        self.hung_until = 0.0  # it stands still until then
        self.late_share = 0.0  # share of direct commands that are held up on their way
        self._late: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to report and to serve direct commands."""
        await self.server.start()
        self.loops = [asyncio.create_task(self._report_loop()), asyncio.create_task(self._lease_loop())]

    def end(self) -> None:
        """The machine is gone with all that is on it."""
        self.gone = True
        self.server.stop()
        for loop in [*self.loops, *self._late]:
            loop.cancel()
        self._kill_all("machine gone")

    def report(self) -> dict[str, Any]:
        """Return the worker's report, the newest one so far."""
        self.tick += 1
        return {
            "berth": self.name,
            "endpoint": f"127.0.0.1:{self.server.port}",
            "build": self.kind.label,
            "yard": self.yard,
            "loaners": self.spot,
            "stint": self.stint,
            "tick": self.tick,
            "baton": self.baton,
            "warningS": None,
            "picks": [task.wire() for task in self.tasks.values()],
        }

    # Messages.

    async def _handle(self, method: str, path: str, body: bytes) -> Answer:
        while time.monotonic() < self.hung_until:
            await asyncio.sleep(0.05)
        if self.gone or self.deaf:
            await asyncio.sleep(0.0 if self.gone else 8.0)
            return None
        if path == "/do" and random.random() < self.late_share:
            task = asyncio.create_task(self._carry_out_late(body))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(8.0)
            return None
        if path == "/inspect":
            return 200, self.report()
        return self._do(body) if path == "/do" and method == "POST" else (404, {})

    def _do(self, body: bytes) -> Answer:
        if len(body) > MAX_BODY_BYTES:
            self.site.note("do_too_large", machine=self.name, bytes=len(body))
            return 413, {"error": "body over 64 KiB"}
        message = json.loads(body)
        if "baton" not in message or "stint" not in message:
            return 400, {}
        if message["baton"] < self.baton or message["stint"] != self.stint:
            return 409, self.report()
        self._accept(message)
        return 200, self.report()

    async def _carry_out_late(self, body: bytes) -> None:
        """Carry out a direct command that was held up, if token and session still match."""
        await asyncio.sleep(random.uniform(2.0, 16.0))
        message = json.loads(body)
        if message["baton"] >= self.baton and message["stint"] == self.stint:
            self._accept(message)

    def _accept(self, message: dict[str, Any]) -> None:
        if message["baton"] > self.baton:
            self.baton = message["baton"]
            self.changed.set()
        for order in message.get("orders", []):
            self._carry_out(order)

    async def _report_loop(self) -> None:
        labels = list(self.site.nodes)
        position = random.randrange(len(labels))
        while True:
            while time.monotonic() < self.hung_until:
                await asyncio.sleep(0.05)
            if self.mute:
                position = (position + 1) % len(labels)
                await asyncio.sleep(1.0)
                continue
            self.changed.clear()
            stint, sent_at = self.stint, time.monotonic()
            body = self.report()
            self.last_report_bytes = len(json.dumps(body))
            port = self.site.nodes[labels[position]]
            status, answer = await request(port, "POST", "/hello", body, ANSWER_TIMEOUT_S)
            if status == 413:
                self.site.note("report_too_large", machine=self.name, bytes=self.last_report_bytes)
            if self.deaf or time.monotonic() < self.hung_until:
                status = 0
            if status == 200 and answer is not None:
                if stint == self.stint and answer.get("baton", -1) >= self.baton:
                    self.answered_at = sent_at
                    self._accept(answer)
                await self._pause(self.site.report_s * random.uniform(0.75, 1.25))
            elif status == 421 and answer and answer.get("foreman") in labels:
                named = labels.index(answer["foreman"])
                await asyncio.sleep(random.uniform(0.0, 0.5) if named != position else 1.0)
                position = named if named != position else (position + 1) % len(labels)
            else:
                position = (position + 1) % len(labels)
                await asyncio.sleep(1.0)

    async def _pause(self, seconds: float) -> None:
        await asyncio.sleep(min(MIN_REPORT_S, seconds))
        try:
            await asyncio.wait_for(self.changed.wait(), max(0.0, seconds - MIN_REPORT_S))
        except TimeoutError:
            pass

    async def _lease_loop(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            if time.monotonic() < self.hung_until:
                continue
            if time.monotonic() > self.answered_at + self.site.lease_s:
                self.site.note("lease_over", machine=self.name, stint=self.stint, tasks=len(self.tasks))
                self._kill_all("lease over")
                self.stint += 1
                self.tick = 0
                self.answered_at = time.monotonic()
                self.changed.set()

    # Tasks.

    def _carry_out(self, order: dict[str, Any]) -> None:
        name, attempt = order["pick"], order["try"]
        known = self.tasks.get(name)
        if order["verb"] == "launch":
            if known is None or known.attempt != attempt:
                self._launch(name, attempt, known)
        elif known is not None and known.attempt == attempt:
            if order["verb"] == "halt" and known.status != "exited":
                self._exit(known, "halted")
            elif order["verb"] == "reap" and known.status == "exited":
                del self.tasks[name]

    def _launch(self, name: str, attempt: int, known: Task | None) -> None:
        spec = self.site.specs.get(name.rpartition("/")[0])
        task = Task(name, attempt, "exited", self._refusal(spec, known))
        if known is not None and known.status != "exited":
            return  # this task is here with another attempt
        self.tasks[name] = task
        self.changed.set()
        if task.cause is None:
            task.status = "pulling"
            task.runner = asyncio.create_task(self._run(task))

    def _refusal(self, spec: dict[str, Any] | None, known: Task | None) -> str | None:
        if spec is None:
            return "unknown"
        if known is not None and known.status != "exited":
            return "busy"
        live = [self.site.specs[t.name.rpartition("/")[0]] for t in self.tasks.values() if t.status != "exited"]
        cpus, memory = sum(s["vcpus"] for s in live), sum(s["memGb"] for s in live)
        fits = cpus + spec["vcpus"] <= self.kind.vcpus + 1e-6 and memory + spec["memGb"] <= self.kind.mem_gb + 1e-6
        return None if fits else "no_room"

    async def _run(self, task: Task) -> None:
        await asyncio.sleep(0.05)  # the image
        job = task.name.rpartition("/")[0]
        others = self.site.running.setdefault(task.name, set())
        self.site.note("start", task=task.name, attempt=task.attempt, machine=self.name, others=sorted(others))
        others.add(self.name)
        task.status = "running"
        self.changed.set()
        if self.site.specs[job]["shape"] == "standing":
            return
        if task.name not in self.site.results:
            await asyncio.sleep(self.site.run_s.get(job, 1.0))
            self.site.results.add(task.name)
        self._exit(task, "done")

    def _exit(self, task: Task, cause: str) -> None:
        self._leave(task)
        task.status, task.cause = "exited", cause
        self.site.note("exit", task=task.name, attempt=task.attempt, machine=self.name, cause=cause)
        self.changed.set()

    def _leave(self, task: Task) -> None:
        self.site.running.get(task.name, set()).discard(self.name)
        runner, task.runner = task.runner, None
        if runner is not None and runner is not asyncio.current_task():
            runner.cancel()

    def _kill_all(self, why: str) -> None:
        for task in self.tasks.values():
            if task.status != "exited":
                self._leave(task)
                self.site.note("killed", task=task.name, machine=self.name, why=why)
        self.tasks.clear()


class Cloud:
    """The cloud: rents machines whose workers start after the boot time, and lists them late."""

    def __init__(self, site: Site, types: list[MachineType], capacity: int, list_lag_s: float = 6.0) -> None:
        self.site, self.types, self.capacity, self.list_lag_s = site, types, capacity, list_lag_s
        self.machines: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, Worker] = {}
        self.hires: dict[str, list[str]] = {}
        self.lists: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]
        self.server = Server(self._handle)
        self._boots: set[asyncio.Task[None]] = set()
        self._count = 0

    async def start(self) -> None:
        """Start to serve."""
        await self.server.start()

    async def _handle(self, method: str, path: str, body: bytes) -> Answer:
        await asyncio.sleep(0.02)
        parts = urlsplit(path)
        if parts.path == "/flavors":
            return 200, {"builds": [kind.wire() for kind in self.types]}
        if parts.path == "/hosts/delete":
            return self._delete(json.loads(body)["berths"])
        if method == "POST":
            return self._hire(json.loads(body))
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        entries = [e for e in self._listed() if e["uid"] > query.get("since", "")]
        most = int(query.get("most", "500"))
        return 200, {"berths": entries[:most], "hasNext": len(entries) > most}

    def _listed(self) -> list[dict[str, Any]]:
        """Return the list as it was before the lag."""
        at = time.monotonic() - self.list_lag_s
        listed = [entries for since, entries in self.lists if since <= at][-1]
        return [{**e, "ageS": round(at - e["hired_at"], 3)} for e in listed]

    def _changed(self) -> None:
        self.lists.append((time.monotonic(), [dict(self.machines[name]) for name in sorted(self.machines)]))

    def _hire(self, order: dict[str, Any]) -> Answer:
        if order["hire"] in self.hires:
            return 200, {"berths": self.hires[order["hire"]]}
        kind = next((kind for kind in self.types if kind.label == order["build"]), None)
        if kind is None or order["yard"] not in kind.yards:
            return 400, {"error": "malformed"}
        count = min(order["howMany"], self.capacity - len(self.machines))
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = [self._rent(kind, order["yard"], order["loaners"]) for _ in range(count)]
        self.hires[order["hire"]] = names
        self._changed()
        return 200, {"berths": names}

    def _rent(self, kind: MachineType, yard: str, spot: bool) -> str:
        self._count += 1
        name = f"n-{self._count:06d}"
        worker = self.workers[name] = Worker(self.site, name, kind, yard, spot)
        self.machines[name] = {
            "uid": name,
            "endpoint": "",
            "build": kind.label,
            "yard": yard,
            "loaners": spot,
            "status": "booting",
            "hired_at": time.monotonic(),
        }
        boot = asyncio.create_task(self._boot(worker, kind.boot_s))
        self._boots.add(boot)
        boot.add_done_callback(self._boots.discard)
        self.site.note("rented", machine=name, type=kind.label, yard=yard)
        return name

    async def _boot(self, worker: Worker, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        if worker.name in self.machines:
            await worker.start()
            entry = self.machines[worker.name]
            entry["status"], entry["endpoint"] = "running", f"127.0.0.1:{worker.server.port}"
            self._changed()

    def _delete(self, names: list[str]) -> Answer:
        for name in names:
            if self.machines.pop(name, None) is not None:
                self.site.note("deleted", machine=name)
                self.workers.pop(name).end()
        self._changed()
        return 200, {}
