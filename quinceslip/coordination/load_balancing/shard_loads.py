"""The load of every shard, from this controller's own state, peers' heartbeats and load records."""

from dataclasses import dataclass, field

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.load_balancing import mmm_queue
from quinceslip.coordination.load_balancing.peers import Peers
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import frames
from quinceslip.storage import records
from quinceslip.storage.records import RecordKind

#: more waiting tasks than this count as this many, which is what a peer's heartbeat can tell
MAX_WAITING_TASKS = 2**32 - 1


@dataclass(slots=True)
class ShardLoads:
    """Loads by shard. Free slots are taken only from a shard's leader, not from its load record."""

    stations: dict[int, mmm_queue.Station] = field(default_factory=dict)
    waiting_tasks: dict[int, int] = field(default_factory=dict)
    free_slots: dict[int, int] = field(default_factory=dict)


class ShardLoadCollector:
    """Collects the loads of all shards."""

    def __init__(self, ctx: Context, election: LeaderElection, shards: dict[int, Shard], peers: Peers) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.peers = peers

    def own_loads(self) -> list[frames.ShardLoad]:
        """The loads of the shards that this controller leads, for its heartbeat."""
        return [_own_load(shard) for shard in self.shards.values()]

    def collect(self) -> ShardLoads:
        """Collect the loads of all shards from the freshest source: own state, else heartbeats, else load records."""
        loads = ShardLoads()
        for name, record in self.ctx.cache.by_kind[RecordKind.LOAD].items():
            if name.isdecimal():
                self._add_reported(loads, int(name), record)
        for load in self.peers.loads():
            if self._add_reported(loads, load.shard, load):
                loads.free_slots[load.shard] = load.free_slots
        for shard in self.shards.values():
            slots, rate = shard.queueing_station()
            loads.stations[shard.index] = mmm_queue.Station(slots, rate)
            loads.waiting_tasks[shard.index] = shard.waiting_tasks()
            loads.free_slots[shard.index] = shard.free_slots()
        return loads

    def _add_reported(self, loads: ShardLoads, shard: int, reported: records.LoadRecord | frames.ShardLoad) -> bool:
        """Add the reported load of a shard, and return whether it is plausible.

        An implausible load counts as that of a shard without machines.
        """
        if not 0 <= shard < self.election.shard_count:
            return False
        station = mmm_queue.Station(reported.slots, reported.rate)
        plausible = reported.slots == 0 or mmm_queue.is_plausible(station)
        loads.stations[shard] = station if plausible else mmm_queue.EMPTY_STATION
        loads.waiting_tasks[shard] = min(max(0, reported.waiting), MAX_WAITING_TASKS) if plausible else 0
        return plausible


def _own_load(shard: Shard) -> frames.ShardLoad:
    slots, rate = shard.queueing_station()
    return frames.ShardLoad(
        shard.index,
        shard.waiting_tasks(),
        slots,
        shard.free_slots(),
        rate,
        shard.available_service_cpus(),
        shard.quick_service_cpus(),
    )
