"""The machines there are: what the cloud lists is compared with the workers of our shards."""

from quinceslip.coordination.actor.compare_and_swap import CompareAndSwapCallback
from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.autoscaling.adoption import Adoption
from quinceslip.coordination.autoscaling.deregistration import Deregistration
from quinceslip.coordination.autoscaling.machine_deletion import MachineDeletion
from quinceslip.coordination.autoscaling.machine_list import MachineLister
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m

#: beyond twice the lag of the list, a list that does not show a machine proves that it is gone
LIST_MARGIN_US = 2 * SECOND


class MachineInventory:
    """Owns the last list. Machines that are gone are deregistered, those that nobody expected are adopted."""

    def __init__(
        self,
        ctx: Context,
        election: LeaderElection,
        shards: dict[int, Shard],
        deletion: MachineDeletion,
        deregistration: Deregistration,
    ) -> None:
        self.shards = shards
        self.deletion = deletion
        self.deregistration = deregistration
        self.to_deregister = deregistration.to_deregister
        self.list_lag_us = micros(ctx.settings.facts.cloud.list_lag_s)
        self.lister = MachineLister(ctx, self._on_listed)
        self.adoption = Adoption(ctx, election, shards, self.list_lag_us)
        self.listed: dict[str, m.CloudMachine] = {}
        self.listed_us = 0  # when the last complete list was asked for
        self.first_listed_us: dict[str, int] = {}

    def list_if_due(self) -> None:
        """Ask for the list when it is due."""
        if self.shards:
            wanted = (shard.addresses.next_conclusive_list_us() for shard in self.shards.values())
            self.lister.request_if_due(min((at_us for at_us in wanted if at_us is not None), default=None))

    def reconcile(self) -> None:
        """Adopt what nobody expected and deregister what is gone; for a controller that may write."""
        self.adoption.adopt_listed_if_due(self.listed, self.listed_us, self.deletion.in_progress)
        self.deregistration.deregister()

    def machine_record_changed(self, name: str) -> None:
        """The registry's record of a machine was written or deleted."""
        self.adoption.machine_record_changed(name)

    def adopt_from_heartbeat(
        self, heartbeat: m.WorkerHeartbeat, index: int, on_adopted: CompareAndSwapCallback
    ) -> None:
        """Register a worker that sends heartbeats, and that nobody expected, in a shard."""
        self.adoption.adopt_from_heartbeat(heartbeat, index, on_adopted)

    def _on_listed(self, listed: dict[str, m.CloudMachine], asked_us: int) -> None:
        self.listed, self.listed_us = listed, asked_us
        for name in listed:
            self.first_listed_us.setdefault(name, asked_us)
        for shard in self.shards.values():
            shard.addresses.machines_listed(listed, asked_us)
            for name in list(shard.workers):
                host = listed.get(name)
                if host is None:
                    self._not_listed(shard, name, asked_us)
                elif host.status == m.HOST_FAILED:
                    shard.machine_gone(name)
                    self.deletion.request(shard, [name])

    def _not_listed(self, shard: Shard, name: str, asked_us: int) -> None:
        """A listed machine stays listed until it is gone.

        Only a list that cannot be older than the one that showed it is proof (it lags by up to twice the lag).
        """
        listed_us = self.first_listed_us.get(name)
        if listed_us is not None and asked_us > listed_us + 2 * self.list_lag_us + LIST_MARGIN_US:
            self.deregistration.machine_gone(shard, name, "no longer listed")
