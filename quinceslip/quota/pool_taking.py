"""Takes what a shard lacks from the pools of its allocations."""

from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.quota.amounts import amounts_of, positive_part
from quinceslip.quota.quota_context import QuotaContext
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.shortfalls import Shortfalls

#: a shard takes from the pools no more often than this
TAKE_INTERVAL_US = SECOND // 10
#: beyond what is lacking, this part of an equal share is taken at once
TAKE_AHEAD_DIVISOR = 2


class PoolTaker:
    """Takes from the pools for the shards that one controller leads."""

    def __init__(self, quota: QuotaContext, shortfalls: Shortfalls) -> None:
        self.quota = quota
        self.shortfalls = shortfalls
        self._next_take_us: dict[int, int] = {}

    def take_for_all(self) -> None:
        """Take for each shard that lacks something and whose last time is long enough ago."""
        now_us = self.quota.ctx.now_us
        for shard, shard_quota in self.quota.shard_quotas.items():
            if not shard_quota.unmet_demands and not shard_quota.demand:
                continue
            if now_us >= self._next_take_us.get(shard, 0) and shard_quota.usage_known():
                self._next_take_us[shard] = now_us + TAKE_INTERVAL_US
                self._take(shard, shard_quota)

    def _take(self, shard: int, shard_quota: ShardQuota) -> None:
        """Take what is short, and somewhat ahead, in one transaction."""
        if self.quota.allocations.tree_outdated:
            return  # an older tree may be wrong about what there is to take
        fencing = self.quota.election.fencing_condition(shard)
        shares = self.quota.ctx.settings.facts.size * TAKE_AHEAD_DIVISOR
        batch = self.quota.writer.new_batch()
        for allocation, shortfall in [
            *self.shortfalls.of_caps(shard, shard_quota).items(),
            *self.shortfalls.of_guarantees(shard, shard_quota).items(),
        ]:
            pairs = zip(shortfall, positive_part(allocation.pool()), strict=True)
            amounts = [max(lacking, pool // shares) if lacking else 0 for lacking, pool in pairs]
            batch.add(allocation, allocation.take_from_pool(shard, amounts_of(amounts), fencing))
            if batch.is_full:
                break
        self.quota.writer.send(batch, Urgency.LAUNCH)  # launches wait for it
