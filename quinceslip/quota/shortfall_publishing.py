"""Publishes what a shard lacks and the pools do not have, in its want record, for the shards that hold it."""

import msgspec

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.quota.allocation import Allocation
from quinceslip.quota.amounts import Amounts, add, elementwise_min, positive_part, subtract
from quinceslip.quota.quota_context import QuotaContext
from quinceslip.quota.quota_records import WANT, PublishedDemand, WantRecord, want_key
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.shortfalls import Shortfalls
from quinceslip.quota.unmet_demand import UnmetDemand

#: minimum interval between writes of a want record if only the amounts have changed
REPUBLISH_US = 2 * SECOND
#: unmet demands in one want record; the others follow when these are met
MAX_PUBLISHED_DEMANDS = 8


class ShortfallPublisher:
    """Keeps the want records of the shards that one controller leads."""

    def __init__(self, quota: QuotaContext, shortfalls: Shortfalls) -> None:
        self.quota = quota
        self.shortfalls = shortfalls
        #: by shard: when its want record was last written
        self._published_us: dict[int, int] = {}

    def publish(self, shard: int, shard_quota: ShardQuota) -> None:
        """Write what the shard lacks beyond the pools to its want record; delete it when nothing is lacking."""
        ctx = self.quota.ctx
        record = self._want_record(shard, shard_quota)
        known: WantRecord | None = ctx.cache.by_kind[WANT].get(str(shard))
        if record == known:
            return
        published_recently = ctx.now_us < self._published_us.get(shard, 0) + REPUBLISH_US
        if (
            published_recently
            and record is not None
            and known is not None
            and _requested_allocations(record) == _requested_allocations(known)
        ):
            return  # only the amounts differ: holders give up to half of what is idle in any case
        self._published_us[shard] = ctx.now_us
        key = want_key(shard)
        conditions = {**self.quota.election.fencing_condition(shard), key: ctx.cache.mod_revision(key)}
        self.quota.writer.write_record(key, conditions, record)

    def _want_record(self, shard: int, shard_quota: ShardQuota) -> WantRecord | None:
        demands = self._wanted_demands(shard, shard_quota)
        guarantees = self._wanted_guarantees(shard, shard_quota)
        if not demands and not guarantees:
            return None
        record = WantRecord(demands, guarantees)
        max_bytes = self.quota.ctx.limits.value_kb * 1000
        # Bound: the demands; each iteration drops one.
        while record.demands and len(msgspec.json.encode(record)) > max_bytes:
            record.demands.pop()  # happens with deep trees and long names; the rest follows when these are met
        return record

    def _wanted_demands(self, shard: int, shard_quota: ShardQuota) -> list[PublishedDemand]:
        demands = sorted(shard_quota.unmet_demands.values(), key=lambda demand: demand.order)
        wanted = [self._wanted(shard, shard_quota, demand) for demand in demands]
        return [entry for entry in wanted if entry is not None][:MAX_PUBLISHED_DEMANDS]

    def _wanted(self, shard: int, shard_quota: ShardQuota, demand: UnmetDemand) -> PublishedDemand | None:
        """The entry of an unmet demand in the want record; None if the pools have all that it lacks."""
        shortfall: dict[str, list[int]] = {}
        for level in self.quota.tree.capped_levels[demand.team]:
            allocation = self.quota.allocations.for_cap(level)
            needed = add(shard_quota.net_usage(level), demand.need)
            lacking = positive_part(subtract(needed, allocation.limit(shard)))
            beyond_pool = _beyond_pool(shard, allocation, lacking)
            if any(beyond_pool):
                shortfall[allocation.key] = list(beyond_pool)
        if not shortfall:
            return None
        covering = shard_quota.guarantees_covering(demand.spec, demand.count)
        names = sorted(self.quota.tree.levels[level].name for level in covering)
        return PublishedDemand(demand.team, list(demand.unit), shortfall, demand.order, names)

    def _wanted_guarantees(self, shard: int, shard_quota: ShardQuota) -> dict[str, list[int]]:
        wanted: dict[str, list[int]] = {}
        for allocation, lacking in self.shortfalls.of_guarantees(shard, shard_quota).items():
            beyond_pool = _beyond_pool(shard, allocation, lacking)
            if any(beyond_pool):
                wanted[allocation.key] = list(beyond_pool)
        return dict(list(wanted.items())[:MAX_PUBLISHED_DEMANDS])


def _beyond_pool(shard: int, allocation: Allocation, lacking: Amounts) -> Amounts:
    """The part of a shortfall that only other shards can meet."""
    pool = positive_part(allocation.pool())
    held_by_others = positive_part(subtract(subtract(allocation.total_in_force(), pool), allocation.held(shard)))
    return elementwise_min(positive_part(subtract(lacking, pool)), held_by_others)


def _requested_allocations(record: WantRecord) -> list[tuple[str, list[str]]]:
    """The teams with demands in a record, and the allocations that each lacks."""
    return [(wanted.team, sorted(wanted.shortfall)) for wanted in record.demands]
