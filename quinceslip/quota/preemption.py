"""Chooses the attempts to preempt for a job that a guarantee or its priority entitles to room; stops nothing itself.

`GuaranteeAwarePreemption` is the policy, which decides on one victim at a time; `VictimSearch` goes through the
candidates until a job has room.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from quinceslip.coordination.shard_state.worker import EPSILON, Attempt, Worker, fits
from quinceslip.protocol import messages as m
from quinceslip.quota.amounts import ZERO, Amounts, accumulate, positive_part, subtract, within
from quinceslip.quota.preemption_candidates import PreemptionCandidates, VictimGroup, can_be_stopped, group_of
from quinceslip.quota.usage import UsageMeter

#: the lowest priority class (of urgent and production) that may preempt lower ones without a guarantee
MAX_PREEMPTING_PRIORITY = 1


class GuaranteeAwarePreemption:
    """Which attempts may be preempted for a job, given the victims chosen so far."""

    def __init__(self, usage: UsageMeter, spec: m.JobSpec, covering_guarantees: set[int]) -> None:
        """`covering_guarantees`: the levels whose guarantee covers the job."""
        self.usage = usage
        self.spec = spec
        self.covering_guarantees = covering_guarantees
        #: by level, the usage of the victims chosen so far
        self.chosen_usage: dict[int, Amounts] = {}

    def may_preempt(self, victim: Attempt) -> bool:
        """Whether the job may preempt the victim, by their guarantees and priorities.

        A job covered by a guarantee may preempt borrowed usage of any priority; production and urgent jobs may also
        preempt lower priorities. The victim's usage is borrowed if every level from its team up to where the two paths
        diverge is beyond its guarantee, so the guarantees of all levels on the way are respected. Priority alone, with
        no guarantee that covers the job, does not preempt usage that a guarantee covers: the victim's team would
        reclaim the room at once, and the two would preempt each other for ever.
        """
        diverging_levels = self.usage.tree.diverging_levels(self.spec.team, victim.spec.team)
        higher_priority = self.spec.priority <= MAX_PREEMPTING_PRIORITY and victim.spec.priority > self.spec.priority
        if diverging_levels is None:
            return higher_priority
        own_level, victim_level = diverging_levels
        if own_level in self.covering_guarantees:
            return higher_priority or self._is_borrowed(victim, victim_level)
        return higher_priority and self._is_borrowed(victim, victim_level)

    def _is_borrowed(self, victim: Attempt, top: int) -> bool:
        """Whether each level from the victim's team up to `top` uses more than its guarantee."""
        for level in self.usage.tree.path(victim.spec.team):
            used = subtract(self.usage.net_usage(level), self.chosen_usage.get(level, ZERO))
            if within(used, self.usage.shard_guarantee(level)):
                return False
            if level == top:
                return True
        return False

    def choose(self, victim: Attempt) -> None:
        """Choose a victim: later answers count its usage as gone."""
        if victim.counted_usage is not None:
            accumulate(self.chosen_usage, self.usage.tree.path(victim.spec.team), victim.counted_usage)


