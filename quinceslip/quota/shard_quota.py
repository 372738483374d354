"""The quotas of one shard as placement sees them, and preemption for job partitions that they block.

What a blocked job partition lacks is recorded as an unmet demand, which `allocation_manager.py` publishes in the
key-value store. If priority or a guarantee entitles the job to room, borrowed usage in this shard is preempted at once,
and the room stays reserved for the job until its tasks start.
"""

import logging
from collections.abc import Iterable, Sequence
from itertools import chain

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
    GangCapacity,
    GuaranteeAwarePreemption,
    RoomRequest,
    VictimSearch,
)
from quinceslip.quota.preemption_candidates import PreemptionCandidates
from quinceslip.quota.quota_records import DemandOrder
from quinceslip.quota.tree import Tree
from quinceslip.quota.unmet_demand import UnmetDemand
from quinceslip.quota.usage import Reservation

log = logging.getLogger(__name__)

#: how long room made for a job stays reserved: stopping attempts may have to save a checkpoint first
RESERVATION_US = 10 * SECOND
#: how many times room is made for one job in a pass, each time for the tasks that start together; the rest of the job
#: gets room once these have started
MAX_ROOMS_PER_PASS = 1_000


class ShardQuota(QuotaAdmission):
    """Implements `QuotaPolicy` for one shard."""

    def __init__(self, tree: Tree, allocations: Allocations, state: ShardState) -> None:
        super().__init__(tree, allocations, state)
        #: by team: what its quota keeps from starting in this pass
        self.unmet_demands: dict[str, UnmetDemand] = {}
        #: by level: room that was made or found for jobs in this pass
        self.promised: dict[int, Amounts] = {}
        #: ids of these jobs
        self.jobs_promised_room: set[str] = set()
        #: the attempts that may be preempted in this pass; None: not computed yet
        self._candidates: PreemptionCandidates | None = None

    # A placement pass.

    def begin_pass(self, queue: Sequence[JobPartition]) -> None:
        """Discard the findings of the last pass; room stays reserved for jobs that still wait for it."""
        self.unmet_demands.clear()
        self.promised.clear()
        self.jobs_promised_room.clear()
        self.refused_amounts.clear()
        self.preemptable_room.clear()
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
        """Clear the unmet demands, since no task waits in this shard."""
        self.unmet_demands.clear()

    def forget_candidates(self) -> None:
        """Make the next search compute the attempts that may be preempted again."""
        self._candidates = None

    # Shortfalls of job partitions.

    def blocked_by_quota(
        self, partition: JobPartition, count: int, placeable: bool, workers: Iterable[Worker] = ()
    ) -> None:
        """Record the demand of a job partition that only its quota keeps from starting, and preempt for it.

        `count` tasks start together; `placeable` says whether machines have room for them.
        """
        partition.on_hold = self.has_partitions_on_hold = True
        spec = partition.spec
        waiting = times(task_amounts(spec), max(count, len(partition.pending)))
        seen_in_this_pass = partition.job_id in self.refused_for_reservations
        if self.level_refused_by_reservation is not None:
            self.refused_for_reservations[partition.job_id] = partition
        recorded = self.unmet_demands.get(spec.team)
        if recorded is not None:
            if not seen_in_this_pass:
                recorded.need = add(recorded.need, waiting)
            return
        if self.quota_exists_elsewhere(spec.team):
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
        """By level, how much more `count` tasks need, by a larger allocation or by preemption of other jobs."""
        need = times(task_amounts(spec), count)
        shortfalls: dict[int, Amounts] = {}
        for level in self.tree.capped_levels.get(spec.team, ()):
            wanted = add(self._committed_usage(level, spec.job_id), need)
            lacking = positive_part(subtract(wanted, self.shard_limit(level)))
            if any(lacking):
                shortfalls[level] = lacking
        return shortfalls

    def guarantees_covering(self, spec: m.JobSpec, count: int = 1) -> set[int]:
        """The levels whose guarantee in this shard covers `count` more tasks."""
        path = self.tree.guaranteed_levels.get(spec.team)
        if not path:
            return set()
        need = times(task_amounts(spec), count)
        return {
            level
            for level in path
            if within(add(self._committed_usage(level, spec.job_id), need), self.shard_guarantee(level))
        }

    def _committed_usage(self, level: int, job_id: str) -> Amounts:
        """Usage that stays, room made for jobs in this pass, and room reserved for other jobs in earlier passes.

        Guard: without the last, the same room would be made for two jobs, and neither could start.
        """
        return add(
            add(self.net_usage(level), self.promised.get(level, ZERO)),
            self.reserved_for_others(level, job_id, self.jobs_promised_room),
        )

    # Preemption.

    def preemption_policy(
        self, spec: m.JobSpec, count: int = 1, covering_guarantees: set[int] | None = None
    ) -> GuaranteeAwarePreemption:
        """The policy that says which attempts may be preempted for `count` tasks of a job."""
        if covering_guarantees is None:
            covering_guarantees = self.guarantees_covering(spec, count)
        return GuaranteeAwarePreemption(self, spec, covering_guarantees)

    def _preempt_for(self, partition: JobPartition, count: int, placeable: bool, workers: Iterable[Worker]) -> None:
        reservation = self.reservations.get(partition.job_id)
        released = reservation.released if reservation is not None else ZERO
        room_made = self._make_room_for(partition, count, placeable, workers, released)
        if reservation is None or room_made or not reservation.waits_here:
            return
        if self.level_refused_by_reservation is None and not self.quota_exists_elsewhere(partition.spec.team):
            # Guard: the job needs more by now than what is reserved (a service of which nothing runs any more starts as
            # a whole), and no other shard or pool has that. Without this, the reserved room would stay unused.
            self._release_reservation(reservation)

    def _make_room_for(
        self, partition: JobPartition, count: int, placeable: bool, workers: Iterable[Worker], released: Amounts
    ) -> bool:
        spec = partition.spec
        if spec.gang and not partition.precedence:
            # Guard: the machines must have room for the whole gang. Without this, attempts would be stopped for a gang
            # that cannot start, and the room would stay empty. A gang that has waited too long has precedence: machines
            # are reserved for it, and room with them.
            if partition.attempts or any(released):
                return False
            return self.make_room(RoomRequest(spec, count, gang_capacity=GangCapacity(spec, list(workers))))
        repeats = min(len(partition.pending) // count, MAX_ROOMS_PER_PASS)
        if placeable and (spec.gang or not any(released)):
            return self.make_room(RoomRequest(spec, count), repeats)
        # No machine has room either: the victims must also leave room for a task on one machine.
        if any(released):
            self.preemptable_room[spec.job_id] = released
        return self._make_room_on_machines(spec, count, repeats, workers)

    def _make_room_on_machines(self, spec: m.JobSpec, count: int, repeats: int, workers: Iterable[Worker]) -> bool:
        room_made = False
        for worker in workers:
            # Bound: the waiting tasks, in groups of `count`.
            while repeats > 0 and self.make_room(RoomRequest(spec, count, machine=worker)):
                repeats -= 1
                room_made = True
        return room_made

    def make_room(self, request: RoomRequest, repeats: int = 1) -> bool:
        """Make room for `request.count` tasks by preemption, up to `repeats` times; returns whether any was made."""
        spec, count = request.spec, request.count
        # Other shards may have the rest: a job that no single shard can make room for must not wait for ever.
        partial_allowed = request.shortfall is not None or (
            count > 1 and request.machine is None and self.quota_exists_elsewhere(spec.team)
        )
        room_made = False
        for _ in range(repeats):
            shortfall = self.shortfall(spec, count) if request.shortfall is None else request.shortfall
            policy = self.preemption_policy(spec, count, request.covering_guarantees)
            stopped = self._preempt(request, shortfall, policy, partial_allowed) if shortfall else []
            if stopped is None:
                break
            room_made = True
            accumulate(self.promised, self.tree.path(spec.team), times(task_amounts(spec), count))
            self.jobs_promised_room.add(spec.job_id)
            if shortfall:
                self._reserve(request, stopped, partial_allowed)
        return room_made

    def _preempt(
        self,
        request: RoomRequest,
        shortfall: dict[int, Amounts],
        policy: GuaranteeAwarePreemption,
        partial_allowed: bool,
    ) -> list[Attempt] | None:
        """Stop attempts to make up the shortfall; returns the victims, or None if that is not possible."""
        spec = request.spec
        if spec.priority > MAX_PREEMPTING_PRIORITY and not policy.covering_guarantees:
            return None
        search = VictimSearch(policy, self._preemption_candidates(), request, shortfall)
        if not search.find_room(partial_allowed):
            return None
        if request.gang_capacity is not None and not search.find_room_for_gang(request.gang_capacity):
            self.preemptable_room[spec.job_id] = times(task_amounts(spec), request.count)
            return None
        for victim in search.chosen:
            log.info("attempt preempted by quotas attempt=%s job=%s", victim.name, spec.job_id)
            self.state.stop(victim, 0.0)
        return search.chosen

    def _preemption_candidates(self) -> PreemptionCandidates:
        if self._candidates is None:
            self._candidates = PreemptionCandidates(chain.from_iterable(self.attempts_by_team.values()))
        return self._candidates

    # Reservations.

    def _reserve(self, request: RoomRequest, stopped: list[Attempt], partial: bool) -> None:
        """Reserve the room of the stopped attempts for the job of the request."""
        spec = request.spec
        room = times(task_amounts(spec), request.count)
        waits_here = request.shortfall is None
        reservation = self.reservations.setdefault(spec.job_id, Reservation(spec.team, ZERO, 0, waits_here))
        reservation.room = room if partial else add(reservation.room, room)
        reservation.stopping += stopped
        reservation.released = ZERO
        reservation.until_us = self.state.ctx.now_us + RESERVATION_US

    def not_placed(self, partition: JobPartition) -> None:
        """Release the reservation of a job partition for whose waiting tasks a whole pass found no machine.

        Guard: other jobs may use the room then, except while attempts stopped for it still run, or machines are kept
        for the job as well. Without this, room would stay empty next to tasks that fit: the rest of a service that no
        machine can take would block all others. Until the reservation expires, attempts are stopped for the job only on
        a machine that can take it: otherwise the job and those others would preempt each other in every pass.
        """
        reservation = self.reservations.get(partition.job_id)
        if reservation is None or not reservation.waits_here or not any(reservation.room):
            return
        count = len(partition.pending) if partition.spec.gang else 1
        if not partition.precedence and self.allows(partition.spec, count):
            self._release_reservation(reservation)

    def _release_reservation(self, reservation: Reservation) -> None:
        """Release reserved room to other jobs, unless attempts that were stopped for it still run."""
        still_stopping = any(attempt.counted_usage is not None for attempt in reservation.stopping)
        if any(reservation.room) and not still_stopping:
            reservation.room, reservation.released = ZERO, reservation.room
            self.reservation_released = True
