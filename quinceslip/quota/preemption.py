"""Whose work is preempted for a job that a guarantee, or its priority, entitles to room. Decides, stops nothing.

`GuaranteeAwarePreemption` is the policy, asked for one victim at a time; `VictimSearch` goes through the candidates
until a job has room.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from quinceslip.coordination.shard_state.worker import EPSILON, Attempt, Worker, fits
from quinceslip.protocol import messages as m
from quinceslip.quota.amounts import ZERO, Amounts, accumulate, positive_part, subtract, within
from quinceslip.quota.usage import UsageMeter

#: the last priority class (urgent, production) that may preempt lower ones without a guarantee
MAX_PREEMPTING_PRIORITY = 1


class GuaranteeAwarePreemption:
    """Which attempts may be preempted for a job, considering those that were chosen already."""

    def __init__(self, usage: UsageMeter, spec: m.JobSpec, covering_guarantees: set[int]) -> None:
        """`covering_guarantees`: the levels within whose guarantee the job would be."""
        self.usage = usage
        self.spec = spec
        self.covering_guarantees = covering_guarantees
        #: by level, the usage of the victims chosen so far
        self.chosen_usage: dict[int, Amounts] = {}

    def may_preempt(self, victim: Attempt) -> bool:
        """Production and urgent work preempts lower priorities; otherwise only borrowed usage is preempted.

        Usage of a level is borrowed if every level from its team up to where the two paths part is
        beyond its guarantee: an uncle's guarantee is as safe as a sibling's. Priority alone does not preempt
        what rests on a guarantee unless the job does as well: the victim's team would claim the room back at
        once, and the two would preempt each other for ever.
        """
        diverging_levels = self.usage.tree.diverging_levels(self.spec.team, victim.spec.team)
        higher = self.spec.priority <= MAX_PREEMPTING_PRIORITY and victim.spec.priority > self.spec.priority
        if diverging_levels is None:
            return higher
        own_level, victim_level = diverging_levels
        if own_level in self.covering_guarantees:
            return higher or self._is_borrowed(victim, victim_level)
        return higher and self._is_borrowed(victim, victim_level)

    def _is_borrowed(self, victim: Attempt, top: int) -> bool:
        """Whether each level from the victim's team up to `top` uses more than its guarantee."""
        for level in self.usage.tree.path(victim.spec.team):
            used = subtract(self.usage.net_usage(level), self.chosen_usage.get(level, ZERO))
            if within(used, self.usage.guaranteed_here(level)):
                return False
            if level == top:
                return True
        return False

    def choose(self, victim: Attempt) -> None:
        """The victim will be stopped: later answers count its usage as gone."""
        if victim.counted_usage is not None:
            accumulate(self.chosen_usage, self.usage.tree.path(victim.spec.team), victim.counted_usage)


