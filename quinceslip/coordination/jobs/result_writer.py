"""Records which tasks of a shard's partitions are done, within the write budget."""

import msgspec

from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.jobs.completion import JobCompletion
from quinceslip.coordination.jobs.fenced_write import RETRY_US, FencedWriter
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.protocol import messages as m
from quinceslip.storage import task_sets
from quinceslip.storage.records import JobRecord, PartitionRecord

#: shortest pause between writes of results that do not complete a partition, so that one write holds several
MIN_RESULT_PAUSE_US = SECOND
#: pause before a complete partition checks again whether its whole job is done
COMPLETION_CHECK_US = SECOND
#: fraction of this controller's write budget that such results may use
RESULT_WRITE_FRACTION = 0.25
#: numbers of tasks in the sets that are encoded in one turn of the actor; the other partitions follow in the next turn
MAX_ENCODED_TASKS_PER_TURN = 3 * m.MAX_TASKS


class ResultWriter:
    """Writes the results of finished tasks, one write at a time for each partition.

    A result that completes a partition is written at once, since a user waits for it. Other results stay on their
    workers and are lost only together with these, so they are written as rarely as the write budget requires.
    """

    def __init__(self, state: ShardState, writer: FencedWriter, completion: JobCompletion) -> None:
        self.state = state
        self.ctx = state.ctx
        self.writer = writer
        self.completion = completion
        #: jobs whose partitions may have something to record
        self.dirty_jobs: set[str] = set()
        self._encoded_tasks = 0  # in this turn
        self.writes_per_s = RESULT_WRITE_FRACTION * self.ctx.limits.write_rps / self.ctx.settings.facts.size

    def mark_dirty(self, job_id: str) -> None:
        """Check a job's partition at the next `write_due`."""
        self.dirty_jobs.add(job_id)

    def clear_dirty(self, job_id: str) -> None:
        """Note that a job's partition has nothing to record."""
        self.dirty_jobs.discard(job_id)

    def write_due(self) -> None:
        """Record the results of dirty partitions that are due."""
        partitions = self._dirty_partitions()
        pause_us = self._result_pause_us(partitions)
        self._encoded_tasks = 0
        for partition in partitions:
            if self._encoded_tasks >= MAX_ENCODED_TASKS_PER_TURN:
                return
            if not partition.writing and self.ctx.now_us >= partition.next_write_us:
                self._write_if_due(partition, pause_us)

    def _dirty_partitions(self) -> list[JobPartition]:
        found = (self.state.partitions.get(job_id) for job_id in sorted(self.dirty_jobs))
        return [partition for partition in found if partition is not None]

    def _result_pause_us(self, partitions: list[JobPartition]) -> int:
        """Return the pause between two writes of one partition that keeps all writes within the budget."""
        with_results = sum(1 for partition in partitions if partition.unrecorded_done)
        return max(MIN_RESULT_PAUSE_US, micros(with_results / self.writes_per_s))

    def _write_if_due(self, partition: JobPartition, pause_us: int) -> None:
        now_us = self.ctx.now_us
        complete = len(partition.done) + len(partition.unrecorded_done) >= len(partition.assigned)
        if partition.unrecorded_done and (complete or now_us >= partition.next_result_us):
            self._write(partition, pause_us, complete)
        elif partition.indeterminate and not partition.moving:
            # Writing the same record under a new revision resolves a move of unknown outcome.
            self._write(partition, pause_us, False)
        elif complete and not partition.unrecorded_done:
            partition.next_write_us = now_us + COMPLETION_CHECK_US
            self.completion.finish_if_complete(partition.job_id)
        elif not partition.unrecorded_done and not partition.indeterminate:
            self.clear_dirty(partition.job_id)

    def _write(self, partition: JobPartition, pause_us: int, complete: bool) -> None:
        """Write the partition's record, or the final record of the job if its last tasks are done."""
        cache, job_id = self.ctx.cache, partition.job_id
        job = cache.job(job_id)
        if job is None or job.state != m.QUEUED:
            return
        done_count = len(partition.done | partition.unrecorded_done)
        partition.next_write_us = self.ctx.now_us + RETRY_US
        partition.next_result_us = self.ctx.now_us + pause_us
        if not job.other_shards and done_count == job.tasks:
            self.completion.finish(partition, job, done_count)
            return
        value = self._largest_fitting_record(partition, job)
        if value is None:
            partition.next_write_us = partition.next_result_us
            return
        key = cache.partition_record_key(self.state.index, job_id)
        urgency = Urgency.USER if complete else Urgency.RESULT
        self.writer.write(partition, key, value, urgency, {key: cache.mod_revision(key)})

    def _record(self, partition: JobPartition, job: JobRecord, done: set[int]) -> JobRecord | PartitionRecord:
        """Return the record that contains the partition, with these tasks done: at the home shard that of the job."""
        self._encoded_tasks += len(partition.assigned) + len(done)
        zones = sorted(partition.zones | partition.released_zones)
        record = PartitionRecord(task_sets.encode(partition.assigned), task_sets.encode(done), zones)
        return msgspec.structs.replace(job, partition=record) if job.shard == self.state.index else record

    def _largest_fitting_record(self, partition: JobPartition, job: JobRecord) -> JobRecord | PartitionRecord | None:
        """Return the partition's record with its results, or with as many as fit; the others wait on their workers.

        None if no result fits and no move has to be resolved: further results may make the encoded set shorter again.
        """
        record = self._record(partition, job, partition.done | partition.unrecorded_done)
        if self.ctx.fits_value_limit(record):
            return record
        results = sorted(partition.unrecorded_done)
        fitting, too_many = 0, len(results)
        # Bound: the logarithm of the number of results; each iteration halves the interval.
        while fitting + 1 < too_many:
            middle = (fitting + too_many) // 2
            if self.ctx.fits_value_limit(self._record(partition, job, partition.done | set(results[:middle]))):
                fitting = middle
            else:
                too_many = middle
        if not fitting and not partition.indeterminate:
            return None
        return self._record(partition, job, partition.done | set(results[:fitting]))
