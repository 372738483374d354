"""Stores and loads job state: the interface for the other parts of a shard.

======================  =============================================================================
`PartitionLoader`       applies records to partitions: tasks that are assigned, done, inherited
`UrgencyCalculator`     calculates the priority and due times that a partition is scheduled with
`ResultWriter`          records finished tasks, as often as the write budget allows
`JobCompletion`         writes the final record of a job
`PartitionMover`        moves waiting tasks to another shard's partition
`FencedWriter`          makes the conditional writes of `ResultWriter` and `JobCompletion`
======================  =============================================================================

Every write is conditional on the shard's record and on the records that it changes, so a late one does no harm.
"""

from quinceslip.coordination.jobs.completion import JobCompletion
from quinceslip.coordination.jobs.fenced_write import FencedWriter
from quinceslip.coordination.jobs.partition_loader import PartitionLoader
from quinceslip.coordination.jobs.partition_mover import PartitionMover, ZoneSplit
from quinceslip.coordination.jobs.result_writer import ResultWriter
from quinceslip.coordination.jobs.urgency import UrgencyCalculator
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt
from quinceslip.protocol import messages as m
from quinceslip.storage import records


class JobPersistence:
    """Keeps the partitions of one shard consistent with their records in the key-value store."""

    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.ctx = state.ctx
        writer = FencedWriter(state)
        completion = JobCompletion(state, writer)
        self.urgency = UrgencyCalculator(state.ctx)
        self.results = ResultWriter(state, writer, completion)
        self.loader = PartitionLoader(state, self.urgency, self.results, completion)
        self.mover = PartitionMover(state, self.results)

    def load(self, job_id: str, inherited: bool = False) -> None:
        """Bring the partition of a job in line with its record; `inherited`: another leader may have started tasks."""
        self.loader.load(job_id, inherited)

    def urgency_changed(self, job_id: str) -> None:
        """Recalculate the urgency of a job, after a change of its dependents or with time; running tasks stay."""
        partition, job = self.state.partitions.get(job_id), self.ctx.cache.job(job_id)
        if partition is not None and job is not None and job.spec is not None:
            urgency = self.urgency.calculate(job_id, job, job.spec)
            partition.set_urgency(urgency.spec, urgency.due_us)
            self.state.invalidate_queue_order()
            self.state.needs_placement = True

    def task_completed(self, partition: JobPartition) -> None:
        """Note that a task of the partition was added to `unrecorded_done`."""
        self.results.mark_dirty(partition.job_id)

    def is_recorded(self, attempt: Attempt) -> bool:
        """Whether the result of an attempt is stored durably, so that its worker may forget it."""
        if attempt.end_cause != m.CAUSE_DONE:
            return True
        partition = self.state.partitions.get(attempt.job_id)
        if partition is not None:
            return attempt.index in partition.done
        job = self.ctx.cache.job(attempt.job_id)
        return job is not None and records.is_final(job)

    def write_due(self) -> None:
        """Record the finished tasks that are due, after updating the jobs whose urgency has risen."""
        for job_id in self.urgency.pop_risen():
            self.urgency_changed(job_id)
        self.results.write_due()

    def movable_tasks(self, partition: JobPartition) -> list[int]:
        """Return the tasks that may be moved to another shard (`PartitionMover.movable_tasks`)."""
        return self.mover.movable_tasks(partition)

    def split_zones(self, partition: JobPartition) -> ZoneSplit | None:
        """Return how a spread service may be split between two shards (`PartitionMover.split_zones`)."""
        return self.mover.split_zones(partition)

    def releasable_zones(self, partition: JobPartition) -> set[str]:
        """Return the zones that a partition could give to another shard's (`PartitionMover.releasable_zones`)."""
        return self.mover.releasable_zones(partition)

    def release_zones(self, partition: JobPartition, zones: set[str], target: int) -> None:
        """Give zones to the partition of another shard (`PartitionMover.release_zones`)."""
        self.mover.release_zones(partition, zones, target)

    def move(self, partition: JobPartition, indices: list[int], target: int, split: ZoneSplit | None = None) -> None:
        """Move waiting tasks to another shard (`PartitionMover.move`)."""
        self.mover.move(partition, indices, target, split)
