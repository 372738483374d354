"""Brings the partitions of a shard in line with their records."""

from quinceslip.coordination.jobs.completion import JobCompletion
from quinceslip.coordination.jobs.result_writer import ResultWriter
from quinceslip.coordination.jobs.urgency import UrgencyCalculator
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.crash_loops.detector import CrashLoopDetector
from quinceslip.protocol import messages as m
from quinceslip.storage import task_sets
from quinceslip.storage.records import JobRecord, PartitionRecord


class PartitionLoader:
    """Creates, changes and removes partitions as their records in the store cache say."""

    def __init__(
        self, state: ShardState, urgency: UrgencyCalculator, results: ResultWriter, completion: JobCompletion
    ) -> None:
        self.state = state
        self.ctx = state.ctx
        self.urgency = urgency
        self.results = results
        self.completion = completion

    def load(self, job_id: str, inherited: bool = False) -> None:
        """Bring the partition of a job in line with its record; `inherited`: another leader may have started it."""
        state, cache = self.state, self.ctx.cache
        record = cache.partition(state.index, job_id)
        job = cache.job(job_id)
        # Guard: what waits for other jobs is no partition at all, so nothing here can count, order, move or start it.
        if record is None or job is None or job.spec is None or self.ctx.graph.is_waiting(job_id):
            self._unload(job_id)
            return
        partition = state.partitions.get(job_id)
        if partition is None:
            partition = state.partitions[job_id] = self._create(job_id, job, job.spec)
        self._apply(partition, record, inherited)
        self.results.mark_dirty(job_id)
        if not record.assigned and job.shard != state.index:
            state.partitions.pop(job_id)
        self.completion.finish_if_complete(job_id)

    def _unload(self, job_id: str) -> None:
        partition = self.state.partitions.pop(job_id, None)
        if partition is not None:
            self.results.clear_dirty(job_id)
            self._stop_cancelled_job(partition)

    def _stop_cancelled_job(self, partition: JobPartition) -> None:
        job = self.ctx.cache.job(partition.job_id)
        if job is None or job.state != m.CANCELLED:
            return
        for attempt in partition.attempts.values():
            if not attempt.end_cause:
                self.state.stop(attempt, 0.0)

    def _create(self, job_id: str, job: JobRecord, spec: m.JobSpec) -> JobPartition:
        """A partition without tasks."""
        urgency = self.urgency.effective(job_id, job, spec)
        return JobPartition(
            job_id,
            urgency.spec,
            max(job.at_us, self.ctx.graph.ready_us(job_id)),
            due_us=urgency.due_us,
            crash_loop=CrashLoopDetector(self.ctx.tuning.suspect_mistakes),
        )

    def _apply(self, partition: JobPartition, record: PartitionRecord, inherited: bool) -> None:
        """Take the tasks that a record assigns to the partition, and those that it says are done."""
        state = self.state
        assigned, done = task_sets.decode(record.assigned), task_sets.decode(record.done)
        added = assigned - partition.assigned - done
        removed = partition.assigned - assigned
        newly_done = done - partition.done
        partition.assigned, partition.done, partition.zones = assigned, done, set(record.zones)
        partition.unrecorded_done -= done
        if inherited:
            partition.unreconciled |= added
        else:
            state.add_pending(partition, added)
        self._forget_tasks(partition, removed | newly_done)
        self._settle_move(partition)
        # More that is done frees nothing by itself: the worker's heartbeat did.
        if added or removed or partition.spec.indivisible or state.quota is not None:
            state.needs_placement = True

    def _forget_tasks(self, partition: JobPartition, indices: set[int]) -> None:
        """Tasks that are done or another shard's by now wait here no more."""
        on_hold = partition.crash_loop.on_hold
        for index in indices:
            partition.pending.discard(index)
            partition.unreconciled.discard(index)
            on_hold.discard(index)
        if on_hold and not partition.pending and not partition.attempts:
            # The task that was tried is here no more: the next one is.
            self.state.add_pending(partition, sorted(on_hold))

    def _settle_move(self, partition: JobPartition) -> None:
        """Resolve a move with indeterminate outcome if the record has changed since.

        The move was then either applied or never can be; what is still assigned here waits again.
        """
        if not partition.indeterminate:
            return
        key = self.ctx.cache.partition_record_key(self.state.index, partition.job_id)
        if self.ctx.cache.mod_revision(key) <= partition.indeterminate_revision:
            return
        indeterminate, partition.indeterminate = partition.indeterminate, set()
        self.state.add_pending(partition, (indeterminate & partition.assigned) - partition.done)
