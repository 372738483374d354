"""Measures what each kind of message costs the controller."""

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
    """Kinds of messages; the values are keys in the output."""

    ANSWER = "answer"  # the result of a call
    POLL = "poll"
    HEARTBEAT = "report"
    BATCH_END = "settle"
    SUBMIT = "submit"
    TICK = "tick"
    WATCH = "watch"


@dataclass(slots=True)
class Cost:
    """Totals for one kind of message: messages, processor time in microseconds, and function calls."""

    messages: int = 0
    cpu_us: float = 0.0
    calls: int = 0


class MeasuredController:
    """A controller whose messages are timed, or whose function calls are counted.

    Counting distorts the times, so one run does only one of them.
    """

    def __init__(self, controller: Controller, count_calls: bool) -> None:
        """Measure `controller`; count its function calls if `count_calls`."""
        self.controller = controller
        self.costs: dict[MessageKind, Cost] = defaultdict(Cost)
        self._counting = count_calls
        self._calls = 0

    def handle(self, kind: MessageKind, message: fx.Message, now_us: int) -> Sequence[fx.Effect]:
        """Have the controller handle one message; returns its effects."""
        cost = self.costs[kind]
        cost.messages += 1
        self._calls = 0
        if self._counting:
            sys.setprofile(self._count_call)
        started_ns = time.thread_time_ns()
        try:
            effects = self.controller.handle(message, now_us)
        finally:
            cost.cpu_us += (time.thread_time_ns() - started_ns) / NS_PER_US
            if self._counting:
                sys.setprofile(None)
        cost.calls += self._calls
        return effects

    def _count_call(self, frame: FrameType, event: str, argument: Any) -> None:
        if event in ("call", "c_call"):
            self._calls += 1