class GangPlaces:
    """How many tasks of a gang the machines can take once what is stopping, and what is chosen, has gone."""

    def __init__(self, spec: m.JobSpec, workers: Sequence[Worker]) -> None:
        self.spec = spec
        #: by name of the worker: free CPUs, GPUs and GB of memory
        self.free = {worker.name: worker.free() for worker in workers}
        self.count = sum(self._tasks_that_fit(free) for free in self.free.values())
        for worker in workers:
            for attempt in worker.live_attempts():
                if attempt.stopping:
                    self.add_freed(attempt)

    def add_freed(self, attempt: Attempt) -> None:
        """The attempt will leave its machine."""
        self._change(attempt, 1)

    def remove_freed(self, attempt: Attempt) -> None:
        """The attempt stays after all."""
        self._change(attempt, -1)

    def _change(self, attempt: Attempt, factor: int) -> None:
        before, spec = self.free.get(attempt.worker), attempt.spec
        if before is None:
            return
        after = (
            before[0] + factor * spec.cpus,
            before[1] + factor * spec.gpus,
            before[2] + factor * spec.memory_gb,
        )
        self.count += self._tasks_that_fit(after) - self._tasks_that_fit(before)
        self.free[attempt.worker] = after

    def _tasks_that_fit(self, free: tuple[float, float, float]) -> int:
        needs = (self.spec.cpus, self.spec.gpus, self.spec.memory_gb)
        counts = ((have + EPSILON) // need for have, need in zip(free, needs, strict=True) if need > 0)
        return int(min(counts, default=self.spec.tasks))


@dataclass(slots=True)
class RoomRequest:
    """Room that is to be made for a job by preempting borrowed usage."""

    spec: m.JobSpec
    #: tasks that start together
    count: int
    #: only what runs here is preempted, and it must have room for a task afterwards
    machine: Worker | None = None
    #: all tasks of the gang must find a place afterwards
    places: GangPlaces | None = None
    #: given where the job waits in another shard, else found here: the levels within whose guarantee it would be
    covering_guarantees: set[int] | None = None
    #: likewise: by level, what its shard lacks
    shortfall: dict[int, Amounts] | None = None


class VictimSearch:
    """One search through the candidates for attempts whose end makes the room that a request asks for."""

    def __init__(
        self,
        policy: GuaranteeAwarePreemption,
        candidates: Sequence[Attempt],
        request: RoomRequest,
        shortfall: dict[int, Amounts],
    ) -> None:
        self.policy = policy
        self.tree = policy.usage.tree
        self.candidates = candidates
        self.request = request
        #: by level, what is still lacking
        self.shortfall = dict(shortfall)
        self.machine_free = request.machine.free() if request.machine is not None else (0.0, 0.0, 0.0)
        self.chosen: list[Attempt] = []

    def find_room(self, partial_allowed: bool) -> bool:
        """Choose victims until no level lacks anything and the machine has room; whether that is reached.

        `partial_allowed`: some room is enough, since other shards may have the rest.
        """
        for victim in self.candidates:
            if not self.shortfall and self._machine_has_room():
                break
            if self._would_help(victim) and self.policy.may_preempt(victim):
                self._choose(victim)
        if self.shortfall and not (partial_allowed and self.chosen):
            return False
        return self._machine_has_room()

    def _machine_has_room(self) -> bool:
        return self.request.machine is None or fits(self.machine_free, self.request.spec)

    def _would_help(self, victim: Attempt) -> bool:
        if not _can_be_stopped(victim):
            return False
        machine = self.request.machine
        if machine is not None:
            return victim.worker == machine.name
        return any(level in self.shortfall for level in self.tree.path(victim.spec.team))

    def _choose(self, victim: Attempt) -> None:
        self.policy.choose(victim)
        self.chosen.append(victim)
        if self.request.places is not None:
            self.request.places.add_freed(victim)
        free, spec = self.machine_free, victim.spec
        self.machine_free = (free[0] + spec.cpus, free[1] + spec.gpus, free[2] + spec.memory_gb)
        for level in self.tree.path(spec.team):
            lacking = self.shortfall.get(level)
            if lacking is None:
                continue
            lacking = positive_part(subtract(lacking, victim.counted_usage or ZERO))
            if any(lacking):
                self.shortfall[level] = lacking
            else:
                del self.shortfall[level]

    def find_places(self, places: GangPlaces) -> bool:
        """Whether all tasks find places once the chosen victims have gone; more are chosen if it takes that."""
        needed_for_quota = len(self.chosen)
        already_chosen = set(self.chosen)
        for victim in self.candidates:
            if places.count >= self.request.count:
                break
            if victim in already_chosen or victim.worker not in places.free or not _can_be_stopped(victim):
                continue
            if self.policy.may_preempt(victim):
                self.policy.choose(victim)
                places.add_freed(victim)
                self.chosen.append(victim)
        if places.count < self.request.count:
            return False
        self._spare_needless(places, needed_for_quota)
        return True

    def _spare_needless(self, places: GangPlaces, first: int) -> None:
        """Victims from the index `first` on without which the gang still finds its places are not stopped."""
        for victim in self.chosen[first:]:
            places.remove_freed(victim)
            if places.count < self.request.count:
                places.add_freed(victim)
            else:
                self.chosen.remove(victim)


def _can_be_stopped(attempt: Attempt) -> bool:
    return attempt.counted_usage is not None and not attempt.stopping and not attempt.end_cause


def preemption_order(attempt: Attempt) -> tuple[int, bool, int, str]:
    """Sort key of victims: lowest priority first, then what saves checkpoints, then what has run shortest."""
    return (-attempt.spec.priority, attempt.spec.checkpoint_interval_s == 0, -attempt.running_since_us, attempt.name)
