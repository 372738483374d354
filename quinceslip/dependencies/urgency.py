"""Propagates the urgency of jobs to the jobs that they depend on.

A job is as urgent as its most urgent open dependent, and due early enough to leave time for the longest estimated chain
of dependents. After a change, only direct and transitive dependencies of the changed job are updated.

Times are wall clock, in microseconds.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

#: lower than any priority class that users can request
LOWEST_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class Urgency:
    """Priority of a job, and `due_times_us`, the times by which it should be done, earliest first."""

    priority: int
    due_times_us: tuple[int, ...] = ()

    def earlier_by(self, run_us: int) -> "Urgency":
        """Return this urgency with all due times `run_us` earlier."""
        return Urgency(self.priority, tuple(due_us - run_us for due_us in self.due_times_us))

    def merged(self, other: "Urgency") -> "Urgency":
        """Return the higher priority and, position by position, the earlier due time of both."""
        longer, shorter = sorted((self.due_times_us, other.due_times_us), key=len, reverse=True)
        common = len(shorter)
        earlier = tuple(min(pair) for pair in zip(longer[:common], shorter, strict=True))
        return Urgency(min(self.priority, other.priority), earlier + longer[common:])


@dataclass(slots=True)
class JobNode:
    """An open job that depends on others, or that others depend on."""

    own_urgency: Urgency
    run_us: int
    dependencies: frozenset[str] = frozenset()
    #: those of `dependencies` that were not yet seen as done
    unfinished: set[str] = field(default_factory=set)
    urgency: Urgency = Urgency(LOWEST_PRIORITY)
    #: when the last of `dependencies` ended, by their records
    ready_us: int = 0

    def urgency_for_dependencies(self) -> Urgency:
        """Return the urgency that this job passes on to its dependencies."""
        return self.urgency.earlier_by(self.run_us)


class UrgencyPropagation:
    """Keeps the urgency of graph nodes up to date; the graph updates the shared maps and reports each change."""

    def __init__(
        self, nodes: Mapping[str, JobNode], dependents: Mapping[str, set[str]], cancelled: Mapping[str, None]
    ) -> None:
        self._nodes = nodes
        self._dependents = dependents
        self._cancelled = cancelled
        #: pairs of a job and its new dependent
        self._added: list[tuple[str, str]] = []
        #: jobs that lost a dependent that may have determined their urgency
        self._stale: set[str] = set()

    def dependent_added(self, job_id: str, dependent: str) -> None:
        """Record that `job_id` has a new open dependent."""
        self._added.append((job_id, dependent))

    def dependent_lost(self, job_id: str, dependent: JobNode) -> None:
        """Record that a job lost a dependent.

        The job's urgency is recomputed if the dependent may have determined it.
        """
        node = self._nodes.get(job_id)
        if node is None:
            return
        passed_on = dependent.urgency_for_dependencies()
        same_due = any(own == due for own, due in zip(node.urgency.due_times_us, passed_on.due_times_us, strict=False))
        if passed_on.priority <= node.urgency.priority or same_due:
            self._stale.add(job_id)

    def propagate(self) -> list[str]:
        """Update the urgency of changed jobs and their dependencies; return the jobs whose urgency changed."""
        changed: dict[str, None] = {}
        self._propagate_added(changed)
        self._propagate_lost(changed)
        return list(changed)

    def _propagate_added(self, changed: dict[str, None]) -> None:
        """Raise the urgency of jobs with new dependents."""
        added, self._added = self._added, []
        # Bound: jobs only depend on accepted ones, so there is no cycle; each step that continues raises an urgency.
        while added:
            job_id, dependent_id = added.pop()
            node, dependent = self._nodes.get(job_id), self._nodes.get(dependent_id)
            if node is None or dependent is None or dependent_id in self._cancelled:
                continue
            urgency = node.urgency.merged(dependent.urgency_for_dependencies())
            if urgency != node.urgency:
                node.urgency = urgency
                changed[job_id] = None
                added += [(dependency, job_id) for dependency in node.dependencies]

    def _propagate_lost(self, changed: dict[str, None]) -> None:
        """Recompute the urgency of jobs that lost a dependent from the remaining ones."""
        stale, self._stale = self._stale, set()
        # Bound: jobs only depend on accepted ones, so there is no cycle; each step that continues changes an urgency.
        while stale:
            job_id = stale.pop()
            node = self._nodes.get(job_id)
            if node is None:
                continue
            urgency = self._merged_from_dependents(job_id, node)
            if urgency != node.urgency:
                node.urgency = urgency
                changed[job_id] = None
                stale |= node.dependencies

    def _merged_from_dependents(self, job_id: str, node: JobNode) -> Urgency:
        urgency = node.own_urgency
        for dependent_id in self._dependents.get(job_id, ()):
            dependent = self._nodes.get(dependent_id)
            if dependent is not None and dependent_id not in self._cancelled:
                urgency = urgency.merged(dependent.urgency_for_dependencies())
        return urgency
