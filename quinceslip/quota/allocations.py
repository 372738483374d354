"""The allocations of all levels as one controller knows them, with their records and keys in the key-value store."""

from typing import NamedTuple
from urllib.parse import quote, unquote

import msgspec

from quinceslip.quota.allocation import Allocation, GrantRecord
from quinceslip.quota.tree import Tree
from quinceslip.storage import records
from quinceslip.storage.cache import StoreCache

#: kinds of records
GRANT, WANT, TREE = "grant", "want", "tree"
#: what an allocation is of, as its key says: the cap of a level, or its guarantee
CAP, OWN = "cap", "own"
TREE_KEY = f"{records.PREFIX}{TREE}"


class TreeRecord(msgspec.Struct):
    """The newest tree that any controller was started with."""

    version: int
    digest: str


class DemandOrder(NamedTuple):
    """Which of two unmet demands comes first: the smaller one, a total order over all shards."""

    #: 0 where machines have room for it, else 1
    without_machines: int
    priority: int
    submitted_us: int
    job_id: str


class Wanted(msgspec.Struct):
    """One unmet demand that a shard cannot meet from the pools."""

    team: str
    unit: list[int]
    #: by key of an allocation, how much the shard lacks
    shortfall: dict[str, list[int]] = msgspec.field(name="lacks")
    order: DemandOrder
    #: names of levels within whose guarantee it would be
    covering_guarantees: list[str] = msgspec.field(name="rests_on")


class WantRecord(msgspec.Struct, omit_defaults=True):
    """What one shard asks the others for."""

    demands: list[Wanted] = msgspec.field(name="claims", default_factory=list)
    #: by key of an allocation, how much of guarantees the running and waiting tasks of the shard lack
    guarantees: dict[str, list[int]] = msgspec.field(name="own", default_factory=dict)


def grant_name(level: str, kind: str) -> str:
    """The name of the record of a level's cap or guarantee, beneath the kind `grant`."""
    return f"{kind}/{quote(level, safe='')}"


def want_key(shard: int) -> str:
    """The key of the record of what a shard asks the others for."""
    return f"{records.PREFIX}{WANT}/{shard}"


class LevelAmount(NamedTuple):
    """What an allocation is of."""

    level: int
    #: CAP or OWN
    kind: str


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
        self.exceeded: dict[str, int] = {}
        #: the newest version of the tree that any controller has, and whether this one's is older
        self.newest_version = tree.version
        self.tree_outdated = False

    def for_cap(self, level: int) -> Allocation:
        """The allocation of a level's cap."""
        return self._caps.get(level) or self._make(self._caps, level, CAP)

    def for_guarantee(self, level: int) -> Allocation:
        """The allocation of a level's guarantee."""
        return self._guarantees.get(level) or self._make(self._guarantees, level, OWN)

    def of(self, amount: LevelAmount) -> Allocation:
        """The allocation of a level's cap or of its guarantee."""
        return self.for_cap(amount.level) if amount.kind == CAP else self.for_guarantee(amount.level)

    def _make(self, allocations: dict[int, Allocation], index: int, kind: str) -> Allocation:
        level = self.tree.levels[index]
        name = grant_name(level.name, kind)
        total = level.cap if kind == CAP else level.guarantee
        allocation = Allocation(f"{records.PREFIX}{GRANT}/{name}", total, self.tree.version, level.parent)
        allocations[index] = self.by_name[name] = allocation
        self.changed(name)
        return allocation

    def place(self, key: str) -> LevelAmount | None:
        """What the allocation with that key is of; None where this tree has no such level."""
        kind, _, name = key[len(f"{records.PREFIX}{GRANT}/") :].partition("/")
        level = self.tree.by_name.get(unquote(name))
        if level is None or kind not in (CAP, OWN):
            return None
        return LevelAmount(level.index, kind)

    def changed(self, name: str) -> None:
        """The cache has another record of an allocation."""
        allocation = self.by_name.get(name)
        if allocation is None:
            return
        record: GrantRecord | None = self.cache.by_kind[GRANT].get(name)
        allocation.record_changed(record, self.cache.mod_revision(allocation.key))
        place = self.place(allocation.key)
        if place is not None and place.kind == CAP and min(allocation.pool()) < 0:
            self.exceeded[name] = place.level
        else:
            self.exceeded.pop(name, None)

    def is_current(self, level: int) -> bool:
        """Whether this controller knows what rules the level.

        One with an older tree does where a newer one has written the level's record with the same parent.
        """
        if not self.tree_outdated:
            return True
        allocation = self.for_cap(level)
        record = allocation.record
        return record is not None and record.version >= self.newest_version and record.parent == allocation.parent
