"""Follows the tree of the operators' file: which version is in force, and records with an older one's amounts."""

import logging

from quinceslip.coordination.actor.effects import Urgency
from quinceslip.quota.allocations import LevelAmount
from quinceslip.quota.amounts import ZERO, positive_part, shown, times
from quinceslip.quota.quota_context import QuotaContext
from quinceslip.quota.quota_records import GRANT, TREE, TREE_KEY, AmountKind, TreeRecord, grant_name
from quinceslip.quota.shard_quota import ShardQuota

log = logging.getLogger(__name__)

#: the records of one level: of its cap and of its guarantee
_RECORDS_PER_LEVEL = 2


class TreeUpdater:
    """Brings the tree of one controller into force, or learns that a newer one is."""

    def __init__(self, quota: QuotaContext) -> None:
        self.quota = quota
        self.tree = quota.tree
        #: what operators are to mend, in the log and on the page
        self.trouble = ""
        #: names of allocations that are over their cap, as the log has them
        self._logged_exceeded: set[str] = set()
        #: how many levels were looked through for amounts of an older tree
        self._levels_refreshed = 0
        #: some such record was found
        self._found_stale = False

    # The version in force.

    def tree_record_changed(self) -> None:
        """The cache has another tree record."""
        record: TreeRecord | None = self.quota.ctx.cache.by_kind[TREE].get("")
        newest_version, same_version_differs = self.tree.version, False
        if record is not None:
            newest_version = max(self.tree.version, record.version)
            same_version_differs = record.version == self.tree.version and record.digest != self.tree.digest
        allocations = self.quota.allocations
        allocations.newest_version = newest_version
        allocations.tree_outdated = newest_version > self.tree.version or same_version_differs
        self._tell_trouble(self._describe_trouble(same_version_differs) if allocations.tree_outdated else "")
        self._levels_refreshed = 0
        self.quota.writer.request_placement()

    def _describe_trouble(self, same_version_differs: bool) -> str:
        return (
            f"the tree in force has version {self.quota.allocations.newest_version}, that of the operators' file is "
            f"{self.tree.version}{' with other amounts: raise its version' if same_version_differs else ''}; here "
            f"nothing new starts under levels that it has not confirmed"
        )

    def _tell_trouble(self, trouble: str) -> None:
        if trouble != self.trouble:
            log.error("%s", trouble or "the tree of the operators' file is the one in force")
            self.trouble = trouble

    def write_tree_record(self) -> None:
        """Put this controller's tree into force where it is the newest."""
        cache = self.quota.ctx.cache
        record: TreeRecord | None = cache.by_kind[TREE].get("")
        if self.quota.shard_quotas and (record is None or record.version < self.tree.version):
            self.quota.writer.write_record(
                TREE_KEY,
                {TREE_KEY: cache.mod_revision(TREE_KEY)},
                TreeRecord(self.tree.version, self.tree.digest),
            )

    # Records that belong to no shard, written in the name of one.

    def _fencing_of_any_shard(self) -> dict[str, int] | None:
        shard = min(self.quota.shard_quotas, default=None)
        return None if shard is None else self.quota.election.fencing_condition(shard)

    def resolve_indeterminate_moves(self) -> None:
        """Moves whose outcome is unknown are resolved by writing the record again."""
        writer = self.quota.writer
        fencing = self._fencing_of_any_shard()
        for allocation in list(writer.indeterminate)[: self.quota.ctx.limits.txn_ops]:
            if allocation.move is None or not allocation.move.indeterminate:
                del writer.indeterminate[allocation]
            elif fencing is not None:
                # Each on its own: what another one fails for says nothing of this one.
                batch = writer.new_batch()
                batch.add(allocation, allocation.rewrite(fencing))
                writer.send(batch, Urgency.LAUNCH)

    def refresh_records(self) -> None:
        """Records with the amounts of an older tree get ours, a few at a time, until none is found."""
        fencing, levels = self._fencing_of_any_shard(), self.tree.levels
        if fencing is None or self.quota.allocations.tree_outdated or self._levels_refreshed >= len(levels):
            return
        batch = self.quota.writer.new_batch()
        # Bound: the levels of the tree.
        while self._levels_refreshed < len(levels) and len(batch.moves) + _RECORDS_PER_LEVEL <= batch.max_moves:
            level = levels[self._levels_refreshed]
            for kind in (AmountKind.CAP, AmountKind.GUARANTEE):
                if self._is_stale(grant_name(level.name, kind)):
                    self._found_stale = True
                    allocation = self.quota.allocations.for_level_amount(LevelAmount(level.index, kind))
                    batch.add(allocation, allocation.rewrite(fencing))
            self._levels_refreshed += 1
        if self._levels_refreshed >= len(levels) and self._found_stale:
            self._levels_refreshed, self._found_stale = 0, False  # some may have failed: look again
        self.quota.writer.send(batch, Urgency.BACKGROUND)

    def _is_stale(self, name: str) -> bool:
        record = self.quota.ctx.cache.by_kind[GRANT].get(name)
        return record is not None and record.version < self.tree.version

    # Lowered caps.

    def return_excess(self, shard: int, shard_quota: ShardQuota) -> None:
        """Where more is held than a lowered cap, what is not used goes back; the rest drains, and is logged."""
        allocations = self.quota.allocations
        batch = self.quota.writer.new_batch()
        self._logged_exceeded &= allocations.exceeded_caps.keys()
        for name, level in sorted(allocations.exceeded_caps.items()):
            allocation = allocations.by_name[name]
            excess = positive_part(times(allocation.pool(), -1))
            if name not in self._logged_exceeded:
                self._logged_exceeded.add(name)
                log.info(
                    "level over cap level=%s excess=%s: running tasks go on, nothing new starts",
                    self.tree.levels[level].name,
                    shown(excess),
                )
            fencing = self.quota.election.fencing_condition(shard)
            used = shard_quota.usage.get(level, ZERO)
            batch.add(allocation, allocation.give_unused(shard, None, excess, used, fencing))
            if batch.is_full:
                break
        self.quota.writer.send(batch, Urgency.BACKGROUND)
