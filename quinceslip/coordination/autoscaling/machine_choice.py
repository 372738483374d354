"""Chooses the machine type and zone that serve a demand at the lowest price."""

import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.autoscaling.absorption import MAX_ABSORBED_FRACTION, absorbed_cpus
from quinceslip.coordination.autoscaling.capacity import CapacityObservations
from quinceslip.coordination.autoscaling.resources import Resources
from quinceslip.coordination.autoscaling.unmet_demand import MIN_TASK_CPUS
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.protocol import messages as m

#: headroom on quick machines may cost up to this many times as much as on the cheapest ones
MAX_HEADROOM_PRICE_FACTOR = 4.0
MIN_TASK_MEMORY_GB = 0.001
#: a lower price counts as none, as the ratio of two prices has to be a number
MIN_PRICE = 1e-6
#: fraction of a machine that may be missing for the cheapest kind before one more machine is bought
MAX_UNSERVED_FRACTION = 0.2
#: the same for on-demand machines where spot machines would do
MAX_ON_DEMAND_UNSERVED_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class MachineDemand:
    """Demand to buy machines for: tasks like those of `partition`."""

    partition: JobPartition
    cpus: float
    tasks: int
    spot: bool
    is_headroom: bool = False  # for expected services: in any zone, but only on types that start them quickly


class PurchaseOption(NamedTuple):
    """One way to serve a demand. Options are compared by their fields in this order; the smallest is chosen."""

    price_per_cpu: float
    machines_in_zone: int  # workers of the shard already there
    type_label: str
    zone: str
    spot: bool
    machines: int


class MachineCounts(NamedTuple):
    """Number of machines of one type to buy for a demand; 0 or less if too little work waits to justify one."""

    tasks_per_machine: int
    spot: int
    on_demand: int


class MachineChooser:
    """Compares the machines that the cloud offers, except pools that back off after a stockout."""

    def __init__(self, ctx: Context, capacity: CapacityObservations) -> None:
        self.ctx = ctx
        self.capacity = capacity

    def choose(self, shard: Shard, demand: MachineDemand) -> PurchaseOption | None:
        """Return the option with the lowest price per served CPU, on a tie the one in the zone with fewest machines."""
        options = list(self._options(shard, demand))
        if demand.is_headroom and options:
            options = self._affordable_headroom(demand, options)
        return min(options, default=None)

    def _options(self, shard: Shard, demand: MachineDemand) -> Iterator[PurchaseOption]:
        spec = demand.partition.spec
        eligible_zones = None if demand.is_headroom else shard.placement.eligible_zones(demand.partition)
        machines_in_zone: dict[str, int] = defaultdict(int)
        for worker in shard.workers.values():
            machines_in_zone[worker.zone] += 1
        for machine_type in self.ctx.machine_types.values():
            if not self._is_suitable(machine_type, demand):
                continue
            counts = self._machine_counts(shard, demand, machine_type)
            for zone in machine_type.zones:
                if spec.zone not in (None, zone) or (eligible_zones is not None and zone not in eligible_zones):
                    continue
                yield from self._options_in_zone(demand, machine_type, counts, zone, machines_in_zone[zone])

    def _options_in_zone(
        self,
        demand: MachineDemand,
        machine_type: m.MachineType,
        counts: MachineCounts,
        zone: str,
        machines_in_zone: int,
    ) -> Iterator[PurchaseOption]:
        served_cpus = counts.tasks_per_machine * max(demand.partition.spec.cpus, MIN_TASK_CPUS)
        for spot in [True, False] if demand.spot else [False]:
            if not spot and counts.on_demand <= 0:
                continue
            if self.capacity.is_backing_off((machine_type.label, zone, spot), self.ctx.now_us):
                continue
            price = machine_type.spot_price if spot else machine_type.price
            machines = counts.spot if spot else counts.on_demand
            yield PurchaseOption(price / served_cpus, machines_in_zone, machine_type.label, zone, spot, machines)

    def _is_suitable(self, machine_type: m.MachineType, demand: MachineDemand) -> bool:
        spec = demand.partition.spec
        return (
            Resources.of_type(machine_type).has_room_for(spec)
            and (spec.types is None or machine_type.label in spec.types)
            and (not demand.is_headroom or self.ctx.starts_quickly(machine_type))
        )

    def _machine_counts(self, shard: Shard, demand: MachineDemand, machine_type: m.MachineType) -> MachineCounts:
        spec = demand.partition.spec
        tasks_by_cpus = machine_type.cpus / max(spec.cpus, MIN_TASK_CPUS)
        tasks_by_memory = machine_type.memory_gb / max(spec.memory_gb, MIN_TASK_MEMORY_GB)
        tasks_per_machine = max(1, int(min(tasks_by_cpus, tasks_by_memory, demand.tasks, m.MAX_PLACED_TASKS)))
        cpus_per_machine = tasks_per_machine * max(spec.cpus, MIN_TASK_CPUS)
        machines = max(1, math.ceil(demand.cpus / cpus_per_machine - MAX_UNSERVED_FRACTION))
        if not demand.spot or machine_type.spot_price < MIN_PRICE or spec.indivisible:
            return MachineCounts(tasks_per_machine, machines, machines)
        # A more expensive machine must have proportionally more work waiting for it.
        surcharge = machine_type.price / machine_type.spot_price - 1.0
        remaining_cpus = demand.cpus - surcharge * absorbed_cpus(self.ctx, shard, MAX_ABSORBED_FRACTION)
        on_demand = math.ceil(remaining_cpus / cpus_per_machine - MAX_ON_DEMAND_UNSERVED_FRACTION)
        return MachineCounts(tasks_per_machine, machines, on_demand)

    def _affordable_headroom(self, demand: MachineDemand, options: list[PurchaseOption]) -> list[PurchaseOption]:
        """Filter out costly options: headroom is for a few tasks, so a large machine costs more than it can save."""
        types = self.ctx.machine_types
        fitting = [t for t in types.values() if Resources.of_type(t).has_room_for(demand.partition.spec)]
        cheapest = min(t.price * max(1, math.ceil(demand.cpus / max(t.cpus, MIN_TASK_CPUS))) for t in fitting)
        return [
            option
            for option in options
            if types[option.type_label].price * option.machines <= MAX_HEADROOM_PRICE_FACTOR * cheapest
        ]
