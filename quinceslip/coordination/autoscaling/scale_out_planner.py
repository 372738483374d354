"""Plans which machines to buy: for demand that no incoming machine will serve, then as headroom for services.

`unmet_demand` computes the demand, `machine_choice` selects the machines, and `scale_out_requests` performs the
purchase.
"""

import logging

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.autoscaling.absorption import absorbed_cpus, unclaimed_fraction
from quinceslip.coordination.autoscaling.machine_choice import MachineChooser, MachineDemand
from quinceslip.coordination.autoscaling.scale_out_requests import ScaleOutRequests
from quinceslip.coordination.autoscaling.service_headroom import ServiceHeadroom
from quinceslip.coordination.autoscaling.unmet_demand import IncomingMachine, incoming_machines, unmet_demand
from quinceslip.coordination.shard.shard import Shard

log = logging.getLogger(__name__)


class ScaleOutPlanner:
    """Starts the scale-out requests of a shard."""

    def __init__(self, ctx: Context, requests: ScaleOutRequests, headroom: ServiceHeadroom) -> None:
        self.ctx = ctx
        self.requests = requests
        self.headroom = headroom
        self.chooser = MachineChooser(ctx, requests.capacity)

    def plan(self, shard: Shard) -> None:
        """Buy machines for waiting tasks that no incoming machine will take, or else for expected services."""
        if self.requests.has_unrecorded_request(shard.index):
            return
        incoming = incoming_machines(self.ctx, shard, self.requests)
        unmet = unmet_demand(shard, incoming)
        for key, demand in unmet.items():
            cpus = demand.cpus
            if not key.immediate:
                cpus *= self.ctx.tuning.hire_fraction
                cpus -= absorbed_cpus(self.ctx, shard, unclaimed_fraction(self.ctx))
            if cpus > 0:
                self._buy(shard, MachineDemand(demand.partition, cpus, demand.tasks, key.spot))
        if not any(key.immediate for key in unmet):
            self._keep_headroom(shard, incoming)

    def _keep_headroom(self, shard: Shard, incoming: list[IncomingMachine]) -> None:
        """Keep room for the services expected to arrive while a machine boots, at least one.

        Only the lowest shard that has services buys headroom, since shards can use each other's room.
        """
        services = [partition for partition in shard.partitions.values() if partition.spec.service]
        home_shards = [job.shard for job in self.ctx.cache.open_services.values()]
        if not services or min(home_shards, default=-1) != shard.index:
            return
        largest = max(services, key=lambda partition: partition.spec.cpus)
        expected = self.headroom.expected_services()
        slots = self.headroom.count_slots(expected.task_cpus)
        slots += sum(int(machine.free.cpus // expected.task_cpus) for machine in incoming if not machine.spot)
        missing = expected.tasks - slots
        if missing > 0:
            log.debug("headroom missing slots=%d expected=%d", slots, expected.tasks)
            cpus = missing * expected.task_cpus
            self._buy(shard, MachineDemand(largest, cpus, missing, spot=False, is_headroom=True))

    def _buy(self, shard: Shard, demand: MachineDemand) -> None:
        option = self.chooser.choose(shard, demand)
        if option is not None:
            self.requests.start(shard, option.type_label, option.zone, option.spot, option.machines)
