"""Takes what a shard lacks from the pools of its allocations."""

from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.quota.amounts import amounts_of, positive_part
from quinceslip.quota.quota_context import QuotaContext
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.shortfalls import Shortfalls

#: minimum interval between two takings of one shard
TAKE_INTERVAL_US = SECOND // 10
#: a shard takes at least an equal share of the pool divided by this, even if it lacks less
TAKE_AHEAD_DIVISOR = 2


class PoolTaker:
    """Takes from the pools for the shards that one controller leads."""

    def __init__(self, quota: QuotaContext, shortfalls: Shortfalls) -> None:
        self.quota = quota
        self.shortfalls = shortfalls
        self._next_take_us: dict[int, int] = {}

    def take_for_all_shards(self) -> None:
        """Take for each shard that lacks something and has not taken too recently."""
        now_us = self.quota.ctx.now_us
        for shard, shard_quota in self.quota.shard_quotas.items():
            if not shard_quota.unmet_demands and not shard_quota.demand:
                continue
            if now_us >= self._next_take_us.get(shard, 0) and shard_quota.usage_known():
                self._next_take_us[shard] = now_us + TAKE_INTERVAL_US
                self._take(shard, shard_quota)

    def _take(self, shard: int, shard_quota: ShardQuota) -> None:
        """Take what is lacking, and some more in advance, in one transaction."""
        if self.quota.allocations.tree_outdated:
            return  # the pools of an outdated tree may be wrong
        fencing = self.quota.election.fencing_condition(shard)
        advance_divisor = self.quota.ctx.settings.facts.size * TAKE_AHEAD_DIVISOR
        batch = self.quota.writer.new_batch()
        for allocation, shortfall in [
            *self.shortfalls.of_caps(shard, shard_quota).items(),
            *self.shortfalls.of_guarantees(shard, shard_quota).items(),
        ]:
            pairs = zip(shortfall, positive_part(allocation.pool()), strict=True)
            amounts = [max(lacking, pool // advance_divisor) if lacking else 0 for lacking, pool in pairs]
            batch.add(allocation, allocation.take_from_pool(shard, amounts_of(amounts), fencing))
            if batch.is_full:
                break
        self.quota.writer.send(batch, Urgency.LAUNCH)  # launches wait for this write
