"""Quota records in the key-value store, and their keys."""

from enum import StrEnum
from typing import NamedTuple
from urllib.parse import quote

import msgspec

from quinceslip.storage import records

#: kinds of records: the shards' grants from one allocation, one shard's unmet demand, and the tree in force
GRANT, WANT, TREE = "grant", "want", "tree"
#: the key of the only tree record
TREE_KEY = f"{records.PREFIX}{TREE}"


class AmountKind(StrEnum):
    """Whether an allocation divides a level's cap or its guarantee; the value is part of the record's key."""

    CAP = "cap"
    GUARANTEE = "own"


class GrantRecord(msgspec.Struct, omit_defaults=True):
    """The grants of one allocation to each shard, in units of `amounts.Amounts`; unlimited resources stay 0."""

    #: the version of the tree that `total` comes from
    version: int
    total: list[int]
    #: the parent level at the time of writing; a level with another parent counts as a different level
    parent: str = ""
    #: by shard
    parts: dict[str, list[int]] = {}


class TreeRecord(msgspec.Struct):
    """The newest tree that any controller was started with."""

    version: int
    digest: str


class DemandOrder(NamedTuple):
    """Total order of unmet demands over all shards; the smallest comes first."""

    #: 0 if workers have room for it, else 1
    lacks_machines: int
    priority: int
    submitted_us: int
    job_id: str


class PublishedDemand(msgspec.Struct):
    """An unmet demand that the shard cannot cover from the pools."""

    team: str
    unit: list[int]
    #: missing amounts by allocation key
    shortfall: dict[str, list[int]] = msgspec.field(name="lacks")
    order: DemandOrder
    #: names of the levels whose guarantees cover the demand
    covering_guarantees: list[str] = msgspec.field(name="rests_on")


class WantRecord(msgspec.Struct, omit_defaults=True):
    """The amounts that one shard requests from the others."""

    demands: list[PublishedDemand] = msgspec.field(name="claims", default_factory=list)
    #: guaranteed amounts that the shard's running and waiting tasks are missing, by allocation key
    guarantees: dict[str, list[int]] = msgspec.field(name="own", default_factory=dict)


def grant_name(level: str, kind: str) -> str:
    """Return the name of the record of a level's cap or guarantee within the kind `grant`."""
    return f"{kind}/{quote(level, safe='')}"


def grant_key(name: str) -> str:
    """Return the key of the grant record with this name."""
    return f"{records.PREFIX}{GRANT}/{name}"


def want_key(shard: int) -> str:
    """Return the key of the record with a shard's requests to the others."""
    return f"{records.PREFIX}{WANT}/{shard}"


def shard_of_want_record(name: str) -> int | None:
    """Return the shard whose requests a want record of this name holds; None if it names no shard."""
    return int(name) if name.isascii() and name.isdecimal() else None
