"""Removes machines that are certainly gone from the machine registry."""

import logging

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.storage import records
from quinceslip.storage.records import RecordKind

log = logging.getLogger(__name__)

#: delay after a failed write
RETRY_PERIOD_US = SECOND // 2


class Deregistration:
    """Tracks machines that are gone but still in the registry, and deletes their records."""

    def __init__(self, ctx: Context, election: LeaderElection, shards: dict[int, Shard]) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.to_deregister: dict[str, int] = {}  # shard of each machine that is gone and still registered
        self.write_pending = False
        self.next_write_us = 0

    def machine_gone(self, shard: Shard, name: str, reason: str) -> None:
        """Handle a machine that is certainly gone: its registry record will be deleted."""
        log.info("machine gone worker=%s reason=%r", name, reason)
        shard.machine_gone(name)
        self.to_deregister[name] = shard.index

    def deregister(self) -> None:
        """Delete the records of machines that are gone, as many per write as a transaction allows.

        One write per machine exceeded the write budget when a third of the machines failed at once, and the remaining
        records delayed the next failover, which waits for every registered machine.
        """
        self._forget_finished()
        if not self.to_deregister or self.write_pending or self.ctx.now_us < self.next_write_us:
            return
        deletable = {
            name: index for name, index in self.to_deregister.items() if self._is_record_deletable(name, index)
        }
        if not deletable:
            return
        index = next(iter(deletable.values()))
        names = [name for name, shard in deletable.items() if shard == index][: self.ctx.limits.txn_ops]
        self.write_pending = True
        # Guard: a write that is applied late deletes nothing that was written in the meantime.
        keys = [records.machine_key(name) for name in names]
        mod_revisions = {key: self.ctx.cache.mod_revision(key) for key in keys}
        conditions = {**self.election.fencing_condition(index), **mod_revisions}
        self.ctx.compare_and_swap(conditions, {}, keys, self._on_written)

    def _is_record_deletable(self, name: str, index: int) -> bool:
        """Whether no message sent to a machine can still have reached another one at the same address.

        Guard: until then the record stays, so that a successor queries that address as well.
        """
        shard = self.shards.get(index)
        return shard is None or name not in shard.addresses.open

    def _forget_finished(self) -> None:
        """Forget machines whose record is deleted or whose shard has another leader."""
        machine_records = self.ctx.cache.by_kind[RecordKind.MACHINE]
        finished = [
            name
            for name, index in self.to_deregister.items()
            if name not in machine_records or not self.election.leads(index)
        ]
        for name in finished:
            del self.to_deregister[name]

    def _on_written(self, status: int, failed_conditions: list[str]) -> None:
        self.write_pending = False
        if status != 200:
            self.next_write_us = self.ctx.now_us + RETRY_PERIOD_US
