"""The purses of a tree as one controller knows them, and their keys in the state service."""

from urllib.parse import quote, unquote

import msgspec

from quinceslip.quota.allocation import Allocation, GrantRecord
from quinceslip.quota.tree import Tree
from quinceslip.storage import records
from quinceslip.storage.cache import StoreCache

GRANT, WANT, TREE = "grant", "want", "tree"
CAP, OWN = "cap", "own"
TREE_KEY = f"{records.PREFIX}{TREE}"


class TreeRecord(msgspec.Struct):
    """The newest tree that any controller was started with."""

    version: int
    digest: str


class Wanted(msgspec.Struct):
    """One claim that a shard cannot meet from the pools."""

    team: str
    unit: list[int]
    #: by key of a purse, how much the shard lacks
    lacks: dict[str, list[int]]
    #: 0 where machines have room for it; priority; acceptance; id
    order: tuple[int, int, int, str]
    #: names of levels within whose guarantee it would be
    rests_on: list[str]


class WantRecord(msgspec.Struct, omit_defaults=True):
    """What one shard asks the others for."""

    claims: list[Wanted] = []
    #: by key of a purse, how much of guarantees what runs and waits there lacks
    own: dict[str, list[int]] = {}


def grant_name(level: str, kind: str) -> str:
    return f"{kind}/{quote(level, safe='')}"


def want_key(shard: int) -> str:
    return f"{records.PREFIX}{WANT}/{shard}"


class Allocations:
    """Made as they are asked for: thousands of levels that nobody uses cost nothing."""

    def __init__(self, tree: Tree, cache: StoreCache) -> None:
        self.tree = tree
        self.cache = cache
        self.by_name: dict[str, Allocation] = {}
        self._caps: dict[int, Allocation] = {}
        self._owns: dict[int, Allocation] = {}
        #: purses of which more is held than there is
        self.exceeded: dict[str, int] = {}
        #: the newest version of the tree that any controller has, and whether this one's is older
        self.newest_version = tree.version
        self.tree_outdated = False

    def for_cap(self, level: int) -> Allocation:
        return self._caps.get(level) or self._make(self._caps, level, CAP)

    def for_guarantee(self, level: int) -> Allocation:
        return self._owns.get(level) or self._make(self._owns, level, OWN)

    def _make(self, found: dict[int, Allocation], level: int, kind: str) -> Allocation:
        place = self.tree.levels[level]
        name = grant_name(place.name, kind)
        total = place.cap if kind == CAP else place.guarantee
        allocation = found[level] = self.by_name[name] = Allocation(
            f"{records.PREFIX}{GRANT}/{name}", total, self.tree.version, place.parent
        )
        self.changed(name)
        return allocation

    def place(self, key: str) -> tuple[int, str] | None:
        """The level and the kind that a key stands for; None where this tree has no such level."""
        kind, _, name = key[len(f"{records.PREFIX}{GRANT}/") :].partition("/")
        level = self.tree.by_name.get(unquote(name))
        return (level.index, kind) if level is not None and kind in (CAP, OWN) else None

    def changed(self, name: str) -> None:
        """The record of a purse is another one in the view."""
        allocation = self.by_name.get(name)
        if allocation is None:
            return
        record: GrantRecord | None = self.cache.by_kind[GRANT].get(name)
        allocation.record_changed(record, self.cache.mod_revision(allocation.key))
        place = self.place(allocation.key)
        if place is not None and place[1] == CAP and min(allocation.pool()) < 0:
            self.exceeded[name] = place[0]
        else:
            self.exceeded.pop(name, None)

    def is_current(self, level: int) -> bool:
        """Whether this controller knows what rules the level.

        One with an older tree does where a newer one has written the level's record with the same place.
        """
        if not self.tree_outdated:
            return True
        record = self.for_cap(level).record
        return (
            record is not None and record.version >= self.newest_version and record.parent == self.for_cap(level).parent
        )
