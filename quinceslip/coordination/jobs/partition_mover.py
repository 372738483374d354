"""Moves waiting tasks, or zones, of a job from one shard's partition to another's, in one transaction."""

import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec

from quinceslip.coordination.actor.effects import NOT_SENT, Urgency
from quinceslip.coordination.jobs.result_writer import ResultWriter
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.protocol import messages as m
from quinceslip.storage import records, task_sets
from quinceslip.storage.records import JobRecord, PartitionRecord

log = logging.getLogger(__name__)

#: conditions that a transaction may have for each of its operations (PROTOCOL)
CONDITIONS_PER_TXN_OP = 4
#: conditions of a job's final write besides those on its moved partitions: the records of the shard and of the job
FIXED_COMPLETION_CONDITIONS = 2
#: outcomes of a write that was certainly not applied
NOT_APPLIED = frozenset(
    {
        NOT_SENT,
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.CONFLICT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


#: receives the status of a write and the keys whose conditions failed
WriteHandler = Callable[[int, list[str]], None]


class ZoneSplit(NamedTuple):
    """Zones for the tasks that stay in a partition, and for those that move; empty sets: any."""

    staying: set[str]
    moving: set[str]


@dataclass(frozen=True, slots=True)
class MovePlan:
    """The records after a move: that of the job, and the partitions of both shards, the source first."""

    job: JobRecord
    partitions: dict[int, PartitionRecord]

    def record_variants(self) -> Iterator[JobRecord | PartitionRecord]:
        """Yield each record that this move or later results write: as it is now, and with all tasks done."""
        done = {
            shard: msgspec.structs.replace(partition, done=partition.assigned)
            for shard, partition in self.partitions.items()
        }
        yield self.job
        yield msgspec.structs.replace(self.job, partition=done.get(self.job.shard, self.job.partition))
        yield from self.partitions.values()
        yield from done.values()

    def puts(self, job_id: str) -> dict[str, tuple[Any, int | None]]:
        """Return the records to write, by key; the home partition is part of the job's record."""
        puts: dict[str, tuple[Any, int | None]] = {
            records.partition_key(shard, job_id): (partition, None)
            for shard, partition in self.partitions.items()
            if shard != self.job.shard
        }
        puts[records.job_key(job_id)] = (self.job, None)
        return puts


class PartitionMover:
    """Moves waiting tasks to other shards."""

    def __init__(self, state: ShardState, results: ResultWriter) -> None:
        self.state = state
        self.ctx = state.ctx
        self.results = results

    # Which tasks may be moved.

    def movable_tasks(self, partition: JobPartition) -> list[int]:
        """Return the tasks that are certainly not running; all or none if the job must stay in one shard."""
        # A job suspected of a crash loop stays in the shard that knows of the suspicion.
        if _is_unresolved(partition) or partition.crash_loop.suspected:
            return []
        if partition.spec.indivisible and not _all_unfinished_waiting(partition):
            return []
        return list(partition.pending)

    def split_zones(self, partition: JobPartition) -> ZoneSplit | None:
        """Return how a spread service may be split between this shard and another; None if it may not be.

        The zones of the two never overlap, so each shard can enforce the spread by counting its own tasks.
        """
        spec = partition.spec
        may_split = spec.service and spec.spread and not spec.one_zone and not spec.zone
        if not may_split or _is_unresolved(partition) or not partition.pending:
            return None
        allowed = partition.zones or set(self.ctx.settings.facts.zones)
        used = self._used_zones(partition.job_id)
        split = ZoneSplit(used & allowed, allowed - used)
        return split if split.staying and split.moving else None

    def _used_zones(self, job_id: str) -> set[str]:
        """Return the zones of the workers that may have tasks of a job."""
        attempts = self.state.attempts_by_job.get(job_id, ())
        workers = (self.state.worker_of(attempt) for attempt in attempts)
        return {worker.zone for worker in workers if worker is not None}

    def releasable_zones(self, partition: JobPartition) -> set[str]:
        """Return the zones of a partition with zones of its own in which none of its tasks runs, may run or will run.

        None if some of its tasks wait, or if their location is not known; at least one zone always stays.
        """
        if _is_unresolved(partition) or partition.pending or partition.spec.one_zone:
            return set()
        key = self.ctx.cache.partition_record_key(self.state.index, partition.job_id)
        if partition.released_zones and self.ctx.cache.mod_revision(key) > partition.released_revision:
            return set()  # the record has changed, and is about to be applied
        unused = partition.zones | partition.released_zones
        unused -= self.state.possibly_running_by_zone(partition.job_id).keys()
        return unused - {max(partition.zones)} if unused >= partition.zones else unused

    # Moving them.

    def move(self, partition: JobPartition, indices: list[int], target: int, split: ZoneSplit | None = None) -> None:
        """Move waiting tasks to the shard `target`, unless a record would become too large.

        The tasks are indeterminate until the outcome is known; until then they wait in neither shard.
        """
        job = self.ctx.cache.job(partition.job_id)
        if job is None or job.state != m.QUEUED or not indices:
            return
        moved = set(indices)
        plan = self._plan(partition, job, moved, target, split or ZoneSplit(partition.zones, partition.zones))
        if self._is_recordable(plan):
            self._mark_moving(partition, moved)
            self._write(partition, plan, target, len(moved))

    def _plan(
        self, partition: JobPartition, job: JobRecord, moved: set[int], target: int, split: ZoneSplit
    ) -> MovePlan:
        target_record = self.ctx.cache.partition(target, partition.job_id) or PartitionRecord("")
        target_zones = split.moving
        if target_record.assigned and target_record.zones and split.moving:
            target_zones = split.moving | set(target_record.zones)
        # Zones whose release has no known outcome stay recorded here, or they would belong to nobody.
        staying_zones = split.staying | (partition.released_zones - split.moving) if split.staying else split.staying
        partitions = {
            self.state.index: PartitionRecord(
                task_sets.encode(partition.assigned - moved),
                task_sets.encode(partition.done | partition.unrecorded_done),
                sorted(staying_zones),
            ),
            target: PartitionRecord(
                task_sets.encode(task_sets.decode(target_record.assigned) | moved),
                target_record.done,
                sorted(target_zones),
            ),
        }
        other_shards = {*job.other_shards, *(shard for shard in partitions if shard != job.shard)}
        home_partition = partitions.get(job.shard, job.partition)
        return MovePlan(
            msgspec.structs.replace(job, other_shards=sorted(other_shards), partition=home_partition), partitions
        )

    def _is_recordable(self, plan: MovePlan) -> bool:
        """Whether the store accepts this move and every write that follows from it.

        Guard: the records must fit now and with all results; a job's final write has a condition on each partition.
        """
        conditions = len(plan.job.other_shards) + FIXED_COMPLETION_CONDITIONS
        if conditions > CONDITIONS_PER_TXN_OP * self.ctx.limits.txn_ops:
            return False
        return all(map(self.ctx.fits_value_limit, plan.record_variants()))

    def _mark_moving(self, partition: JobPartition, moved: set[int]) -> None:
        for index in moved:
            partition.pending.discard(index)
        key = self.ctx.cache.partition_record_key(self.state.index, partition.job_id)
        partition.indeterminate = moved
        partition.indeterminate_revision = self.ctx.cache.mod_revision(key)
        partition.moving = True
        self.results.mark_dirty(partition.job_id)

    def release_zones(self, partition: JobPartition, zones: set[str], target: int) -> None:
        """Give zones in which no task of the partition can run to the partition of the shard `target`.

        From now on no task is placed there, whatever becomes of the write: it may be carried out late.
        """
        job_id = partition.job_id
        job = self.ctx.cache.job(job_id)
        staying = partition.zones - zones
        if job is None or job.state != m.QUEUED or not staying:
            return
        plan = self._plan(partition, job, set(), target, ZoneSplit(staying, zones))
        if not self._is_recordable(plan):
            return
        key = self.ctx.cache.partition_record_key(self.state.index, job_id)
        released_before = partition.released_zones
        partition.zones, partition.released_zones = staying, released_before | zones
        revision = partition.released_revision = self.ctx.cache.mod_revision(key)
        partition.moving = True

        def on_written(status: int, failed: list[str]) -> None:
            partition.moving = False
            if status == HTTPStatus.OK:
                log.info("zones released job=%s zones=%s shard=%d", job_id, ",".join(sorted(zones)), target)
            elif status in NOT_APPLIED and self.ctx.cache.mod_revision(key) <= revision:
                # Not those of an earlier write without an answer, which may still be carried out. Once the record has
                # changed, it shows what became of that one.
                partition.zones |= zones - released_before
                partition.released_zones = released_before

        self._write_plan(partition, plan, on_written)

    def _write(self, partition: JobPartition, plan: MovePlan, target: int, moved_count: int) -> None:
        job_id = partition.job_id

        def on_written(status: int, failed: list[str]) -> None:
            partition.moving = False
            if status == HTTPStatus.OK:
                log.info("tasks moved job=%s tasks=%d shard=%d", job_id, moved_count, target)
            elif status in NOT_APPLIED:
                indeterminate, partition.indeterminate = partition.indeterminate, set()
                self.state.add_pending(partition, indeterminate)
            # Otherwise the outcome is unknown: the tasks stay indeterminate until the record changes.

        self._write_plan(partition, plan, on_written)

    def _write_plan(self, partition: JobPartition, plan: MovePlan, on_written: WriteHandler) -> None:
        """Write the records of a plan, provided that the leadership and all of them are unchanged."""
        puts = plan.puts(partition.job_id)
        conditions = dict(self.state.election.fencing_condition(self.state.index))
        conditions.update((key, self.ctx.cache.mod_revision(key)) for key in puts)
        urgency = Urgency.USER if partition.spec.service else Urgency.BACKGROUND
        self.ctx.compare_and_swap(conditions, puts, [], on_written, urgency)


def _is_unresolved(partition: JobPartition) -> bool:
    """Whether a write of the partition is in flight, or the location of some of its tasks is not known yet."""
    return bool(partition.writing or partition.moving or partition.indeterminate or partition.unreconciled)


def _all_unfinished_waiting(partition: JobPartition) -> bool:
    """Whether every task that is not recorded as done is waiting."""
    all_waiting = len(partition.pending) == len(partition.assigned) - len(partition.done)
    return all_waiting and not partition.unrecorded_done
