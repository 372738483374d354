"""The ORT strategy of "Performance-aware Load Balancing for Multiclusters" (He et al.).

Each shard is an M/M/m queue (eqs. 1 to 5, `mmm_queue`). Minimising the mean response time (eq. 7) requires
shares at which the derivative of share times response time is the same for every shard (eq. 9);
Algorithm 1 finds them by bisection (`share_search`). The level of a shard is the mean length of its queue at that
share, rounded up (eq. 10).
"""

import math
from collections.abc import Sequence

from quinceslip.coordination.load_balancing.mmm_queue import (
    MAX_LOG_ODDS,
    Station,
    is_plausible,
    mean_queue_length_at,
    utilization,
)
from quinceslip.coordination.load_balancing.share_search import (
    TOLERANCE,
    ShareSearch,
)

#: relative precision of rates summed over many records; a total this close to the capacity counts as at capacity
ROUNDING = 1e-12


def shares(stations: Sequence[Station], total: float) -> list[float]:
    """Return the shares of Algorithm 1; 0 where a record is not plausible.

    Raises ValueError unless `total`, in tasks per second, is above 0 and below the summed capacity.
    """
    points = _solve(stations, total)
    if points is None:
        raise ValueError(f"no shares of {total} tasks per second among {len(stations)} shards")
    return [
        s.capacity * utilization(z) / total if is_plausible(s) else 0.0 for s, z in zip(stations, points, strict=True)
    ]


def fair_levels(stations: Sequence[Station], total: float) -> list[int]:
    """Return the fair workload level of each shard; m if the model has no solution, 0 for implausible records."""
    points = _solve(stations, total)
    if points is None:
        return [s.slots if is_plausible(s) else 0 for s in stations]
    return [_fair_level(s, z) for s, z in zip(stations, points, strict=True)]


def load(waiting: int, station: Station) -> float:
    """The load of a shard with this many waiting tasks, in seconds (eq. 11)."""
    if station.capacity <= 0:
        return math.inf
    return (waiting + station.slots) / station.capacity


def choose_shard(home: int, stations: dict[int, Station], waiting: dict[int, int], levels: dict[int, int]) -> int:
    """Choose the shard of a new job: home below its level, else the least loaded, by the rule of the paper."""

    def below_level(shard: int) -> bool:
        return waiting.get(shard, 0) < levels.get(shard, 0)

    if home in stations and below_level(home):
        return home
    others_below_level = [shard for shard in stations if shard != home and below_level(shard)]
    candidates = others_below_level or list(stations)
    if not candidates:
        return home
    return min(candidates, key=lambda shard: (load(waiting.get(shard, 0), stations[shard]), shard != home, shard))


def _solve(stations: Sequence[Station], total: float) -> list[float] | None:
    """Return the log-odds of each shard's utilization; those of utilization 0 where a record is not plausible.

    None if the total is zero, or reaches what the plausible shards can serve.
    """
    usable = [s for s in stations if is_plausible(s)]
    capacity = math.fsum(s.capacity for s in usable)
    # Rates are sums of quotients: values within their rounding are equal (docs/incidents/endless-levels.md).
    if not capacity * ROUNDING < total < capacity * (1.0 - ROUNDING):
        return None
    points = iter(ShareSearch(usable, total).run())
    return [next(points) if is_plausible(s) else -MAX_LOG_ODDS for s in stations]


def _fair_level(station: Station, log_odds: float) -> int:
    """Eq. 10: rate times share times mean wait, which is the mean length of the queue, rounded up."""
    # The tolerance of the search must not round a whole number up to the next.
    return math.ceil(mean_queue_length_at(station, log_odds) * (1.0 - 10 * TOLERANCE))
