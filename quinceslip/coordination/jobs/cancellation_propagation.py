"""Writes the final record of jobs that are cancelled because one before them is.

Every controller says so already, derived from the records; this makes each job's own record final, so that what is kept
of it is small and the derivation ends. Any such write may be made twice or late: its condition is the open record, and
the outcome is the same whoever writes it. One write for each job, never one for a whole graph; few at a time, behind
what users wait for.
"""

from collections.abc import Callable

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.dependencies.graph import DependencyGraph
from quinceslip.protocol.messages import CANCELLED
from quinceslip.storage import records

#: what may go into these writes, as a part of the write budget of this controller
CANCELLATION_WRITE_PART = 0.25


class CancellationPropagator:
    """Records cancellations one after the other; `leads` tells whether this controller leads a shard."""

    def __init__(self, ctx: Context, graph: DependencyGraph, leads: Callable[[int], bool]) -> None:
        self.ctx = ctx
        self.graph = graph
        self.leads = leads
        #: jobs whose write was not answered yet
        self.writing: set[str] = set()
        all_writes_per_s = CANCELLATION_WRITE_PART * ctx.limits.write_rps
        self.write_period_us = int(SECOND * ctx.settings.facts.size / all_writes_per_s)
        self.next_write_us = 0

    def tick(self) -> None:
        """Write the next one, of those whose home shard this controller leads."""
        now_us = self.ctx.now_us
        if now_us < self.next_write_us or not self.graph.cancelled or not self.ctx.store_available():
            return
        for job_id in self.graph.cancelled:
            job = self.ctx.cache.job(job_id)
            if job is not None and job_id not in self.writing and self.leads(job.shard):
                self.next_write_us = now_us + self.write_period_us
                self._write(job_id, job)
                return

    def _write(self, job_id: str, job: records.JobRecord) -> None:
        self.writing.add(job_id)

        def on_written(status: int, failed: list[str]) -> None:
            self.writing.discard(job_id)

        key = records.job_key(job_id)
        conditions = {key: self.ctx.cache.mod_revision(key)}
        final = records.final_record(job, CANCELLED, 0)
        self.ctx.compare_and_swap(conditions, {key: (final, None)}, [], on_written, Urgency.RESULT)
