"""What messages cost a controller, by kind: the real actor alone, machines that obey, virtual time.

No network and no threads: reports, submissions, polls and ends of a fleet are played against one `Controller`
that owns all machines. The state service grants everything after its latency. Counts repeat exactly for
one seed; times are processor time of this machine, to be compared within one run only.
"""

import heapq
import random
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from quinceslip.coordination.actor import effects as fx
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.controller.controller import Controller
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Settings, Tuning

ZONES = ["a", "b"]
REPORT_S = 4.0
STATE_US = 6_000
WATCH_US = 60_000
BEAT_US = 100_000
POLL_S = 5.0
CPUS = 16.0
START_US = 2 * SECOND
#: work per machine: jobs a second and the CPUs that a steady fleet of them takes, about nine tenths of all
SERVICES_PER_MACHINE = 0.45
ARRAYS_PER_S = 0.001


@dataclass(slots=True)
class Cost:
    """One kind of message: how many, processor time in microseconds, and calls of functions."""

    messages: int = 0
    cpu_us: float = 0.0
    calls: int = 0


@dataclass(slots=True)
class Machine:
    name: str
    zone: str
    spot: bool
    seq: int = 0
    fencing_token: int = 0
    tasks: dict[str, m.TaskStatus] = field(default_factory=dict)
    busy: bool = False
    soon: bool = False


