"""Room that is kept free for services that are expected to arrive while a machine boots."""

import math
from collections.abc import Callable
from typing import NamedTuple

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.worker import Worker

#: services that came in this window tell how many to expect
ARRIVAL_WINDOW_US = 120 * SECOND
#: the least that a service counts for, so that one without a need takes a finite number of places
MIN_SERVICE_CPUS = 0.01


class ExpectedServices(NamedTuple):
    """Service tasks to expect, and the CPUs of the largest."""

    tasks: int
    task_cpus: float


class SpareSlots(NamedTuple):
    """Places for services beyond those to expect; `slots` is None where the shard has no service."""

    slots: int | None
    slot_cpus: float


class ServiceHeadroom:
    """The one measure of headroom, for scale out, scale in and consolidation alike.

    What one of them returned and another rented again would cost a boot each time.
    """

    def __init__(self, ctx: Context, quick_service_cpus: Callable[[], list[int]]) -> None:
        self.ctx = ctx
        self.quick_service_cpus = quick_service_cpus  # by shard: CPUs that services could have on quick machines

    def expected(self) -> ExpectedServices:
        """Service tasks to expect while a machine boots, one job's at least."""
        jobs = self.ctx.cache.open_services.values()
        if not jobs:
            return ExpectedServices(0, 0.0)
        since_us = self.ctx.wall_us - ARRIVAL_WINDOW_US
        recent = [job.tasks for job in jobs if job.at_us > since_us]
        task_cpus = max(MIN_SERVICE_CPUS, *(job.spec.cpus for job in jobs if job.spec is not None))
        boot_s = min((machine_type.boot_s for machine_type in self.ctx.machine_types.values()), default=0.0)
        # Where none has come for so long, one slot is enough to begin the next one with.
        typical = sum(job.tasks for job in jobs) / len(jobs) if recent else 1.0
        arriving = sum(recent) * SECOND / ARRIVAL_WINDOW_US * boot_s
        return ExpectedServices(math.ceil(typical + arriving), task_cpus)

    def slots(self, slot_cpus: float) -> int:
        """Places for services of that many CPUs, free or held by what they may preempt, in all shards."""
        return sum(int(cpus // slot_cpus) for cpus in self.quick_service_cpus())

    def reserved_cpus_per_shard(self) -> float:
        """CPUs that a shard leaves free for expected services when it consolidates."""
        expected = self.expected()
        return expected.tasks * expected.task_cpus / max(1, len(self.quick_service_cpus()))

    def spare_slots(self, shard: Shard) -> SpareSlots:
        """Places beyond those for the services to expect."""
        if not any(partition.spec.service for partition in shard.partitions.values()):
            return SpareSlots(None, 0.0)
        expected = self.expected()
        if not expected.task_cpus:
            return SpareSlots(None, 0.0)
        return SpareSlots(self.slots(expected.task_cpus) - expected.tasks, expected.task_cpus)

    def needs(self, worker: Worker, spare: SpareSlots) -> bool:
        """Whether there would be too little room for the services to expect without this machine."""
        if worker.spot or spare.slots is None or not self.ctx.starts_quickly(worker.type):
            return False
        own_slots = int(worker.service_room() // spare.slot_cpus)
        return own_slots > 0 and own_slots > spare.slots
