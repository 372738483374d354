"""Gate for behaviour that must not be mixed between versions: durable, and never closed again once open.

Each controller records the level that it supports under `supports/<label>`. The first controller to see that all of the
site's controllers support a level writes it to `rollout`, on condition that none of their records has changed in the
meantime. From then on the level is active for all controllers, across restarts.

The record of a supported level is attached to the controller's lease and ends with its process. A permanent record
would keep a stopped controller from delaying the gate. But if an earlier version, which can't delete the record, were
started in its place, the gate would open, and the earlier version would misread what the new ones write. So a stopped
controller keeps the gate closed until it is back, usually a matter of seconds, and only if the gate was not open yet.
An earlier version that starts within the lease of the later version's process may still be counted. That case is the
same as starting an earlier version just after the gate has opened, and there is no way back from that.

Limits: a compare-and-swap allows four conditions per allowed change, and the gate needs one per controller and one
more. On a site with more controllers than that, the gate stays closed and an error is logged.
"""

import logging

from quinceslip.coordination.actor.compare_and_swap import CompareAndSwapCallback
from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.feature_gate import CURRENT_LEVEL
from quinceslip.storage import records
from quinceslip.storage.records import RecordKind

log = logging.getLogger(__name__)

#: delay after a write that was not answered or failed a condition
RETRY_PERIOD_US = SECOND
#: conditions that a compare-and-swap allows per allowed change (PROTOCOL)
CONDITIONS_PER_CHANGE = 4
#: supported level of a controller that neither records support nor activates a level
NO_LEVEL = 0


class FeatureGate:
    """One controller's view of the gate. It has no I/O, clock or thread of its own and raises no exceptions."""

    def __init__(self, ctx: Context, election: LeaderElection, labels: list[str], level: int = CURRENT_LEVEL) -> None:
        self.ctx = ctx
        self.election = election
        self.labels = labels
        self.supported_level = level
        self._published: tuple[int, int] | None = None  # lease and `mod_revision` of its last confirmed record
        self._write_pending = False
        self._next_write_us = 0
        self._logged_missing: list[str] = []
        self._logged_level = NO_LEVEL

    def is_open(self, level: int) -> bool:
        """Whether this level is active according to the cache; once active, it is so for all controllers for ever."""
        record = self.ctx.cache.by_kind[RecordKind.ACTIVE_LEVEL].get("")
        return record is not None and record.level >= level

    def tick(self) -> None:
        """Record the level that this controller supports, and activate it once all controllers support it."""
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
        """Return the controllers that, as far as is known here, have not recorded support for this one's level."""
        supports = self.ctx.cache.by_kind[RecordKind.SUPPORTS]
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
        """Record the supported level.

        Guard: conditional on the record that it replaces, so a late write never overwrites a later process's record.
        """

        def on_published(status: int, failed: list[str]) -> None:
            if status == 200:
                self._published = (lease, self.ctx.cache.mod_revision(key))
            self._on_write_finished(status)

        conditions = {key: self.ctx.cache.mod_revision(key)}
        self._write(conditions, key, records.SupportsRecord(self.supported_level), lease, on_published)

    def _activate(self) -> None:
        """Activate the supported level.

        Guard: each controller's record must be unchanged when the write is applied, however late that is.
        """
        keys = [records.ACTIVE_LEVEL_KEY, *map(records.supports_key, self.labels)]
        if len(keys) > CONDITIONS_PER_CHANGE * self.ctx.limits.txn_ops:
            log.error(
                "level %d stays inactive: %d controllers are more than a compare-and-swap of %d changes can check",
                self.supported_level,
                len(self.labels),
                self.ctx.limits.txn_ops,
            )
            self.supported_level = NO_LEVEL
            return

        def on_activated(status: int, failed: list[str]) -> None:
            self._on_write_finished(status)

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
        # Submissions may wait for the gate, so the write is as urgent as launches.
        self.ctx.compare_and_swap(conditions, {key: (record, lease)}, [], on_written, Urgency.LAUNCH)

    def _on_write_finished(self, status: int) -> None:
        self._write_pending = False
        if status != 200:
            self._next_write_us = self.ctx.now_us + RETRY_PERIOD_US
