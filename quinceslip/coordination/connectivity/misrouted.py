"""Counts of workers that report to this controller although another one leads their shard, and the counts of peers.

Peers learn the counts from the heartbeats between controllers. A network partition that separates a leader from its
workers often separates it from its peers as well, but not from the key-value store. Heartbeats do not reach it then,
so a controller with misrouted workers also writes their number to a record. It does so even while it hears the leader:
a partition may be one-way, so that the leader is heard by controllers that it cannot hear itself.
"""

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import HEARTBEAT_TIMEOUT_US
from quinceslip.protocol import messages as m
from quinceslip.storage import records
from quinceslip.storage.records import RecordKind

#: with fewer silent or misrouted workers than this, the fault may be their own
MIN_SILENT_WORKERS = 3
#: a misrouted worker counts for this long: while it tries all controllers, it reports here at least once in that time
REPORT_MAX_AGE_US = 2 * HEARTBEAT_TIMEOUT_US
#: interval between writes of the record while there are misrouted workers
WRITE_PERIOD_US = HEARTBEAT_TIMEOUT_US
#: the record of a peer counts for this long after its last change
RECORD_MAX_AGE_US = 2 * WRITE_PERIOD_US

_HeartbeatNumber = tuple[int, int]  # epoch of the agent, and sequence number of the heartbeat in it


class MisroutedWorkers:
    """Counts the misrouted workers of each shard, and keeps this controller's record of them."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self._last_report_us: dict[int, dict[str, int]] = {}  # by shard and worker: when it last reported here
        self._latest_heartbeats: dict[str, _HeartbeatNumber] = {}
        self._peer_record_changed_us: dict[str, int] = {}  # by label of the peer: when its record last changed
        self._write_pending = False
        self._next_write_us = 0

    def observe(self, shard: int, heartbeat: m.WorkerHeartbeat) -> bool:
        """Record that a worker of another leader's shard reported here; False for a copy of an earlier heartbeat."""
        number = (heartbeat.epoch, heartbeat.seq)
        if number <= self._latest_heartbeats.get(heartbeat.worker, (0, 0)):
            return False
        self._forget_unregistered()
        self._latest_heartbeats[heartbeat.worker] = number
        self._last_report_us.setdefault(shard, {})[heartbeat.worker] = self.ctx.now_us
        return True

    def _forget_unregistered(self) -> None:
        machine_records = self.ctx.cache.by_kind[RecordKind.MACHINE]
        if len(self._latest_heartbeats) > 2 * len(machine_records):
            self._latest_heartbeats = {
                worker: number for worker, number in self._latest_heartbeats.items() if worker in machine_records
            }

    def counts_by_shard(self) -> list[tuple[int, int]]:
        """Each shard with misrouted workers, and the number of them that reported here recently."""
        since_us = self.ctx.now_us - REPORT_MAX_AGE_US
        shard_counts = []
        for shard, reported_us in list(self._last_report_us.items()):
            for worker in [worker for worker, at_us in reported_us.items() if at_us < since_us]:
                del reported_us[worker]
            if reported_us:
                shard_counts.append((shard, len(reported_us)))
            else:
                del self._last_report_us[shard]
        return shard_counts

    def write_record(self) -> None:
        """Write the counts of misrouted workers to the key-value store; delete the record once there are none."""
        if self._write_pending or self.ctx.now_us < self._next_write_us:
            return
        label = self.ctx.settings.label
        misrouted = [(shard, count) for shard, count in self.counts_by_shard() if count >= MIN_SILENT_WORKERS]
        if not misrouted and label not in self.ctx.cache.by_kind[RecordKind.MISROUTED]:
            return
        self._write_pending = True
        self._next_write_us = self.ctx.now_us + WRITE_PERIOD_US

        def on_written(status: int, failed: list[str]) -> None:
            self._write_pending = False

        key = records.misrouted_key(label)
        # Conditional, so that a delayed write does not undo the deletion.
        conditions = {key: self.ctx.cache.mod_revision(key)}
        puts = {key: (records.MisroutedRecord(misrouted), None)} if misrouted else {}
        deletes = [] if misrouted else [key]
        self.ctx.compare_and_swap(conditions, puts, deletes, on_written, Urgency.LAUNCH)

    def peer_record_changed(self, label: str) -> None:
        """Note that the record of a peer has changed in the cache."""
        self._peer_record_changed_us[label] = self.ctx.now_us

    def count_recorded_by_peers(self, shard: int) -> int:
        """Number of workers of a shard that reported to peers recently, by the peers' records and our own clock."""
        since_us = self.ctx.now_us - RECORD_MAX_AGE_US
        total = 0
        for label, record in self.ctx.cache.by_kind[RecordKind.MISROUTED].items():
            if label == self.ctx.settings.label or self._peer_record_changed_us.get(label, 0) <= since_us:
                continue
            total += sum(count for misrouted_shard, count in record.misrouted if misrouted_shard == shard)
        return total
