"""The attempts of a shard that may be preempted for quotas, in order, as one placement pass finds them.

Preemption for many tasks goes through them again and again. They are grouped by team and priority, which decide whether
an attempt may be preempted, so that a search passes over a whole group at once; attempts that were stopped meanwhile
are dropped for good.
"""

import heapq
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from quinceslip.coordination.shard_state.worker import Attempt

#: sort key of an attempt: lowest priority first, then jobs that save checkpoints, then the latest started
_OrderKey = tuple[int, bool, int, str]


class VictimGroup(NamedTuple):
    """Attempts of one team and priority."""

    team: str
    priority: int


#: tells whether attempts of a group can still be of use to a search
GroupFilter = Callable[[VictimGroup], bool]


def group_of(attempt: Attempt) -> VictimGroup:
    """Return the group of an attempt."""
    return VictimGroup(attempt.spec.team, attempt.spec.priority)


def can_be_stopped(attempt: Attempt) -> bool:
    """Whether an attempt is counted by the quotas and neither ended nor stopping."""
    return attempt.counted_usage is not None and not attempt.stopping and not attempt.end_cause


def _order(attempt: Attempt) -> _OrderKey:
    return (
        -attempt.spec.priority,
        attempt.spec.checkpoint_interval_s == 0,
        -attempt.running_since_us,
        attempt.name,
    )


class _GroupQueue:
    """The attempts of one group in order; those before `first` can no longer be stopped."""

    def __init__(self, group: VictimGroup) -> None:
        self.group = group
        self.attempts: list[Attempt] = []
        self.first = 0
        self._is_sorted = False

    def next_index(self, index: int) -> int | None:
        """Return the first index from `index` on whose attempt can be stopped; None if there is none."""
        if not self._is_sorted:
            self._is_sorted = True
            self.attempts.sort(key=_order)
        start = index = max(index, self.first)
        # Bound: the attempts; each iteration goes on by one.
        while index < len(self.attempts) and not can_be_stopped(self.attempts[index]):
            index += 1
        if start == self.first:
            self.first = index
        return index if index < len(self.attempts) else None


class PreemptionCandidates:
    """The candidates of one pass."""

    def __init__(self, attempts: Iterable[Attempt]) -> None:
        queues: dict[VictimGroup, _GroupQueue] = {}
        for attempt in attempts:
            if attempt.observed:
                group = group_of(attempt)
                if group not in queues:
                    queues[group] = _GroupQueue(group)
                queues[group].attempts.append(attempt)
        self._queues = list(queues.values())

    def in_order(self, is_useful: GroupFilter) -> Iterator[Attempt]:
        """Yield the attempts that can be stopped, in order, leaving out groups from when they are no longer useful."""
        heap: list[tuple[_OrderKey, int, int]] = []  # order of the next attempt, its queue and its index there
        for number, queue in enumerate(self._queues):
            if is_useful(queue.group):
                self._push(heap, number, 0)
        # Bound: the attempts; each iteration removes one, or a whole group.
        while heap:
            _, number, index = heapq.heappop(heap)
            queue = self._queues[number]
            if is_useful(queue.group):
                yield queue.attempts[index]
                self._push(heap, number, index + 1)

    def _push(self, heap: list[tuple[_OrderKey, int, int]], number: int, index: int) -> None:
        """Add the next attempt of a queue from `index` on, if there is one."""
        next_index = self._queues[number].next_index(index)
        if next_index is not None:
            heapq.heappush(heap, (_order(self._queues[number].attempts[next_index]), number, next_index))
