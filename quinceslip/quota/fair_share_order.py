"""The order of a pass: each level within its part first, then what is left over. See `fair` for the arithmetic."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from itertools import groupby, islice

from quinceslip.coordination.shard.partition import JobPartition
from quinceslip.coordination.shard.state import ShardState
from quinceslip.coordination.shard.worker import Worker
from quinceslip.quota.allocations import Allocations
from quinceslip.quota.max_min import divide
from quinceslip.quota.tree import (
    KINDS,
    UNLIMITED,
    ZERO,
    Amounts,
    Tree,
    add,
    least,
    positive,
    task_amounts,
    times,
    within,
)
from quinceslip.quota.usage import UsageMeter

#: shares are compared in parts of what a parent has
ONE = 1 << 30
#: of so many waiting chunks at most the fairest is sought for one place; a whole pass looks at all
MAX_FOR_ONE_PLACE = 64
#: of these so many of one team, sought among so many
MAX_PARTITIONS_PER_TEAM = 16
MAX_PARTITIONS_EXAMINED = 1024


class FairShareOrder(UsageMeter):
    def __init__(self, tree: Tree, allocations: Allocations, state: ShardState) -> None:
        super().__init__(tree, allocations, state)
        self.targets: dict[int, Amounts] = {}  # of the present round of a pass
        self.held_back = False  # by a target, not by a limit
        self.demand: dict[int, Amounts] = {}  # of waiting work, by level with a guarantee
        self.capacity: Amounts = ZERO
        self.kept_back: dict[str, JobPartition] = {}  # refused in this pass for the sake of room that is kept
        self.reservation_released = False  # such room was given up after that

    def begin(self, queue: Sequence[JobPartition]) -> None:
        """A whole pass begins."""

    def rounds(self, queue: Sequence[JobPartition], workers: Sequence[Worker]) -> Iterator[list[JobPartition]]:
        """The queue in rounds: priority by priority; first each level within its part, then what is left over.

        Without a second round, room would stay empty that nobody entitled to it can use.
        """
        self.settle_attempts()
        self.begin(queue)
        sizes = [w.type for w in workers if w.type is not None]
        self.capacity = (
            int(sum(t.cpus for t in sizes) * 1000),
            int(sum(t.gpus for t in sizes) * 1000),
            int(sum(t.memory_gb for t in sizes) * 1000),
            UNLIMITED,
        )
        self.demand.clear()
        self.has_partitions_on_hold = False
        for partition in queue:
            partition.on_hold = False
            path = self.tree.guaranteed.get(partition.spec.team)
            if path:
                self.count(self.demand, path, times(task_amounts(partition.spec), len(partition.pending)), 1)
        for _, group in groupby(queue, key=lambda c: c.spec.priority):
            partitions = list(group)
            self.held_back, self.targets = False, {}
            owed = [c for c in partitions if c.start_due]
            if owed:
                yield owed  # a beginning, whatever its team has
            least_cpus = min(c.spec.cpus for c in partitions)
            # Where nothing is free, nothing is to be divided.
            if self._free(workers, least_cpus) and len({c.spec.team for c in partitions}) > 1:
                self.targets = self._targets(partitions)
                # Some have more than their part by now, and keep it: what is left goes first to those
                # that their guarantee gives it to.
                yield self._fairest(partitions)
                yield from self._lend_spare(partitions, workers, least_cpus)
                # In the same order: what is left over goes first to whoever is furthest below its part.
                partitions = self._fairest(c for c in partitions if c.pending) if self.held_back else []
                self.targets = {}
            if partitions:
                yield partitions
        if self.reservation_released and self.kept_back:
            # Guard: whoever came before it in this pass was refused what has been given up since. Without this they
            # wait beside it until something else brings another pass.
            again = [c for c in self.kept_back.values() if c.pending]
            for partition in again:
                partition.on_hold = False
            yield self._fairest(again)

    @staticmethod
    def _free(workers: Sequence[Worker], cpus: float) -> bool:
        return any(w.free()[0] >= cpus for w in workers)

    def _lend_spare(
        self, partitions: Sequence[JobPartition], workers: Sequence[Worker], least_cpus: float
    ) -> Iterator[list[JobPartition]]:
        """What whole tasks left of the parts: one task at a time to whoever has borrowed least.

        Turn by turn twice as many, so that room which only few can use is given out in few turns.
        """
        most = 1
        # Bound: the tasks that wait; a turn in which none of them starts is the last.
        while self.held_back and self._free(workers, least_cpus):
            rest = self._fairest(c for c in partitions if c.pending and not c.on_hold)
            self.held_back = False
            self.targets = {
                self.tree.path(c.spec.team)[0]: add(
                    self.usage.get(self.tree.path(c.spec.team)[0], ZERO), task_amounts(c.spec), most
                )
                for c in reversed(rest)
                if self.tree.path(c.spec.team)
            }
            before = self.attempts_counted
            yield rest
            if self.attempts_counted == before:
                self.held_back = True
                return
            most *= 2

    def _targets(self, partitions: Sequence[JobPartition]) -> dict[int, Amounts]:
        """What each level should use after this round: use so far, and a fair part of what is left."""
        waiting: dict[str, Amounts] = {}
        for partition in partitions:
            team = partition.spec.team
            waiting[team] = add(waiting.get(team, ZERO), task_amounts(partition.spec), len(partition.pending))
        need: dict[int, Amounts] = {}
        for team, amounts in waiting.items():
            self.count(need, self.tree.path(team), amounts, 1)
        # Children come after their parents: what a child's own limit keeps from it is no need of its parent.
        for level in sorted(need, reverse=True):
            beneath = [c for c in self.tree.levels[level].children if c in need]
            total = self.usage.get(level, ZERO)
            for child in beneath:
                total = add(add(total, need[child]), self.usage.get(child, ZERO), -1)
            if not beneath:
                total = add(total, need[level])
            need[level] = _shrunk(total, self.limit_here(level))
        targets: dict[int, Amounts] = {}
        tops = [level for level in need if not self.tree.levels[level].parent]
        self._divide(tops, self.capacity, ZERO, need, targets)
        return targets

    def _divide(
        self,
        siblings: list[int],
        capacity: Amounts,
        taken: Amounts,
        need: dict[int, Amounts],
        targets: dict[int, Amounts],
    ) -> None:
        """Divide a parent's capacity, less what others beneath it use, between the siblings that want more.

        Bound: as deep as the tree, which its settings limit (`config.MAX_TREE_DEPTH`).
        """
        room = positive(add(capacity, taken, -1))
        wants = [
            (self.tree.levels[level].weight, _share(self.guaranteed_here(level), room), _share(need[level], room))
            for level in siblings
        ]
        for level, part, (_, _, wanted) in zip(siblings, divide(ONE, wants), wants, strict=True):
            scaled = need[level] if part >= wanted else tuple(-(-n * part // wanted) for n in need[level])
            targets[level] = (scaled[0], scaled[1], scaled[2], scaled[3])
            children = [c for c in self.tree.levels[level].children if c in need]
            if children:
                used = self.usage.get(level, ZERO)
                for child in children:
                    used = add(used, self.usage.get(child, ZERO), -1)
                # Of a resource that nothing bounds, no part is too large.
                bounds = [
                    part if whole < UNLIMITED else whole for part, whole in zip(targets[level], capacity, strict=True)
                ]
                self._divide(children, least(bounds, self.limit_here(level)), used, need, targets)

    def order_for_one_place(self, queue: Sequence[JobPartition]) -> list[JobPartition]:
        """Who may take a place that has just become free, first the one furthest below its part."""
        # Guard: a few of each team. The first of all alone would be one team's where it floods the queue.
        of_team: Counter[str] = Counter()
        first: list[JobPartition] = []
        for partition in islice(queue, MAX_PARTITIONS_EXAMINED):
            if not partition.on_hold and of_team[partition.spec.team] < MAX_PARTITIONS_PER_TEAM:
                of_team[partition.spec.team] += 1
                first.append(partition)
                if len(first) >= MAX_FOR_ONE_PLACE:
                    break
        return self._fairest(first) if len({c.spec.team for c in first}) > 1 else first

    def _fairest(self, partitions: Iterable[JobPartition]) -> list[JobPartition]:
        """Priority first, then who has borrowed least, then first come, first served."""
        known: dict[int, tuple[float, float]] = {}  # teams share the levels above them
        return sorted(
            partitions,
            key=lambda c: (c.spec.priority, not c.start_due, self.fair_key(c.spec.team, known), c.sort_key()),
        )

    def fair_key(self, team: str, known: dict[int, tuple[float, float]]) -> tuple[tuple[float, float], ...]:
        """From the root on: whether a level is within its guarantee, and what it borrows for its weight."""
        key = []
        for level in reversed(self.tree.path(team)):
            found = known.get(level)
            if found is None:
                own, used = self.guaranteed_here(level), self.usage.get(level, ZERO)
                beyond = not any(u < o < UNLIMITED for u, o in zip(used, own, strict=True))
                borrowed = _share(positive(add(used, own, -1)), self.capacity) / self.tree.levels[level].weight
                found = known[level] = (float(beyond), borrowed)
            key.append(found)
        return tuple(key)


def _share(amounts: Sequence[int], of: Sequence[int]) -> int:
    """The largest part that an amount takes of another, in parts of ONE."""
    parts = [
        amounts[kind] * ONE // max(of[kind], 1)
        for kind in range(KINDS)
        if of[kind] < UNLIMITED and amounts[kind] < UNLIMITED
    ]
    return max(parts, default=0)


def _shrunk(amounts: Amounts, limit: Amounts) -> Amounts:
    """As much of an amount as fits into a limit, all resources in proportion."""
    if within(amounts, limit):
        return amounts
    whole, part = min(
        ((a, most) for a, most in zip(amounts, limit, strict=True) if a > most), key=lambda pair: pair[1] / pair[0]
    )
    return (
        -(-amounts[0] * part // whole),
        -(-amounts[1] * part // whole),
        -(-amounts[2] * part // whole),
        -(-amounts[3] * part // whole),
    )
