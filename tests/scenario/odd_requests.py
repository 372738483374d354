"""What users ask oddly: repeats, spoilt submissions, cancellations of what is done."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from tests.scenario.state import RunnerState
from tests.simulation.checks.answers import REFUSED_STATUSES
from tests.simulation.checks.observations import FINAL_STATUSES

#: fields without which a submission is refused
REQUIRED_FIELDS = ["lane", "crew", "picks", "vcpus", "expectS"]
#: more CPUs than any machine has
TOO_MANY_CPUS = 9999.0
#: such submissions have ids from here on, which no scenario uses
FIRST_ID = 900_000


@dataclass
class OddRequests:
    """Sends one odd request after another; `count_met` counts what each met."""

    runner: RunnerState
    every_us: int
    until_us: int
    count_met: Callable[[str], None]
    numbers: Iterator[int]  # of the ids of new submissions

    def send_next(self) -> None:
        """Send one now, and the next after the period, until the end."""
        world = self.runner.w()
        if world.now_us >= self.until_us:
            return
        world.after(self.every_us, self.send_next)
        handlers = {"repeat": self._repeat, "spoilt": self._repeat_spoilt, "late": self._cancel_done, "new": self._new}
        kind = world.random.choice(["repeat", "spoilt", "late", *(["new"] if world.jobs else [])])
        if handlers[kind]():
            self.count_met(f"odd_{kind}")

    def _unfinished(self) -> list[str]:
        observed = self.runner.w().checker.observed
        return sorted(job for job in observed.accepted if observed.last_status.get(job) not in FINAL_STATUSES)

    def _repeat(self) -> bool:
        unfinished = self._unfinished()
        if not unfinished:
            return False
        job_id = self.runner.w().random.choice(unfinished)
        self._submit_again(job_id, self.runner.w().jobs[job_id])
        return True

    def _repeat_spoilt(self) -> bool:
        unfinished = self._unfinished()
        if not unfinished:
            return False
        job_id = self.runner.w().random.choice(unfinished)
        self._submit_again(job_id, self._spoil(self.runner.w().jobs[job_id]))
        return True

    def _submit_again(self, job_id: str, spec: dict[str, Any]) -> None:
        answers = self.runner.w().checker.answers
        self.runner.ask("submit", job_id, lambda status, body: answers.submission_answered(job_id, status, body), spec)

    def _cancel_done(self) -> bool:
        checker = self.runner.w().checker
        done = sorted(job for job, status in checker.observed.last_status.items() if status == "done")
        if not done:
            return False
        job_id = self.runner.w().random.choice(done)
        checker.cancellation_requested(job_id)
        answers = checker.answers
        self.runner.ask("cancel", job_id, lambda status, body: answers.cancellation_answered(job_id, status, body))
        return True

    def _new(self) -> bool:
        """A submission that can never be accepted, under an id of its own."""
        world, job_id = self.runner.w(), f"req-{next(self.numbers)}"
        spec = self._spoil({**next(iter(world.jobs.values())), "uid": job_id})
        world.invalid_submissions[job_id] = spec

        def answered(status: int, body: Any) -> None:
            world.checker.answers.submission_answered(job_id, status, body)
            if status in REFUSED_STATUSES:
                self.count_met("refused")

        self.runner.ask("submit", job_id, answered, spec)
        return True

    def _spoil(self, spec: dict[str, Any]) -> dict[str, Any]:
        """A description that fits no machine, or lacks a field."""
        chance = self.runner.w().random
        if chance.random() < 0.5:
            return {**spec, "vcpus": TOO_MANY_CPUS}
        lacking = chance.choice(REQUIRED_FIELDS)
        return {key: value for key, value in spec.items() if key != lacking}
