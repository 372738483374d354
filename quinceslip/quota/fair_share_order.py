"""In which order the teams of one shard are served.

A pass of placement goes through the queue in rounds: each level within its fair share first, then what is left over.
The shares are those of `max_min.py`; `fair_share_targets.py` divides them down the tree.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from itertools import groupby, islice

from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.quota.allocations import Allocations
from quinceslip.quota.amounts import (
    UNLIMITED,
    ZERO,
    Amounts,
    accumulate,
    add,
    positive_part,
    subtract,
    task_amounts,
    times,
)
from quinceslip.quota.fair_share_targets import FairShareTargets, largest_share
from quinceslip.quota.tree import Tree
from quinceslip.quota.usage import UsageMeter

#: of so many waiting job partitions at most the fairest is sought for one place; a whole pass looks at all
MAX_FOR_ONE_PLACE = 64
#: of these so many of one team
MAX_PARTITIONS_PER_TEAM = 16
#: The first so many job partitions of a shard's queue are looked at for one place that a heartbeat has freed.
#: This bounds waiting jobs, not machines: each heartbeat fills its own machine only, so its work does not grow with the
#: fleet, and 4,000 machines need no larger value. Where more jobs wait, those behind are served by the whole passes.
MAX_PARTITIONS_EXAMINED = 1024

#: (beyond its guarantee, usage beyond it for its weight) of one level
FairKey = tuple[float, float]


class FairShareOrder(UsageMeter):
    """Orders job partitions by what their teams, and the levels above them, use beyond their guarantees."""

    def __init__(self, tree: Tree, allocations: Allocations, state: ShardState) -> None:
        super().__init__(tree, allocations, state)
        #: by level: what it may use in the present round of a pass
        self.targets: dict[int, Amounts] = {}
        #: a target, not a limit, has refused something in this round
        self.refused_by_target = False
        #: by level with a guarantee: what waiting work needs
        self.demand: dict[int, Amounts] = {}
        #: of all machines of the shard
        self.capacity: Amounts = ZERO
        #: by job id: refused in this pass for the sake of room that is reserved for others
        self.refused_for_reservations: dict[str, JobPartition] = {}
        #: such room was given up after that
        self.reservation_released = False

    def begin(self, queue: Sequence[JobPartition]) -> None:
        """A whole pass begins."""

    # A whole pass.

    def fair_share_rounds(
        self, queue: Sequence[JobPartition], workers: Sequence[Worker]
    ) -> Iterator[list[JobPartition]]:
        """The queue in rounds: priority by priority; first each level within its share, then what is left over.

        Without a second round, room would stay empty that nobody entitled to it can use.
        """
        self.settle_attempts()
        self.begin(queue)
        self.capacity = _capacity(workers)
        self._measure_demand(queue)
        for _, partitions in groupby(queue, key=lambda partition: partition.spec.priority):
            yield from self._rounds_of_priority(list(partitions), workers)
        if self.reservation_released and self.refused_for_reservations:
            # Guard: whoever came before it in this pass was refused what has been given up since. Without this they
            # wait beside it until something else brings another pass.
            again = [partition for partition in self.refused_for_reservations.values() if partition.pending]
            for partition in again:
                partition.on_hold = False
            yield self._fairest(again)

    def _measure_demand(self, queue: Sequence[JobPartition]) -> None:
        self.demand.clear()
        self.has_partitions_on_hold = False
        for partition in queue:
            partition.on_hold = False
            path = self.tree.guaranteed_levels.get(partition.spec.team)
            if path:
                accumulate(self.demand, path, times(task_amounts(partition.spec), len(partition.pending)))

    def _rounds_of_priority(
        self, partitions: list[JobPartition], workers: Sequence[Worker]
    ) -> Iterator[list[JobPartition]]:
        """The rounds of the job partitions of one priority class."""
        self.refused_by_target, self.targets = False, {}
        start_due = [partition for partition in partitions if partition.start_due]
        if start_due:
            yield start_due  # a first start, whatever its team has
        least_cpus = min(partition.spec.cpus for partition in partitions)
        # Where nothing is free, nothing is to be divided.
        if _any_free(workers, least_cpus) and _several_teams(partitions):
            self.targets = self._targets(partitions)
            # Some have more than their share by now, and keep it: what is left goes first to those
            # that their guarantee gives it to.
            yield self._fairest(partitions)
            yield from self._lend_spare(partitions, workers, least_cpus)
            # In the same order: what is left over goes first to whoever is furthest below its share.
            refused = self.refused_by_target
            partitions = self._fairest(partition for partition in partitions if partition.pending) if refused else []
            self.targets = {}
        if partitions:
            yield partitions

    def _lend_spare(
        self, partitions: Sequence[JobPartition], workers: Sequence[Worker], least_cpus: float
    ) -> Iterator[list[JobPartition]]:
        """What whole tasks left of the shares: one task at a time to whoever has borrowed least.

        Turn by turn twice as many, so that room which only few can use is given out in few turns.
        """
        tasks_per_turn = 1
        # Bound: the tasks that wait; a turn in which none of them starts is the last.
        while self.refused_by_target and _any_free(workers, least_cpus):
            rest = self._fairest(partition for partition in partitions if partition.pending and not partition.on_hold)
            self.refused_by_target = False
            self.targets = self._targets_of_turn(rest, tasks_per_turn)
            before = self.attempts_counted
            yield rest
            if self.attempts_counted == before:
                self.refused_by_target = True
                return
            tasks_per_turn *= 2

    def _targets_of_turn(self, partitions: Sequence[JobPartition], tasks: int) -> dict[int, Amounts]:
        """So many tasks more for each team; the first partition of a team decides of which size."""
        targets: dict[int, Amounts] = {}
        for partition in reversed(partitions):
            path = self.tree.path(partition.spec.team)
            if path:
                leaf = path[0]
                targets[leaf] = add(self.usage.get(leaf, ZERO), task_amounts(partition.spec), tasks)
        return targets

    def _targets(self, partitions: Sequence[JobPartition]) -> dict[int, Amounts]:
        """What each level should use after this round: its usage so far, and a fair share of what is left."""
        waiting: dict[str, Amounts] = {}
        for partition in partitions:
            team = partition.spec.team
            waiting[team] = add(waiting.get(team, ZERO), task_amounts(partition.spec), len(partition.pending))
        return FairShareTargets(self, self.capacity, waiting).by_level()

    # One place.

    def order_for_one_worker(self, queue: Sequence[JobPartition]) -> list[JobPartition]:
        """Who may take a place that has just become free, first the one furthest below its share."""
        # Guard: a few of each team. The first of all alone would be one team's where it floods the queue.
        of_team: Counter[str] = Counter()
        first: list[JobPartition] = []
        for partition in islice(queue, MAX_PARTITIONS_EXAMINED):
            if not partition.on_hold and of_team[partition.spec.team] < MAX_PARTITIONS_PER_TEAM:
                of_team[partition.spec.team] += 1
                first.append(partition)
                if len(first) >= MAX_FOR_ONE_PLACE:
                    break
        return self._fairest(first) if _several_teams(first) else first

    # The order itself.

    def _fairest(self, partitions: Iterable[JobPartition]) -> list[JobPartition]:
        """Priority first, then who has borrowed least, then first come, first served."""
        known: dict[int, FairKey] = {}  # teams share the levels above them
        return sorted(
            partitions,
            key=lambda partition: (
                partition.spec.priority,
                not partition.start_due,
                self.fair_key(partition.spec.team, known),
                partition.sort_key(),
            ),
        )

    def fair_key(self, team: str, known: dict[int, FairKey]) -> tuple[FairKey, ...]:
        """From the root on: whether a level is beyond its guarantee, and what it borrows for its weight.

        `known` keeps what was found of each level.
        """
        key = []
        for level in reversed(self.tree.path(team)):
            found = known.get(level)
            if found is None:
                found = known[level] = self._fair_key_of_level(level)
            key.append(found)
        return tuple(key)

    def _fair_key_of_level(self, level: int) -> FairKey:
        guaranteed, used = self.guaranteed_here(level), self.usage.get(level, ZERO)
        below = any(amount < limit < UNLIMITED for amount, limit in zip(used, guaranteed, strict=True))
        borrowed = largest_share(positive_part(subtract(used, guaranteed)), self.capacity)
        return float(not below), borrowed / self.tree.levels[level].weight


def _capacity(workers: Sequence[Worker]) -> Amounts:
    types = [worker.type for worker in workers if worker.type is not None]
    return (
        int(sum(machine_type.cpus for machine_type in types) * 1000),
        int(sum(machine_type.gpus for machine_type in types) * 1000),
        int(sum(machine_type.memory_gb for machine_type in types) * 1000),
        UNLIMITED,
    )


def _any_free(workers: Sequence[Worker], cpus: float) -> bool:
    return any(worker.free()[0] >= cpus for worker in workers)


def _several_teams(partitions: Iterable[JobPartition]) -> bool:
    return len({partition.spec.team for partition in partitions}) > 1
