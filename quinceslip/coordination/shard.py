"""One shard: its workers, its tasks, and what runs where.

What the rules rest on:
- A task is launched only when it is certain that no worker has it. It is pinned to the worker its
  launch was sent to until that worker reports it, loses its session, or is gone.
- After a takeover, inherited tasks wait until every worker of the roster has shown the new term
  (what earlier owners sent is dead from then on) or is proven gone.
- Results are recorded before `reap`, and nothing is reaped while a direct launch of it is
  unanswered: the worker would have forgotten the attempt and start it again.
"""

import heapq
import logging
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from quinceslip.coordination.context import REPORT_WAIT_US, SECOND, Context, micros
from quinceslip.coordination.effects import NOT_SENT
from quinceslip.coordination.ownership import Ownership
from quinceslip.protocol import messages as m
from quinceslip.storage import records, tasksets

log = logging.getLogger(__name__)

#: attempts of one term; the term sits above, so attempts always rise
ATTEMPTS_PER_TERM = 2**24
FLUSH_US = 250_000
#: estimates are often wrong by half: only a job with less time left than this part is given up on
LATE_PART = 0.5


@dataclass(slots=True)
class Attempt:
    uid: str
    index: int
    number: int
    spec: m.JobSpec
    worker: str
    sent_us: int
    seen: bool = False
    state: str = ""
    running_us: int = 0
    ended: str = ""  # cause, once it has exited
    halting: bool = False
    grace_s: float = 0.0
    direct: bool = False  # a /do with its launch is in flight
    unanswered_term: int = 0  # a /do with its launch was never answered, sent under this term
    told: bool = False  # its launch or halt went out by /do already

    @property
    def name(self) -> str:
        return f"{self.uid}/{self.index}"


@dataclass(slots=True)
class Worker:
    name: str
    type: m.MachineType | None
    zone: str
    spot: bool
    endpoint: str = ""
    session: int = 0
    seq: int = 0
    token: int = 0
    notice_us: int = 0
    answered_us: int = 0
    heard_us: int = 0
    born_us: int = 0
    confirmed: bool = False
    lost: bool = False
    draining: str = ""
    deleting: bool = False
    busy: bool = False  # a /do is in flight
    idle_us: int = 0
    reported: dict[str, m.TaskReport] = field(default_factory=dict)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)
    errors: int = 0
    armed: bool = False  # its roster record says that it may hold tasks
    arming: bool = False
    deaf: int = 0  # probes in a row that went unanswered
    probing: bool = False
    next_probe_us: int = 0

    def live(self) -> list[Attempt]:
        return [a for a in self.attempts.values() if not a.ended]

    def service_room(self) -> float:
        """CPUs that are free or held by what a service may preempt."""
        taken = sum(a.spec.cpus for a in self.live() if a.spec.priority == 0)
        return self.type.cpus - taken if self.type is not None else 0.0

    def free(self) -> tuple[float, float, float]:
        if self.type is None:
            return (0.0, 0.0, 0.0)
        cpus, gpus, memory = self.type.cpus, self.type.gpus, self.type.memory_gb
        for attempt in self.attempts.values():
            if not attempt.ended:
                cpus -= attempt.spec.cpus
                gpus -= attempt.spec.gpus
                memory -= attempt.spec.memory_gb
        return (cpus, gpus, memory)


def fits(free: tuple[float, float, float], spec: m.JobSpec) -> bool:
    return free[0] >= spec.cpus - 1e-6 and free[1] >= spec.gpus - 1e-6 and free[2] >= spec.memory_gb - 1e-6


@dataclass(slots=True)
class Chunk:
    uid: str
    spec: m.JobSpec
    at_us: int
    own: set[int] = field(default_factory=set)
    done: set[int] = field(default_factory=set)
    new_done: set[int] = field(default_factory=set)
    pending: list[int] = field(default_factory=list)
    unknown: set[int] = field(default_factory=set)
    attempts: dict[int, Attempt] = field(default_factory=dict)
    not_before: dict[int, int] = field(default_factory=dict)
    failures: dict[int, int] = field(default_factory=dict)
    limbo: set[int] = field(default_factory=set)  # part of a move whose outcome is open
    limbo_stamp: int = 0
    sound: bool = False  # some task of it has completed
    flushing: bool = False
    moving: bool = False
    next_flush_us: int = 0
    blamed: set[str] = field(default_factory=set)  # workers on which tasks of it failed

    zones: set[str] = field(default_factory=set)  # empty: any
    due_us: int = 0  # wall clock by which the users want it done; 0: no aim

    def order(self, wall_us: int) -> tuple[int, bool, int, str]:
        """Priority, then first come, first served; what cannot be on time any more comes last.

        Plain first come, first served lets one late job make every later one late as well.
        """
        late = bool(self.due_us) and wall_us + micros(LATE_PART * self.spec.estimate_s) > self.due_us
        return (self.spec.priority, late, self.at_us, self.uid)


