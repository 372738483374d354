"""The one runner of all scenarios: every file in scenarios/ is a test.

A scenario is a list of lines. `site`, `team`, `type` and `machines` describe the world, `at T ...`
says what happens when (seconds), `run T` plays it, and `expect ...` judges it. The rules of the
protocol are judged at the end of every run without being asked for, unless the scenario says
`broken RULE`, which shows that the checker catches the breach of that rule.
"""

import shlex
from pathlib import Path
from typing import Any

from tests.scenario.breaches import BreachVerbs
from tests.scenario.components import ComponentChecks
from tests.scenario.controllers import ControllerVerbs
from tests.scenario.fields import value
from tests.scenario.liveness_checks import LivenessChecks
from tests.scenario.model_checks import ModelChecks
from tests.scenario.queueing_checks import QueueingChecks
from tests.scenario.store import StoreVerbs
from tests.scenario.tools import collected_errors
from tests.scenario.troubles import Troubles
from tests.scenario.workers import WorkerVerbs
from tests.simulation.tracing import open_trace

FOLDER = Path(__file__).parent.parent / "scenarios"


class Runner(
    Troubles,
    BreachVerbs,
    ControllerVerbs,
    StoreVerbs,
    WorkerVerbs,
    QueueingChecks,
    LivenessChecks,
    ModelChecks,
    ComponentChecks,
):
    """Plays the lines of a scenario: `do_` verbs describe and play, `on_` verbs happen, `check_` verbs judge."""

    def line(self, text: str) -> None:
        """Play one line; a comment or an empty one does nothing."""
        words = shlex.split(text, comments=True)
        if not words:
            return
        verb, rest = words[0], words[1:]
        plain = [w for w in rest if "=" not in w or w in ("<=", ">=", "==")]
        named = {k: value(v) for k, _, v in (w.partition("=") for w in rest if w not in plain)}
        self.obey("do_" + verb, plain, named)

    def do_expect(self, plain: list[str], named: dict[str, Any]) -> None:
        """expect WHAT ...: a `check_` verb judges what has happened so far"""
        self.obey("check_" + plain[0], plain[1:], {**named})

    def finish(self) -> None:
        """Judge errors in the log and the rules of the protocol, once all lines are played."""
        unexpected = [line for line in self.errors if not any(text in line for text in self.errors_expected)]
        assert not unexpected, unexpected[:5]
        if self.world is None:
            return
        self.world.checker.finish(judge_served=not self.excused)
        breaches = self.world.checker.breaches
        if self.expect_broken:
            assert any(f" {self.expect_broken}:" in b for b in breaches), breaches
        else:
            assert not breaches, breaches


def play(text: str) -> Runner:
    """Play a scenario; lines that the controllers log as errors are judged as well."""
    runner = Runner()
    with open_trace() as trace, collected_errors(runner.errors):
        runner.trace = trace
        for line in text.splitlines():
            runner.line(line)
    runner.finish()
    return runner
