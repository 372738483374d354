"""Writes the final records of jobs that are cancelled because a job they depend on was cancelled.

Every controller already derives such a cancellation from the records; the write makes each job's own record final, so
that the stored record is small and the derivation ends. A write may be repeated or arrive late: it is conditional on
the open record, and every writer writes the same outcome. There is one write for each job, never one for a whole graph;
few are made at a time, behind the writes that users wait for.
"""

from collections.abc import Callable

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import micros
from quinceslip.dependencies.graph import DependencyGraph
from quinceslip.protocol.messages import CANCELLED
from quinceslip.storage import records

#: fraction of this controller's write budget that these writes may use
CANCELLATION_WRITE_FRACTION = 0.25


class CancellationPropagator:
    """Records cancellations one after another; `leads` tells whether this controller leads a shard."""

    def __init__(self, ctx: Context, graph: DependencyGraph, leads: Callable[[int], bool]) -> None:
        self.ctx = ctx
        self.graph = graph
        self.leads = leads
        #: jobs whose write has not been answered yet
        self.writing: set[str] = set()
        total_writes_per_s = CANCELLATION_WRITE_FRACTION * ctx.limits.write_rps
        self.write_period_us = micros(ctx.settings.facts.size / total_writes_per_s)
        self.next_write_us = 0

    def tick(self) -> None:
        """Write the next cancellation of a job whose home shard this controller leads."""
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
