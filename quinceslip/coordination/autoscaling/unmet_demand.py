"""Waiting tasks that neither a booting machine nor one that is being rented will take."""

from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import micros
from quinceslip.coordination.autoscaling.resources import Resources
from quinceslip.coordination.autoscaling.scale_out_requests import ScaleOutRequests
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.worker import Worker, fits
from quinceslip.protocol import messages as m

#: a boot that takes so many times as long as usual is not counted on: boots take up to half as long again, and one
#: that takes longer may never end
LATE_BOOT_FACTOR = 1.6
#: the least that a task counts for, so that demand is never zero
MIN_TASK_CPUS = 0.01


@dataclass(slots=True)
class ComingMachine:
    """A machine that boots or is being rented, and what is still free on it."""

    machine_type: m.MachineType
    zone: str
    spot: bool
    free: Resources

    def allows(self, spec: m.JobSpec, eligible_zones: set[str] | None) -> bool:
        """Whether tasks of that job may run on it, if they fit; None for zones: any."""
        return (
            (spec.spot or not self.spot)
            and spec.zone in (None, self.zone)
            and (eligible_zones is None or self.zone in eligible_zones)
            and (spec.types is None or self.machine_type.label in spec.types)
        )

    def take(self, spec: m.JobSpec, waiting: int) -> int:
        """Reserve room for as many of the waiting tasks as fit; returns how many are left."""
        # Bound: the tasks that wait, also where one of them takes nothing.
        while waiting and fits(self.free, spec):
            self.free = self.free.without(spec)
            waiting -= 1
        return waiting


class DemandKey(NamedTuple):
    """What machines are bought for together."""

    zone: str  # empty: any
    spot: bool
    immediate: bool  # services and gangs: they do not wait for what present machines set free


@dataclass(slots=True)
class UnmetDemand:
    """Waiting tasks of one key; `partition` is the first in order of service, and stands for all of them."""

    partition: JobPartition
    cpus: float = 0.0
    tasks: int = 0

    def add(self, spec: m.JobSpec, tasks: int) -> None:
        """Count more tasks of the same key."""
        self.cpus += tasks * max(spec.cpus, MIN_TASK_CPUS)
        self.tasks += tasks


def coming_machines(ctx: Context, shard: Shard, requests: ScaleOutRequests) -> list[ComingMachine]:
    """Machines of the shard that boot, then those that its open requests may bring."""
    coming = [
        ComingMachine(worker.type, worker.zone, worker.spot, Resources.of_type(worker.type))
        for worker in shard.workers.values()
        if worker.type and _is_booting(ctx, worker, worker.type)
    ]
    for request in requests.open_requests.values():
        machine_type = ctx.types.get(request.record.type)
        if request.shard != shard.index or not machine_type:
            continue
        for _ in range(request.expected_machines()):
            empty = Resources.of_type(machine_type)
            coming.append(ComingMachine(machine_type, request.record.zone, request.record.spot, empty))
    return coming


def _is_booting(ctx: Context, worker: Worker, machine_type: m.MachineType) -> bool:
    return (
        not worker.last_contact_us
        and not worker.deleting
        and ctx.now_us - worker.registered_us < LATE_BOOT_FACTOR * micros(machine_type.boot_s)
    )


def unmet_demand(shard: Shard, coming: list[ComingMachine]) -> dict[DemandKey, UnmetDemand]:
    """Demand that remains once the coming machines have taken what they can; their free resources go down."""
    unmet: dict[DemandKey, UnmetDemand] = {}
    claimed_quota: dict[int, tuple[int, int, int, int]] = {}
    kept = _kept_tasks(shard)
    for partition in _partitions_in_order(shard, kept):
        spec = partition.spec
        # Tasks that pause after a failure need no machine: a job that crashes in a loop would rent many.
        waiting = partition.startable_task_count()
        if shard.quota is not None:
            waiting = shard.quota.startable(spec, waiting, claimed_quota)
        waiting += kept[partition.job_id]
        if waiting <= 0:
            continue
        eligible_zones = shard.placement.eligible_zones(partition)
        if eligible_zones is not None and not eligible_zones:
            continue
        for machine in coming:
            if not waiting:
                break
            if fits(machine.free, spec) and machine.allows(spec, eligible_zones):
                waiting = machine.take(spec, waiting)
        if waiting:
            key = DemandKey(spec.zone or "", spec.spot, spec.service or spec.gang)
            unmet.setdefault(key, UnmetDemand(partition)).add(spec, waiting)
    return unmet


def _kept_tasks(shard: Shard) -> Counter[str]:
    """How many tasks of each job will wait once the addresses of lost workers are settled: they count already.

    Quotas count them as long as they are kept, so they are asked of no quota again.
    """
    return Counter(attempt.job_id for attempt in shard.kept_attempts if not attempt.stopping)


def _partitions_in_order(shard: Shard, kept: Counter[str]) -> list[JobPartition]:
    """The partitions that wait, in order of service, then those of which all tasks that will wait are kept."""
    waiting = shard.waiting_in_order()
    known = {partition.job_id for partition in waiting} if kept else set()
    others = [shard.partitions[job_id] for job_id in kept if job_id in shard.partitions and job_id not in known]
    return waiting + others
