"""Which lower-priority work is stopped so that a task of higher priority has room at once.

Production and urgent work preempts what has a lower priority. With quotas, work within the guarantee of its team also
preempts what runs beyond the guarantees of other teams. Of the machines where it can be done, the one is chosen where
least work is lost.
"""

import logging
from dataclasses import dataclass

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.scheduling.candidates import CandidateMachines
from quinceslip.coordination.scheduling.machine_eligibility import MachineEligibility, satisfies_constraints
from quinceslip.coordination.scheduling.machine_preference import MachinePreference
from quinceslip.coordination.scheduling.machine_room import MachineRoom
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.policies import PreemptionPolicy
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import EPSILON, Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: the last of the priorities that preempt lower ones: production is 0, urgent work 1
LAST_PREEMPTING_PRIORITY = 1
#: what a fetch of the image, and one that is too slow, weigh against CPU seconds lost by preemption
UNCACHED_COST = 30.0
SLOW_FETCH_COST = 300.0


@dataclass(slots=True)
class PreemptionPlan:
    """Work on one machine that makes room for a task when it is stopped."""

    cost: float  # CPU seconds of work that are lost, and what fetching the image weighs
    worker: Worker
    victims: list[Attempt]


class PriorityPreemption:
    """The policy without quotas: production and urgent work preempts what has a lower priority."""

    def __init__(self, priority: int) -> None:
        self.priority = priority

    def may_preempt(self, victim: Attempt) -> bool:
        """Whether the attempt may be stopped."""
        return self.priority <= LAST_PREEMPTING_PRIORITY and victim.priority > self.priority

    def choose(self, victim: Attempt) -> None:
        """The attempt is among those that are stopped; no other one depends on it."""


class Preemption:
    """Finds the machine where making room for a task costs least, and makes it."""

    def __init__(self, state: ShardState, eligibility: MachineEligibility, preference: MachinePreference) -> None:
        self.state = state
        self.eligibility = eligibility
        self.preference = preference

    def make_room(
        self, partition: JobPartition, machines: CandidateMachines, zones: set[str] | None, quick_only: bool
    ) -> Worker | None:
        """Stop lower-priority work and return its machine, whose room the task takes at once; None: nowhere possible.

        `quick_only`: not on machines where the fetch of the image is too slow.
        """
        quota = self.state.quota
        guaranteed = quota is not None and bool(quota.guarantees_covering(partition.spec))
        if partition.priority > LAST_PREEMPTING_PRIORITY and not guaranteed:
            return None
        cheapest: PreemptionPlan | None = None
        for worker in _with_possible_victims(machines, partition.spec, guaranteed):
            if not self._suitable(worker, partition.spec, zones, quick_only):
                continue
            plan = self._plan(partition, worker)
            if plan is not None and (cheapest is None or plan.cost < cheapest.cost):
                cheapest = plan
        if cheapest is None:
            return None
        self._carry_out(cheapest, partition)
        return cheapest.worker

    def _suitable(self, worker: Worker, spec: m.JobSpec, zones: set[str] | None, quick_only: bool) -> bool:
        """Whether the task could run there, and with `quick_only` start in time, once there is room."""
        return (
            self.eligibility.usable(worker)
            and satisfies_constraints(worker, spec, zones)
            and not (quick_only and self.preference.fetch_too_slow(worker, spec))
        )

    def _plan(self, partition: JobPartition, worker: Worker) -> PreemptionPlan | None:
        """What to stop on that machine; None: all that may be stopped there does not make enough room."""
        spec = partition.spec
        room = _room_soon(worker)
        policy = self._policy(partition)
        victims: list[Attempt] = []
        lost_cpu_s = 0.0
        for candidate in _victims_in_order(worker, policy):
            if room.has_room_for(spec):
                break
            if not policy.may_preempt(candidate):
                continue  # what was chosen before it leaves its team within its guarantee
            policy.choose(candidate)
            victims.append(candidate)
            room.add(candidate.spec)
            lost_cpu_s += self._work_at_risk_s(candidate) * candidate.spec.cpus
        if not room.has_room_for(spec):
            return None
        uncached_cost = UNCACHED_COST * (spec.image not in worker.images)
        slow_fetch_cost = SLOW_FETCH_COST * self.preference.fetch_too_slow(worker, spec)
        return PreemptionPlan(lost_cpu_s + uncached_cost + slow_fetch_cost, worker, victims)

    def _policy(self, partition: JobPartition) -> PreemptionPolicy:
        """Whose work may be stopped on one machine: a policy counts what was chosen, so each machine has its own."""
        if self.state.quota is None:
            return PriorityPreemption(partition.priority)
        return self.state.quota.preemption_policy(partition.spec)

    def _work_at_risk_s(self, attempt: Attempt) -> float:
        """Seconds of work that are lost if the attempt is stopped: those since its last checkpoint, at most."""
        ran_s = (self.state.ctx.now_us - attempt.running_us) / SECOND if attempt.running_us else 0.0
        checkpoint_s = attempt.spec.checkpoint_interval_s
        return min(ran_s, checkpoint_s) if checkpoint_s else ran_s

    def _carry_out(self, plan: PreemptionPlan, partition: JobPartition) -> None:
        """Stop the victims at once, without time to save their work."""
        for victim in plan.victims:
            log.info("task preempted task=%s for_job=%s", victim.name, partition.job_id)
            self.state.stop(victim, grace_s=0.0)


def _with_possible_victims(machines: CandidateMachines, spec: m.JobSpec, guaranteed: bool) -> list[Worker]:
    """The machines left by what their sums tell at a glance: on most, nothing may be preempted."""
    return [
        worker
        for worker in machines.workers
        if worker.running and (guaranteed or worker.service_room() >= spec.cpus - EPSILON)
    ]


def _room_soon(worker: Worker) -> MachineRoom:
    """What is free on the machine, with what was stopped there for another task: that one may not need all of it."""
    room = MachineRoom.of(worker)
    for attempt in worker.live_attempts():
        if attempt.stopping and attempt.observed and not attempt.grace_s:
            room.add(attempt.spec)
    return room


def _victims_in_order(worker: Worker, policy: PreemptionPolicy) -> list[Attempt]:
    """What may be preempted on the machine: lowest priority first, then what has checkpoints, then what began last."""
    victims = [
        attempt
        for attempt in worker.live_attempts()
        if attempt.observed and not attempt.stopping and policy.may_preempt(attempt)
    ]
    victims.sort(key=lambda attempt: (-attempt.priority, attempt.spec.checkpoint_interval_s == 0, -attempt.running_us))
    return victims
