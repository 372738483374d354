"""One shard as an M/M/m queue: eqs. 1 to 5 of He et al. (see `queueing_model`), and the marginal cost of eq. 9.

A point between no arrivals and saturation is given by the logarithm of its odds: of both the arrivals and what they
leave of the capacity, the small one keeps its digits, which a queue close to saturation is all about.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

#: beyond this, the inverse of a blocking probability is as good as infinite: nobody waits
MAX_INVERSE_BLOCKING = 1e30
#: terms of the sum whose remainder is less than this part of it are left out
MAX_TRUNCATION_ERROR = 1e-17
#: log-odds of a share so small that it is none, of arrivals and of what they leave alike
MAX_LOG_ODDS = 60.0
#: a task takes a microsecond, the unit of our times, or thirty years; other rates are no measurement
MAX_RATE = 1e6
MIN_RATE = 1e-9
#: beyond the sockets of any controller a thousandfold: not a number of task slots
MAX_SLOTS = 1_000_000


@dataclass(frozen=True, slots=True)
class Station:
    """One shard as the model sees it: m task slots, each serving `rate` (u) tasks a second."""

    slots: int
    rate: float

    @property
    def capacity(self) -> float:
        """Tasks a second that all slots serve, m u."""
        return self.slots * self.rate


#: a shard without machines
EMPTY_STATION = Station(0, 0.0)


class QueueLength(NamedTuple):
    """Mean length of a queue, and its derivative by the offered load."""

    mean: float
    slope: float


def is_plausible_rate(arrivals: float) -> bool:
    """Whether so many tasks a second can come; False of what is no number."""
    return 0.0 <= arrivals <= MAX_RATE


def is_plausible(station: Station) -> bool:
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
        if total > MAX_INVERSE_BLOCKING:
            break
        if k < offered and term * offered < MAX_TRUNCATION_ERROR * total * (offered - k):
            break
    return 1.0 / total


def series_terms(slots: int) -> int:
    """About as many terms as the sum of `blocking` takes: they fall like exp(-j^2 / 2m)."""
    return min(slots, int(9 * math.sqrt(slots))) + 10


def queue_length(slots: int, offered: float, spare: float) -> QueueLength:
    """Mean length of the queue, C a/(m - a), and its derivative by the offered load a.

    `spare` is m - a, given apart since the difference has no digits left close to saturation. All terms are
    positive, so none is lost in a difference here: B' = B ((m - a)/a + B), and C = m B / (m - a + a B).
    """
    b = blocking(slots, offered)
    slope_b = b * (spare / offered + b)
    denominator = spare + offered * b
    c = slots * b / denominator
    slope_c = slots * (slope_b * spare + b * (1.0 - b)) / (denominator * denominator)
    return QueueLength(c * offered / spare, slope_c * offered / spare + c * slots / (spare * spare))


def wait_probability(slots: int, offered: float) -> float:
    """Erlang C, P_m of eq. 5."""
    if offered <= 0:
        return 0.0
    if offered >= slots:
        return 1.0
    spare = slots - offered
    return queue_length(slots, offered, spare).mean * spare / offered


def mean_wait(station: Station, arrivals: float) -> float:
    """W of eq. 2, in seconds: P_m / (m u - arrivals)."""
    spare = station.capacity - arrivals
    if spare <= 0:
        return math.inf
    return wait_probability(station.slots, arrivals / station.rate) / spare


def marginal_cost(station: Station, arrivals: float) -> float:
    """d(x R(x))/dx at arrival rate x, in seconds, which is eq. 9.b with x = share times total rate."""
    if station.slots <= 0 or station.rate <= 0:
        return math.inf
    offered = arrivals / station.rate
    if offered <= 0:
        return 1.0 / station.rate
    if offered >= station.slots:
        return math.inf
    return (1.0 + queue_length(station.slots, offered, station.slots - offered).slope) / station.rate


def taken_part(log_odds: float) -> float:
    """The part of a capacity that arrivals take, from the logarithm of its odds."""
    if log_odds <= -MAX_LOG_ODDS:
        return 0.0
    odds = math.exp(-abs(log_odds))
    return odds / (1.0 + odds) if log_odds < 0 else 1.0 / (1.0 + odds)


def left_part(log_odds: float) -> float:
    """The part of a capacity that arrivals leave; with `taken_part` it sums to 1."""
    if log_odds <= -MAX_LOG_ODDS:
        return 1.0
    odds = math.exp(-abs(log_odds))
    return 1.0 / (1.0 + odds) if log_odds < 0 else odds / (1.0 + odds)


def marginal_cost_at(station: Station, log_odds: float) -> float:
    """The same as `marginal_cost`, at a point that is given by its log-odds."""
    offered = station.slots * taken_part(log_odds)
    if offered <= 0:
        return 1.0 / station.rate
    spare = station.slots * left_part(log_odds)
    return (1.0 + queue_length(station.slots, offered, spare).slope) / station.rate


def mean_queue_length_at(station: Station, log_odds: float) -> float:
    """Mean length of the queue at a point that is given by its log-odds."""
    offered = station.slots * taken_part(log_odds)
    if offered <= 0:
        return 0.0
    return queue_length(station.slots, offered, station.slots * left_part(log_odds)).mean
