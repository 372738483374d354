"""How much waiting work the present machines get to before a new machine could boot: nothing is rented for that."""

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.load_balancing.mmm_queue import Station, is_plausible, is_plausible_rate
from quinceslip.coordination.shard.shard import Shard

#: part of the work that would be served during a boot which no machine is rented for
MAX_ABSORBED_PART = 0.4
#: the same where arrivals alone keep the present machines busy
MIN_ABSORBED_PART = 0.05


def unclaimed_part(ctx: Context) -> float:
    """The part of what slots set free that new arrivals will not take themselves: 1 - rate / total m u."""
    loads = ctx.cache.by_kind["load"].values()
    capacity = sum(s.capacity for r in loads if is_plausible(s := Station(r.slots, r.rate)))
    if capacity <= 0:
        return MAX_ABSORBED_PART
    arrivals: float = sum(r.arrivals for r in loads if is_plausible_rate(r.arrivals))
    return min(MAX_ABSORBED_PART, max(MIN_ABSORBED_PART, 1.0 - arrivals / capacity))


def absorbed_cpus(ctx: Context, shard: Shard, part: float) -> float:
    """CPUs of waiting work that the shard's machines get to, with `part` of their slots, while the quickest boots."""
    boot_times_s = [machine_type.boot_s for machine_type in ctx.types.values()]
    slots, rate = shard.queueing_station()
    cpus, _ = shard.mean_task()
    return part * slots * cpus * rate * min(boot_times_s) if boot_times_s else 0.0
