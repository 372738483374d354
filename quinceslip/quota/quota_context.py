"""The state that the parts of the allocation manager share."""

from dataclasses import dataclass

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.quota.allocation_writer import AllocationWriter
from quinceslip.quota.allocations import Allocations
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.tree import Tree


@dataclass(frozen=True, slots=True)
class QuotaContext:
    """The tree, the allocations and the shards of one controller."""

    tree: Tree
    ctx: Context
    election: LeaderElection
    allocations: Allocations
    writer: AllocationWriter
    #: by shard index: the quotas of the shards that this controller leads
    shard_quotas: dict[int, ShardQuota]
