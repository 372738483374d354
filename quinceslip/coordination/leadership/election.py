"""Who owns which shard: one lease per node, terms from one global counter.

A shard's record is attached to its owner's lease, so it vanishes when the owner can no longer
renew. Every write an owner makes is conditional on the stamp of its shard record: what an earlier
owner sent and the state service applies late therefore fails.
"""

import logging
from collections.abc import Callable

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import NOT_SENT, Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.protocol import messages
from quinceslip.storage import records

log = logging.getLogger(__name__)


class LeaderElection:
    def __init__(
        self, ctx: Context, home: int, gained: Callable[[int, int, int], None], lost: Callable[[int], None]
    ) -> None:
        self.ctx = ctx
        self.home = home
        self.size = ctx.settings.facts.size
        self.on_gained = gained
        self.on_lost = lost
        self.leader_lease: int | None = None
        # No contact has been proven: whatever an earlier life of this controller knew, this one does not.
        self.lease_sent_us = self.watch_sent_us = ctx.now_us - 2 * (ctx.timing.leader_lease_us + ctx.timing.grace_us)
        self.lease_call_open = False
        self.next_lease_us = 0
        self.terms: dict[int, int] = {}
        self.mod_revisions: dict[int, int] = {}
        self.claiming = False
        self.next_claim_us = 0
        self.absent_since: dict[int, int] = {}
        self.handing_over: dict[int, bool] = {}  # shards on their way to another owner; whether it may be done
        self.next_hand_over_us = 0
        self.yielding = False  # it does not reach its workers: others go first

    # What the node may do now.

    def _last_contact_us(self) -> int:
        # Both must be recent: the lease says nobody took over, the watch that we would have heard
        # of a cancellation. A watch that hangs while renewals succeed must not pass for contact.
        return min(self.lease_sent_us, self.watch_sent_us)

    def may_launch(self, shard: int | None = None) -> bool:
        """May launch and decide: the lease cannot have lapsed yet, and the shard, if one is named, is not on its way.

        Guard: from before a hand-over is sent until it has failed for certain, nothing starts in that shard. Its answer
        may be lost while the next owner has read it: what came to the shard since is new to both, and both would start
        it. What was there before, the next owner inherits as unknown.
        """
        lasts = int(self.ctx.timing.leader_lease_us * 0.95) - 50_000
        return (
            shard not in self.handing_over
            and self.leader_lease is not None
            and self.ctx.now_us < self._last_contact_us() + lasts
        )

    def may_answer(self) -> bool:
        """May still answer the workers of its shards (grace)."""
        timing = self.ctx.timing
        return self.ctx.now_us < self._last_contact_us() + timing.leader_lease_us + timing.grace_us

    def leads(self, shard: int) -> bool:
        return shard in self.terms

    def fencing_condition(self, shard: int) -> dict[str, int]:
        return {records.shard_key(shard): self.mod_revisions[shard]}

    # The lease: PROTOCOL's hold.

    def tick(self) -> None:
        ctx = self.ctx
        if not self.lease_call_open and ctx.now_us >= self.next_lease_us:
            if self.leader_lease is None:
                self._create_lease()
            elif ctx.now_us >= self.lease_sent_us + ctx.timing.leader_lease_us // 4:
                self._renew_lease()
        if not self.claiming:
            # A claim whose answer never came may have been applied: its stamp is not ours.
            for shard in [
                s for s in self.mod_revisions if ctx.cache.mod_revision(records.shard_key(s)) != self.mod_revisions[s]
            ]:
                self._drop_shard(shard)
            if self.handing_over and ctx.now_us >= self.next_hand_over_us:
                self.hand_over(next(iter(self.handing_over)))  # until its outcome is certain
        if (
            self.leader_lease is not None
            and ctx.cache.synced
            and not self.claiming
            and ctx.now_us >= self.next_claim_us
            and self.may_launch()
        ):
            self._claim_next()

    def _create_lease(self) -> None:
        sent_us = self.ctx.now_us
        self.lease_call_open = True

        def done(status: int, body: bytes) -> None:
            self.lease_call_open = False
            self.ctx.note_store_status(status)
            if status == 200:
                self.leader_lease = msgspec.json.decode(body, type=messages.LeaseAnswer).hold
                self.lease_sent_us = sent_us
                log.info("lease %d created", self.leader_lease)
            else:
                self.next_lease_us = self.ctx.now_us + SECOND // 2

        self.ctx.call(
            "lease", "POST", messages.PATH_LEASES, messages.lease_request(self.ctx.timing.leader_lease_us), done
        )

    def _renew_lease(self) -> None:
        sent_us = self.ctx.now_us
        lease = self.leader_lease
        assert lease is not None
        self.lease_call_open = True

        def done(status: int, body: bytes) -> None:
            self.lease_call_open = False
            self.ctx.note_store_status(status)
            if lease != self.leader_lease:
                return
            if status == 200:
                self.lease_sent_us = sent_us
            elif status == 404:
                log.info("lease %d has ended; shards %s are no longer ours", lease, sorted(self.terms))
                self.leader_lease = None
                for shard in list(self.terms):
                    self._drop_shard(shard)
            else:
                self.next_lease_us = self.ctx.now_us + 200_000

        self.ctx.call("lease", "POST", messages.renew_path(lease), None, done)

    def _drop_shard(self, shard: int) -> None:
        self.terms.pop(shard, None)
        self.mod_revisions.pop(shard, None)
        self.handing_over.pop(shard, None)
        self.on_lost(shard)

    # Claims.

    def _claim_next(self) -> None:
        now_us = self.ctx.now_us
        mine = self.ctx.settings.label
        for offset in range(self.size):
            shard = (self.home - offset) % self.size
            record = self.ctx.cache.shard(shard)
            if self.leads(shard):
                continue
            if record is not None and record.owner != mine:
                self.absent_since.pop(shard, None)
                continue
            since = self.absent_since.setdefault(shard, now_us)
            # The home claims at once. The next node in the ring waits a little so that a home
            # that merely restarts, or a nearer neighbour, goes first.
            delay = 0
            if record is None and offset:
                delay = offset * SECOND // 2
                if since - self.ctx.started_us < self.ctx.timing.leader_lease_us:
                    delay += self.ctx.timing.leader_lease_us
            if self.yielding:
                delay += 2 * self.ctx.timing.leader_lease_us
            if now_us >= since + delay:
                self.claim(shard)
                return

    def claim(self, shard: int, above: int = 0) -> None:
        """Take a shard, or raise the term of one we own already, to more than `above`."""
        if self.claiming or self.leader_lease is None:
            return
        cache = self.ctx.cache
        counter = cache.by_kind["term"].get("")
        term = max(counter.term if counter else 0, above) + 1
        key = records.shard_key(shard)
        conditions = {records.TERM: cache.mod_revision(records.TERM), key: cache.mod_revision(key)}
        previous = cache.shard(shard)
        previous_own_term = previous.term if previous is not None and previous.owner == self.ctx.settings.label else 0
        record = records.ShardRecord(self.ctx.settings.label, term)
        lease = self.leader_lease
        self.claiming = True

        def done(status: int, failed: list[str]) -> None:
            self.claiming = False
            if status == 200 and self.leader_lease == lease:
                mod_revision = cache.mod_revision(key)
                raised = shard in self.terms
                self.terms[shard], self.mod_revisions[shard] = term, mod_revision
                self.absent_since.pop(shard, None)
                log.info("shard %d is ours under term %d%s", shard, term, " (raised)" if raised else "")
                self.on_gained(shard, term, previous_own_term)
            else:
                self.next_claim_us = self.ctx.now_us + 150_000

        self.ctx.compare_and_swap(
            conditions, {records.TERM: (records.TermRecord(term), None), key: (record, lease)}, [], done, Urgency.USER
        )

    def shard_record_changed(self, shard: int) -> None:
        """The view has news of a shard record."""
        record = self.ctx.cache.shard(shard)
        mod_revision = self.ctx.cache.mod_revision(records.shard_key(shard))
        if (
            shard in self.mod_revisions
            and mod_revision != self.mod_revisions[shard]
            and not (self.claiming and record is not None and record.owner == self.ctx.settings.label)
        ):
            log.info("shard %d was taken from us by %s", shard, record.owner if record else "nobody yet")
            self._drop_shard(shard)

    def leader(self, shard: int) -> str | None:
        record = self.ctx.cache.shard(shard)
        return record.owner if record else None

    def hand_over(self, shard: int) -> None:
        """Hand a shard to its home, which is alive again, or to a peer that reaches its workers.

        The record is dropped, and whoever is next claims it.
        """
        if self.claiming or shard not in self.mod_revisions:
            return
        self.claiming = True
        self.handing_over.setdefault(shard, False)
        self.next_hand_over_us = self.ctx.now_us + SECOND // 2

        def done(status: int, failed: list[str]) -> None:
            self.claiming = False
            if shard not in self.terms:
                return
            if status == 200:
                log.info("shard %d is handed over", shard)
                self._drop_shard(shard)
            elif status in (NOT_SENT, 400, 429, 503) and not self.handing_over.get(shard):
                self.handing_over.pop(shard, None)  # no attempt of it can be carried out any more
            else:
                # Carried out without an answer, or to be: it goes on, until it is done or its condition fails. Where
                # that has failed, the record has changed, and the watch is about to say so.
                self.handing_over[shard] = True

        self.ctx.compare_and_swap(self.fencing_condition(shard), {}, [records.shard_key(shard)], done, Urgency.USER)
