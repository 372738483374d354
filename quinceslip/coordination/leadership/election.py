"""Leader election for shards, and what a controller may do as a leader.

A controller may act as the leader of a shard while all of this holds:

1. It has a lease at the key-value store which cannot have expired yet (`leader_lease`).
2. It has written the shard's record, attached to that lease, under a new term from one global counter (`claims`),
   and that record is unchanged (`led_shards`).
3. It is not handing the shard over (`hand_over`).

A shard record is deleted when the lease of its leader expires. Every write of a leader is conditional on the revision
of its shard record (`LeaderElection.fencing_condition`), so a delayed write of an earlier leader fails.
"""

from collections.abc import Callable

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.leadership.claims import ShardClaims, ShardGained
from quinceslip.coordination.leadership.hand_over import HandOvers
from quinceslip.coordination.leadership.leader_lease import LeaderLease
from quinceslip.coordination.leadership.led_shards import LedShards


class LeaderElection:
    """Leadership of one controller; `on_gained` and `on_lost` are called on each change.

    `home` is the shard that this controller leads by preference.
    """

    def __init__(self, ctx: Context, home: int, on_gained: ShardGained, on_lost: Callable[[int], None]) -> None:
        self.ctx = ctx
        self.home = home
        self.shard_count = ctx.settings.facts.size
        #: this controller does not reach its workers, so it lets others claim first
        self.yielding = False
        self.led_shards = LedShards(ctx, on_lost)
        self.lease = LeaderLease(ctx, self.led_shards.drop_all)
        self._claims = ShardClaims(ctx, self.lease, self.led_shards, home, on_gained)
        self._hand_overs = HandOvers(ctx, self.led_shards)
        #: by shard that this controller leads: the revision of its record
        self.mod_revisions = self.led_shards.mod_revisions

    def may_launch(self, shard: int | None = None) -> bool:
        """Whether this controller may launch tasks and make decisions, in `shard` if given, which it leads.

        Guard: nothing starts in a shard from before its hand-over is sent until the hand-over has certainly failed. Its
        answer may be lost although the next leader has read the change. Work that reached the shard since would be new
        to both, and both would start it; earlier work is inherited by the next leader as unreconciled.
        """
        return shard not in self.led_shards.handing_over and self.lease.permits_launch()

    def may_answer(self) -> bool:
        """Whether this controller may still answer the heartbeats of its workers (lease and grace period)."""
        return self.lease.permits_answer()

    def leads(self, shard: int) -> bool:
        """Whether this controller leads a shard, as far as it knows."""
        return shard in self.mod_revisions

    def leader(self, shard: int) -> str | None:
        """The label of the controller that leads a shard according to its record; None if it has no leader."""
        record = self.ctx.cache.shard(shard)
        return record.leader if record else None

    def fencing_condition(self, shard: int) -> dict[str, int]:
        """The condition of every write for a shard that this controller leads; raises KeyError for other shards."""
        return self.led_shards.fencing_condition(shard)

    def tick(self) -> None:
        """Maintain the lease; drop, hand over and claim shards."""
        self.lease.tick()
        if not self.led_shards.write_pending:
            self.led_shards.drop_replaced()
            self._hand_overs.retry()
        if self.may_launch():
            self._claims.claim_next(self.yielding)

    def shard_record_changed(self, shard: int) -> None:
        """Handle a change of a shard record in the cache."""
        self.led_shards.record_changed(shard)

    def claim(self, shard: int, observed_term: int = 0) -> None:
        """Claim a shard, or raise its term if this controller leads it, to a term greater than `observed_term`."""
        self._claims.claim(shard, observed_term)

    def hand_over(self, shard: int) -> None:
        """Give up a shard to its home, which is alive again, or to a peer that reaches the shard's workers."""
        self._hand_overs.hand_over(shard)
