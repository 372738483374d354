"""Zones of a service that was split between shards, given to the part that can use them.

The zones of the parts never overlap, so that each shard can keep to `spread` by counting its own tasks. A part that has
lost its machines may have machines in zones that belong to another part and are of no use there: the leader of that
part gives them up. Only the holder of a zone can do this, as it alone knows that none of its tasks can run there.
"""

from collections.abc import Iterator

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.load_balancing.peers import Peers
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.protocol import frames
from quinceslip.storage import task_sets

#: shortest time between two releases of zones of one service by one shard
MIN_RELEASE_INTERVAL_US = 10 * SECOND


class ZoneReleaser:
    """Gives up zones of the shards that this controller leads."""

    def __init__(self, ctx: Context, shards: dict[int, Shard], peers: Peers) -> None:
        self.ctx = ctx
        self.shards = shards
        self.peers = peers

    def release_from(self, shard: Shard) -> None:
        """Give zones that parts of services here do not use to other parts whose shards wait and have room there."""
        for partition in shard.partitions.values():
            if not partition.zones or not partition.spec.service:
                continue
            last_us = shard.last_release_us.get(partition.job_id)
            if last_us is None or self.ctx.now_us >= last_us + MIN_RELEASE_INTERVAL_US:
                self._release(shard, partition)

    def _release(self, shard: Shard, partition: JobPartition) -> None:
        unused = shard.persistence.releasable_zones(partition)
        if not unused:
            return
        for target in self._unfinished_parts_elsewhere(shard, partition):
            zones = unused & self._zones_wanted(target, partition)
            if zones:
                shard.last_release_us[partition.job_id] = self.ctx.now_us
                shard.persistence.release_zones(partition, zones, target)
                return

    def _unfinished_parts_elsewhere(self, shard: Shard, partition: JobPartition) -> Iterator[int]:
        """Yield the other shards that have unfinished tasks of the service in zones of their own."""
        for index, record in self.ctx.cache.partitions(partition.job_id).items():
            is_other_part = index != shard.index and record.zones
            if is_other_part and task_sets.decode(record.assigned) - task_sets.decode(record.done):
                yield index

    def _zones_wanted(self, target: int, partition: JobPartition) -> set[str]:
        """Return the zones where a shard in which tasks wait has room for one of the service."""
        load = self._load(target)
        if load is None or not load.waiting:
            return set()
        rooms = zip(self.ctx.settings.facts.zones, load.service_cpus, strict=False)
        return {zone for zone, room in rooms if room >= partition.spec.cpus}

    def _load(self, index: int) -> frames.ShardLoad | None:
        """Return the load of a shard: its own state if it is led here, else what its leader reported last."""
        own = self.shards.get(index)
        if own is not None:
            return frames.ShardLoad(index, own.waiting_tasks(), 0, 0, 0.0, own.available_service_cpus())
        return next((load for load in self.peers.loads() if load.shard == index), None)
