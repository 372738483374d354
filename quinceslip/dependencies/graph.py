"""Which open jobs wait for which, derived from the job records alone.

A job is *ready* once the record of every job that it depends on was seen as done, which is final, so any read of it is
enough. It is *cancelled* once one of them is cancelled, directly or through others: that is final too, so every
controller that has seen the records says so, and no message carries it. A job that is ready can never be cancelled
through another, since what is done is never cancelled (docs/pipelines.md).

A plain class: no I/O, no clock, no thread; used by the actor alone. Times are wall clock, in microseconds.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from quinceslip.dependencies.urgency import JobNode, Urgency, UrgencyPropagation
from quinceslip.protocol.messages import CANCELLED, DONE, QUEUED, JobSpec
from quinceslip.storage.records import JobRecord


@dataclass(slots=True)
class Changes:
    """What a batch of records has brought about."""

    #: jobs that wait no longer
    ready: list[str] = field(default_factory=list)
    #: open jobs whose urgency is another one
    urgency_changed: list[str] = field(default_factory=list)


class DependencyGraph:
    """The dependencies of open jobs.

    `job` returns the newest known record of a job, `urgency` the urgency that a job has by itself from its
    specification and the time of its acceptance, `run_us` how long it is expected to take once it may start.
    """

    def __init__(
        self,
        job: Callable[[str], JobRecord | None],
        urgency: Callable[[JobSpec, int], Urgency],
        run_us: Callable[[JobSpec], int],
    ) -> None:
        self._job = job
        self._own_urgency = urgency
        self._run_us = run_us
        self.nodes: dict[str, JobNode] = {}
        #: open jobs by what they need; keys are open jobs and unknown ones only
        self.dependents: dict[str, set[str]] = {}
        #: open by their own records, and cancelled through another's; oldest first
        self.cancelled: dict[str, None] = {}
        self._propagation = UrgencyPropagation(self.nodes, self.dependents, self.cancelled)
        self._ready: list[str] = []

    # Queries.

    def is_waiting(self, job_id: str) -> bool:
        """Whether a job may not start yet, or never will: some job before it was not seen as done."""
        node = self.nodes.get(job_id)
        return node is not None and bool(node.unfinished)

    def is_cancelled(self, job_id: str) -> bool:
        """Whether an open job is cancelled since one that it needs is; for ever."""
        return job_id in self.cancelled

    def urgency(self, job_id: str) -> Urgency | None:
        """The urgency of an open job that others need; None: its own alone."""
        node = self.nodes.get(job_id)
        return node.urgency if node is not None and self.dependents.get(job_id) else None

    def ready_us(self, job_id: str) -> int:
        """When the last job that it needed ended, by the records; 0 where it needed none or they do not say."""
        node = self.nodes.get(job_id)
        return node.ready_us if node is not None else 0

    # Changes.

    def records_changed(self, job_ids: Sequence[str]) -> Changes:
        """Take news of these jobs' records; a listing as well as a change, in any order."""
        for job_id in job_ids:
            record = self._job(job_id)
            if record is None:
                continue
            if record.state == QUEUED:
                self._open_job_changed(job_id, record)
            else:
                self._job_finished(job_id, record)
        return Changes(self._take_ready(), self._propagation.propagate())

    def _take_ready(self) -> list[str]:
        """Jobs that became ready in this batch and still are open.

        Two of a batch may be a job and what it needed last: it may have ended by now, or be cancelled through another.
        """
        candidates, self._ready = dict.fromkeys(self._ready), []
        return [job_id for job_id in candidates if job_id in self.nodes and not self.is_waiting(job_id)]

    def _open_job_changed(self, job_id: str, record: JobRecord) -> None:
        node = self.nodes.get(job_id)
        # Guard: it may be known already, as what another one needs. A listing brings them in any order.
        if record.spec is not None and record.spec.dependencies and (node is None or not node.needs):
            self._add_waiting_job(job_id, record)
        elif node is None and job_id in self.dependents:
            self._node_for(job_id, record)

    def _node_for(self, job_id: str, record: JobRecord) -> JobNode:
        """The node of an open job that others need, or that needs others; made where there is none."""
        assert record.spec is not None
        if job_id not in self.nodes:
            own = self._own_urgency(record.spec, record.at_us)
            self.nodes[job_id] = JobNode(own, self._run_us(record.spec), urgency=own)
            # Others may have named it before this controller knew of it.
            for dependent in self.dependents.get(job_id, ()):
                self._propagation.dependent_added(job_id, dependent)
        return self.nodes[job_id]

    def _add_waiting_job(self, job_id: str, record: JobRecord) -> None:
        assert record.spec is not None
        node = self._node_for(job_id, record)
        node.needs = frozenset(record.spec.dependencies)
        for needed_id in node.needs:
            self._add_dependency(job_id, node, needed_id)

    def _add_dependency(self, job_id: str, node: JobNode, needed_id: str) -> None:
        """`job_id` needs `needed_id`, which may be open, done, cancelled or not yet known."""
        needed = self._job(needed_id)
        if needed is not None and needed.state == DONE:
            node.ready_us = max(node.ready_us, needed.at_us)
            return
        node.unfinished.add(needed_id)
        if needed is not None and needed.state == CANCELLED:
            self._cancel([job_id])
            return
        self.dependents.setdefault(needed_id, set()).add(job_id)
        if needed is not None:
            self._node_for(needed_id, needed)
        if needed_id in self.cancelled:
            self._cancel([job_id])
        self._propagation.dependent_added(needed_id, job_id)

    def _job_finished(self, job_id: str, record: JobRecord) -> None:
        """A job is done or cancelled by its own record."""
        node = self.nodes.pop(job_id, None)
        self.cancelled.pop(job_id, None)
        if node is not None:
            self._remove_dependencies(job_id, node)
        dependents = sorted(self.dependents.pop(job_id, ()))
        if record.state == CANCELLED:
            self._cancel(dependents)
        else:
            self._release(dependents, job_id, record.at_us)

    def _remove_dependencies(self, job_id: str, node: JobNode) -> None:
        for needed_id in node.needs:
            dependents = self.dependents.get(needed_id)
            if dependents is None:
                continue
            dependents.discard(job_id)
            self._propagation.dependent_lost(needed_id, node)
            if not dependents:
                del self.dependents[needed_id]

    def _release(self, dependents: list[str], job_id: str, ended_us: int) -> None:
        """`job_id` is done: those that need it wait for it no more."""
        for dependent_id in dependents:
            dependent = self.nodes[dependent_id]
            dependent.unfinished.discard(job_id)
            dependent.ready_us = max(dependent.ready_us, ended_us)
            if not dependent.unfinished:
                self._ready.append(dependent_id)

    def _cancel(self, job_ids: list[str]) -> None:
        """Cancel these and all behind them, without recursion."""
        # Bound: each job is taken once, when it is not cancelled yet.
        while job_ids:
            job_id = job_ids.pop()
            if job_id in self.cancelled or job_id not in self.nodes:
                continue
            self.cancelled[job_id] = None
            node = self.nodes[job_id]
            for needed_id in node.needs:
                self._propagation.dependent_lost(needed_id, node)
            job_ids += sorted(self.dependents.get(job_id, ()))
