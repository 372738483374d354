"""Checks a run against the rules of the protocol, from what machines did and the answers that users got."""

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
    """Entry point of all rules: the world reports events to it, scenarios read its observations and breaches."""

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
        """The breaches found so far, each as `SECONDS RULE: what happened`."""
        return self.observed.breaches

    def submission_attempted(self, job_id: str) -> None:
        """Record the first time that a user tries to submit a job; later attempts change nothing."""
        self.observed.first_submitted_us.setdefault(job_id, self.observed.now_us)

    def cancellation_requested(self, job_id: str) -> None:
        """Record that a user wants to cancel a job, whether or not the request reaches a controller."""
        self.observed.cancel_requested.add(job_id)

    def task_completed(self, task: str) -> None:
        """Record that a task has finished its work; its worker may report that later, or never."""
        self.observed.completed.add(task)
        self.observed.completed_us.setdefault(task, self.observed.now_us)

    def sample(self) -> None:
        """Run the periodic check: does a job wait although there is room for it?"""
        self.starvation.sample()

    def finish(self, judge_served: bool = True) -> None:
        """Run the checks at the end of a run; `judge_served=False` omits the check that accepted work was served."""
        self.machines.check_nothing_cancelled_runs()
        for job_id in self.observed.last_answer_us:
            self.answers.check_silence(job_id)
        if judge_served:
            self.end_of_run.check_served()
        self.end_of_run.check_anything_ran()
