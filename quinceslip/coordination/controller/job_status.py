"""The status of a job as users see it, from cached records and the shards that this controller leads."""

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.protocol import messages as m
from quinceslip.storage import records


class JobStatusReader:
    """Reads the status of jobs. Without a read barrier, only a final status is certain."""

    def __init__(self, ctx: Context, shards: dict[int, Shard]) -> None:
        self.ctx = ctx
        self.shards = shards
        self._running: dict[str, int] = {}  # running tasks by job, as counted at `_counted_us`
        self._counted_us = -1

    def is_final(self, job_id: str, job: records.JobRecord) -> bool:
        """Whether a job's state is final, by its own record or because a job that it depends on was cancelled."""
        return records.is_final(job) or self.ctx.graph.is_cancelled(job_id)

    def answer(self, job_id: str, job: records.JobRecord) -> dict[str, object]:
        """Return the body of the answer to a poll."""
        if records.is_final(job):
            return m.job_answer(job_id, job.state, job.done, 0)
        if self.ctx.graph.is_cancelled(job_id):
            return m.job_answer(job_id, m.CANCELLED, 0, 0)
        partitions = [shard.partitions[job_id] for shard in self.shards.values() if job_id in shard.partitions]
        running = self._count_running(job_id, partitions)
        state = m.RUNNING if running else m.QUEUED
        done = self.ctx.cache.done_count(job_id)
        reason = next((p.crash_loop.reason() for p in partitions if p.crash_loop.suspected), None)
        return m.job_answer(job_id, state, done, running, reason)

    def _count_running(self, job_id: str, partitions: list[JobPartition]) -> int:
        """Return how many tasks of a job run here; counted once for all users who get an answer at the same time."""
        if self._counted_us != self.ctx.now_us:
            self._running, self._counted_us = {}, self.ctx.now_us
        if job_id not in self._running:
            self._running[job_id] = sum(
                attempt.state == m.RUNNING for partition in partitions for attempt in partition.attempts.values()
            )
        return self._running[job_id]
