"""Messages of the consensus-backed key-value store: leases, compare-and-swap, listings and the watch."""

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import Struct, field

PATH_TXN = "/txn"
PATH_LEASES = "/holds"
PATH_KV = "/kv"
#: in the 400 to a compare-and-swap whose lease has ended (PROTOCOL); any other 400 refuses the changes themselves
NO_LEASE = b"no such lease"
#: records on one page of a listing
LIST_PAGE = 500


class LeaseAnswer(Struct):
    """The id of a lease that was created."""

    lease_id: int = field(name="hold")


class CompareAndSwapAnswer(Struct):
    """The store's revision, and the keys whose condition failed."""

    revision: int = field(name="ledger")
    failed: list[str] = []


class Item(Struct):
    """A record of a listing, with the revision that last changed it."""

    key: str = field(name="k")
    value: msgspec.Raw = field(name="v")
    mod_revision: int = field(name="stamp")


class Listing(Struct):
    """One page of a listing."""

    items: list[Item]
    revision: int = field(name="ledger")
    more: bool = field(name="hasNext", default=False)


class Event(Struct):
    """A change of one record: the key that was put, or the key that was deleted."""

    mod_revision: int = field(name="stamp")
    put: str | None = field(name="write", default=None)
    delete: str | None = field(name="drop", default=None)
    value: msgspec.Raw = field(name="v", default=msgspec.Raw(b""))


class Changes(Struct):
    """The answer to a watch: what has changed up to a revision."""

    revision: int = field(name="ledger")
    events: list[Event] = []


def lease_request(ttl_us: int) -> dict[str, Any]:
    """A lease that ends unless it is renewed within this time."""
    return {"lifeMs": ttl_us // 1000}


def renew_path(lease: int) -> str:
    """Where a lease is renewed."""
    return f"{PATH_LEASES}/{lease}/renew"


def list_path(prefix: str, after: str, limit: int = LIST_PAGE) -> str:
    """The page of a listing that begins after a key."""
    return f"{PATH_KV}?under={prefix}&since={after}&most={limit}"


def watch_path(prefix: str, revision: int, wait_ms: int) -> str:
    """A long poll for what has changed after a revision."""
    return f"/changes?under={prefix}&since={revision}&holdMs={wait_ms}"


def compare_and_swap_request(
    conditions: dict[str, int], puts: Mapping[str, tuple[Any, int | None]], drops: list[str]
) -> dict[str, Any]:
    """Change records if each condition holds: the revision that last changed a key (0: there is no such record).

    A put is a value and the lease it is attached to (None: it stays).
    """
    operations: list[dict[str, Any]] = []
    for key, (value, lease) in puts.items():
        operation: dict[str, Any] = {"write": key, "v": value}
        if lease is not None:
            operation["hold"] = lease
        operations.append(operation)
    operations += [{"drop": key} for key in drops]
    return {
        "if": [{"k": key, "stamp": mod_revision} for key, mod_revision in conditions.items()],
        "then": operations,
    }
