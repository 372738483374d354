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
    """Creates, changes and removes partitions according to their records in the store cache."""

    def __init__(
        self, state: ShardState, urgency: UrgencyCalculator, results: ResultWriter, completion: JobCompletion
    ) -> None:
        self.state = state
        self.ctx = state.ctx
        self.urgency = urgency
        self.results = results
        self.completion = completion

    def load(self, job_id: str, inherited: bool = False) -> None:
        """Bring the partition of a job in line with its record; `inherited`: another leader may have started tasks.

        Raises ValueError for a record with unusable values; the job then has no partition here.
        """
        try:
            self._load(job_id, inherited)
        except Exception:
            # Guard: a partition that lacks part of its record must not be placed, written or finished.
            self._unload(job_id)
            raise

    def _load(self, job_id: str, inherited: bool) -> None:
        state, cache = self.state, self.ctx.cache
        record = cache.partition(state.index, job_id)
        job = cache.job(job_id)
        # Guard: a job that waits for other jobs has no partition, so nothing here can count, order, move or start it.
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
            self.state.drop_withheld_gang(partition)
            self._stop_cancelled_job(partition)

    def _stop_cancelled_job(self, partition: JobPartition) -> None:
        job = self.ctx.cache.job(partition.job_id)
        if job is None or job.state != m.CANCELLED:
            return
        for attempt in partition.attempts.values():
            if not attempt.end_cause:
                self.state.stop(attempt, 0.0)

    def _create(self, job_id: str, job: JobRecord, spec: m.JobSpec) -> JobPartition:
        """Create a partition without tasks."""
        urgency = self.urgency.calculate(job_id, job, spec)
        return JobPartition(
            job_id,
            urgency.spec,
            max(job.at_us, self.ctx.graph.ready_us(job_id)),
            due_us=urgency.due_us,
            crash_loop=CrashLoopDetector(self.ctx.tuning.suspect_mistakes),
        )

    def _apply(self, partition: JobPartition, record: PartitionRecord, inherited: bool) -> None:
        """Apply a record to the partition: the tasks that it assigns, and those that it lists as done."""
        state = self.state
        assigned, done = task_sets.decode(record.assigned), task_sets.decode(record.done)
        added = assigned - partition.assigned - done
        removed = partition.assigned - assigned
        newly_done = done - partition.done
        partition.assigned, partition.done = assigned, done
        self._apply_zones(partition, record)
        partition.unrecorded_done -= done
        if inherited:
            partition.unreconciled |= added
        else:
            state.add_pending(partition, added)
        self._forget_tasks(partition, removed | newly_done)
        self._resolve_indeterminate_move(partition)
        # Recording a result frees no room: that happened when the worker's heartbeat reported the end of the task.
        if added or removed or partition.spec.indivisible or state.quota is not None:
            state.needs_placement = True

    def _apply_zones(self, partition: JobPartition, record: PartitionRecord) -> None:
        """Apply the zones of a record, without those that were given away as long as that may still take effect.

        Guard: a shard that may have been given a zone places tasks there, and would not count those placed here.
        """
        key = self.ctx.cache.partition_record_key(self.state.index, partition.job_id)
        if self.ctx.cache.mod_revision(key) > partition.released_revision:
            partition.released_zones = set()
        partition.zones = set(record.zones) - partition.released_zones

    def _forget_tasks(self, partition: JobPartition, indices: set[int]) -> None:
        """Stop waiting for tasks that are done, or that belong to another shard by now."""
        on_hold = partition.crash_loop.on_hold
        for index in indices:
            partition.pending.discard(index)
            partition.unreconciled.discard(index)
            on_hold.discard(index)
        if on_hold and not partition.pending and not partition.attempts:
            # The one task that was being tried has left this partition: the next one is tried.
            self.state.add_pending(partition, sorted(on_hold))

    def _resolve_indeterminate_move(self, partition: JobPartition) -> None:
        """Resolve a move of unknown outcome if the record has changed since.

        By then the move has been applied or can no longer be; tasks that are still assigned here wait again.
        """
        if not partition.indeterminate:
            return
        key = self.ctx.cache.partition_record_key(self.state.index, partition.job_id)
        if self.ctx.cache.mod_revision(key) <= partition.indeterminate_revision:
            return
        indeterminate, partition.indeterminate = partition.indeterminate, set()
        self.state.add_pending(partition, (indeterminate & partition.assigned) - partition.done)
