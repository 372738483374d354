"""The ORT strategy of "Performance-aware Load Balancing for Multiclusters" (He et al.).

Each shard is an M/M/m queue (eqs. 1 to 5). Minimising the mean response time (eq. 7) asks for
shares at which the derivative of share times response time is the same for every shard (eq. 9);
Algorithm 1 finds them by bisection. The level of a shard is the mean length of its queue at that
share, rounded up (eq. 10).
"""

import math
from dataclasses import dataclass

#: beyond this many times one, the inverse of a probability is as good as infinite
NOBODY_WAITS = 1e30
#: bisections end where the bounds differ by less than this part
CLOSE = 1e-9


@dataclass(frozen=True, slots=True)
class Station:
    """One shard as the model sees it: m task slots, each serving `rate` tasks a second."""

    slots: int
    rate: float

    @property
    def capacity(self) -> float:
        return self.slots * self.rate


def wait_probability(slots: int, offered: float) -> float:
    """Erlang C from Erlang B as the inverse of sum(m (m-1) ... (m-j+1) / a^j); no factorials.

    Its terms fall from the m - a th on, or make the sum so large that nobody waits: a part of the
    thousands of slots that a large shard has is looked at, where the usual recurrence takes each of them.
    """
    if offered <= 0:
        return 0.0
    if offered >= slots:
        return 1.0
    total = term = 1.0
    for k in range(slots, 0, -1):
        term *= k / offered
        total += term
        if total > NOBODY_WAITS or (k < offered and term * offered < 1e-17 * total * (offered - k)):
            break
    blocked = 1.0 / total
    return slots * blocked / (slots - offered * (1.0 - blocked))


def mean_wait(station: Station, arrivals: float) -> float:
    """W of eq. 2: P_m / (m u - arrivals)."""
    spare = station.capacity - arrivals
    if spare <= 0:
        return math.inf
    return wait_probability(station.slots, arrivals / station.rate) / spare


def marginal_cost(station: Station, arrivals: float) -> float:
    """d(x R(x))/dx at arrival rate x, which is eq. 9.b with x = share times total rate.

    With offered load a = x/u and C the Erlang C probability, x W = C a/(m - a), and the
    derivative of C follows from that of Erlang B: B' = B (m/a - 1 + B).
    """
    if station.slots <= 0 or station.rate <= 0:
        return math.inf
    m, a = station.slots, arrivals / station.rate
    if a <= 0:
        # x W(x) starts like C(m, a) a/(m - a); only for m = 1 is its slope still 0 in value too
        return 1.0 / station.rate
    if a >= m:
        return math.inf
    c = wait_probability(m, a)
    b = c * (m - a) / (m - a * c)
    slope_b = b * (m / a - 1.0 + b)
    below = m - a * (1.0 - b)
    slope_c = m * (slope_b * below - b * (-(1.0 - b) + a * slope_b)) / (below * below)
    queue_slope = slope_c * a / (m - a) + c * m / ((m - a) * (m - a))
    return (1.0 + queue_slope) / station.rate


def shares(stations: list[Station], total: float, steps: int = 60) -> list[float]:
    """The shares of Algorithm 1. `total` must be above 0 and below the summed capacity."""

    def share_at(station: Station, v: float) -> float:
        if station.capacity <= 0 or marginal_cost(station, 0.0) >= v:
            return 0.0
        low, high = 0.0, station.capacity
        for _ in range(steps):
            mid = (low + high) / 2
            if marginal_cost(station, mid) < v:
                low = mid
            else:
                high = mid
            if high - low <= CLOSE * high:
                break
        return (low + high) / 2 / total

    usable = [s for s in stations if s.capacity > 0]
    low = min(1.0 / s.rate for s in usable)
    high = 2 * low
    while sum(share_at(s, high) for s in stations) < 1.0:
        high *= 2
    for _ in range(steps):
        mid = (low + high) / 2
        if sum(share_at(s, mid) for s in stations) < 1.0:
            low = mid
        else:
            high = mid
        if high - low <= CLOSE * high:
            break
    found = [share_at(s, high) for s in stations]
    scale = sum(found)
    return [f / scale for f in found]


def fair_levels(stations: list[Station], total: float) -> list[int]:
    """Fair workload level of each shard; m where the model has no answer."""
    capacity = sum(s.capacity for s in stations)
    if total <= 0 or total >= capacity:
        return [s.slots for s in stations]
    levels = []
    for station, share in zip(stations, shares(stations, total), strict=True):
        arrivals = min(share * total, station.capacity)
        wait = mean_wait(station, arrivals) if station.capacity > 0 else 0.0
        levels.append(math.ceil(arrivals * wait) if math.isfinite(wait) else station.slots)
    return levels


def load(waiting: int, station: Station) -> float:
    """Eq. 11."""
    if station.capacity <= 0:
        return math.inf
    return (waiting + station.slots) / station.capacity


def choose_shard(home: int, stations: dict[int, Station], waiting: dict[int, int],
                 levels: dict[int, int]) -> int:
    """Where a new job goes: home below its level, else the least loaded as the paper says."""
    if home in stations and waiting.get(home, 0) < levels.get(home, 0):
        return home
    below = [s for s in stations if s != home and waiting.get(s, 0) < levels.get(s, 0)]
    candidates = below or list(stations)
    if not candidates:
        return home
    return min(candidates, key=lambda s: (load(waiting.get(s, 0), stations[s]), s != home, s))
