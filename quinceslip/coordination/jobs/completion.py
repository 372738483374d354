"""Job completion: a job's record becomes final once all its tasks are recorded as done."""

from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.jobs.fenced_write import FencedWriter
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.protocol import messages as m
from quinceslip.storage import records
from quinceslip.storage.records import JobRecord


class JobCompletion:
    """Finishes the jobs whose home shard this is."""

    def __init__(self, state: ShardState, writer: FencedWriter) -> None:
        self.state = state
        self.ctx = state.ctx
        self.writer = writer

    def finish_if_complete(self, job_id: str) -> None:
        """Finish a job with several partitions once all of them are done; only its home shard does this."""
        job, partition = self.ctx.cache.job(job_id), self.state.partitions.get(job_id)
        if (
            job is None
            or partition is None
            or not job.other_shards
            or job.shard != self.state.index
            or partition.writing
        ):
            return
        if len(partition.done) < len(partition.assigned):
            return
        done_count = self.ctx.cache.done_count(job_id)
        if done_count == job.tasks:
            self.finish(partition, job, done_count)

    def finish(self, partition: JobPartition, job: JobRecord, done_count: int) -> None:
        """Write the final record of a job, provided that its record and those of its partitions are unchanged."""
        cache, job_id = self.ctx.cache, partition.job_id
        job_key = records.job_key(job_id)
        partition_keys = [records.partition_key(shard, job_id) for shard in job.other_shards]
        mod_revisions = {key: cache.mod_revision(key) for key in [job_key, *partition_keys]}
        existing = [key for key in partition_keys if cache.mod_revision(key)]
        final = records.final_record(job, m.DONE, done_count, self.ctx.wall_us)
        # Nothing reads the partitions of a finished job, so those that do not fit into the transaction go later.
        max_deletions = self.ctx.limits.txn_ops - 1
        self.writer.write(
            partition,
            job_key,
            final,
            Urgency.USER,
            mod_revisions,
            existing[:max_deletions],
            existing[max_deletions:],
        )
