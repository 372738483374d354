"""Rules about what users are answered: nothing invented, nothing forgotten, no final status taken back."""

from typing import Any

from tests.simulation.checks.observations import FINAL_STATUSES, Observations
from tests.simulation.clock import SECOND_US

#: a job about which nothing is answered for so long after the last trouble is forgotten
MAX_SILENCE_S = 75

ACCEPTED_STATUSES = (200, 201)
REFUSED_STATUSES = (400, 422)


class AnswerChecks:
    """Rules `accepted_wrong`, `forgotten`, `invented`, `went_back`, `orphaned` and `not_done`."""

    def __init__(self, observed: Observations) -> None:
        self.observed = observed
        self.request_sent_us: int | None = None  # when the request was sent whose answer comes now; None: now

    def submission_answered(self, job_id: str, status: int, body: Any) -> None:
        """A user's attempt to submit a job was answered."""
        observed = self.observed
        if status in ACCEPTED_STATUSES:
            if job_id in observed.world.invalid_submissions and job_id not in observed.accepted:
                observed.breach("accepted_wrong", f"{job_id} can't run or lacks a field")
                return
            if job_id not in observed.accepted:
                observed.acceptance_answered_us[job_id] = observed.now_us
                self._publish_news(job_id, "accepted")
            observed.accepted.setdefault(job_id, body)
            self._answer_received(job_id)
            self._status_received(job_id, body["status"])
        elif status in REFUSED_STATUSES and job_id in observed.accepted:
            observed.breach("forgotten", f"{job_id} answered {status}")

    def poll_answered(self, job_id: str, status: int, body: Any) -> None:
        """A user's question about a job was answered."""
        if self._known_job_answered(job_id, status):
            self._answer_received(job_id)
            self._status_received(job_id, body["status"])

    def cancellation_answered(self, job_id: str, status: int, body: Any) -> None:
        """A user's cancellation of a job was answered."""
        if self._known_job_answered(job_id, status):
            self._status_received(job_id, body["status"])

    def check_silence(self, job_id: str) -> None:
        """Judge the time since the last answer about a job, counted from the end of all troubles."""
        observed = self.observed
        last_answer_us = observed.last_answer_us.get(job_id, observed.now_us)
        silent_us = observed.now_us - max(last_answer_us, observed.world.last_fault_end_us)
        if silent_us > MAX_SILENCE_S * SECOND_US and job_id in observed.accepted and not observed.is_cancelled(job_id):
            observed.breach("forgotten", f"{job_id}: nothing was answered for {silent_us / SECOND_US:.0f} s")

    def _sent_us(self) -> int:
        return self.observed.now_us if self.request_sent_us is None else self.request_sent_us

    def _known_job_answered(self, job_id: str, status: int) -> bool:
        """Whether an answer tells of a job that was submitted. 404 is no answer once its user heard of the acceptance,
        whichever controller is asked."""
        observed = self.observed
        if status == 404 and job_id in observed.accepted and self._sent_us() >= observed.acceptance_answered_us[job_id]:
            observed.breach("forgotten", f"{job_id} answered 404")
        if status != 200:
            return False
        if job_id not in observed.world.jobs:
            observed.breach("invented", job_id)
            return False
        return True

    def _answer_received(self, job_id: str) -> None:
        self.check_silence(job_id)
        self.observed.last_answer_us[job_id] = self.observed.now_us

    def _status_received(self, job_id: str, status: str) -> None:
        observed = self.observed
        before = observed.last_status.get(job_id)
        self._check_final_stays(job_id, before, status)
        if before in FINAL_STATUSES and status not in FINAL_STATUSES:
            return
        if status not in FINAL_STATUSES:
            self._check_dependencies_live(job_id, status)
        elif job_id not in observed.final_answer_us:
            observed.final_answer_us[job_id] = observed.now_us
            self._publish_news(job_id, status)
        if status == "withdrawn":
            self._cancelled_received(job_id)
        if status == "done":
            self._check_done(job_id)
        observed.last_status[job_id] = status

    def _check_final_stays(self, job_id: str, before: str | None, status: str) -> None:
        """A request that was on its way already may be answered by what was when it was sent; never by another end."""
        if before not in FINAL_STATUSES or status == before:
            return
        if status in FINAL_STATUSES or self._sent_us() >= self.observed.final_answer_us[job_id]:
            self.observed.breach("went_back", f"{job_id}: {before}, then {status}")

    def _check_dependencies_live(self, job_id: str, status: str) -> None:
        """A job is not called unfinished for long after one that it waits for was called cancelled."""
        observed, sent_us = self.observed, self._sent_us()
        for other in observed.dependencies(job_id):
            late_us = sent_us - observed.cancel_answered_us.get(other, sent_us)
            if late_us > observed.cancel_limit_us:
                observed.breach(
                    "orphaned", f"{job_id} is {status}, {late_us / SECOND_US:.0f} s after {other} was withdrawn"
                )

    def _cancelled_received(self, job_id: str) -> None:
        if not self.observed.is_cancelled(job_id):
            self.observed.breach("went_back", f"{job_id} is called cancelled, which nobody asked for")
        self.observed.cancel_answered_us.setdefault(job_id, self.observed.now_us)

    def _check_done(self, job_id: str) -> None:
        missing = [task for task in self.observed.tasks(job_id) if task not in self.observed.completed]
        if missing:
            self.observed.breach("not_done", f"{job_id}: {missing[:3]}")

    def _publish_news(self, job_id: str, status: str) -> None:
        for listener in self.observed.world.status_listeners:
            listener(job_id, status)
