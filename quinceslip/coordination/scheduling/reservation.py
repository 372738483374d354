"""Machines kept free for the job that has waited longest without a machine that has room for it.

Those that will have the room soonest take nothing of its priority or a lower one until it is placed. Backfilling by
estimates is left out: they are wrong by half (docs/end-of-day.md).

A plain class: no I/O, no clock but the actor's.
"""

import logging
from collections.abc import Iterable
from typing import NamedTuple

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.scheduling.ageing import Ageing
from quinceslip.coordination.scheduling.machine_room import MachineRoom
from quinceslip.coordination.scheduling.zone_constraints import max_tasks_per_zone
from quinceslip.coordination.shard_state.partition import AGED, JobPartition
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)


class RoomForecast(NamedTuple):
    """When a machine may have room for tasks of a partition; sorted, the machines to reserve first come first."""

    newly_reserved: bool  # not reserved for the partition yet
    free_us: int  # in so many microseconds there may be room for one task
    machine: str
    places: int  # how many tasks have room once all that ends has ended
    zone: str


class ReservationPlan(NamedTuple):
    """Machines that together have the room for a partition."""

    free_us: int  # in so many microseconds the last of them has room
    machines: frozenset[str]


class MachineReservation:
    """The machines reserved for one partition of a shard at a time, so that the cost of reserving is bounded."""

    def __init__(self, ctx: Context, ageing: Ageing) -> None:
        self.ctx = ctx
        self.ageing = ageing
        self.holder: JobPartition | None = None
        self.machines: frozenset[str] = frozenset()  # by name

    def is_reserved_from(self, worker: Worker, partition: JobPartition) -> bool:
        """Whether the machine is reserved for another partition, which this one must not take it from."""
        return (
            worker.name in self.machines
            and self.holder is not None
            and partition is not self.holder
            and bool(self.holder.pending)
            and partition.priority >= self.holder.priority
        )

    def release_stale(self, partitions: dict[str, JobPartition]) -> None:
        """Release what is reserved for a partition that waits no more, or no longer goes first."""
        holder = self.holder
        if holder is None:
            return
        if (
            not holder.precedence
            or not holder.startable()
            or holder.on_hold
            or partitions.get(holder.job_id) is not holder
        ):
            self._release()

    def reserve(self, partition: JobPartition, machines: Iterable[Worker]) -> None:
        """No machine has room for the partition; `machines` are those that it may use.

        One partition at a time has machines reserved: the first of the highest priority.
        """
        # Guard: only for what has a start granted or is old, or a flood of single tasks would keep machines from other
        # teams.
        if not partition.start_due and partition.precedence != AGED:
            return
        # What goes first takes the next place that is large enough; within a usual run each place comes free once.
        if self.ctx.now_us < partition.precedence_since_us + self.ageing.typical_run_us:
            return
        holder = self.holder
        if holder is not None and holder is not partition and holder.sort_key() <= partition.sort_key():
            return
        names = self._soonest_machines(partition, list(machines))
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
        """Reserve nothing."""
        self.holder, self.machines = None, frozenset()

    def _soonest_machines(self, partition: JobPartition, machines: list[Worker]) -> frozenset[str]:
        """The machines that will have the room soonest; none where all of them together never have it."""
        soonest: ReservationPlan | None = None
        for group in _machine_groups(partition.spec, machines):
            plan = _first_sufficient(partition, sorted(self._forecasts(partition, group)))
            if plan is not None and (soonest is None or plan.free_us < soonest.free_us):
                soonest = plan
        return soonest.machines if soonest is not None else frozenset()

    def _forecasts(self, partition: JobPartition, machines: list[Worker]) -> list[RoomForecast]:
        """Forecasts of those machines that will have room."""
        forecasts = (self._forecast(partition, worker) for worker in machines)
        return [forecast for forecast in forecasts if forecast is not None]

    def _forecast(self, partition: JobPartition, worker: Worker) -> RoomForecast | None:
        """When the machine may have room, as tasks there end by their estimates; None: never."""
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
        # What is reserved already stays so while it serves: work there was let run out for it.
        newly_reserved = not (self.holder is partition and worker.name in self.machines)
        return RoomForecast(newly_reserved, free_us, worker.name, places, worker.zone)


def _machine_groups(spec: m.JobSpec, machines: list[Worker]) -> list[list[Worker]]:
    """The sets of machines any one of which may take the whole job: those of each zone, or all."""
    if not spec.one_zone:
        return [machines]
    zones = sorted({worker.zone for worker in machines})
    return [[worker for worker in machines if worker.zone == zone] for zone in zones]


def _first_sufficient(partition: JobPartition, forecasts: list[RoomForecast]) -> ReservationPlan | None:
    """The first of the machines that together have the room needed; None: all together have not."""
    spec = partition.spec
    tasks_left = partition.startable() if spec.gang or spec.service else 1
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
    """In how many microseconds each task there ends by its estimate, soonest first; services never end."""
    return sorted(
        (_remaining_us(attempt.running_us or now_us, attempt.spec, now_us), attempt.name, attempt.spec)
        for attempt in worker.live_attempts()
        if not attempt.spec.service
    )


def _remaining_us(started_us: int, spec: m.JobSpec, now_us: int) -> int:
    """What is left of the estimated run time."""
    return max(0, started_us + micros(spec.estimated_run_s) - now_us)
