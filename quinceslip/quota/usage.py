"""Counts the usage of each level in one shard as attempts start and end.

Every attempt that may still be on a machine counts. Room reserved for jobs is tracked as well.
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
    """Room that was made for a job and that other jobs may not use."""

    team: str
    room: Amounts
    until_us: int
    #: the job waits in this shard; if not, its shard gets the room by way of the allocation
    waits_here: bool
    #: the attempts that were stopped for it
    stopping: list[Attempt] = field(default_factory=list)
    #: the part that other jobs may use after all, since the job could not use it
    released: Amounts = ZERO


class UsageMeter:
    """The usage of every level in one shard, the part of it that is stopping, and the reservations."""

    def __init__(self, tree: Tree, allocations: Allocations, state: ShardState) -> None:
        self.tree = tree
        self.allocations = allocations
        self.state = state
        #: by level that is in use: what its attempts use
        self.usage: dict[int, Amounts] = {}
        #: the part of the usage that belongs to stopping attempts
        self.stopping_usage: dict[int, Amounts] = {}
        #: by team: the attempts that are counted
        self.attempts_by_team: dict[str, dict[Attempt, None]] = {}
        #: attempts that have ended but whose launch command may still arrive
        self.ended_with_launch_in_flight: dict[Attempt, None] = {}
        #: names of workers with tasks whose team is unknown
        self.workers_with_unknown_tasks: set[str] = set()
        #: by level that had no room in this pass: the amounts that were refused
        self.refused_amounts: dict[int, Amounts] = {}
        #: by job id
        self.reservations: dict[str, Reservation] = {}
        #: number of attempts counted since this controller took over the shard
        self.attempts_counted = 0
        #: whether the last whole pass left job partitions that only their quota keeps from starting
        self.has_partitions_on_hold = False

    def attempt_added(self, attempt: Attempt) -> None:
        """Count an attempt, from its launch or from the first heartbeat that reports it."""
        path = self.tree.path(attempt.spec.team)
        if path and attempt.counted_usage is None:
            attempt.counted_usage = task_amounts(attempt.spec)
            self.attempts_counted += 1
            if attempt.job_id in self.reservations:
                self.use_reservation(attempt.job_id, attempt.counted_usage)
            accumulate(self.usage, path, attempt.counted_usage)
            self.attempts_by_team.setdefault(attempt.spec.team, {})[attempt] = None

    def attempt_removed(self, attempt: Attempt) -> None:
        """Stop counting an attempt that is on no machine any more."""
        self.refused_amounts.clear()
        self.ended_with_launch_in_flight.pop(attempt, None)
        if attempt.counted_usage is None:
            return
        if self.has_partitions_on_hold:
            # Job partitions stay on hold until the next whole pass. In a shard where nothing else changes, room on
            # other machines would otherwise stay empty for ever: a heartbeat fills only its own machine, and not with
            # partitions on hold.
            self.state.needs_placement = True
        path = self.tree.path(attempt.spec.team)
        accumulate(self.usage, path, attempt.counted_usage, -1)
        if attempt.counted_as_stopping:
            accumulate(self.stopping_usage, path, attempt.counted_usage, -1)
            attempt.counted_as_stopping = False
        attempt.counted_usage = None
        attempts_of_team = self.attempts_by_team[attempt.spec.team]
        del attempts_of_team[attempt]
        if not attempts_of_team:
            del self.attempts_by_team[attempt.spec.team]

    def attempt_ended(self, worker: Worker | None, attempt: Attempt) -> None:
        """Stop counting an ended attempt, unless its launch command may still arrive."""
        if worker is None or self.state.launch_cannot_arrive(worker, attempt):
            self.attempt_removed(attempt)
        else:
            self.ended_with_launch_in_flight[attempt] = None

    def attempt_stopping(self, attempt: Attempt) -> None:
        """Count an attempt as stopping; it still counts as usage until it has ended."""
        if attempt.counted_usage is not None and not attempt.counted_as_stopping:
            attempt.counted_as_stopping = True
            accumulate(self.stopping_usage, self.tree.path(attempt.spec.team), attempt.counted_usage)

    def heartbeat_received(self, worker: Worker) -> None:
        """Note whether the worker reports tasks that are not counted, of an ended job for example: they use quota."""
        known = worker.attempts
        if any(
            task.state != m.EXITED and (name not in known or known[name].number != task.attempt)
            for name, task in worker.reported_tasks.items()
        ):
            self.workers_with_unknown_tasks.add(worker.name)
        else:
            self.workers_with_unknown_tasks.discard(worker.name)

    def remove_ended_attempts(self) -> None:
        """Stop counting ended attempts whose launch command can no longer arrive."""
        for attempt in list(self.ended_with_launch_in_flight):
            machine = self.state.workers.get(attempt.worker)
            if machine is None or self.state.launch_cannot_arrive(machine, attempt):
                self.attempt_removed(attempt)

    def net_usage(self, level: int) -> Amounts:
        """The usage of a level without stopping attempts."""
        return subtract(self.usage.get(level, ZERO), self.stopping_usage.get(level, ZERO))

    def usage_known(self) -> bool:
        """Whether all usage in this shard is known: inherited tasks are reconciled and the cache has caught up."""
        state = self.state
        for name in list(self.workers_with_unknown_tasks):
            if name not in state.workers or state.workers[name].lease_expired:
                self.workers_with_unknown_tasks.discard(name)
        led_since = state.election.mod_revisions.get(state.index, UNLIMITED)
        return state.election.may_launch(state.index) and may_start(
            not state.unreconciled and not self.workers_with_unknown_tasks,
            state.ctx.cache.revision >= led_since,
        )

    def shard_limit(self, level: int) -> Amounts:
        """The part of a level's cap that this shard may use now."""
        if not self.tree.levels[level].capped:
            return UNLIMITED_AMOUNTS
        return self.allocations.for_cap(level).limit(self.state.index)

    def shard_guarantee(self, level: int) -> Amounts:
        """The part of a level's guarantee that this shard holds."""
        if not self.tree.levels[level].guaranteed:
            return ZERO
        return self.allocations.for_guarantee(level).limit(self.state.index)

    def reserved_for_others(self, level: int, job_id: str, excluded: Container[str] = ()) -> Amounts:
        """Room beneath a level that is reserved for jobs other than this one and those in `excluded`.

        Without reservations, a job of higher priority whose team is beyond its guarantee would take the room that was
        just reclaimed from the team for a guaranteed job, and the two would preempt each other for ever.
        """
        total = ZERO
        for other, reservation in self.reservations.items():
            if other != job_id and other not in excluded and level in self.tree.path(reservation.team):
                total = add(total, reservation.room)
        return total

    def use_reservation(self, job_id: str, amounts: Amounts) -> None:
        """Reduce the room reserved for a job by what it has been given."""
        reservation = self.reservations.get(job_id)
        if reservation is not None:
            reservation.room = positive_part(subtract(reservation.room, amounts))
