"""The ORT strategy of "Performance-aware Load Balancing for Multiclusters" (He et al.).

Each shard is an M/M/m queue (eqs. 1 to 5). Minimising the mean response time (eq. 7) asks for
shares at which the derivative of share times response time is the same for every shard (eq. 9);
Algorithm 1 finds them by bisection. The level of a shard is the mean length of its queue at that
share, rounded up (eq. 10).

A point between nothing and saturation is given by the logarithm of its odds: of both the arrivals and what they
leave of the capacity, the small one keeps its digits, which a queue close to saturation is all about.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

#: beyond this many times one, the inverse of a probability is as good as infinite
NOBODY_WAITS = 1e30
#: bisections end where the bounds differ by less than this part
CLOSE = 1e-8
#: rates added up from the records of many shards are known to this part: closer to capacity, they are at it
ROUNDING = 1e-12
#: log-odds of a share so small that it is none, of arrivals and of what they leave alike
END = 60.0
#: halvings of the multiplier, and of every share in each of them: what is left of a range is below rounding
HALVINGS = 128
NARROWINGS = 64
#: terms of sums that one solution may take (about half a second): what is found by then is used
MAX_SERIES_TERMS = 2_000_000
#: a task takes a microsecond, the unit of our times, or thirty years; other rates are no measurement
MAX_RATE = 1e6
MIN_RATE = 1e-9
#: beyond the sockets of any controller a thousandfold: not a number of task slots
MAX_SLOTS = 1_000_000


@dataclass(frozen=True, slots=True)
class Station:
    """One shard as the model sees it: m task slots, each serving `rate` tasks a second."""

    slots: int
    rate: float

    @property
    def capacity(self) -> float:
        return self.slots * self.rate


#: a shard without machines
EMPTY_STATION = Station(0, 0.0)


def credible_rate(arrivals: float) -> bool:
    """Whether so many tasks a second can come; False of what is no number."""
    return 0.0 <= arrivals <= MAX_RATE


def credible(station: Station) -> bool:
    """Whether a shard's load can have been measured, and it has anything to serve tasks with."""
    return 0 < station.slots <= MAX_SLOTS and MIN_RATE <= station.rate <= MAX_RATE


def blocking(slots: int, offered: float) -> float:
    """Erlang B as the inverse of sum(m (m-1) ... (m-j+1) / a^j); no factorials.

    Its terms fall from the m - a th on, or make the sum so large that nobody waits: a part of the
    thousands of slots that a large shard has is looked at, where the usual recurrence takes each of them.
    """
    total = term = 1.0
    for k in range(slots, 0, -1):
        term *= k / offered
        total += term
        if total > NOBODY_WAITS or (k < offered and term * offered < 1e-17 * total * (offered - k)):
            break
    return 1.0 / total


def _terms(slots: int) -> int:
    """About as many terms as one sum above takes: they fall like exp(-j^2 / 2m)."""
    return min(slots, int(9 * math.sqrt(slots))) + 10


def _queue(slots: int, offered: float, spare: float) -> tuple[float, float]:
    """Mean length of the queue, C a/(m - a), and its derivative by the offered load a.

    `spare` is m - a, given apart since the difference has no digits left close to saturation. All terms are
    positive, so none is lost in a difference here: B' = B ((m - a)/a + B), and C = m B / (m - a + a B).
    """
    b = blocking(slots, offered)
    slope_b = b * (spare / offered + b)
    below = spare + offered * b
    c = slots * b / below
    slope_c = slots * (slope_b * spare + b * (1.0 - b)) / (below * below)
    return c * offered / spare, slope_c * offered / spare + c * slots / (spare * spare)


def wait_probability(slots: int, offered: float) -> float:
    """Erlang C, P_m of eq. 5."""
    if offered <= 0:
        return 0.0
    if offered >= slots:
        return 1.0
    spare = slots - offered
    return _queue(slots, offered, spare)[0] * spare / offered


