"""Capacity figures of a shard, for load balancing, autoscaling and deadline scheduling."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.protocol import messages as m

if TYPE_CHECKING:
    from quinceslip.coordination.shard.shard import Shard

#: maximum age of the cached capacity summary
SUMMARY_MAX_AGE_US = SECOND // 4
#: maximum age of the cached mean task
MEAN_TASK_MAX_AGE_US = SECOND // 2
#: the mean run time is taken over this many of the last finished tasks
MAX_RUN_TIMES = 200
#: size and run time assumed for a typical task while there is none
DEFAULT_TASK_CPUS, DEFAULT_RUN_S = 1.0, 60.0
#: lower bounds of the size and run time of a typical task
MIN_TASK_CPUS, MIN_RUN_S = 0.1, 0.1
#: a time before the actor's clock starts
_NEVER_US = -SECOND


class MeanTask(NamedTuple):
    """A typical task, which defines the size of a slot and its service rate."""

    cpus: float
    run_s: float


class QueueingStation(NamedTuple):
    """A shard as a station of the queueing model (`load_balancing/queueing_model.py`)."""

    slots: int  # m in the paper
    rate: float  # u in the paper: tasks per second that a slot serves


@dataclass(slots=True)
class CapacitySummary:
    """Totals over the usable machines of a shard at one moment."""

    at_us: int
    available_service_cpus: dict[str, float]  # by zone: CPUs available to services, free or by preemption
    quick_service_cpus: float = 0.0  # the part of them on machines that fetch a typical service image in time
    batch_cpus: float = 0.0  # CPUs not used by services
    machines: int = 0
    free_cpus: list[float] = field(default_factory=list)  # of each machine; none if it can get no more tasks


class CapacityFigures:
    """Capacity figures of one shard, each cached for a short time. Owned by its shard."""

    def __init__(self, shard: "Shard") -> None:
        self.shard = shard
        self.ctx = shard.ctx
        self._run_times_s: list[float] = []  # of finished tasks, newest last
        self._mean_task = MeanTask(DEFAULT_TASK_CPUS, DEFAULT_RUN_S)
        self._mean_task_at_us = _NEVER_US
        self._summary = CapacitySummary(_NEVER_US, {})

    def task_finished(self, run_s: float) -> None:
        """Record the run time of a finished task."""
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
        """The mean over open batch tasks; measured run times take precedence over estimates."""
        cpus = run_s = 0.0
        tasks = estimated_tasks = 0
        for partition in self.shard.partitions.values():
            if not partition.spec.service:
                count = len(partition.assigned) - len(partition.done)
                tasks += count
                cpus += partition.spec.cpus * count
                # Guard: an estimate that means "never" says nothing; in the mean it would hide those of all other jobs.
                if partition.spec.estimated_run_s < m.MAX_AMOUNT:
                    estimated_tasks += count
                    run_s += partition.spec.estimated_run_s * count
        cpus /= max(tasks, 1)
        run_s /= max(estimated_tasks, 1)
        if self._run_times_s:
            run_s = sum(self._run_times_s) / len(self._run_times_s)
        return MeanTask(cpus or DEFAULT_TASK_CPUS, run_s or DEFAULT_RUN_S)

    def summary(self) -> CapacitySummary:
        """Totals over the usable machines, recomputed at most four times a second.

        Every submission reads them, as do load balancing, scale-out and scale-in.
        """
        if self.ctx.now_us >= self._summary.at_us + SUMMARY_MAX_AGE_US:
            self._summary = self._compute_summary()
        return self._summary

    def _compute_summary(self) -> CapacitySummary:
        """Compute the totals as of now."""
        summary = CapacitySummary(self.ctx.now_us, {zone: 0.0 for zone in self.ctx.settings.facts.zones})
        usable, starts_quickly = self.shard.placement.usable, self.ctx.starts_quickly
        for worker in self.shard.workers.values():
            if not usable(worker) or worker.type is None:
                continue
            summary.batch_cpus += max(0.0, worker.type.cpus - worker.service_cpus)
            summary.machines += 1
            summary.free_cpus.append(worker.type.cpus - worker.used_cpus if worker.free_task_slots() > 0 else 0.0)
            if not worker.spot:
                available_cpus = max(0.0, worker.service_room())
                summary.available_service_cpus[worker.zone] = (
                    summary.available_service_cpus.get(worker.zone, 0.0) + available_cpus
                )
                if starts_quickly(worker.type):
                    summary.quick_service_cpus += available_cpus
        return summary

    def queueing_station(self) -> QueueingStation:
        """Number of slots for typical tasks, and the service rate of each."""
        cpus, run_s = self.mean_task()
        summary = self.summary()
        slots = min(int(summary.batch_cpus / max(cpus, MIN_TASK_CPUS)), summary.machines * m.MAX_PLACED_TASKS)
        return QueueingStation(slots, 1.0 / max(run_s, MIN_RUN_S))

    def free_slots(self) -> int:
        """Number of slots that are free now; 0 while tasks wait for a machine."""
        if any(partition.pending and not partition.on_hold for partition in self.shard.queued.values()):
            return 0
        slot_cpus = max(self.mean_task().cpus, MIN_TASK_CPUS)
        # During preemption a machine holds the new tasks and the victims, so its free CPUs can be negative.
        return int(sum(max(0.0, free) // slot_cpus for free in self.summary().free_cpus))

    def booting_cpus(self) -> float:
        """CPUs of machines that have not sent a heartbeat yet."""
        return sum(
            worker.type.cpus
            for worker in self.shard.workers.values()
            if worker.type is not None and not worker.last_contact_us and not worker.deleting
        )

    def available_service_cpus(self) -> list[int]:
        """CPUs available to services, free or by preemption, in each zone in the order of the settings."""
        cpus_by_zone = self.summary().available_service_cpus
        return [int(cpus_by_zone[zone]) for zone in self.ctx.settings.facts.zones]

    def quick_service_cpus(self) -> int:
        """CPUs available to services on machines that fetch a typical service image in time."""
        return int(self.summary().quick_service_cpus)
