"""A small world in virtual time: stand-ins for the state service, the cloud, workers and users.

They speak the protocol's JSON and know nothing of the program's insides; the controllers in it are
the real actors. The checker sees what truly happens on the machines and what users are told.
"""

import heapq
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from tests.simulation.checker import Checker
from tests.simulation.clock import US
from tests.simulation.cloud import SimulatedCloud
from tests.simulation.controller import SimulatedController
from tests.simulation.store import SimulatedStore
from tests.simulation.tracing import Trace
from tests.simulation.worker import SimulatedWorker


class World:
    def __init__(
        self,
        facts: dict[str, Any],
        types: list[dict[str, Any]],
        seed: int = 1,
        operators: dict[str, dict[str, str]] | None = None,
    ) -> None:
        self.now_us = 0
        self.calm_us = 0  # when the last trouble is over
        self.operators = operators or {}  # sections of the operators' INI file
        self.queue: list[tuple[int, int, Callable[[], object]]] = []
        self.order = 0
        self.random = random.Random(seed)
        self.facts = facts
        self.types = {t["label"]: t for t in types}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}
        self.apart_s: dict[str, float] = {}  # each task of a job runs so much longer than the one before
        self.failing: dict[str, int] = {}
        self.odd: dict[str, dict[str, Any]] = {}  # submissions that can never run or lack a field
        self.on_news: list[Callable[[str, str], None]] = []  # a user is told of a job what none was told before
        self.on_end: list[Callable[[str], None]] = []  # a job's last task has completed
        self.for_next: list[dict[str, Any]] = []  # copies of reports that wait for the next claim of a shard
        self.store = SimulatedStore(self)
        self.cloud = SimulatedCloud(self)
        self.workers: dict[str, SimulatedWorker] = {}
        self.checker = Checker(self)
        self.heartbeats = 0
        self.links_us, self.links_until_us = 0, 0  # links are slow until then: what a message takes at the most
        self.handed_over_us = 0  # a hand-over was carried out, and its answer lost
        self.kept_came = 0  # copies that arrived as a shard got an owner
        self.killed = 0  # tasks that a worker's own lease ended
        self.controllers = {f"berth-{i}": SimulatedController(self, f"berth-{i}") for i in range(facts["size"])}
        self.log: list[str] = []
        self.trace: Trace | None = None  # where what reaches and leaves the controllers is written down
        self._look()

    def _look(self) -> None:
        self.checker.sample()
        self.after(2 * US, self._look)

    def after(self, delay_us: float, action: Callable[[], object]) -> None:
        self.order += 1
        heapq.heappush(self.queue, (self.now_us + max(1, int(delay_us)), self.order, action))

    def latency(self) -> int:
        most_us = self.links_us if self.now_us < self.links_until_us else 4000
        return self.random.randint(most_us // 4, most_us)

    def claimed(self) -> None:
        """A shard has an owner anew: old reports that were kept for this arrive at every controller now."""
        heartbeats, self.for_next = self.for_next, []
        self.kept_came += len(heartbeats) * len(self.controllers)
        for heartbeat in heartbeats:
            for host in self.controllers.values():
                self.after(
                    self.latency(), partial(host.receive_heartbeat, heartbeat, lambda status, body: None, is_copy=True)
                )

    def trouble(self, seconds: float) -> int:
        """A trouble begins now and lasts so long; returns its end."""
        end_us = self.now_us + int(seconds * US)
        self.calm_us = max(self.calm_us, end_us)
        return end_us

    def bound_us(self) -> int:
        """How long what was accepted may take without trouble: leases and boots first, then twice its work."""
        jobs = [(u, j) for u, j in self.jobs.items() if j["shape"] != "standing"]
        cpus = sum(w.type["vcpus"] for w in self.workers.values() if isinstance(w, SimulatedWorker)) or 16.0
        work_s = sum(j["picks"] * j["vcpus"] * self.run_s.get(u, 0) for u, j in jobs) / cpus
        way_s: dict[str, float] = {}  # of the longest chain that ends with a job; what it names was submitted before
        for job_id, job in jobs:
            way_s[job_id] = (
                self.run_s.get(job_id, 0)
                + job["picks"] * self.apart_s.get(job_id, 0)
                + max((way_s.get(u, 0) + 3 for u in job["waitsOn"]), default=0)
            )
        longest_s = max(way_s.values(), default=0)
        boot_s = max(t["startupS"] for t in self.types.values())
        return int((4 * self.facts["workers"]["lease_s"] + 3 * boot_s + 2 * (work_s + longest_s) + 20) * US)

    def run(self, until_us: int) -> None:
        while self.queue and self.queue[0][0] <= until_us:
            self.now_us, _, action = heapq.heappop(self.queue)
            action()
        self.now_us = until_us
