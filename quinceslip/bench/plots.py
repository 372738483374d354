"""HTML page of `bench fleet` results: work per message, by kind of message and fleet size.

Draws several result files in the same axes, for instance from before and after a change. Needs matplotlib (extra
`plots`).
"""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from quinceslip import plotting
from quinceslip.protocol.settings import SettingsError

#: one output line of `bench fleet`
Run = dict[str, Any]


def read_runs(path: Path) -> list[Run]:
    """Read the output lines of `bench fleet`, smallest fleet first; raises SettingsError for any other line."""
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
        runs = [_read_run(path, number, line) for number, line in enumerate(lines, 1)]
    except (OSError, UnicodeDecodeError, msgspec.DecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not runs:
        raise SettingsError(f"{path}: no runs")
    return sorted(runs, key=lambda run: run["machines"])


def _read_run(path: Path, number: int, line: str) -> Run:
    run = msgspec.json.decode(line, type=Run)
    if not isinstance(run.get("machines"), int) or not isinstance(run.get("kinds"), dict):
        raise SettingsError(f"{path}: line {number}: not an output line of bench fleet")
    return run


def write_page(paths: Sequence[Path], target: Path) -> str:
    """Plot function calls per message over the number of machines, one line for each file.

    Returns a summary line; raises SettingsError for a file that can't be read.
    """
    files = {path.stem: read_runs(path) for path in paths}
    kinds = sorted({kind for runs in files.values() for run in runs for kind in run["kinds"]})
    figure, axes = plotting.stacked_plots(len(kinds), 8)
    for axis, kind in zip(axes, kinds, strict=True):
        _draw_kind(axis, kind, files)
    axes[0].legend(loc="upper left", fontsize=7)
    axes[-1].set_xlabel("machines")
    target.write_text(
        plotting.page(figure, "bench fleet", "Controller work per message", ", ".join(files)), encoding="utf-8"
    )
    return f"{target}: {sum(map(len, files.values()))} runs, {len(kinds)} kinds of messages"


def _draw_kind(axis: Any, kind: str, files: dict[str, list[Run]]) -> None:
    for name, runs in files.items():
        measured = [run for run in runs if kind in run["kinds"]]
        machines = [run["machines"] for run in measured]
        calls = [run["kinds"][kind]["calls_each"] for run in measured]
        axis.plot(machines, calls, marker="o", markersize=3, label=name)
    axis.set_title(f"{kind}: calls per message", loc="left", fontsize=9)
    axis.set_ylim(bottom=0)
