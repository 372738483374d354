"""Dependency graph of open jobs, derived from the job records alone.

A job is *ready* once the records of all its dependencies were seen as done. That state is final, so one read of each
suffices. It is *cancelled* once one of its dependencies is cancelled, directly or transitively. That is final too, so
every controller that has seen the records agrees without any message. A ready job can never be cancelled through
another, since a job that is done is never cancelled (docs/pipelines.md).

No I/O, clock or thread; used by the actor only. Times are wall clock, in microseconds.
"""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from quinceslip.dependencies.urgency import LOWEST_PRIORITY, JobNode, Urgency, UrgencyPropagation
from quinceslip.protocol.messages import CANCELLED, DONE, QUEUED, JobSpec
from quinceslip.storage.records import JobRecord

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Changes:
    """Effects of a batch of changed records."""

    #: jobs that no longer wait for dependencies
    ready: list[str] = field(default_factory=list)
    #: open jobs whose urgency changed
    urgency_changed: list[str] = field(default_factory=list)


class DependencyGraph:
    """The dependencies of open jobs.

    `get_record` returns the newest known record of a job. `get_urgency` returns a job's own urgency, from its
    specification and acceptance time. `estimate_run_us` returns how long it is expected to take once it may start.
    """

    def __init__(
        self,
        get_record: Callable[[str], JobRecord | None],
        get_urgency: Callable[[JobSpec, int], Urgency],
        estimate_run_us: Callable[[JobSpec], int],
    ) -> None:
        self._get_record = get_record
        self._get_urgency = get_urgency
        self._estimate_run_us = estimate_run_us
        self.nodes: dict[str, JobNode] = {}
        #: open jobs by dependency; dependencies are open or unknown jobs
        self.dependents: dict[str, set[str]] = {}
        #: jobs open by their own records but cancelled through a dependency, oldest first
        self.cancelled: dict[str, None] = {}
        self._propagation = UrgencyPropagation(self.nodes, self.dependents, self.cancelled)
        self._ready: list[str] = []
        #: jobs whose records could not be applied, so that their nodes may lack dependencies
        self._inconsistent: set[str] = set()

    # Queries.

    def is_waiting(self, job_id: str) -> bool:
        """Whether a job may not start yet, or never will, because a dependency was not seen as done."""
        node = self.nodes.get(job_id)
        return (node is not None and bool(node.unfinished)) or job_id in self._inconsistent

    def is_cancelled(self, job_id: str) -> bool:
        """Whether an open job is permanently cancelled through a dependency."""
        return job_id in self.cancelled

    def urgency(self, job_id: str) -> Urgency | None:
        """Return the urgency of an open job that has dependents; None if only its own urgency applies."""
        node = self.nodes.get(job_id)
        return node.urgency if node is not None and self.dependents.get(job_id) else None

    def ready_us(self, job_id: str) -> int:
        """Return when the last dependency ended, by its record; 0 without dependencies or if unknown."""
        node = self.nodes.get(job_id)
        return node.ready_us if node is not None else 0

    # Changes.

    def records_changed(self, job_ids: Sequence[str]) -> Changes:
        """Process new or changed records of these jobs, in any order, from a listing or from a watch."""
        for job_id in job_ids:
            record = self._get_record(job_id)
            if record is None:
                continue
            try:
                self._record_changed(job_id, record)
                self._inconsistent.discard(job_id)
            except Exception:
                # Guard: a job whose dependencies are not all known here must not start, and costs no other job.
                log.exception("dependencies of a job not applied job=%s", job_id)
                self._inconsistent.add(job_id)
        return Changes(self._pop_ready(), self._propagation.propagate())

    def _record_changed(self, job_id: str, record: JobRecord) -> None:
        if record.state == QUEUED:
            self._open_job_changed(job_id, record)
        else:
            self._job_finished(job_id, record)

    def _pop_ready(self) -> list[str]:
        """Return and clear the jobs that became ready in this batch and are still open.

        A batch may contain both a job and its last dependency, so the job may already have ended or be cancelled.
        """
        candidates, self._ready = dict.fromkeys(self._ready), []
        return [job_id for job_id in candidates if job_id in self.nodes and not self.is_waiting(job_id)]

    def _open_job_changed(self, job_id: str, record: JobRecord) -> None:
        node = self.nodes.get(job_id)
        # Guard: the node may already exist as a dependency of another job, since a listing is in no particular order.
        if record.spec is not None and record.spec.dependencies and (node is None or not node.dependencies):
            self._add_waiting_job(job_id, record)
        elif node is None and job_id in self.dependents:
            self._ensure_node(job_id, record)

    def _ensure_node(self, job_id: str, record: JobRecord) -> JobNode:
        """Return the node of an open job with dependencies or dependents, creating it if there is none."""
        if job_id not in self.nodes:
            self.nodes[job_id] = self._create_node(record)
            # Dependents may have been added before this controller knew the job.
            for dependent in self.dependents.get(job_id, ()):
                self._propagation.dependent_added(job_id, dependent)
        return self.nodes[job_id]

    def _create_node(self, record: JobRecord) -> JobNode:
        """Create the node of an open job; one whose record has no specification can't run and is not urgent."""
        if record.spec is None:
            return JobNode(Urgency(LOWEST_PRIORITY), run_us=0)
        own = self._get_urgency(record.spec, record.at_us)
        return JobNode(own, self._estimate_run_us(record.spec), urgency=own)

    def _add_waiting_job(self, job_id: str, record: JobRecord) -> None:
        assert record.spec is not None
        node = self._ensure_node(job_id, record)
        node.dependencies = frozenset(record.spec.dependencies)
        for dependency_id in node.dependencies:
            self._add_dependency(job_id, node, dependency_id)

    def _add_dependency(self, job_id: str, node: JobNode, dependency_id: str) -> None:
        """Add the dependency of `job_id` on `dependency_id`, which may be open, done, cancelled or unknown."""
        dependency = self._get_record(dependency_id)
        if dependency is not None and dependency.state == DONE:
            node.ready_us = max(node.ready_us, dependency.at_us)
            return
        node.unfinished.add(dependency_id)
        if dependency is not None and dependency.state == CANCELLED:
            self._cancel_with_dependents([job_id])
            return
        self.dependents.setdefault(dependency_id, set()).add(job_id)
        if dependency is not None:
            self._ensure_node(dependency_id, dependency)
        if dependency_id in self.cancelled:
            self._cancel_with_dependents([job_id])
        self._propagation.dependent_added(dependency_id, job_id)

    def _job_finished(self, job_id: str, record: JobRecord) -> None:
        """Handle a job that is done or cancelled by its own record."""
        node = self.nodes.pop(job_id, None)
        self.cancelled.pop(job_id, None)
        if node is not None:
            self._remove_dependencies(job_id, node)
        dependents = sorted(self.dependents.pop(job_id, ()))
        if record.state == CANCELLED:
            self._cancel_with_dependents(dependents)
        else:
            self._release_dependents(dependents, job_id, record.at_us)

    def _remove_dependencies(self, job_id: str, node: JobNode) -> None:
        for dependency_id in node.dependencies:
            dependents = self.dependents.get(dependency_id)
            if dependents is None:
                continue
            dependents.discard(job_id)
            self._propagation.dependent_lost(dependency_id, node)
            if not dependents:
                del self.dependents[dependency_id]

    def _release_dependents(self, dependents: list[str], job_id: str, ended_us: int) -> None:
        """Stop the dependents of `job_id`, which is done, from waiting for it."""
        for dependent_id in dependents:
            dependent = self.nodes[dependent_id]
            dependent.unfinished.discard(job_id)
            dependent.ready_us = max(dependent.ready_us, ended_us)
            if not dependent.unfinished:
                self._ready.append(dependent_id)

    def _cancel_with_dependents(self, job_ids: list[str]) -> None:
        """Cancel these jobs and all their transitive dependents, without recursion."""
        # Bound: each job is processed at most once, when it is not cancelled yet.
        while job_ids:
            job_id = job_ids.pop()
            if job_id in self.cancelled or job_id not in self.nodes:
                continue
            self.cancelled[job_id] = None
            node = self.nodes[job_id]
            for dependency_id in node.dependencies:
                self._propagation.dependent_lost(dependency_id, node)
            job_ids += sorted(self.dependents.get(job_id, ()))
