"""Decides within one shard whether tasks may start now under the caps of every level above them.

Reads the usage and the shard's allocations; writes nothing. `shard_quota.py` records what is lacking and preempts.
"""

from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.protocol import messages as m
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
    within,
)
from quinceslip.quota.fair_share_order import FairShareOrder
from quinceslip.quota.tree import Tree


class QuotaAdmission(FairShareOrder):
    """Admits tasks by caps, by room reserved for other jobs, and by the targets of the current fair-share round."""

    def __init__(self, tree: Tree, allocations: Allocations, state: ShardState) -> None:
        super().__init__(tree, allocations, state)
        #: whether a fair-share target caused the last refusal
        self.last_refused_by_target = False
        #: the level whose room reserved for other jobs caused the last refusal; None: something else did
        self.level_refused_by_reservation: int | None = None
        #: by job id: quota that preemption would free for the job if a machine had room for it
        self.preemptable_room: dict[str, Amounts] = {}

    def allows(self, spec: m.JobSpec, count: int = 1) -> bool:
        """Whether `count` tasks may start now under every level above them."""
        path = self.tree.path(spec.team)
        if not path:
            return True
        need = times(task_amounts(spec), count)
        self.last_refused_by_target, self.level_refused_by_reservation = False, None
        return self._caps_allow(spec, need) and self._targets_allow(path, need)

    def _caps_allow(self, spec: m.JobSpec, need: Amounts) -> bool:
        capped = self.tree.capped_levels[spec.team]
        for level in capped:
            refused = self.refused_amounts.get(level)
            if refused is not None and within(refused, need):
                return False
        if capped and not self.usage_known():
            return False
        return all(self._cap_allows(level, spec.job_id, need) for level in capped)

    def _cap_allows(self, level: int, job_id: str, need: Amounts) -> bool:
        allocation = self.allocations.for_cap(level)
        limit = allocation.limit(self.state.index)
        wanted = add(self.usage.get(level, ZERO), need)
        if not within(wanted, limit) or allocation.is_exceeded(need) or not self.allocations.is_current(level):
            self.refused_amounts[level] = need
            return False
        if self.reservations and not within(add(wanted, self.reserved_for_others(level, job_id)), limit):
            self.level_refused_by_reservation = level
            return False
        return True

    def _targets_allow(self, path: tuple[int, ...], need: Amounts) -> bool:
        if not self.targets:
            return True
        for level in path:
            target = self.targets.get(level)
            if target is not None and not within(add(self.usage.get(level, ZERO), need), target):
                self.refused_by_target = self.last_refused_by_target = True
                return False
        return True

    def deferred_to_next_round(self) -> bool:
        """Whether only the target of this round caused the last refusal: a later round may admit the tasks."""
        return self.last_refused_by_target

    def tasks_allowed_on_new_machines(
        self, spec: m.JobSpec, max_count: int, granted_by_level: dict[int, Amounts]
    ) -> int:
        """How many of `max_count` tasks machines may be added for, by what the shard holds or can take from the pools.

        `granted_by_level` accumulates, by level, what earlier calls for the same plan granted.
        """
        need = task_amounts(spec)
        count = max_count
        for level in self.tree.capped_levels.get(spec.team, ()):
            room = self._room_for_new_machines(level, spec.job_id)
            room = subtract(room, granted_by_level.get(level, ZERO))
            for available, per_task in zip(room, need, strict=True):
                if per_task:
                    count = min(count, max(0, available) // per_task)
        accumulate(granted_by_level, self.tree.path(spec.team), times(need, count))
        return count

    def _room_for_new_machines(self, level: int, job_id: str) -> Amounts:
        allocation = self.allocations.for_cap(level)
        obtainable = add(allocation.limit(self.state.index), positive_part(allocation.pool()))
        return add(subtract(obtainable, self.net_usage(level)), self.preemptable_room.get(job_id, ZERO))

    def quota_exists_elsewhere(self, team: str) -> bool:
        """Whether the pool or another shard has any quota of each level that had no room.

        Guard: this includes a level whose room is only reserved for other jobs. Otherwise this shard would make room
        for part of a job although the rest exists nowhere, and the job and those others would block each other.
        """
        for level in self.tree.capped_levels.get(team, ()):
            if level in self.refused_amounts or level == self.level_refused_by_reservation:
                allocation = self.allocations.for_cap(level)
                elsewhere = subtract(allocation.total_in_force(), allocation.held(self.state.index))
                if not any(0 < amount < UNLIMITED // 2 for amount in elsewhere):
                    return False
        return True
