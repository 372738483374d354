"""Messages of the consensus-backed key-value store: leases, compare-and-swap, listings and watches."""

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import Struct, field

PATH_TXN = "/txn"
PATH_LEASES = "/holds"
PATH_KV = "/kv"
#: text in the 400 response to a compare-and-swap whose lease has expired (PROTOCOL); any other 400 rejects the changes
NO_LEASE = b"no such lease"
#: maximum number of records per page of a listing
RECORDS_PER_PAGE = 500


class LeaseAnswer(Struct):
    """The answer to a lease request: the id of the new lease."""

    lease_id: int = field(name="hold")


class CompareAndSwapAnswer(Struct):
    """The answer to a compare-and-swap: the store revision, and the keys whose conditions failed."""

    revision: int = field(name="ledger")
    failed: list[str] = []


class Item(Struct):
    """A record in a listing, with the revision of its last change."""

    key: str = field(name="k")
    value: msgspec.Raw = field(name="v")
    mod_revision: int = field(name="stamp")


class Listing(Struct):
    """One page of a listing."""

    items: list[Item]
    revision: int = field(name="ledger")
    more: bool = field(name="hasNext", default=False)


class Event(Struct):
    """A change of one record: `put` is the key that was written, or `delete` the key that was deleted."""

    mod_revision: int = field(name="stamp")
    put: str | None = field(name="write", default=None)
    delete: str | None = field(name="drop", default=None)
    value: msgspec.Raw = field(name="v", default=msgspec.Raw(b""))


class Changes(Struct):
    """The answer to a watch: the changes up to a revision."""

    revision: int = field(name="ledger")
    events: list[Event] = []


def lease_request(ttl_us: int) -> dict[str, Any]:
    """Build the body of a request for a lease that expires unless it is renewed within this time."""
    return {"lifeMs": ttl_us // 1000}


def renew_path(lease: int) -> str:
    """Build the path for renewing a lease."""
    return f"{PATH_LEASES}/{lease}/renew"


def list_path(prefix: str, after: str, limit: int = RECORDS_PER_PAGE) -> str:
    """Build the path of a listing's page that begins after the given key."""
    return f"{PATH_KV}?under={prefix}&since={after}&most={limit}"


def watch_path(prefix: str, revision: int, wait_ms: int) -> str:
    """Build the path of a watch: a long poll for changes after a revision."""
    return f"/changes?under={prefix}&since={revision}&holdMs={wait_ms}"


def compare_and_swap_request(
    conditions: dict[str, int], puts: Mapping[str, tuple[Any, int | None]], deletions: list[str]
) -> dict[str, Any]:
    """Build a compare-and-swap: the changes are made if all conditions hold.

    `conditions` has the revision of the last change expected of each key (0: no such record). `puts` has the new value
    of each key and the lease that the record is attached to (None: no lease, the record is permanent).
    """
    operations: list[dict[str, Any]] = []
    for key, (value, lease) in puts.items():
        operation: dict[str, Any] = {"write": key, "v": value}
        if lease is not None:
            operation["hold"] = lease
        operations.append(operation)
    operations += [{"drop": key} for key in deletions]
    return {
        "if": [{"k": key, "stamp": mod_revision} for key, mod_revision in conditions.items()],
        "then": operations,
    }
