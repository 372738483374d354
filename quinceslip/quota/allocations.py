"""The allocations of all levels as one controller knows them."""

from typing import NamedTuple
from urllib.parse import unquote

from quinceslip.quota.allocation import Allocation
from quinceslip.quota.quota_records import GRANT, AmountKind, GrantRecord, grant_key, grant_name
from quinceslip.quota.tree import Tree
from quinceslip.storage.cache import StoreCache

_AMOUNT_KINDS = frozenset(AmountKind)


class LevelAmount(NamedTuple):
    """The cap or the guarantee of one level: what an allocation divides between shards."""

    level: int
    kind: AmountKind


class Allocations:
    """Allocations by level, created on first use so that thousands of unused levels cost nothing."""

    def __init__(self, tree: Tree, cache: StoreCache) -> None:
        self.tree = tree
        self.cache = cache
        #: by record name
        self.by_name: dict[str, Allocation] = {}
        self._caps: dict[int, Allocation] = {}
        self._guarantees: dict[int, Allocation] = {}
        #: by record name: the level of each cap of which shards hold more than there is
        self.exceeded_caps: dict[str, int] = {}
        #: the newest version of the tree that any controller has
        self.newest_version = tree.version
        #: this controller's tree is older, or has the same version with other amounts
        self.tree_outdated = False

    def for_cap(self, level: int) -> Allocation:
        """The allocation of a level's cap."""
        return self._caps.get(level) or self._create(self._caps, level, AmountKind.CAP)

    def for_guarantee(self, level: int) -> Allocation:
        """The allocation of a level's guarantee."""
        return self._guarantees.get(level) or self._create(self._guarantees, level, AmountKind.GUARANTEE)

    def for_level_amount(self, amount: LevelAmount) -> Allocation:
        """The allocation of a level's cap or of its guarantee."""
        return self.for_cap(amount.level) if amount.kind is AmountKind.CAP else self.for_guarantee(amount.level)

    def _create(self, allocations: dict[int, Allocation], index: int, kind: AmountKind) -> Allocation:
        level = self.tree.levels[index]
        name = grant_name(level.name, kind)
        total = level.cap if kind is AmountKind.CAP else level.guarantee
        allocation = Allocation(grant_key(name), total, self.tree.version, level.parent)
        allocations[index] = self.by_name[name] = allocation
        self.grant_record_changed(name)
        return allocation

    def level_amount(self, key: str) -> LevelAmount | None:
        """The level and kind of the allocation with this key; None if the tree has no such level."""
        kind, _, name = key[len(grant_key("")) :].partition("/")
        level = self.tree.by_name.get(unquote(name))
        if level is None or kind not in _AMOUNT_KINDS:
            return None
        return LevelAmount(level.index, AmountKind(kind))

    def grant_record_changed(self, name: str) -> None:
        """Update an allocation whose record has changed in the cache."""
        allocation = self.by_name.get(name)
        if allocation is None:
            return
        record: GrantRecord | None = self.cache.by_kind[GRANT].get(name)
        allocation.record_changed(record, self.cache.mod_revision(allocation.key))
        level_amount = self.level_amount(allocation.key)
        if level_amount is not None and level_amount.kind is AmountKind.CAP and min(allocation.pool()) < 0:
            self.exceeded_caps[name] = level_amount.level
        else:
            self.exceeded_caps.pop(name, None)

    def is_current(self, level: int) -> bool:
        """Whether this controller knows the limits in force for the level.

        With an outdated tree, it does if the level's record was written from the newest tree and has the same parent.
        """
        if not self.tree_outdated:
            return True
        allocation = self.for_cap(level)
        record = allocation.record
        return record is not None and record.version >= self.newest_version and record.parent == allocation.parent