class GangCapacity:
    """How many tasks of a gang the machines can take once stopping attempts and chosen victims have ended."""

    def __init__(self, spec: m.JobSpec, workers: Sequence[Worker]) -> None:
        self.spec = spec
        #: by worker name: free CPUs, GPUs and GB of memory
        self.free = {worker.name: worker.free() for worker in workers}
        self._task_slots = {worker.name: worker.free_task_slots() for worker in workers}
        self.count = sum(self._tasks_that_fit(name) for name in self.free)
        for worker in workers:
            for attempt in worker.live_attempts():
                if attempt.stopping:
                    self.add_freed(attempt)

    def add_freed(self, attempt: Attempt) -> None:
        """Count an attempt as gone from its machine."""
        self._change(attempt, 1)

    def remove_freed(self, attempt: Attempt) -> None:
        """Undo `add_freed`: the attempt stays on its machine."""
        self._change(attempt, -1)

    def _change(self, attempt: Attempt, factor: int) -> None:
        name, spec = attempt.worker, attempt.spec
        before = self.free.get(name)
        if before is None:
            return
        self.count -= self._tasks_that_fit(name)
        self.free[name] = (
            before[0] + factor * spec.cpus,
            before[1] + factor * spec.gpus,
            before[2] + factor * spec.memory_gb,
        )
        self._task_slots[name] += factor
        self.count += self._tasks_that_fit(name)

    def _tasks_that_fit(self, name: str) -> int:
        """Return how many tasks fit on a machine; negative if it is overcommitted."""
        needs = (self.spec.cpus, self.spec.gpus, self.spec.memory_gb)
        free = zip(self.free[name], needs, strict=True)
        counts = [(available + EPSILON) // need for available, need in free if need > 0]
        # A tiny amount fits without limit, or overcommits a machine without limit: neither is a number of tasks.
        return int(max(min([*counts, self._task_slots[name]]), -m.MAX_TASKS))


@dataclass(slots=True)
class RoomRequest:
    """A request to make room for a job by preemption."""

    spec: m.JobSpec
    #: tasks that start together
    count: int
    #: only attempts on this machine are preempted, and it must have room for a task afterwards
    machine: Worker | None = None
    #: set for a gang: the machines must have room for all its tasks afterwards
    gang_capacity: GangCapacity | None = None
    #: the levels whose guarantee covers the job: given if it waits in another shard, else None and computed here
    covering_guarantees: set[int] | None = None
    #: by level, what the job's shard lacks: likewise
    shortfall: dict[int, Amounts] | None = None


class VictimSearch:
    """One search through the candidates for victims that make the requested room."""

    def __init__(
        self,
        policy: GuaranteeAwarePreemption,
        candidates: PreemptionCandidates,
        request: RoomRequest,
        shortfall: dict[int, Amounts],
    ) -> None:
        self.policy = policy
        self.tree = policy.usage.tree
        self.candidates = candidates
        self.request = request
        #: by level: what is still lacking
        self.shortfall = dict(shortfall)
        self.machine_free = request.machine.free() if request.machine is not None else (0.0, 0.0, 0.0)
        self.machine_slots = request.machine.free_task_slots() if request.machine is not None else 0
        self.chosen: list[Attempt] = []
        self._refused: set[VictimGroup] = set()  # groups that may not be preempted beside the victims chosen so far

    def find_room(self, partial_allowed: bool) -> bool:
        """Choose victims until no level lacks anything and the machine has room; returns whether that succeeded.

        `partial_allowed`: some quota is enough, since other shards may have the rest.
        """
        for victim in self._candidates_in_order():
            if not self.shortfall and self._machine_has_room():
                break
            if self._may_preempt(victim):
                self._choose(victim)
        if self.shortfall and not (partial_allowed and self.chosen):
            return False
        return self._machine_has_room()

    def _machine_has_room(self) -> bool:
        if self.request.machine is None:
            return True
        return self.machine_slots > 0 and fits(self.machine_free, self.request.spec)

    def _candidates_in_order(self) -> Iterator[Attempt]:
        """Return the attempts that would help, on the machine of the request if it names one."""
        machine = self.request.machine
        if machine is None:
            return self.candidates.in_order(self._would_help)
        return (victim for victim in machine.preemptible_work().victims() if can_be_stopped(victim))

    def _would_help(self, group: VictimGroup) -> bool:
        """Whether a victim of the group may be chosen and would reduce the shortfall."""
        if group in self._refused:
            return False
        return any(level in self.shortfall for level in self.tree.path(group.team))

    def _may_preempt(self, victim: Attempt) -> bool:
        """Whether the policy lets the victim be chosen; it is asked once for a group that it refuses."""
        group = group_of(victim)
        if group in self._refused:
            return False
        if self.policy.may_preempt(victim):
            return True
        self._refused.add(group)
        return False

    def _choose(self, victim: Attempt) -> None:
        self.policy.choose(victim)
        self.chosen.append(victim)
        if self.request.gang_capacity is not None:
            self.request.gang_capacity.add_freed(victim)
        free, spec = self.machine_free, victim.spec
        self.machine_free = (free[0] + spec.cpus, free[1] + spec.gpus, free[2] + spec.memory_gb)
        self.machine_slots += 1
        for level in self.tree.path(spec.team):
            lacking = self.shortfall.get(level)
            if lacking is None:
                continue
            lacking = positive_part(subtract(lacking, victim.counted_usage or ZERO))
            if any(lacking):
                self.shortfall[level] = lacking
            else:
                del self.shortfall[level]

    def find_room_for_gang(self, gang_capacity: GangCapacity) -> bool:
        """Choose further victims until the machines have room for the gang; returns whether that succeeded."""
        quota_victim_count = len(self.chosen)
        already_chosen = set(self.chosen)
        for victim in self.candidates.in_order(lambda group: group not in self._refused):
            if gang_capacity.count >= self.request.count:
                break
            if victim in already_chosen or victim.worker not in gang_capacity.free:
                continue
            if self._may_preempt(victim):
                self.policy.choose(victim)
                gang_capacity.add_freed(victim)
                self.chosen.append(victim)
        if gang_capacity.count < self.request.count:
            return False
        self._drop_unneeded_victims(gang_capacity, quota_victim_count)
        return True

    def _drop_unneeded_victims(self, gang_capacity: GangCapacity, first: int) -> None:
        """Drop each victim from index `first` on without which the gang still has room."""
        needed = self.chosen[:first]
        for victim in self.chosen[first:]:
            gang_capacity.remove_freed(victim)
            if gang_capacity.count < self.request.count:
                gang_capacity.add_freed(victim)
                needed.append(victim)
        self.chosen = needed
