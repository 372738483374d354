"""Waiting tasks that neither a booting machine nor one being requested will take."""

from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import micros
from quinceslip.coordination.autoscaling.resources import Resources
from quinceslip.coordination.autoscaling.scale_out_requests import ScaleOutRequests
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m

#: a boot that takes longer than this many times the usual time is not relied on: boots take up to 1.5 times as long,
#: and a longer one may never finish
LATE_BOOT_FACTOR = 1.6
#: fewest CPUs that a task counts for, so that demand is never zero
MIN_TASK_CPUS = 0.01


@dataclass(slots=True)
class IncomingMachine:
    """A machine that is booting or being requested, and the resources still free on it."""

    machine_type: m.MachineType
    zone: str
    spot: bool
    free: Resources

    def allows(self, spec: m.JobSpec, eligible_zones: set[str] | None) -> bool:
        """Whether tasks of that job may run here if they fit; `eligible_zones` None means any zone."""
        return (
            (spec.spot or not self.spot)
            and spec.zone in (None, self.zone)
            and (eligible_zones is None or self.zone in eligible_zones)
            and (spec.types is None or self.machine_type.label in spec.types)
        )

    def reserve(self, spec: m.JobSpec, waiting: int) -> int:
        """Reserve room for as many of the waiting tasks as fit, and return how many are left."""
        # Bound: the number of waiting tasks, even if a task needs no resources.
        while waiting and self.free.has_room_for(spec):
            self.free = self.free.without(spec)
            waiting -= 1
        return waiting


class DemandKey(NamedTuple):
    """Properties shared by tasks that machines are bought for together."""

    zone: str  # empty for any zone
    spot: bool
    immediate: bool  # services and gangs, which do not wait until existing machines have room


@dataclass(slots=True)
class UnmetDemand:
    """Waiting tasks of one key, represented by `partition`, the first of them in service order."""

    partition: JobPartition
    cpus: float = 0.0
    tasks: int = 0

    def add(self, spec: m.JobSpec, tasks: int) -> None:
        """Count more tasks of the same key."""
        self.cpus += tasks * max(spec.cpus, MIN_TASK_CPUS)
        self.tasks += tasks


def incoming_machines(ctx: Context, shard: Shard, requests: ScaleOutRequests) -> list[IncomingMachine]:
    """Return the booting machines of the shard, then those that its open requests may yield."""
    incoming = [
        IncomingMachine(worker.type, worker.zone, worker.spot, Resources.of_type(worker.type))
        for worker in shard.workers.values()
        if worker.type and _is_booting(ctx, worker, worker.type)
    ]
    for request in requests.open_requests.values():
        machine_type = ctx.machine_types.get(request.record.type)
        if request.shard != shard.index or not machine_type:
            continue
        for _ in range(request.expected_machines()):
            empty = Resources.of_type(machine_type)
            incoming.append(IncomingMachine(machine_type, request.record.zone, request.record.spot, empty))
    return incoming


def _is_booting(ctx: Context, worker: Worker, machine_type: m.MachineType) -> bool:
    return (
        not worker.last_contact_us
        and not worker.deleting
        and ctx.now_us - worker.registered_us < LATE_BOOT_FACTOR * micros(machine_type.boot_s)
    )


def unmet_demand(shard: Shard, incoming: list[IncomingMachine]) -> dict[DemandKey, UnmetDemand]:
    """Return the demand left after assigning tasks to incoming machines, whose free resources are reduced."""
    unmet: dict[DemandKey, UnmetDemand] = {}
    claimed_quota: dict[int, tuple[int, int, int, int]] = {}
    kept_tasks = _kept_tasks(shard)
    for partition in _waiting_partitions(shard, kept_tasks):
        spec = partition.spec
        # Tasks that back off after a failure are left out, or a job in a crash loop would rent many machines.
        waiting = partition.startable_task_count()
        if shard.quota is not None:
            waiting = shard.quota.tasks_allowed_on_new_machines(spec, waiting, claimed_quota)
        waiting += kept_tasks[partition.job_id]
        if waiting <= 0:
            continue
        eligible_zones = shard.placement.eligible_zones(partition)
        if eligible_zones is not None and not eligible_zones:
            continue
        for machine in incoming:
            if not waiting:
                break
            if machine.free.has_room_for(spec) and machine.allows(spec, eligible_zones):
                waiting = machine.reserve(spec, waiting)
        if waiting:
            key = DemandKey(spec.zone or "", spec.spot, spec.service or spec.gang)
            unmet.setdefault(key, UnmetDemand(partition)).add(spec, waiting)
    return unmet


def _kept_tasks(shard: Shard) -> Counter[str]:
    """Count the tasks of each job that will wait once the addresses of lost workers are resolved.

    They already count as demand. Quotas count kept tasks, so no quota is checked for them again.
    """
    return Counter(attempt.job_id for attempt in shard.kept_attempts if not attempt.stopping)


def _waiting_partitions(shard: Shard, kept_tasks: Counter[str]) -> list[JobPartition]:
    """Return the waiting partitions in service order, then those whose only tasks to wait are kept ones."""
    waiting = shard.waiting_in_order()
    waiting_ids = {partition.job_id for partition in waiting} if kept_tasks else set()
    others = [
        shard.partitions[job_id] for job_id in kept_tasks if job_id in shard.partitions and job_id not in waiting_ids
    ]
    return waiting + others
