"""Irregular user requests: repeated or invalid submissions, and cancellations of completed jobs."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from tests.scenario.state import RunnerState
from tests.simulation.checks.answers import REFUSED_STATUSES
from tests.simulation.checks.observations import FINAL_STATUSES

#: a submission that lacks one of these fields is refused
REQUIRED_FIELDS = ["lane", "crew", "picks", "vcpus", "expectS"]
#: more CPUs than any machine has
TOO_MANY_CPUS = 9999.0
#: the first id number of invalid new submissions; no scenario uses these ids
FIRST_ID = 900_000


@dataclass
class IrregularRequests:
    """Sends irregular requests periodically; `count_occurrence` counts them by kind."""

    runner: RunnerState
    every_us: int
    until_us: int
    count_occurrence: Callable[[str], None]
    id_numbers: Iterator[int]  # for new submissions

    def send_next(self) -> None:
        """Send one request now, and schedule the next one, until the end of the period."""
        world = self.runner.w()
        if world.now_us >= self.until_us:
            return
        world.after(self.every_us, self.send_next)
        handlers = {
            "repeat": self._repeat,
            "invalid_repeat": self._repeat_invalid,
            "late_cancellation": self._cancel_done,
            "invalid_submission": self._submit_invalid,
        }
        kind = world.random.choice(
            ["repeat", "invalid_repeat", "late_cancellation", *(["invalid_submission"] if world.jobs else [])]
        )
        if handlers[kind]():
            self.count_occurrence(f"irregular_{kind}")

    def _unfinished_jobs(self) -> list[str]:
        observed = self.runner.w().checker.observed
        return sorted(job for job in observed.accepted if observed.last_status.get(job) not in FINAL_STATUSES)

    def _repeat(self) -> bool:
        unfinished = self._unfinished_jobs()
        if not unfinished:
            return False
        job_id = self.runner.w().random.choice(unfinished)
        self._submit_again(job_id, self.runner.w().jobs[job_id])
        return True

    def _repeat_invalid(self) -> bool:
        unfinished = self._unfinished_jobs()
        if not unfinished:
            return False
        job_id = self.runner.w().random.choice(unfinished)
        self._submit_again(job_id, self._invalidate(self.runner.w().jobs[job_id]))
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

    def _submit_invalid(self) -> bool:
        """Send a submission that can never be accepted, under a new id."""
        world, job_id = self.runner.w(), f"req-{next(self.id_numbers)}"
        spec = self._invalidate({**next(iter(world.jobs.values())), "uid": job_id})
        world.invalid_submissions[job_id] = spec

        def answered(status: int, body: Any) -> None:
            world.checker.answers.submission_answered(job_id, status, body)
            if status in REFUSED_STATUSES:
                self.count_occurrence("refused")

        self.runner.ask("submit", job_id, answered, spec)
        return True

    def _invalidate(self, spec: dict[str, Any]) -> dict[str, Any]:
        """Return a description that fits no machine or lacks a required field."""
        random = self.runner.w().random
        if random.random() < 0.5:
            return {**spec, "vcpus": TOO_MANY_CPUS}
        missing = random.choice(REQUIRED_FIELDS)
        return {key: value for key, value in spec.items() if key != missing}
