"""Observations of a run: what machines did, what users requested and how they were answered. Rules are elsewhere."""

from collections import defaultdict
from typing import TYPE_CHECKING, Any

from tests.simulation.clock import SECOND_US
from tests.simulation.tasks import tasks_of

if TYPE_CHECKING:
    from tests.simulation.world import World

#: statuses in answers to users that a job never leaves
FINAL_STATUSES = ("done", "withdrawn")


class Observations:
    """Observations that several rules share, and the breaches that the rules have found."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.breaches: list[str] = []
        # Observed on machines; keys are task names.
        self.running_on: dict[str, set[str]] = defaultdict(set)  # names of the workers that run a task now
        self.starts: dict[str, list[int]] = defaultdict(list)  # the time of each start
        self.completed: set[str] = set()
        self.completed_us: dict[str, int] = {}  # time of the first completion
        # Observed by users; keys are job ids.
        self.first_submitted_us: dict[str, int] = {}  # when a user first tried to submit it
        self.accepted: dict[str, dict[str, Any]] = {}  # body of the first answer that accepted it
        self.acceptance_answered_us: dict[str, int] = {}
        self.cancel_requested: set[str] = set()
        self.cancel_answered_us: dict[str, int] = {}  # when a user was first told that it is cancelled
        self.last_status: dict[str, str] = {}  # the status in the last answer to its users
        self.final_answer_us: dict[str, int] = {}  # when a user was first told that it is done or cancelled
        self.last_answer_us: dict[str, int] = {}  # when the last answer about it arrived

    @property
    def now_us(self) -> int:
        """The world's virtual time."""
        return self.world.now_us

    @property
    def cancel_limit_us(self) -> int:
        """How long tasks of a job may still run after its cancellation was answered (`cancel_s` of the site)."""
        return int(self.world.facts["workers"]["cancel_s"] * SECOND_US)

    def spec(self, job_id: str) -> dict[str, Any]:
        """The description of a job as its user submitted it."""
        return self.world.jobs[job_id]

    def breach(self, rule: str, text: str) -> None:
        """Record a breach of a rule at the present time."""
        self.breaches.append(f"{self.now_us / SECOND_US:.3f} {rule}: {text}")

    def tasks(self, job_id: str) -> list[str]:
        """The names of all tasks of a job."""
        return tasks_of(job_id, self.spec(job_id))

    def is_complete(self, job_id: str) -> bool:
        """Whether each task of a job has completed on some machine."""
        return all(task in self.completed for task in self.tasks(job_id))

    def dependencies(self, job_id: str) -> set[str]:
        """All direct and transitive dependencies of a job."""
        found: set[str] = set()
        unvisited = [job_id]
        # Bound: each job is visited once.
        while unvisited:
            for other in self.world.jobs.get(unvisited.pop(), {}).get("waitsOn", ()):
                if other not in found:
                    found.add(other)
                    unvisited.append(other)
        return found

    def is_cancelled(self, job_id: str) -> bool:
        """Whether cancellation of the job, or of an unfinished dependency, was requested."""
        return job_id in self.cancel_requested or any(
            other in self.cancel_requested and self.last_status.get(other) != "done"
            for other in self.dependencies(job_id)
        )

    def ready_us(self, job_id: str) -> int:
        """When the time limits of a job begin to count, in µs.

        This is the first attempt to submit it or the end of its last dependency, whichever is later; now if a
        dependency hasn't ended.
        """
        submitted_us = self.first_submitted_us.get(job_id, self.now_us)
        ends_us = [
            max(self.completed_us.get(task, self.now_us) for task in self.tasks(other))
            for other in self.spec(job_id)["waitsOn"]
        ]
        return max([submitted_us, *ends_us])
