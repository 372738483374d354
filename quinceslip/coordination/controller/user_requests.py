"""What users are told: submissions, polls and cancellations, each behind the reads that make it true."""

import logging
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency, UserRequest
from quinceslip.coordination.actor.subsystem import Subsystem
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.load_balancing.load_balancer import LoadBalancer
from quinceslip.coordination.shard.shard import Shard
from quinceslip.feature_gate import PIPELINES
from quinceslip.protocol import messages as m
from quinceslip.storage import records, task_sets

log = logging.getLogger(__name__)

MAX_WAITING_POLLS = 500
#: part of this controller's requests to the state service that reads for polls may take
READ_PART = 0.25
#: a poll waits no longer than this for others that share its read
READ_WAIT_US = SECOND // 4
#: users wait 2 s for an answer to a poll (PROTOCOL); what cannot be known by then is 503
ANSWER_US = 7 * SECOND // 4


@dataclass(slots=True)
class PendingRequest:
    """A user's request that needs a read barrier."""

    request: int
    job_id: str
    asked_us: int
    action: str = "status"
    answer_if_absent: tuple[int, object] = (404, {"error": "no such job"})
    spec: m.JobSpec | None = None  # what to submit once the read is known


class UserRequests:
    def __init__(
        self, ctx: Context, shards: dict[int, Shard], load_balancer: LoadBalancer, subsystems: Sequence[Subsystem]
    ) -> None:
        self.ctx = ctx
        self.shards = shards
        self.load_balancer = load_balancer
        self.subsystems = subsystems
        self.waiting_for_barrier: list[PendingRequest] = []  # for the next barrier
        self.awaiting_cache: list[tuple[int, list[PendingRequest]]] = []  # for the view to catch up
        self.cancel_retries: list[tuple[int, str, int, int]] = []  # to be tried again
        self.barrier_open = False
        facts = ctx.settings.facts
        self.read_gap_us = min(int(SECOND * facts.size / (READ_PART * ctx.limits.rps)), READ_WAIT_US)
        self.next_read_us = 0
        self.read_barriers = 0  # barriers so far, for tests and profiles

    def tick(self) -> None:
        now_us = self.ctx.now_us
        due = [c for c in self.cancel_retries if c[3] <= now_us]
        self.cancel_retries = [c for c in self.cancel_retries if c[3] > now_us]
        for request, job_id, tries, _ in due:
            self._cancel(request, job_id, tries)
        self.cache_advanced()
        # Guard: a read that hangs holds up nobody past the time that users wait, however many ask meanwhile.
        self.waiting_for_barrier = self._still_in_time(self.waiting_for_barrier)
        self._start_read_barrier()

    def handle(self, request: UserRequest) -> None:
        if request.verb == "submit":
            self._submit(request.request, request.spec)
        elif request.verb == "malformed":
            # Not before it is sure that the job is not known: an accepted job never gets 400.
            self._poll(request.request, request.job_id, absent=(400, {"error": request.spec.why}))
        elif request.verb == "poll":
            self._poll(request.request, request.job_id)
        else:
            self._cancel(request.request, request.job_id, 3)

    def _unavailable(self, request: int) -> None:
        self.ctx.reply(request, 503, {"error": "cannot decide yet"}, **{"Retry-After": "1"})

    def _status(self, job_id: str, job: records.JobRecord) -> dict[str, object]:
        if records.is_final(job):
            return m.job_answer(job_id, job.state, job.done, 0)
        if self.ctx.graph.is_cancelled(job_id):
            return m.job_answer(job_id, m.CANCELLED, 0, 0)
        partitions = [s.partitions[job_id] for s in self.shards.values() if job_id in s.partitions]
        running = sum(a.state == m.RUNNING for c in partitions for a in c.attempts.values())
        done = self.ctx.cache.done_count(job_id)
        why = next((c.crash_loop.reason() for c in partitions if c.crash_loop.suspected), None)
        return m.job_answer(job_id, m.RUNNING if running else m.QUEUED, done, running, why)

    def _never_runs_reason(self, spec: m.JobSpec) -> str | None:
        """Why a job can never run; None if it can."""
        if self.ctx.team(spec.team) is None:
            return f"unknown team {spec.team}"
        kinds = [t for t in self.ctx.types.values() if spec.types is None or t.label in spec.types]
        if not any(
            t.cpus >= spec.cpus
            and t.gpus >= spec.gpus
            and t.memory_gb >= spec.memory_gb
            and (spec.zone is None or spec.zone in t.zones)
            for t in kinds
        ):
            where = "" if spec.zone is None else f" in {spec.zone}"
            return (
                f"a task of {spec.cpus:g} CPUs, {spec.gpus:g} GPUs and {spec.memory_gb:g} GB fits no allowed "
                f"machine type{where}: {', '.join(sorted(t.label for t in kinds)) or 'there is none'}"
            )
        return next((why for s in self.subsystems if (why := s.never_runs_reason(spec)) is not None), None)

    def _is_final(self, job_id: str, job: records.JobRecord | None) -> bool:
        """Whether its state is final: by its own record, or by that of a job that it needs."""
        return job is not None and (records.is_final(job) or self.ctx.graph.is_cancelled(job_id))

    def _dependency_error(self, spec: m.JobSpec) -> str | None:
        """Why a job can never start for what it names; None if it can, as far as this node knows."""
        if spec.job_id in spec.waits_on:
            return f"{spec.job_id} waits on itself"
        for job_id in spec.waits_on:
            job = self.ctx.cache.job(job_id)
            if job is None:
                return f"waits on {job_id}, which was never accepted"
            if job.spec is not None and job.spec.service:
                return f"waits on {job_id}, which is a service and never done"
        return None

    def _depends_on_cancelled(self, spec: m.JobSpec) -> bool:
        """Whether a job that it names is withdrawn already."""
        jobs = [(job_id, self.ctx.cache.job(job_id)) for job_id in spec.waits_on]
        return any(job is not None and self._is_final(job_id, job) and job.state != m.DONE for job_id, job in jobs)

    def _submit(self, request: int, spec: m.JobSpec, read: bool = False) -> None:
        """`read`: the ledger was read since it was asked, and the view has it all."""
        ctx = self.ctx
        job_id = spec.job_id
        known = ctx.cache.job(job_id)
        if known is not None:
            self._poll(request, job_id)
            return
        if not ctx.cache.synced or not ctx.types or not self.ctx.store_available():
            self._unavailable(request)
            return
        spec = m.waiting_on(spec, list(dict.fromkeys(spec.waits_on)))
        everything = task_sets.encode(set(range(spec.tasks)))
        last = ctx.settings.facts.size - 1  # of the shards, the longest to write
        job = records.JobRecord(m.QUEUED, spec.tasks, spec, last, records.PartitionRecord(everything), ctx.wall_us)
        why = (
            self._never_runs_reason(spec) if ctx.fits_record(job) else "its description is larger than a record may be"
        )
        if why is not None:
            # Not before it is sure that the job is not known: an accepted job never gets 422.
            self._poll(request, job_id, absent=(422, {"error": why}))
            return
        if spec.waits_on:
            if not ctx.feature_active(PIPELINES):
                self._unavailable(request)  # some controller may still run a version that does not know of it
                return
            why = self._dependency_error(spec)
            if why is not None:
                # Final for its user: not before this node knows what others accepted until now.
                if read:
                    ctx.reply(request, 422, {"error": why})
                else:
                    self._poll(request, job_id, spec=spec)
                return
            # What is done for ever needs no place in the record; a withdrawn one does.
            over = {u for u in spec.waits_on if (other := ctx.cache.job(u)) is not None and other.state == m.DONE}
            spec = m.waiting_on(spec, [u for u in spec.waits_on if u not in over])
        shard = self.load_balancer.shard_for()
        if shard is None:
            self._unavailable(request)
            return
        job.shard, job.spec = shard, spec

        def done(status: int, failed: list[str]) -> None:
            if status == 200:
                if not spec.waits_on:
                    self.load_balancer.tasks_arrived(spec)
                log.debug("accepted %s: %d tasks of %s for shard %d", job_id, spec.tasks, spec.job_class, shard)
                ctx.reply(
                    request, 201, m.job_answer(job_id, m.CANCELLED if self._depends_on_cancelled(spec) else m.QUEUED)
                )
            elif status == 409:
                self._poll(request, job_id)
            else:
                self._unavailable(request)

        ctx.compare_and_swap(
            {records.job_key(job_id): 0}, {records.job_key(job_id): (job, None)}, [], done, Urgency.USER
        )

    def _poll(
        self,
        request: int,
        job_id: str,
        then: str = "status",
        absent: tuple[int, object] = (404, {"error": "no such job"}),
        spec: m.JobSpec | None = None,
    ) -> None:
        job = self.ctx.cache.job(job_id)
        if job is not None and self._is_final(job_id, job):
            self.ctx.reply(request, 200, self._status(job_id, job))
            return
        if len(self.waiting_for_barrier) >= MAX_WAITING_POLLS:
            self._unavailable(request)
            return
        self.waiting_for_barrier.append(PendingRequest(request, job_id, self.ctx.now_us, then, absent, spec))
        self._start_read_barrier()

    def _start_read_barrier(self) -> None:
        """One read of the ledger serves every waiting poll; then the view must have caught up.

        Reads keep a distance: however many users ask, they take no more than their part of the requests, and reports
        and results keep theirs. A read made before a poll came proves nothing for it, so none is shared backwards.
        """
        if not self.waiting_for_barrier or self.barrier_open or self.ctx.now_us < self.next_read_us:
            return
        self.next_read_us = self.ctx.now_us + self.read_gap_us
        self.read_barriers += 1
        waiting, self.waiting_for_barrier = self.waiting_for_barrier, []
        self.barrier_open = True
        left_us = waiting[0].asked_us + ANSWER_US - self.ctx.now_us

        def done(status: int, body: bytes) -> None:
            self.barrier_open = False
            self.ctx.note_store_status(status)
            revision = None
            if status == 404:
                try:
                    revision = msgspec.json.decode(body, type=m.CompareAndSwapAnswer).revision
                except msgspec.DecodeError as error:
                    log.error("state service answered nonsense: %s", error)
            if revision is None:
                for entry in waiting:
                    self._unavailable(entry.request)
            else:
                self.awaiting_cache.append((revision, waiting))
                self.cache_advanced()
            # Bound: each is called by an answer of the state service, so none is within another.
            self._start_read_barrier()

        self.ctx.call(
            "state",
            "GET",
            f"{m.PATH_KV}/{records.NOTHING}",
            None,
            done,
            timeout_us=min(SECOND, max(READ_WAIT_US, left_us)),
        )

    def cache_advanced(self) -> None:
        behind, self.awaiting_cache = self.awaiting_cache, []
        for revision, waiting in behind:
            if self.ctx.cache.synced and self.ctx.cache.revision >= revision:
                for entry in waiting:
                    self._after_barrier(entry)
            elif left := self._still_in_time(waiting):
                self.awaiting_cache.append((revision, left))

    def _still_in_time(self, waiting: list[PendingRequest]) -> list[PendingRequest]:
        """Those whose users still wait; the others are told that it cannot be decided yet."""
        left = []
        for entry in waiting:
            if self.ctx.now_us < entry.asked_us + ANSWER_US:
                left.append(entry)
            else:
                self._unavailable(entry.request)
        return left

    def _after_barrier(self, entry: PendingRequest) -> None:
        job = self.ctx.cache.job(entry.job_id)
        if job is None and entry.spec is not None:
            self._submit(entry.request, entry.spec, read=True)
        elif job is None:
            self.ctx.reply(entry.request, *entry.answer_if_absent)
        elif entry.action == "cancel":
            self._cancel(entry.request, entry.job_id, 3)
        else:
            self.ctx.reply(entry.request, 200, self._status(entry.job_id, job))

    def _cancel(self, request: int, job_id: str, tries: int) -> None:
        ctx = self.ctx
        job = ctx.cache.job(job_id)
        if job is not None and self._is_final(job_id, job):
            ctx.reply(request, 200, m.job_answer(job_id, job.state if records.is_final(job) else m.CANCELLED))
            return
        if job is None or not self.ctx.store_available():
            # A job this node has not heard of yet may exist all the same.
            if job is None:
                self._poll(request, job_id, then="cancel")
            else:
                self._unavailable(request)
            return
        parts = [
            records.partition_key(s, job_id)
            for s in job.parts
            if ctx.cache.mod_revision(records.partition_key(s, job_id))
        ]
        most = ctx.limits.txn_ops - 1  # nobody reads the parts of a job that is over
        key = records.job_key(job_id)
        final = records.final_record(job, m.CANCELLED, ctx.cache.done_count(job_id))

        def done(status: int, failed: list[str]) -> None:
            if status == 200:
                log.info("job %s is withdrawn", job_id)
                ctx.delete_unneeded(parts[most:])
                ctx.reply(request, 200, m.job_answer(job_id, m.CANCELLED))
            elif status == 409 and tries > 1:
                self.cancel_retries.append((request, job_id, tries - 1, ctx.now_us + 200_000))
            else:
                self._unavailable(request)

        ctx.compare_and_swap({key: ctx.cache.mod_revision(key)}, {key: (final, None)}, parts[:most], done, Urgency.USER)