class Fleet:
    """A controller, its machines, users and a state service that always says yes."""

    def __init__(self, machines: int, seed: int, counted: bool) -> None:
        self.random = random.Random(seed)
        self.now_us = 0
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.order = 0
        self.costs: dict[str, Cost] = defaultdict(Cost)
        self.counted = counted
        self.calls = 0
        self.revision = 0
        self.keys: dict[str, int] = {}
        self.fresh: list[m.Event] = []
        self.specs: dict[str, m.JobSpec] = {}
        self.requests: dict[int, Callable[[int, Any], None]] = {}
        self.jobs = self.launched = self.ended = self.writes = 0
        settings = msgspec.convert(
            {
                "label": "one",
                "location": "a",
                "api_addr": "127.0.0.1:1",
                "peer_bind": "127.0.0.1:2",
                "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
                "facts": {
                    "size": 1,
                    "zones": ZONES,
                    "teams": [{"name": "team"}],
                    "workers": {"report_s": REPORT_S, "lease_s": 26.0, "cancel_s": 46.0},
                    "state": {"rps": 180.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 16},
                    "cloud": {"rps": 9.0, "list_lag_s": 6.0},
                },
            },
            Settings,
        )
        self.type = m.MachineType("m", CPUS, 0.0, 64.0, 0.9, 50.0, ZONES, 0.36, 25.0)
        self.machines = [Machine(f"n-{n:06d}", ZONES[n % 2], n % 9 >= 5) for n in range(machines)]
        self.node = Controller(settings, Tuning(), 0, 0)
        self.by_endpoint = {self._endpoint(w): w for w in self.machines}

    @staticmethod
    def _endpoint(machine: Machine) -> str:
        return f"{machine.name}:1"

    def after(self, delay_us: float, action: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.queue, (self.now_us + max(1, int(delay_us)), self.order, action))

    # The actor, measured.

    def give(self, kind: str, message: Any) -> None:
        cost = self.costs[kind]
        cost.messages += 1
        self.calls = 0
        if self.counted:
            sys.setprofile(self._count)
        started_ns = time.thread_time_ns()
        try:
            effects = self.node.handle(message, self.now_us)
        finally:
            cost.cpu_us += (time.thread_time_ns() - started_ns) / 1000
            if self.counted:
                sys.setprofile(None)
        cost.calls += self.calls
        for effect in effects:
            self._carry_out(effect)

    def _count(self, frame: Any, event: str, argument: Any) -> None:
        if event in ("call", "c_call"):
            self.calls += 1

    def message(self, kind: str, message: Any) -> None:
        self.give(kind, message)
        self.give("settle", fx.BatchEnd())

    def _carry_out(self, effect: Any) -> None:
        if isinstance(effect, fx.Reply):
            heard = self.requests.pop(effect.request, None)
            if heard is not None:
                heard(effect.status, effect.body)
        elif isinstance(effect, fx.Call):
            if effect.target in ("state", "lease"):
                self.after(STATE_US, lambda: self._state(effect))
            elif effect.target == "cloud":
                self.after(STATE_US, lambda: self._cloud(effect))
            else:
                self.after(1000, lambda: self._direct(effect))

    def _answer(self, effect: Any, status: int, body: Any) -> None:
        self.message("answer", fx.CallResult(effect.id, status, msgspec.json.encode(body)))

    # Outside services.

    def _state(self, effect: Any) -> None:
        body = msgspec.json.decode(msgspec.json.encode(effect.body))
        if effect.path == m.PATH_TXN:
            failed = [c["k"] for c in body["if"] if self.keys.get(c["k"], 0) != c["stamp"]]
            if failed:
                self._answer(effect, 409, {"failed": failed, "ledger": self.revision})
                return
            self.revision += bool(body.get("then"))
            for change in body.get("then", []):
                self.writes += 1
                if "write" in change:
                    self.keys[change["write"]] = self.revision
                    raw = msgspec.Raw(msgspec.json.encode(change["v"]))
                    self.fresh.append(m.Event(self.revision, put=change["write"], value=raw))
                elif self.keys.pop(change["drop"], None):
                    self.fresh.append(m.Event(self.revision, delete=change["drop"]))
            self._answer(effect, 200, {"ledger": self.revision})
        elif effect.path.startswith(m.PATH_KV):
            self._answer(effect, 404, {"ledger": self.revision})
        else:
            self._answer(effect, 200, {"hold": 1})

    def _cloud(self, effect: Any) -> None:
        if effect.path == m.PATH_MACHINE_TYPES:
            self._answer(effect, 200, m.MachineTypes([self.type]))
        elif effect.method == "GET":
            self._answer(effect, 200, m.MachineListing([], False))
        else:
            self._answer(effect, 503, {"error": "no capacity"})

    def _direct(self, effect: Any) -> None:
        machine = self.by_endpoint[effect.target]
        if effect.path == m.PATH_DO:
            self._obey(machine, effect.body)
        self._answer(effect, 200, self._report_of(machine))

    # Machines.

    def _report_of(self, machine: Machine) -> m.WorkerHeartbeat:
        machine.seq += 1
        return m.WorkerHeartbeat(
            worker=machine.name,
            endpoint=self._endpoint(machine),
            type="m",
            zone=machine.zone,
            spot=machine.spot,
            epoch=1,
            seq=machine.seq,
            fencing_token=machine.fencing_token,
            tasks=list(machine.tasks.values()),
        )

    def heartbeat(self, machine: Machine) -> None:
        def heard(status: int, body: Any) -> None:
            if status == 200:
                self._obey(machine, body)

        machine.soon = False
        number = self._request(heard)
        self.message("report", fx.HeartbeatReceived(number, self._report_of(machine)))

    def _request(self, heard: Callable[[int, Any], None]) -> int:
        self.order += 1
        self.requests[self.order] = heard
        return self.order

    def regular(self, machine: Machine) -> None:
        self.heartbeat(machine)
        self.after(REPORT_S * SECOND * self.random.uniform(0.75, 1.25), lambda: self.regular(machine))

    def _soon(self, machine: Machine) -> None:
        if not machine.soon:
            machine.soon = True
            self.after(SECOND // 2, lambda: self.heartbeat(machine))

    def _obey(self, machine: Machine, orders: Any) -> None:
        machine.fencing_token = max(machine.fencing_token, orders.fencing_token)
        for order in orders.commands:
            known = machine.tasks.get(order.task)
            if order.op == "launch":
                if known is None:
                    self.launched += 1
                    machine.tasks[order.task] = m.TaskStatus(order.task, order.attempt, m.PULLING)
                    self.after(SECOND, partial(self._start, machine, order.task, order.attempt))
            elif known is not None and known.attempt == order.attempt:
                if order.op == "halt" and known.state != m.EXITED:
                    self._exit(machine, order.task, order.attempt, m.CAUSE_HALTED)
                elif order.op == "reap" and known.state == m.EXITED:
                    del machine.tasks[order.task]
        if orders.commands:
            self._soon(machine)

    def _start(self, machine: Machine, task: str, attempt: int) -> None:
        known = machine.tasks.get(task)
        if known is None or known.attempt != attempt or known.state != m.PULLING:
            return
        machine.tasks[task] = m.TaskStatus(task, attempt, m.RUNNING)
        self._soon(machine)
        spec = self.specs[task.rpartition("/")[0]]
        if not spec.service:
            self.after(
                spec.estimate_s * self.random.uniform(0.5, 1.5) * SECOND,
                lambda: self._exit(machine, task, attempt, m.CAUSE_DONE),
            )

    def _exit(self, machine: Machine, task: str, attempt: int, why: str) -> None:
        known = machine.tasks.get(task)
        if known is not None and known.attempt == attempt and known.state != m.EXITED:
            machine.tasks[task] = m.TaskStatus(task, attempt, m.EXITED, why)
            self.ended += 1
            self._soon(machine)

    # Users.

    def submit(self, service: bool, tasks: int, priority_class: str, run_s: float) -> None:
        self.jobs += 1
        job_id = f"req-{self.jobs:06d}"
        spec = self.specs[job_id] = m.JobSpec(
            job_id=job_id,
            job_class=priority_class,
            team="team",
            kind="standing" if service else "array",
            priority_class=priority_class,  # type: ignore[arg-type]
            tasks=tasks,
            cpus=1.0 if service else 2.0,
            gpus=0.0,
            memory_gb=3.0,
            image=f"img-{self.jobs % 10}",
            image_gb=1.5,
            one_zone=False,
            spread=service,
            spot=not service,
            estimate_s=run_s,
            checkpoint_s=15.0 if priority_class == "low" else 0.0,
            save_s=0.0,
        )
        self.message(
            "submit", fx.UserRequest(self._request(lambda s, b: self._poll_later(job_id)), "submit", job_id, spec)
        )

    def _poll_later(self, job_id: str) -> None:
        def heard(status: int, body: Any) -> None:
            if status != 200 or body["status"] not in (m.DONE, m.CANCELLED):
                self._poll_later(job_id)

        self.after(
            POLL_S * SECOND * self.random.uniform(0.8, 1.2),
            lambda: self.message("poll", fx.UserRequest(self._request(heard), "poll", job_id)),
        )

    def arrive(self, mean_s: float, make: Callable[[], None]) -> None:
        make()
        self.after(self.random.expovariate(1.0 / mean_s) * SECOND, lambda: self.arrive(mean_s, make))

    # The run.

    def _heartbeat(self) -> None:
        self.give("tick", fx.Tick())
        self.give("settle", fx.BatchEnd())
        self.after(BEAT_US, self._heartbeat)

    def _watch(self) -> None:
        events, self.fresh = self.fresh, []
        self.message("watch", fx.StoreChanges(events, self.revision, self.now_us))
        self.after(WATCH_US, self._watch)

    def play(self, length_us: int) -> None:
        count, draw = len(self.machines), self.random
        self.message("watch", fx.StoreListing([], 0, 0))
        self._watch()
        self._heartbeat()
        for machine in self.machines:
            self.after(START_US + draw.uniform(0, REPORT_S) * SECOND, partial(self.regular, machine))
        for _ in range(int(count * SERVICES_PER_MACHINE)):
            self.after(draw.uniform(1, 6) * SECOND, lambda: self.submit(True, draw.choice([2, 6, 9]), "production", 0))
        rate = ARRAYS_PER_S * count
        self.after(
            START_US, lambda: self.arrive(2 / rate, lambda: self.submit(True, draw.choice([2, 6, 9]), "production", 0))
        )
        self.after(
            START_US, lambda: self.arrive(1 / rate, lambda: self.submit(False, draw.randint(5, 80), "normal", 30))
        )
        self.after(START_US, lambda: self.arrive(3 / rate, lambda: self.submit(False, draw.randint(5, 150), "low", 60)))
        while self.queue and self.queue[0][0] <= length_us:
            self.now_us, _, action = heapq.heappop(self.queue)
            action()


def measure(machines: int, length_s: float, seed: int) -> dict[str, Any]:
    """Two runs of one seed: one is timed, in the other calls of functions are counted."""
    runs = []
    for counted in (False, True):
        fleet = Fleet(machines, seed, counted)
        fleet.play(int(length_s * SECOND))
        runs.append(fleet)
    timed, counted_run = runs
    kinds = {}
    for kind, cost in sorted(timed.costs.items()):
        calls = counted_run.costs[kind].calls
        kinds[kind] = {
            "messages": cost.messages,
            "cpu_us_each": round(cost.cpu_us / cost.messages, 1),
            "calls_each": round(calls / max(counted_run.costs[kind].messages, 1), 1),
            "calls": calls,
        }
    return {
        "machines": machines,
        "simulated_s": length_s,
        "seed": seed,
        "cpu_s": round(sum(c.cpu_us for c in timed.costs.values()) / 1e6, 2),
        "calls": sum(c.calls for c in counted_run.costs.values()),
        "jobs": timed.jobs,
        "launched": timed.launched,
        "ended": timed.ended,
        "writes": timed.writes,
        "looked": sum(s.placement.workers_examined for s in timed.node.shards.values()),
        "kinds": kinds,
    }
