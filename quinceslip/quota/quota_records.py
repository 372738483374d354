"""The records of quotas in the key-value store, and their keys."""

from enum import StrEnum
from typing import NamedTuple
from urllib.parse import quote

import msgspec

from quinceslip.storage import records

#: kinds of records: what shards hold of one amount, what one shard lacks, and the tree in force
GRANT, WANT, TREE = "grant", "want", "tree"
#: the key of the one record of its kind
TREE_KEY = f"{records.PREFIX}{TREE}"


class AmountKind(StrEnum):
    """What an allocation is of, as its key says: the cap of a level, or its guarantee."""

    CAP = "cap"
    GUARANTEE = "own"


class GrantRecord(msgspec.Struct, omit_defaults=True):
    """What each shard holds of one allocation, in units of `amounts.Amounts`; uncapped resources stay 0."""

    #: the version of the tree whose amounts this is
    version: int
    total: list[int]
    #: the level above when it was written: a level that moved is another level
    parent: str = ""
    #: by shard
    parts: dict[str, list[int]] = {}


class TreeRecord(msgspec.Struct):
    """The newest tree that any controller was started with."""

    version: int
    digest: str


class DemandOrder(NamedTuple):
    """Which of two unmet demands comes first: the smaller one, a total order over all shards."""

    #: 0 where machines have room for it, else 1
    lacks_machines: int
    priority: int
    submitted_us: int
    job_id: str


class PublishedDemand(msgspec.Struct):
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

    demands: list[PublishedDemand] = msgspec.field(name="claims", default_factory=list)
    #: by key of an allocation, how much of guarantees the running and waiting tasks of the shard lack
    guarantees: dict[str, list[int]] = msgspec.field(name="own", default_factory=dict)


def grant_name(level: str, kind: str) -> str:
    """The name of the record of a level's cap or guarantee, beneath the kind `grant`."""
    return f"{kind}/{quote(level, safe='')}"


def grant_key(name: str) -> str:
    """The key of the record with that name."""
    return f"{records.PREFIX}{GRANT}/{name}"


def want_key(shard: int) -> str:
    """The key of the record of what a shard asks the others for."""
    return f"{records.PREFIX}{WANT}/{shard}"
