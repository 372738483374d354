"""Estimates the waiting work that existing machines absorb while a new one would boot; nothing is rented for it."""

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.load_balancing.mmm_queue import Station, is_plausible, is_plausible_rate
from quinceslip.coordination.shard.shard import Shard
from quinceslip.storage.records import RecordKind

#: upper bound of the fraction of the work served during a boot that no machine is rented for
MAX_ABSORBED_FRACTION = 0.4
#: lower bound of it, where arrivals alone keep the existing machines busy
MIN_ABSORBED_FRACTION = 0.05


def unclaimed_fraction(ctx: Context) -> float:
    """Return the fraction of freed slots that new arrivals will not take: 1 - arrival rate / total capacity."""
    loads = ctx.cache.by_kind[RecordKind.LOAD].values()
    capacity = sum(station.capacity for load in loads if is_plausible(station := Station(load.slots, load.rate)))
    if capacity <= 0:
        return MAX_ABSORBED_FRACTION
    arrivals: float = sum(load.arrival_rate for load in loads if is_plausible_rate(load.arrival_rate))
    return min(MAX_ABSORBED_FRACTION, max(MIN_ABSORBED_FRACTION, 1.0 - arrivals / capacity))


def absorbed_cpus(ctx: Context, shard: Shard, fraction: float) -> float:
    """Return the CPUs of waiting work that `fraction` of the shard's slots can take on during the shortest boot."""
    boot_times_s = [machine_type.boot_s for machine_type in ctx.machine_types.values()]
    slots, rate = shard.queueing_station()
    cpus, _ = shard.mean_task()
    return fraction * slots * cpus * rate * min(boot_times_s) if boot_times_s else 0.0
