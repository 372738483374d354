"""How urgent jobs are for the sake of the jobs that depend on them.

Urgency flows backward: a job is as urgent as the most urgent open job that needs it, and due so early that the longest
estimated way behind it is left. After a change only jobs before the changed one are looked at again.

Times are wall clock, in microseconds.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

#: lower than any priority class that users can ask for
LOWEST_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class Urgency:
    """How a job is to be treated; `due_times_us` are the moments by which it should be done, earliest first."""

    priority: int
    due_times_us: tuple[int, ...] = ()

    def before(self, run_us: int) -> "Urgency":
        """What a job of that urgency and duration asks of those that it needs."""
        return Urgency(self.priority, tuple(due_us - run_us for due_us in self.due_times_us))

    def merged(self, other: "Urgency") -> "Urgency":
        """The more urgent of both, due time by due time."""
        longer, shorter = sorted((self.due_times_us, other.due_times_us), key=len, reverse=True)
        common = len(shorter)
        earlier = tuple(min(pair) for pair in zip(longer[:common], shorter, strict=True))
        return Urgency(min(self.priority, other.priority), earlier + longer[common:])


@dataclass(slots=True)
class JobNode:
    """An open job that depends on others, or that others depend on."""

    own_urgency: Urgency
    run_us: int
    needs: frozenset[str] = frozenset()
    #: those of `needs` that were not yet seen as done
    unfinished: set[str] = field(default_factory=set)
    urgency: Urgency = Urgency(LOWEST_PRIORITY)
    #: when the last of `needs` ended, by their records
    ready_us: int = 0

    def asked_of_needs(self) -> Urgency:
        """The urgency that this job asks of those that it needs."""
        return self.urgency.before(self.run_us)


class UrgencyPropagation:
    """Keeps the urgency of the nodes of a graph up to date; the graph changes the maps and reports each change."""

    def __init__(
        self, nodes: Mapping[str, JobNode], dependents: Mapping[str, set[str]], cancelled: Mapping[str, None]
    ) -> None:
        self._nodes = nodes
        self._dependents = dependents
        self._cancelled = cancelled
        #: pairs of a job and a new dependent of it
        self._added: list[tuple[str, str]] = []
        #: jobs that lost a dependent which was part of their urgency
        self._stale: set[str] = set()

    def dependent_added(self, job_id: str, dependent: str) -> None:
        """One more open job needs `job_id`."""
        self._added.append((job_id, dependent))

    def dependent_lost(self, job_id: str, dependent: JobNode) -> None:
        """What `dependent` asked of a job counts no more.

        The job is looked at again where that was part of its urgency.
        """
        node = self._nodes.get(job_id)
        if node is None:
            return
        asked = dependent.asked_of_needs()
        same_due = any(own == due for own, due in zip(node.urgency.due_times_us, asked.due_times_us, strict=False))
        if asked.priority <= node.urgency.priority or same_due:
            self._stale.add(job_id)

    def propagate(self) -> list[str]:
        """Update the urgency of what has changed, and of those before it; returns the jobs that have another one."""
        changed: dict[str, None] = {}
        self._propagate_added(changed)
        self._propagate_lost(changed)
        return list(changed)

    def _propagate_added(self, changed: dict[str, None]) -> None:
        """New dependents make jobs more urgent."""
        added, self._added = self._added, []
        # Bound: jobs name accepted ones alone, so there is no circle; each turn that goes on makes a job more urgent.
        while added:
            job_id, dependent_id = added.pop()
            node, dependent = self._nodes.get(job_id), self._nodes.get(dependent_id)
            if node is None or dependent is None or dependent_id in self._cancelled:
                continue
            urgency = node.urgency.merged(dependent.asked_of_needs())
            if urgency != node.urgency:
                node.urgency = urgency
                changed[job_id] = None
                added += [(needed, job_id) for needed in node.needs]

    def _propagate_lost(self, changed: dict[str, None]) -> None:
        """Jobs that lost a dependent get the urgency that the others give them."""
        stale, self._stale = self._stale, set()
        # Bound: jobs name accepted ones alone, so there is no circle; each turn that goes on changes an urgency.
        while stale:
            job_id = stale.pop()
            node = self._nodes.get(job_id)
            if node is None:
                continue
            urgency = self._merged_from_dependents(job_id, node)
            if urgency != node.urgency:
                node.urgency = urgency
                changed[job_id] = None
                stale |= node.needs

    def _merged_from_dependents(self, job_id: str, node: JobNode) -> Urgency:
        urgency = node.own_urgency
        for dependent_id in self._dependents.get(job_id, ()):
            dependent = self._nodes.get(dependent_id)
            if dependent is not None and dependent_id not in self._cancelled:
                urgency = urgency.merged(dependent.asked_of_needs())
        return urgency
