"""How often controllers request capacity that the cloud lacks, and how soon they notice that it has recovered.

Computes the figures of `quinceslip bench supply` and draws their page; `capacity_simulation` has the simulation.
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
#: number of quantile groups (steps of 5 %), and the indices of the median and the 95th percentile
QUANTILES = 20
MEDIAN_INDEX, P95_INDEX = 9, 18


def measure(controllers: int, sharing: bool, kinds: int, seconds: float, seed: int, rps: float) -> Run:
    """Measure refused requests per minute and exhausted pool, and seconds from a recovery to the first grant.

    `kinds` is the number of pools, `rps` the cloud's limit on calls per second.
    """
    simulation = CapacitySimulation(controllers, sharing, kinds, seed, rps)
    simulation.run(seconds)
    pools = simulation.pools
    return {
        "controllers": controllers,
        "told": sharing,
        "kinds": kinds,
        "seconds": seconds,
        "vain_a_minute": round(pools.refused_requests / max(pools.exhausted_us / MINUTE_US, 1e-9), 2),
        "found_s": _distribution(pools.recovery_delays_s),
        "bytes_a_second": round(simulation.bytes_sent / controllers / seconds, 1),
    }


def _distribution(values: list[float]) -> dict[str, float]:
    cut_points = statistics.quantiles(values, n=QUANTILES) if len(values) > 1 else [0.0] * (QUANTILES - 1)
    return {
        "median": round(cut_points[MEDIAN_INDEX], 1),
        "p95": round(cut_points[P95_INDEX], 1),
        "most": round(max(values, default=0), 1),
    }


def write_page(runs: Sequence[Run], target: Path) -> str:
    """Plot both figures over the number of controllers, with and without sharing; returns a summary line."""
    figure, axes = plotting.stacked_plots(2, 8)
    for sharing, name in ((True, "shared"), (False, "not shared")):
        _draw_runs(axes, name, [run for run in runs if run["told"] == sharing])
    axes[0].set_title("refused requests per minute and exhausted pool", loc="left", fontsize=9)
    axes[1].set_title("seconds until recovered capacity is found", loc="left", fontsize=9)
    for axis in axes:
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=7)
    axes[-1].set_xlabel("controllers")
    target.write_text(plotting.page(figure, "bench supply", "Cloud capacity", "virtual time"), encoding="utf-8")
    return f"{target}: {len(runs)} runs"


def _draw_runs(axes: Any, name: str, runs: Sequence[Run]) -> None:
    counts = [run["controllers"] for run in runs]
    refused, found = axes
    refused.plot(counts, [run["vain_a_minute"] for run in runs], marker="o", markersize=3, label=name)
    for quantile, quantile_label, marker in (("median", "median", "o"), ("p95", "95th percentile", "x")):
        values = [run["found_s"][quantile] for run in runs]
        found.plot(counts, values, marker=marker, markersize=3, label=f"{name}, {quantile_label}")
