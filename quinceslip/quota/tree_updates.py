"""Tree versions: puts a newer tree into force and updates records that have amounts of an older one."""

import logging

from quinceslip.coordination.actor.effects import Urgency
from quinceslip.quota.allocations import LevelAmount
from quinceslip.quota.amounts import ZERO, in_operator_units, positive_part, times
from quinceslip.quota.quota_context import QuotaContext
from quinceslip.quota.quota_records import GRANT, TREE, TREE_KEY, AmountKind, TreeRecord, grant_name
from quinceslip.quota.shard_quota import ShardQuota

log = logging.getLogger(__name__)

#: one for the cap and one for the guarantee
_RECORDS_PER_LEVEL = 2


class TreeUpdater:
    """Puts the tree of one controller into force, or notices that another one is in force."""

    def __init__(self, quota: QuotaContext) -> None:
        self.quota = quota
        self.tree = quota.tree
        #: conflict with the tree in force, shown to operators in the log and on the status page
        self.tree_conflict = ""
        #: names of allocations whose excess over the cap has been logged
        self._logged_exceeded: set[str] = set()
        #: number of levels already checked for records of an older tree
        self._levels_checked = 0
        #: a record of an older tree was found in this round
        self._found_stale = False

    # The version in force.

    def tree_record_changed(self) -> None:
        """Handle a change of the cached tree record."""
        record: TreeRecord | None = self.quota.ctx.cache.by_kind[TREE].get("")
        newest_version, same_version_differs = self.tree.version, False
        if record is not None:
            newest_version = max(self.tree.version, record.version)
            same_version_differs = record.version == self.tree.version and record.digest != self.tree.digest
        allocations = self.quota.allocations
        allocations.newest_version = newest_version
        allocations.tree_outdated = newest_version > self.tree.version or same_version_differs
        self._set_tree_conflict(self._conflict_text(same_version_differs) if allocations.tree_outdated else "")
        self._levels_checked = 0
        self.quota.writer.request_placement()

    def _conflict_text(self, same_version_differs: bool) -> str:
        return (
            f"the tree in force has version {self.quota.allocations.newest_version}, that of the operators' file is "
            f"{self.tree.version}{' with other amounts: raise its version' if same_version_differs else ''}; here "
            f"nothing new starts under levels that it has not confirmed"
        )

    def _set_tree_conflict(self, tree_conflict: str) -> None:
        if tree_conflict != self.tree_conflict:
            log.error("%s", tree_conflict or "the tree of the operators' file is the one in force")
            self.tree_conflict = tree_conflict

    def write_tree_record(self) -> None:
        """Put this controller's tree into force if it is the newest."""
        cache = self.quota.ctx.cache
        record: TreeRecord | None = cache.by_kind[TREE].get("")
        if self.quota.shard_quotas and (record is None or record.version < self.tree.version):
            self.quota.writer.write_record(
                TREE_KEY,
                {TREE_KEY: cache.mod_revision(TREE_KEY)},
                TreeRecord(self.tree.version, self.tree.digest),
            )

    # Records that belong to no shard; their writes are fenced by the leadership of any shard led here.

    def _fencing_of_any_shard(self) -> dict[str, int] | None:
        shard = min(self.quota.shard_quotas, default=None)
        return None if shard is None else self.quota.election.fencing_condition(shard)

    def resolve_indeterminate_moves(self) -> None:
        """Resolve moves whose outcome is unknown by writing their record again."""
        writer = self.quota.writer
        fencing = self._fencing_of_any_shard()
        for allocation in list(writer.indeterminate)[: self.quota.ctx.limits.txn_ops]:
            if allocation.move is None or not allocation.move.indeterminate:
                del writer.indeterminate[allocation]
            elif fencing is not None:
                # In a batch of its own, so that it does not fail because of another record.
                batch = writer.new_batch()
                batch.add(allocation, allocation.rewrite(fencing))
                writer.send(batch, Urgency.LAUNCH)

    def refresh_records(self) -> None:
        """Rewrite records that have amounts of an older tree, a few at a time, until none is left."""
        fencing, levels = self._fencing_of_any_shard(), self.tree.levels
        if fencing is None or self.quota.allocations.tree_outdated or self._levels_checked >= len(levels):
            return
        batch = self.quota.writer.new_batch()
        # Bound: the number of levels.
        while self._levels_checked < len(levels) and len(batch.moves) + _RECORDS_PER_LEVEL <= batch.max_moves:
            level = levels[self._levels_checked]
            for kind in (AmountKind.CAP, AmountKind.GUARANTEE):
                if self._is_stale(grant_name(level.name, kind)):
                    self._found_stale = True
                    allocation = self.quota.allocations.for_level_amount(LevelAmount(level.index, kind))
                    batch.add(allocation, allocation.rewrite(fencing))
            self._levels_checked += 1
        if self._levels_checked >= len(levels) and self._found_stale:
            self._levels_checked, self._found_stale = 0, False  # some writes may have failed: check again
        self.quota.writer.send(batch, Urgency.BACKGROUND)

    def _is_stale(self, name: str) -> bool:
        record = self.quota.ctx.cache.by_kind[GRANT].get(name)
        return record is not None and record.version < self.tree.version

    # Lowered caps.

    def return_excess(self, shard: int, shard_quota: ShardQuota) -> None:
        """Return unused amounts of allocations that exceed a lowered cap to the pool, and log each such level.

        The excess that is in use drains as tasks end.
        """
        allocations = self.quota.allocations
        batch = self.quota.writer.new_batch()
        self._logged_exceeded &= allocations.exceeded_caps.keys()
        for name, level in sorted(allocations.exceeded_caps.items()):
            allocation = allocations.by_name[name]
            excess = positive_part(times(allocation.pool(), -1))
            if name not in self._logged_exceeded:
                self._logged_exceeded.add(name)
                log.info(
                    "level exceeds its lowered cap, running tasks continue and no new ones start level=%s excess=%s",
                    self.tree.levels[level].name,
                    in_operator_units(excess),
                )
            fencing = self.quota.election.fencing_condition(shard)
            used = shard_quota.usage.get(level, ZERO)
            batch.add(allocation, allocation.give_unused(shard, None, excess, used, fencing))
            if batch.is_full:
                break
        self.quota.writer.send(batch, Urgency.BACKGROUND)