class Shard:
    def __init__(self, ctx: Context, ownership: Ownership, index: int, term: int, restarted: bool) -> None:
        self.ctx = ctx
        self.ownership = ownership
        self.index = index
        self.term = term
        self.counter = 0
        self.taken_us = ctx.now_us
        self.workers: dict[str, Worker] = {}
        self.chunks: dict[str, Chunk] = {}
        self.unresolved: set[str] = set()
        self.withdrawn: set[str] = set()
        self.next_raise_us = 0
        self.dirty = True
        self.finished: list[float] = []  # run times of finished tasks, newest last
        self.arrived = 0
        self.moved_us: dict[str, int] = {}
        # The last answer an earlier owner can have given its workers: at the end of its grace,
        # or, where it was this node before a restart, just before it died.
        grace_us = REPORT_WAIT_US if restarted else ctx.timing.grace_us + ctx.timing.hold_us
        for name, record in ctx.view.by_kind["roster"].items():
            if record.shard == index:
                worker = self._enroll(name, record)
                worker.answered_us = self.taken_us + grace_us
                if record.used:
                    self.unresolved.add(name)
        for uid in list(ctx.view.by_kind["job"]):
            self.sync(uid, inherited=True)
        self._resolve()

    # Records.

    def _enroll(self, name: str, record: records.RosterRecord) -> Worker:
        worker = self.workers.get(name)
        if worker is None:
            worker = Worker(name, self.ctx.types.get(record.type), record.zone, record.spot, record.endpoint)
            worker.born_us = worker.idle_us = worker.answered_us = self.ctx.now_us
            self.workers[name] = worker
        worker.armed = record.used
        return worker

    def roster_changed(self, name: str) -> None:
        record = self.ctx.view.by_kind["roster"].get(name)
        if record is not None and record.shard == self.index:
            # If it is new, it was written after our takeover: nothing inherited can be on it.
            self._enroll(name, record)
            self.dirty = True
        elif name in self.workers:
            self.gone(name)

    def sync(self, uid: str, inherited: bool = False) -> None:
        """Bring a chunk in line with its record."""
        view = self.ctx.view
        record = view.chunk(self.index, uid)
        job = view.job(uid)
        chunk = self.chunks.get(uid)
        if record is None or job is None or job.spec is None:
            if chunk is not None:
                del self.chunks[uid]
                self._end_job(chunk)
            return
        if chunk is None:
            chunk = self.chunks[uid] = Chunk(uid, job.spec, job.at_us, due_us=self._due_us(job.spec, job.at_us))
            if not inherited:
                self.arrived += 1
        own, done = tasksets.decode(record.own), tasksets.decode(record.done)
        fresh = own - chunk.own - done
        removed, more_done = chunk.own - own, done - chunk.done
        chunk.own, chunk.done, chunk.zones = own, done, set(record.zones)
        chunk.new_done -= done
        if inherited:
            chunk.unknown |= fresh
        else:
            self._add_pending(chunk, fresh)
        if removed or more_done:
            chunk.pending = [i for i in chunk.pending if i not in removed and i not in done]
            heapq.heapify(chunk.pending)
            chunk.unknown -= removed | done
        stamp = view.stamp(self._chunk_key(uid))
        if chunk.limbo and stamp > chunk.limbo_stamp:
            # The record changed since, so the move was either applied or never can be.
            self._add_pending(chunk, (chunk.limbo & own) - done)
            chunk.limbo = set()
        self.dirty = True
        if not record.own and job.shard != self.index:
            self.chunks.pop(uid)
        self._finalise(uid)

    def _chunk_key(self, uid: str) -> str:
        job = self.ctx.view.job(uid)
        if job is not None and job.shard == self.index:
            return records.job_key(uid)
        return records.part_key(self.index, uid)

    def _add_pending(self, chunk: Chunk, indices: Iterable[int]) -> None:
        known = set(chunk.pending)
        for index in indices:
            if index not in known and index not in chunk.attempts and index not in chunk.done \
                    and index not in chunk.new_done and index not in chunk.limbo and index in chunk.own:
                heapq.heappush(chunk.pending, index)

    def _end_job(self, chunk: Chunk) -> None:
        job = self.ctx.view.job(chunk.uid)
        if job is not None and job.state == m.WITHDRAWN:
            for attempt in chunk.attempts.values():
                if not attempt.ended:
                    self._halt(attempt, 0.0)

    def _halt(self, attempt: Attempt, grace_s: float) -> None:
        if not attempt.halting or grace_s < attempt.grace_s:
            attempt.halting, attempt.grace_s, attempt.told = True, grace_s, False
            self.dirty = True

    # Results.

    def flush(self) -> None:
        """Record finished tasks, one write per job."""
        now_us = self.ctx.now_us
        for chunk in list(self.chunks.values()):
            if chunk.new_done and not chunk.flushing and now_us >= chunk.next_flush_us:
                self._flush(chunk)
            elif chunk.limbo and not chunk.moving and not chunk.flushing and now_us >= chunk.next_flush_us:
                self._flush(chunk)  # settles an open move: the same chunk under a new stamp
            elif len(chunk.done) == len(chunk.own) and now_us >= chunk.next_flush_us:
                self._finalise(chunk.uid)

    def _flush(self, chunk: Chunk) -> None:
        view, uid = self.ctx.view, chunk.uid
        job = view.job(uid)
        if job is None or job.state != m.QUEUED:
            return
        key = self._chunk_key(uid)
        done = chunk.done | chunk.new_done
        chunk.next_flush_us = self.ctx.now_us + FLUSH_US
        if not job.parts and len(done) == job.tasks:
            self._finish(chunk, job, len(done))
            return
        record = records.Chunk(tasksets.encode(chunk.own), tasksets.encode(done), sorted(chunk.zones))
        value = msgspec.structs.replace(job, chunk=record) if job.shard == self.index else record
        chunk.flushing = True

        def finish(status: int, failed: list[str]) -> None:
            chunk.flushing = False
            chunk.next_flush_us = self.ctx.now_us + (FLUSH_US if status in (200, 409) else SECOND)

        self.ctx.txn({**self.ownership.condition(self.index), key: view.stamp(key)},
                     {key: (value, None)}, [], finish)

    def _finalise(self, uid: str) -> None:
        """A job in several chunks is done when all of them are; its home shard says so."""
        view = self.ctx.view
        job, chunk = view.job(uid), self.chunks.get(uid)
        if job is None or chunk is None or not job.parts or job.shard != self.index or chunk.flushing:
            return
        count = records.done_count(view, uid)
        if count == job.tasks:
            self._finish(chunk, job, count)

    def _finish(self, chunk: Chunk, job: records.JobRecord, count: int) -> None:
        view, uid = self.ctx.view, chunk.uid
        parts = [records.part_key(s, uid) for s in job.parts]
        conditions = {**self.ownership.condition(self.index)}
        for key in [records.job_key(uid), *parts]:
            conditions[key] = view.stamp(key)
        chunk.flushing = True

        def finish(status: int, failed: list[str]) -> None:
            chunk.flushing = False
            chunk.next_flush_us = self.ctx.now_us + (FLUSH_US if status in (200, 409) else SECOND)
            if status == 200:
                log.info("job %s is done", uid)

        self.ctx.txn(conditions, {records.job_key(uid): (records.final_record(job, m.DONE, count), None)},
                     [p for p in parts if view.stamp(p)], finish)

    # Reports.

    def reported(self, report: m.WorkerReport, direct: bool = False) -> m.CommandReply | None:
        """Take a report; returns the answer, or None where none may be given yet."""
        worker = self.workers[report.worker]
        now_us = self.ctx.now_us
        if report.token > self.term:
            self.raise_term(report.token)
            return None
        if (report.session, report.seq) <= (worker.session, worker.seq):
            return m.CommandReply(self.term, [])
        if report.session > worker.session:
            # A first report only shows the session. It proves nothing about an inherited worker,
            # which may still take a late command until it shows our term.
            if worker.session:
                log.info("worker %s lost session %d", worker.name, worker.session)
                self._lose(worker)
            worker.session = report.session
            # A session has its full lease from its start, whether its reports are answered or not.
            # Judged by the session before, its tasks were taken for lost while they ran.
            worker.answered_us = max(worker.answered_us, now_us)
        elif worker.lost and any(t.state != m.EXITED for t in report.tasks):
            log.error("worker %s is back in session %d, thought lost", worker.name, report.session)
        worker.lost = False
        worker.seq, worker.token = report.seq, report.token
        worker.endpoint, worker.heard_us, worker.deaf = report.endpoint, now_us, 0
        if worker.type is None:
            worker.type = self.ctx.types.get(report.type)
        worker.zone, worker.spot = report.zone, report.spot
        if report.notice_s is not None and not worker.notice_us:
            worker.notice_us = now_us + micros(max(report.notice_s, 0.0))
            log.info("worker %s goes in %.1f s", worker.name, report.notice_s)
            self._notice(worker, report.notice_s)
        worker.reported = {t.task: t for t in report.tasks}
        self._match(worker)
        if report.token == self.term and not worker.confirmed:
            worker.confirmed = True
            if worker.name in self.unresolved:
                self.unresolved.discard(worker.name)
                self._resolve()
        self.dirty = True
        if direct:
            return None
        worker.answered_us = now_us
        if not worker.armed:
            self._arm(worker)
        self.plan()
        return m.CommandReply(self.term, self._orders(worker) if self.ownership.entitled() else [])

    def _arm(self, worker: Worker) -> None:
        """Record durably that the worker may hold tasks; nothing is launched on it before."""
        record = self.ctx.view.by_kind["roster"].get(worker.name)
        if worker.arming or record is None or not self.ownership.entitled():
            return
        key = records.roster_key(worker.name)
        worker.arming = True

        def done(status: int, failed: list[str]) -> None:
            worker.arming = False

        entry = msgspec.structs.replace(record, endpoint=worker.endpoint, used=True)
        self.ctx.txn({**self.ownership.condition(self.index), key: self.ctx.view.stamp(key)},
                     {key: (entry, None)}, [], done)

    def _match(self, worker: Worker) -> None:
        for name, task in worker.reported.items():
            attempt = worker.attempts.get(name)
            if attempt is not None and attempt.number != task.attempt:
                if attempt.seen:
                    log.error("%s on %s as attempt %d, not %d", name, worker.name, task.attempt, attempt.number)
                continue
            if attempt is None:
                attempt = self._discover(worker, name, task)
                if attempt is None:
                    continue
            attempt.seen = True
            self._progress(worker, attempt, task)
        for name, attempt in list(worker.attempts.items()):
            if attempt.seen and name not in worker.reported:
                del worker.attempts[name]
                if not attempt.ended:
                    log.error("%s vanished from %s", name, worker.name)
                    self._requeue(attempt)

    def _discover(self, worker: Worker, name: str, task: m.TaskReport) -> Attempt | None:
        """A task we did not launch: one of an earlier owner's."""
        uid, _, number = name.rpartition("/")
        chunk = self.chunks.get(uid)
        if chunk is None or not number.isdigit():
            return None
        index = int(number)
        if index not in chunk.own or index in chunk.done or index in chunk.new_done:
            return None
        if index in chunk.attempts:
            if task.state != m.EXITED:
                log.error("%s is on %s and on %s", name, worker.name, chunk.attempts[index].worker)
            return None
        if index not in chunk.unknown and task.state != m.EXITED:
            log.error("%s turned up on %s", name, worker.name)
            if index in chunk.pending:
                chunk.pending.remove(index)
                heapq.heapify(chunk.pending)
        elif index not in chunk.unknown and task.why != m.CAUSE_DONE:
            return None
        chunk.unknown.discard(index)
        if index in chunk.pending:
            chunk.pending.remove(index)
            heapq.heapify(chunk.pending)
        attempt = Attempt(uid, index, task.attempt, chunk.spec, worker.name, self.ctx.now_us, seen=True)
        chunk.attempts[index] = attempt
        worker.attempts[name] = attempt
        return attempt

    def _progress(self, worker: Worker, attempt: Attempt, task: m.TaskReport) -> None:
        if attempt.ended:
            return
        if task.state != m.PULLING and task.state != m.EXITED:
            if not attempt.running_us:
                attempt.running_us = self.ctx.now_us
            worker.images.pop(attempt.spec.image, None)
            worker.images[attempt.spec.image] = attempt.spec.image_gb
        attempt.state = task.state
        if task.state != m.EXITED:
            return
        attempt.ended = task.why or m.CAUSE_ERROR
        chunk = self.chunks.get(attempt.uid)
        if chunk is None or chunk.attempts.get(attempt.index) is not attempt:
            return
        del chunk.attempts[attempt.index]
        if attempt.ended == m.CAUSE_DONE:
            chunk.new_done.add(attempt.index)
            # The job is sound, so the workers on which it failed are not.
            chunk.sound = True
            for name in chunk.blamed - {worker.name}:
                if name in self.workers:
                    self.workers[name].errors += 1
            chunk.blamed -= {worker.name}
            if attempt.running_us:
                self.finished.append((self.ctx.now_us - attempt.running_us) / SECOND)
                del self.finished[:-200]
            return
        if attempt.ended in m.CAUSES_GANG:
            chunk.not_before[attempt.index] = self.ctx.now_us + SECOND
        elif attempt.ended != m.CAUSE_HALTED:
            # Retry elsewhere, later each time: a mistaken job fails on every machine.
            failures = chunk.failures[attempt.index] = chunk.failures.get(attempt.index, 0) + 1
            wait_us = min(30 * SECOND, SECOND // 2 * 2 ** min(failures, 6))
            chunk.not_before[attempt.index] = self.ctx.now_us + wait_us
            log.info("%s on %s: %s", attempt.name, worker.name, attempt.ended)
            if attempt.ended == m.CAUSE_ERROR:
                if chunk.sound and worker.name in chunk.blamed:
                    worker.errors += 1
                chunk.blamed.add(worker.name)
        self._add_pending(chunk, [attempt.index])

    def _requeue(self, attempt: Attempt) -> None:
        attempt.ended = "lost"
        chunk = self.chunks.get(attempt.uid)
        if chunk is not None and chunk.attempts.get(attempt.index) is attempt:
            del chunk.attempts[attempt.index]
            self._add_pending(chunk, [attempt.index])
        self.dirty = True

    def _lose(self, worker: Worker) -> None:
        for attempt in list(worker.attempts.values()):
            if not attempt.ended:
                self._requeue(attempt)
        worker.attempts.clear()
        worker.reported = {}
        worker.images.clear()
        worker.lost = True
        if worker.name in self.unresolved:
            self.unresolved.discard(worker.name)
            self._resolve()

    def gone(self, name: str) -> None:
        """The machine is proven gone."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            self._lose(worker)

    def _resolve(self) -> None:
        if self.unresolved:
            return
        for chunk in self.chunks.values():
            if chunk.unknown:
                unknown, chunk.unknown = chunk.unknown, set()
                self._add_pending(chunk, unknown)
        self.dirty = True

    def _notice(self, worker: Worker, notice_s: float) -> None:
        worker.draining = "notice"
        for attempt in worker.live():
            spec = attempt.spec
            if spec.service or (spec.checkpoint_s > 0 and spec.save_s <= notice_s):
                self._halt(attempt, spec.save_s)

    def raise_term(self, above: int = 0) -> None:
        if self.ctx.now_us >= self.next_raise_us:
            self.next_raise_us = self.ctx.now_us + 3 * SECOND
            self.ownership.claim(self.index, above)

    def term_raised(self, term: int) -> None:
        self.term = term
        self.counter = 0
        for worker in self.workers.values():
            worker.confirmed = False
        self.dirty = True

    # Commands.

    def _settled(self, worker: Worker, attempt: Attempt) -> bool:
        """No launch of this attempt can still arrive."""
        if attempt.direct:
            return False
        return not attempt.unanswered_term or worker.token > attempt.unanswered_term

    def _orders(self, worker: Worker) -> list[m.Command]:
        """What the answer to a report says; repeated until a report shows it happened."""
        halts: list[m.Command] = []
        launches: list[m.Command] = []
        reaps: list[m.Command] = []
        for name, attempt in list(worker.attempts.items()):
            if not attempt.seen:
                if attempt.halting:
                    if self._settled(worker, attempt):
                        # Launches in answers to reports are settled by the next report.
                        del worker.attempts[name]
                        self._requeue(attempt)
                        continue
                    # A direct launch may still arrive: let the attempt exist, ended.
                    launches += [m.launch(name, attempt.number), m.halt(name, attempt.number, 0.0)]
                    self.raise_term()
                else:
                    launches.append(m.launch(name, attempt.number))
            elif not attempt.ended:
                if attempt.halting and (attempt.state != m.FLUSHING or attempt.grace_s == 0):
                    halts.append(m.halt(name, attempt.number, attempt.grace_s))
            elif self._recorded(attempt):
                if self._settled(worker, attempt):
                    reaps.append(m.reap(name, attempt.number))
                else:
                    self.raise_term()
        for name, task in worker.reported.items():
            known = worker.attempts.get(name)
            if known is not None and known.number == task.attempt:
                continue
            if task.state == m.EXITED:
                if worker.confirmed:
                    reaps.append(m.reap(name, task.attempt))
            elif self._unwanted(worker, name):
                halts.append(m.halt(name, task.attempt, 0.0))
        return halts + launches + reaps

    def _recorded(self, attempt: Attempt) -> bool:
        if attempt.ended != m.CAUSE_DONE:
            return True
        chunk = self.chunks.get(attempt.uid)
        if chunk is not None:
            return attempt.index in chunk.done
        job = self.ctx.view.job(attempt.uid)
        return job is not None and records.is_final(job)

    def _unwanted(self, worker: Worker, name: str) -> bool:
        uid, _, number = name.rpartition("/")
        job = self.ctx.view.job(uid)
        if job is None:
            return False
        if records.is_final(job):
            return True
        chunk = self.chunks.get(uid)
        if chunk is None or not number.isdigit():
            return False
        other = chunk.attempts.get(int(number))
        return int(number) in chunk.done or (other is not None and other.worker != worker.name)

    def send_direct(self) -> None:
        """Tell workers at once what cannot wait for their next report."""
        if not self.ownership.entitled():
            return
        for worker in self.workers.values():
            if worker.busy or worker.lost or not worker.endpoint or not worker.confirmed:
                continue
            fresh = [a for a in worker.attempts.values() if not a.told and not a.ended]
            halts = [a for a in fresh if a.halting and a.seen and a.state != m.FLUSHING]
            launches = [a for a in fresh if not a.halting and not a.seen]
            if halts or launches:
                self._direct(worker, halts, launches)

    def _direct(self, worker: Worker, halts: list[Attempt], launches: list[Attempt]) -> None:
        commands = [m.halt(a.name, a.number, a.grace_s) for a in halts]
        commands += [m.launch(a.name, a.number) for a in launches]
        for attempt in halts + launches:
            attempt.told = True
        for attempt in launches:
            attempt.direct = True
        worker.busy = True
        term, session = self.term, worker.session

        def done(status: int, body: bytes) -> None:
            worker.busy = False
            for attempt in launches:
                attempt.direct = False
                if status not in (NOT_SENT, 200, 409, 400):
                    attempt.unanswered_term = term
            if status in (200, 409) and self.workers.get(worker.name) is worker:
                self._direct_report(worker, body)

        self.ctx.call(worker.endpoint, "POST", m.PATH_DO, m.DirectCommands(term, session, commands), done)

    def _probe(self, worker: Worker) -> None:
        """Ask a silent worker itself: it may only be between two nodes."""
        worker.probing = True

        def done(status: int, body: bytes) -> None:
            worker.probing = False
            if status != 200:
                worker.deaf += 1
            elif self.workers.get(worker.name) is worker:
                self._direct_report(worker, body)
                if worker.token < self.term and not worker.busy and self.ownership.entitled():
                    # An empty command shows it our term now; its report would take seconds.
                    self._direct(worker, [], [])

        self.ctx.call(worker.endpoint, "GET", m.PATH_INSPECT, None, done, timeout_us=SECOND)

    def _direct_report(self, worker: Worker, body: bytes) -> None:
        try:
            report = msgspec.json.decode(body, type=m.WorkerReport)
        except msgspec.DecodeError as error:
            log.error("worker %s answered nonsense: %s", worker.name, error)
            return
        if report.worker == worker.name:
            self.reported(report, direct=True)

    # Placement.

    def _due_us(self, spec: m.JobSpec, at_us: int) -> int:
        """When the users want a job done: its own deadline, or the aim of its class."""
        due_s = math.inf if spec.deadline_s is None else spec.deadline_s
        for objective in self.ctx.settings.facts.objectives:
            if objective.job_class == spec.job_class and objective.kind == "finished" and objective.within_s:
                due_s = min(due_s, objective.within_s)
        return 0 if spec.service or not math.isfinite(due_s) else at_us + micros(due_s)

    def ordered(self) -> list[Chunk]:
        wall_us = self.ctx.wall_us
        return sorted(self.chunks.values(), key=lambda c: c.order(wall_us))

    def tick(self) -> None:
        now_us = self.ctx.now_us
        for worker in list(self.workers.values()):
            if not worker.lost and now_us > worker.answered_us + self.ctx.timing.lost_us:
                if worker.attempts or worker.name in self.unresolved:
                    log.info("worker %s has been silent past its lease", worker.name)
                self._lose(worker)
            if worker.attempts:
                worker.idle_us = now_us
            silent_us = now_us - max(worker.heard_us, self.taken_us)
            inherited = worker.name in self.unresolved
            if not worker.probing and worker.endpoint and now_us >= worker.next_probe_us and (inherited or (
                    worker.attempts and worker.heard_us and silent_us > self.ctx.timing.probe_us)):
                worker.next_probe_us = now_us + SECOND // 2
                self._probe(worker)
        self.flush()
        for chunk in self.chunks.values():
            if chunk.not_before:
                due = [i for i, t in chunk.not_before.items() if t <= now_us]
                for index in due:
                    del chunk.not_before[index]
                    self.dirty = True
        self.plan()
        self.send_direct()

    def waiting(self) -> int:
        return sum(len(c.pending) for c in self.chunks.values())

    def usable(self, worker: Worker) -> bool:
        return (worker.type is not None and worker.armed and worker.confirmed and not worker.lost
                and not worker.draining and not worker.notice_us and not worker.deleting
                and self.ctx.now_us - worker.heard_us <= self.ctx.timing.fresh_us)

    def allowed(self, worker: Worker, spec: m.JobSpec, zones: set[str] | None) -> bool:
        return (worker.type is not None and (spec.types is None or worker.type.label in spec.types)
                and (spec.zone is None or worker.zone == spec.zone) and (spec.spot or not worker.spot)
                and (zones is None or worker.zone in zones))

    def zones_for(self, chunk: Chunk, extra: dict[str, int] | None = None) -> set[str] | None:
        """Zones that `together` and `spread` leave for one more task; None: any.

        Every task that may still be somewhere counts, wherever its chunk is kept.
        """
        spec = chunk.spec
        if not (spec.one_zone or spec.spread):
            return None
        others = [c for s, c in self.ctx.view.chunks(chunk.uid).items()
                  if s != self.index and tasksets.decode(c.own) - tasksets.decode(c.done)]
        # Where others hold a part of it, only disjoint zones keep both from meeting.
        apart = not spec.one_zone and chunk.zones and all(c.zones and not chunk.zones & set(c.zones) for c in others)
        if chunk.unknown or chunk.limbo or (others and not apart):
            return set()  # some may be anywhere: wait until it is known
        counts: dict[str, int] = {}
        for worker in self.workers.values():
            for attempt in worker.attempts.values():
                if attempt.uid == chunk.uid and (not attempt.ended or not self._settled(worker, attempt)):
                    counts[worker.zone] = counts.get(worker.zone, 0) + 1
        zones = set(chunk.zones or self.ctx.settings.facts.zones)
        if spec.one_zone:
            zones &= set(counts) or zones
            if len(counts) > 1:
                return set()
        if spec.spread:
            most = (spec.tasks + 1) // 2
            zones = {z for z in zones if counts.get(z, 0) < most}
        return zones

    def plan(self) -> None:
        """Place pending tasks: priority first, then first come, first served."""
        if not self.dirty or not self.ownership.entitled():
            return
        self.dirty = False
        now_us = self.ctx.now_us
        usable = [w for w in self.workers.values() if self.usable(w)]
        free = {w.name: w.free() for w in usable}
        for chunk in self.ordered():
            if not chunk.pending:
                continue
            if chunk.spec.gang:
                self._plan_gang(chunk, usable, free)
                continue
            later: list[int] = []
            while chunk.pending:
                index = chunk.pending[0]
                if chunk.not_before.get(index, 0) > now_us:
                    later.append(heapq.heappop(chunk.pending))
                    continue
                if not self._team_allows(chunk.spec):
                    break
                worker = self._pick(chunk, index, usable, free)
                if worker is None:
                    worker = self._make_room(chunk, usable, free)
                if worker is None:
                    break
                heapq.heappop(chunk.pending)
                self._launch(chunk, index, worker, free)
            for index in later:
                heapq.heappush(chunk.pending, index)

    def _plan_gang(self, chunk: Chunk, usable: list[Worker], free: dict[str, tuple[float, float, float]]) -> None:
        """Place all tasks of a gang or none; nothing is sent before all have a place."""
        now_us = self.ctx.now_us
        if len(chunk.pending) != len(chunk.own) - len(chunk.done) - len(chunk.new_done) or any(
                t > now_us for t in chunk.not_before.values()):
            return  # some of an earlier try are still there
        indices, before = sorted(chunk.pending), dict(free)
        placed: list[Attempt] = []
        for index in indices:
            worker = self._pick(chunk, index, usable, free) if self._team_allows(chunk.spec) else None
            if worker is None:
                for attempt in placed:
                    del self.workers[attempt.worker].attempts[attempt.name]
                    del chunk.attempts[attempt.index]
                free.update(before)
                return
            # Tasks of a gang know each other by their attempt, so they share its number.
            self._launch(chunk, index, worker, free, placed[0].number if placed else 0)
            placed.append(chunk.attempts[index])
        chunk.pending = []

    def _pick(self, chunk: Chunk, index: int, usable: list[Worker],
              free: dict[str, tuple[float, float, float]]) -> Worker | None:
        """Best fit among the machines that reported room, those with the image first."""
        spec = chunk.spec
        zones = self.zones_for(chunk)
        name = f"{chunk.uid}/{index}"
        best: tuple[tuple[float, ...], Worker] | None = None
        for worker in usable:
            room = free[worker.name]
            if not fits(room, spec) or not self.allowed(worker, spec, zones) \
                    or name in worker.attempts or name in worker.reported:
                continue
            score = (float(worker.errors > 1), float(worker.name in chunk.blamed),
                     *self._preference(worker, spec), room[0] - spec.cpus, room[2] - spec.memory_gb)
            if best is None or score < best[0]:
                best = (score, worker)
        return best[1] if best else None

    def _preference(self, worker: Worker, spec: m.JobSpec) -> tuple[float, ...]:
        """What comes before best fit. Smaller is better."""
        uncached = float(spec.image not in worker.images)
        resident = sum(a.spec.cpus for a in worker.attempts.values() if a.spec.service and not a.ended)
        if spec.service:
            # Services stay for long: where they leave least besides themselves, whatever else
            # runs there now, the other machines can be returned.
            size = worker.type.cpus if worker.type else 0.0
            return (uncached, size - resident - spec.cpus)
        # Work that may use spot machines leaves the others to work that may not, and of those
        # prefers the ones that services keep rented anyway.
        return (float(spec.spot and not worker.spot), float(not resident and not worker.spot), uncached)

    def _make_room(self, chunk: Chunk, usable: list[Worker],
                   free: dict[str, tuple[float, float, float]]) -> Worker | None:
        """Preempt lower priorities. Production takes the place at once; others wait for it."""
        spec = chunk.spec
        guaranteed = self._in_guarantee(spec.team, spec)
        if spec.priority > 1 and not guaranteed:
            return None
        zones = self.zones_for(chunk)
        best: tuple[float, Worker, list[Attempt]] | None = None
        for worker in usable:
            if not self.allowed(worker, spec, zones):
                continue
            room = list(free[worker.name])
            victims = [a for a in worker.live() if a.seen and not a.halting and (
                (spec.priority <= 1 and a.spec.priority > spec.priority)
                or (guaranteed and a.spec.team != spec.team and not self._in_guarantee(a.spec.team, None)))]
            victims.sort(key=lambda a: (-a.spec.priority, a.spec.checkpoint_s == 0, -a.running_us))
            chosen: list[Attempt] = []
            lost = 0.0
            for victim in victims:
                if fits((room[0], room[1], room[2]), spec):
                    break
                chosen.append(victim)
                room[0] += victim.spec.cpus
                room[1] += victim.spec.gpus
                room[2] += victim.spec.memory_gb
                ran_s = (self.ctx.now_us - victim.running_us) / SECOND if victim.running_us else 0.0
                at_risk_s = min(ran_s, victim.spec.checkpoint_s) if victim.spec.checkpoint_s else ran_s
                lost += at_risk_s * victim.spec.cpus
            cost = lost + 30.0 * (spec.image not in worker.images)
            if chosen and fits((room[0], room[1], room[2]), spec) and (best is None or cost < best[0]):
                best = (cost, worker, chosen)
        if best is None:
            return None
        _, worker, chosen = best
        room = list(free[worker.name])
        for victim in chosen:
            log.info("%s makes room for %s", victim.name, chunk.uid)
            self._halt(victim, 0.0)
            room[0] += victim.spec.cpus
            room[1] += victim.spec.gpus
            room[2] += victim.spec.memory_gb
        free[worker.name] = (room[0], room[1], room[2])
        return worker

    def _in_guarantee(self, name: str, more: m.JobSpec | None) -> bool:
        """Whether a team stays within its guarantee here, with one more task.

        Each shard answers for an equal part of it: what settings fix, no race can exceed.
        """
        team = next((t for t in self.ctx.settings.facts.teams if t.name == name), None)
        if team is None or not (team.cpus or team.gpus):
            return False
        part = 1 if team.cpus_max or team.gpus_max else self.ctx.settings.facts.size
        cpus = more.cpus if more else 0.0
        gpus = more.gpus if more else 0.0
        for worker in self.workers.values():
            for attempt in worker.attempts.values():
                if attempt.spec.team == name and not attempt.ended:
                    cpus += attempt.spec.cpus
                    gpus += attempt.spec.gpus
        return cpus <= team.cpus / part + 1e-6 and gpus <= team.gpus / part + 1e-6

    def _team_allows(self, spec: m.JobSpec) -> bool:
        """A team with a limit has all its jobs on one shard, which alone counts its tasks."""
        team = next((t for t in self.ctx.settings.facts.teams if t.name == spec.team), None)
        if team is None or not (team.cpus_max or team.gpus_max):
            return True
        cpus, gpus = spec.cpus, spec.gpus
        for worker in self.workers.values():
            for attempt in worker.attempts.values():
                if attempt.spec.team == spec.team and (not attempt.ended or not self._settled(worker, attempt)):
                    cpus += attempt.spec.cpus
                    gpus += attempt.spec.gpus
        if self.unresolved:
            # What an earlier owner had running of jobs that are over may be on a silent worker.
            return False
        return (not team.cpus_max or cpus <= team.cpus_max + 1e-6) and (
            not team.gpus_max or gpus <= team.gpus_max + 1e-6)

    def _launch(self, chunk: Chunk, index: int, worker: Worker,
                free: dict[str, tuple[float, float, float]], number: int = 0) -> None:
        if not number:
            self.counter += 1
            number = self.term * ATTEMPTS_PER_TERM + self.counter
        attempt = Attempt(chunk.uid, index, number, chunk.spec, worker.name, self.ctx.now_us)
        chunk.attempts[index] = attempt
        worker.attempts[attempt.name] = attempt
        room = free[worker.name]
        spec = chunk.spec
        free[worker.name] = (room[0] - spec.cpus, room[1] - spec.gpus, room[2] - spec.memory_gb)
        log.debug("launch %s on %s", attempt.name, worker.name)

    # What balance and rentals ask.

    def mean_task(self) -> tuple[float, float]:
        """CPUs and run time of a typical task: what a slot is and how fast it serves."""
        cpus = weight = 0.0
        run_s = 0.0
        for chunk in self.chunks.values():
            if not chunk.spec.service:
                count = len(chunk.own) - len(chunk.done)
                cpus += chunk.spec.cpus * count
                run_s += chunk.spec.estimate_s * count
                weight += count
        if weight:
            cpus, run_s = cpus / weight, run_s / weight
        if self.finished:
            run_s = sum(self.finished) / len(self.finished)
        return (cpus or 1.0, run_s or 60.0)

    def station(self) -> tuple[int, float]:
        """m and u of this shard."""
        cpus, run_s = self.mean_task()
        total = 0.0
        for worker in self.workers.values():
            if self.usable(worker) and worker.type is not None:
                services = sum(a.spec.cpus for a in worker.live() if a.spec.service)
                total += max(0.0, worker.type.cpus - services)
        return (int(total / max(cpus, 0.1)), 1.0 / max(run_s, 0.1))

    def room(self) -> int:
        """Slots free right now."""
        if any(c.pending for c in self.chunks.values()):
            return 0
        cpus, _ = self.mean_task()
        return int(sum(w.free()[0] // max(cpus, 0.1) for w in self.workers.values() if self.usable(w)))

    def summary(self) -> str:
        """One line for the log: each machine with what services and other tasks take of it."""
        parts = []
        for worker in sorted(self.workers.values(), key=lambda w: (w.spot, w.name)):
            services = sum(a.spec.cpus for a in worker.live() if a.spec.service)
            others = sum(a.spec.cpus for a in worker.live() if not a.spec.service)
            state = "" if self.usable(worker) else " out" if worker.heard_us else " booting"
            size = worker.type.cpus if worker.type else 0.0
            parts.append(f"{worker.name}{' spot' if worker.spot else ''} {services:g}+{others:g}/{size:g}{state}")
        return f"shard {self.index}: {self.waiting()} waiting; " + ", ".join(parts)

    def service_room(self) -> list[int]:
        """CPUs that services could have in each zone: free, or held by what they may preempt."""
        room = dict.fromkeys(self.ctx.settings.facts.zones, 0.0)
        for worker in self.workers.values():
            if self.usable(worker) and not worker.spot:
                room[worker.zone] = room.get(worker.zone, 0.0) + worker.service_room()
        return [max(0, int(room[zone])) for zone in self.ctx.settings.facts.zones]

    def split_zones(self, chunk: Chunk) -> tuple[set[str], set[str]] | None:
        """How a spread service may be split: zones for what stays here, and for what waits.

        The two never meet, so each shard can keep to the spread by counting its own tasks.
        """
        spec = chunk.spec
        if not (spec.service and spec.spread) or spec.one_zone or spec.zone or chunk.flushing or chunk.moving \
                or chunk.limbo or chunk.unknown or not chunk.pending:
            return None
        used = {w.zone for w in self.workers.values() for a in w.attempts.values() if a.uid == chunk.uid}
        mine = chunk.zones or set(self.ctx.settings.facts.zones)
        used, rest = used & mine, mine - used
        return (used, rest) if used and rest else None

    def movable(self, chunk: Chunk) -> list[int]:
        """Tasks certain not to be running; all or nothing where zones bind the tasks together."""
        if chunk.flushing or chunk.moving or chunk.limbo or chunk.unknown:
            return []
        team = next((t for t in self.ctx.settings.facts.teams if t.name == chunk.spec.team), None)
        if team is not None and (team.cpus_max or team.gpus_max):
            return []
        if chunk.spec.whole:
            whole = len(chunk.pending) == len(chunk.own) - len(chunk.done) and not chunk.new_done
            if not whole:
                return []
        return sorted(chunk.pending)

    def move(self, chunk: Chunk, indices: list[int], target: int,
             split: tuple[set[str], set[str]] | None = None) -> None:
        """Hand waiting tasks to another shard in one transaction."""
        view, uid = self.ctx.view, chunk.uid
        job = view.job(uid)
        if job is None or job.state != m.QUEUED or not indices:
            return
        moved = set(indices)
        stay, go = split or (chunk.zones, chunk.zones)
        mine = records.Chunk(tasksets.encode(chunk.own - moved), tasksets.encode(chunk.done | chunk.new_done),
                             sorted(stay))
        theirs = view.chunk(target, uid) or records.Chunk("")
        if theirs.own and theirs.zones and go:
            go = go | set(theirs.zones)
        theirs = records.Chunk(tasksets.encode(tasksets.decode(theirs.own) | moved), theirs.done, sorted(go))
        chunks = {self.index: mine, target: theirs}
        parts = sorted({*job.parts, *(s for s in chunks if s != job.shard)})
        record = msgspec.structs.replace(job, parts=parts, chunk=chunks.get(job.shard, job.chunk))
        key = self._chunk_key(uid)
        puts: dict[str, tuple[Any, int | None]] = {
            records.part_key(s, uid): (c, None) for s, c in chunks.items() if s != job.shard}
        puts[records.job_key(uid)] = (record, None)
        conditions = {**self.ownership.condition(self.index), **{k: view.stamp(k) for k in puts}}
        chunk.pending = [i for i in chunk.pending if i not in moved]
        heapq.heapify(chunk.pending)
        chunk.limbo, chunk.limbo_stamp, chunk.moving = moved, view.stamp(key), True

        def done(status: int, failed: list[str]) -> None:
            chunk.moving = False
            if status == 200:
                log.info("%d tasks of %s moved to shard %d", len(moved), uid, target)
            elif status in (NOT_SENT, 409, 429, 503, 400):
                limbo, chunk.limbo = chunk.limbo, set()
                self._add_pending(chunk, limbo)
                self.dirty = True
            # Otherwise the outcome is open: the tasks stay in limbo until the record changes.

        self.ctx.txn(conditions, puts, [], done)
