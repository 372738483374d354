"""Algorithm 1 of He et al. (see `queueing_model`): the shares at which all shards have the same marginal cost."""

import math
from collections.abc import Sequence
from typing import NamedTuple

from quinceslip.coordination.load_balancing.mmm_queue import (
    MAX_LOG_ODDS,
    Station,
    left_part,
    marginal_cost_at,
    series_terms,
    taken_part,
)

#: bisections end where the bounds differ by less than this part
TOLERANCE = 1e-8
#: halvings of the multiplier, and of every share in each of them: what is left of a range is below rounding
MAX_MULTIPLIER_BISECTIONS = 128
MAX_SHARE_BISECTIONS = 64
#: terms of sums that one solution may take (about half a second): what is found by then is used
MAX_SERIES_TERMS = 2_000_000


class Bounds(NamedTuple):
    """Log-odds of every shard between which its point lies."""

    low: list[float]
    high: list[float]

    def copied(self) -> "Bounds":
        """Bounds that can be narrowed on their own."""
        return Bounds(self.low.copy(), self.high.copy())

    def widest(self) -> float:
        """The distance of the two bounds of the shard where it is largest."""
        return max(high - low for low, high in zip(self.low, self.high, strict=True))

    def middle(self) -> list[float]:
        """The points halfway between."""
        return [(low + high) / 2 for low, high in zip(self.low, self.high, strict=True)]


class ShareSearch:
    """Algorithm 1 with bounds: of the multiplier v, and of the point of every shard at that v.

    The points for a v between two others lie between theirs, and each is narrowed only as far as tells on which
    side of the total their sum lies. What is left between the bounds is divided, so the shares sum to 1 wherever
    the search ends, and no shard is over its capacity.
    """

    def __init__(self, stations: Sequence[Station], total: float) -> None:
        """`total`, in tasks a second, is above 0 and below the summed capacity of the stations."""
        self.stations = stations
        self.capacities = [s.capacity for s in stations]
        capacity = sum(self.capacities)
        # Of arrivals and what they leave, the smaller is summed: there the digits are that matter.
        self.sum_what_is_left = total > capacity / 2
        self.total = capacity - total if self.sum_what_is_left else total
        equal_log_odds = math.log(total) - math.log(capacity - total)
        costs = [marginal_cost_at(s, equal_log_odds) for s in stations]
        # With all shards used alike, v lies between the least and the largest of their costs.
        self.low_v = min(costs)
        self.high_v = max(costs)
        self.bounds = Bounds([-MAX_LOG_ODDS] * len(stations), [MAX_LOG_ODDS] * len(stations))
        self.evaluations = 0
        self.terms = 0

    def run(self) -> list[float]:
        """Log-odds of each shard."""
        for _ in range(MAX_MULTIPLIER_BISECTIONS):
            v = math.sqrt(self.low_v) * math.sqrt(self.high_v)
            if not self.low_v < v < self.high_v or self.terms >= MAX_SERIES_TERMS:
                break
            if self.bounds.widest() <= TOLERANCE:
                break
            self._halve(v)
        return self._last_points()

    def _halve(self, v: float) -> None:
        """Take v as the upper or the lower bound of the multiplier, with the points of the shards at that v."""
        bounds = self.bounds.copied()
        for _ in range(MAX_SHARE_BISECTIONS):
            if self._reached(bounds.low) or not self._reached(bounds.high) or not self._narrow(bounds, v):
                break
        if self._reached(bounds.middle()):
            self.high_v = v
            self.bounds = Bounds(self.bounds.low, bounds.high)
        else:
            self.low_v = v
            self.bounds = Bounds(bounds.low, self.bounds.high)

    def _last_points(self) -> list[float]:
        """The points between those at the two bounds of v.

        Where costs hardly differ, v is known and the points are not: all between those of the two bounds do.
        """
        at_low_v = self.bounds.copied()
        at_high_v = self.bounds.copied()
        for _ in range(MAX_SHARE_BISECTIONS):
            narrowed_low = self._narrow(at_low_v, self.low_v)
            narrowed_high = self._narrow(at_high_v, self.high_v, largest=True)
            if not narrowed_low and not narrowed_high:
                break
        return self._divided(Bounds(at_low_v.low, at_high_v.high))

    def _narrow(self, bounds: Bounds, v: float, largest: bool = False) -> bool:
        """Halve what is between the bounds of every shard at this v; False where nothing is left to halve.

        The cost of a large shard that is used little is the same over a range: its least point, or its `largest`.
        """
        low, high = bounds
        narrowed = False
        for i, station in enumerate(self.stations):
            if high[i] - low[i] <= TOLERANCE / 4 or self.terms >= MAX_SERIES_TERMS:
                continue
            narrowed = True
            idle_cost = 1.0 / station.rate
            if idle_cost > v or (not largest and idle_cost == v):
                high[i] = low[i]  # not even its first task is worth so much
                continue
            middle = (low[i] + high[i]) / 2
            self.evaluations += 1
            self.terms += series_terms(station.slots)
            cost = marginal_cost_at(station, middle)
            if cost < v or (largest and cost == v):
                low[i] = middle
            else:
                high[i] = middle
        return narrowed

    def _reached(self, points: list[float]) -> bool:
        """Whether arrivals at these points are the total or more."""
        if self.sum_what_is_left:
            return math.fsum(c * left_part(z) for c, z in zip(self.capacities, points, strict=True)) <= self.total
        return math.fsum(c * taken_part(z) for c, z in zip(self.capacities, points, strict=True)) >= self.total

    def _divided(self, bounds: Bounds) -> list[float]:
        """The point between these bounds, equally far for all shards, at which the total is reached."""
        least, most = 0.0, 1.0
        for _ in range(MAX_SHARE_BISECTIONS):
            middle = (least + most) / 2
            if self._reached(_between(bounds, middle)):
                most = middle
            else:
                least = middle
        return _between(bounds, most)


def _between(bounds: Bounds, part: float) -> list[float]:
    """The points at a part of the way from the low to the high bounds."""
    return [low + part * (high - low) for low, high in zip(bounds.low, bounds.high, strict=True)]
