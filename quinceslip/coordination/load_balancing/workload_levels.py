"""The fair workload level of every shard, from the loads of all shards and their summed arrivals."""

import logging

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.load_balancing import mmm_queue, queueing_model

log = logging.getLogger(__name__)

#: name of this part in stall records
PART_NAME = "levels"


class WorkloadLevelSolver:
    """Solves the queueing model, except for a while after this controller stalled in it."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.suspended = False

    def solve(self, stations: dict[int, mmm_queue.Station]) -> dict[int, int] | None:
        """The level of each shard; None where there is nothing to solve yet."""
        # Before the first listing it is not known whether solving is suspended.
        if not stations or not self.ctx.cache.synced:
            return None
        self._update_suspended()
        if self.suspended:
            # The same records would be solved again at once: for a while each level is m, as without an answer.
            return {shard: station.slots for shard, station in stations.items()}
        self.ctx.active_part = PART_NAME
        arrival_rate = self._total_arrival_rate()
        shards = sorted(stations)
        fair_levels = queueing_model.fair_levels([stations[shard] for shard in shards], arrival_rate)
        levels = dict(zip(shards, fair_levels, strict=True))
        log.debug("fair workload levels solved arrivals_per_s=%.2f levels=%s", arrival_rate, levels)
        return levels

    def _update_suspended(self) -> None:
        suspended = self.ctx.is_suspended(PART_NAME)
        if suspended and not self.suspended:
            log.info("stall in the fair workload levels: the levels rest for a while, each is m")
        elif self.suspended and not suspended:
            log.info("end of the pause after a stall: the levels are solved again")
        self.suspended = suspended

    def _total_arrival_rate(self) -> float:
        """Tasks a second that arrive at all controllers, by the load records that are credible."""
        load_records = self.ctx.cache.by_kind["load"].values()
        rates: list[float] = [r.arrivals for r in load_records if mmm_queue.is_plausible_rate(r.arrivals)]
        return sum(rates)
