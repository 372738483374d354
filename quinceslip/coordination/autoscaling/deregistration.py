"""Machines that are gone for certain leave the machine registry."""

import logging

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.storage import records

log = logging.getLogger(__name__)

#: after a write that failed
RETRY_PERIOD_US = SECOND // 2


class Deregistration:
    """Owns what is still in the registry though it is gone."""

    def __init__(self, ctx: Context, election: LeaderElection, shards: dict[int, Shard]) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.to_deregister: dict[str, int] = {}  # machines that are gone and still in the registry, and their shard
        self.write_open = False
        self.next_write_us = 0

    def machine_gone(self, shard: Shard, name: str, reason: str) -> None:
        """A machine is gone for certain: so is its place in the registry."""
        log.info("machine gone worker=%s reason=%r", name, reason)
        shard.machine_gone(name)
        self.to_deregister[name] = shard.index

    def deregister(self) -> None:
        """Delete the records of machines that are gone: as many in one write as a transaction takes, until it is done.

        One write for each was more than the budget takes when a third of the machines falls at once. What stayed in
        the registry held up the next failover, which waits for every machine in it.
        """
        self._forget_settled()
        if not self.to_deregister or self.write_open or self.ctx.now_us < self.next_write_us:
            return
        settled = {name: index for name, index in self.to_deregister.items() if self._is_address_settled(name, index)}
        if not settled:
            return
        index = next(iter(settled.values()))
        names = [name for name, shard in settled.items() if shard == index][: self.ctx.limits.txn_ops]
        self.write_open = True
        # Guard: carried out late it deletes nothing that has been written since.
        keys = [records.machine_key(name) for name in names]
        mod_revisions = {key: self.ctx.cache.mod_revision(key) for key in keys}
        conditions = {**self.election.fencing_condition(index), **mod_revisions}
        self.ctx.compare_and_swap(conditions, {}, keys, self._on_written)

    def _is_address_settled(self, name: str, index: int) -> bool:
        """Whether nothing that was sent to a machine can be on another one at its address.

        Guard: until then its record stays, so that a successor asks that address as well.
        """
        shard = self.shards.get(index)
        return shard is None or name not in shard.addresses.open

    def _forget_settled(self) -> None:
        """Forget machines whose record is deleted, or which another leader answers for."""
        machine_records = self.ctx.cache.by_kind["roster"]
        settled = [
            name
            for name, index in self.to_deregister.items()
            if name not in machine_records or not self.election.leads(index)
        ]
        for name in settled:
            del self.to_deregister[name]

    def _on_written(self, status: int, failed_conditions: list[str]) -> None:
        self.write_open = False
        if status != 200:
            self.next_write_us = self.ctx.now_us + RETRY_PERIOD_US
