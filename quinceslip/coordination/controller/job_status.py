"""The status of a job as users see it, from cached records and the shards that this controller leads."""

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m
from quinceslip.storage import records


class JobStatusReader:
    """Reads the status of jobs. Without a read barrier, only a final status is certain."""

    def __init__(self, ctx: Context, shards: dict[int, Shard]) -> None:
        self.ctx = ctx
        self.shards = shards

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
        running = sum(attempt.state == m.RUNNING for p in partitions for attempt in p.attempts.values())
        state = m.RUNNING if running else m.QUEUED
        done = self.ctx.cache.done_count(job_id)
        reason = next((p.crash_loop.reason() for p in partitions if p.crash_loop.suspected), None)
        return m.job_answer(job_id, state, done, running, reason)
