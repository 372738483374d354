"""One user's attempts to submit a job, and the polls that follow once it is accepted."""

from dataclasses import dataclass
from typing import Any

from tests.scenario.state import RunnerState
from tests.simulation.checks.answers import ACCEPTED_STATUSES, REFUSED_STATUSES
from tests.simulation.clock import SECOND_US
from tests.simulation.inputs import job_spec

#: words of scenarios for fields of a job's description
FIELD_NAMES = {
    "tasks": "picks",
    "cpus": "vcpus",
    "team": "crew",
    "memory": "memGb",
    "spot": "loaners",
    "zone": "yard",
    "estimate": "expectS",
    "checkpoint": "markEveryS",
    "save": "markCostS",
}
FLOAT_FIELDS = ("vcpus", "memGb", "gpus", "dueS", "expectS", "markEveryS", "markCostS")

RETRY_US = 2 * SECOND_US
#: a user tries for so long
MAX_RETRIES_US = 60 * SECOND_US
#: how often a user looks whether the jobs that his waits for are accepted
DEPENDENCY_RETRY_US = SECOND_US // 5


def read_spec(job_id: str, words: list[str], named: dict[str, Any]) -> dict[str, Any]:
    """A job's description from the words of a line: `gang` or `service`, and fields in the scenarios' names."""
    given = {FIELD_NAMES.get(key, key): value for key, value in named.items()}
    if "after" in given:
        given["waitsOn"] = str(given.pop("after")).split(",")
    for key in FLOAT_FIELDS:
        if key in given:
            given[key] = float(given[key])
    if "types" in given:
        given["builds"] = str(given.pop("types")).split(",")
    shape = "standing" if "service" in words else "group" if "gang" in words else "array"
    return job_spec(job_id, shape=shape, **given)


@dataclass
class Submission:
    """Attempts until an answer settles the matter; users name what was accepted, so they wait for that first."""

    runner: RunnerState
    job_id: str
    spec: dict[str, Any]
    waits_on: list[str]
    by: str  # label of the controller that is asked; empty for any
    poll_s: float
    until_us: int
    is_settled: bool = False

    def attempt(self) -> None:
        """Submit the job now, and again until it is answered."""
        world = self.runner.w()
        if self._waits_for_acceptance() and world.now_us < self.until_us:
            world.after(DEPENDENCY_RETRY_US, self.attempt)
        elif not self.is_settled and world.now_us < self.until_us:
            self.runner.ask("submit", self.job_id, self._answered, self.spec, self.by)
            world.after(RETRY_US, self.attempt)

    def _waits_for_acceptance(self) -> bool:
        """Whether a job that this one waits for is still on its way; one that is never submitted is not."""
        world = self.runner.w()
        return any(
            other in world.jobs
            and other != self.job_id
            and other not in world.checker.observed.accepted
            and other not in self.runner.reasons
            for other in self.waits_on
        )

    def _answered(self, status: int, body: Any) -> None:
        self.runner.statuses.setdefault(self.job_id, []).append(status)
        self.runner.w().checker.answers.submission_answered(self.job_id, status, body)
        if status in ACCEPTED_STATUSES and not self.is_settled:
            self.is_settled = True
            self._poll()
        elif status in REFUSED_STATUSES:
            self.is_settled = True
            self.runner.reasons[self.job_id] = body

    def _poll(self) -> None:
        """Ask for the job now, and again for as long as the run lasts."""
        world = self.runner.w()
        answers = world.checker.answers
        self.runner.ask("poll", self.job_id, lambda status, body: answers.poll_answered(self.job_id, status, body))
        world.after(self.poll_s * SECOND_US, self._poll)
