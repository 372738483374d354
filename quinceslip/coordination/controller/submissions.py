"""Submissions: a job is accepted by one write, conditional on the absence of its record."""

import logging
from collections.abc import Sequence

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.controller.job_status import JobStatusReader
from quinceslip.coordination.controller.polls import Polls
from quinceslip.coordination.controller.replies import reply_error, reply_unavailable
from quinceslip.coordination.controller.submission_checks import SubmissionChecks
from quinceslip.coordination.controller.subsystem import Subsystem
from quinceslip.coordination.load_balancing.load_balancer import LoadBalancer
from quinceslip.feature_gate import PIPELINES
from quinceslip.protocol import messages as m
from quinceslip.storage import records, task_sets

log = logging.getLogger(__name__)


class Submissions:
    """Accepts jobs; a repeated submission is answered like a poll."""

    def __init__(
        self,
        ctx: Context,
        load_balancer: LoadBalancer,
        subsystems: Sequence[Subsystem],
        status: JobStatusReader,
        polls: Polls,
    ) -> None:
        self.ctx = ctx
        self.load_balancer = load_balancer
        self.polls = polls
        self.checks = SubmissionChecks(ctx, status, subsystems)

    def submit(self, request: int, spec: m.JobSpec) -> None:
        """Accept a job, or answer why it is not accepted."""
        self._submit(request, spec, behind_barrier=False)

    def _submit(self, request: int, spec: m.JobSpec, behind_barrier: bool) -> None:
        """Handle a submission; `behind_barrier`: the cache has everything written before the user asked."""
        ctx = self.ctx
        if ctx.cache.job(spec.job_id) is not None:
            self.polls.poll(request, spec.job_id)
            return
        if not ctx.cache.synced or not ctx.machine_types or not ctx.store_available():
            reply_unavailable(ctx, request)
            return
        if self.checks.awaits_machine_types(spec):
            reply_unavailable(ctx, request)
            return
        spec = m.with_dependencies(spec, list(dict.fromkeys(spec.dependencies)))  # drop duplicates
        job = self._new_record(spec)
        reason = self.checks.rejection_reason(job, spec)
        if reason is not None:
            self.polls.poll_or_error(request, spec.job_id, 422, reason)
            return
        if spec.dependencies:
            if not ctx.feature_active(PIPELINES):
                reply_unavailable(ctx, request)  # some controller may still run a version without dependencies
                return
            if any(map(ctx.cache.is_undecodable_job, spec.dependencies)):
                reply_unavailable(ctx, request)  # accepted jobs, but whether they are services or done is unknown
                return
            error = self.checks.dependency_error(spec)
            if error is not None:
                self._reject_dependencies(request, spec, error, behind_barrier)
                return
            spec = self._without_done_dependencies(spec)
        self._accept(request, spec, job)

    def _new_record(self, spec: m.JobSpec) -> records.JobRecord:
        """Create the record of a new job with the longest shard number, since its size is checked first."""
        last_shard = self.ctx.settings.facts.size - 1
        all_tasks = records.PartitionRecord(task_sets.encode(set(range(spec.tasks))))
        return records.JobRecord(m.QUEUED, spec.tasks, spec, last_shard, all_tasks, self.ctx.wall_us)

    def _reject_dependencies(self, request: int, spec: m.JobSpec, error: str, behind_barrier: bool) -> None:
        """Answer 422, but as that is final, only once this controller knows what others have accepted until now.

        Bound: the submission is checked once more after a read barrier, and answered then.
        """
        if behind_barrier:
            reply_error(self.ctx, request, 422, error)
        else:
            self.polls.poll(request, spec.job_id, lambda: self._submit(request, spec, behind_barrier=True))

    def _without_done_dependencies(self, spec: m.JobSpec) -> m.JobSpec:
        """Remove dependencies that are done, which stay done and need no space in the record; keep cancelled ones."""
        unfinished = []
        for job_id in spec.dependencies:
            job = self.ctx.cache.job(job_id)
            if job is None or job.state != m.DONE:
                unfinished.append(job_id)
        return m.with_dependencies(spec, unfinished)

    def _accept(self, request: int, spec: m.JobSpec, job: records.JobRecord) -> None:
        """Write the record with the shard that the load balancer chooses; answer after the write."""
        shard = self.load_balancer.shard_for_new_job()
        if shard is None:
            reply_unavailable(self.ctx, request)
            return
        job.shard = shard
        job.spec = spec
        key = records.job_key(spec.job_id)

        def on_written(status: int, failed: list[str]) -> None:
            if status == 200:
                self._accepted(request, spec, shard)
            elif status == 409:
                self.polls.poll(request, spec.job_id)
            else:
                reply_unavailable(self.ctx, request)

        self.ctx.compare_and_swap({key: 0}, {key: (job, None)}, [], on_written, Urgency.USER)

    def _accepted(self, request: int, spec: m.JobSpec, shard: int) -> None:
        if not spec.dependencies:
            self.load_balancer.tasks_arrived(spec)
        log.debug("job accepted job=%s tasks=%d class=%s shard=%d", spec.job_id, spec.tasks, spec.job_class, shard)
        state = m.CANCELLED if self.checks.depends_on_cancelled(spec) else m.QUEUED
        self.ctx.reply(request, 201, m.job_answer(spec.job_id, state))
