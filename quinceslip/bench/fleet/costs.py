"""The controller under measurement, and what each kind of message costs it."""

import sys
import time
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from types import FrameType
from typing import Any

from quinceslip.coordination.actor import effects as fx
from quinceslip.coordination.controller.controller import Controller

NS_PER_US = 1000


class MessageKind(StrEnum):
    """Kinds of messages, by their keys in the output."""

    ANSWER = "answer"  # the result of a call
    POLL = "poll"
    HEARTBEAT = "report"
    BATCH_END = "settle"
    SUBMIT = "submit"
    TICK = "tick"
    WATCH = "watch"


@dataclass(slots=True)
class Cost:
    """One kind of message: how many, processor time in microseconds, and calls of functions."""

    messages: int = 0
    cpu_us: float = 0.0
    calls: int = 0


class MeasuredController:
    """A controller whose messages are timed, or whose calls of functions are counted.

    Counting slows it down, so one run does not give both.
    """

    def __init__(self, controller: Controller, counted: bool) -> None:
        """Measure `controller`; count its calls of functions if `counted`."""
        self.controller = controller
        self.costs: dict[MessageKind, Cost] = defaultdict(Cost)
        self._counted = counted
        self._calls = 0

    def handle(self, kind: MessageKind, message: fx.Message, now_us: int) -> Sequence[fx.Effect]:
        """Let the controller handle one message; its effects."""
        cost = self.costs[kind]
        cost.messages += 1
        self._calls = 0
        if self._counted:
            sys.setprofile(self._count)
        started_ns = time.thread_time_ns()
        try:
            effects = self.controller.handle(message, now_us)
        finally:
            cost.cpu_us += (time.thread_time_ns() - started_ns) / NS_PER_US
            if self._counted:
                sys.setprofile(None)
        cost.calls += self._calls
        return effects

    def _count(self, frame: FrameType, event: str, argument: Any) -> None:
        if event in ("call", "c_call"):
            self._calls += 1
