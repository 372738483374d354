"""Preemption: stops lower-priority work so that a task of higher priority has room at once.

Production and urgent work preempts work of lower priority. With quotas, work within the guarantee of its team also
preempts work that runs beyond the guarantees of other teams. Among the machines where this is possible, the one where
the least work is lost is chosen.
"""

import heapq
import logging
from dataclasses import dataclass
from typing import NamedTuple

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.scheduling.candidates import CandidateMachines
from quinceslip.coordination.scheduling.machine_eligibility import MachineEligibility, satisfies_constraints
from quinceslip.coordination.scheduling.machine_preference import MachinePreference
from quinceslip.coordination.scheduling.machine_room import MachineRoom
from quinceslip.coordination.scheduling.work_budget import STEPS_PER_PLAN, WorkBudget
from quinceslip.coordination.scheduling.zone_constraints import EligibleZones
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.policies import PreemptionPolicy
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import EPSILON, Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: the lowest priority that preempts lower ones: production is 0, urgent work 1
LOWEST_PREEMPTING_PRIORITY = 1
#: cost of an image fetch, and of one that is too slow, in CPU seconds lost by preemption
UNCACHED_COST_CPU_S = 30.0
SLOW_FETCH_COST_CPU_S = 300.0


@dataclass(slots=True)
class PreemptionPlan:
    """Work on one machine that makes room for a task if it is stopped."""

    cost: float  # CPU seconds of lost work, plus the cost of fetching the image
    victims: list[Attempt]


class PriorityPreemption:
    """The policy without quotas: production and urgent work preempts work of lower priority."""

    def __init__(self, priority: int) -> None:
        self.priority = priority

    def may_preempt(self, victim: Attempt) -> bool:
        """Whether the attempt may be stopped."""
        return self.priority <= LOWEST_PREEMPTING_PRIORITY and victim.priority > self.priority

    def choose(self, victim: Attempt) -> None:
        """Do nothing: without quotas, one victim does not affect which others may be chosen."""


class Preemption:
    """Starts searches for the machines where making room for the tasks of a partition costs least."""

    def __init__(self, state: ShardState, eligibility: MachineEligibility, preference: MachinePreference) -> None:
        self.state = state
        self.eligibility = eligibility
        self.preference = preference

    def search(self, partition: JobPartition, machines: CandidateMachines, budget: WorkBudget) -> "RoomSearch":
        """Return a search for the tasks of a partition, valid for one turn of the actor."""
        return RoomSearch(self, partition, machines, budget)


