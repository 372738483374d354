"""Lines that tell the checker of events directly, to show that it catches a breach of each rule."""

from dataclasses import dataclass
from typing import Any

from tests.scenario.setup import WorldSetup
from tests.simulation.checker import Checker
from tests.simulation.clock import SECOND_US
from tests.simulation.inputs import job_spec


@dataclass
class WorkerStub:
    """What the checker reads of a worker when a task starts there; it takes part in nothing else."""

    name: str
    host: dict[str, Any]


class BreachVerbs(WorldSetup):
    """Lines `breach EVENT ...`: an event that never happened in the world, reported to the checker."""

    def do_breach(self, plain: list[str], named: dict[str, Any]) -> None:
        """breach EVENT ...: job, on, off, complete, asks, ask, odd, asked_ago, trouble, wait, or an answer to a user"""
        if self.world is None:
            self.do_run(["0"], {})
        event, rest = plain[0], plain[1:]
        if event in ("submitted", "polled", "cancelled"):
            self._breach_answer(event, rest)
        else:
            getattr(self, f"_breach_{event}")(rest, named)

    @property
    def _checker(self) -> Checker:
        return self.w().checker

    def _breach_job(self, args: list[str], named: dict[str, Any]) -> None:
        given = {key: str(v).split(",") if key in ("builds", "waitsOn") else v for key, v in named.items()}
        self.w().jobs[args[0]] = job_spec(args[0], **given)

    def _breach_on(self, args: list[str], named: dict[str, Any]) -> None:
        host = {
            "build": named.get("type", "m"),
            "yard": named.get("zone", "a"),
            "loaners": named.get("spot", False),
        }
        worker: Any = WorkerStub(args[1], host)
        self.w().workers[args[1]] = worker
        self._checker.machines.task_started(args[0], worker)

    def _breach_off(self, args: list[str], named: dict[str, Any]) -> None:
        self._checker.machines.task_stopped(args[0], args[1])

    def _breach_complete(self, args: list[str], named: dict[str, Any]) -> None:
        self._checker.observed.completed.add(args[0])

    def _breach_asks(self, args: list[str], named: dict[str, Any]) -> None:
        self._checker.submission_attempted(args[0])

    def _breach_ask(self, args: list[str], named: dict[str, Any]) -> None:
        self._checker.cancellation_requested(args[0])

    def _breach_odd(self, args: list[str], named: dict[str, Any]) -> None:
        self.w().invalid_submissions[args[0]] = {}

    def _breach_asked_ago(self, args: list[str], named: dict[str, Any]) -> None:
        self._checker.answers.request_sent_us = self.w().now_us - int(float(args[0]) * SECOND_US)

    def _breach_trouble(self, args: list[str], named: dict[str, Any]) -> None:
        self.w().begin_fault(float(args[0]))

    def _breach_wait(self, args: list[str], named: dict[str, Any]) -> None:
        self.w().now_us += int(float(args[0]) * SECOND_US)

    def _breach_answer(self, event: str, args: list[str]) -> None:
        handlers = {
            "submitted": self._checker.answers.submission_answered,
            "polled": self._checker.answers.poll_answered,
            "cancelled": self._checker.answers.cancellation_answered,
        }
        status_of_job = args[2] if len(args) > 2 else ""
        handlers[event](args[0], int(args[1]), {"uid": args[0], "status": status_of_job})
