"""Polls of a job's status, answered after a read barrier unless the status is final."""

from collections.abc import Callable

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.controller.job_status import JobStatusReader
from quinceslip.coordination.controller.read_barrier import ReadBarrier
from quinceslip.coordination.controller.replies import reply_error, reply_unavailable


class Polls:
    """Answers polls with the status of a job, or that the job does not exist."""

    def __init__(self, ctx: Context, status: JobStatusReader, barrier: ReadBarrier) -> None:
        self.ctx = ctx
        self.status = status
        self.barrier = barrier

    def poll(self, request: int, job_id: str, if_absent: Callable[[], None] | None = None) -> None:
        """Answer with a job's status; if it certainly does not exist, call `if_absent`, or answer 404 without one."""
        job = self.ctx.cache.job(job_id)
        if job is not None and self.status.is_final(job_id, job):
            self.ctx.reply(request, 200, self.status.answer(job_id, job))
            return

        def on_cache_current() -> None:
            self._answer(request, job_id, if_absent)

        self.barrier.wait(request, on_cache_current)

    def poll_or_error(self, request: int, job_id: str, status: int, error: str) -> None:
        """Answer with an error once it is certain that the job does not exist, else with its status.

        An accepted job never gets 400 or 422, whatever a repeated submission of it contains.
        """
        self.poll(request, job_id, lambda: reply_error(self.ctx, request, status, error))

    def reply_not_found(self, request: int) -> None:
        """Answer that the job does not exist. Call only after a read barrier."""
        reply_error(self.ctx, request, 404, "no such job")

    def _answer(self, request: int, job_id: str, if_absent: Callable[[], None] | None) -> None:
        job = self.ctx.cache.job(job_id)
        if job is not None:
            self.ctx.reply(request, 200, self.status.answer(job_id, job))
        elif self.ctx.cache.is_undecodable_job(job_id):
            reply_unavailable(self.ctx, request)  # it was accepted, so no error is true
        elif if_absent is not None:
            if_absent()
        else:
            self.reply_not_found(request)