class RoomSearch:
    """Makes room for the tasks of one partition, one by one, where it costs least.

    Making room on a machine changes the plan for that machine only, and as victims are used up, room elsewhere does not
    get cheaper. So each machine is planned once, in a heap by cost, and again only when it comes first: many tasks cost
    a plan each instead of one for every machine.
    """

    def __init__(
        self, preemption: Preemption, partition: JobPartition, machines: CandidateMachines, budget: WorkBudget
    ) -> None:
        self._state = preemption.state
        self._eligibility = preemption.eligibility
        self._preference = preemption.preference
        self._partition = partition
        self._machines = machines
        self._budget = budget
        self._covering_guarantees: set[int] = set()  # of the task at hand
        self._planned = False
        self._quick: list[_PlannedMachine] = []  # a heap of machines that fetch the image in time or have it
        self._slow: list[_PlannedMachine] = []  # a heap of the others
        self._last_used: _PlannedMachine | None = None  # to be planned again, as the task has been launched since
        self._refused: set[_VictimGroup] = set()  # groups that may not be preempted for the partition at all

    def make_room(self, eligible: EligibleZones, exclude_slow_fetch: bool) -> Worker | None:
        """Stop lower-priority work and return its machine, whose room the task takes at once; None if not possible.

        `exclude_slow_fetch` excludes machines where fetching the image is too slow.
        """
        if not self._may_preempt():
            return None
        self._plan_machines(eligible)
        # Bound: the machines; each iteration removes one, or raises the cost of one to that of its present plan.
        while True:
            heap = self._cheapest_heap(exclude_slow_fetch)
            if not heap:
                return None
            first = heap[0]
            plan = self._plan(first.worker) if eligible.allows(first.worker.zone) else None
            if plan is None:
                heapq.heappop(heap)
            elif plan.cost > first.cost:
                heapq.heapreplace(heap, _PlannedMachine(plan.cost, first.position, first.worker))
            else:
                self._last_used = heapq.heappop(heap)
                self._execute(plan)
                return first.worker

    def _may_preempt(self) -> bool:
        """Whether the next task may preempt anything, by its priority or by a guarantee."""
        quota = self._state.quota
        self._covering_guarantees = set() if quota is None else quota.guarantees_covering(self._partition.spec)
        return self._partition.priority <= LOWEST_PREEMPTING_PRIORITY or bool(self._covering_guarantees)

    def _plan_machines(self, eligible: EligibleZones) -> None:
        """Plan every machine at the first call, and later the one that was used last."""
        if self._last_used is not None:
            used, self._last_used = self._last_used, None
            self._add(used.position, used.worker)
        if self._planned:
            return
        self._planned = True
        preselected = _preselect(self._machines, self._partition.spec, bool(self._covering_guarantees))
        for position, worker in enumerate(preselected):
            if self._eligibility.usable(worker) and satisfies_constraints(worker, self._partition.spec, eligible.zones):
                self._add(position, worker)

    def _add(self, position: int, worker: Worker) -> None:
        """Add a machine to the heap that it belongs to, unless no room can be made there."""
        plan = self._plan(worker)
        if plan is not None:
            is_slow = self._preference.fetch_too_slow(worker, self._partition.spec)
            heapq.heappush(self._slow if is_slow else self._quick, _PlannedMachine(plan.cost, position, worker))

    def _cheapest_heap(self, exclude_slow_fetch: bool) -> "list[_PlannedMachine]":
        """Return the heap whose first machine is the cheapest; an empty one if there is none."""
        if exclude_slow_fetch or not self._slow:
            return self._quick
        return self._slow if not self._quick or self._slow[0] < self._quick[0] else self._quick

    def _plan(self, worker: Worker) -> PreemptionPlan | None:
        """Return what to stop on that machine; None if stopping all that may be stopped makes too little room."""
        spec = self._partition.spec
        if worker.listed_tasks() >= m.MAX_LISTED_TASKS:
            worker.preemption_awaits_slots = True  # until the ends of those that were stopped are acknowledged
            return None
        work = worker.preemptible_work()
        # Work being preempted for another task may leave more room than that task needs.
        room = MachineRoom.of(worker)
        room.add_amounts(work.room_being_freed, work.slots_being_freed)
        policy = self._policy()
        victims: list[Attempt] = []
        refused: set[_VictimGroup] = set()
        lost_cpu_s = 0.0
        for candidate in work.victims():
            if room.has_room_for(spec):
                break
            self._budget.spend(1)
            group = _VictimGroup(candidate.spec.team, candidate.priority)
            if group in refused or group in self._refused:
                continue
            if not policy.may_preempt(candidate):
                # With victims chosen already, only these leave the team of the candidate within its guarantee.
                (refused if victims else self._refused).add(group)
                continue
            policy.choose(candidate)
            victims.append(candidate)
            room.add(candidate.spec)
            lost_cpu_s += self._work_at_risk_s(candidate) * candidate.spec.cpus
        self._budget.spend(STEPS_PER_PLAN)
        if not room.has_room_for(spec):
            return None
        uncached_cost = UNCACHED_COST_CPU_S * (spec.image not in worker.images)
        slow_fetch_cost = SLOW_FETCH_COST_CPU_S * self._preference.fetch_too_slow(worker, spec)
        return PreemptionPlan(lost_cpu_s + uncached_cost + slow_fetch_cost, victims)

    def _policy(self) -> PreemptionPolicy:
        """Create the policy for one machine: a policy counts the victims chosen, so each machine needs its own."""
        if self._state.quota is None:
            return PriorityPreemption(self._partition.priority)
        return self._state.quota.preemption_policy(self._partition.spec, covering_guarantees=self._covering_guarantees)

    def _work_at_risk_s(self, attempt: Attempt) -> float:
        """Return how many seconds of work may be lost if the attempt is stopped: at most one checkpoint interval."""
        ran_s = (self._state.ctx.now_us - attempt.running_since_us) / SECOND if attempt.running_since_us else 0.0
        checkpoint_s = attempt.spec.checkpoint_interval_s
        return min(ran_s, checkpoint_s) if checkpoint_s else ran_s

    def _execute(self, plan: PreemptionPlan) -> None:
        """Stop the victims at once, without time to save their work."""
        for victim in plan.victims:
            log.info("task preempted task=%s for_job=%s", victim.name, self._partition.job_id)
            self._state.stop(victim, grace_s=0.0)


class _PlannedMachine(NamedTuple):
    """A machine and the cost of making room there when it was last planned; the cheapest sorts first."""

    cost: float
    position: int  # among all machines: the order of those that cost the same
    worker: Worker


class _VictimGroup(NamedTuple):
    """What decides whether work may be preempted (`PreemptionPolicy`)."""

    team: str
    priority: int


def _preselect(machines: CandidateMachines, spec: m.JobSpec, guaranteed: bool) -> list[Worker]:
    """Return the machines that may have victims, judged by their totals: most machines have none."""
    return [
        worker
        for worker in machines.workers
        if worker.live_attempt_count and (guaranteed or worker.service_room() >= spec.cpus - EPSILON)
    ]
