"""Counts what may still be on the machines of one shard, by level, as tasks come and go."""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from quinceslip.coordination.shard.state import ShardState
from quinceslip.coordination.shard.worker import Attempt, Worker
from quinceslip.protocol import messages as m
from quinceslip.quota.allocation import may_start
from quinceslip.quota.allocations import Allocations
from quinceslip.quota.tree import UNLIMITED, ZERO, Amounts, Tree, add, positive, task_amounts


@dataclass(slots=True)
class Reservation:
    """Room that was made for a job and that others leave to it."""

    team: str
    room: Amounts
    until_us: int
    waits_here: bool  # the job waits in this shard; else its shard gets the room as a grant
    stopping: list[Attempt] = field(default_factory=list)  # what was told to stop for it
    released: Amounts = ZERO  # what others have of it, since no machine could take the job


class UsageMeter:
    """Use of every level in one shard, what was told to stop, and room that is kept for a job."""

    def __init__(self, tree: Tree, allocations: Allocations, state: ShardState) -> None:
        self.tree = tree
        self.allocations = allocations
        self.state = state
        self.usage: dict[int, Amounts] = {}  # by level; only levels that are in use
        self.stopping_usage: dict[int, Amounts] = {}  # the part of it that was told to stop
        self.teams: dict[str, dict[Attempt, None]] = {}  # what is counted, by team
        self.unsettled_attempts: dict[Attempt, None] = {}  # ended, while a launch of it may still arrive
        self.workers_with_unknown_tasks: set[str] = set()  # workers with tasks of which the team is not known
        self.refused: dict[int, Amounts] = {}  # levels that had no room in this pass, and for how much
        self.reservations: dict[str, Reservation] = {}  # by job: room that was made for it
        self.attempts_counted = 0  # tasks counted so far
        self.has_partitions_on_hold = False  # the last whole pass left chunks that only their quota keeps from starting

    def attempt_added(self, attempt: Attempt) -> None:
        path = self.tree.path(attempt.spec.team)
        if path and attempt.counted_usage is None:
            attempt.counted_usage = task_amounts(attempt.spec)
            self.attempts_counted += 1
            if attempt.job_id in self.reservations:
                self.release(attempt.job_id, attempt.counted_usage)
            self.count(self.usage, path, attempt.counted_usage, 1)
            self.teams.setdefault(attempt.spec.team, {})[attempt] = None

    def attempt_removed(self, attempt: Attempt) -> None:
        self.refused.clear()
        self.unsettled_attempts.pop(attempt, None)
        if attempt.counted_usage is None:
            return
        if self.has_partitions_on_hold:
            # Chunks are held until a whole pass. Room elsewhere in the fleet, in a shard where nothing else
            # changed, would stay empty for ever: a report fills its own machine, and not with what is held.
            self.state.needs_placement = True
        path = self.tree.path(attempt.spec.team)
        self.count(self.usage, path, attempt.counted_usage, -1)
        if attempt.counted_as_stopping:
            self.count(self.stopping_usage, path, attempt.counted_usage, -1)
            attempt.counted_as_stopping = False
        attempt.counted_usage = None
        there = self.teams[attempt.spec.team]
        del there[attempt]
        if not there:
            del self.teams[attempt.spec.team]

    def attempt_ended(self, worker: Worker | None, attempt: Attempt) -> None:
        """It takes room no longer, unless a launch of it can still arrive."""
        if worker is None or self.state.settled(worker, attempt):
            self.attempt_removed(attempt)
        else:
            self.unsettled_attempts[attempt] = None

    def attempt_stopping(self, attempt: Attempt) -> None:
        if attempt.counted_usage is not None and not attempt.counted_as_stopping:
            attempt.counted_as_stopping = True
            self.count(self.stopping_usage, self.tree.path(attempt.spec.team), attempt.counted_usage, 1)

    def heartbeat_received(self, worker: Worker) -> None:
        """A task on a machine that is not counted (of a job that is over, say) is somebody's use."""
        known = worker.attempts
        if any(
            t.state != m.EXITED and (n not in known or known[n].number != t.attempt)
            for n, t in worker.reported_tasks.items()
        ):
            self.workers_with_unknown_tasks.add(worker.name)
        else:
            self.workers_with_unknown_tasks.discard(worker.name)

    @staticmethod
    def count(sums: dict[int, Amounts], path: Iterable[int], amounts: Amounts, by: int) -> None:
        for level in path:
            total = add(sums.get(level, ZERO), amounts, by)
            if any(total):
                sums[level] = total
            else:
                sums.pop(level, None)

    def net_usage(self, level: int) -> Amounts:
        """Use without what was told to stop."""
        return add(self.usage.get(level, ZERO), self.stopping_usage.get(level, ZERO), -1)

    def usage_known(self) -> bool:
        """Whether all that is used in this shard is known."""
        state = self.state
        for name in [
            n for n in self.workers_with_unknown_tasks if n not in state.workers or state.workers[n].lease_expired
        ]:
            self.workers_with_unknown_tasks.discard(name)
        mod_revision = state.election.mod_revisions.get(state.index, UNLIMITED)
        return state.election.may_launch(state.index) and may_start(
            not state.unreconciled and not self.workers_with_unknown_tasks, state.ctx.cache.revision >= mod_revision
        )

    def limit_here(self, level: int) -> Amounts:
        return (
            self.allocations.for_cap(level).limit(self.state.index)
            if self.tree.levels[level].capped
            else (UNLIMITED,) * 4
        )

    def guaranteed_here(self, level: int) -> Amounts:
        """The part of a level's guarantee that this shard holds."""
        if not self.tree.levels[level].guaranteed:
            return ZERO
        return self.allocations.for_guarantee(level).limit(self.state.index)

    def settle_attempts(self) -> None:
        """What ended while a launch of it could still arrive, and no longer can."""
        for attempt in list(self.unsettled_attempts):
            machine = self.state.workers.get(attempt.worker)
            if machine is None or self.state.settled(machine, attempt):
                self.attempt_removed(attempt)

    def reserved_for_others(self, level: int, job_id: str, without: Container[str] = ()) -> Amounts:
        """Room beneath a level that was made for other jobs, which take it when what was stopped has gone.

        Without this, higher priority beyond its guarantee would take what a guarantee has just claimed from
        it, and the two would stop each other for ever.
        """
        total = ZERO
        for other, kept in self.reservations.items():
            if other != job_id and other not in without and level in self.tree.path(kept.team):
                total = add(total, kept.room)
        return total

    def release(self, job_id: str, amounts: Amounts) -> None:
        """So much of what was kept for a job has been taken."""
        kept = self.reservations.get(job_id)
        if kept is not None:
            kept.room = positive(add(kept.room, amounts, -1))
