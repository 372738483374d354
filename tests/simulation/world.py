"""A small site in virtual time, with stand-ins for the key-value store, the cloud, workers and users.

The stand-ins speak the protocol's JSON and don't depend on the program's internals; the controllers are the real
actors. The checker sees what actually happens on the machines and how users are answered.
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

#: maximum latency of a message, unless links are slow
MAX_LATENCY_US = 4000
#: interval of the checker's search for jobs that wait too long
SAMPLE_PERIOD_US = 2 * SECOND_US
#: CPUs assumed for the completion bound if there is no machine
DEFAULT_CPUS = 16.0
#: maximum time from the end of a job to the start of one that depends on it
CHAIN_GAP_S = 3


class World:
    """A site with its scheduled events, and the state that scenarios set and check."""

    def __init__(
        self,
        facts: dict[str, Any],
        types: list[dict[str, Any]],
        seed: int = 1,
        operators: dict[str, dict[str, str]] | None = None,
    ) -> None:
        self.now_us = 0
        self.last_fault_end_us = 0  # when the last fault ends
        self.operators = operators or {}  # sections of the operators' INI file
        self.events: list[tuple[int, int, Callable[[], object]]] = []  # heap of (time, number, action)
        self.last_event_number = 0
        self.random = random.Random(seed)
        self.facts = facts
        self.types = {kind["label"]: kind for kind in types}
        # By job id.
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}
        self.run_increment_s: dict[str, float] = {}  # by how much each task of a job runs longer than the one before
        self.remaining_failures: dict[str, int] = {}  # number of starts of its tasks that will still fail
        self.invalid_submissions: dict[str, dict[str, Any]] = {}  # can never run or lack a field; must be refused
        # Listeners.
        # Called when a user is first told that a job is accepted, done or cancelled.
        self.status_listeners: list[Callable[[str, str], None]] = []
        self.completion_listeners: list[Callable[[str], None]] = []  # called when the last task of a job has completed
        # Faults, and counters of their effects.
        self.link_delay_us, self.links_slow_until_us = 0, 0  # maximum latency of a message until then
        self.kept_heartbeats: list[dict[str, Any]] = []  # copies of heartbeats, delivered at the next claim of a shard
        self.kept_heartbeats_delivered = 0  # number of copies delivered when a shard was claimed
        self.hand_over_lost_us = 0  # when the answer to a hand-over was last lost
        self.launches_repeated = 0  # number of launches that were carried out again by a late copy of a command
        self.tasks_ended_by_lease = 0  # number of tasks ended by the expiry of their worker's lease
        self.heartbeats = 0
        self.store = SimulatedStore(self)
        self.cloud = SimulatedCloud(self)
        self.workers: dict[str, SimulatedWorker] = {}
        self.checker = Checker(self)
        self.controllers = {f"berth-{i}": SimulatedController(self, f"berth-{i}") for i in range(facts["size"])}
        self.trace: Trace | None = None  # records the messages to and from the controllers
        self._sample()

    def _sample(self) -> None:
        self.checker.sample()
        self.after(SAMPLE_PERIOD_US, self._sample)

    def after(self, delay_us: float, action: Callable[[], object]) -> None:
        """Schedule an action after `delay_us`; actions due at the same time run in the order they were scheduled."""
        self.last_event_number += 1
        heapq.heappush(self.events, (self.now_us + max(1, int(delay_us)), self.last_event_number, action))

    def run(self, until_us: int) -> None:
        """Run all events up to a time."""
        # Bound: `until_us`; every newly scheduled event is later than the present one.
        while self.events and self.events[0][0] <= until_us:
            self.now_us, _, action = heapq.heappop(self.events)
            action()
        self.now_us = until_us

    def latency(self) -> int:
        """Draw the latency of a message, in µs."""
        max_us = self.link_delay_us if self.now_us < self.links_slow_until_us else MAX_LATENCY_US
        return self.random.randint(max_us // 4, max_us)

    def on_shard_claimed(self) -> None:
        """Deliver the kept heartbeat copies to every controller, as a shard has a new leader."""
        heartbeats, self.kept_heartbeats = self.kept_heartbeats, []
        self.kept_heartbeats_delivered += len(heartbeats) * len(self.controllers)
        for heartbeat in heartbeats:
            for controller in self.controllers.values():
                deliver = partial(controller.receive_heartbeat, heartbeat, lambda status, body: None, is_copy=True)
                self.after(self.latency(), deliver)

    def begin_fault(self, seconds: float) -> int:
        """Record that a fault begins now and lasts `seconds`; returns its end, in µs."""
        end_us = self.now_us + int(seconds * SECOND_US)
        self.last_fault_end_us = max(self.last_fault_end_us, end_us)
        return end_us

    def completion_bound_us(self) -> int:
        """How long accepted work may take without faults: several leases and boots, and twice its work and chains."""
        machines = [worker for worker in self.workers.values() if isinstance(worker, SimulatedWorker)]
        cpus = sum(worker.type["vcpus"] for worker in machines) or DEFAULT_CPUS
        finite_jobs = {job_id: spec for job_id, spec in self.jobs.items() if spec["shape"] != "standing"}
        work_s = (
            sum(spec["picks"] * spec["vcpus"] * self.run_s.get(job_id, 0) for job_id, spec in finite_jobs.items())
            / cpus
        )
        boot_s = max(kind["startupS"] for kind in self.types.values())
        lease_s = self.facts["workers"]["lease_s"]
        return int((4 * lease_s + 3 * boot_s + 2 * (work_s + self._longest_chain_s(finite_jobs)) + 20) * SECOND_US)

    def _longest_chain_s(self, jobs: dict[str, dict[str, Any]]) -> float:
        """The run time of the longest chain of dependent jobs."""
        # Run time of the longest chain that ends with each job; dependencies are submitted earlier.
        chain_s: dict[str, float] = {}
        for job_id, spec in jobs.items():
            own_s = self.run_s.get(job_id, 0) + spec["picks"] * self.run_increment_s.get(job_id, 0)
            before_s = max((chain_s.get(other, 0) + CHAIN_GAP_S for other in spec["waitsOn"]), default=0)
            chain_s[job_id] = own_s + before_s
        return max(chain_s.values(), default=0)
