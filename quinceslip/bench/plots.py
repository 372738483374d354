"""One HTML page of what `bench fleet` measured: work for a message, by kind and size of the fleet.

Several files are drawn beside each other, for instance of the sources before a change and after it.
matplotlib draws (extra `plots`).
"""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from quinceslip import plotting
from quinceslip.protocol.settings import SettingsError

Run = dict[str, Any]


def read(path: Path) -> list[Run]:
    """The lines that `bench fleet` printed, smallest fleet first; raises SettingsError for a line that is none."""
    runs = []
    try:
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
            run = msgspec.json.decode(line, type=Run)
            if not all(isinstance(run.get(key), kind) for key, kind in (("machines", int), ("kinds", dict))):
                raise SettingsError(f"{path}: line {number}: not of bench fleet")
            runs.append(run)
    except (OSError, UnicodeDecodeError, msgspec.DecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not runs:
        raise SettingsError(f"{path}: no runs")
    return sorted(runs, key=lambda r: r["machines"])


def write_page(paths: Sequence[Path], target: Path) -> str:
    """Draw calls of functions for a message over the number of machines; a line for each file."""
    files = {path.stem: read(path) for path in paths}
    kinds = sorted({kind for runs in files.values() for run in runs for kind in run["kinds"]})
    figure, axes = plotting.rows(len(kinds), 8)
    for axis, kind in zip(axes, kinds, strict=True):
        for name, runs in files.items():
            known = [(r["machines"], r["kinds"][kind]["calls_each"]) for r in runs if kind in r["kinds"]]
            axis.plot([k[0] for k in known], [k[1] for k in known], marker="o", markersize=3, label=name)
        axis.set_title(f"{kind}: calls for a message", loc="left", fontsize=9)
        axis.set_ylim(bottom=0)
    axes[0].legend(loc="upper left", fontsize=7)
    axes[-1].set_xlabel("machines")
    target.write_text(plotting.page(figure, "bench fleet", "Work of a controller", ", ".join(files)), encoding="utf-8")
    return f"{target}: {sum(map(len, files.values()))} runs, {len(kinds)} kinds of messages"