def mean_wait(station: Station, arrivals: float) -> float:
    """W of eq. 2: P_m / (m u - arrivals)."""
    spare = station.capacity - arrivals
    if spare <= 0:
        return math.inf
    return wait_probability(station.slots, arrivals / station.rate) / spare


def marginal_cost(station: Station, arrivals: float) -> float:
    """d(x R(x))/dx at arrival rate x, which is eq. 9.b with x = share times total rate."""
    if station.slots <= 0 or station.rate <= 0:
        return math.inf
    offered = arrivals / station.rate
    if offered <= 0:
        return 1.0 / station.rate
    if offered >= station.slots:
        return math.inf
    return (1.0 + _queue(station.slots, offered, station.slots - offered)[1]) / station.rate


def _parts(odds: float) -> tuple[float, float]:
    """The part of a capacity that arrivals take, and the part that they leave, from the log of their odds."""
    if odds <= -END:
        return 0.0, 1.0
    small = math.exp(-abs(odds))
    small, large = small / (1.0 + small), 1.0 / (1.0 + small)
    return (small, large) if odds < 0 else (large, small)


def _cost(station: Station, odds: float) -> float:
    """The derivative of eq. 9.b at this point, in seconds."""
    taken, left = _parts(odds)
    if taken <= 0:
        return 1.0 / station.rate
    return (1.0 + _queue(station.slots, station.slots * taken, station.slots * left)[1]) / station.rate


class _Search:
    """Algorithm 1 with bounds: of the multiplier v, and of the point of every shard at that v.

    The points for a v between two others lie between theirs, and each is narrowed only as far as tells on which
    side of the total their sum lies. What is left between the bounds is divided, so the shares sum to 1 wherever
    the search ends, and no shard is over its capacity.
    """

    def __init__(self, stations: Sequence[Station], total: float) -> None:
        self.stations = stations
        capacity = sum(s.capacity for s in stations)
        # Of arrivals and what they leave, the smaller is summed: there the digits are that matter.
        self.left = total > capacity / 2
        self.total = capacity - total if self.left else total
        alike = math.log(total) - math.log(capacity - total)
        costs = [_cost(s, alike) for s in stations]
        # With all shards used alike, v lies between the least and the largest of their costs.
        self.low_v, self.high_v = min(costs), max(costs)
        self.low, self.high = [-END] * len(stations), [END] * len(stations)
        self.evaluations = self.terms = 0

    def run(self) -> list[float]:
        """Log-odds of each shard."""
        for _ in range(HALVINGS):
            v = math.sqrt(self.low_v) * math.sqrt(self.high_v)
            if (
                not self.low_v < v < self.high_v
                or self.terms >= MAX_SERIES_TERMS
                or (max(b - a for a, b in zip(self.low, self.high, strict=True)) <= CLOSE)
            ):
                break
            low, high = self.low.copy(), self.high.copy()
            for _ in range(NARROWINGS):
                if self._reached(low) or not self._reached(high) or not self._narrow(low, high, v):
                    break
            if self._reached([(a + b) / 2 for a, b in zip(low, high, strict=True)]):
                self.high_v, self.high = v, high
            else:
                self.low_v, self.low = v, low
        # Where costs hardly differ, v is known and the points are not: all between those of the two bounds do.
        lows, highs = (self.low.copy(), self.high.copy()), (self.low.copy(), self.high.copy())
        for _ in range(NARROWINGS):
            if not (self._narrow(*lows, self.low_v) | self._narrow(*highs, self.high_v, True)):
                break
        return self._divided(lows[0], highs[1])

    def _narrow(self, low: list[float], high: list[float], v: float, most: bool = False) -> bool:
        """Halve what is between the bounds of every shard at this v; False where nothing is left to halve.

        The cost of a large shard that is used little is the same over a range: its least point, or its most.
        """
        narrowed = False
        for i, station in enumerate(self.stations):
            if high[i] - low[i] <= CLOSE / 4 or self.terms >= MAX_SERIES_TERMS:
                continue
            narrowed = True
            if 1.0 / station.rate > v or (not most and 1.0 / station.rate == v):
                high[i] = low[i]  # not even its first task is worth so much
                continue
            middle = (low[i] + high[i]) / 2
            self.evaluations += 1
            self.terms += _terms(station.slots)
            cost = _cost(station, middle)
            if cost < v or (most and cost == v):
                low[i] = middle
            else:
                high[i] = middle
        return narrowed

    def _reached(self, points: list[float]) -> bool:
        """Whether arrivals at these points are the total or more."""
        found = math.fsum(s.capacity * _parts(z)[int(self.left)] for s, z in zip(self.stations, points, strict=True))
        return found <= self.total if self.left else found >= self.total

    def _divided(self, low: list[float], high: list[float]) -> list[float]:
        """The point between these bounds, equally far for all shards, at which the total is reached."""
        least, most = 0.0, 1.0
        for _ in range(NARROWINGS):
            middle = (least + most) / 2
            if self._reached([a + middle * (b - a) for a, b in zip(low, high, strict=True)]):
                most = middle
            else:
                least = middle
        return [a + most * (b - a) for a, b in zip(low, high, strict=True)]


