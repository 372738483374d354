"""The figures of `quinceslip bench fleet`, as one JSON object."""

from typing import Any

from quinceslip.bench.fleet.costs import Cost
from quinceslip.bench.fleet.simulation import Simulation

US_PER_S = 1e6


def measure(machines: int, duration_s: float, seed: int) -> dict[str, Any]:
    """Run twice with the same seed: once timed, once with function calls counted."""
    timed = _run(machines, duration_s, seed, count_calls=False)
    counted = _run(machines, duration_s, seed, count_calls=True)
    timed_costs, counted_costs = timed.shell.measured.costs, counted.shell.measured.costs
    return {
        "machines": machines,
        "simulated_s": duration_s,
        "seed": seed,
        "cpu_s": round(sum(cost.cpu_us for cost in timed_costs.values()) / US_PER_S, 2),
        "calls": sum(cost.calls for cost in counted_costs.values()),
        "jobs": timed.users.submitted,
        "launched": timed.machines.launched,
        "ended": timed.machines.ended,
        "writes": timed.store.writes,
        "looked": sum(shard.placement.workers_examined for shard in timed.controller.shards.values()),
        "kinds": {kind.value: _figures_of_kind(timed_costs[kind], counted_costs[kind]) for kind in sorted(timed_costs)},
    }


def _run(machines: int, duration_s: float, seed: int, count_calls: bool) -> Simulation:
    simulation = Simulation(machines, seed, count_calls)
    simulation.run(duration_s)
    return simulation


def _figures_of_kind(timed: Cost, counted: Cost) -> dict[str, float]:
    return {
        "messages": timed.messages,
        "cpu_us_each": round(timed.cpu_us / timed.messages, 1),
        "calls_each": round(counted.calls / max(counted.messages, 1), 1),
        "calls": counted.calls,
    }
