"""A simulated key-value store: compare-and-swap, leases, watches, outages, writes that are carried out late."""

import json
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from tests.simulation.clock import SECOND_US
from tests.simulation.faults import LateTransactions, LostAnswers, LostHandOver, SlowAnswers

if TYPE_CHECKING:
    from tests.simulation.world import World

#: how often leases that have expired are looked for
EXPIRY_PERIOD_US = 20_000
#: a transaction may have so many conditions for each change that it may have
CONDITIONS_PER_CHANGE = 4

QUOTA_KINDS = ("grant", "want", "tree")
JOB_KINDS = ("job", "part")


class Record(NamedTuple):
    """The value of one key; it is dropped when its lease expires."""

    value: Any
    mod_revision: int
    lease: int | None


class Lease(NamedTuple):
    """How long a lease lasts after each renewal, and when it expires."""

    ttl_us: int
    expires_us: int


class SimulatedStore:
    """The key-value service, and the faults in it that scenarios ask for."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.revision = 0
        self.data: dict[str, Record] = {}
        self.leases: dict[int, Lease] = {}
        self.next_lease = 1
        self.history: list[dict[str, Any]] = []  # events of the watch
        self.down_until_us = 0
        self.page_gap_us = 0  # a listing comes in pages, with so long between two of them
        self.limits: dict[str, float] = {}  # lower ones than the settings', since some moment
        # Faults by the controller that they meet.
        self.refused_until_us: dict[str, int] = {}  # until when it is answered 503
        self.late_transactions: dict[str, LateTransactions] = {}
        self.lost_transaction_answers: dict[str, LostAnswers] = {}
        self.lost_hand_overs: dict[str, LostHandOver] = {}
        self.slow_answers: dict[str, SlowAnswers] = {}
        # What scenarios ask for.
        self.answers_lost = 0
        self.refused_changes: list[str] = []  # changes of transactions that were over the limits
        self.change_requests: Counter[str] = Counter()  # by key, whatever came of them
        self.job_writes = 0  # changes of records of jobs and their partitions
        self.job_writes_in_second: Counter[int] = Counter()
        self.quota_writes = 0
        self.quota_writes_in_second: Counter[int] = Counter()
        world.after(EXPIRY_PERIOD_US, self._expire_leases)

    def outage(self, length_us: int) -> None:
        """Answer nobody for so long; leases last as long after it as after a renewal."""
        self.down_until_us = self.world.now_us + length_us
        self.leases = {lease: Lease(ttl_us, self.down_until_us + ttl_us) for lease, (ttl_us, _) in self.leases.items()}

    def reachable(self, controller: str) -> bool:
        """Whether the store answers this controller now."""
        return self.world.now_us >= max(self.down_until_us, self.refused_until_us.get(controller, 0))

    def answer(self, controller: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Carry a call out; its status and body. `controller` is empty for one that no refusal stops."""
        if path == "/txn":
            self.change_requests.update(_key(change) for change in body.get("then", []))
        if not self.reachable(controller):
            return 503, {"error": "unavailable"}
        if path == "/txn":
            return self._transact(body)
        if path == "/holds":
            return self._create_lease(body["lifeMs"] * 1000)
        if path.endswith("/renew"):
            return self._renew_lease(int(path.split("/")[2]))
        return self._read(path.removeprefix("/kv/"))

    def _read(self, key: str) -> tuple[int, Any]:
        record = self.data.get(key)
        if record is None:
            return 404, {"ledger": self.revision}
        return 200, {"k": key, "v": record.value, "stamp": record.mod_revision}

    # Leases.

    def _create_lease(self, ttl_us: int) -> tuple[int, Any]:
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = Lease(ttl_us, self.world.now_us + ttl_us)
        return 200, {"hold": lease}

    def _renew_lease(self, lease: int) -> tuple[int, Any]:
        if lease not in self.leases:
            return 404, {}
        ttl_us = self.leases[lease].ttl_us
        self.leases[lease] = Lease(ttl_us, self.world.now_us + ttl_us)
        return 200, {"hold": lease}

    def _expire_leases(self) -> None:
        now_us = self.world.now_us
        if now_us >= self.down_until_us:
            for lease in [lease for lease, (_, expires_us) in self.leases.items() if expires_us < now_us]:
                self._expire(lease)
        self.world.after(EXPIRY_PERIOD_US, self._expire_leases)

    def _expire(self, lease: int) -> None:
        """Drop the records of a lease, each with a revision of its own."""
        del self.leases[lease]
        for key in [key for key, record in self.data.items() if record.lease == lease]:
            self.revision += 1
            self._drop(key)

    # Transactions.

    def _transact(self, body: Any) -> tuple[int, Any]:
        """Carry all changes out if each condition is met; 409 names the keys whose conditions fail."""
        failed = [c["k"] for c in body["if"] if self._mod_revision(c["k"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        changes = body.get("then", [])
        if any(change.get("hold") is not None and change["hold"] not in self.leases for change in changes):
            return 400, {"error": "no such lease"}
        if self._is_over_limits(len(body["if"]), changes):
            self.refused_changes.append(json.dumps(changes))
            return 400, {"error": "over the limits"}
        if changes:
            self.revision += 1
        self._count(changes)
        if any(_claims_shard(change) for change in changes):
            self.world.shard_claimed()
        for change in changes:
            self._apply(change)
        return 200, {"ledger": self.revision}

    def _mod_revision(self, key: str) -> int:
        record = self.data.get(key)
        return 0 if record is None else record.mod_revision

    def _is_over_limits(self, conditions: int, changes: list[dict[str, Any]]) -> bool:
        """Whether a transaction is over the present limits; one over those of the settings fails the run."""
        sizes = [len(json.dumps(c["v"], separators=(",", ":")).encode()) for c in changes if "write" in c]
        largest = max(sizes, default=0)
        facts = self.world.facts["state"]
        assert len(changes) <= facts["txn_ops"], "too many changes"
        assert largest <= facts["value_kb"] * 1024, "too large a value"
        max_changes = self.limits.get("txn_ops", facts["txn_ops"])
        max_value = 1024 * self.limits.get("value_kb", facts["value_kb"])
        return bool(
            len(changes) > max_changes or conditions > CONDITIONS_PER_CHANGE * max_changes or largest > max_value
        )

    def _count(self, changes: list[dict[str, Any]]) -> None:
        second = self.world.now_us // SECOND_US
        kinds = [_kind(change) for change in changes]
        job_writes = sum(kind in JOB_KINDS for kind in kinds)
        quota_writes = sum(kind in QUOTA_KINDS for kind in kinds)
        self.job_writes += job_writes
        self.job_writes_in_second[second] += job_writes
        self.quota_writes += quota_writes
        self.quota_writes_in_second[second] += quota_writes

    def _apply(self, change: dict[str, Any]) -> None:
        if "write" in change:
            value = json.loads(json.dumps(change["v"]))
            self.data[change["write"]] = Record(value, self.revision, change.get("hold"))
            self.history.append({"write": change["write"], "v": value, "stamp": self.revision})
        elif change["drop"] in self.data:
            self._drop(change["drop"])

    def _drop(self, key: str) -> None:
        del self.data[key]
        self.history.append({"drop": key, "stamp": self.revision})


def _key(change: dict[str, Any]) -> str:
    key: str = change.get("write") or change["drop"]
    return key


def _kind(change: dict[str, Any]) -> str:
    """The kind of record that a change is about: the second part of its key."""
    return _key(change).split("/")[1]


def _claims_shard(change: dict[str, Any]) -> bool:
    """Whether a change makes a controller the leader of a shard: such records have a lease."""
    return "write" in change and "hold" in change and _kind(change) == "shard"
