"""A user's attempts to submit a job, and the polls once it is accepted."""

from dataclasses import dataclass
from typing import Any

from tests.scenario.state import RunnerState
from tests.simulation.checks.answers import ACCEPTED_STATUSES, REFUSED_STATUSES
from tests.simulation.clock import SECOND_US
from tests.simulation.inputs import job_spec

#: field of a job's description, by the option of a scenario line
FIELD_NAMES = {
    "tasks": "picks",
    "cpus": "vcpus",
    "team": "crew",
    "memory": "memGb",
    "spot": "loaners",
    "zone": "yard",
    "estimate": "expectS",
    "checkpoint_every": "markEveryS",
    "checkpoint_cost": "markCostS",
}
FLOAT_FIELDS = ("vcpus", "memGb", "gpus", "dueS", "expectS", "markEveryS", "markCostS")

RETRY_US = 2 * SECOND_US
#: users stop retrying after this time
MAX_RETRIES_US = 60 * SECOND_US
#: interval at which a user checks whether the dependencies of a job are accepted
DEPENDENCY_RETRY_US = SECOND_US // 5


def read_spec(job_id: str, words: list[str], named: dict[str, Any]) -> dict[str, Any]:
    """Return the job's description for the words `gang` or `service` and the options of a line."""
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
    """Attempts until a conclusive answer. Users submit a job only after its dependencies are accepted."""

    runner: RunnerState
    job_id: str
    spec: dict[str, Any]
    waits_on: list[str]
    via: str  # label of the controller that receives the requests; empty for any
    poll_period_s: float
    until_us: int
    is_concluded: bool = False

    def attempt(self) -> None:
        """Submit the job now, and retry until it is accepted or refused."""
        world = self.runner.w()
        if self._waits_for_acceptance() and world.now_us < self.until_us:
            world.after(DEPENDENCY_RETRY_US, self.attempt)
        elif not self.is_concluded and world.now_us < self.until_us:
            self.runner.ask("submit", self.job_id, self._answered, self.spec, self.via)
            world.after(RETRY_US, self.attempt)

    def _waits_for_acceptance(self) -> bool:
        """Whether a dependency that was submitted is neither accepted nor refused yet."""
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
        if status in ACCEPTED_STATUSES and not self.is_concluded:
            self.is_concluded = True
            self._poll()
        elif status in REFUSED_STATUSES:
            self.is_concluded = True
            self.runner.reasons[self.job_id] = body

    def _poll(self) -> None:
        """Poll the job now, and periodically until the end of the run."""
        world = self.runner.w()
        answers = world.checker.answers
        self.runner.ask("poll", self.job_id, lambda status, body: answers.poll_answered(self.job_id, status, body))
        world.after(self.poll_period_s * SECOND_US, self._poll)
