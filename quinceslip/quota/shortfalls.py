"""Computes how much more of each allocation a shard needs for its running and waiting tasks."""

from quinceslip.quota.allocation import Allocation
from quinceslip.quota.allocations import Allocations
from quinceslip.quota.amounts import ZERO, Amounts, add, elementwise_min, positive_part, subtract
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.tree import Tree


class Shortfalls:
    """Computes the current shortfalls of the shards that one controller leads."""

    def __init__(self, tree: Tree, allocations: Allocations) -> None:
        self.tree = tree
        self.allocations = allocations
        self._guaranteed_levels = {level.index for level in tree.levels if level.guaranteed}

    def of_caps(self, shard: int, shard_quota: ShardQuota) -> dict[Allocation, Amounts]:
        """By cap allocation: what the shard lacks for its unmet demands."""
        wanted: dict[int, Amounts] = {}
        for demand in sorted(shard_quota.unmet_demands.values(), key=lambda demand: demand.order):
            for level in reversed(self.tree.capped_levels[demand.team]):
                wanted[level] = add(wanted.get(level, shard_quota.net_usage(level)), demand.need)
        shortfalls = {}
        for level, amounts in wanted.items():
            allocation = self.allocations.for_cap(level)
            attainable = elementwise_min(amounts, allocation.total_in_force())
            shortfalls[allocation] = positive_part(subtract(attainable, allocation.limit(shard)))
        return shortfalls

    def of_guarantees(self, shard: int, shard_quota: ShardQuota) -> dict[Allocation, Amounts]:
        """By guarantee allocation: how much more of it could cover the shard's running and waiting tasks.

        Unless other teams run tasks in the shard or a demand is unmet, no guarantee is needed and none is moved.
        """
        shortfalls = {}
        for level in sorted(self._guaranteed_levels & (shard_quota.usage.keys() | shard_quota.demand.keys())):
            used_by_others = any(level not in self.tree.path(team) for team in shard_quota.attempts_by_team)
            if not shard_quota.unmet_demands and not used_by_others:
                continue
            allocation = self.allocations.for_guarantee(level)
            attainable = elementwise_min(usage_and_demand(shard_quota, level), allocation.total_in_force())
            lacking = positive_part(subtract(attainable, allocation.limit(shard)))
            if any(lacking):
                shortfalls[allocation] = lacking
        return shortfalls


def usage_and_demand(shard_quota: ShardQuota, level: int) -> Amounts:
    """What the running and waiting tasks beneath a level with a guarantee need together."""
    return add(shard_quota.net_usage(level), shard_quota.demand.get(level, ZERO))
