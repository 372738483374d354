"""A small world in virtual time: stand-ins for the key-value store, the cloud, workers and users.

They speak the protocol's JSON and know nothing of the program's insides; the controllers in it are
the real actors. The checker sees what truly happens on the machines and what users are answered.
"""

import heapq
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from tests.simulation.checker import Checker
from tests.simulation.clock import SECOND_US
from tests.simulation.cloud import SimulatedCloud
from tests.simulation.controller import SimulatedController
from tests.simulation.store import SimulatedStore
from tests.simulation.tracing import Trace
from tests.simulation.worker import SimulatedWorker

#: what a message takes at the most, unless links are slow
MAX_LATENCY_US = 4000
#: how often the checker looks who waits
SAMPLE_PERIOD_US = 2 * SECOND_US
#: CPUs that are assumed where no machine is there
DEFAULT_CPUS = 16.0
#: from the end of a job to the start of one that waits for it, at the most
CHAIN_GAP_S = 3


class World:
    """A site, the events that are to come in it, and what scenarios set and ask for."""

    def __init__(
        self,
        facts: dict[str, Any],
        types: list[dict[str, Any]],
        seed: int = 1,
        operators: dict[str, dict[str, str]] | None = None,
    ) -> None:
        self.now_us = 0
        self.last_fault_end_us = 0  # when the last trouble is over
        self.operators = operators or {}  # sections of the operators' INI file
        self.events: list[tuple[int, int, Callable[[], object]]] = []  # (when, number, what): a heap
        self.last_event = 0
        self.random = random.Random(seed)
        self.facts = facts
        self.types = {kind["label"]: kind for kind in types}
        # Jobs by their id.
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}
        self.run_increment_s: dict[str, float] = {}  # each task of a job runs so much longer than the one before
        self.remaining_failures: dict[str, int] = {}  # so many more starts of its tasks fail
        self.invalid_submissions: dict[str, dict[str, Any]] = {}  # submissions that can never run or lack a field
        # Listeners.
        self.status_listeners: list[
            Callable[[str, str], None]
        ] = []  # an answer brings the first news of its kind about a job
        self.completion_listeners: list[Callable[[str], None]] = []  # a job's last task has completed
        # Interruptions, and what they met.
        self.link_delay_us, self.links_slow_until_us = 0, 0  # what a message takes at the most until then
        self.kept_heartbeats: list[dict[str, Any]] = []  # copies of heartbeats that wait for the next claim of a shard
        self.kept_heartbeats_delivered = 0  # copies that arrived as a shard got a leader
        self.hand_over_lost_us = 0  # a hand-over was carried out, and its answer lost
        self.tasks_ended_by_lease = 0  # tasks that a worker's own lease ended
        self.heartbeats = 0
        self.store = SimulatedStore(self)
        self.cloud = SimulatedCloud(self)
        self.workers: dict[str, SimulatedWorker] = {}
        self.checker = Checker(self)
        self.controllers = {f"berth-{i}": SimulatedController(self, f"berth-{i}") for i in range(facts["size"])}
        self.trace: Trace | None = None  # where what reaches and leaves the controllers is written down
        self._sample()

    def _sample(self) -> None:
        self.checker.sample()
        self.after(SAMPLE_PERIOD_US, self._sample)

    def after(self, delay_us: float, action: Callable[[], object]) -> None:
        """Let an action happen so long from now; of two at one moment the first that was asked for comes first."""
        self.last_event += 1
        heapq.heappush(self.events, (self.now_us + max(1, int(delay_us)), self.last_event, action))

    def run(self, until_us: int) -> None:
        """Play all events up to a moment."""
        # Bound: the moment; each event that follows another comes later.
        while self.events and self.events[0][0] <= until_us:
            self.now_us, _, action = heapq.heappop(self.events)
            action()
        self.now_us = until_us

    def latency(self) -> int:
        """Draw what a message takes, in µs."""
        max_us = self.link_delay_us if self.now_us < self.links_slow_until_us else MAX_LATENCY_US
        return self.random.randint(max_us // 4, max_us)

    def shard_claimed(self) -> None:
        """A shard has a new leader: old heartbeats that were kept for this arrive at every controller now."""
        heartbeats, self.kept_heartbeats = self.kept_heartbeats, []
        self.kept_heartbeats_delivered += len(heartbeats) * len(self.controllers)
        for heartbeat in heartbeats:
            for controller in self.controllers.values():
                arrives = partial(controller.receive_heartbeat, heartbeat, lambda status, body: None, is_copy=True)
                self.after(self.latency(), arrives)

    def begin_fault(self, seconds: float) -> int:
        """A trouble begins now and lasts so long; returns its end, in µs."""
        end_us = self.now_us + int(seconds * SECOND_US)
        self.last_fault_end_us = max(self.last_fault_end_us, end_us)
        return end_us

    def completion_bound_us(self) -> int:
        """How long what was accepted may take without trouble: leases and boots first, then twice its work."""
        machines = [worker for worker in self.workers.values() if isinstance(worker, SimulatedWorker)]
        cpus = sum(worker.type["vcpus"] for worker in machines) or DEFAULT_CPUS
        ending = {job_id: spec for job_id, spec in self.jobs.items() if spec["shape"] != "standing"}
        work_s = (
            sum(spec["picks"] * spec["vcpus"] * self.run_s.get(job_id, 0) for job_id, spec in ending.items()) / cpus
        )
        boot_s = max(kind["startupS"] for kind in self.types.values())
        lease_s = self.facts["workers"]["lease_s"]
        return int((4 * lease_s + 3 * boot_s + 2 * (work_s + self._longest_chain_s(ending)) + 20) * SECOND_US)

    def _longest_chain_s(self, jobs: dict[str, dict[str, Any]]) -> float:
        """How long the longest chain of jobs runs that wait for each other."""
        chain_s: dict[str, float] = {}  # of the longest that ends with a job; what it names was submitted before
        for job_id, spec in jobs.items():
            own_s = self.run_s.get(job_id, 0) + spec["picks"] * self.run_increment_s.get(job_id, 0)
            before_s = max((chain_s.get(other, 0) + CHAIN_GAP_S for other in spec["waitsOn"]), default=0)
            chain_s[job_id] = own_s + before_s
        return max(chain_s.values(), default=0)
