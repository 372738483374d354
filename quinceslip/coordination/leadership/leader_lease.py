"""The lease of one controller at the key-value store, and how long it permits the controller to act.

Every controller keeps one lease (PROTOCOL calls it a hold) and renews it. The records of the shards it leads are
attached to that lease, so they are deleted when the controller can no longer renew it, and a peer may then claim them.

What a controller may do depends only on its own proofs of contact with the store, never on what a peer says. A proof
dates from the moment at which the answered request was *sent*, by the controller's own clock. The store counts the
lifetime of the lease from a later moment, so the controller stops before the store lets any other controller start.
"""

import logging
from collections.abc import Callable

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import TARGET_LEASE
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.protocol import messages

log = logging.getLogger(__name__)

#: a leader launches only within this share of its lease, less the margin, so it stops before the lease can expire
LAUNCH_LEASE_SHARE = 0.95
LAUNCH_MARGIN_US = 50_000
#: number of renewals in the lifetime of a lease
RENEWALS_PER_LEASE = 4
#: delay after a failed creation
CREATE_RETRY_US = SECOND // 2
#: delay after a failed renewal
RENEW_RETRY_US = 200_000


class LeaderLease:
    """Creates and renews the lease of one controller; `on_expired` is called when the store no longer knows it."""

    def __init__(self, ctx: Context, on_expired: Callable[[], None]) -> None:
        self.ctx = ctx
        self.on_expired = on_expired
        self.lease_id: int | None = None
        # No contact has been proven yet: proofs of an earlier process of this controller do not count.
        answer_period_us = ctx.timing.leader_lease_us + ctx.timing.grace_us
        self.renewal_sent_us = ctx.now_us - 2 * answer_period_us
        self.watch_sent_us = ctx.now_us - 2 * answer_period_us
        self.launch_period_us = int(ctx.timing.leader_lease_us * LAUNCH_LEASE_SHARE) - LAUNCH_MARGIN_US
        self.answer_period_us = answer_period_us
        self._request_pending = False
        self._next_attempt_us = 0

    # Both proofs of contact must be recent, so the earlier one counts. The renewal proves that no peer has taken over,
    # the watch that this controller would have learned of a cancellation. A watch that hangs while renewals succeed
    # must not count as contact.

    def permits_launch(self) -> bool:
        """Whether the lease exists and cannot have expired yet, so that no peer leads a shard of this controller."""
        if self.lease_id is None:
            return False
        return self.ctx.now_us < min(self.renewal_sent_us, self.watch_sent_us) + self.launch_period_us

    def permits_answer(self) -> bool:
        """Whether heartbeats of workers may still be answered: within the lease and the grace period after it."""
        return self.ctx.now_us < min(self.renewal_sent_us, self.watch_sent_us) + self.answer_period_us

    def watch_answered(self, sent_us: int) -> None:
        """Note that the store answered a watch or listing request that was sent at `sent_us`."""
        self.watch_sent_us = max(self.watch_sent_us, sent_us)

    def tick(self) -> None:
        """Create the lease, or renew it when due; one request at a time."""
        if self._request_pending or self.ctx.now_us < self._next_attempt_us:
            return
        if self.lease_id is None:
            self._create()
        elif self.ctx.now_us >= self.renewal_sent_us + self.ctx.timing.leader_lease_us // RENEWALS_PER_LEASE:
            self._renew(self.lease_id)

    def _create(self) -> None:
        sent_us = self.ctx.now_us
        self._request_pending = True

        def on_lease_created(status: int, body: bytes) -> None:
            self._request_pending = False
            self.ctx.record_store_status(status)
            if status != 200:
                self._next_attempt_us = self.ctx.now_us + CREATE_RETRY_US
                return
            self.lease_id = msgspec.json.decode(body, type=messages.LeaseAnswer).lease_id
            self.renewal_sent_us = sent_us
            log.info("leader lease created lease=%d", self.lease_id)

        request = messages.lease_request(self.ctx.timing.leader_lease_us)
        self.ctx.call(TARGET_LEASE, "POST", messages.PATH_LEASES, request, on_lease_created)

    def _renew(self, lease_id: int) -> None:
        sent_us = self.ctx.now_us
        self._request_pending = True

        def on_lease_renewed(status: int, body: bytes) -> None:
            self._request_pending = False
            self.ctx.record_store_status(status)
            if lease_id != self.lease_id:
                return
            if status == 200:
                self.renewal_sent_us = sent_us
            elif status == 404:
                log.info("leader lease expired lease=%d", lease_id)
                self.lease_id = None
                self.on_expired()
            else:
                self._next_attempt_us = self.ctx.now_us + RENEW_RETRY_US

        self.ctx.call(TARGET_LEASE, "POST", messages.renew_path(lease_id), None, on_lease_renewed)
