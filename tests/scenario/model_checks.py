"""Lines that explore the protocol models and check benchmark results."""

import json
import tempfile
from pathlib import Path
from typing import Any

import pytest

from quinceslip.bench import capacity
from quinceslip.bench.fleet import measure
from quinceslip.bench.plots import write_page
from quinceslip.models.gap import explore as gap
from quinceslip.models.takeover import explore as takeover
from quinceslip.models.takeover import parse_steps
from quinceslip.protocol.settings import SettingsError
from quinceslip.quota.model import explore
from tests.scenario.state import RunnerState


class ModelChecks(RunnerState):
    """Lines that explore the protocol models and check benchmark results."""

    def do_quota_model(self, plain: list[str], named: dict[str, Any]) -> None:
        """quota_model [without=GUARD] [depth=N] [only=STEP,...]: a breach is found only if a guard is left out"""
        result = explore(
            named.get("depth", 8),
            controllers=named.get("controllers", 2),
            without=named.get("without", ""),
            most_states=named.get("max_states", 0),
            only=frozenset(s for s in str(named.get("only", "")).split(",") if s),
        )
        assert bool(result.breach) == ("without" in named), (named, result)

    def do_takeover_model(self, plain: list[str], named: dict[str, Any]) -> None:
        """takeover_model [without=GUARD] [depth=N] [workers=N] [tasks=N] [only=STEP,...] [after=STEP:N:N,...]"""
        # Leaders that run without a guard log errors.
        self.errors_expected.append("")
        result = takeover(
            named.get("depth", 7),
            named.get("workers", 2),
            named.get("tasks", 1),
            named.get("without", ""),
            named.get("max_states", 0),
            frozenset(s for s in str(named.get("only", "")).split(",") if s),
            parse_steps(str(named.get("after", ""))),
        )
        assert bool(result.breach) == ("without" in named), (named, result)

    def do_gap_model(self, plain: list[str], named: dict[str, Any]) -> None:
        """gap_model [without=GUARD] [lease=N] [cancel=N]: histories of a cancellation that cannot reach the leader"""
        result = gap(**named)
        assert bool(result.breach) == ("without" in named), (named, result)
        # Guards against a model without any steps: without a breach, the task exists until just before cancel_s.
        assert result.breach or result.depth >= named.get("cancel", 12) - 2, result

    def do_capacity_bench(self, plain: list[str], named: dict[str, Any]) -> None:
        """capacity_bench N ... max_refused_ratio=R max_search=S: compare N controllers that share observations with one

        R limits the refused requests per minute, relative to those of a single controller; S limits the 95th
        percentile of the seconds until capacity is found.
        """
        counts = [1, *map(int, plain)]
        runs = [capacity.measure(count, True, 4, 600.0, 1, 8.0) for count in counts]
        assert all(run["vain_a_minute"] <= named["max_refused_ratio"] * runs[0]["vain_a_minute"] for run in runs), runs
        assert all(run["found_s"]["p95"] <= named["max_search"] for run in runs), runs
        unshared = [capacity.measure(count, False, 4, 600.0, 1, 8.0) for count in counts]
        assert unshared[-1]["vain_a_minute"] > 5 * runs[-1]["vain_a_minute"], (unshared, runs)
        with tempfile.TemporaryDirectory() as folder:
            target = Path(folder) / "page.html"
            assert capacity.write_page(runs + unshared, target) == f"{target}: {len(runs + unshared)} runs"
            assert "seconds until recovered capacity" in target.read_text(encoding="utf-8")

    def do_fleet_work(self, plain: list[str], named: dict[str, Any]) -> None:
        """fleet_work SMALL LARGE seconds=S KIND=RATIO ...: bounds the growth of calls per message with fleet size"""
        seconds = float(named.pop("seconds"))
        runs = [measure(int(n), seconds, 1) for n in plain]
        small, large = (run["kinds"] for run in runs)
        with tempfile.TemporaryDirectory() as folder:
            samples, target = Path(folder) / "now.jsonl", Path(folder) / "page.html"
            samples.write_text("\n".join(json.dumps(run) for run in runs), encoding="utf-8")
            assert write_page([samples], target) == f"{target}: 2 runs, {len(large)} kinds of messages"
            text = target.read_text(encoding="utf-8")
            assert text.count("<svg") == 1 and all(f"{kind}: calls" in text for kind in large)
            samples.write_text('{"machines": "many"}', encoding="utf-8")
            with pytest.raises(SettingsError, match="line 1"):
                write_page([samples], target)
        growth = {k: large[k]["calls_each"] / small[k]["calls_each"] for k in named}
        assert all(growth[k] <= named[k] for k in named), growth
