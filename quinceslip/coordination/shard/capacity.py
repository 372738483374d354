"""Capacity of a shard: the figures that load balancing, autoscaling and deadline scheduling ask for."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from quinceslip.coordination.actor.timing import SECOND

if TYPE_CHECKING:
    from quinceslip.coordination.shard.shard import Shard

#: the capacity summary is made anew this often at the most
SUMMARY_MAX_AGE_US = SECOND // 4
#: the same of the mean task
MEAN_TASK_MAX_AGE_US = SECOND // 2
#: run times of this many finished tasks, the newest, make the mean
MAX_RUN_TIMES = 200
#: what a typical task is taken for where there is none
DEFAULT_TASK_CPUS, DEFAULT_RUN_S = 1.0, 60.0
#: no typical task is taken for smaller or shorter than this
MIN_TASK_CPUS, MIN_RUN_S = 0.1, 0.1
#: a moment before the actor's clock begins
_NEVER_US = -SECOND


class MeanTask(NamedTuple):
    """A typical task: what a slot is, and how fast it serves."""

    cpus: float
    run_s: float


class QueueingStation(NamedTuple):
    """A shard as a station of the queueing model (`load_balancing/queueing_model.py`)."""

    slots: int  # m of the paper
    rate: float  # u of the paper: tasks that a slot serves, per second


@dataclass(slots=True)
class CapacitySummary:
    """Sums over the usable machines of a shard, as of one moment."""

    at_us: int
    available_service_cpus: dict[str, float]  # CPUs by zone that services could have: free, or of what they may preempt
    quick_service_cpus: float = 0.0  # the part of it on machines that fetch a usual image of a service in time
    batch_cpus: float = 0.0  # CPUs that services leave
    free_cpus: list[float] = field(default_factory=list)  # of each machine


class CapacityFigures:
    """Figures of one shard's capacity, cached for a moment each. Owned by its shard."""

    def __init__(self, shard: "Shard") -> None:
        """Of this shard; nothing is computed before it is asked for."""
        self.shard = shard
        self.ctx = shard.ctx
        self._run_times_s: list[float] = []  # of finished tasks, newest last
        self._mean_task = MeanTask(DEFAULT_TASK_CPUS, DEFAULT_RUN_S)
        self._mean_task_at_us = _NEVER_US
        self._summary = CapacitySummary(_NEVER_US, {})

    def task_finished(self, run_s: float) -> None:
        """Count the run time of a task that is done."""
        self._run_times_s.append(run_s)
        del self._run_times_s[:-MAX_RUN_TIMES]

    def mean_task(self) -> MeanTask:
        """CPUs and run time of a typical batch task."""
        now_us = self.ctx.now_us
        if now_us >= self._mean_task_at_us + MEAN_TASK_MAX_AGE_US:
            self._mean_task = self._compute_mean_task()
            self._mean_task_at_us = now_us
        return self._mean_task

    def _compute_mean_task(self) -> MeanTask:
        """The mean over open batch tasks; of run times, those that were measured go before estimates."""
        cpus = run_s = 0.0
        weight = 0.0
        for partition in self.shard.partitions.values():
            if not partition.spec.service:
                count = len(partition.assigned) - len(partition.done)
                cpus += partition.spec.cpus * count
                run_s += partition.spec.estimated_run_s * count
                weight += count
        if weight:
            cpus, run_s = cpus / weight, run_s / weight
        if self._run_times_s:
            run_s = sum(self._run_times_s) / len(self._run_times_s)
        return MeanTask(cpus or DEFAULT_TASK_CPUS, run_s or DEFAULT_RUN_S)

    def summary(self) -> CapacitySummary:
        """Sums over the machines that can be used, made anew four times a second at the most.

        Each submission asks for them, and each part that balances load, scales out or scales in.
        """
        if self.ctx.now_us >= self._summary.at_us + SUMMARY_MAX_AGE_US:
            self._summary = self._compute_summary()
        return self._summary

    def _compute_summary(self) -> CapacitySummary:
        """The sums as of now."""
        summary = CapacitySummary(self.ctx.now_us, {zone: 0.0 for zone in self.ctx.settings.facts.zones})
        usable, starts_quickly = self.shard.placement.usable, self.ctx.starts_quickly
        for worker in self.shard.workers.values():
            if not usable(worker) or worker.type is None:
                continue
            summary.batch_cpus += max(0.0, worker.type.cpus - worker.service_cpus)
            summary.free_cpus.append(worker.type.cpus - worker.used_cpus)
            if not worker.spot:
                room = max(0.0, worker.service_room())
                summary.available_service_cpus[worker.zone] = (
                    summary.available_service_cpus.get(worker.zone, 0.0) + room
                )
                if starts_quickly(worker.type):
                    summary.quick_service_cpus += room
        return summary

    def queueing_station(self) -> QueueingStation:
        """Slots for typical tasks, and the rate at which each serves."""
        cpus, run_s = self.mean_task()
        slots = int(self.summary().batch_cpus / max(cpus, MIN_TASK_CPUS))
        return QueueingStation(slots, 1.0 / max(run_s, MIN_RUN_S))

    def free_slots(self) -> int:
        """Slots that are free right now; none while tasks wait for a machine."""
        if any(partition.pending and not partition.on_hold for partition in self.shard.queued.values()):
            return 0
        slot_cpus = max(self.mean_task().cpus, MIN_TASK_CPUS)
        # A machine on which work is preempted holds both until the victims are gone: less than nothing is free.
        return int(sum(max(0.0, free) // slot_cpus for free in self.summary().free_cpus))

    def booting_cpus(self) -> float:
        """CPUs of machines that have sent no heartbeat yet."""
        return sum(
            worker.type.cpus
            for worker in self.shard.workers.values()
            if worker.type is not None and not worker.last_contact_us and not worker.deleting
        )

    def available_service_cpus(self) -> list[int]:
        """CPUs that services could have in each zone, in the order of the settings: free, or to be preempted."""
        room = self.summary().available_service_cpus
        return [int(room[zone]) for zone in self.ctx.settings.facts.zones]

    def quick_service_cpus(self) -> int:
        """The part of it on machines that fetch a usual image of a service in time."""
        return int(self.summary().quick_service_cpus)
