"""Gives other shards what a shard holds and does not use, as their want records ask for.

If borrowed usage takes up what they lack, it is preempted first.
"""

from dataclasses import dataclass

from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.protocol import messages as m
from quinceslip.quota.allocation import Allocation
from quinceslip.quota.allocation_writer import MoveBatch
from quinceslip.quota.allocations import LevelAmount
from quinceslip.quota.amounts import ZERO, Amounts, add, amounts_of, elementwise_min, positive_part, subtract
from quinceslip.quota.preemption import RoomRequest
from quinceslip.quota.quota_context import QuotaContext
from quinceslip.quota.quota_records import WANT, AmountKind, PublishedDemand, WantRecord, shard_of_want_record
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.shortfalls import usage_and_demand
from quinceslip.quota.unmet_demand import UnmetDemand

#: minimum interval between answers to want records
GIVE_INTERVAL_US = SECOND // 2
#: how long each holder in turn is the one that preempts for another shard
PREEMPTION_TURN_US = 2 * GIVE_INTERVAL_US
#: a gift is at least the idle amount divided by this, even if less was asked for
GIVE_AHEAD_DIVISOR = 2


class AllocationGiver:
    """Answers the want records of other shards for the shards that one controller leads."""

    def __init__(self, quota: QuotaContext) -> None:
        self.quota = quota
        #: by shard with a want record: when this controller first saw it
        self.wanted_since_us: dict[int, int] = {}

    def want_record_changed(self, shard: int) -> bool:
        """Note that a shard's want record in the cache has changed or was deleted; whether there is one."""
        if str(shard) in self.quota.ctx.cache.by_kind[WANT]:
            self.wanted_since_us.setdefault(shard, self.quota.ctx.now_us)
            return True
        self.wanted_since_us.pop(shard, None)
        return False

    def give_to_others(self, shard: int, shard_quota: ShardQuota) -> None:
        """Give other shards what this one holds and does not use, in the order of their demands."""
        want_records: dict[int, WantRecord] = {}
        for name, record in self.quota.ctx.cache.by_kind[WANT].items():
            requester = shard_of_want_record(name)
            if requester is not None and requester != shard:
                want_records[requester] = record
        if not want_records:
            return
        fencing = self.quota.election.fencing_condition(shard)
        batch = self.quota.writer.new_batch()
        _ShardGiver(self.quota, shard, shard_quota, fencing, batch, self.wanted_since_us).give(want_records)
        self.quota.writer.send(batch, Urgency.LAUNCH)


