"""The gate for what no two versions may do side by side: durable, and never closed again.

Each controller records the level that it supports, under `supports/<label>`. Whichever first sees that all of the
site's controllers support a level writes it to `rollout`, on condition that not one of their records has changed
meanwhile. From then on that level is active, for all, over every restart.

The record of a supported level is attached to the controller's lease and ends with its process. The other way, a record
that stays, would let a controller that is down delay nothing; but were an earlier version started again in its place,
which can't delete the record, the gate would open on it, and what the new ones write then is read wrongly. So one that
is down keeps the gate shut until it is back, which on a site that restarts its processes is a matter of seconds, and
only while the gate is shut. An earlier version that is back within the lease of the later version's process may still
be counted: that is no other case than one that is started just after the gate has opened, and from there on no way
leads back.

Limits: a compare-and-swap has four conditions for each change that it may have, and the gate needs one for each
controller and one more. A site of more controllers than that keeps the gate shut, and logs it.
"""

import logging

from quinceslip.coordination.actor.compare_and_swap import CompareAndSwapCallback
from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.feature_gate import CURRENT
from quinceslip.storage import records

log = logging.getLogger(__name__)

#: pause after a write that was not answered, or failed a condition
RETRY_US = SECOND
#: conditions that a compare-and-swap may have for each change that it may have (PROTOCOL)
CONDITIONS_PER_CHANGE = 4
#: supported level of a controller that records no support and activates nothing
NO_LEVEL = 0


class FeatureGate:
    """The gate as one controller sees it. Without I/O, clock or thread of its own; it raises nothing."""

    def __init__(self, ctx: Context, election: LeaderElection, labels: list[str], level: int = CURRENT) -> None:
        self.ctx = ctx
        self.election = election
        self.labels = labels
        self.supported_level = level
        self._published: tuple[int, int] | None = None  # lease and `mod_revision` of its record, as last answered
        self._write_pending = False
        self._next_write_us = 0
        self._logged_missing: list[str] = []
        self._logged_level = NO_LEVEL

    def is_open(self, level: int) -> bool:
        """Whether all may act by this level: by the cache alone, so once seen it is the same for all and for ever."""
        record = self.ctx.cache.by_kind["rollout"].get("")
        return record is not None and record.level >= level

    def tick(self) -> None:
        """Record what this controller supports, then activate that level once all support it."""
        if self.supported_level == NO_LEVEL or not self.ctx.cache.synced:
            return
        self._log_progress()
        lease = self.election.lease.lease_id
        if lease is None or not self._may_write():
            return
        key = records.supports_key(self.ctx.settings.label)
        if self._published != (lease, self.ctx.cache.mod_revision(key)):
            self._publish_supported(key, lease)
        elif not self.is_open(self.supported_level) and not self._controllers_without_support():
            self._activate()

    def _may_write(self) -> bool:
        return not self._write_pending and self.ctx.now_us >= self._next_write_us and self.ctx.store_available()

    def _controllers_without_support(self) -> list[str]:
        """Controllers that have not recorded, as far as is known here, that they support this controller's level."""
        supports = self.ctx.cache.by_kind["supports"]
        return [label for label in self.labels if label not in supports or supports[label].level < self.supported_level]

    def _log_progress(self) -> None:
        if self.is_open(self.supported_level):
            if self._logged_level < self.supported_level:
                self._logged_level = self.supported_level
                log.info("feature level active level=%d", self.supported_level)
            return
        missing = self._controllers_without_support()
        if missing != self._logged_missing:
            self._logged_missing = missing
            log.info("feature level waiting level=%d missing=%s", self.supported_level, missing)

    def _publish_supported(self, key: str, lease: int) -> None:
        """Guard: on condition of what it replaces, so one that is applied late undoes no later process's record."""

        def on_published(status: int, failed: list[str]) -> None:
            if status == 200:
                self._published = (lease, self.ctx.cache.mod_revision(key))
            self._written(status)

        conditions = {key: self.ctx.cache.mod_revision(key)}
        self._write(conditions, key, records.SupportsRecord(self.supported_level), lease, on_published)

    def _activate(self) -> None:
        """Guard: each controller's record must be as it was seen when this is applied, however late."""
        keys = [records.ACTIVE_LEVEL_KEY, *map(records.supports_key, self.labels)]
        if len(keys) > CONDITIONS_PER_CHANGE * self.ctx.limits.txn_ops:
            log.error(
                "level %d stays shut: %d controllers are more than a compare-and-swap of %d changes can check",
                self.supported_level,
                len(self.labels),
                self.ctx.limits.txn_ops,
            )
            self.supported_level = NO_LEVEL
            return

        def on_activated(status: int, failed: list[str]) -> None:
            self._written(status)

        conditions = {key: self.ctx.cache.mod_revision(key) for key in keys}
        self._write(conditions, records.ACTIVE_LEVEL_KEY, records.LevelRecord(self.supported_level), None, on_activated)

    def _write(
        self,
        conditions: dict[str, int],
        key: str,
        record: records.SupportsRecord | records.LevelRecord,
        lease: int | None,
        on_written: CompareAndSwapCallback,
    ) -> None:
        self._write_pending = True
        # Submissions may wait for it, so it is as urgent as launches.
        self.ctx.compare_and_swap(conditions, {key: (record, lease)}, [], on_written, Urgency.LAUNCH)

    def _written(self, status: int) -> None:
        self._write_pending = False
        if status != 200:
            self._next_write_us = self.ctx.now_us + RETRY_US
