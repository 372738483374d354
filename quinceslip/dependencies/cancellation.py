"""Writes down that a job is withdrawn because one before it is.

Every node says so already, derived from the records; this makes each job's own record final, so that what is kept of it
is small and the derivation ends. Any such write may be made twice or late: its condition is the open record, and the
outcome is the same whoever writes it. One write for each job, never one for a whole graph; few at a time, behind what
users wait for.
"""

from collections.abc import Callable

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.dependencies.graph import Graph
from quinceslip.protocol.messages import CANCELLED
from quinceslip.storage import records

#: part of this controller's write budget
PART = 0.25


class CancellationPropagator:
    def __init__(self, ctx: Context, graph: Graph, owns: Callable[[int], bool]) -> None:
        self.ctx = ctx
        self.graph = graph
        self.owns = owns
        self.writing: set[str] = set()
        self.write_period_us = int(SECOND * ctx.settings.facts.size / (PART * ctx.limits.write_rps))
        self.next_us = 0

    def tick(self) -> None:
        """Write the next one, of those that this controller answers for."""
        now_us = self.ctx.now_us
        if now_us < self.next_us or not self.graph.cancelled or not self.ctx.store_available():
            return
        cache = self.ctx.cache
        for job_id in self.graph.cancelled:
            job = cache.job(job_id)
            if job is None or job_id in self.writing or not self.owns(job.shard):
                continue
            self.next_us = now_us + self.write_period_us
            self._write(job_id, job)
            return

    def _write(self, job_id: str, job: records.JobRecord) -> None:
        self.writing.add(job_id)

        def done(status: int, failed: list[str]) -> None:
            self.writing.discard(job_id)

        key = records.job_key(job_id)
        final = records.final_record(job, CANCELLED, 0)
        self.ctx.compare_and_swap(
            {key: self.ctx.cache.mod_revision(key)}, {key: (final, None)}, [], done, Urgency.RESULT
        )
