"""How often many controllers ask the cloud for capacity that it lacks, and how soon they find what it has again.

The figures of `quinceslip bench supply`, and a page of them; `capacity_simulation` plays the runs.
"""

import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from quinceslip import plotting
from quinceslip.bench.capacity_simulation import CapacitySimulation
from quinceslip.coordination.actor.timing import SECOND

Run = dict[str, Any]

MINUTE_US = 60 * SECOND
#: quantiles in steps of 5 of 100, and where among them the median and the 95th of 100 stand
QUANTILES = 20
MEDIAN, P95 = 9, 18


def measure(controllers: int, sharing: bool, kinds: int, seconds: float, seed: int, rps: float) -> Run:
    """Refused requests per minute for one pool that is short, and seconds from a recovery to the first grant.

    `kinds` is the number of pools, `rps` the calls per second that the cloud takes.
    """
    simulation = CapacitySimulation(controllers, sharing, kinds, seed, rps)
    simulation.run(seconds)
    pools = simulation.pools
    return {
        "controllers": controllers,
        "told": sharing,
        "kinds": kinds,
        "seconds": seconds,
        "vain_a_minute": round(pools.refused_requests / max(pools.short_us / MINUTE_US, 1e-9), 2),
        "found_s": _distribution(pools.recoveries_found_s),
        "bytes_a_second": round(simulation.bytes_sent / controllers / seconds, 1),
    }


def _distribution(values: list[float]) -> dict[str, float]:
    marks = statistics.quantiles(values, n=QUANTILES) if len(values) > 1 else [0.0] * (QUANTILES - 1)
    return {
        "median": round(marks[MEDIAN], 1),
        "p95": round(marks[P95], 1),
        "most": round(max(values, default=0), 1),
    }


def write_page(runs: Sequence[Run], target: Path) -> str:
    """Draw both figures over the number of controllers, with and without sharing; a line that says what was written."""
    figure, axes = plotting.stacked_plots(2, 8)
    for sharing, name in ((True, "told"), (False, "each by itself")):
        _draw_runs(axes, name, [run for run in runs if run["told"] == sharing])
    axes[0].set_title("requests in vain a minute, for one kind that is short", loc="left", fontsize=9)
    axes[1].set_title("seconds until room that comes back is found", loc="left", fontsize=9)
    for axis in axes:
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=7)
    axes[-1].set_xlabel("controllers")
    target.write_text(plotting.page(figure, "bench supply", "Room of the cloud", "virtual time"), encoding="utf-8")
    return f"{target}: {len(runs)} runs"


def _draw_runs(axes: Any, name: str, runs: Sequence[Run]) -> None:
    counts = [run["controllers"] for run in runs]
    refused, found = axes
    refused.plot(counts, [run["vain_a_minute"] for run in runs], marker="o", markersize=3, label=name)
    for quantile, text, marker in (("median", "median", "o"), ("p95", "95 of 100", "x")):
        values = [run["found_s"][quantile] for run in runs]
        found.plot(counts, values, marker=marker, markersize=3, label=f"{name}, {text}")
