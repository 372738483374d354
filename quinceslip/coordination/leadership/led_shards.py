"""The shards that one controller leads, as far as it knows."""

import logging
from collections.abc import Callable
from enum import Enum, auto

from quinceslip.coordination.actor.context import Context
from quinceslip.storage import records

log = logging.getLogger(__name__)


class HandOverState(Enum):
    """Progress of the hand-over of a shard."""

    SENT = auto()
    #: the outcome of an attempt is unknown: it may have been applied, or may be applied later
    INDETERMINATE = auto()


class LedShards:
    """State shared by claims and hand-overs; `on_lost` is called for each shard that this controller stops leading."""

    def __init__(self, ctx: Context, on_lost: Callable[[int], None]) -> None:
        self.ctx = ctx
        self.on_lost = on_lost
        #: by shard: the revision of its record, as this controller wrote it
        self.mod_revisions: dict[int, int] = {}
        self.handing_over: dict[int, HandOverState] = {}
        #: a claim or a hand-over is in flight; there is one at a time
        self.write_pending = False

    def fencing_condition(self, shard: int) -> dict[str, int]:
        """The condition of every write of the leader: its shard record is unchanged."""
        return {records.shard_key(shard): self.mod_revisions[shard]}

    def drop(self, shard: int) -> None:
        """Stop leading a shard."""
        self.mod_revisions.pop(shard, None)
        self.handing_over.pop(shard, None)
        self.on_lost(shard)

    def drop_all(self) -> None:
        """Stop leading all shards."""
        log.info("leadership lost shards=%s", sorted(self.mod_revisions))
        for shard in list(self.mod_revisions):
            self.drop(shard)

    def drop_replaced(self) -> None:
        """Drop the shards whose record is not the one that this controller is known to have written.

        A claim whose answer was lost may have been applied; the revision of that record is not known to be ours.
        """
        for shard in [shard for shard in self.mod_revisions if self._is_replaced(shard)]:
            self.drop(shard)

    def record_changed(self, shard: int) -> None:
        """Handle a changed shard record in the cache; while a write is pending, the change may be that write."""
        if shard not in self.mod_revisions or not self._is_replaced(shard):
            return
        record = self.ctx.cache.shard(shard)
        if self.write_pending and record is not None and record.leader == self.ctx.settings.label:
            return
        log.info("leadership lost shard=%d leader=%s", shard, record.leader if record else None)
        self.drop(shard)

    def _is_replaced(self, shard: int) -> bool:
        return self.ctx.cache.mod_revision(records.shard_key(shard)) != self.mod_revisions[shard]