@dataclass(slots=True)
class _ShardGiver:
    """Gathers what one shard gives away in one transaction."""

    quota: QuotaContext
    shard: int
    shard_quota: ShardQuota
    fencing: dict[str, int]
    batch: MoveBatch
    wanted_since_us: dict[int, int]

    def give(self, want_records: dict[int, WantRecord]) -> None:
        """Give for unmet demands first, in their order over all shards, then for guarantees."""
        demands = [(wanted, requester) for requester, record in want_records.items() for wanted in record.demands]
        for wanted, requester in sorted(demands, key=lambda entry: entry[0].order):
            self._give_for_demand(wanted, requester)
        for requester, record in want_records.items():
            for key, lacking in record.guarantees.items():
                level_amount = self.quota.allocations.level_amount(key)
                if level_amount is not None and not self.batch.is_full:
                    self._give_amount(requester, level_amount, amounts_of(lacking), None)

    def _give_for_demand(self, wanted: PublishedDemand, requester: int) -> None:
        still_lacking: dict[int, Amounts] = {}
        for key, amounts in wanted.shortfall.items():
            level_amount = self.quota.allocations.level_amount(key)
            if level_amount is None or self.batch.is_full:
                continue
            lacking = self._give_amount(requester, level_amount, amounts_of(amounts), wanted)
            if level_amount.kind == AmountKind.CAP and any(lacking):
                still_lacking[level_amount.level] = elementwise_min(lacking, wanted.unit)
        if not still_lacking or wanted.order.lacks_machines:
            return
        if self._is_our_turn(requester, next(iter(still_lacking))):
            self._preempt_for(wanted, still_lacking)

    def _give_amount(
        self, requester: int, level_amount: LevelAmount, lacking: Amounts, wanted: PublishedDemand | None
    ) -> Amounts:
        """Give what is idle of one allocation; returns what the requester still lacks of it."""
        allocation, used = self._usage_to_keep(level_amount, wanted)
        spare = subtract(allocation.held(self.shard), used)
        # Gives more than was asked for if much is idle, so that a burst takes few writes.
        pairs = zip(lacking, spare, strict=True)
        amounts = [max(asked, idle // GIVE_AHEAD_DIVISOR) if asked else 0 for asked, idle in pairs]
        move = allocation.give_unused(self.shard, requester, amounts_of(amounts), used, self.fencing)
        if move is None:
            return lacking
        self.batch.add(allocation, move)
        given = move.outgoing[self.shard]
        self.shard_quota.use_reservation(wanted.order.job_id if wanted is not None else "", given)
        return positive_part(subtract(lacking, given))

    def _usage_to_keep(self, level_amount: LevelAmount, wanted: PublishedDemand | None) -> tuple[Allocation, Amounts]:
        """The allocation of `level_amount`, and how much of it this shard keeps for its own tasks."""
        level = level_amount.level
        if level_amount.kind == AmountKind.GUARANTEE:
            return self.quota.allocations.for_guarantee(level), usage_and_demand(self.shard_quota, level)
        used = self.shard_quota.usage.get(level, ZERO)
        if wanted is not None:
            # A demand of this shard with precedence keeps what it needs. Both sides order the two demands alike, so
            # that only one of them waits for the other.
            for demand in self.shard_quota.unmet_demands.values():
                if level in self.quota.tree.path(demand.team) and self._precedes(demand, wanted):
                    used = add(used, demand.need)
        return self.quota.allocations.for_cap(level), used

    def _precedes(self, demand: UnmetDemand, wanted: PublishedDemand) -> bool:
        """Whether a demand of this shard precedes another shard's; both shards come to the same answer.

        The one that a guarantee covers comes first where the other's does not, then their order decides.
        """
        diverging_levels = self.quota.tree.diverging_levels(demand.team, wanted.team)
        if diverging_levels is not None:
            our_level, their_level = diverging_levels
            ours = our_level in self.shard_quota.guarantees_covering(demand.spec, demand.count)
            theirs = self.quota.tree.levels[their_level].name in wanted.covering_guarantees
            if ours != theirs:
                return ours
        return demand.order < wanted.order

    def _is_our_turn(self, requester: int, level: int) -> bool:
        """Whether this shard is the holder that may preempt for another shard now.

        Holders take turns, the largest first: if all preempted at once, too much would be stopped.
        """
        record = self.quota.allocations.for_cap(level).record
        parts = record.parts if record is not None else {}
        holders = [int(shard) for shard in parts if int(shard) != requester]
        holders.sort(key=lambda shard: (-max(parts[str(shard)]), shard))
        if self.shard not in holders:
            return False
        now_us = self.quota.ctx.now_us
        turn = (now_us - self.wanted_since_us.get(requester, now_us)) // PREEMPTION_TURN_US
        return holders[turn % len(holders)] == self.shard

    def _preempt_for(self, wanted: PublishedDemand, lacking: dict[int, Amounts]) -> None:
        """Preempt borrowed usage in this shard for a job of another one."""
        job = self.quota.ctx.cache.job(wanted.order.job_id)
        if job is None or job.spec is None:
            return  # the job has ended, or is not in the cache yet
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
                RoomRequest(m.with_bounded_amounts(job.spec), 1, covering_guarantees=covering, shortfall=shortfall),
            )
