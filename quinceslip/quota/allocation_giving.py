"""Gives other shards what one shard holds and does not use, as their want records ask.

Where what they lack is in use as borrowed usage here, that is preempted first.
"""

from dataclasses import dataclass

from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.quota.allocation import Allocation
from quinceslip.quota.allocation_writer import MoveBatch
from quinceslip.quota.allocations import LevelAmount
from quinceslip.quota.amounts import ZERO, Amounts, add, amounts_of, elementwise_min, positive_part, subtract
from quinceslip.quota.preemption import RoomRequest
from quinceslip.quota.quota_context import QuotaContext
from quinceslip.quota.quota_records import WANT, AmountKind, PublishedDemand, WantRecord
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.shortfalls import usage_and_demand
from quinceslip.quota.unmet_demand import UnmetDemand

#: want records are answered no more often than this
GIVE_INTERVAL_US = SECOND // 2
#: for so long each holder in turn is the one that preempts for another shard
PREEMPTION_TURN_US = 2 * GIVE_INTERVAL_US
#: beyond what is asked for, this part of what is idle is given at once
GIVE_AHEAD_DIVISOR = 2


class AllocationGiver:
    """Answers the want records of other shards for the shards that one controller leads."""

    def __init__(self, quota: QuotaContext) -> None:
        self.quota = quota
        #: by shard with a want record: when this controller first saw it
        self.wanted_since_us: dict[int, int] = {}

    def want_record_changed(self, shard: int) -> bool:
        """The cache has another want record of a shard, or none any more; whether there is one."""
        if str(shard) in self.quota.ctx.cache.by_kind[WANT]:
            self.wanted_since_us.setdefault(shard, self.quota.ctx.now_us)
            return True
        self.wanted_since_us.pop(shard, None)
        return False

    def give_to_others(self, shard: int, shard_quota: ShardQuota) -> None:
        """Give other shards what this one holds and does not use, earliest demands first."""
        want_records: dict[int, WantRecord] = {
            int(name): record for name, record in self.quota.ctx.cache.by_kind[WANT].items() if int(name) != shard
        }
        if not want_records:
            return
        fencing = self.quota.election.fencing_condition(shard)
        batch = self.quota.writer.new_batch()
        _ShardGiver(self.quota, shard, shard_quota, fencing, batch, self.wanted_since_us).give(want_records)
        self.quota.writer.send(batch, Urgency.LAUNCH)


