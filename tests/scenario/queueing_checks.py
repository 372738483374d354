"""Lines that check the queueing model against precomputed values."""

from itertools import combinations_with_replacement, permutations
from typing import Any

import pytest

from quinceslip.coordination.load_balancing.mmm_queue import (
    Station,
    is_plausible,
    marginal_cost,
    mean_wait,
    wait_probability,
)
from quinceslip.coordination.load_balancing.queueing_model import choose_shard, fair_levels, load, shares
from tests.scenario.state import RunnerState
from tests.scenario.tools import time_limit


class QueueingChecks(RunnerState):
    """Lines that check the queueing model against precomputed values."""

    def do_mmm_queue(self, plain: list[str], named: dict[str, Any]) -> None:
        """mmm_queue m u arrivals: P_m and W against precomputed values"""
        station, arrivals = Station(int(plain[0]), float(plain[1])), float(plain[2])
        if "p" in named:
            assert wait_probability(station.slots, arrivals / station.rate) == pytest.approx(named["p"], rel=1e-6)
        if "wait" in named:
            assert mean_wait(station, arrivals) == pytest.approx(named["wait"], rel=1e-6)
        if "slope" in named:
            assert marginal_cost(station, arrivals) == pytest.approx(named["slope"], rel=1e-6)
        step = 1e-6 * station.rate
        if 0 < arrivals < station.capacity - step:

            def cost(x: float) -> float:
                return x * (mean_wait(station, x) + 1 / station.rate)

            numeric = (cost(arrivals + step) - cost(arrivals - step)) / (2 * step)
            assert marginal_cost(station, arrivals) == pytest.approx(numeric, rel=1e-3)

    def do_fair_levels(self, plain: list[str], named: dict[str, Any]) -> None:
        """fair_levels m:u,m:u,... total: shares and levels, within a time limit; numbers may be fractions"""

        def number(text: str) -> float:
            numerator, _, denominator = text.partition("/")
            return float(numerator) / float(denominator or 1)

        stations = [Station(int(a), number(b)) for a, _, b in (p.partition(":") for p in plain[0].split(","))]
        total = number(plain[1])
        with time_limit(5.0):
            self._check_levels(stations, total, named)

    def do_fair_levels_at_capacity(self, plain: list[str], named: dict[str, Any]) -> None:
        """fair_levels_at_capacity MAX: three shards of up to MAX slots each, with as many arrivals a minute as slots"""
        max_slots = int(plain[0])
        with time_limit(20.0):
            for slots in combinations_with_replacement(range(max_slots + 1), 3):
                for order in sorted(set(permutations(slots))):
                    stations = [Station(m, 1 / 60) for m in order]
                    assert fair_levels(stations, sum(order) / 60) == list(order), order

    def _check_levels(self, stations: list[Station], total: float, named: dict[str, Any]) -> None:
        if "shares" in named:
            expected = [float(s) for s in str(named["shares"]).split(",")]
            assert shares(stations, total) == pytest.approx(expected, abs=1e-4)
        if "levels" in named:
            assert fair_levels(stations, total) == [int(x) for x in str(named["levels"]).split(",")]
        if 0 < total < sum(s.capacity for s in stations) * (1 - 1e-9) and all(map(is_plausible, stations)):
            found = shares(stations, total)
            assert sum(found) == pytest.approx(1.0, abs=1e-6)
            slopes = [marginal_cost(s, f * total) for s, f in zip(stations, found, strict=True) if f > 1e-9]
            assert max(slopes) == pytest.approx(min(slopes), rel=2e-2)

    def do_choose_shard(self, plain: list[str], named: dict[str, Any]) -> None:
        """choose_shard HOME m:u:waiting:level,... shard=N: the shard that a new job is assigned to"""
        parts = [p.split(":") for p in plain[1].split(",")]
        stations = {i: Station(int(p[0]), float(p[1])) for i, p in enumerate(parts)}
        waiting = {i: int(p[2]) for i, p in enumerate(parts)}
        levels = {i: int(p[3]) for i, p in enumerate(parts)}
        assert load(waiting[0], stations[0]) == (waiting[0] + stations[0].slots) / stations[0].capacity
        assert choose_shard(int(plain[0]), stations, waiting, levels) == named["shard"]
