"""One gate for what no two versions may do side by side: durable, and never closed again.

Each controller says what it supports in a record of its own, `supports/<label>`. Whichever first sees that all
of the site's controllers support a level writes it to `rollout`, on condition that not one of their records has
changed meanwhile. From then on the level holds, for all, over every restart.

What a controller said is attached to its lease and ends with its process. The other way, a record that stays, would
let a controller that is down hold nothing up; but were an earlier version started again in its place, which can't
take the word back, the gate would open on it, and what the new ones write then is read wrongly. So one that is down
holds the gate up until it is back, which on a site that restarts its processes is a matter of seconds, and only
while the gate is shut. An earlier version that is back within the lease of the later one's life may still be counted:
that is no other case than one that is started just after the gate has opened, and from there on no way leads back.

Limits: a change has four conditions for each change that a transaction may have, and the gate needs one for each
controller and one more. A site of more controllers than that keeps the gate shut, and says so.
"""

import logging

from quinceslip.coordination.actor.context import CompareAndSwapDone, Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.feature_gate import CURRENT
from quinceslip.storage import records

log = logging.getLogger(__name__)

#: what was not answered, or failed a condition, is tried again after this long
RETRY_US = SECOND


class FeatureGate:
    """Without I/O, clock or thread of its own. It raises nothing; what fails is tried once a second."""

    def __init__(self, ctx: Context, election: LeaderElection, labels: list[str], level: int = CURRENT) -> None:
        self.ctx = ctx
        self.election = election
        self.labels = labels
        self.supported_level = level  # that it supports; 0 is none: it says nothing and opens nothing
        self.published: tuple[int, int] | None = None  # lease and stamp of its record, as it was answered last
        self.writing = False
        self.next_us = 0
        self.missing: list[str] = []  # as the log has them
        self.logged_level = 0  # the open level, as the log has it

    def is_open(self, level: int) -> bool:
        """Whether all may act by this level: by the view alone, so once seen it is the same for all and for ever."""
        record = self.ctx.cache.by_kind["rollout"].get("")
        return record is not None and record.level >= level

    def tick(self) -> None:
        ctx = self.ctx
        if not self.supported_level or not ctx.cache.synced:
            return
        self._log()
        if self.writing or ctx.now_us < self.next_us or not ctx.store_available() or self.election.leader_lease is None:
            return
        key = records.supports_key(ctx.settings.label)
        if self.published != (self.election.leader_lease, ctx.cache.mod_revision(key)):
            self._publish_supported(key, self.election.leader_lease)
        elif not self.is_open(self.supported_level) and not self._controllers_without_support():
            self._activate()

    def _controllers_without_support(self) -> list[str]:
        """Controllers that do not say, as far as is known here, that they support our level."""
        said = self.ctx.cache.by_kind["supports"]
        return [label for label in self.labels if label not in said or said[label].level < self.supported_level]

    def _log(self) -> None:
        if self.is_open(self.supported_level):
            if self.logged_level < self.supported_level:
                self.logged_level = self.supported_level
                log.info("level %d is open", self.supported_level)
            return
        lacking = self._controllers_without_support()
        if lacking != self.missing:
            self.missing = lacking
            log.info(
                "level %d: %s", self.supported_level, f"waits for {', '.join(lacking)}" if lacking else "all support it"
            )

    def _publish_supported(self, key: str, lease: int) -> None:
        """Guard: on condition of what it replaces, so one that is carried out late undoes no later life's."""

        def done(status: int, failed: list[str]) -> None:
            if status == 200:
                self.published = (lease, self.ctx.cache.mod_revision(key))
            self._answered(status)

        self._write(
            {key: self.ctx.cache.mod_revision(key)}, key, records.SupportsRecord(self.supported_level), lease, done
        )

    def _activate(self) -> None:
        """Guard: each controller's word must stand as it was seen when this is carried out, however late."""
        mod_revision = self.ctx.cache.mod_revision
        conditions = {key: mod_revision(key) for key in (records.ROLLOUT, *map(records.supports_key, self.labels))}
        if len(conditions) > 4 * self.ctx.limits.txn_ops:
            log.error(
                "level %d stays shut: %d controllers are more than a transaction of %d changes can check",
                self.supported_level,
                len(self.labels),
                self.ctx.limits.txn_ops,
            )
            self.supported_level = 0
            return
        self._write(
            conditions,
            records.ROLLOUT,
            records.LevelRecord(self.supported_level),
            None,
            lambda status, failed: self._answered(status),
        )

    def _write(
        self,
        conditions: dict[str, int],
        key: str,
        record: records.SupportsRecord | records.LevelRecord,
        lease: int | None,
        done: CompareAndSwapDone,
    ) -> None:
        self.writing = True
        self.ctx.compare_and_swap(
            conditions, {key: (record, lease)}, [], done, Urgency.LAUNCH
        )  # submissions may wait for it

    def _answered(self, status: int) -> None:
        self.writing = False
        if status != 200:
            self.next_us = self.ctx.now_us + RETRY_US
