"""What placement asks of the quotas of one shard: may this start here now, and whose work gives way to it.

The gate counts every task that may still be on a machine of the shard (`meter`), orders a pass (`rounds`),
reads what the shard holds from the purses and never writes. What is short is noted as a claim, which the
keeper takes to the state service.
"""

import logging
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.shard.partition import JobPartition
from quinceslip.coordination.shard.state import ShardState
from quinceslip.coordination.shard.worker import Attempt, Worker, fits
from quinceslip.protocol import messages as m
from quinceslip.quota.allocations import Allocations
from quinceslip.quota.fair_share_order import FairShareOrder
from quinceslip.quota.preemption import GangPlaces, GuaranteeAwarePreemption, stopped_first
from quinceslip.quota.tree import UNLIMITED, ZERO, Amounts, Tree, add, positive, task_amounts, times, within
from quinceslip.quota.usage import Reservation

log = logging.getLogger(__name__)

#: room that was made for a job is kept for it so long: what stops may have to save first
RESERVATION_US = 10 * SECOND


@dataclass(slots=True)
class UnmetDemand:
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


class QuotaAdmission(FairShareOrder):
    def __init__(self, tree: Tree, allocations: Allocations, state: ShardState) -> None:
        super().__init__(tree, allocations, state)
        self.unmet_demands: dict[str, UnmetDemand] = {}
        self.last_held_back = False  # the last refusal was a target's
        self.last_kept_back: int | None = None  # the level, where the last refusal was for room that is kept
        self.promised: dict[int, Amounts] = {}  # room that claims of this pass have been made
        self.jobs_promised_room: set[str] = set()  # the jobs that were
        self.wanted_room: dict[str, Amounts] = {}  # by job: what would be made room for if machines had any
        self.victims: list[Attempt] | None = None  # what could be stopped, in order, for this pass

    def begin(self, queue: Sequence[JobPartition]) -> None:
        """What was found in the last pass is found anew; room stays kept for what still waits for it."""
        self.unmet_demands.clear()
        self.promised.clear()
        self.jobs_promised_room.clear()
        self.refused.clear()
        self.wanted_room.clear()
        self.kept_back.clear()
        self.reservation_released = False
        self.victims = None
        now_us = self.state.ctx.now_us
        waiting = {c.job_id for c in queue} if self.reservations else set()
        self.reservations = {
            job_id: kept
            for job_id, kept in self.reservations.items()
            if any((*kept.room, *kept.released))
            and now_us < kept.until_us
            and (job_id in waiting or not kept.waits_here)
        }

    def queue_empty(self) -> None:
        self.unmet_demands.clear()

    # May it start.

    def allows(self, spec: m.JobSpec, count: int = 1) -> bool:
        """Whether that many tasks may start now, by every level above them."""
        path = self.tree.path(spec.team)
        if not path:
            return True
        need = times(task_amounts(spec), count)
        capped = self.tree.capped[spec.team]
        self.last_held_back, self.last_kept_back = False, None
        for level in capped:
            known = self.refused.get(level)
            if known is not None and within(known, need):
                return False
        if capped and not self.usage_known():
            return False
        for level in capped:
            allocation = self.allocations.for_cap(level)
            wanted = add(self.usage.get(level, ZERO), need)
            if (
                not within(wanted, allocation.limit(self.state.index))
                or allocation.is_exceeded(need)
                or not self.allocations.is_current(level)
            ):
                self.refused[level] = need
                return False
            if self.reservations and not within(
                add(wanted, self.reserved_for_others(level, spec.job_id)), allocation.limit(self.state.index)
            ):
                self.last_kept_back = level
                return False
        if self.targets:
            for level in path:
                target = self.targets.get(level)
                if target is not None and not within(add(self.usage.get(level, ZERO), need), target):
                    self.held_back = self.last_held_back = True
                    return False
        return True

    def deferred_to_next_round(self) -> bool:
        """Whether the last refusal was only for the sake of others in this round, with another to come."""
        return self.last_held_back

    def startable(self, spec: m.JobSpec, most: int, spoken_for: dict[int, Amounts]) -> int:
        """How many of so many tasks machines may be rented for: what the shard holds or can take from pools.

        `spoken_for` adds up, by level, what was answered before in the same plan.
        """
        need, path = task_amounts(spec), self.tree.path(spec.team)
        for level in self.tree.capped.get(spec.team, ()):
            allocation = self.allocations.for_cap(level)
            room = add(add(allocation.limit(self.state.index), positive(allocation.pool())), self.net_usage(level), -1)
            room = add(add(room, self.wanted_room.get(spec.job_id, ZERO)), spoken_for.get(level, ZERO), -1)
            most = min([most, *(max(0, r) // n for r, n in zip(room, need, strict=True) if n)])
        self.count(spoken_for, path, times(need, most), 1)
        return most

    # Who gives way.

    def guarantees_covering(self, spec: m.JobSpec, count: int = 1) -> set[int]:
        """The levels within whose guarantee that many tasks more would be."""
        path = self.tree.guaranteed.get(spec.team)
        if not path:
            return set()
        need = times(task_amounts(spec), count)
        return {
            level
            for level in path
            if within(add(self._committed(level, spec.job_id), need), self.guaranteed_here(level))
        }

    def _committed(self, level: int, job_id: str) -> Amounts:
        """What stays in use, what was made room for in this pass, and what is kept for others since earlier ones.

        Guard: without the last, room for two jobs would be made where there is room for one, and neither could start.
        """
        return add(
            add(self.net_usage(level), self.promised.get(level, ZERO)),
            self.reserved_for_others(level, job_id, self.jobs_promised_room),
        )

    def preemption_policy(
        self, spec: m.JobSpec, count: int = 1, rests_on: set[int] | None = None
    ) -> GuaranteeAwarePreemption:
        return GuaranteeAwarePreemption(
            self, spec, self.guarantees_covering(spec, count) if rests_on is None else rests_on
        )

    def shortfall(self, spec: m.JobSpec, count: int) -> dict[int, Amounts]:
        """By level, how much more the shard would have to hold, or others stop using."""
        need = times(task_amounts(spec), count)
        found: dict[int, Amounts] = {}
        for level in self.tree.capped.get(spec.team, ()):
            short = positive(add(add(self._committed(level, spec.job_id), need), self.limit_here(level), -1))
            if any(short):
                found[level] = short
        return found

    def blocked_by_quota(
        self, partition: JobPartition, count: int, placeable: bool, workers: Iterable[Worker] = ()
    ) -> None:
        """A chunk waits for its quota alone: note the claim, and have borrowed work here make room."""
        partition.on_hold = self.has_partitions_on_hold = True
        spec = partition.spec
        known = self.unmet_demands.get(spec.team)
        waiting = times(task_amounts(spec), max(count, len(partition.pending)))
        again = partition.job_id in self.kept_back  # looked at once more in one pass: its need is counted
        if self.last_kept_back is not None:
            self.kept_back[partition.job_id] = partition
        if known is not None:
            known.need = known.need if again else add(known.need, waiting)
            return
        if self._others_hold(spec.team):
            self.unmet_demands[spec.team] = UnmetDemand(
                spec.team,
                times(task_amounts(spec), count),
                waiting,
                (int(not placeable), spec.priority, partition.submitted_us, partition.job_id),
                spec,
                count,
            )
        if (spec.priority <= 1 or self.tree.guaranteed.get(spec.team)) and self.usage_known():
            made, kept = False, self.reservations.get(partition.job_id)
            let_go = kept.released if kept is not None else ZERO
            if spec.gang and not partition.precedence:
                # Guard: all of it must find places. Without this, work would stop for a gang that cannot start, and the
                # room would stay empty. One that has waited too long has machines kept for it, and room with them.
                if not partition.attempts and not any(let_go):
                    made = self.make_room(spec, count, 1, places=GangPlaces(spec, list(workers)))
            elif placeable and (spec.gang or not any(let_go)):
                made = self.make_room(spec, count, len(partition.pending) // count)
            else:
                # No machine has room either: what stops must leave room for a task on one of them.
                if any(let_go):
                    self.wanted_room[spec.job_id] = let_go
                left = len(partition.pending) // count
                for worker in workers:
                    # Bound: the tasks that wait, in lots of `count`.
                    while left > 0 and self.make_room(spec, count, 1, machine=worker):
                        left, made = left - 1, True
            if (
                kept is not None
                and kept.waits_here
                and not made
                and self.last_kept_back is None
                and not self._others_hold(spec.team)
            ):
                # Guard: it needs more by now than what is kept (a service of which nothing runs any more starts as a
                # whole), and nobody can give that. Without this, what is kept serves nobody.
                self._release_reservation(kept)

    def not_placed(self, partition: JobPartition) -> None:
        """A whole pass has found no machine for what still waits of a chunk.

        Guard: what is kept for it is for others then, except while what was stopped for it still goes, or machines are
        kept for it as well. Without this, the room would stay empty beside work that fits: the rest of a service of
        which no machine takes more keeps it from all others. Until its time is over, nothing stops for the job but on
        a machine that can take it: else the two would stop each other in every pass.
        """
        kept = self.reservations.get(partition.job_id)
        if (
            kept is not None
            and kept.waits_here
            and any(kept.room)
            and not partition.precedence
            and self.allows(partition.spec, len(partition.pending) if partition.spec.gang else 1)
        ):
            self._release_reservation(kept)

    def _release_reservation(self, kept: Reservation) -> None:
        """Others may have what is kept, unless what was stopped for it still goes."""
        if any(kept.room) and not any(a.counted_usage is not None for a in kept.stopping):
            kept.room, kept.released = ZERO, kept.room
            self.reservation_released = True

    def _others_hold(self, team: str) -> bool:
        """Whether the levels that had no room could get any from the pool or another shard.

        Guard: also one that has none only because it is kept for others. Without it, part of what a job needs would be
        made room for here while nobody has the rest, and it and those others would keep room from each other.
        """
        for level in self.tree.capped.get(team, ()):
            if level in self.refused or level == self.last_kept_back:
                allocation = self.allocations.for_cap(level)
                elsewhere = add(allocation.total_in_force(), allocation.held(self.state.index), -1)
                if not any(0 < left < UNLIMITED // 2 for left in elsewhere):
                    return False
        return True

    def make_room(
        self,
        spec: m.JobSpec,
        count: int,
        times_: int,
        rests_on: set[int] | None = None,
        lacking: dict[int, Amounts] | None = None,
        machine: Worker | None = None,
        places: GangPlaces | None = None,
    ) -> bool:
        """Have borrowed work stop for as many tasks as may claim it, `count` at a time; whether any will.

        `rests_on` and `lacking` are another shard's, where the claim is from there.
        """
        made = False
        # Other shards may have the rest of it: what one alone cannot make room for must not wait for ever.
        partly = lacking is not None or (count > 1 and machine is None and self._others_hold(spec.team))
        for _ in range(times_):
            short = self.shortfall(spec, count) if lacking is None else lacking
            search = self.preemption_policy(spec, count, rests_on)
            stops = self.reclaim(spec, count, short, search, machine, partly, places) if short else []
            if stops is None:
                return made
            made = True
            room = times(task_amounts(spec), count)
            self.count(self.promised, self.tree.path(spec.team), room, 1)
            self.jobs_promised_room.add(spec.job_id)
            if short:
                kept = self.reservations.setdefault(spec.job_id, Reservation(spec.team, ZERO, 0, lacking is None))
                kept.room = room if partly else add(kept.room, room)
                kept.stopping, kept.released = [*kept.stopping, *stops], ZERO
                kept.until_us = self.state.ctx.now_us + RESERVATION_US
        return made

    def reclaim(
        self,
        spec: m.JobSpec,
        count: int,
        lacking: dict[int, Amounts],
        search: GuaranteeAwarePreemption,
        machine: Worker | None = None,
        partly: bool = False,
        places: GangPlaces | None = None,
    ) -> list[Attempt] | None:
        """Stop what gives way until the levels have that much room; all of it or nothing, unless `partly`.

        With a machine, only what runs there, and it must have room for a task afterwards. With places, all tasks of the
        job must have one. What stops, or None where that is not to be had.
        """
        if spec.priority > 1 and not search.rests_on:
            return None
        if self.victims is None:
            self.victims = sorted((a for team in self.teams.values() for a in team if a.observed), key=stopped_first)
        left = dict(lacking)
        chosen: list[Attempt] = []
        free = machine.free() if machine is not None else (0.0, 0.0, 0.0)
        for victim in self.victims:
            if not left and (machine is None or fits(free, spec)):
                break
            if victim.stopping or victim.end_cause or (machine is not None and victim.worker != machine.name):
                continue
            path = self.tree.path(victim.spec.team)
            useful = machine is not None or any(level in left for level in path)
            if victim.counted_usage is not None and useful and search.may_preempt(victim):
                search.choose(victim)
                chosen.append(victim)
                if places is not None:
                    places.freed(victim)
                free = (free[0] + victim.spec.cpus, free[1] + victim.spec.gpus, free[2] + victim.spec.memory_gb)
                for level in path:
                    if level in left:
                        left[level] = positive(add(left[level], victim.counted_usage, -1))
                        if not any(left[level]):
                            del left[level]
        if (left and not (partly and chosen)) or (machine is not None and not fits(free, spec)):
            return None
        if places is not None and not self._find_places(places, count, search, chosen):
            self.wanted_room[spec.job_id] = times(task_amounts(spec), count)
            return None
        for victim in chosen:
            log.info("%s makes room for %s, by quotas", victim.name, spec.job_id)
            self.state.stop(victim, 0.0)
        return chosen

    def _find_places(
        self, places: GangPlaces, wanted: int, search: GuaranteeAwarePreemption, chosen: list[Attempt]
    ) -> bool:
        """Whether so many tasks find places once what is chosen has gone; more is chosen if it takes that."""
        before = len(chosen)
        for victim in self.victims or ():
            if places.count >= wanted:
                break
            if (
                victim.counted_usage is not None
                and not victim.stopping
                and not victim.end_cause
                and victim not in chosen
                and victim.worker in places.room
                and search.may_preempt(victim)
            ):
                search.choose(victim)
                places.freed(victim)
                chosen.append(victim)
        if places.count < wanted:
            return False
        # What made no difference goes on.
        for victim in chosen[before:]:
            places.freed(victim, -1)
            if places.count < wanted:
                places.freed(victim)
            else:
                chosen.remove(victim)
        return True
