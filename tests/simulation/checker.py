"""Judges a run by the rules of the protocol, from what machines did and what users were answered."""

from typing import TYPE_CHECKING

from tests.simulation.checks.answers import AnswerChecks
from tests.simulation.checks.controllers import ControllerChecks
from tests.simulation.checks.end_of_run import EndOfRunChecks
from tests.simulation.checks.machines import MachineChecks
from tests.simulation.checks.observations import Observations
from tests.simulation.checks.quota import QuotaChecks
from tests.simulation.checks.starvation import StarvationChecks

if TYPE_CHECKING:
    from tests.simulation.world import World


class Checker:
    """The face of all rules: the world reports what happens, scenarios read what was observed and what was broken."""

    def __init__(self, world: "World") -> None:
        self.observed = Observations(world)
        self.quota = QuotaChecks(self.observed)
        self.machines = MachineChecks(self.observed, self.quota)
        self.controllers = ControllerChecks(self.observed)
        self.answers = AnswerChecks(self.observed)
        self.starvation = StarvationChecks(self.observed, self.quota)
        self.end_of_run = EndOfRunChecks(self.observed)

    @property
    def breaches(self) -> list[str]:
        """What was broken so far: each as `SECONDS RULE: what happened`."""
        return self.observed.breaches

    def submission_attempted(self, job_id: str) -> None:
        """A user's attempt to submit a job; the first one counts."""
        self.observed.first_submitted_us.setdefault(job_id, self.observed.now_us)

    def cancellation_requested(self, job_id: str) -> None:
        """A user's wish to cancel a job, whether or not it reaches a controller."""
        self.observed.cancel_requested.add(job_id)

    def task_completed(self, task: str) -> None:
        """A task has done all its work; a worker may say so later, or never."""
        self.observed.completed.add(task)
        self.observed.completed_us.setdefault(task, self.observed.now_us)

    def sample(self) -> None:
        """What is judged at regular moments: who waits beside room."""
        self.starvation.sample()

    def finish(self, judge_served: bool = True) -> None:
        """What is judged at the end of a run; without `judge_served`, not what was served by then."""
        self.machines.check_nothing_cancelled_runs()
        for job_id in self.observed.last_answer_us:
            self.answers.check_silence(job_id)
        if judge_served:
            self.end_of_run.check_served()
        self.end_of_run.check_anything_ran()
