"""Cancellations: a conditional write makes the job's record final, and the user is answered once it succeeded."""

import logging
from dataclasses import dataclass

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.controller.job_status import JobStatusReader
from quinceslip.coordination.controller.polls import Polls
from quinceslip.coordination.controller.read_barrier import ReadBarrier
from quinceslip.coordination.controller.replies import reply_unavailable
from quinceslip.protocol import messages as m
from quinceslip.storage import records

log = logging.getLogger(__name__)

#: write attempts per cancellation; an attempt fails only if the job's record changed concurrently
MAX_ATTEMPTS = 3
RETRY_DELAY_US = SECOND // 5


@dataclass(frozen=True, slots=True)
class CancellationRetry:
    """A cancellation whose conditional write failed, to be retried."""

    request: int
    job_id: str
    attempts_left: int
    due_us: int


class Cancellations:
    """Cancels jobs at the request of users."""

    def __init__(self, ctx: Context, status: JobStatusReader, barrier: ReadBarrier, polls: Polls) -> None:
        self.ctx = ctx
        self.status = status
        self.barrier = barrier
        self.polls = polls
        self.retries: list[CancellationRetry] = []

    def tick(self) -> None:
        """Retry the cancellations that are due."""
        now_us = self.ctx.now_us
        due = [retry for retry in self.retries if retry.due_us <= now_us]
        self.retries = [retry for retry in self.retries if retry.due_us > now_us]
        for retry in due:
            self.cancel(retry.request, retry.job_id, retry.attempts_left)

    def cancel(self, request: int, job_id: str, attempts_left: int = MAX_ATTEMPTS) -> None:
        """Cancel a job; one that is already final keeps its state, which is the answer."""
        job = self.ctx.cache.job(job_id)
        if job is None:
            # The job may exist even though this controller has not seen its record yet.
            self.barrier.wait(request, lambda: self._cancel_if_known(request, job_id))
        elif self.status.is_final(job_id, job):
            state = job.state if records.is_final(job) else m.CANCELLED
            self.ctx.reply(request, 200, m.job_answer(job_id, state))
        elif not self.ctx.store_available():
            reply_unavailable(self.ctx, request)
        else:
            self._write_final_record(request, job_id, job, attempts_left)

    def _cancel_if_known(self, request: int, job_id: str) -> None:
        """Cancel the job, or answer 404, after the read barrier.

        Bound: `cancel` finds the job in the cache, so it does not wait for a second barrier.
        """
        if self.ctx.cache.is_undecodable_job(job_id):
            reply_unavailable(self.ctx, request)
        elif self.ctx.cache.job(job_id) is None:
            self.polls.reply_not_found(request)
        else:
            self.cancel(request, job_id)

    def _write_final_record(self, request: int, job_id: str, job: records.JobRecord, attempts_left: int) -> None:
        """Write the final record, and delete the partition records, which are not read after that."""
        ctx = self.ctx
        key = records.job_key(job_id)
        final = records.final_record(job, m.CANCELLED, ctx.cache.done_count(job_id))
        partition_keys = [records.partition_key(shard, job_id) for shard in job.other_shards]
        obsolete_keys = [k for k in partition_keys if ctx.cache.mod_revision(k)]
        max_deletes = ctx.limits.txn_ops - 1

        def on_written(status: int, failed: list[str]) -> None:
            if status == 200:
                log.info("job cancelled job=%s read_revision=%d", job_id, conditions[key])
                ctx.delete_obsolete(obsolete_keys[max_deletes:])
                ctx.reply(request, 200, m.job_answer(job_id, m.CANCELLED))
            elif status == 409 and attempts_left > 1:
                due_us = ctx.now_us + RETRY_DELAY_US
                self.retries.append(CancellationRetry(request, job_id, attempts_left - 1, due_us))
            else:
                reply_unavailable(ctx, request)

        conditions = {key: ctx.cache.mod_revision(key)}
        ctx.compare_and_swap(conditions, {key: (final, None)}, obsolete_keys[:max_deletes], on_written, Urgency.USER)
