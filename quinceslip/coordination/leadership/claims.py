"""Claims: when and how a controller takes the leadership of a shard that has no leader.

A claim is a single compare-and-swap. It advances the global term counter and writes the shard record, attached to the
claimant's lease, on condition that neither has changed since the claimant read it. So each term is issued only once,
and only one of several concurrent claimants succeeds.

A claim takes `TOKENS_PER_TERM` numbers from the counter: the term, and the fencing tokens above it that the leader may
give to single workers (`FencingTokens`). They are below every later term, and are given to no other leader.
"""

import logging
from collections.abc import Callable

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.leader_lease import LeaderLease
from quinceslip.coordination.leadership.led_shards import LedShards
from quinceslip.storage import records
from quinceslip.storage.records import RecordKind

log = logging.getLogger(__name__)

#: fencing tokens of one term, the term itself among them
TOKENS_PER_TERM = 1024
#: delay after a failed claim
CLAIM_RETRY_US = 150_000
#: additional delay of a claimant for each step in the ring between the shard's home and itself
CLAIM_DELAY_PER_STEP_US = SECOND // 2

#: called with the shard, its new term, and the term under which this controller led it before (0 if it did not)
ShardGained = Callable[[int, int, int], None]


class ShardClaims:
    """Claims shards that have no leader, the home shard first and then those before it in the ring."""

    def __init__(
        self, ctx: Context, lease: LeaderLease, led_shards: LedShards, home: int, on_gained: ShardGained
    ) -> None:
        self.ctx = ctx
        self.lease = lease
        self.led_shards = led_shards
        self.home = home
        self.on_gained = on_gained
        self.next_claim_us = 0
        self._leaderless_since_us: dict[int, int] = {}

    def claim_next(self, yielding: bool) -> None:
        """Claim the first shard whose claim is due; a `yielding` controller lets others go first.

        The caller must have checked that the lease permits it.
        """
        if self.led_shards.write_pending or self.ctx.now_us < self.next_claim_us or not self.ctx.cache.synced:
            return
        cluster_size = self.ctx.settings.facts.size
        for distance in range(cluster_size):
            shard = (self.home - distance) % cluster_size
            if self._is_due(shard, distance, yielding):
                self.claim(shard)
                return

    def _is_due(self, shard: int, distance: int, yielding: bool) -> bool:
        """Whether a shard has been without a leader for long enough; also tracks since when it has none."""
        if shard in self.led_shards.mod_revisions:
            return False
        record = self.ctx.cache.shard(shard)
        if record is not None and record.leader != self.ctx.settings.label:
            self._leaderless_since_us.pop(shard, None)
            return False
        since_us = self._leaderless_since_us.setdefault(shard, self.ctx.now_us)
        delay_us = 0
        if record is None and distance:
            delay_us = self._claim_delay_us(distance, since_us)
        if yielding:
            delay_us += 2 * self.ctx.timing.leader_lease_us
        return self.ctx.now_us >= since_us + delay_us

    def _claim_delay_us(self, distance: int, since_us: int) -> int:
        """How long this controller waits before it claims a shard whose home is another controller.

        The home claims at once. The next controllers in the ring wait a little, so that a home that merely restarts,
        or a nearer neighbour, goes first. They wait longer if all controllers may just be starting.
        """
        delay_us = distance * CLAIM_DELAY_PER_STEP_US
        lease_us = self.ctx.timing.leader_lease_us
        if since_us - self.ctx.started_us < lease_us:
            delay_us += lease_us
        return delay_us

    def claim(self, shard: int, observed_term: int = 0) -> None:
        """Claim a shard, or raise its term if this controller leads it, to a term greater than `observed_term`."""
        lease_id = self.lease.lease_id
        if self.led_shards.write_pending or lease_id is None:
            return
        cache = self.ctx.cache
        term = self._next_term(observed_term)
        key = records.shard_key(shard)
        conditions = {records.TERM_KEY: cache.mod_revision(records.TERM_KEY), key: cache.mod_revision(key)}
        own_term_before_restart = self._own_term_before_restart(shard)
        self.led_shards.write_pending = True

        def on_claimed(status: int, failed: list[str]) -> None:
            self.led_shards.write_pending = False
            if status == 200 and self.lease.lease_id == lease_id:
                self._handle_claimed(shard, term, own_term_before_restart)
            else:
                self.next_claim_us = self.ctx.now_us + CLAIM_RETRY_US

        puts = {
            records.TERM_KEY: (records.TermRecord(term + TOKENS_PER_TERM - 1), None),
            key: (records.ShardRecord(self.ctx.settings.label, term), lease_id),
        }
        self.ctx.compare_and_swap(conditions, puts, [], on_claimed, Urgency.USER)

    def _next_term(self, observed_term: int) -> int:
        counter = self.ctx.cache.by_kind[RecordKind.TERM].get("")
        return max(counter.term if counter else 0, observed_term) + 1

    def _own_term_before_restart(self, shard: int) -> int:
        record = self.ctx.cache.shard(shard)
        return record.term if record is not None and record.leader == self.ctx.settings.label else 0

    def _handle_claimed(self, shard: int, term: int, own_term_before_restart: int) -> None:
        was_leading = shard in self.led_shards.mod_revisions
        self.led_shards.mod_revisions[shard] = self.ctx.cache.mod_revision(records.shard_key(shard))
        self._leaderless_since_us.pop(shard, None)
        event = "term raised" if was_leading else "leadership gained"
        log.info("%s shard=%d term=%d revision=%d", event, shard, term, self.led_shards.mod_revisions[shard])
        self.on_gained(shard, term, own_term_before_restart)
