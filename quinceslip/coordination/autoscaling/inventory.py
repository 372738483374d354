"""Inventory of machines: compares the cloud's list with the workers of the shards led here."""

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

#: margin, beyond twice the list lag, after which absence from the list proves that a machine is gone
LIST_MARGIN_US = 2 * SECOND


class MachineInventory:
    """Holds the latest list; deregisters machines that are gone and adopts unexpected ones."""

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
        self.listed_us = 0  # when the last complete list was requested
        self.first_listed_us: dict[str, int] = {}

    def list_if_due(self) -> None:
        """Request the list if it is due."""
        if self.shards:
            wanted_times_us = (shard.addresses.next_conclusive_list_us() for shard in self.shards.values())
            self.lister.request_if_due(min((at_us for at_us in wanted_times_us if at_us is not None), default=None))

    def reconcile(self) -> None:
        """Adopt unexpected machines and deregister those that are gone; call only where this controller may write."""
        self.adoption.adopt_listed_if_due(self.listed, self.listed_us, self.deletion.in_progress)
        self.deregistration.deregister()

    def machine_record_changed(self, name: str) -> None:
        """The registry's record of a machine was written or deleted."""
        self.adoption.machine_record_changed(name)

    def adopt_from_heartbeat(
        self, heartbeat: m.WorkerHeartbeat, shard_index: int, on_adopted: CompareAndSwapCallback
    ) -> None:
        """Register an unexpected worker that sends heartbeats in a shard."""
        self.adoption.adopt_from_heartbeat(heartbeat, shard_index, on_adopted)

    def _on_listed(self, listed: dict[str, m.CloudMachine], requested_us: int) -> None:
        self.listed, self.listed_us = listed, requested_us
        for name in listed:
            self.first_listed_us.setdefault(name, requested_us)
        # Guard: an unreadable machine may be at any address, so the list proves of no address that it is vacant.
        shows_all_addresses = not any(machine.status == m.HOST_UNREADABLE for machine in listed.values())
        for shard in self.shards.values():
            if shows_all_addresses:
                shard.addresses.machines_listed(listed, requested_us)
            for name in list(shard.workers):
                machine = listed.get(name)
                if machine is None:
                    self._check_unlisted(shard, name, requested_us)
                elif machine.status == m.HOST_FAILED:
                    shard.machine_gone(name)
                    self.deletion.request(shard, [name])

    def _check_unlisted(self, shard: Shard, name: str, requested_us: int) -> None:
        """Deregister a machine that the list no longer shows: once listed, it stays listed until it is gone.

        Proof is only a list that cannot be older than the first one that showed it: lists are up to twice the lag old.
        """
        listed_us = self.first_listed_us.get(name)
        if listed_us is not None and requested_us > listed_us + 2 * self.list_lag_us + LIST_MARGIN_US:
            self.deregistration.machine_gone(shard, name, "no longer listed")
