"""How machines are bought: the demand that no coming machine will take, then headroom for services.

`unmet_demand` says what is lacking, `machine_choice` what to buy for it, `scale_out_requests` carries the purchase
through.
"""

import logging

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.autoscaling.absorption import absorbed_cpus, unclaimed_part
from quinceslip.coordination.autoscaling.machine_choice import MachineChooser, MachineDemand
from quinceslip.coordination.autoscaling.scale_out_requests import ScaleOutRequests
from quinceslip.coordination.autoscaling.service_headroom import ServiceHeadroom
from quinceslip.coordination.autoscaling.unmet_demand import ComingMachine, coming_machines, unmet_demand
from quinceslip.coordination.shard.shard import Shard

log = logging.getLogger(__name__)


class ScaleOutPlanner:
    """Starts the scale-out requests that a shard needs."""

    def __init__(self, ctx: Context, requests: ScaleOutRequests, headroom: ServiceHeadroom) -> None:
        self.ctx = ctx
        self.requests = requests
        self.headroom = headroom
        self.chooser = MachineChooser(ctx, requests.capacity)

    def plan(self, shard: Shard) -> None:
        """Rent for the waiting tasks of the shard that no coming machine will take, or else for services to come."""
        if self.requests.has_unrecorded(shard.index):
            return
        coming = coming_machines(self.ctx, shard, self.requests)
        unmet = unmet_demand(shard, coming)
        for key, demand in unmet.items():
            cpus = demand.cpus
            if not key.immediate:
                cpus *= self.ctx.tuning.hire_fraction
                cpus -= absorbed_cpus(self.ctx, shard, unclaimed_part(self.ctx))
            if cpus > 0:
                self._buy(shard, MachineDemand(demand.partition, cpus, demand.tasks, key.spot))
        if not any(key.immediate for key in unmet):
            self._keep_headroom(shard, coming)

    def _keep_headroom(self, shard: Shard, coming: list[ComingMachine]) -> None:
        """Have room for the services that will arrive while a machine boots, one at least.

        The lowest shard that has services rents for all: what one shard lacks, another may have.
        """
        services = [partition for partition in shard.partitions.values() if partition.spec.service]
        home_shards = [job.shard for job in self.ctx.cache.open_services.values()]
        if not services or min(home_shards, default=-1) != shard.index:
            return
        largest = max(services, key=lambda partition: partition.spec.cpus)
        expected = self.headroom.expected()
        slots = self.headroom.slots(expected.task_cpus)
        slots += sum(int(machine.free.cpus // expected.task_cpus) for machine in coming if not machine.spot)
        missing = expected.tasks - slots
        if missing > 0:
            log.debug("headroom missing slots=%d expected=%d", slots, expected.tasks)
            cpus = missing * expected.task_cpus
            self._buy(shard, MachineDemand(largest, cpus, missing, spot=False, is_headroom=True))

    def _buy(self, shard: Shard, demand: MachineDemand) -> None:
        option = self.chooser.choose(shard, demand)
        if option is not None:
            self.requests.start(shard, option.type_label, option.zone, option.spot, option.machines)
