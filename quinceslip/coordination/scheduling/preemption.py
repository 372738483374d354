"""Preemption: stops lower-priority work so that a task of higher priority has room at once.

Production and urgent work preempts work of lower priority. With quotas, work within the guarantee of its team also
preempts work that runs beyond the guarantees of other teams. Among the machines where this is possible, the one where
the least work is lost is chosen.
"""

import logging
from dataclasses import dataclass

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.scheduling.candidates import CandidateMachines
from quinceslip.coordination.scheduling.machine_eligibility import MachineEligibility, satisfies_constraints
from quinceslip.coordination.scheduling.machine_preference import MachinePreference
from quinceslip.coordination.scheduling.machine_room import MachineRoom
from quinceslip.coordination.scheduling.work_budget import WorkBudget
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
    worker: Worker
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
    """Finds the machine where making room for a task costs least, and makes room there."""

    def __init__(self, state: ShardState, eligibility: MachineEligibility, preference: MachinePreference) -> None:
        self.state = state
        self.eligibility = eligibility
        self.preference = preference

    def search(self, partition: JobPartition, machines: CandidateMachines, budget: WorkBudget) -> "RoomSearch":
        """Return a search for machines for the tasks of a partition, valid for one turn of the actor."""
        return RoomSearch(self, partition, machines, budget)

    def make_room(
        self, partition: JobPartition, machines: CandidateMachines, zones: set[str] | None, exclude_slow_fetch: bool
    ) -> Worker | None:
        """Stop lower-priority work and return its machine, whose room the task takes at once; None if not possible.

        `exclude_slow_fetch` excludes machines where fetching the image is too slow.
        """
        quota = self.state.quota
        guaranteed = quota is not None and bool(quota.guarantees_covering(partition.spec))
        if partition.priority > LOWEST_PREEMPTING_PRIORITY and not guaranteed:
            return None
        cheapest: PreemptionPlan | None = None
        for worker in _preselect(machines, partition.spec, guaranteed):
            if not self._suitable(worker, partition.spec, zones, exclude_slow_fetch):
                continue
            plan = self._plan(partition, worker)
            if plan is not None and (cheapest is None or plan.cost < cheapest.cost):
                cheapest = plan
        if cheapest is None:
            return None
        self._execute(cheapest, partition)
        return cheapest.worker

    def _suitable(self, worker: Worker, spec: m.JobSpec, zones: set[str] | None, exclude_slow_fetch: bool) -> bool:
        """Whether the task could run there once there is room, and with `exclude_slow_fetch` also start in time."""
        return (
            self.eligibility.usable(worker)
            and satisfies_constraints(worker, spec, zones)
            and not (exclude_slow_fetch and self.preference.fetch_too_slow(worker, spec))
        )

    def _plan(self, partition: JobPartition, worker: Worker) -> PreemptionPlan | None:
        """Return what to stop on that machine; None if stopping all that may be stopped makes too little room."""
        spec = partition.spec
        room = _expected_room(worker)
        policy = self._policy(partition)
        victims: list[Attempt] = []
        lost_cpu_s = 0.0
        for candidate in _victims_in_order(worker, policy):
            if room.has_room_for(spec):
                break
            if not policy.may_preempt(candidate):
                continue  # the victims chosen so far leave its team within its guarantee
            policy.choose(candidate)
            victims.append(candidate)
            room.add(candidate.spec)
            lost_cpu_s += self._work_at_risk_s(candidate) * candidate.spec.cpus
        if not room.has_room_for(spec):
            return None
        uncached_cost = UNCACHED_COST_CPU_S * (spec.image not in worker.images)
        slow_fetch_cost = SLOW_FETCH_COST_CPU_S * self.preference.fetch_too_slow(worker, spec)
        return PreemptionPlan(lost_cpu_s + uncached_cost + slow_fetch_cost, worker, victims)

    def _policy(self, partition: JobPartition) -> PreemptionPolicy:
        """Create the policy for one machine: a policy counts the victims chosen, so each machine needs its own."""
        if self.state.quota is None:
            return PriorityPreemption(partition.priority)
        return self.state.quota.preemption_policy(partition.spec)

    def _work_at_risk_s(self, attempt: Attempt) -> float:
        """Return how many seconds of work may be lost if the attempt is stopped: at most one checkpoint interval."""
        ran_s = (self.state.ctx.now_us - attempt.running_since_us) / SECOND if attempt.running_since_us else 0.0
        checkpoint_s = attempt.spec.checkpoint_interval_s
        return min(ran_s, checkpoint_s) if checkpoint_s else ran_s

    def _execute(self, plan: PreemptionPlan, partition: JobPartition) -> None:
        """Stop the victims at once, without time to save their work."""
        for victim in plan.victims:
            log.info("task preempted task=%s for_job=%s", victim.name, partition.job_id)
            self.state.stop(victim, grace_s=0.0)


class RoomSearch:
    """Makes room for the tasks of one partition, one by one."""

    def __init__(
        self, preemption: Preemption, partition: JobPartition, machines: CandidateMachines, budget: WorkBudget
    ) -> None:
        self._preemption = preemption
        self._partition = partition
        self._machines = machines
        self._budget = budget

    def make_room(self, eligible: EligibleZones, exclude_slow_fetch: bool) -> Worker | None:
        """Stop lower-priority work and return its machine, whose room the task takes at once; None if not possible."""
        self._budget.spend(sum(1 + worker.live_attempt_count for worker in self._machines.workers))
        return self._preemption.make_room(self._partition, self._machines, eligible.zones, exclude_slow_fetch)


def _preselect(machines: CandidateMachines, spec: m.JobSpec, guaranteed: bool) -> list[Worker]:
    """Return the machines that may have victims, judged by their totals: most machines have none."""
    return [
        worker
        for worker in machines.workers
        if worker.live_attempt_count and (guaranteed or worker.service_room() >= spec.cpus - EPSILON)
    ]


def _expected_room(worker: Worker) -> MachineRoom:
    """Return the free room including that of work being preempted for another task, which may not need all of it."""
    room = MachineRoom.of(worker)
    for attempt in worker.live_attempts():
        if attempt.stopping and attempt.observed and not attempt.grace_s:
            room.add(attempt.spec)
    return room


def _victims_in_order(worker: Worker, policy: PreemptionPolicy) -> list[Attempt]:
    """Return what may be preempted: lowest priority first, then work with checkpoints, then what started last."""
    victims = [
        attempt
        for attempt in worker.live_attempts()
        if attempt.observed and not attempt.stopping and policy.may_preempt(attempt)
    ]
    victims.sort(
        key=lambda attempt: (-attempt.priority, attempt.spec.checkpoint_interval_s == 0, -attempt.running_since_us)
    )
    return victims
