"""The ORT strategy of "Performance-aware Load Balancing for Multiclusters" (He et al.).

Each shard is an M/M/m queue (eqs. 1 to 5, `mmm_queue`). Minimising the mean response time (eq. 7) asks for
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
    taken_part,
)
from quinceslip.coordination.load_balancing.share_search import (
    TOLERANCE,
    ShareSearch,
)

#: rates added up from the records of many shards are known to this part: closer to capacity, they are at it
ROUNDING = 1e-12


def shares(stations: Sequence[Station], total: float) -> list[float]:
    """The shares of Algorithm 1, 0 where a record is not credible.

    Raises ValueError unless `total`, in tasks a second, is above 0 and below the summed capacity.
    """
    points = _solve(stations, total)
    if points is None:
        raise ValueError(f"no shares of {total} tasks a second among {len(stations)} shards")
    return [
        s.capacity * taken_part(z) / total if is_plausible(s) else 0.0 for s, z in zip(stations, points, strict=True)
    ]


def fair_levels(stations: Sequence[Station], total: float) -> list[int]:
    """Fair workload level of each shard; m where the model has no answer, 0 where a record is not credible."""
    points = _solve(stations, total)
    if points is None:
        return [s.slots if is_plausible(s) else 0 for s in stations]
    return [_fair_level(s, z) for s, z in zip(stations, points, strict=True)]


def load(waiting: int, station: Station) -> float:
    """The load of a shard with so many waiting tasks, in seconds (eq. 11)."""
    if station.capacity <= 0:
        return math.inf
    return (waiting + station.slots) / station.capacity


def choose_shard(home: int, stations: dict[int, Station], waiting: dict[int, int], levels: dict[int, int]) -> int:
    """Where a new job goes: home below its level, else the least loaded as the paper says."""

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
    """Log-odds of each shard, those of no share where a record is not credible.

    None where the rate is nothing, or all that the credible ones can serve.
    """
    usable = [s for s in stations if is_plausible(s)]
    capacity = math.fsum(s.capacity for s in usable)
    # Rates are sums of quotients: what differs by their rounding is the same (docs/incidents/endless-levels.md).
    if not capacity * ROUNDING < total < capacity * (1.0 - ROUNDING):
        return None
    points = iter(ShareSearch(usable, total).run())
    return [next(points) if is_plausible(s) else -MAX_LOG_ODDS for s in stations]


def _fair_level(station: Station, log_odds: float) -> int:
    """Eq. 10: rate times share times mean wait, which is the mean length of the queue, rounded up."""
    # What the search leaves open must not make a whole number one more.
    return math.ceil(mean_queue_length_at(station, log_odds) * (1.0 - 10 * TOLERANCE))
