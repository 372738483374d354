"""Room kept free for services that are expected to arrive while a machine boots."""

import math
from collections.abc import Callable
from typing import NamedTuple

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.worker import Worker

#: arrivals within this window determine how many services to expect
ARRIVAL_WINDOW_US = 120 * SECOND
#: fewest CPUs that a service counts for, so that the number of slots stays finite for one that requests none
MIN_SERVICE_CPUS = 0.01


class ExpectedServices(NamedTuple):
    """Number of service tasks to expect, and the CPUs of the largest."""

    tasks: int
    task_cpus: float


class SpareSlots(NamedTuple):
    """Slots for services beyond the expected ones; `slots` is None if the shard has no service."""

    slots: int | None
    slot_cpus: float


class ServiceHeadroom:
    """Measures headroom for scale out, scale in and consolidation alike.

    With different measures, one would return machines that another rents again, at the cost of a boot each time.
    """

    def __init__(self, ctx: Context, quick_service_cpus: Callable[[], list[int]]) -> None:
        self.ctx = ctx
        self.quick_service_cpus = quick_service_cpus  # CPUs per shard that services could use on quick machines

    def expected_services(self) -> ExpectedServices:
        """Return the service tasks to expect while a machine boots, at least those of one job."""
        jobs = self.ctx.cache.open_services.values()
        if not jobs:
            return ExpectedServices(0, 0.0)
        since_us = self.ctx.wall_us - ARRIVAL_WINDOW_US
        recent = [job.tasks for job in jobs if job.at_us > since_us]
        task_cpus = max(MIN_SERVICE_CPUS, *(job.spec.cpus for job in jobs if job.spec is not None))
        boot_s = min((machine_type.boot_s for machine_type in self.ctx.machine_types.values()), default=0.0)
        # If none arrived within the window, one slot is enough to start the next one.
        typical = sum(job.tasks for job in jobs) / len(jobs) if recent else 1.0
        arriving = sum(recent) * SECOND / ARRIVAL_WINDOW_US * boot_s
        return ExpectedServices(math.ceil(typical + arriving), task_cpus)

    def count_slots(self, slot_cpus: float) -> int:
        """Return the slots of `slot_cpus` CPUs in all shards, free or held by tasks that services may preempt."""
        return sum(int(cpus // slot_cpus) for cpus in self.quick_service_cpus())

    def reserved_cpus_per_shard(self) -> float:
        """Return the CPUs that a shard leaves free for expected services when it consolidates."""
        expected = self.expected_services()
        return expected.tasks * expected.task_cpus / max(1, len(self.quick_service_cpus()))

    def spare_slots(self, shard: Shard) -> SpareSlots:
        """Return the slots beyond those for the expected services."""
        if not any(partition.spec.service for partition in shard.partitions.values()):
            return SpareSlots(None, 0.0)
        expected = self.expected_services()
        if not expected.task_cpus:
            return SpareSlots(None, 0.0)
        return SpareSlots(self.count_slots(expected.task_cpus) - expected.tasks, expected.task_cpus)

    def is_needed(self, worker: Worker, spare: SpareSlots) -> bool:
        """Whether there would be too little room for the expected services without this machine."""
        if worker.spot or spare.slots is None or not self.ctx.starts_quickly(worker.type):
            return False
        own_slots = int(worker.service_room() // spare.slot_cpus)
        return own_slots > 0 and own_slots > spare.slots
