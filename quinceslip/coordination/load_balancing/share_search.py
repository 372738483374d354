"""Algorithm 1 of He et al. (see `queueing_model`): the shares at which all shards have the same marginal cost."""

import math
from collections.abc import Sequence
from typing import NamedTuple

from quinceslip.coordination.load_balancing.mmm_queue import (
    MAX_LOG_ODDS,
    Station,
    estimated_terms,
    marginal_cost_at,
    spare_fraction,
    utilization,
)

#: bisections end where the bounds differ by no more than this
TOLERANCE = 1e-8
#: bisection steps of the multiplier, and of every share in each of them: a range is below rounding after that
MAX_MULTIPLIER_BISECTIONS = 128
MAX_SHARE_BISECTIONS = 64
#: series terms that one solution may evaluate (about half a second); what is found by then is used
MAX_SERIES_TERMS = 2_000_000


class Bounds(NamedTuple):
    """Lower and upper bounds of every shard's log-odds."""

    low: list[float]
    high: list[float]

    def copied(self) -> "Bounds":
        """Return a copy that can be narrowed independently."""
        return Bounds(self.low.copy(), self.high.copy())

    def max_width(self) -> float:
        """Return the largest distance between the two bounds of a shard."""
        return max(high - low for low, high in zip(self.low, self.high, strict=True))

    def midpoints(self) -> list[float]:
        """Return the points halfway between the bounds."""
        return [(low + high) / 2 for low, high in zip(self.low, self.high, strict=True)]


class ShareSearch:
    """Algorithm 1 with bounds: of the multiplier v, and of the point (log-odds) of every shard at that v.

    The points for a v between two others lie between theirs, and are narrowed only until it is known on which side of
    the total their sum lies. At the end the points are interpolated between their bounds, so that the shares sum to 1
    wherever the search ends, and no shard exceeds its capacity.
    """

    def __init__(self, stations: Sequence[Station], total: float) -> None:
        """`total`, in tasks per second, is above 0 and below the summed capacity of the stations."""
        self.stations = stations
        self.capacities = [s.capacity for s in stations]
        capacity = sum(self.capacities)
        # The smaller of the arrivals and the spare capacity is summed, as it has the significant digits.
        self.sums_spare_capacity = total > capacity / 2
        self.total = capacity - total if self.sums_spare_capacity else total
        equal_log_odds = math.log(total) - math.log(capacity - total)
        costs = [marginal_cost_at(s, equal_log_odds) for s in stations]
        # v lies between the smallest and the largest cost that the shards have at equal utilization.
        self.low_v = min(costs)
        self.high_v = max(costs)
        self.bounds = Bounds([-MAX_LOG_ODDS] * len(stations), [MAX_LOG_ODDS] * len(stations))
        self.evaluations = 0
        self.terms = 0

    def run(self) -> list[float]:
        """Return the log-odds of each shard."""
        for _ in range(MAX_MULTIPLIER_BISECTIONS):
            v = math.sqrt(self.low_v) * math.sqrt(self.high_v)
            if not self.low_v < v < self.high_v or self.terms >= MAX_SERIES_TERMS:
                break
            if self.bounds.max_width() <= TOLERANCE:
                break
            self._bisect_multiplier(v)
        return self._final_points()

    def _bisect_multiplier(self, v: float) -> None:
        """Make v a bound of the multiplier, and the points at that v bounds of the shards."""
        bounds = self.bounds.copied()
        for _ in range(MAX_SHARE_BISECTIONS):
            if (
                self._reaches_total(bounds.low)
                or not self._reaches_total(bounds.high)
                or not self._bisect_points(bounds, v)
            ):
                break
        if self._reaches_total(bounds.midpoints()):
            self.high_v = v
            self.bounds = Bounds(self.bounds.low, bounds.high)
        else:
            self.low_v = v
            self.bounds = Bounds(bounds.low, self.bounds.high)

    def _final_points(self) -> list[float]:
        """Return points between those at the two bounds of v.

        Where costs hardly differ, v is determined but the points are not: any between those at the two bounds will do.
        """
        at_low_v = self.bounds.copied()
        at_high_v = self.bounds.copied()
        for _ in range(MAX_SHARE_BISECTIONS):
            narrowed_low = self._bisect_points(at_low_v, self.low_v)
            narrowed_high = self._bisect_points(at_high_v, self.high_v, largest=True)
            if not narrowed_low and not narrowed_high:
                break
        return self._interpolate_to_total(Bounds(at_low_v.low, at_high_v.high))

    def _bisect_points(self, bounds: Bounds, v: float, largest: bool = False) -> bool:
        """Halve the range between the bounds of every shard at this v; return False if no range is left to halve.

        The cost of a large shard with little load is constant over a range of points. The search is for the smallest
        of them, or for the `largest`.
        """
        low, high = bounds
        narrowed = False
        for i, station in enumerate(self.stations):
            if high[i] - low[i] <= TOLERANCE / 4 or self.terms >= MAX_SERIES_TERMS:
                continue
            narrowed = True
            idle_cost = 1.0 / station.rate
            if idle_cost > v or (not largest and idle_cost == v):
                high[i] = low[i]  # even the first task costs too much
                continue
            midpoint = (low[i] + high[i]) / 2
            self.evaluations += 1
            self.terms += estimated_terms(station.slots)
            cost = marginal_cost_at(station, midpoint)
            if cost < v or (largest and cost == v):
                low[i] = midpoint
            else:
                high[i] = midpoint
        return narrowed

    def _reaches_total(self, points: list[float]) -> bool:
        """Whether the arrivals at these points sum to the total or more."""
        if self.sums_spare_capacity:
            return math.fsum(c * spare_fraction(z) for c, z in zip(self.capacities, points, strict=True)) <= self.total
        return math.fsum(c * utilization(z) for c, z in zip(self.capacities, points, strict=True)) >= self.total

    def _interpolate_to_total(self, bounds: Bounds) -> list[float]:
        """Return points at the same fraction between the bounds of all shards, such that the total is reached."""
        low, high = 0.0, 1.0
        for _ in range(MAX_SHARE_BISECTIONS):
            midpoint = (low + high) / 2
            if self._reaches_total(_interpolate(bounds, midpoint)):
                high = midpoint
            else:
                low = midpoint
        return _interpolate(bounds, high)


def _interpolate(bounds: Bounds, fraction: float) -> list[float]:
    """Return the points at this fraction of the way from the low to the high bounds."""
    return [low + fraction * (high - low) for low, high in zip(bounds.low, bounds.high, strict=True)]
