"""The usage of each level in one shard, counted as tasks come and go.

Counted is every task that may still be on a machine, and room that is reserved for a job.
"""

from collections.abc import Container
from dataclasses import dataclass, field

from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m
from quinceslip.quota.allocation import may_start
from quinceslip.quota.allocations import Allocations
from quinceslip.quota.amounts import (
    UNLIMITED,
    UNLIMITED_AMOUNTS,
    ZERO,
    Amounts,
    accumulate,
    add,
    positive_part,
    subtract,
    task_amounts,
)
from quinceslip.quota.tree import Tree


@dataclass(slots=True)
class Reservation:
    """Room that was made for a job and that others leave to it."""

    team: str
    room: Amounts
    until_us: int
    #: the job waits in this shard; else its shard gets the room as an allocation
    waits_here: bool
    #: the attempts that were stopped for it
    stopping: list[Attempt] = field(default_factory=list)
    #: what others may have of it, since no machine could take the job
    released: Amounts = ZERO


class UsageMeter:
    """The usage of every level in one shard, the part of it that is stopping, and the reservations."""

    def __init__(self, tree: Tree, allocations: Allocations, state: ShardState) -> None:
        self.tree = tree
        self.allocations = allocations
        self.state = state
        #: by level; only levels that are in use
        self.usage: dict[int, Amounts] = {}
        #: the part of it that is stopping
        self.stopping_usage: dict[int, Amounts] = {}
        #: the attempts that are counted, by team
        self.teams: dict[str, dict[Attempt, None]] = {}
        #: attempts that have ended, while a launch of them may still arrive
        self.unsettled_attempts: dict[Attempt, None] = {}
        #: names of workers with tasks whose team is not known
        self.workers_with_unknown_tasks: set[str] = set()
        #: levels that had no room in this pass, and for how much
        self.refused: dict[int, Amounts] = {}
        #: by job id
        self.reservations: dict[str, Reservation] = {}
        #: attempts counted since the start
        self.attempts_counted = 0
        #: the last whole pass left job partitions that only their quota keeps from starting
        self.has_partitions_on_hold = False

    def attempt_added(self, attempt: Attempt) -> None:
        """An attempt is counted from its launch on, or from the first heartbeat that shows it."""
        path = self.tree.path(attempt.spec.team)
        if path and attempt.counted_usage is None:
            attempt.counted_usage = task_amounts(attempt.spec)
            self.attempts_counted += 1
            if attempt.job_id in self.reservations:
                self.release(attempt.job_id, attempt.counted_usage)
            accumulate(self.usage, path, attempt.counted_usage)
            self.teams.setdefault(attempt.spec.team, {})[attempt] = None

    def attempt_removed(self, attempt: Attempt) -> None:
        """An attempt is on no machine any more."""
        self.refused.clear()
        self.unsettled_attempts.pop(attempt, None)
        if attempt.counted_usage is None:
            return
        if self.has_partitions_on_hold:
            # Job partitions stay on hold until a whole pass. Room elsewhere in the fleet, in a shard where nothing else
            # changed, would stay empty for ever: a heartbeat fills its own machine, and not with what is on hold.
            self.state.needs_placement = True
        path = self.tree.path(attempt.spec.team)
        accumulate(self.usage, path, attempt.counted_usage, -1)
        if attempt.counted_as_stopping:
            accumulate(self.stopping_usage, path, attempt.counted_usage, -1)
            attempt.counted_as_stopping = False
        attempt.counted_usage = None
        attempts_of_team = self.teams[attempt.spec.team]
        del attempts_of_team[attempt]
        if not attempts_of_team:
            del self.teams[attempt.spec.team]

    def attempt_ended(self, worker: Worker | None, attempt: Attempt) -> None:
        """An attempt that ended is counted no longer, unless a launch of it can still arrive."""
        if worker is None or self.state.launch_cannot_arrive(worker, attempt):
            self.attempt_removed(attempt)
        else:
            self.unsettled_attempts[attempt] = None

    def attempt_stopping(self, attempt: Attempt) -> None:
        """An attempt is being stopped; its usage stays until it has ended."""
        if attempt.counted_usage is not None and not attempt.counted_as_stopping:
            attempt.counted_as_stopping = True
            accumulate(self.stopping_usage, self.tree.path(attempt.spec.team), attempt.counted_usage)

    def heartbeat_received(self, worker: Worker) -> None:
        """A task on a machine that is not counted (of a job that is over, say) is somebody's usage."""
        known = worker.attempts
        if any(
            task.state != m.EXITED and (name not in known or known[name].number != task.attempt)
            for name, task in worker.reported_tasks.items()
        ):
            self.workers_with_unknown_tasks.add(worker.name)
        else:
            self.workers_with_unknown_tasks.discard(worker.name)

    def settle_attempts(self) -> None:
        """Count no longer what ended while a launch of it could still arrive, and no longer can."""
        for attempt in list(self.unsettled_attempts):
            machine = self.state.workers.get(attempt.worker)
            if machine is None or self.state.launch_cannot_arrive(machine, attempt):
                self.attempt_removed(attempt)

    def net_usage(self, level: int) -> Amounts:
        """The usage of a level without what is stopping."""
        return subtract(self.usage.get(level, ZERO), self.stopping_usage.get(level, ZERO))

    def usage_known(self) -> bool:
        """Whether all usage in this shard is known: inherited tasks are reconciled, and the cache is caught up."""
        state = self.state
        for name in list(self.workers_with_unknown_tasks):
            if name not in state.workers or state.workers[name].lease_expired:
                self.workers_with_unknown_tasks.discard(name)
        led_since = state.election.mod_revisions.get(state.index, UNLIMITED)
        return state.election.may_launch(state.index) and may_start(
            not state.unreconciled and not self.workers_with_unknown_tasks,
            state.ctx.cache.revision >= led_since,
        )

    def limit_here(self, level: int) -> Amounts:
        """The part of a level's cap that this shard may use now."""
        if not self.tree.levels[level].capped:
            return UNLIMITED_AMOUNTS
        return self.allocations.for_cap(level).limit(self.state.index)

    def guaranteed_here(self, level: int) -> Amounts:
        """The part of a level's guarantee that this shard holds."""
        if not self.tree.levels[level].guaranteed:
            return ZERO
        return self.allocations.for_guarantee(level).limit(self.state.index)

    def reserved_for_others(self, level: int, job_id: str, without: Container[str] = ()) -> Amounts:
        """Room beneath a level that is reserved for jobs other than this one and those in `without`.

        Without this, higher priority beyond its guarantee would take what a guarantee has just claimed from
        it, and the two would preempt each other for ever.
        """
        total = ZERO
        for other, reservation in self.reservations.items():
            if other != job_id and other not in without and level in self.tree.path(reservation.team):
                total = add(total, reservation.room)
        return total

    def release(self, job_id: str, amounts: Amounts) -> None:
        """So much of what is reserved for a job has been taken."""
        reservation = self.reservations.get(job_id)
        if reservation is not None:
            reservation.room = positive_part(subtract(reservation.room, amounts))
