"""Lines that explore the models of the protocol, and measure benchmarks."""

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
    """Lines that explore the models of the protocol, and measure benchmarks."""

    def do_model(self, plain: list[str], named: dict[str, Any]) -> None:
        """model [without=GUARD] [depth=N] [only=STEP,...]: a breach is found exactly where a guard is left out"""
        result = explore(
            named.get("depth", 8),
            controllers=named.get("controllers", 2),
            without=named.get("without", ""),
            most_states=named.get("most", 0),
            only=frozenset(s for s in str(named.get("only", "")).split(",") if s),
        )
        assert bool(result.breach) == ("without" in named), (named, result)

    def do_takeover(self, plain: list[str], named: dict[str, Any]) -> None:
        """takeover [without=GUARD] [depth=N] [workers=N] [tasks=N] [only=STEP,...] [after=STEP:N:N,...]"""
        # Leaders that are left without a guard say so.
        self.errors_expected.append("")
        result = takeover(
            named.get("depth", 7),
            named.get("workers", 2),
            named.get("tasks", 1),
            named.get("without", ""),
            named.get("most", 0),
            frozenset(s for s in str(named.get("only", "")).split(",") if s),
            parse_steps(str(named.get("after", ""))),
        )
        assert bool(result.breach) == ("without" in named), (named, result)

    def do_gap(self, plain: list[str], named: dict[str, Any]) -> None:
        """gap [without=GUARD] [lease=N] [cancel=N]: all histories of a cancellation that the leader cannot hear of"""
        result = gap(**named)
        assert bool(result.breach) == ("without" in named), (named, result)
        # A model in which nothing happens finds nothing: without a breach the task is there until just before cancel_s.
        assert result.breach or result.depth >= named.get("cancel", 12) - 2, result

    def do_supply(self, plain: list[str], named: dict[str, Any]) -> None:
        """supply N ... vain=TIMES found=S: refused requests against those of one alone; most seconds to find room"""
        counts = [1, *map(int, plain)]
        runs = [capacity.measure(count, True, 4, 600.0, 1, 8.0) for count in counts]
        assert all(run["vain_a_minute"] <= named["vain"] * runs[0]["vain_a_minute"] for run in runs), runs
        assert all(run["found_s"]["p95"] <= named["found"] for run in runs), runs
        alone = [capacity.measure(count, False, 4, 600.0, 1, 8.0) for count in counts]
        assert alone[-1]["vain_a_minute"] > 5 * runs[-1]["vain_a_minute"], (alone, runs)
        with tempfile.TemporaryDirectory() as folder:
            target = Path(folder) / "page.html"
            assert capacity.write_page(runs + alone, target) == f"{target}: {len(runs + alone)} runs"
            assert "seconds until recovered capacity" in target.read_text(encoding="utf-8")

    def do_fleet_work(self, plain: list[str], named: dict[str, Any]) -> None:
        """fleet_work SMALL LARGE seconds=S KIND=TIMES ...: calls for a message may grow by so much at the most"""
        seconds = float(named.pop("seconds"))
        runs = [measure(int(n), seconds, 1) for n in plain]
        small, large = (run["kinds"] for run in runs)
        with tempfile.TemporaryDirectory() as folder:
            lines, target = Path(folder) / "now.jsonl", Path(folder) / "page.html"
            lines.write_text("\n".join(json.dumps(run) for run in runs), encoding="utf-8")
            assert write_page([lines], target) == f"{target}: 2 runs, {len(large)} kinds of messages"
            text = target.read_text(encoding="utf-8")
            assert text.count("<svg") == 1 and all(f"{kind}: calls" in text for kind in large)
            lines.write_text('{"machines": "many"}', encoding="utf-8")
            with pytest.raises(SettingsError, match="line 1"):
                write_page([lines], target)
        grown = {k: large[k]["calls_each"] / small[k]["calls_each"] for k in named}
        assert all(grown[k] <= named[k] for k in named), grown
