"""Counts what may still be on the machines of one shard, by level, as tasks come and go."""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from quinceslip.coordination.shard.state import Attempt, ShardState, Worker
from quinceslip.protocol import messages as m
from quinceslip.quota.allocation import may_start
from quinceslip.quota.allocations import Purses
from quinceslip.quota.tree import UNLIMITED, ZERO, Amounts, Tree, add, positive, task_amounts


@dataclass(slots=True)
class Kept:
    """Room that was made for a job and that others leave to it."""

    team: str
    room: Amounts
    until_us: int
    here: bool  # the job waits in this shard; else its shard gets the room as a grant
    stops: list[Attempt] = field(default_factory=list)  # what was told to stop for it
    let_go: Amounts = ZERO  # what others have of it, since no machine could take the job


class Meter:
    """Use of every level in one shard, what was told to stop, and room that is kept for a job."""

    def __init__(self, tree: Tree, purses: Purses, state: ShardState) -> None:
        self.tree = tree
        self.purses = purses
        self.state = state
        self.use: dict[int, Amounts] = {}  # by level; only levels that are in use
        self.going: dict[int, Amounts] = {}  # the part of it that was told to stop
        self.teams: dict[str, dict[Attempt, None]] = {}  # what is counted, by team
        self.unsettled: dict[Attempt, None] = {}  # ended, while a launch of it may still arrive
        self.strange: set[str] = set()  # workers with tasks of which the team is not known
        self.refused: dict[int, Amounts] = {}  # levels that had no room in this pass, and for how much
        self.kept: dict[str, Kept] = {}  # by job: room that was made for it
        self.entered = 0  # tasks counted so far
        self.holding = False  # the last whole pass left chunks that only their quota keeps from starting

    def enter(self, attempt: Attempt) -> None:
        path = self.tree.path(attempt.spec.team)
        if path and attempt.counted is None:
            attempt.counted = task_amounts(attempt.spec)
            self.entered += 1
            if attempt.uid in self.kept:
                self.release(attempt.uid, attempt.counted)
            self.count(self.use, path, attempt.counted, 1)
            self.teams.setdefault(attempt.spec.team, {})[attempt] = None

    def leave(self, attempt: Attempt) -> None:
        self.refused.clear()
        self.unsettled.pop(attempt, None)
        if attempt.counted is None:
            return
        if self.holding:
            # Chunks are held until a whole pass. Room elsewhere in the fleet, in a shard where nothing else
            # changed, would stay empty for ever: a report fills its own machine, and not with what is held.
            self.state.dirty = True
        path = self.tree.path(attempt.spec.team)
        self.count(self.use, path, attempt.counted, -1)
        if attempt.yields:
            self.count(self.going, path, attempt.counted, -1)
            attempt.yields = False
        attempt.counted = None
        there = self.teams[attempt.spec.team]
        del there[attempt]
        if not there:
            del self.teams[attempt.spec.team]

    def ended(self, worker: Worker | None, attempt: Attempt) -> None:
        """It takes room no longer, unless a launch of it can still arrive."""
        if worker is None or self.state.settled(worker, attempt):
            self.leave(attempt)
        else:
            self.unsettled[attempt] = None

    def halts(self, attempt: Attempt) -> None:
        if attempt.counted is not None and not attempt.yields:
            attempt.yields = True
            self.count(self.going, self.tree.path(attempt.spec.team), attempt.counted, 1)

    def reported(self, worker: Worker) -> None:
        """A task on a machine that is not counted (of a job that is over, say) is somebody's use."""
        known = worker.attempts
        if any(t.state != m.EXITED and (n not in known or known[n].number != t.attempt)
               for n, t in worker.reported.items()):
            self.strange.add(worker.name)
        else:
            self.strange.discard(worker.name)

    @staticmethod
    def count(sums: dict[int, Amounts], path: Iterable[int], amounts: Amounts, by: int) -> None:
        for level in path:
            total = add(sums.get(level, ZERO), amounts, by)
            if any(total):
                sums[level] = total
            else:
                sums.pop(level, None)

    def net(self, level: int) -> Amounts:
        """Use without what was told to stop."""
        return add(self.use.get(level, ZERO), self.going.get(level, ZERO), -1)

    def open(self) -> bool:
        """Whether all that is used in this shard is known."""
        state = self.state
        for name in [n for n in self.strange if n not in state.workers or state.workers[n].lost]:
            self.strange.discard(name)
        stamp = state.ownership.stamps.get(state.index, UNLIMITED)
        return state.ownership.entitled(state.index) and may_start(not state.unresolved and not self.strange,
                                                        state.ctx.view.ledger >= stamp)

    def limit(self, level: int) -> Amounts:
        return self.purses.cap(level).limit(self.state.index) if self.tree.levels[level].capped else (UNLIMITED,) * 4

    def own(self, level: int) -> Amounts:
        """The part of a level's guarantee that this shard holds."""
        if not self.tree.levels[level].guaranteed:
            return ZERO
        return self.purses.own(level).limit(self.state.index)

    def settle(self) -> None:
        """What ended while a launch of it could still arrive, and no longer can."""
        for attempt in list(self.unsettled):
            machine = self.state.workers.get(attempt.worker)
            if machine is None or self.state.settled(machine, attempt):
                self.leave(attempt)

    def kept_for_others(self, level: int, uid: str, without: Container[str] = ()) -> Amounts:
        """Room beneath a level that was made for other jobs, which take it when what was stopped has gone.

        Without this, higher priority beyond its guarantee would take what a guarantee has just claimed from
        it, and the two would stop each other for ever.
        """
        total = ZERO
        for other, kept in self.kept.items():
            if other != uid and other not in without and level in self.tree.path(kept.team):
                total = add(total, kept.room)
        return total

    def release(self, uid: str, amounts: Amounts) -> None:
        """So much of what was kept for a job has been taken."""
        kept = self.kept.get(uid)
        if kept is not None:
            kept.room = positive(add(kept.room, amounts, -1))
