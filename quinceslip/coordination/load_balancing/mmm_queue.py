"""One shard as an M/M/m queue: eqs. 1 to 5 of He et al. (see `queueing_model`), and the marginal cost of eq. 9.

An operating point between no arrivals and saturation is given by the log-odds of its utilization. This keeps the full
precision of the utilization and of the spare fraction, whichever is small, which matters close to saturation.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

#: above this, the inverse of a blocking probability counts as infinite: no task waits
MAX_INVERSE_BLOCKING = 1e30
#: the sum is truncated once the remaining terms are less than this fraction of it
MAX_TRUNCATION_ERROR = 1e-17
#: log-odds beyond which the utilization, or at the other end the spare fraction, is negligible
MAX_LOG_ODDS = 60.0
#: plausible rates: a task takes between a microsecond, the unit of our times, and thirty years
MAX_TASKS_PER_S = 1e6
MIN_TASKS_PER_S = 1e-9
#: plausible number of task slots: a thousand times the sockets of any controller
MAX_SLOTS = 1_000_000


@dataclass(frozen=True, slots=True)
class Station:
    """A shard in the model: m task slots, each serving `rate` (u) tasks per second."""

    slots: int
    rate: float

    @property
    def capacity(self) -> float:
        """Tasks per second that all slots serve together, m u."""
        return self.slots * self.rate


#: a shard without machines
EMPTY_STATION = Station(0, 0.0)


class QueueLength(NamedTuple):
    """Mean length of a queue, and its derivative with respect to the offered load."""

    mean: float
    slope: float


def is_plausible_rate(arrivals: float) -> bool:
    """Whether this many tasks per second can arrive; False for NaN."""
    return 0.0 <= arrivals <= MAX_TASKS_PER_S


def is_plausible(station: Station) -> bool:
    """Whether a shard's load can have been measured, and the shard has slots to serve tasks."""
    return 0 < station.slots <= MAX_SLOTS and MIN_TASKS_PER_S <= station.rate <= MAX_TASKS_PER_S


def erlang_b(slots: int, offered: float) -> float:
    """Erlang B, the blocking probability, as the inverse of sum(m (m-1) ... (m-j+1) / a^j), without factorials.

    From about term m - a on the terms decrease, or else the sum becomes so large that no task waits. So only a part of
    the thousands of slots of a large shard is evaluated, where the usual recurrence evaluates each of them.
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


def estimated_terms(slots: int) -> int:
    """Estimate how many terms the sum of `erlang_b` needs: they decrease like exp(-j^2 / 2m)."""
    return min(slots, int(9 * math.sqrt(slots))) + 10


def queue_length(slots: int, offered: float, spare: float) -> QueueLength:
    """Mean length of the queue, C a/(m - a), and its derivative with respect to the offered load a.

    `spare` is m - a, passed separately since the difference loses its precision close to saturation. All terms are
    positive, so there is no cancellation here: B' = B ((m - a)/a + B), and C = m B / (m - a + a B).
    """
    b = erlang_b(slots, offered)
    slope_b = b * (spare / offered + b)
    denominator = spare + offered * b
    c = slots * b / denominator
    slope_c = slots * (slope_b * spare + b * (1.0 - b)) / (denominator * denominator)
    return QueueLength(c * offered / spare, slope_c * offered / spare + c * slots / (spare * spare))


def wait_probability(slots: int, offered: float) -> float:
    """Erlang C, the probability of waiting, P_m of eq. 5."""
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
    """d(x R(x))/dx at arrival rate x, in seconds: eq. 9.b with x = share times total rate."""
    if station.slots <= 0 or station.rate <= 0:
        return math.inf
    offered = arrivals / station.rate
    if offered <= 0:
        return 1.0 / station.rate
    if offered >= station.slots:
        return math.inf
    return (1.0 + queue_length(station.slots, offered, station.slots - offered).slope) / station.rate


def utilization(log_odds: float) -> float:
    """Fraction of the capacity that arrivals use, from its log-odds."""
    if log_odds <= -MAX_LOG_ODDS:
        return 0.0
    odds = math.exp(-abs(log_odds))
    return odds / (1.0 + odds) if log_odds < 0 else 1.0 / (1.0 + odds)


def spare_fraction(log_odds: float) -> float:
    """Fraction of the capacity that arrivals leave unused: 1 - `utilization`, without cancellation."""
    if log_odds <= -MAX_LOG_ODDS:
        return 1.0
    odds = math.exp(-abs(log_odds))
    return 1.0 / (1.0 + odds) if log_odds < 0 else odds / (1.0 + odds)


def marginal_cost_at(station: Station, log_odds: float) -> float:
    """The same as `marginal_cost`, at an operating point given by its log-odds."""
    offered = station.slots * utilization(log_odds)
    if offered <= 0:
        return 1.0 / station.rate
    spare = station.slots * spare_fraction(log_odds)
    return (1.0 + queue_length(station.slots, offered, spare).slope) / station.rate


def mean_queue_length_at(station: Station, log_odds: float) -> float:
    """Mean length of the queue, at an operating point given by its log-odds."""
    offered = station.slots * utilization(log_odds)
    if offered <= 0:
        return 0.0
    return queue_length(station.slots, offered, station.slots * spare_fraction(log_odds)).mean
