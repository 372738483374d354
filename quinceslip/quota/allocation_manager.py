"""Keeps the allocations of a controller's shards: calls its parts when something happens, and in turn.

Writes happen only when something is short: what a shard holds stays with it when its work has ended, so
the ordinary path makes no call. A shard that lacks something first takes from the pools (`pool_taking.py`). What these
lack it asks for in its want record (`shortfall_publishing.py`); holders answer with one transaction, and where they use
what was borrowed, have that stop first (`allocation_giving.py`). The demand goes through the key-value store, as its
answer must: where that cannot be reached nothing may start anyway, and links between controllers may be refused while
it can. `tree_updates.py` follows the operators' file.
"""

from typing import Any

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.controller.subsystem import Subsystem, SubsystemFactory
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m
from quinceslip.quota.allocation_giving import GIVE_INTERVAL_US, AllocationGiver
from quinceslip.quota.allocation_writer import AllocationWriter
from quinceslip.quota.allocations import Allocations
from quinceslip.quota.pool_taking import PoolTaker
from quinceslip.quota.quota_context import QuotaContext
from quinceslip.quota.quota_records import GRANT, TREE, WANT, GrantRecord, TreeRecord, WantRecord
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.shortfall_publishing import ShortfallPublisher
from quinceslip.quota.shortfalls import Shortfalls
from quinceslip.quota.status_page import build_page
from quinceslip.quota.tree import Tree
from quinceslip.quota.tree_updates import TreeUpdater


class AllocationManager(Subsystem):
    """The subsystem of a controller that keeps quotas."""

    kinds = {GRANT: GrantRecord, WANT: WantRecord, TREE: TreeRecord}
    questions = ("quota",)

    def __init__(self, tree: Tree, ctx: Context, election: LeaderElection, shards: dict[int, Shard]) -> None:
        self.tree = tree
        self.ctx = ctx
        self.election = election
        self.allocations = Allocations(tree, ctx.cache)
        self.shard_quotas: dict[int, ShardQuota] = {}
        self._writer = AllocationWriter(ctx, self.allocations, shards)
        quota = QuotaContext(tree, ctx, election, self.allocations, self._writer, self.shard_quotas)
        shortfalls = Shortfalls(tree, self.allocations)
        self._pool_taker = PoolTaker(quota, shortfalls)
        self._publisher = ShortfallPublisher(quota, shortfalls)
        self._giver = AllocationGiver(quota)
        self._tree_updater = TreeUpdater(quota)
        self._next_exchange_us = 0

    def shard_gained(self, shard: Shard) -> None:
        """A shard led here has quotas of its own."""
        self.shard_quotas[shard.index] = shard.quota = ShardQuota(self.tree, self.allocations, shard)

    def shard_lost(self, index: int) -> None:
        """What the shard holds stays with it, for its next leader."""
        self.shard_quotas.pop(index, None)

    def record_changed(self, kind: str, name: str) -> None:
        """One of the records of quotas changed in the cache."""
        if kind == GRANT:
            self.allocations.changed(name)
            self._writer.request_placement()
        elif kind == WANT:
            if self._giver.want_record_changed(int(name)):
                self._next_exchange_us = min(self._next_exchange_us, self.ctx.now_us)
        elif kind == TREE:
            self._tree_updater.tree_record_changed()

    def rejection_reason(self, spec: m.JobSpec) -> str | None:
        """The level whose cap a job can never fit, for the 422 of its user."""
        return self.tree.cap_rejection_reason(spec)

    def batch_ended(self) -> None:
        """Take from the pools what placement has found to be short."""
        self._pool_taker.take_for_all()

    def tick(self) -> None:
        """Exchange with other shards, and keep the records up with the tree."""
        now_us = self.ctx.now_us
        if now_us < self._next_exchange_us or not self.election.may_launch() or not self.ctx.cache.synced:
            return
        self._next_exchange_us = now_us + GIVE_INTERVAL_US
        self._tree_updater.write_tree_record()
        self._tree_updater.resolve_indeterminate_moves()
        self._tree_updater.refresh_records()
        for shard, shard_quota in self.shard_quotas.items():
            if shard_quota.usage_known():
                self._tree_updater.return_excess(shard, shard_quota)
                self._giver.give_to_others(shard, shard_quota)
                self._publisher.publish(shard, shard_quota)

    def answer(self, question: str, after: str) -> Any:
        """The page of levels that `/quota` shows."""
        return build_page(self.tree, self.allocations, self.shard_quotas, after, self._tree_updater.tree_conflict)


def attach(tree: Tree) -> SubsystemFactory:
    """What a controller needs to take the quotas in."""
    return lambda ctx, election, shards: AllocationManager(tree, ctx, election, shards)
