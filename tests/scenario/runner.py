"""Runner of the scenario files: every file in scenarios/ is a test.

A scenario is a list of lines. `site`, `team`, `type` and `machines` describe the simulated world, `at T ...`
schedules an action (in seconds), `run T` runs the simulation, and `expect ...` checks the result. The rules of
the protocol are checked at the end of every run. A scenario with `expect_breach RULE` shows instead that the
checker detects a breach of that rule.
"""

import shlex
from pathlib import Path
from typing import Any

from tests.scenario.breaches import InjectionVerbs
from tests.scenario.combined_faults import CombinedFaults
from tests.scenario.components import ComponentChecks
from tests.scenario.controllers import ControllerVerbs
from tests.scenario.fields import value
from tests.scenario.liveness_checks import LivenessChecks
from tests.scenario.model_checks import ModelChecks
from tests.scenario.queueing_checks import QueueingChecks
from tests.scenario.store import StoreVerbs
from tests.scenario.tools import collected_errors
from tests.scenario.workers import WorkerVerbs
from tests.simulation.tracing import open_trace

FOLDER = Path(__file__).parent.parent / "scenarios"


class Runner(
    CombinedFaults,
    InjectionVerbs,
    ControllerVerbs,
    StoreVerbs,
    WorkerVerbs,
    QueueingChecks,
    LivenessChecks,
    ModelChecks,
    ComponentChecks,
):
    """Executes the lines of a scenario: `on_` methods are verbs of `at`, `check_` methods of `expect`, `do_` others."""

    def execute_line(self, text: str) -> None:
        """Execute one line; a comment or an empty line does nothing."""
        words = shlex.split(text, comments=True)
        if not words:
            return
        verb, rest = words[0], words[1:]
        plain = [w for w in rest if "=" not in w or w in ("<=", ">=", "==")]
        named = {k: value(v) for k, _, v in (w.partition("=") for w in rest if w not in plain)}
        self.execute("do_" + verb, plain, named)

    def do_expect(self, plain: list[str], named: dict[str, Any]) -> None:
        """expect CHECK ...: run a `check_` verb on the state so far"""
        self.execute("check_" + plain[0], plain[1:], {**named})

    def finish(self) -> None:
        """Check logged errors and the rules of the protocol, after all lines were executed."""
        unexpected = [line for line in self.errors if not any(text in line for text in self.errors_expected)]
        assert not unexpected, unexpected[:5]
        if self.world is None:
            return
        self.world.checker.finish(judge_served=not self.unserved_reason)
        breaches = self.world.checker.breaches
        if self.expected_breach:
            assert any(f" {self.expected_breach}:" in b for b in breaches), breaches
        else:
            assert not breaches, breaches


def run_scenario(text: str) -> Runner:
    """Run a scenario; it fails as well for unexpected errors that controllers log."""
    runner = Runner()
    with open_trace() as trace, collected_errors(runner.errors):
        runner.trace = trace
        for line in text.splitlines():
            runner.execute_line(line)
    runner.finish()
    return runner
