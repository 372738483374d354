"""Moves of services that do not fit in their shard to shards where lower priorities can make room for them."""

import math

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.load_balancing.peers import Peers
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.protocol import frames
from quinceslip.protocol import messages as m

#: shortest time between two moves of a service that still does not fit
MIN_MOVE_INTERVAL_US = 10 * SECOND
#: least CPUs that a task counts with, so that the number of tasks that fit is finite
MIN_TASK_CPUS = 0.01


class ServiceMover:
    """Moves services out of the shards that this controller leads."""

    def __init__(self, ctx: Context, election: LeaderElection, shards: dict[int, Shard], peers: Peers) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.peers = peers

    def move_from(self, shard: Shard) -> None:
        """Move the services of one shard that wait for room."""
        loads = self._other_loads(shard.index)
        for partition in shard.waiting_in_order():
            if self._may_move(shard, partition):
                self._move(shard, partition, loads)

    def _other_loads(self, source: int) -> list[frames.ShardLoad]:
        """Return the loads of all other shards; only the room for services of those that this controller leads."""
        loads = {load.shard: load for load in self.peers.loads()}
        for shard in self.shards.values():
            loads[shard.index] = frames.ShardLoad(shard.index, 0, 0, 0, 0.0, shard.available_service_cpus())
        loads.pop(source, None)
        return list(loads.values())

    def _may_move(self, shard: Shard, partition: JobPartition) -> bool:
        """Whether this is a service that waits for room and was not moved recently."""
        if not partition.spec.service or not partition.pending or partition.on_hold:
            return False
        return self.ctx.now_us >= shard.last_move_us.get(partition.job_id, 0) + MIN_MOVE_INTERVAL_US

    def _move(self, shard: Shard, partition: JobPartition, loads: list[frames.ShardLoad]) -> None:
        """Move the waiting tasks of a service to the shard with the most room, if one has enough."""
        allowed_zones = partition.zones or set(self.ctx.settings.facts.zones)
        split = None
        if not shard.persistence.movable_tasks(partition):
            split = shard.persistence.split_zones(partition)
            if split is None:
                return
            _, allowed_zones = split
        target = self._best_target(partition, allowed_zones, loads)
        if target is None:
            return
        # Count the room that the target reported as used until its next heartbeat.
        needed_cpus = math.ceil(partition.spec.cpus * len(partition.pending))
        target.service_cpus = [max(0, room - needed_cpus) for room in target.service_cpus]
        shard.last_move_us[partition.job_id] = self.ctx.now_us
        shard.persistence.move(partition, sorted(partition.pending), target.shard, split)

    def _best_target(
        self, partition: JobPartition, allowed_zones: set[str], loads: list[frames.ShardLoad]
    ) -> frames.ShardLoad | None:
        """Return the led shard with the most room in the allowed zones that can hold all waiting tasks."""
        spec = partition.spec
        waiting = len(partition.pending)
        max_per_zone = (spec.tasks + 1) // 2 if spec.spread else waiting
        best: frames.ShardLoad | None = None
        best_room = 0
        for load in loads:
            zone_rooms = self._allowed_zone_rooms(spec, allowed_zones, load)
            fitting_tasks = sum(min(max_per_zone, int(room // max(spec.cpus, MIN_TASK_CPUS))) for room in zone_rooms)
            if fitting_tasks < waiting or not self.election.leader(load.shard):
                continue
            if best is None or sum(zone_rooms) > best_room:
                best, best_room = load, sum(zone_rooms)
        return best

    def _allowed_zone_rooms(self, spec: m.JobSpec, allowed_zones: set[str], load: frames.ShardLoad) -> list[int]:
        """Return the CPUs that services could use in each zone where this one may run."""
        rooms_by_zone = zip(self.ctx.settings.facts.zones, load.service_cpus, strict=False)
        return [room for zone, room in rooms_by_zone if zone in allowed_zones and spec.zone in (None, zone)]
