"""Lines that report events directly to the checker, to show that it detects a breach of each rule."""

from dataclasses import dataclass
from typing import Any

from tests.scenario.setup import WorldSetup
from tests.simulation.checker import Checker
from tests.simulation.clock import SECOND_US
from tests.simulation.inputs import job_spec


@dataclass
class WorkerStub:
    """The attributes of a worker that the checker reads when a task starts there; it takes no other part in the run."""

    name: str
    host: dict[str, Any]


class InjectionVerbs(WorldSetup):
    """Lines `inject EVENT ...`: report an event to the checker that never happened in the simulated world."""

    def do_inject(self, plain: list[str], named: dict[str, Any]) -> None:
        """inject EVENT ...: report an event, or with `submitted`, `polled` or `cancelled` an answer to a user

        The other events: job, task_started, task_stopped, task_completed, submission_attempted, request_age,
        cancellation_requested, irregular_submission, fault, time_passed.
        """
        if self.world is None:
            self.do_run(["0"], {})
        event, rest = plain[0], plain[1:]
        if event in ("submitted", "polled", "cancelled"):
            self._inject_answer(event, rest)
        else:
            getattr(self, f"_inject_{event}")(rest, named)

    @property
    def _checker(self) -> Checker:
        return self.w().checker

    def _inject_job(self, args: list[str], named: dict[str, Any]) -> None:
        given = {key: str(v).split(",") if key in ("builds", "waitsOn") else v for key, v in named.items()}
        self.w().jobs[args[0]] = job_spec(args[0], **given)

    def _inject_task_started(self, args: list[str], named: dict[str, Any]) -> None:
        host = {
            "build": named.get("type", "m"),
            "yard": named.get("zone", "a"),
            "loaners": named.get("spot", False),
        }
        worker: Any = WorkerStub(args[1], host)
        self.w().workers[args[1]] = worker
        self._checker.machines.task_started(args[0], worker)

    def _inject_task_stopped(self, args: list[str], named: dict[str, Any]) -> None:
        self._checker.machines.task_stopped(args[0], args[1])

    def _inject_task_completed(self, args: list[str], named: dict[str, Any]) -> None:
        self._checker.observed.completed.add(args[0])

    def _inject_submission_attempted(self, args: list[str], named: dict[str, Any]) -> None:
        self._checker.submission_attempted(args[0])

    def _inject_cancellation_requested(self, args: list[str], named: dict[str, Any]) -> None:
        self._checker.cancellation_requested(args[0])

    def _inject_irregular_submission(self, args: list[str], named: dict[str, Any]) -> None:
        self.w().invalid_submissions[args[0]] = {}

    def _inject_request_age(self, args: list[str], named: dict[str, Any]) -> None:
        self._checker.answers.request_sent_us = self.w().now_us - int(float(args[0]) * SECOND_US)

    def _inject_fault(self, args: list[str], named: dict[str, Any]) -> None:
        self.w().begin_fault(float(args[0]))

    def _inject_time_passed(self, args: list[str], named: dict[str, Any]) -> None:
        self.w().now_us += int(float(args[0]) * SECOND_US)

    def _inject_answer(self, event: str, args: list[str]) -> None:
        handlers = {
            "submitted": self._checker.answers.submission_answered,
            "polled": self._checker.answers.poll_answered,
            "cancelled": self._checker.answers.cancellation_answered,
        }
        status_of_job = args[2] if len(args) > 2 else ""
        handlers[event](args[0], int(args[1]), {"uid": args[0], "status": status_of_job})
