"""Keeps the chunks of a shard and their records in the state service in line with each other."""

import logging
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from quinceslip.coordination.actor.effects import NOT_SENT, Urgency
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.shard.partition import JobPartition
from quinceslip.coordination.shard.state import ShardState
from quinceslip.coordination.shard.worker import Attempt
from quinceslip.crash_loops.detector import CrashLoopDetector
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Objective
from quinceslip.storage import records, task_sets

log = logging.getLogger(__name__)

#: a result that completes nothing may wait this long at least, so that others join it
MIN_RESULT_PAUSE_US = SECOND
#: what may go into such results, as a part of the write budget of this controller
RESULT_WRITE_PART = 0.25
#: pause before a write that failed a condition is tried again
RETRY_US = 250_000


def due_us(objectives: Iterable[Objective], spec: m.JobSpec, at_us: int, began_us: int) -> list[int]:
    """When the users want a job done: its own deadline and its multiples since `at_us`, when it was submitted; the aims
    of its class since `began_us`, when it waited for no other job any more."""
    if spec.service:
        return []
    dues = set() if spec.deadline_s is None else {at_us + micros(spec.deadline_s)}
    for objective in objectives:
        if objective.job_class != spec.job_class:
            continue
        if objective.kind == "finished" and objective.within_s:
            dues.add(began_us + micros(objective.within_s))
        elif objective.kind == "deadline" and spec.deadline_s is not None:
            dues.add(at_us + micros(spec.deadline_s * objective.times))
    return sorted(dues)


