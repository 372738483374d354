"""The allocations of all levels as one controller knows them."""

from typing import NamedTuple
from urllib.parse import unquote

from quinceslip.quota.allocation import Allocation
from quinceslip.quota.quota_records import GRANT, AmountKind, GrantRecord, grant_key, grant_name
from quinceslip.quota.tree import Tree
from quinceslip.storage.cache import StoreCache

_AMOUNT_KINDS = frozenset(AmountKind)


class LevelAmount(NamedTuple):
    """What an allocation is of."""

    level: int
    kind: AmountKind


class Allocations:
    """Made as they are asked for: thousands of levels that nobody uses cost nothing."""

    def __init__(self, tree: Tree, cache: StoreCache) -> None:
        self.tree = tree
        self.cache = cache
        #: by name of the record
        self.by_name: dict[str, Allocation] = {}
        self._caps: dict[int, Allocation] = {}
        self._guarantees: dict[int, Allocation] = {}
        #: names of caps of which more is held than there is, with their level
        self.exceeded_caps: dict[str, int] = {}
        #: the newest version of the tree that any controller has, and whether this one's is older
        self.newest_version = tree.version
        self.tree_outdated = False

    def for_cap(self, level: int) -> Allocation:
        """The allocation of a level's cap."""
        return self._caps.get(level) or self._make(self._caps, level, AmountKind.CAP)

    def for_guarantee(self, level: int) -> Allocation:
        """The allocation of a level's guarantee."""
        return self._guarantees.get(level) or self._make(self._guarantees, level, AmountKind.GUARANTEE)

    def for_level_amount(self, amount: LevelAmount) -> Allocation:
        """The allocation of a level's cap or of its guarantee."""
        return self.for_cap(amount.level) if amount.kind is AmountKind.CAP else self.for_guarantee(amount.level)

    def _make(self, allocations: dict[int, Allocation], index: int, kind: AmountKind) -> Allocation:
        level = self.tree.levels[index]
        name = grant_name(level.name, kind)
        total = level.cap if kind is AmountKind.CAP else level.guarantee
        allocation = Allocation(grant_key(name), total, self.tree.version, level.parent)
        allocations[index] = self.by_name[name] = allocation
        self.changed(name)
        return allocation

    def place(self, key: str) -> LevelAmount | None:
        """What the allocation with that key is of; None where this tree has no such level."""
        kind, _, name = key[len(grant_key("")) :].partition("/")
        level = self.tree.by_name.get(unquote(name))
        if level is None or kind not in _AMOUNT_KINDS:
            return None
        return LevelAmount(level.index, AmountKind(kind))

    def changed(self, name: str) -> None:
        """The cache has another record of an allocation."""
        allocation = self.by_name.get(name)
        if allocation is None:
            return
        record: GrantRecord | None = self.cache.by_kind[GRANT].get(name)
        allocation.record_changed(record, self.cache.mod_revision(allocation.key))
        place = self.place(allocation.key)
        if place is not None and place.kind is AmountKind.CAP and min(allocation.pool()) < 0:
            self.exceeded_caps[name] = place.level
        else:
            self.exceeded_caps.pop(name, None)

    def is_current(self, level: int) -> bool:
        """Whether this controller knows what rules the level.

        One with an older tree does where a newer one has written the level's record with the same parent.
        """
        if not self.tree_outdated:
            return True
        allocation = self.for_cap(level)
        record = allocation.record
        return record is not None and record.version >= self.newest_version and record.parent == allocation.parent
