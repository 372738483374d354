"""What placement asks of the quotas of one shard: may this start here now, and whose work gives way to it.

The gate counts every task that may still be on a machine of the shard, along the path of its team, as
tasks come and go. It reads what the shard holds from the purses and never writes. What is short is noted
as a claim, which the keeper takes to the state service.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from itertools import groupby, islice

from quinceslip.coordination.context import SECOND
from quinceslip.coordination.state import Attempt, Chunk, ShardState, Worker, fits
from quinceslip.protocol import messages as m
from quinceslip.quota.fair import divide
from quinceslip.quota.grants import may_start
from quinceslip.quota.purses import Purses
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

#: shares are compared in parts of what a parent has
ONE = 1 << 30
#: of so many waiting chunks at most the fairest is sought for one place; a whole pass looks at all
MOST_FOR_ONE_PLACE = 64
#: room that was made for a job is kept for it so long: what stops may have to save first
KEPT_US = 10 * SECOND


@dataclass(slots=True)
class Claim:
    """What a team's waiting work lacks."""

    team: str
    #: the least that helps: one task, or all of a gang or service
    unit: Amounts
    #: what all waiting tasks of the team could use
    need: Amounts
    #: machines have room for it; then priority, acceptance and id: a total order over all shards
    order: tuple[int, int, int, str]
    spec: m.JobSpec
    count: int


@dataclass(slots=True)
class Kept:
    """Room that was made for a job and that others leave to it."""

    team: str
    room: Amounts
    until_us: int
    here: bool  # the job waits in this shard; else its shard gets the room as a grant


