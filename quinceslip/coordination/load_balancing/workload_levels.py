"""The fair workload level of every shard, from the loads of all shards and their total arrival rate."""

import logging

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.load_balancing import mmm_queue, queueing_model
from quinceslip.storage.records import RecordKind

log = logging.getLogger(__name__)

#: name of the level solver in stall records
LEVELS_PART_NAME = "levels"


class WorkloadLevelSolver:
    """Solves the queueing model, except for a while after this controller stalled while doing so."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.suspended = False

    def solve(self, stations: dict[int, mmm_queue.Station]) -> dict[int, int] | None:
        """Return the level of each shard; None if there is nothing to solve yet."""
        # Before the first listing it is unknown whether solving is suspended.
        if not stations or not self.ctx.cache.synced:
            return None
        self._update_suspended()
        if self.suspended:
            # Solving the same records again might stall again, so each level is m for now, as without a solution.
            return {shard: station.slots for shard, station in stations.items()}
        self.ctx.active_part = LEVELS_PART_NAME
        arrival_rate = self._total_arrival_rate()
        shards = sorted(stations)
        fair_levels = queueing_model.fair_levels([stations[shard] for shard in shards], arrival_rate)
        levels = dict(zip(shards, fair_levels, strict=True))
        log.debug("fair workload levels solved arrivals_per_s=%.2f levels=%s", arrival_rate, levels)
        return levels

    def _update_suspended(self) -> None:
        suspended = self.ctx.is_suspended(LEVELS_PART_NAME)
        if suspended and not self.suspended:
            log.info("fair workload levels suspended after a stall; each level is m for now")
        elif self.suspended and not suspended:
            log.info("fair workload levels resumed after the pause that followed a stall")
        self.suspended = suspended

    def _total_arrival_rate(self) -> float:
        """Return the tasks per second that arrive at all controllers, by the plausible load records."""
        load_records = self.ctx.cache.by_kind[RecordKind.LOAD].values()
        rates: list[float] = [r.arrival_rate for r in load_records if mmm_queue.is_plausible_rate(r.arrival_rate)]
        return sum(rates)
