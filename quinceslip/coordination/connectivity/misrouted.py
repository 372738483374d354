"""Workers that report to this controller although another one leads their shard, and what peers say of the same.

Peers learn of them from the heartbeats between controllers. A network partition that takes the workers often takes the
peers with them, and leaves the key-value store. Heartbeats say nothing then, so a controller with misrouted workers
writes their number into a record as well. Whether it hears the leader does not matter: the leader may be heard by those
whom it does not hear.
"""

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import HEARTBEAT_TIMEOUT_US
from quinceslip.protocol import messages as m
from quinceslip.storage import records

#: fewer silent or misrouted workers than this may as well be at fault themselves
MIN_SILENT_WORKERS = 3
#: a misrouted worker counts for so long: it reports here once at least while it tries all controllers
COUNTED_US = 2 * HEARTBEAT_TIMEOUT_US
#: the record is written so often while there are any
WRITE_PERIOD_US = HEARTBEAT_TIMEOUT_US
#: the record of a peer counts for so long after its last change
RECORD_COUNTED_US = 2 * WRITE_PERIOD_US

_HeartbeatNumber = tuple[int, int]  # epoch of the agent, and number of the heartbeat within it


class MisroutedWorkers:
    """Counts the misrouted workers of each shard, and keeps this controller's record of them."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self._reported_us: dict[int, dict[str, int]] = {}  # by shard and worker
        self._latest_heartbeats: dict[str, _HeartbeatNumber] = {}
        self._peer_record_us: dict[str, int] = {}  # by label of the peer: when its record last changed
        self._write_pending = False
        self._next_write_us = 0

    def observe(self, shard: int, heartbeat: m.WorkerHeartbeat) -> bool:
        """A worker of another leader's shard reported here; returns False for a copy of an earlier heartbeat."""
        number = (heartbeat.epoch, heartbeat.seq)
        if number <= self._latest_heartbeats.get(heartbeat.worker, (0, 0)):
            return False
        self._forget_unregistered()
        self._latest_heartbeats[heartbeat.worker] = number
        self._reported_us.setdefault(shard, {})[heartbeat.worker] = self.ctx.now_us
        return True

    def _forget_unregistered(self) -> None:
        machine_records = self.ctx.cache.by_kind["roster"]
        if len(self._latest_heartbeats) > 2 * len(machine_records):
            self._latest_heartbeats = {
                worker: number for worker, number in self._latest_heartbeats.items() if worker in machine_records
            }

    def counts_by_shard(self) -> list[tuple[int, int]]:
        """Shard and number of its workers that reported here lately, without shards that have none."""
        since_us = self.ctx.now_us - COUNTED_US
        found = []
        for shard, reported_us in list(self._reported_us.items()):
            for worker in [worker for worker, at_us in reported_us.items() if at_us < since_us]:
                del reported_us[worker]
            if reported_us:
                found.append((shard, len(reported_us)))
            else:
                del self._reported_us[shard]
        return found

    def write_record(self) -> None:
        """Record the numbers of misrouted workers in the key-value store; delete the record once there are none."""
        if self._write_pending or self.ctx.now_us < self._next_write_us:
            return
        label = self.ctx.settings.label
        misrouted = [(shard, count) for shard, count in self.counts_by_shard() if count >= MIN_SILENT_WORKERS]
        if not misrouted and label not in self.ctx.cache.by_kind["stray"]:
            return
        self._write_pending = True
        self._next_write_us = self.ctx.now_us + WRITE_PERIOD_US

        def on_written(status: int, failed: list[str]) -> None:
            self._write_pending = False

        key = records.misrouted_key(label)
        # Conditional, so that a write that is applied late does not undo the deletion.
        conditions = {key: self.ctx.cache.mod_revision(key)}
        puts = {key: (records.MisroutedRecord(misrouted), None)} if misrouted else {}
        drops = [] if misrouted else [key]
        self.ctx.compare_and_swap(conditions, puts, drops, on_written, Urgency.LAUNCH)

    def peer_record_changed(self, label: str) -> None:
        """The record of a peer has changed in the cache."""
        self._peer_record_us[label] = self.ctx.now_us

    def count_recorded_by_peers(self, shard: int) -> int:
        """How many workers of a shard reported to peers lately, by their records and the clock of this controller."""
        since_us = self.ctx.now_us - RECORD_COUNTED_US
        total = 0
        for label, record in self.ctx.cache.by_kind["stray"].items():
            if label == self.ctx.settings.label or self._peer_record_us.get(label, 0) <= since_us:
                continue
            total += sum(count for misrouted_shard, count in record.misrouted if misrouted_shard == shard)
        return total