class Gate:
    def __init__(self, tree: Tree, purses: Purses, state: ShardState) -> None:
        self.tree = tree
        self.purses = purses
        self.state = state
        self.use: dict[int, Amounts] = {}  # by level; only levels that are in use
        self.going: dict[int, Amounts] = {}  # the part of it that was told to stop
        self.teams: dict[str, dict[Attempt, None]] = {}  # what is counted, by team
        self.unsettled: dict[Attempt, None] = {}  # ended, while a launch of it may still arrive
        self.strange: set[str] = set()  # workers with tasks of which the team is not known
        self.claims: dict[str, Claim] = {}
        self.targets: dict[int, Amounts] = {}  # of the present round of a pass
        self.held_back = False  # by a target, not by a limit
        self.last_held_back = False  # the last refusal was a target's
        self.demand: dict[int, Amounts] = {}  # of waiting work, by level with a guarantee
        self.capacity: Amounts = ZERO
        self.refused: dict[int, Amounts] = {}  # levels that had no room in this pass, and for how much
        self.promised: dict[int, Amounts] = {}  # room that claims of this pass have been made
        self.kept: dict[str, Kept] = {}  # by job: room that was made for it
        self.victims: list[Attempt] | None = None  # what could be stopped, in order, for this pass
        self.entered = 0  # tasks counted so far
        self.stopped = 0  # tasks told to make room for others' quota, for tests and the log

    # Counting.

    def enter(self, attempt: Attempt) -> None:
        path = self.tree.path(attempt.spec.team)
        if path and attempt.counted is None:
            attempt.counted = task_amounts(attempt.spec)
            self.entered += 1
            if attempt.uid in self.kept:
                self.release(attempt.uid, attempt.counted)
            self._count(self.use, path, attempt.counted, 1)
            self.teams.setdefault(attempt.spec.team, {})[attempt] = None

    def leave(self, attempt: Attempt) -> None:
        self.refused.clear()
        self.unsettled.pop(attempt, None)
        if attempt.counted is None:
            return
        path = self.tree.path(attempt.spec.team)
        self._count(self.use, path, attempt.counted, -1)
        if attempt.yields:
            self._count(self.going, path, attempt.counted, -1)
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
            self._count(self.going, self.tree.path(attempt.spec.team), attempt.counted, 1)

    def reported(self, worker: Worker) -> None:
        """A task on a machine that is not counted (of a job that is over, say) is somebody's use."""
        known = worker.attempts
        if any(t.state != m.EXITED and (n not in known or known[n].number != t.attempt)
               for n, t in worker.reported.items()):
            self.strange.add(worker.name)
        else:
            self.strange.discard(worker.name)

    @staticmethod
    def _count(sums: dict[int, Amounts], path: Iterable[int], amounts: Amounts, by: int) -> None:
        for level in path:
            total = add(sums.get(level, ZERO), amounts, by)
            if any(total):
                sums[level] = total
            else:
                sums.pop(level, None)

    def net(self, level: int) -> Amounts:
        """Use without what was told to stop."""
        return add(self.use.get(level, ZERO), self.going.get(level, ZERO), -1)

    # May it start.

    def open(self) -> bool:
        """Whether all that is used in this shard is known."""
        state = self.state
        for name in [n for n in self.strange if n not in state.workers or state.workers[n].lost]:
            self.strange.discard(name)
        stamp = state.ownership.stamps.get(state.index, UNLIMITED)
        return state.ownership.entitled() and may_start(not state.unresolved and not self.strange,
                                                        state.ctx.view.ledger >= stamp)

    def allows(self, spec: m.JobSpec, count: int = 1) -> bool:
        """Whether that many tasks may start now, by every level above them."""
        path = self.tree.path(spec.team)
        if not path:
            return True
        need = times(task_amounts(spec), count)
        capped = self.tree.capped[spec.team]
        self.last_held_back = False
        for level in capped:
            known = self.refused.get(level)
            if known is not None and within(known, need):
                return False
        if capped and not self.open():
            return False
        for level in capped:
            purse = self.purses.cap(level)
            wanted = add(self.use.get(level, ZERO), need)
            if not within(wanted, purse.limit(self.state.index)) or purse.over(need) \
                    or not self.purses.confirmed(level):
                self.refused[level] = need
                return False
            if self.kept and not within(add(wanted, self._kept_for_others(level, spec.uid)),
                                        purse.limit(self.state.index)):
                return False
        if self.targets:
            for level in path:
                target = self.targets.get(level)
                if target is not None and not within(add(self.use.get(level, ZERO), need), target):
                    self.held_back = self.last_held_back = True
                    return False
        return True

    def _kept_for_others(self, level: int, uid: str) -> Amounts:
        """Room beneath a level that was made for other jobs, which take it when what was stopped has gone.

        Without this, higher priority beyond its guarantee would take what a guarantee has just claimed from
        it, and the two would stop each other for ever.
        """
        total = ZERO
        for other, kept in self.kept.items():
            if other != uid and level in self.tree.path(kept.team):
                total = add(total, kept.room)
        return total

    def release(self, uid: str, amounts: Amounts) -> None:
        """So much of what was kept for a job has been taken."""
        kept = self.kept.get(uid)
        if kept is not None:
            kept.room = positive(add(kept.room, amounts, -1))

    def waits_for_round(self) -> bool:
        """Whether the last refusal was only for the sake of others in this round, with another to come."""
        return self.last_held_back

    def startable(self, spec: m.JobSpec, most: int, spoken_for: dict[int, Amounts]) -> int:
        """How many of so many tasks machines may be rented for: what the shard holds or can take from pools.

        `spoken_for` adds up, by level, what was answered before in the same plan.
        """
        need, path = task_amounts(spec), self.tree.path(spec.team)
        for level in path:
            if self.tree.levels[level].capped:
                purse = self.purses.cap(level)
                room = add(add(purse.limit(self.state.index), positive(purse.pool())), self.net(level), -1)
                room = add(room, spoken_for.get(level, ZERO), -1)
                most = min([most, *(max(0, r) // n for r, n in zip(room, need, strict=True) if n)])
        self._count(spoken_for, path, times(need, most), 1)
        return most

    # The order of a pass.

    def rounds(self, queue: Sequence[Chunk], workers: Sequence[Worker]) -> Iterator[list[Chunk]]:
        """The queue in rounds: priority by priority; first each level within its part, then what is left over.

        Without a second round, room would stay empty that nobody entitled to it can use.
        """
        for attempt in list(self.unsettled):
            machine = self.state.workers.get(attempt.worker)
            if machine is None or self.state.settled(machine, attempt):
                self.leave(attempt)
        self.claims.clear()
        self.promised.clear()
        self.refused.clear()
        self.victims = None
        sizes = [w.type for w in workers if w.type is not None]
        self.capacity = (int(sum(t.cpus for t in sizes) * 1000), int(sum(t.gpus for t in sizes) * 1000),
                         int(sum(t.memory_gb for t in sizes) * 1000), UNLIMITED)
        now_us = self.state.ctx.now_us
        waiting = {c.uid for c in queue} if self.kept else set()
        self.kept = {uid: kept for uid, kept in self.kept.items()
                     if any(kept.room) and now_us < kept.until_us and (uid in waiting or not kept.here)}
        self.demand.clear()
        for chunk in queue:
            chunk.held = False
            path = self.tree.guaranteed.get(chunk.spec.team)
            if path:
                self._count(self.demand, path, times(task_amounts(chunk.spec), len(chunk.pending)), 1)
        for _, group in groupby(queue, key=lambda c: c.spec.priority):
            chunks = list(group)
            self.held_back, self.targets = False, {}
            least_cpus = min(c.spec.cpus for c in chunks)
            # Where nothing is free, nothing is to be divided.
            if self._free(workers, least_cpus) and len({c.spec.team for c in chunks}) > 1:
                self.targets = self._targets(chunks)
                # Some have more than their part by now, and keep it: what is left goes first to those
                # that their guarantee gives it to.
                yield self._fairest(chunks)
                yield from self._lend(chunks, workers, least_cpus)
                chunks = [c for c in chunks if c.pending] if self.held_back else []
                self.targets = {}
            if chunks:
                yield chunks

    @staticmethod
    def _free(workers: Sequence[Worker], cpus: float) -> bool:
        return any(w.free()[0] >= cpus for w in workers)

    def _lend(self, chunks: Sequence[Chunk], workers: Sequence[Worker], least_cpus: float) -> Iterator[list[Chunk]]:
        """What whole tasks left of the parts: one task at a time to whoever has borrowed least.

        Turn by turn twice as many, so that room which only few can use is given out in few turns.
        """
        most = 1
        while self.held_back and self._free(workers, least_cpus):
            rest = self._fairest(c for c in chunks if c.pending and not c.held)
            self.held_back = False
            self.targets = {self.tree.path(c.spec.team)[0]: add(self.use.get(self.tree.path(c.spec.team)[0], ZERO),
                                                                task_amounts(c.spec), most)
                            for c in reversed(rest) if self.tree.path(c.spec.team)}
            before = self.entered
            yield rest
            if self.entered == before:
                self.held_back = True
                return
            most *= 2

    def _targets(self, chunks: Sequence[Chunk]) -> dict[int, Amounts]:
        """What each level should use after this round: use so far, and a fair part of what is left."""
        waiting: dict[str, Amounts] = {}
        for chunk in chunks:
            team = chunk.spec.team
            waiting[team] = add(waiting.get(team, ZERO), task_amounts(chunk.spec), len(chunk.pending))
        need: dict[int, Amounts] = {}
        for team, amounts in waiting.items():
            self._count(need, self.tree.path(team), amounts, 1)
        # Children come after their parents: what a child's own limit keeps from it is no need of its parent.
        for level in sorted(need, reverse=True):
            beneath = [c for c in self.tree.levels[level].children if c in need]
            total = self.use.get(level, ZERO)
            for child in beneath:
                total = add(add(total, need[child]), self.use.get(child, ZERO), -1)
            if not beneath:
                total = add(total, need[level])
            need[level] = _shrunk(total, self._limit(level))
        targets: dict[int, Amounts] = {}
        tops = [level for level in need if not self.tree.levels[level].parent]
        self._divide(tops, self.capacity, ZERO, need, targets)
        return targets

    def _divide(self, siblings: list[int], capacity: Amounts, taken: Amounts, need: dict[int, Amounts],
                targets: dict[int, Amounts]) -> None:
        """Divide a parent's capacity, less what others beneath it use, between the siblings that want more."""
        room = positive(add(capacity, taken, -1))
        wants = [(self.tree.levels[level].weight, _share(self._own(level), room), _share(need[level], room))
                 for level in siblings]
        for level, part, (_, _, wanted) in zip(siblings, divide(ONE, wants), wants, strict=True):
            scaled = need[level] if part >= wanted else tuple(-(-n * part // wanted) for n in need[level])
            targets[level] = (scaled[0], scaled[1], scaled[2], scaled[3])
            children = [c for c in self.tree.levels[level].children if c in need]
            if children:
                used = self.use.get(level, ZERO)
                for child in children:
                    used = add(used, self.use.get(child, ZERO), -1)
                # Of a resource that nothing bounds, no part is too large.
                bounds = [part if whole < UNLIMITED else whole
                          for part, whole in zip(targets[level], capacity, strict=True)]
                self._divide(children, least(bounds, self._limit(level)), used, need, targets)

    def for_one_place(self, queue: Sequence[Chunk]) -> list[Chunk]:
        """Who may take a place that has just become free, first the one furthest below its part."""
        first = list(islice((c for c in queue if not c.held), MOST_FOR_ONE_PLACE))
        return self._fairest(first) if len({c.spec.team for c in first}) > 1 else first

    def _fairest(self, chunks: Iterable[Chunk]) -> list[Chunk]:
        """Priority first, then who has borrowed least, then first come, first served."""
        return sorted(chunks, key=lambda c: (c.spec.priority, self.fair_key(c.spec.team), c.order()))

    def fair_key(self, team: str) -> tuple[float, ...]:
        """Who comes first where one place is free: from the root on, what is borrowed least for its weight."""
        key: list[float] = []
        for level in reversed(self.tree.path(team)):
            own, used = self._own(level), self.use.get(level, ZERO)
            key.append(float(not any(u < o < UNLIMITED for u, o in zip(used, own, strict=True))))
            key.append(_share(positive(add(used, own, -1)), self.capacity) / self.tree.levels[level].weight)
        return tuple(key)

    def _limit(self, level: int) -> Amounts:
        return self.purses.cap(level).limit(self.state.index) if self.tree.levels[level].capped else (UNLIMITED,) * 4

    def _own(self, level: int) -> Amounts:
        """The part of a level's guarantee that this shard holds."""
        if not self.tree.levels[level].guaranteed:
            return ZERO
        return self.purses.own(level).limit(self.state.index)

    # Who gives way.

    def rests_on(self, spec: m.JobSpec, count: int = 1) -> set[int]:
        """The levels within whose guarantee that many tasks more would be."""
        path = self.tree.guaranteed.get(spec.team)
        if not path:
            return set()
        need = times(task_amounts(spec), count)
        return {level for level in path if within(add(self._spoken_for(level), need), self._own(level))}

    def _spoken_for(self, level: int) -> Amounts:
        """What stays in use, and what others of this pass were made room for."""
        return add(self.net(level), self.promised.get(level, ZERO))

    def search(self, spec: m.JobSpec, count: int = 1, rests_on: set[int] | None = None) -> "Search":
        return Search(self, spec, self.rests_on(spec, count) if rests_on is None else rests_on)

    def lacking(self, spec: m.JobSpec, count: int) -> dict[int, Amounts]:
        """By level, how much more the shard would have to hold, or others stop using."""
        need = times(task_amounts(spec), count)
        found: dict[int, Amounts] = {}
        for level in self.tree.capped.get(spec.team, ()):
            short = positive(add(add(self._spoken_for(level), need), self._limit(level), -1))
            if any(short):
                found[level] = short
        return found

    def blocked(self, chunk: Chunk, count: int, placeable: bool, workers: Iterable[Worker] = ()) -> None:
        """A chunk waits for its quota alone: note the claim, and have borrowed work here make room."""
        chunk.held = True
        spec = chunk.spec
        known = self.claims.get(spec.team)
        waiting = times(task_amounts(spec), max(count, len(chunk.pending)))
        if known is not None:
            known.need = add(known.need, waiting)
            return
        if self._others_hold(spec.team):
            self.claims[spec.team] = Claim(spec.team, times(task_amounts(spec), count), waiting,
                                           (int(not placeable), spec.priority, chunk.at_us, chunk.uid), spec, count)
        if (spec.priority <= 1 or self.tree.guaranteed.get(spec.team)) and self.open():
            if placeable:
                self.make_room(spec, count, len(chunk.pending) // count)
            else:
                # No machine has room either: what stops must leave room for a task on one of them.
                left = len(chunk.pending) // count
                for worker in workers:
                    while left > 0 and self.make_room(spec, count, 1, machine=worker):
                        left -= 1

    def _others_hold(self, team: str) -> bool:
        """Whether the levels that had no room could get any from the pool or another shard."""
        for level in self.tree.capped.get(team, ()):
            if level in self.refused:
                purse = self.purses.cap(level)
                elsewhere = add(purse.ruling(), purse.held(self.state.index), -1)
                if not any(0 < left < UNLIMITED // 2 for left in elsewhere):
                    return False
        return True

    def make_room(self, spec: m.JobSpec, count: int, times_: int, rests_on: set[int] | None = None,
                  lacking: dict[int, Amounts] | None = None, machine: Worker | None = None) -> bool:
        """Have borrowed work stop for as many tasks as may claim it, `count` at a time; whether any will.

        `rests_on` and `lacking` are another shard's, where the claim is from there.
        """
        made = False
        # Other shards may have the rest of it: what one alone cannot make room for must not wait for ever.
        partly = lacking is not None or (count > 1 and machine is None and self._others_hold(spec.team))
        for _ in range(times_):
            short = self.lacking(spec, count) if lacking is None else lacking
            if short and not self.reclaim(spec, short, self.search(spec, count, rests_on), machine, partly):
                return made
            made = True
            room = times(task_amounts(spec), count)
            self._count(self.promised, self.tree.path(spec.team), room, 1)
            if short:
                kept = self.kept.setdefault(spec.uid, Kept(spec.team, ZERO, 0, lacking is None))
                kept.room = room if partly else add(kept.room, room)
                kept.until_us = self.state.ctx.now_us + KEPT_US
        return made

    def reclaim(self, spec: m.JobSpec, lacking: dict[int, Amounts], search: "Search",
                machine: Worker | None = None, partly: bool = False) -> bool:
        """Stop what gives way until the levels have that much room; all of it or nothing, unless `partly`.

        With a machine, only what runs there, and it must have room for a task afterwards.
        """
        if spec.priority > 1 and not search.rests_on:
            return False
        if self.victims is None:
            self.victims = sorted((a for team in self.teams.values() for a in team if a.seen), key=stopped_first)
        left = dict(lacking)
        chosen: list[Attempt] = []
        free = machine.free() if machine is not None else (0.0, 0.0, 0.0)
        for victim in self.victims:
            if not left and (machine is None or fits(free, spec)):
                break
            if victim.halting or victim.ended or (machine is not None and victim.worker != machine.name):
                continue
            path = self.tree.path(victim.spec.team)
            useful = machine is not None or any(level in left for level in path)
            if victim.counted is not None and useful and search.may(victim):
                search.pick(victim)
                chosen.append(victim)
                free = (free[0] + victim.spec.cpus, free[1] + victim.spec.gpus, free[2] + victim.spec.memory_gb)
                for level in path:
                    if level in left:
                        left[level] = positive(add(left[level], victim.counted, -1))
                        if not any(left[level]):
                            del left[level]
        if (left and not (partly and chosen)) or (machine is not None and not fits(free, spec)):
            return False
        for victim in chosen:
            self.stopped += 1
            self.state.halt(victim, 0.0)
        return True


class Search:
    """One search for work that gives way to a job, aware of what it has picked already."""

    def __init__(self, gate: Gate, spec: m.JobSpec, rests_on: set[int]) -> None:
        self.gate = gate
        self.spec = spec
        self.rests_on = rests_on
        self.picked: dict[int, Amounts] = {}

    def may(self, victim: Attempt) -> bool:
        """Lower priority gives way to production and urgent work; otherwise only what is borrowed does.

        Work is borrowed from a level if every level from its team up to where the two paths part is
        beyond its guarantee: an uncle's guarantee is as safe as a sibling's. Priority alone does not stop
        what rests on a guarantee unless the claim does as well: its owner would claim the room back at
        once, and the two would stop each other for ever.
        """
        tree = self.gate.tree
        parting = tree.parting(self.spec.team, victim.spec.team)
        higher = self.spec.priority <= 1 and victim.spec.priority > self.spec.priority
        if parting is None or parting[0] in self.rests_on:
            if higher:
                return True
        elif not higher:
            return False
        return parting is not None and self._borrowed(victim, parting[1])

    def _borrowed(self, victim: Attempt, top: int) -> bool:
        for level in self.gate.tree.path(victim.spec.team):
            used = add(self.gate.net(level), self.picked.get(level, ZERO), -1)
            if within(used, self.gate._own(level)):
                return False
            if level == top:
                return True
        return False

    def pick(self, victim: Attempt) -> None:
        if victim.counted is not None:
            Gate._count(self.picked, self.gate.tree.path(victim.spec.team), victim.counted, 1)


def stopped_first(attempt: Attempt) -> tuple[int, bool, int, str]:
    """Lowest priority first, then what saves its work, then what has run shortest."""
    return (-attempt.spec.priority, attempt.spec.checkpoint_s == 0, -attempt.running_us, attempt.name)


def _share(amounts: Sequence[int], of: Sequence[int]) -> int:
    """The largest part that an amount takes of another, in parts of ONE."""
    parts = [amounts[kind] * ONE // max(of[kind], 1) for kind in range(KINDS)
             if of[kind] < UNLIMITED and amounts[kind] < UNLIMITED]
    return max(parts, default=0)


def _shrunk(amounts: Amounts, limit: Amounts) -> Amounts:
    """As much of an amount as fits into a limit, all resources in proportion."""
    if within(amounts, limit):
        return amounts
    whole, part = min(((a, most) for a, most in zip(amounts, limit, strict=True) if a > most),
                      key=lambda pair: pair[1] / pair[0])
    return (-(-amounts[0] * part // whole), -(-amounts[1] * part // whole), -(-amounts[2] * part // whole),
            -(-amounts[3] * part // whole))
