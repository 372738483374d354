"""The quotas of one shard as its placement asks them, and the room that preemption makes for what they hold up.

What a job partition lacks is noted as an unmet demand, which `allocation_manager.py` takes to the key-value store.
Where its priority or a guarantee entitles it to room, borrowed usage here is preempted at once, and the room stays
reserved for it until its tasks start.
"""

import logging
from collections.abc import Iterable, Sequence

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m
from quinceslip.quota.admission import QuotaAdmission
from quinceslip.quota.allocations import Allocations
from quinceslip.quota.amounts import (
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
from quinceslip.quota.preemption import (
    MAX_PREEMPTING_PRIORITY,
    GangPlaces,
    GuaranteeAwarePreemption,
    RoomRequest,
    VictimSearch,
    preemption_order,
)
from quinceslip.quota.quota_records import DemandOrder
from quinceslip.quota.tree import Tree
from quinceslip.quota.unmet_demand import UnmetDemand
from quinceslip.quota.usage import Reservation

log = logging.getLogger(__name__)

#: room that was made for a job is reserved for it so long: what stops may have to save first
RESERVATION_US = 10 * SECOND


class ShardQuota(QuotaAdmission):
    """Implements `QuotaPolicy` for one shard."""

    def __init__(self, tree: Tree, allocations: Allocations, state: ShardState) -> None:
        super().__init__(tree, allocations, state)
        #: by team
        self.unmet_demands: dict[str, UnmetDemand] = {}
        #: by level: room that was made or found for jobs in this pass
        self.promised: dict[int, Amounts] = {}
        #: the ids of these jobs
        self.jobs_promised_room: set[str] = set()
        #: what could be preempted, in order, in this pass; None: not looked for yet
        self._candidates: list[Attempt] | None = None

    # A pass.

    def begin(self, queue: Sequence[JobPartition]) -> None:
        """What was found in the last pass is found anew; room stays reserved for what still waits for it."""
        self.unmet_demands.clear()
        self.promised.clear()
        self.jobs_promised_room.clear()
        self.refused.clear()
        self.wanted_room.clear()
        self.refused_for_reservations.clear()
        self.reservation_released = False
        self.forget_candidates()
        if self.reservations:
            self._drop_ended_reservations({partition.job_id for partition in queue})

    def _drop_ended_reservations(self, waiting: set[str]) -> None:
        now_us = self.state.ctx.now_us
        self.reservations = {
            job_id: reservation
            for job_id, reservation in self.reservations.items()
            if any((*reservation.room, *reservation.released))
            and now_us < reservation.until_us
            and (job_id in waiting or not reservation.waits_here)
        }

    def queue_empty(self) -> None:
        """Nothing waits in this shard."""
        self.unmet_demands.clear()

    def forget_candidates(self) -> None:
        """The attempts that may be preempted are looked for anew."""
        self._candidates = None

    # What a job partition lacks.

    def blocked_by_quota(
        self, partition: JobPartition, count: int, placeable: bool, workers: Iterable[Worker] = ()
    ) -> None:
        """Only its quota keeps a job partition from starting: note its demand, and preempt borrowed usage for it.

        `count` tasks start together; `placeable` says that machines have room for them.
        """
        partition.on_hold = self.has_partitions_on_hold = True
        spec = partition.spec
        waiting = times(task_amounts(spec), max(count, len(partition.pending)))
        seen_in_this_pass = partition.job_id in self.refused_for_reservations
        if self.last_reserved_level is not None:
            self.refused_for_reservations[partition.job_id] = partition
        known = self.unmet_demands.get(spec.team)
        if known is not None:
            if not seen_in_this_pass:
                known.need = add(known.need, waiting)
            return
        if self.others_hold_any(spec.team):
            self.unmet_demands[spec.team] = self._unmet_demand(partition, count, placeable, waiting)
        entitled = spec.priority <= MAX_PREEMPTING_PRIORITY or bool(self.tree.guaranteed_levels.get(spec.team))
        if entitled and self.usage_known():
            self._preempt_for(partition, count, placeable, workers)

    @staticmethod
    def _unmet_demand(partition: JobPartition, count: int, placeable: bool, waiting: Amounts) -> UnmetDemand:
        spec = partition.spec
        order = DemandOrder(int(not placeable), spec.priority, partition.submitted_us, partition.job_id)
        return UnmetDemand(spec.team, times(task_amounts(spec), count), waiting, order, spec, count)

    def shortfall(self, spec: m.JobSpec, count: int) -> dict[int, Amounts]:
        """By level, how much more the shard would have to hold, or others stop using."""
        need = times(task_amounts(spec), count)
        shortfalls: dict[int, Amounts] = {}
        for level in self.tree.capped_levels.get(spec.team, ()):
            wanted = add(self._committed_usage(level, spec.job_id), need)
            lacking = positive_part(subtract(wanted, self.limit_here(level)))
            if any(lacking):
                shortfalls[level] = lacking
        return shortfalls

    def guarantees_covering(self, spec: m.JobSpec, count: int = 1) -> set[int]:
        """The levels within whose guarantee that many tasks more would be."""
        path = self.tree.guaranteed_levels.get(spec.team)
        if not path:
            return set()
        need = times(task_amounts(spec), count)
        return {
            level
            for level in path
            if within(add(self._committed_usage(level, spec.job_id), need), self.guaranteed_here(level))
        }

    def _committed_usage(self, level: int, job_id: str) -> Amounts:
        """What stays in use, what was made room for in this pass, and what is reserved for others since earlier ones.

        Guard: without the last, room for two jobs would be made where there is room for one, and neither could start.
        """
        return add(
            add(self.net_usage(level), self.promised.get(level, ZERO)),
            self.reserved_for_others(level, job_id, self.jobs_promised_room),
        )

    # Preemption.

    def preemption_policy(
        self, spec: m.JobSpec, count: int = 1, covering_guarantees: set[int] | None = None
    ) -> GuaranteeAwarePreemption:
        """Whose work may be stopped for so many tasks of a job."""
        if covering_guarantees is None:
            covering_guarantees = self.guarantees_covering(spec, count)
        return GuaranteeAwarePreemption(self, spec, covering_guarantees)

    def _preempt_for(self, partition: JobPartition, count: int, placeable: bool, workers: Iterable[Worker]) -> None:
        reservation = self.reservations.get(partition.job_id)
        released = reservation.released if reservation is not None else ZERO
        made = self._make_room_for(partition, count, placeable, workers, released)
        if reservation is None or made or not reservation.waits_here:
            return
        if self.last_reserved_level is None and not self.others_hold_any(partition.spec.team):
            # Guard: it needs more by now than what is reserved (a service of which nothing runs any more starts as a
            # whole), and nobody can give that. Without this, what is reserved serves nobody.
            self._release_reservation(reservation)

    def _make_room_for(
        self, partition: JobPartition, count: int, placeable: bool, workers: Iterable[Worker], released: Amounts
    ) -> bool:
        spec = partition.spec
        if spec.gang and not partition.precedence:
            # Guard: all of it must find places. Without this, work would stop for a gang that cannot start, and the
            # room would stay empty. One that has waited too long has machines kept for it, and room with them.
            if partition.attempts or any(released):
                return False
            return self.make_room(RoomRequest(spec, count, places=GangPlaces(spec, list(workers))))
        lots = len(partition.pending) // count
        if placeable and (spec.gang or not any(released)):
            return self.make_room(RoomRequest(spec, count), lots)
        # No machine has room either: what stops must leave room for a task on one of them.
        if any(released):
            self.wanted_room[spec.job_id] = released
        return self._make_room_on_machines(spec, count, lots, workers)

    def _make_room_on_machines(self, spec: m.JobSpec, count: int, lots: int, workers: Iterable[Worker]) -> bool:
        made = False
        for worker in workers:
            # Bound: the tasks that wait, in lots of `count`.
            while lots > 0 and self.make_room(RoomRequest(spec, count, machine=worker)):
                lots -= 1
                made = True
        return made

    def make_room(self, request: RoomRequest, repeats: int = 1) -> bool:
        """Preempt borrowed usage for `request.count` tasks, so many times over; whether any room is made."""
        spec, count = request.spec, request.count
        # Other shards may have the rest of it: what one alone cannot make room for must not wait for ever.
        partial_allowed = request.shortfall is not None or (
            count > 1 and request.machine is None and self.others_hold_any(spec.team)
        )
        made = False
        for _ in range(repeats):
            shortfall = self.shortfall(spec, count) if request.shortfall is None else request.shortfall
            policy = self.preemption_policy(spec, count, request.covering_guarantees)
            stopped = self._preempt(request, shortfall, policy, partial_allowed) if shortfall else []
            if stopped is None:
                break
            made = True
            accumulate(self.promised, self.tree.path(spec.team), times(task_amounts(spec), count))
            self.jobs_promised_room.add(spec.job_id)
            if shortfall:
                self._reserve(request, stopped, partial_allowed)
        return made

    def _preempt(
        self,
        request: RoomRequest,
        shortfall: dict[int, Amounts],
        policy: GuaranteeAwarePreemption,
        partial_allowed: bool,
    ) -> list[Attempt] | None:
        """Stop attempts until the levels have so much room: what stops, or None where that can't be reached."""
        spec = request.spec
        if spec.priority > MAX_PREEMPTING_PRIORITY and not policy.covering_guarantees:
            return None
        search = VictimSearch(policy, self._preemption_candidates(), request, shortfall)
        if not search.find_room(partial_allowed):
            return None
        if request.places is not None and not search.find_places(request.places):
            self.wanted_room[spec.job_id] = times(task_amounts(spec), request.count)
            return None
        for victim in search.chosen:
            log.info("attempt preempted by quotas attempt=%s job=%s", victim.name, spec.job_id)
            self.state.stop(victim, 0.0)
        return search.chosen

    def _preemption_candidates(self) -> list[Attempt]:
        if self._candidates is None:
            observed = (attempt for attempts in self.teams.values() for attempt in attempts if attempt.observed)
            self._candidates = sorted(observed, key=preemption_order)
        return self._candidates

    # Reservations.

    def _reserve(self, request: RoomRequest, stopped: list[Attempt], partial: bool) -> None:
        """Keep the room that the stopped attempts leave for the job of the request."""
        spec = request.spec
        room = times(task_amounts(spec), request.count)
        waits_here = request.shortfall is None
        reservation = self.reservations.setdefault(spec.job_id, Reservation(spec.team, ZERO, 0, waits_here))
        reservation.room = room if partial else add(reservation.room, room)
        reservation.stopping = [*reservation.stopping, *stopped]
        reservation.released = ZERO
        reservation.until_us = self.state.ctx.now_us + RESERVATION_US

    def not_placed(self, partition: JobPartition) -> None:
        """A whole pass has found no machine for what still waits of a job partition.

        Guard: what is reserved for it is for others then, except while what was stopped for it still runs, or machines
        are kept for it as well. Without this, the room would stay empty beside work that fits: the rest of a service of
        which no machine takes more keeps it from all others. Until its time is over, nothing stops for the job but on
        a machine that can take it: else the two would preempt each other in every pass.
        """
        reservation = self.reservations.get(partition.job_id)
        if reservation is None or not reservation.waits_here or not any(reservation.room):
            return
        count = len(partition.pending) if partition.spec.gang else 1
        if not partition.precedence and self.allows(partition.spec, count):
            self._release_reservation(reservation)

    def _release_reservation(self, reservation: Reservation) -> None:
        """Others may have what is reserved, unless what was stopped for it still runs."""
        still_stopping = any(attempt.counted_usage is not None for attempt in reservation.stopping)
        if any(reservation.room) and not still_stopping:
            reservation.room, reservation.released = ZERO, reservation.room
            self.reservation_released = True
