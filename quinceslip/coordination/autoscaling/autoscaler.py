"""Runs the parts of autoscaling, which buy, register, consolidate and return machines, each at its own interval.

See `scale_out_planner` for how machines are bought, and `scale_in` for when one is returned.
"""

from collections.abc import Callable

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.autoscaling.consolidation import Consolidator
from quinceslip.coordination.autoscaling.deregistration import Deregistration
from quinceslip.coordination.autoscaling.inventory import MachineInventory
from quinceslip.coordination.autoscaling.machine_deletion import MachineDeletion
from quinceslip.coordination.autoscaling.machine_types import MachineTypeCatalog
from quinceslip.coordination.autoscaling.scale_in import ScaleIn
from quinceslip.coordination.autoscaling.scale_out_planner import ScaleOutPlanner
from quinceslip.coordination.autoscaling.scale_out_requests import ScaleOutRequests
from quinceslip.coordination.autoscaling.service_headroom import ServiceHeadroom
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard

PLAN_PERIOD_US = SECOND


class Autoscaler:
    """Owned by the controller, which calls `tick` on each of its own ticks."""

    def __init__(self, ctx: Context, election: LeaderElection, shards: dict[int, Shard]) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.next_plan_us = 0
        #: per shard, the CPUs that services could use on machines that start them quickly enough
        self.quick_service_cpus: Callable[[], list[int]] = list
        self.machine_types = MachineTypeCatalog(ctx, shards)
        self.requests = ScaleOutRequests(ctx, election, shards, self._plan_soon)
        self.capacity = self.requests.capacity
        # The lambda reads the attribute at each call, since the controller replaces it after construction.
        self.headroom = ServiceHeadroom(ctx, lambda: self.quick_service_cpus())  # noqa: PLW0108
        self.planner = ScaleOutPlanner(ctx, self.requests, self.headroom)
        deregistration = Deregistration(ctx, election, shards)
        deletion = MachineDeletion(ctx, self.capacity, deregistration)
        self.inventory = MachineInventory(ctx, election, shards, deletion, deregistration)
        self.scale_in = ScaleIn(ctx, election, self.inventory, deletion, self.headroom)
        self.consolidator = Consolidator(ctx, election)

    def types_changed(self) -> None:
        """Handle a change of the stored record of machine types."""
        self.machine_types.record_changed()

    def tick(self) -> None:
        """Query the cloud; if this controller may launch, also scale out and in."""
        self.machine_types.request_if_due()
        self.inventory.list_if_due()
        if not self.election.may_launch() or not self.ctx.cache.synced or not self.ctx.machine_types:
            return
        self.inventory.reconcile()
        self.requests.process_open()
        self._replace_failed()
        if self.ctx.now_us >= self.next_plan_us:
            self.next_plan_us = self.ctx.now_us + PLAN_PERIOD_US
            for shard in list(self.shards.values()):
                self._plan(shard)

    def _replace_failed(self) -> None:
        """Return failed workers at once, without waiting for the next plan."""
        for shard in list(self.shards.values()):
            if shard.worker_failed:
                shard.worker_failed = False
                self.scale_in.run(shard)

    def _plan(self, shard: Shard) -> None:
        self.scale_in.run(shard)
        self.planner.plan(shard)
        self.machine_types.update_quick_types()
        self.consolidator.consolidate(shard, self.headroom.reserved_cpus_per_shard())

    def _plan_soon(self) -> None:
        self.next_plan_us = self.ctx.now_us  # requests the remaining demand elsewhere at once
