"""Keeps the chunks of a shard and their records in the state service in line with each other."""

import logging
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from quinceslip.coordination.actor.context import SECOND, micros
from quinceslip.coordination.actor.effects import NOT_SENT, Urgency
from quinceslip.coordination.shard.state import Attempt, Chunk, ShardState
from quinceslip.crash_loops.detector import Trial
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Objective
from quinceslip.storage import records, task_sets

log = logging.getLogger(__name__)

#: a result that completes nothing may wait this long at least, so that others join it
FLUSH_US = SECOND
#: what may go into such results, as a part of the write budget of this controller
FLUSH_PART = 0.25
#: pause before a write that failed a condition is tried again
AGAIN_US = 250_000


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


class Recorder:
    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.ctx = state.ctx
        self.dirty_jobs: set[str] = set()  # chunks that may have something to record
        self.jobs_arrived = 0
        self.urgency_rises_us: dict[str, int] = {}  # jobs that are treated as what needs them from then on, by wall clock
        self.result_writes_per_s = FLUSH_PART * self.ctx.limits.write_rps / self.ctx.settings.facts.size

    # From the records.

    def load(self, uid: str, inherited: bool = False) -> None:
        """Bring a chunk in line with its record."""
        state, view = self.state, self.ctx.view
        record = view.chunk(state.index, uid)
        job = view.job(uid)
        chunk = state.chunks.get(uid)
        # Guard: what waits for other jobs is no chunk at all, so nothing here can count, order, move or start it.
        if record is None or job is None or job.spec is None or self.ctx.graph.is_waiting(uid):
            if chunk is not None:
                del state.chunks[uid]
                self.dirty_jobs.discard(uid)
                self._stop_cancelled_job(chunk)
            return
        if chunk is None:
            spec, due_us = self._with_urgency(uid, job.spec, job.at_us)
            chunk = state.chunks[uid] = Chunk(uid, spec, max(job.at_us, self.ctx.graph.ready_us(uid)), due_us=due_us,
                                              crash_loop=Trial(self.ctx.tuning.suspect_mistakes))
            if not inherited:
                self.jobs_arrived += 1
        own, done = task_sets.decode(record.assigned), task_sets.decode(record.done)
        fresh = own - chunk.assigned - done
        removed, more_done = chunk.assigned - own, done - chunk.done
        chunk.assigned, chunk.done, chunk.zones = own, done, set(record.zones)
        chunk.unrecorded_done -= done
        if inherited:
            chunk.unreconciled |= fresh
        else:
            state.add_pending(chunk, fresh)
        for index in removed | more_done:
            chunk.pending.discard(index)
            chunk.unreconciled.discard(index)
            chunk.crash_loop.on_hold.discard(index)
        if chunk.crash_loop.on_hold and not chunk.pending and not chunk.attempts:
            state.add_pending(chunk, sorted(chunk.crash_loop.on_hold))  # what was tried is here no more: the next one
        stamp = view.stamp(self._key(uid))
        if chunk.in_doubt and stamp > chunk.in_doubt_stamp:
            # The record changed since, so the move was either applied or never can be.
            in_doubt, chunk.in_doubt = chunk.in_doubt, set()
            state.add_pending(chunk, (in_doubt & own) - done)
        # More that is done sets nothing free by itself: the machine's report did.
        if fresh or removed or chunk.spec.whole or state.quota is not None:
            state.needs_placement = True
        self.dirty_jobs.add(uid)
        if not record.assigned and job.shard != state.index:
            state.chunks.pop(uid)
        self._finish_if_complete(uid)

    def _with_urgency(self, uid: str, spec: m.JobSpec, at_us: int) -> tuple[m.JobSpec, list[int]]:
        """A job as it is to be treated, with the priority of what needs it, and when it should be done."""
        urgency, began_us = self.ctx.graph.urgency(uid), max(at_us, self.ctx.graph.ready_us(uid))
        dues = set(due_us(self.ctx.settings.facts.objectives, spec, at_us, began_us))
        if urgency is None or not self.ctx.tuning.urge_ancestors:
            return spec, sorted(dues)
        rank = urgency.priority
        if rank < spec.priority and urgency.dues_us:
            # Guard: it stops other work only once it has to start now to be in time. Until then it goes among normal
            # work by its due time. Without this, whatever comes before an urgent job stops normal work at once.
            latest_us = urgency.dues_us[0] - self.ctx.expected_duration_us(spec)
            if self.ctx.wall_us < latest_us:
                rank = max(rank, min(spec.priority, m.RANKS["normal"]))
                self.urgency_rises_us[uid] = latest_us
        return m.with_priority(spec, min(spec.priority, rank)), sorted(dues | set(urgency.dues_us))

    def urgency_changed(self, uid: str) -> None:
        """What needs a job has changed: it is treated accordingly from here on; what runs of it stays as it is."""
        chunk, job = self.state.chunks.get(uid), self.ctx.view.job(uid)
        if chunk is not None and job is not None and job.spec is not None:
            chunk.set_urgency(*self._with_urgency(uid, job.spec, job.at_us))
            self.state.reorder()
            self.state.needs_placement = True

    def _stop_cancelled_job(self, chunk: Chunk) -> None:
        job = self.ctx.view.job(chunk.uid)
        if job is not None and job.state == m.WITHDRAWN:
            for attempt in chunk.attempts.values():
                if not attempt.end_cause:
                    self.state.halt(attempt, 0.0)

    def _key(self, uid: str) -> str:
        job = self.ctx.view.job(uid)
        if job is not None and job.shard == self.state.index:
            return records.job_key(uid)
        return records.part_key(self.state.index, uid)

    def is_recorded(self, attempt: Attempt) -> bool:
        """Whether its result is safe in the records."""
        if attempt.end_cause != m.CAUSE_DONE:
            return True
        chunk = self.state.chunks.get(attempt.uid)
        if chunk is not None:
            return attempt.index in chunk.done
        job = self.ctx.view.job(attempt.uid)
        return job is not None and records.is_final(job)

    # Results.

    def task_completed(self, chunk: Chunk) -> None:
        self.dirty_jobs.add(chunk.uid)

    def write_due(self) -> None:
        """Record finished tasks, one write per job.

        What ends a chunk goes at once, since a user waits for it. Other results wait on their workers
        and are lost only together with these, so they go as seldom as the write budget asks.
        """
        for uid in [u for u, at_us in self.urgency_rises_us.items() if at_us <= self.ctx.wall_us]:
            del self.urgency_rises_us[uid]
            self.urgency_changed(uid)
        now_us = self.ctx.now_us
        chunks = [c for c in (self.state.chunks.get(u) for u in sorted(self.dirty_jobs)) if c is not None]
        partial = sum(1 for c in chunks if c.unrecorded_done)
        pause_us = max(FLUSH_US, int(partial / self.result_writes_per_s * SECOND))
        for chunk in chunks:
            whole = len(chunk.done) + len(chunk.unrecorded_done) >= len(chunk.assigned)
            if chunk.writing or now_us < chunk.next_write_us:
                continue
            if chunk.unrecorded_done and (whole or now_us >= chunk.next_result_us):
                self._write_partition(chunk, pause_us, whole)
            elif chunk.in_doubt and not chunk.moving:
                self._write_partition(chunk, pause_us, False)  # settles an open move: the same chunk under a new stamp
            elif whole and not chunk.unrecorded_done:
                chunk.next_write_us = now_us + SECOND
                self._finish_if_complete(chunk.uid)
            elif not chunk.unrecorded_done and not chunk.in_doubt:
                self.dirty_jobs.discard(chunk.uid)

    def _write_partition(self, chunk: Chunk, pause_us: int, whole: bool) -> None:
        view, uid = self.ctx.view, chunk.uid
        job = view.job(uid)
        if job is None or job.state != m.QUEUED:
            return
        key = self._key(uid)
        done = chunk.done | chunk.unrecorded_done
        chunk.next_write_us = self.ctx.now_us + AGAIN_US
        chunk.next_result_us = self.ctx.now_us + pause_us
        if not job.parts and len(done) == job.tasks:
            self._finish(chunk, job, len(done))
            return
        value = self._largest_fitting_value(chunk, job)
        if value is None:
            chunk.next_write_us = chunk.next_result_us
            return
        self._write(chunk, {key: view.stamp(key)}, {key: (value, None)}, [],
                    Urgency.USER if whole else Urgency.RESULT)

    def _record_value(self, chunk: Chunk, job: records.JobRecord, done: set[int]) -> records.JobRecord | records.Chunk:
        record = records.Chunk(task_sets.encode(chunk.assigned), task_sets.encode(done), sorted(chunk.zones))
        return msgspec.structs.replace(job, chunk=record) if job.shard == self.state.index else record

    def _largest_fitting_value(self, chunk: Chunk, job: records.JobRecord) -> records.JobRecord | records.Chunk | None:
        """The chunk's record with its results, or with as many as fit; the others wait on their workers.

        None where none fits and nothing else is to be settled: the last result may make the set short again.
        """
        value = self._record_value(chunk, job, chunk.done | chunk.unrecorded_done)
        if self.ctx.fits_record(value):
            return value
        fresh = sorted(chunk.unrecorded_done)
        few, many = 0, len(fresh)
        # Bound: the logarithm of the results; each turn halves what is between.
        while few + 1 < many:
            half = (few + many) // 2
            if self.ctx.fits_record(self._record_value(chunk, job, chunk.done | set(fresh[:half]))):
                few = half
            else:
                many = half
        return self._record_value(chunk, job, chunk.done | set(fresh[:few])) if few or chunk.in_doubt else None

    def _write(self, chunk: Chunk, conditions: dict[str, int], puts: dict[str, tuple[Any, int | None]],
               drops: list[str], urgency: Urgency, later: Sequence[str] = ()) -> None:
        """`later` names what may be dropped once this is written."""
        chunk.writing = True

        def finish(status: int, failed: list[str]) -> None:
            chunk.writing = False
            chunk.next_write_us = self.ctx.now_us + (AGAIN_US if status in (200, 409) else SECOND)
            job = self.ctx.view.job(chunk.uid)
            if status == 200 and job is not None and job.state == m.DONE:
                log.info("job %s is done", chunk.uid)
                self.ctx.delete_unneeded(list(later))

        self.ctx.txn({**self.state.ownership.fencing_condition(self.state.index), **conditions}, puts, drops, finish,
                     urgency)

    def _finish_if_complete(self, uid: str) -> None:
        """A job in several chunks is done when all of them are; its home shard says so."""
        view = self.ctx.view
        job, chunk = view.job(uid), self.state.chunks.get(uid)
        if job is None or chunk is None or not job.parts or job.shard != self.state.index or chunk.writing:
            return
        if len(chunk.done) < len(chunk.assigned):
            return
        count = records.done_count(view, uid)
        if count == job.tasks:
            self._finish(chunk, job, count)

    def _finish(self, chunk: Chunk, job: records.JobRecord, count: int) -> None:
        view, uid = self.ctx.view, chunk.uid
        parts = [records.part_key(s, uid) for s in job.parts]
        conditions = {key: view.stamp(key) for key in [records.job_key(uid), *parts]}
        drops = [p for p in parts if view.stamp(p)]
        most = self.ctx.limits.txn_ops - 1  # nobody reads the parts of a job that is over
        final = records.final_record(job, m.DONE, count, self.ctx.wall_us)
        self._write(chunk, conditions, {records.job_key(uid): (final, None)}, drops[:most], Urgency.USER, drops[most:])

    # Moves between shards.

    def split_zones(self, chunk: Chunk) -> tuple[set[str], set[str]] | None:
        """How a spread service may be split: zones for what stays here, and for what waits.

        The two never meet, so each shard can keep to the spread by counting its own tasks.
        """
        spec = chunk.spec
        if not (spec.service and spec.spread) or spec.one_zone or spec.zone or chunk.writing or chunk.moving \
                or chunk.in_doubt or chunk.unreconciled or not chunk.pending:
            return None
        used = set()
        for attempt in self.state.attempts_by_job.get(chunk.uid, ()):
            worker = self.state.workers.get(attempt.worker)
            if worker is not None:
                used.add(worker.zone)
        mine = chunk.zones or set(self.ctx.settings.facts.zones)
        used, rest = used & mine, mine - used
        return (used, rest) if used and rest else None

    def movable(self, chunk: Chunk) -> list[int]:
        """Tasks certain not to be running; all or nothing where zones bind the tasks together."""
        # What is suspected of a mistake stays where that is known.
        if chunk.writing or chunk.moving or chunk.in_doubt or chunk.unreconciled or chunk.crash_loop.suspected:
            return []
        if chunk.spec.whole:
            whole = len(chunk.pending) == len(chunk.assigned) - len(chunk.done) and not chunk.unrecorded_done
            if not whole:
                return []
        return list(chunk.pending)

    def move(self, chunk: Chunk, indices: list[int], target: int,
             split: tuple[set[str], set[str]] | None = None) -> None:
        """Hand waiting tasks to another shard in one transaction; not where records would become too large."""
        state, view, uid = self.state, self.ctx.view, chunk.uid
        job = view.job(uid)
        if job is None or job.state != m.QUEUED or not indices:
            return
        moved = set(indices)
        stay, go = split or (chunk.zones, chunk.zones)
        mine = records.Chunk(task_sets.encode(chunk.assigned - moved), task_sets.encode(chunk.done | chunk.unrecorded_done),
                             sorted(stay))
        theirs = view.chunk(target, uid) or records.Chunk("")
        if theirs.assigned and theirs.zones and go:
            go = go | set(theirs.zones)
        theirs = records.Chunk(task_sets.encode(task_sets.decode(theirs.assigned) | moved), theirs.done, sorted(go))
        chunks = {state.index: mine, target: theirs}
        parts = sorted({*job.parts, *(s for s in chunks if s != job.shard)})
        record = msgspec.structs.replace(job, parts=parts, chunk=chunks.get(job.shard, job.chunk))
        # Guard: what moves must be recordable, now and to the last result; a job's end has a condition on each part.
        ends = {s: msgspec.structs.replace(c, done=c.assigned) for s, c in chunks.items()}
        last = msgspec.structs.replace(record, chunk=ends.get(job.shard, job.chunk))
        values = (record, last, *chunks.values(), *ends.values())
        if len(parts) + 2 > 4 * self.ctx.limits.txn_ops or not all(map(self.ctx.fits_record, values)):
            return
        key = self._key(uid)
        puts: dict[str, tuple[Any, int | None]] = {
            records.part_key(s, uid): (c, None) for s, c in chunks.items() if s != job.shard}
        puts[records.job_key(uid)] = (record, None)
        conditions = {**state.ownership.fencing_condition(state.index), **{k: view.stamp(k) for k in puts}}
        for index in moved:
            chunk.pending.discard(index)
        chunk.in_doubt, chunk.in_doubt_stamp, chunk.moving = moved, view.stamp(key), True
        self.dirty_jobs.add(uid)

        def done(status: int, failed: list[str]) -> None:
            chunk.moving = False
            if status == 200:
                log.info("%d tasks of %s moved to shard %d", len(moved), uid, target)
            elif status in (NOT_SENT, 409, 429, 503, 400):
                in_doubt, chunk.in_doubt = chunk.in_doubt, set()
                state.add_pending(chunk, in_doubt)
            # Otherwise the outcome is open: the tasks stay in doubt until the record changes.

        self.ctx.txn(conditions, puts, [], done, Urgency.USER if chunk.spec.service else Urgency.REST)
