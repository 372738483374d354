"""Cost of a scheduling pass with and without a quota tree, for `quinceslip quota bench`.

Times are wall-clock microseconds on this machine and are comparable within one run only.
"""

import time
import tracemalloc
from dataclasses import dataclass

from quinceslip.quota.amounts import UNLIMITED, Amounts
from quinceslip.quota.harness import ShardHarness
from quinceslip.quota.tree import Level, Tree

LEAVES_PER_GROUP = 100
CPUS_PER_MACHINE = 16
TASKS_PER_LEAF = 4


@dataclass(slots=True)
class PassCost:
    """The cost of two consecutive passes."""

    leaves: int
    machines: int
    #: duration of the pass that fills the fleet
    filling_us: int
    #: duration of the pass that finds the fleet full
    full_us: int
    #: by both passes together
    workers_examined: int
    bytes_per_leaf: float


def measure(leaves: int, machines: int, with_tree: bool) -> PassCost:
    """Measure two passes with one waiting job per leaf: the first fills the fleet, the second finds it full."""
    levels = _levels(leaves, machines)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    harness = ShardHarness(Tree(levels) if with_tree else None, machines, float(CPUS_PER_MACHINE))
    used_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    for leaf in range(leaves):
        harness.submit(f"t{leaf}", TASKS_PER_LEAF, 1.0)
    filling_us = _time_pass(harness)
    full_us = _time_pass(harness)
    return PassCost(leaves, machines, filling_us, full_us, harness.placement.workers_examined, used_bytes / leaves)


def _levels(leaves: int, machines: int) -> list[Level]:
    """Return a root, groups and their teams; no single group or team may fill the fleet."""
    groups = max(1, leaves // LEAVES_PER_GROUP)
    fleet = machines * CPUS_PER_MACHINE * 1000
    root = Level("root", cap=_cpu_cap(fleet))
    group_levels = [Level(f"g{group}", "root", cap=_cpu_cap(fleet // 10)) for group in range(groups)]
    team_cap = _cpu_cap(8000)
    teams = [Level(f"t{leaf}", f"g{leaf % groups}", 1.0 + leaf % 3, team_cap, team=True) for leaf in range(leaves)]
    return [root, *group_levels, *teams]


def _cpu_cap(thousandths: int) -> Amounts:
    return (thousandths, UNLIMITED, UNLIMITED, UNLIMITED)


def _time_pass(harness: ShardHarness) -> int:
    started_ns = time.perf_counter_ns()
    harness.run_pass()
    return (time.perf_counter_ns() - started_ns) // 1000