@dataclass(slots=True)
class _ShardGiver:
    """What one shard gives in one transaction."""

    quota: QuotaContext
    shard: int
    shard_quota: ShardQuota
    fencing: dict[str, int]
    batch: MoveBatch
    wanted_since_us: dict[int, int]

    def give(self, want_records: dict[int, WantRecord]) -> None:
        """First for unmet demands, in their order over all shards; then guarantees."""
        demands = [(wanted, asker) for asker, record in want_records.items() for wanted in record.demands]
        for wanted, asker in sorted(demands, key=lambda entry: entry[0].order):
            self._give_for_demand(wanted, asker)
        for asker, record in want_records.items():
            for key, lacking in record.guarantees.items():
                place = self.quota.allocations.place(key)
                if place is not None and not self.batch.is_full:
                    self._give_amount(asker, place, amounts_of(lacking), None)

    def _give_for_demand(self, wanted: PublishedDemand, asker: int) -> None:
        still_lacking: dict[int, Amounts] = {}
        for key, amounts in wanted.shortfall.items():
            place = self.quota.allocations.place(key)
            if place is None or self.batch.is_full:
                continue
            lacking = self._give_amount(asker, place, amounts_of(amounts), wanted)
            if place.kind == AmountKind.CAP and any(lacking):
                still_lacking[place.level] = elementwise_min(lacking, wanted.unit)
        if not still_lacking or wanted.order.lacks_machines:
            return
        if self._is_our_turn(asker, next(iter(still_lacking))):
            self._preempt_for(wanted, still_lacking)

    def _give_amount(self, asker: int, place: LevelAmount, lacking: Amounts, wanted: PublishedDemand | None) -> Amounts:
        """Give what is idle of one allocation; what the asker still lacks of it."""
        allocation, used = self._usage_to_keep(place, wanted)
        spare = subtract(allocation.held(self.shard), used)
        # More than is asked for, where more is idle: so a burst costs few writes.
        pairs = zip(lacking, spare, strict=True)
        amounts = [max(asked, idle // GIVE_AHEAD_DIVISOR) if asked else 0 for asked, idle in pairs]
        move = allocation.give_unused(self.shard, asker, amounts_of(amounts), used, self.fencing)
        if move is None:
            return lacking
        self.batch.add(allocation, move)
        given = move.outgoing[self.shard]
        self.shard_quota.release(wanted.order.job_id if wanted is not None else "", given)
        return positive_part(subtract(lacking, given))

    def _usage_to_keep(self, place: LevelAmount, wanted: PublishedDemand | None) -> tuple[Allocation, Amounts]:
        """An allocation, and how much of it this shard keeps for its own tasks."""
        level = place.level
        if place.kind == AmountKind.GUARANTEE:
            return self.quota.allocations.for_guarantee(level), usage_and_demand(self.shard_quota, level)
        used = self.shard_quota.usage.get(level, ZERO)
        if wanted is not None:
            # A demand of ours that comes first keeps what it needs; of two, only one can wait.
            for demand in self.shard_quota.unmet_demands.values():
                if level in self.quota.tree.path(demand.team) and self._comes_first(demand, wanted):
                    used = add(used, demand.need)
        return self.quota.allocations.for_cap(level), used

    def _comes_first(self, demand: UnmetDemand, wanted: PublishedDemand) -> bool:
        """Whether our demand comes before another's, the same in every shard: a guarantee, then their order."""
        diverging_levels = self.quota.tree.diverging_levels(demand.team, wanted.team)
        if diverging_levels is not None:
            our_level, their_level = diverging_levels
            ours = our_level in self.shard_quota.guarantees_covering(demand.spec, demand.count)
            theirs = self.quota.tree.levels[their_level].name in wanted.covering_guarantees
            if ours != theirs:
                return ours
        return demand.order < wanted.order

    def _is_our_turn(self, asker: int, level: int) -> bool:
        """Holders preempt for another shard one after the other, the largest first: all at once is too much."""
        record = self.quota.allocations.for_cap(level).record
        parts = record.parts if record is not None else {}
        holders = [int(shard) for shard in parts if int(shard) != asker]
        holders.sort(key=lambda shard: (-max(parts[str(shard)]), shard))
        if self.shard not in holders:
            return False
        now_us = self.quota.ctx.now_us
        turn = (now_us - self.wanted_since_us.get(asker, now_us)) // PREEMPTION_TURN_US
        return holders[turn % len(holders)] == self.shard

    def _preempt_for(self, wanted: PublishedDemand, lacking: dict[int, Amounts]) -> None:
        """Preempt borrowed usage of this shard for the work of another one."""
        job = self.quota.ctx.cache.job(wanted.order.job_id)
        if job is None or job.spec is None:
            return  # it is over, or not known here yet
        levels = self.quota.tree.by_name
        covering = {levels[name].index for name in wanted.covering_guarantees if name in levels}
        shortfall: dict[int, Amounts] = {}
        for level, amounts in lacking.items():
            beyond_stopping = positive_part(subtract(amounts, self.shard_quota.stopping_usage.get(level, ZERO)))
            if any(beyond_stopping):
                shortfall[level] = beyond_stopping
        if shortfall:
            self.shard_quota.forget_candidates()
            self.shard_quota.make_room(
                RoomRequest(job.spec, 1, covering_guarantees=covering, shortfall=shortfall),
            )
