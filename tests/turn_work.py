"""Counts the function calls that the actors of a scenario make in each turn, and fails once one turn makes too many."""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from quinceslip.coordination.actor.effects import Effect, Message
from quinceslip.coordination.controller.controller import Controller
from tests.scenario.runner import Runner

#: The watchdog ends a controller after the leader's lease, 3.3 s at the smallest site, which has half a core: some four
#: million calls. A tenth of this is far below it.
MAX_CALLS_PER_TURN = 400_000


class TurnTooLongError(BaseException):
    """A turn has made too many calls; no handler of the actor catches it."""


class CallCounter:
    """Counts the calls of one turn at a time."""

    def __init__(self, max_calls: int) -> None:
        self.max_calls = max_calls
        self.calls = 0
        self.largest_turn = 0

    def count(self, _frame: Any, event: str, _argument: Any) -> None:
        """Count one event of the profiler."""
        if event not in ("call", "c_call"):
            return
        self.calls += 1
        if self.calls > self.max_calls:
            sys.setprofile(None)
            raise TurnTooLongError


def count_calls(function: Callable[[], object], max_calls: int = MAX_CALLS_PER_TURN) -> int:
    """Return how many calls a function makes; fails the test at the first one above the limit."""
    counter = CallCounter(max_calls)
    sys.setprofile(counter.count)
    try:
        function()
    except TurnTooLongError:
        pytest.fail(f"more than {max_calls} calls")
    finally:
        sys.setprofile(None)
    return counter.calls


@contextmanager
def counted_turns(monkeypatch: pytest.MonkeyPatch, max_calls: int = MAX_CALLS_PER_TURN) -> Iterator[CallCounter]:
    """Count the calls of every turn of every controller; the test fails at the first turn above the limit."""
    counter, handle = CallCounter(max_calls), Controller.handle

    def counted(self: Controller, message: Message, now_us: int) -> list[Effect]:
        counter.calls = 0
        sys.setprofile(counter.count)
        try:
            return handle(self, message, now_us)
        finally:
            sys.setprofile(None)
            counter.largest_turn = max(counter.largest_turn, counter.calls)

    monkeypatch.setattr(Controller, "handle", counted)
    try:
        yield counter
    except TurnTooLongError:
        pytest.fail(f"a turn of the actor made more than {max_calls} calls")


def run_lines(text: str) -> Runner:
    """Execute the lines of a scenario; the caller checks what is of interest."""
    runner = Runner()
    for line in text.splitlines():
        runner.execute_line(line)
    return runner
