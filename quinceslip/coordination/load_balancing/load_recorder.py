"""Load records: the load of each shard, written by its leader for the queueing model of every controller."""

from typing import NamedTuple

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m
from quinceslip.storage import records
from quinceslip.storage.records import RecordKind

#: window over which the mean arrival rate is computed
ARRIVAL_WINDOW_US = 60 * SECOND
#: shortest window, for a controller that started recently
MIN_ARRIVAL_WINDOW_S = 5.0


class Arrival(NamedTuple):
    """Tasks of one job, which arrived together."""

    at_us: int
    tasks: int


class LoadWrite(NamedTuple):
    """A load record to write, and the revisions on which the write is conditional."""

    key: str
    record: records.LoadRecord
    conditions: dict[str, int]


class LoadRecorder:
    """Measures the arrival rate and writes the load records of the shards that this controller leads."""

    def __init__(self, ctx: Context, election: LeaderElection, shards: dict[int, Shard]) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.recent_arrivals: list[Arrival] = []

    def tasks_arrived(self, spec: m.JobSpec) -> None:
        """Count the tasks of a job as arrivals in the model.

        Services never finish, so they count neither as arrivals nor in m and u.
        """
        if not spec.service:
            self.recent_arrivals.append(Arrival(self.ctx.now_us, spec.tasks))

    def write(self) -> None:
        """Write the records that changed, in batches of as many as a transaction allows."""
        if not self.election.may_launch():
            return
        arrival_rate = self._arrival_rate()
        writes = [write for shard in self.shards.values() if (write := self._changed_record(shard, arrival_rate))]
        batch_size = self.ctx.limits.txn_ops
        for start in range(0, len(writes), batch_size):
            self._write_batch(writes[start : start + batch_size])

    def _arrival_rate(self) -> float:
        """Return the recent mean rate of tasks per second that arrive at this controller."""
        now_us = self.ctx.now_us
        self.recent_arrivals = [a for a in self.recent_arrivals if now_us - a.at_us < ARRIVAL_WINDOW_US]
        window_us = min(ARRIVAL_WINDOW_US, now_us - self.ctx.started_us)
        window_s = max(MIN_ARRIVAL_WINDOW_S, window_us / SECOND)
        return sum(a.tasks for a in self.recent_arrivals) / window_s

    def _changed_record(self, shard: Shard, arrival_rate: float) -> LoadWrite | None:
        """Return the write of a shard's load record; None if the stored record is the same already."""
        slots, rate = shard.queueing_station()
        # All arrivals at this controller are attributed to its home shard.
        arrivals = arrival_rate if shard.index == self.election.home else 0.0
        record = records.LoadRecord(shard.waiting_tasks(), slots, rate, arrivals, shard.free_slots())
        if self.ctx.cache.by_kind[RecordKind.LOAD].get(str(shard.index)) == record:
            return None
        key = records.load_key(shard.index)
        # Conditional on the record that it replaces, so that a delayed write does not overwrite a newer one.
        conditions = {**self.election.fencing_condition(shard.index), key: self.ctx.cache.mod_revision(key)}
        return LoadWrite(key, record, conditions)

    def _write_batch(self, batch: list[LoadWrite]) -> None:
        conditions: dict[str, int] = {}
        for write in batch:
            conditions.update(write.conditions)
        puts = {write.key: (write.record, None) for write in batch}
        # The result is ignored: the next period writes what still differs.
        self.ctx.compare_and_swap(conditions, puts, [], lambda status, failed: None)
