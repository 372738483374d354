"""Orders the queue of one shard by the fair shares of its teams.

A placement pass goes through the queue in rounds: first each level up to its fair share, then what is left over.
`max_min.py` computes the shares; `fair_share_targets.py` divides them down the tree.
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

#: at most this many waiting job partitions are ordered to fill one freed place; a whole pass orders all
MAX_PARTITIONS_ORDERED = 64
#: at most this many of them are of one team
MAX_PARTITIONS_PER_TEAM = 16
#: How many job partitions at the head of the queue are examined to fill one place that a heartbeat has freed. Each
#: heartbeat fills only its own machine, so this need not grow with the fleet: it suffices for 4,000 machines. Job
#: partitions further back are left to the whole passes.
MAX_PARTITIONS_EXAMINED = 1024

#: of one level: (0.0 if it uses less than its guarantee, else 1.0; usage beyond the guarantee by weight)
FairKey = tuple[float, float]


class FairShareOrder(UsageMeter):
    """Orders job partitions by what their teams and the levels above them use beyond their guarantees."""

    def __init__(self, tree: Tree, allocations: Allocations, state: ShardState) -> None:
        super().__init__(tree, allocations, state)
        #: by level: what it may use in the current round of a pass
        self.targets: dict[int, Amounts] = {}
        #: a target, not a limit, has kept a task from starting in this round
        self.refused_by_target = False
        #: by level with a guarantee: what waiting tasks need
        self.demand: dict[int, Amounts] = {}
        #: the capacity of all machines of the shard
        self.capacity: Amounts = ZERO
        #: by job id: the job partitions that room reserved for other jobs kept from starting in this pass
        self.refused_for_reservations: dict[str, JobPartition] = {}
        #: reserved room has been released in this pass
        self.reservation_released = False

    def begin_pass(self, queue: Sequence[JobPartition]) -> None:
        """Prepare for a whole pass."""

    # A whole pass.

    def fair_share_rounds(
        self, queue: Sequence[JobPartition], workers: Sequence[Worker]
    ) -> Iterator[list[JobPartition]]:
        """Yield the queue in rounds, by priority: first each level up to its share, then what is left over.

        Without the second kind of round, room would stay empty if those entitled to it cannot use it.
        """
        self.remove_ended_attempts()
        self.begin_pass(queue)
        self.capacity = _capacity(workers)
        self._measure_demand(queue)
        for _, partitions in groupby(queue, key=lambda partition: partition.spec.priority):
            yield from self._rounds_of_priority(list(partitions), workers)
        if self.reservation_released and self.refused_for_reservations:
            # Guard: these were refused room that was released later in the pass. Without this round they would wait
            # next to free room until another event triggers a pass.
            retried = [partition for partition in self.refused_for_reservations.values() if partition.pending]
            for partition in retried:
                partition.on_hold = False
            yield self._sorted_by_fairness(retried)

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
        """Yield the rounds of the job partitions of one priority class."""
        self.refused_by_target, self.targets = False, {}
        start_due = [partition for partition in partitions if partition.start_due]
        if start_due:
            yield start_due  # regardless of what their teams use
        min_cpus = min(partition.spec.cpus for partition in partitions)
        # Without free machines there is nothing to divide.
        if _has_free_cpus(workers, min_cpus) and _has_several_teams(partitions):
            self.targets = self._targets(partitions)
            # Some teams already use more than their share, and keep it: what is left goes first to those whose
            # guarantee entitles them to it.
            yield self._sorted_by_fairness(partitions)
            yield from self._leftover_rounds(partitions, workers, min_cpus)
            # What is left over goes first to the teams furthest below their share.
            refused = self.refused_by_target
            partitions = (
                self._sorted_by_fairness(partition for partition in partitions if partition.pending) if refused else []
            )
            self.targets = {}
        if partitions:
            yield partitions

    def _leftover_rounds(
        self, partitions: Sequence[JobPartition], workers: Sequence[Worker], min_cpus: float
    ) -> Iterator[list[JobPartition]]:
        """Yield rounds for the remainders that are left since tasks are indivisible, least borrowed first.

        Each team gets one task more in the first round and twice as many in each further one, so that room which only
        few teams can use is filled in few rounds.
        """
        tasks_per_team = 1
        # Bound: the waiting tasks; a round in which none of them starts is the last.
        while self.refused_by_target and _has_free_cpus(workers, min_cpus):
            waiting = self._sorted_by_fairness(
                partition for partition in partitions if partition.pending and not partition.on_hold
            )
            self.refused_by_target = False
            self.targets = self._targets_of_leftover_round(waiting, tasks_per_team)
            attempts_before = self.attempts_counted
            yield waiting
            if self.attempts_counted == attempts_before:
                self.refused_by_target = True
                return
            tasks_per_team *= 2

    def _targets_of_leftover_round(self, partitions: Sequence[JobPartition], tasks: int) -> dict[int, Amounts]:
        """Targets that allow each team `tasks` more of the size of its first partition."""
        targets: dict[int, Amounts] = {}
        for partition in reversed(partitions):
            path = self.tree.path(partition.spec.team)
            if path:
                leaf = path[0]
                targets[leaf] = add(self.usage.get(leaf, ZERO), task_amounts(partition.spec), tasks)
        return targets

    def _targets(self, partitions: Sequence[JobPartition]) -> dict[int, Amounts]:
        """What each level should use after this round: its usage so far plus a fair share of what is left."""
        waiting: dict[str, Amounts] = {}
        for partition in partitions:
            team = partition.spec.team
            waiting[team] = add(waiting.get(team, ZERO), task_amounts(partition.spec), len(partition.pending))
        return FairShareTargets(self, self.capacity, waiting).by_level()

    # Filling one freed place.

    def order_for_one_worker(self, queue: Sequence[JobPartition]) -> list[JobPartition]:
        """The candidates for a place that has just become free, those furthest below their share first."""
        # Guard: a few partitions of each team. Otherwise a team that floods the queue would be the only candidate.
        count_by_team: Counter[str] = Counter()
        candidates: list[JobPartition] = []
        for partition in islice(queue, MAX_PARTITIONS_EXAMINED):
            if not partition.on_hold and count_by_team[partition.spec.team] < MAX_PARTITIONS_PER_TEAM:
                count_by_team[partition.spec.team] += 1
                candidates.append(partition)
                if len(candidates) >= MAX_PARTITIONS_ORDERED:
                    break
        return self._sorted_by_fairness(candidates) if _has_several_teams(candidates) else candidates

    # The sort key.

    def _sorted_by_fairness(self, partitions: Iterable[JobPartition]) -> list[JobPartition]:
        """Sort by priority, then by least borrowed usage, then first come, first served."""
        key_by_level: dict[int, FairKey] = {}  # teams share the levels above them
        return sorted(
            partitions,
            key=lambda partition: (
                partition.spec.priority,
                not partition.start_due,
                self.fair_key(partition.spec.team, key_by_level),
                partition.sort_key(),
            ),
        )

    def fair_key(self, team: str, key_by_level: dict[int, FairKey]) -> tuple[FairKey, ...]:
        """Sort key of a team: the keys of the levels on its path, from the root down.

        `key_by_level` caches the key of each level.
        """
        key = []
        for level in reversed(self.tree.path(team)):
            level_key = key_by_level.get(level)
            if level_key is None:
                level_key = key_by_level[level] = self._fair_key_of_level(level)
            key.append(level_key)
        return tuple(key)

    def _fair_key_of_level(self, level: int) -> FairKey:
        guaranteed, used = self.shard_guarantee(level), self.usage.get(level, ZERO)
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


def _has_free_cpus(workers: Sequence[Worker], cpus: float) -> bool:
    return any(worker.free()[0] >= cpus for worker in workers)


def _has_several_teams(partitions: Iterable[JobPartition]) -> bool:
    return len({partition.spec.team for partition in partitions}) > 1
