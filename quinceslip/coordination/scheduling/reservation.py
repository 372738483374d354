"""Reserves machines for the job that has waited longest without a machine that has room for it.

The machines that will have the room soonest get no other work of its priority or a lower one until it is placed.
There is no backfilling by estimated run times, since these are wrong by half (docs/end-of-day.md).

A plain class: no I/O, no clock but the actor's.
"""

import logging
from collections.abc import Iterable
from typing import NamedTuple

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.scheduling.ageing import Ageing
from quinceslip.coordination.scheduling.machine_room import MachineRoom
from quinceslip.coordination.scheduling.work_budget import WorkBudget
from quinceslip.coordination.scheduling.zone_constraints import max_tasks_per_zone
from quinceslip.coordination.shard_state.partition import AGED, JobPartition
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)


class RoomForecast(NamedTuple):
    """When a machine may have room for tasks of a partition; forecasts sort in the order of preference."""

    newly_reserved: bool  # not reserved for the partition yet
    free_us: int  # microseconds from now until there may be room for one task
    machine: str
    places: int  # how many tasks fit once all tasks that end have ended
    zone: str


class ReservationPlan(NamedTuple):
    """Machines that together have the room for a partition."""

    free_us: int  # microseconds from now until the last of them has room
    machines: frozenset[str]


class MachineReservation:
    """The machines reserved for one partition of a shard at a time, which bounds the cost of reserving."""

    def __init__(self, ctx: Context, ageing: Ageing) -> None:
        self.ctx = ctx
        self.ageing = ageing
        self.holder: JobPartition | None = None
        self.machines: frozenset[str] = frozenset()  # by name

    def is_withheld_from(self, worker: Worker, partition: JobPartition) -> bool:
        """Whether the machine is reserved for another partition, so that this one must not use it."""
        return (
            worker.name in self.machines
            and self.holder is not None
            and partition is not self.holder
            and bool(self.holder.pending)
            and partition.priority >= self.holder.priority
        )

    def release_stale(self, partitions: dict[str, JobPartition]) -> None:
        """Release the reservation of a partition that no longer waits or no longer goes first."""
        holder = self.holder
        if holder is None:
            return
        if (
            not holder.precedence
            or not holder.startable_task_count()
            or holder.on_hold
            or partitions.get(holder.job_id) is not holder
        ):
            self._release()

    def reserve(self, partition: JobPartition, machines: Iterable[Worker], budget: WorkBudget) -> None:
        """Reserve some of `machines`, those that it may use, for a partition for which none has room.

        One partition at a time has machines reserved: the first of the highest priority.
        """
        # Guard: only for a partition whose start is granted or that is aged; otherwise a flood of single tasks would
        # keep machines from other teams.
        if not partition.start_due and partition.precedence != AGED:
            return
        # A partition that goes first gets the next place that is large enough, and within a typical run time each
        # place comes free once; so nothing is reserved before then.
        if self.ctx.now_us < partition.precedence_since_us + self.ageing.typical_run_us:
            return
        holder = self.holder
        if holder is not None and holder is not partition and holder.sort_key() <= partition.sort_key():
            return
        names = self._soonest_machines(partition, list(machines), budget)
        if not names:
            self._release()
            return
        if holder is not partition:
            waited_s = (self.ctx.wall_us - partition.submitted_us) / SECOND
            log.info(
                "machines reserved job=%s waited_s=%.0f machines=%s",
                partition.job_id,
                waited_s,
                ",".join(sorted(names)),
            )
        self.holder, self.machines = partition, names

    def _release(self) -> None:
        """Drop the reservation."""
        self.holder, self.machines = None, frozenset()

    def _soonest_machines(self, partition: JobPartition, machines: list[Worker], budget: WorkBudget) -> frozenset[str]:
        """Return the machines that will have the room soonest; none if all of them together never will."""
        budget.spend(sum(1 + worker.live_attempt_count for worker in machines))
        soonest: ReservationPlan | None = None
        for group in _machine_groups(partition.spec, machines):
            plan = _first_sufficient(partition, sorted(self._forecasts(partition, group)))
            if plan is not None and (soonest is None or plan.free_us < soonest.free_us):
                soonest = plan
        return soonest.machines if soonest is not None else frozenset()

    def _forecasts(self, partition: JobPartition, machines: list[Worker]) -> list[RoomForecast]:
        """Return forecasts for the machines that will have room."""
        forecasts = (self._forecast(partition, worker) for worker in machines)
        return [forecast for forecast in forecasts if forecast is not None]

    def _forecast(self, partition: JobPartition, worker: Worker) -> RoomForecast | None:
        """Forecast when the machine has room if its tasks end as estimated; None if it never has."""
        spec = partition.spec
        room = MachineRoom.of(worker)
        free_us = 0 if room.has_room_for(spec) else None
        for ends_in_us, _, ending in _expected_ends(worker, self.ctx.now_us):
            room.add(ending)
            if free_us is None and room.has_room_for(spec):
                free_us = ends_in_us
        if free_us is None:
            return None
        places = room.count_fitting(spec)
        if not places:
            return None
        # Machines that are reserved already are preferred: they have been kept free of new work.
        newly_reserved = not (self.holder is partition and worker.name in self.machines)
        return RoomForecast(newly_reserved, free_us, worker.name, places, worker.zone)


def _machine_groups(spec: m.JobSpec, machines: list[Worker]) -> list[list[Worker]]:
    """Return the groups of machines, one of which must take the whole job: one group for each zone, or all machines."""
    if not spec.one_zone:
        return [machines]
    zones = sorted({worker.zone for worker in machines})
    return [[worker for worker in machines if worker.zone == zone] for zone in zones]


def _first_sufficient(partition: JobPartition, forecasts: list[RoomForecast]) -> ReservationPlan | None:
    """Plan with the first machines that together have the room needed; None if all together do not have it."""
    spec = partition.spec
    tasks_left = partition.startable_task_count() if spec.gang or spec.service else 1
    max_per_zone = max_tasks_per_zone(spec) if spec.spread else tasks_left
    places_by_zone: dict[str, int] = {}
    names: set[str] = set()
    last_free_us = 0
    for forecast in forecasts:
        if tasks_left <= 0:
            break
        zone_places = places_by_zone.get(forecast.zone, 0)
        places = min(forecast.places, max_per_zone - zone_places)
        if places <= 0:
            continue
        names.add(forecast.machine)
        places_by_zone[forecast.zone] = zone_places + places
        tasks_left -= places
        last_free_us = max(last_free_us, forecast.free_us)
    return ReservationPlan(last_free_us, frozenset(names)) if tasks_left <= 0 else None


def _expected_ends(worker: Worker, now_us: int) -> list[tuple[int, str, m.JobSpec]]:
    """Return in how many microseconds each task there is estimated to end, soonest first; services never end."""
    return sorted(
        (_remaining_us(attempt.running_since_us or now_us, attempt.spec, now_us), attempt.name, attempt.spec)
        for attempt in worker.live_attempts()
        if not attempt.spec.service
    )


def _remaining_us(started_us: int, spec: m.JobSpec, now_us: int) -> int:
    """Return what is left of the estimated run time."""
    return max(0, started_us + micros(spec.estimated_run_s) - now_us)