class JobPersistence:
    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.ctx = state.ctx
        self.dirty_jobs: set[str] = set()  # chunks that may have something to record
        self.jobs_arrived = 0
        self.urgency_rises_us: dict[
            str, int
        ] = {}  # jobs that are treated as what needs them from then on, by wall clock
        self.result_writes_per_s = RESULT_WRITE_PART * self.ctx.limits.write_rps / self.ctx.settings.facts.size

    # From the records.

    def load(self, job_id: str, inherited: bool = False) -> None:
        """Bring a chunk in line with its record."""
        state, cache = self.state, self.ctx.cache
        record = cache.partition(state.index, job_id)
        job = cache.job(job_id)
        partition = state.partitions.get(job_id)
        # Guard: what waits for other jobs is no chunk at all, so nothing here can count, order, move or start it.
        if record is None or job is None or job.spec is None or self.ctx.graph.is_waiting(job_id):
            if partition is not None:
                del state.partitions[job_id]
                self.dirty_jobs.discard(job_id)
                self._stop_cancelled_job(partition)
            return
        if partition is None:
            spec, due_us = self._with_urgency(job_id, job.spec, job.at_us)
            partition = state.partitions[job_id] = JobPartition(
                job_id,
                spec,
                max(job.at_us, self.ctx.graph.ready_us(job_id)),
                due_us=due_us,
                crash_loop=CrashLoopDetector(self.ctx.tuning.suspect_mistakes),
            )
            if not inherited:
                self.jobs_arrived += 1
        own, done = task_sets.decode(record.assigned), task_sets.decode(record.done)
        fresh = own - partition.assigned - done
        removed, more_done = partition.assigned - own, done - partition.done
        partition.assigned, partition.done, partition.zones = own, done, set(record.zones)
        partition.unrecorded_done -= done
        if inherited:
            partition.unreconciled |= fresh
        else:
            state.add_pending(partition, fresh)
        for index in removed | more_done:
            partition.pending.discard(index)
            partition.unreconciled.discard(index)
            partition.crash_loop.on_hold.discard(index)
        if partition.crash_loop.on_hold and not partition.pending and not partition.attempts:
            state.add_pending(
                partition, sorted(partition.crash_loop.on_hold)
            )  # what was tried is here no more: the next one
        mod_revision = cache.mod_revision(self._key(job_id))
        if partition.indeterminate and mod_revision > partition.indeterminate_revision:
            # The record changed since, so the move was either applied or never can be.
            indeterminate, partition.indeterminate = partition.indeterminate, set()
            state.add_pending(partition, (indeterminate & own) - done)
        # More that is done sets nothing free by itself: the machine's report did.
        if fresh or removed or partition.spec.whole or state.quota is not None:
            state.needs_placement = True
        self.dirty_jobs.add(job_id)
        if not record.assigned and job.shard != state.index:
            state.partitions.pop(job_id)
        self._finish_if_complete(job_id)

    def _with_urgency(self, job_id: str, spec: m.JobSpec, at_us: int) -> tuple[m.JobSpec, list[int]]:
        """A job as it is to be treated, with the priority of what needs it, and when it should be done."""
        urgency, began_us = self.ctx.graph.urgency(job_id), max(at_us, self.ctx.graph.ready_us(job_id))
        dues = set(due_us(self.ctx.settings.facts.objectives, spec, at_us, began_us))
        if urgency is None or not self.ctx.tuning.urge_ancestors:
            return spec, sorted(dues)
        priority = urgency.priority
        if priority < spec.priority and urgency.dues_us:
            # Guard: it stops other work only once it has to start now to be in time. Until then it goes among normal
            # work by its due time. Without this, whatever comes before an urgent job stops normal work at once.
            latest_us = urgency.dues_us[0] - self.ctx.expected_duration_us(spec)
            if self.ctx.wall_us < latest_us:
                priority = max(priority, min(spec.priority, m.PRIORITY_CLASSES["normal"]))
                self.urgency_rises_us[job_id] = latest_us
        return m.with_priority(spec, min(spec.priority, priority)), sorted(dues | set(urgency.dues_us))

    def urgency_changed(self, job_id: str) -> None:
        """What needs a job has changed: it is treated accordingly from here on; what runs of it stays as it is."""
        partition, job = self.state.partitions.get(job_id), self.ctx.cache.job(job_id)
        if partition is not None and job is not None and job.spec is not None:
            partition.set_urgency(*self._with_urgency(job_id, job.spec, job.at_us))
            self.state.reorder()
            self.state.needs_placement = True

    def _stop_cancelled_job(self, partition: JobPartition) -> None:
        job = self.ctx.cache.job(partition.job_id)
        if job is not None and job.state == m.CANCELLED:
            for attempt in partition.attempts.values():
                if not attempt.end_cause:
                    self.state.stop(attempt, 0.0)

    def _key(self, job_id: str) -> str:
        job = self.ctx.cache.job(job_id)
        if job is not None and job.shard == self.state.index:
            return records.job_key(job_id)
        return records.partition_key(self.state.index, job_id)

    def is_recorded(self, attempt: Attempt) -> bool:
        """Whether its result is safe in the records."""
        if attempt.end_cause != m.CAUSE_DONE:
            return True
        partition = self.state.partitions.get(attempt.job_id)
        if partition is not None:
            return attempt.index in partition.done
        job = self.ctx.cache.job(attempt.job_id)
        return job is not None and records.is_final(job)

    # Results.

    def task_completed(self, partition: JobPartition) -> None:
        self.dirty_jobs.add(partition.job_id)

    def write_due(self) -> None:
        """Record finished tasks, one write per job.

        What ends a chunk goes at once, since a user waits for it. Other results wait on their workers
        and are lost only together with these, so they go as seldom as the write budget asks.
        """
        for job_id in [u for u, at_us in self.urgency_rises_us.items() if at_us <= self.ctx.wall_us]:
            del self.urgency_rises_us[job_id]
            self.urgency_changed(job_id)
        now_us = self.ctx.now_us
        partitions = [c for c in (self.state.partitions.get(u) for u in sorted(self.dirty_jobs)) if c is not None]
        partial = sum(1 for c in partitions if c.unrecorded_done)
        pause_us = max(MIN_RESULT_PAUSE_US, int(partial / self.result_writes_per_s * SECOND))
        for partition in partitions:
            whole = len(partition.done) + len(partition.unrecorded_done) >= len(partition.assigned)
            if partition.writing or now_us < partition.next_write_us:
                continue
            if partition.unrecorded_done and (whole or now_us >= partition.next_result_us):
                self._write_partition(partition, pause_us, whole)
            elif partition.indeterminate and not partition.moving:
                self._write_partition(
                    partition, pause_us, False
                )  # settles an open move: the same chunk under a new stamp
            elif whole and not partition.unrecorded_done:
                partition.next_write_us = now_us + SECOND
                self._finish_if_complete(partition.job_id)
            elif not partition.unrecorded_done and not partition.indeterminate:
                self.dirty_jobs.discard(partition.job_id)

    def _write_partition(self, partition: JobPartition, pause_us: int, whole: bool) -> None:
        cache, job_id = self.ctx.cache, partition.job_id
        job = cache.job(job_id)
        if job is None or job.state != m.QUEUED:
            return
        key = self._key(job_id)
        done = partition.done | partition.unrecorded_done
        partition.next_write_us = self.ctx.now_us + RETRY_US
        partition.next_result_us = self.ctx.now_us + pause_us
        if not job.parts and len(done) == job.tasks:
            self._finish(partition, job, len(done))
            return
        value = self._largest_fitting_value(partition, job)
        if value is None:
            partition.next_write_us = partition.next_result_us
            return
        self._write(
            partition,
            {key: cache.mod_revision(key)},
            {key: (value, None)},
            [],
            Urgency.USER if whole else Urgency.RESULT,
        )

    def _record_value(
        self, partition: JobPartition, job: records.JobRecord, done: set[int]
    ) -> records.JobRecord | records.PartitionRecord:
        record = records.PartitionRecord(
            task_sets.encode(partition.assigned), task_sets.encode(done), sorted(partition.zones)
        )
        return msgspec.structs.replace(job, partition=record) if job.shard == self.state.index else record

    def _largest_fitting_value(
        self, partition: JobPartition, job: records.JobRecord
    ) -> records.JobRecord | records.PartitionRecord | None:
        """The chunk's record with its results, or with as many as fit; the others wait on their workers.

        None where none fits and nothing else is to be settled: the last result may make the set short again.
        """
        value = self._record_value(partition, job, partition.done | partition.unrecorded_done)
        if self.ctx.fits_record(value):
            return value
        fresh = sorted(partition.unrecorded_done)
        few, many = 0, len(fresh)
        # Bound: the logarithm of the results; each turn halves what is between.
        while few + 1 < many:
            half = (few + many) // 2
            if self.ctx.fits_record(self._record_value(partition, job, partition.done | set(fresh[:half]))):
                few = half
            else:
                many = half
        return (
            self._record_value(partition, job, partition.done | set(fresh[:few]))
            if few or partition.indeterminate
            else None
        )

    def _write(
        self,
        partition: JobPartition,
        conditions: dict[str, int],
        puts: dict[str, tuple[Any, int | None]],
        drops: list[str],
        urgency: Urgency,
        later: Sequence[str] = (),
    ) -> None:
        """`later` names what may be dropped once this is written."""
        partition.writing = True

        def finish(status: int, failed: list[str]) -> None:
            partition.writing = False
            partition.next_write_us = self.ctx.now_us + (RETRY_US if status in (200, 409) else SECOND)
            job = self.ctx.cache.job(partition.job_id)
            if status == 200 and job is not None and job.state == m.DONE:
                log.info("job %s is done", partition.job_id)
                self.ctx.delete_unneeded(list(later))

        self.ctx.compare_and_swap(
            {**self.state.election.fencing_condition(self.state.index), **conditions}, puts, drops, finish, urgency
        )

    def _finish_if_complete(self, job_id: str) -> None:
        """A job in several chunks is done when all of them are; its home shard says so."""
        cache = self.ctx.cache
        job, partition = cache.job(job_id), self.state.partitions.get(job_id)
        if job is None or partition is None or not job.parts or job.shard != self.state.index or partition.writing:
            return
        if len(partition.done) < len(partition.assigned):
            return
        count = cache.done_count(job_id)
        if count == job.tasks:
            self._finish(partition, job, count)

    def _finish(self, partition: JobPartition, job: records.JobRecord, count: int) -> None:
        cache, job_id = self.ctx.cache, partition.job_id
        parts = [records.partition_key(s, job_id) for s in job.parts]
        conditions = {key: cache.mod_revision(key) for key in [records.job_key(job_id), *parts]}
        drops = [p for p in parts if cache.mod_revision(p)]
        most = self.ctx.limits.txn_ops - 1  # nobody reads the parts of a job that is over
        final = records.final_record(job, m.DONE, count, self.ctx.wall_us)
        self._write(
            partition, conditions, {records.job_key(job_id): (final, None)}, drops[:most], Urgency.USER, drops[most:]
        )

    # Moves between shards.

    def split_zones(self, partition: JobPartition) -> tuple[set[str], set[str]] | None:
        """How a spread service may be split: zones for what stays here, and for what waits.

        The two never meet, so each shard can keep to the spread by counting its own tasks.
        """
        spec = partition.spec
        if (
            not (spec.service and spec.spread)
            or spec.one_zone
            or spec.zone
            or partition.writing
            or partition.moving
            or partition.indeterminate
            or partition.unreconciled
            or not partition.pending
        ):
            return None
        used = set()
        for attempt in self.state.attempts_by_job.get(partition.job_id, ()):
            worker = self.state.workers.get(attempt.worker)
            if worker is not None:
                used.add(worker.zone)
        mine = partition.zones or set(self.ctx.settings.facts.zones)
        used, rest = used & mine, mine - used
        return (used, rest) if used and rest else None

    def movable(self, partition: JobPartition) -> list[int]:
        """Tasks certain not to be running; all or nothing where zones bind the tasks together."""
        # What is suspected of a mistake stays where that is known.
        if (
            partition.writing
            or partition.moving
            or partition.indeterminate
            or partition.unreconciled
            or partition.crash_loop.suspected
        ):
            return []
        if partition.spec.whole:
            whole = (
                len(partition.pending) == len(partition.assigned) - len(partition.done)
                and not partition.unrecorded_done
            )
            if not whole:
                return []
        return list(partition.pending)

    def move(
        self, partition: JobPartition, indices: list[int], target: int, split: tuple[set[str], set[str]] | None = None
    ) -> None:
        """Hand waiting tasks to another shard in one transaction; not where records would become too large."""
        state, cache, job_id = self.state, self.ctx.cache, partition.job_id
        job = cache.job(job_id)
        if job is None or job.state != m.QUEUED or not indices:
            return
        moved = set(indices)
        stay, go = split or (partition.zones, partition.zones)
        mine = records.PartitionRecord(
            task_sets.encode(partition.assigned - moved),
            task_sets.encode(partition.done | partition.unrecorded_done),
            sorted(stay),
        )
        theirs = cache.partition(target, job_id) or records.PartitionRecord("")
        if theirs.assigned and theirs.zones and go:
            go = go | set(theirs.zones)
        theirs = records.PartitionRecord(
            task_sets.encode(task_sets.decode(theirs.assigned) | moved), theirs.done, sorted(go)
        )
        partitions = {state.index: mine, target: theirs}
        parts = sorted({*job.parts, *(s for s in partitions if s != job.shard)})
        record = msgspec.structs.replace(job, parts=parts, partition=partitions.get(job.shard, job.partition))
        # Guard: what moves must be recordable, now and to the last result; a job's end has a condition on each part.
        ends = {s: msgspec.structs.replace(c, done=c.assigned) for s, c in partitions.items()}
        last = msgspec.structs.replace(record, partition=ends.get(job.shard, job.partition))
        values = (record, last, *partitions.values(), *ends.values())
        if len(parts) + 2 > 4 * self.ctx.limits.txn_ops or not all(map(self.ctx.fits_record, values)):
            return
        key = self._key(job_id)
        puts: dict[str, tuple[Any, int | None]] = {
            records.partition_key(s, job_id): (c, None) for s, c in partitions.items() if s != job.shard
        }
        puts[records.job_key(job_id)] = (record, None)
        conditions = {**state.election.fencing_condition(state.index), **{k: cache.mod_revision(k) for k in puts}}
        for index in moved:
            partition.pending.discard(index)
        partition.indeterminate, partition.indeterminate_revision, partition.moving = (
            moved,
            cache.mod_revision(key),
            True,
        )
        self.dirty_jobs.add(job_id)

        def done(status: int, failed: list[str]) -> None:
            partition.moving = False
            if status == 200:
                log.info("%d tasks of %s moved to shard %d", len(moved), job_id, target)
            elif status in (NOT_SENT, 409, 429, 503, 400):
                indeterminate, partition.indeterminate = partition.indeterminate, set()
                state.add_pending(partition, indeterminate)
            # Otherwise the outcome is open: the tasks stay in doubt until the record changes.

        self.ctx.compare_and_swap(conditions, puts, [], done, Urgency.USER if partition.spec.service else Urgency.REST)