def _solve(stations: Sequence[Station], total: float) -> list[float] | None:
    """Log-odds of each shard, those of no share where a record is not credible.

    None where the rate is nothing, or all that the credible ones can serve.
    """
    usable = [s for s in stations if credible(s)]
    capacity = math.fsum(s.capacity for s in usable)
    # Rates are sums of quotients: what differs by their rounding is the same (docs/incidents/endless-levels.md).
    if not capacity * ROUNDING < total < capacity * (1.0 - ROUNDING):
        return None
    found = iter(_Search(usable, total).run())
    return [next(found) if credible(s) else -END for s in stations]


def shares(stations: Sequence[Station], total: float) -> list[float]:
    """The shares of Algorithm 1, 0 where a record is not credible.

    Raises ValueError unless `total`, in tasks a second, is above 0 and below the summed capacity.
    """
    found = _solve(stations, total)
    if found is None:
        raise ValueError(f"no shares of {total} tasks a second among {len(stations)} shards")
    return [s.capacity * _parts(z)[0] / total if credible(s) else 0.0 for s, z in zip(stations, found, strict=True)]


def fair_levels(stations: Sequence[Station], total: float) -> list[int]:
    """Fair workload level of each shard; m where the model has no answer, 0 where a record is not credible."""
    found = _solve(stations, total)
    if found is None:
        return [s.slots if credible(s) else 0 for s in stations]
    return [_level(s, z) for s, z in zip(stations, found, strict=True)]


def _level(station: Station, odds: float) -> int:
    """Eq. 10: rate times share times mean wait, which is the mean length of the queue, rounded up."""
    taken, left = _parts(odds)
    if taken <= 0:
        return 0
    # What the search leaves open must not make a whole number one more.
    return math.ceil(_queue(station.slots, station.slots * taken, station.slots * left)[0] * (1.0 - 10 * CLOSE))


def load(waiting: int, station: Station) -> float:
    """Eq. 11."""
    if station.capacity <= 0:
        return math.inf
    return (waiting + station.slots) / station.capacity


def choose_shard(home: int, stations: dict[int, Station], waiting: dict[int, int], levels: dict[int, int]) -> int:
    """Where a new job goes: home below its level, else the least loaded as the paper says."""
    if home in stations and waiting.get(home, 0) < levels.get(home, 0):
        return home
    below = [s for s in stations if s != home and waiting.get(s, 0) < levels.get(s, 0)]
    candidates = below or list(stations)
    if not candidates:
        return home
    return min(candidates, key=lambda s: (load(waiting.get(s, 0), stations[s]), s != home, s))
