"""Manages the allocations of the shards that a controller leads: passes events to its parts, and runs them regularly.

Writes happen only when a shard lacks quota: it keeps what it holds when its work has ended, so the common path makes
no call. A shard that lacks quota first takes from the pools (`pool_taking.py`). What the pools do not have, it asks for
in its want record (`shortfall_publishing.py`). Holders answer with one transaction, and preempt borrowed usage first if
that takes up what is wanted (`allocation_giving.py`). Demands go through the key-value store, as the answers must:
while the store is unreachable nothing may start anyway, and it may be reachable while links between controllers are
refused. `tree_updates.py` follows the operators' file.
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
from quinceslip.quota.quota_records import GRANT, TREE, WANT, GrantRecord, TreeRecord, WantRecord, shard_of_want_record
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.shortfall_publishing import ShortfallPublisher
from quinceslip.quota.shortfalls import Shortfalls
from quinceslip.quota.status_page import build_page
from quinceslip.quota.tree import Tree
from quinceslip.quota.tree_updates import TreeUpdater


class AllocationManager(Subsystem):
    """The subsystem of a controller that enforces quotas."""

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
        """Create the quotas of a shard that this controller leads now."""
        self.shard_quotas[shard.index] = shard.quota = ShardQuota(self.tree, self.allocations, shard)

    def shard_lost(self, index: int) -> None:
        """Drop the quotas of a shard; what it holds stays with it, for its next leader."""
        self.shard_quotas.pop(index, None)

    def record_changed(self, kind: str, name: str) -> None:
        """Pass a change of a quota record in the cache to the part that follows this kind."""
        if kind == GRANT:
            self.allocations.grant_record_changed(name)
            self._writer.request_placement()
        elif kind == WANT:
            shard = shard_of_want_record(name)
            if shard is not None and self._giver.want_record_changed(shard):
                self._next_exchange_us = min(self._next_exchange_us, self.ctx.now_us)
        elif kind == TREE:
            self._tree_updater.tree_record_changed()

    def rejection_reason(self, spec: m.JobSpec) -> str | None:
        """Name the level whose cap a job can never fit, for the 422 answer to the user; None if there is none."""
        return self.tree.cap_rejection_reason(spec)

    def batch_ended(self) -> None:
        """Take from the pools what placement has found to be lacking."""
        self._pool_taker.take_for_all_shards()

    def tick(self) -> None:
        """Exchange quota with other shards, and update the records to the tree."""
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
        """The page of levels that `/quota` returns."""
        return build_page(self.tree, self.allocations, self.shard_quotas, after, self._tree_updater.tree_conflict)


def attach(tree: Tree) -> SubsystemFactory:
    """The factory that adds the quota subsystem to a controller."""
    return lambda ctx, election, shards: AllocationManager(tree, ctx, election, shards)
