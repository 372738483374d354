"""Rules about answers to users: no unknown job is reported, no job is forgotten, no final status is revoked."""

from typing import Any

from tests.simulation.checks.observations import FINAL_STATUSES, Observations
from tests.simulation.clock import SECOND_US

#: a job counts as forgotten after this long without an answer, counted from the end of the last fault
MAX_SILENCE_S = 75

ACCEPTED_STATUSES = (200, 201)
REFUSED_STATUSES = (400, 422)


class AnswerChecks:
    """Rules `accepted_wrong`, `forgotten`, `invented`, `went_back`, `orphaned` and `not_done`."""

    def __init__(self, observed: Observations) -> None:
        self.observed = observed
        self.request_sent_us: int | None = None  # when the request being answered was sent; None: now

    def submission_answered(self, job_id: str, status: int, body: Any) -> None:
        """Check the answer to a user's attempt to submit a job."""
        observed = self.observed
        if status in ACCEPTED_STATUSES:
            if job_id in observed.world.invalid_submissions and job_id not in observed.accepted:
                observed.breach("accepted_wrong", f"{job_id} was accepted, but can't run or lacks a field")
                return
            if job_id not in observed.accepted:
                observed.acceptance_answered_us[job_id] = observed.now_us
                self._notify_listeners(job_id, "accepted")
            observed.accepted.setdefault(job_id, body)
            self._record_answer(job_id)
            self._check_status(job_id, body["status"])
        elif status in REFUSED_STATUSES and job_id in observed.accepted:
            observed.breach("forgotten", f"{job_id} answered {status}")

    def poll_answered(self, job_id: str, status: int, body: Any) -> None:
        """Check the answer to a user's query for a job's status."""
        if self._describes_known_job(job_id, status):
            self._record_answer(job_id)
            self._check_status(job_id, body["status"])

    def cancellation_answered(self, job_id: str, status: int, body: Any) -> None:
        """Check the answer to a user's cancellation of a job."""
        if self._describes_known_job(job_id, status):
            self._check_status(job_id, body["status"])

    def check_silence(self, job_id: str) -> None:
        """Check the time since the last answer about a job, counted from the end of the last fault."""
        observed = self.observed
        last_answer_us = observed.last_answer_us.get(job_id, observed.now_us)
        silent_us = observed.now_us - max(last_answer_us, observed.world.last_fault_end_us)
        if silent_us > MAX_SILENCE_S * SECOND_US and job_id in observed.accepted and not observed.is_cancelled(job_id):
            observed.breach("forgotten", f"{job_id}: no answer for {silent_us / SECOND_US:.0f} s")

    def _sent_us(self) -> int:
        return self.observed.now_us if self.request_sent_us is None else self.request_sent_us

    def _describes_known_job(self, job_id: str, status: int) -> bool:
        """Whether the answer describes a job that was submitted.

        Any controller that answers 404 after the user was told of the acceptance has forgotten the job.
        """
        observed = self.observed
        if status == 404 and job_id in observed.accepted and self._sent_us() >= observed.acceptance_answered_us[job_id]:
            observed.breach("forgotten", f"{job_id} answered 404")
        if status != 200:
            return False
        if job_id not in observed.world.jobs:
            observed.breach("invented", job_id)
            return False
        return True

    def _record_answer(self, job_id: str) -> None:
        self.check_silence(job_id)
        self.observed.last_answer_us[job_id] = self.observed.now_us

    def _check_status(self, job_id: str, status: str) -> None:
        observed = self.observed
        previous = observed.last_status.get(job_id)
        self._check_final_status_kept(job_id, previous, status)
        if previous in FINAL_STATUSES and status not in FINAL_STATUSES:
            return
        if status not in FINAL_STATUSES:
            self._check_dependencies_not_cancelled(job_id, status)
        elif job_id not in observed.final_answer_us:
            observed.final_answer_us[job_id] = observed.now_us
            self._notify_listeners(job_id, status)
        if status == "withdrawn":
            self._check_cancellation_requested(job_id)
        if status == "done":
            self._check_done(job_id)
        observed.last_status[job_id] = status

    def _check_final_status_kept(self, job_id: str, previous: str | None, status: str) -> None:
        """Check that a job keeps its final status.

        A request sent before the final answer may still get an earlier status, but never a different final one.
        """
        if previous not in FINAL_STATUSES or status == previous:
            return
        if status in FINAL_STATUSES or self._sent_us() >= self.observed.final_answer_us[job_id]:
            self.observed.breach("went_back", f"{job_id}: {previous}, then {status}")

    def _check_dependencies_not_cancelled(self, job_id: str, status: str) -> None:
        """Check that a job isn't reported unfinished for long after one of its dependencies was reported cancelled."""
        observed, sent_us = self.observed, self._sent_us()
        for dependency in observed.dependencies(job_id):
            elapsed_us = sent_us - observed.cancel_answered_us.get(dependency, sent_us)
            if elapsed_us > observed.cancel_limit_us:
                observed.breach(
                    "orphaned", f"{job_id} is {status}, {elapsed_us / SECOND_US:.0f} s after {dependency} was withdrawn"
                )

    def _check_cancellation_requested(self, job_id: str) -> None:
        if not self.observed.is_cancelled(job_id):
            self.observed.breach("went_back", f"{job_id} is reported cancelled, but nobody requested that")
        self.observed.cancel_answered_us.setdefault(job_id, self.observed.now_us)

    def _check_done(self, job_id: str) -> None:
        missing = [task for task in self.observed.tasks(job_id) if task not in self.observed.completed]
        if missing:
            self.observed.breach("not_done", f"{job_id} is reported done without {missing[:3]}")

    def _notify_listeners(self, job_id: str, status: str) -> None:
        for listener in self.observed.world.status_listeners:
            listener(job_id, status)
