"""Hand-over: a leader gives up a shard to its home, which is alive again, or to a peer that reaches the workers.

The leader deletes its shard record, and whichever controller is next in the ring claims the shard.
"""

import logging

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import NOT_SENT, Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.led_shards import HandOverState, LedShards
from quinceslip.storage import records

log = logging.getLogger(__name__)

#: delay before a hand-over of unknown outcome is sent again
RETRY_US = SECOND // 2
#: statuses of a write that has not been applied and never will be
NOT_APPLIED_STATUSES = (NOT_SENT, 400, 429, 503)


class HandOvers:
    """Deletes shard records and retries until the outcome of each deletion is certain."""

    def __init__(self, ctx: Context, led_shards: LedShards) -> None:
        self.ctx = ctx
        self.led_shards = led_shards
        self._next_retry_us = 0

    def retry(self) -> None:
        """Resend the first hand-over of unknown outcome; called only while no write is pending."""
        if self.led_shards.handing_over and self.ctx.now_us >= self._next_retry_us:
            self.hand_over(next(iter(self.led_shards.handing_over)))

    def hand_over(self, shard: int) -> None:
        """Give up a shard, unless another claim or hand-over is pending."""
        if self.led_shards.write_pending or shard not in self.led_shards.mod_revisions:
            return
        self.led_shards.write_pending = True
        self.led_shards.handing_over.setdefault(shard, HandOverState.SENT)
        self._next_retry_us = self.ctx.now_us + RETRY_US

        def on_record_deleted(status: int, failed: list[str]) -> None:
            self.led_shards.write_pending = False
            if shard in self.led_shards.mod_revisions:
                self._handle_answer(shard, status)

        conditions = self.led_shards.fencing_condition(shard)
        self.ctx.compare_and_swap(conditions, {}, [records.shard_key(shard)], on_record_deleted, Urgency.USER)

    def _handle_answer(self, shard: int, status: int) -> None:
        indeterminate = self.led_shards.handing_over.get(shard) is HandOverState.INDETERMINATE
        if status == 200:
            log.info("shard handed over shard=%d", shard)
            self.led_shards.drop(shard)
        elif status in NOT_APPLIED_STATUSES and not indeterminate:
            self.led_shards.handing_over.pop(shard, None)  # no attempt can be applied any more
        else:
            # It may have been applied, or may still be: retry until it succeeds or its condition fails. If the
            # condition has failed, the record has changed, and the watch will report that.
            self.led_shards.handing_over[shard] = HandOverState.INDETERMINATE
