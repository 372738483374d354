"""A simulated key-value store: compare-and-swap transactions, leases, watch events, outages and late writes."""

import json
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from tests.simulation.clock import SECOND_US
from tests.simulation.faults import LateTransactions, LostAnswers, LostHandOver, SlowAnswers

if TYPE_CHECKING:
    from tests.simulation.world import World

#: interval between searches for expired leases
EXPIRY_PERIOD_US = 20_000
#: maximum number of conditions of a transaction, per change that it may have
CONDITIONS_PER_CHANGE = 4

#: keys have no spaces and at most this length (PROTOCOL)
MAX_KEY_BYTES = 200

QUOTA_KINDS = ("grant", "want", "tree")
JOB_KINDS = ("job", "part")


class Record(NamedTuple):
    """The value of one key; the key is dropped when its lease expires."""

    value: Any
    mod_revision: int
    lease: int | None


class Lease(NamedTuple):
    """The time to live of a lease after each renewal, and its expiry."""

    ttl_us: int
    expires_us: int


class SimulatedStore:
    """The key-value service, with the faults that scenarios inject."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.revision = 0
        self.data: dict[str, Record] = {}
        self.leases: dict[int, Lease] = {}
        self.next_lease = 1
        self.history: list[dict[str, Any]] = []  # all events that a watch can deliver
        self.down_until_us = 0
        self.page_gap_us = 0  # time between two pages of a listing; 0: one page
        self.limits: dict[str, float] = {}  # overrides that are lower than the settings' limits
        # Faults by the controller that they affect.
        self.refused_until_us: dict[str, int] = {}  # until when it gets only 503 answers
        self.late_transactions: dict[str, LateTransactions] = {}
        self.lost_transaction_answers: dict[str, LostAnswers] = {}
        self.lost_hand_overs: dict[str, LostHandOver] = {}
        self.slow_answers: dict[str, SlowAnswers] = {}
        # Counters that scenarios check.
        self.answers_lost = 0
        self.refused_changes: list[str] = []  # changes of transactions rejected for exceeding the limits
        self.change_requests: Counter[str] = Counter()  # requested changes by key, executed or not
        self.job_writes = 0  # number of changes to records of jobs and their partitions
        self.job_writes_in_second: Counter[int] = Counter()
        self.quota_writes = 0
        self.quota_writes_in_second: Counter[int] = Counter()
        world.after(EXPIRY_PERIOD_US, self._expire_leases)

    def outage(self, length_us: int) -> None:
        """Answer no call for `length_us`; every lease then lasts its full time to live after the outage."""
        self.down_until_us = self.world.now_us + length_us
        self.leases = {lease: Lease(ttl_us, self.down_until_us + ttl_us) for lease, (ttl_us, _) in self.leases.items()}

    def is_reachable(self, controller: str) -> bool:
        """Whether the store answers this controller now."""
        return self.world.now_us >= max(self.down_until_us, self.refused_until_us.get(controller, 0))

    def answer(self, controller: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Execute a call and return its status and body; an empty `controller` is exempt from refusals."""
        if path == "/txn":
            self.change_requests.update(_key(change) for change in body.get("then", []))
        if not self.is_reachable(controller):
            return 503, {"error": "unavailable"}
        if path == "/txn":
            if any(
                " " in _key(change) or len(_key(change).encode()) > MAX_KEY_BYTES for change in body.get("then", [])
            ):
                return 400, {"error": "malformed key"}
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
                self._expire_lease(lease)
        self.world.after(EXPIRY_PERIOD_US, self._expire_leases)

    def _expire_lease(self, lease: int) -> None:
        """Drop the records of a lease, each in its own revision."""
        del self.leases[lease]
        for key in [key for key, record in self.data.items() if record.lease == lease]:
            self.revision += 1
            self._drop(key)

    # Transactions.

    def _transact(self, body: Any) -> tuple[int, Any]:
        """Apply all changes if every condition holds; otherwise answer 409 with the keys whose conditions failed."""
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
        self._count_writes(changes)
        if any(_claims_shard(change) for change in changes):
            self.world.on_shard_claimed()
        for change in changes:
            self._apply(change)
        return 200, {"ledger": self.revision}

    def _mod_revision(self, key: str) -> int:
        record = self.data.get(key)
        return 0 if record is None else record.mod_revision

    def _is_over_limits(self, conditions: int, changes: list[dict[str, Any]]) -> bool:
        """Whether a transaction exceeds the present limits.

        Raises AssertionError, which fails the run, if it exceeds those of the settings.
        """
        sizes = [len(json.dumps(c["v"], separators=(",", ":")).encode()) for c in changes if "write" in c]
        largest = max(sizes, default=0)
        facts = self.world.facts["state"]
        assert len(changes) <= facts["txn_ops"], "transaction has too many changes"
        assert largest <= facts["value_kb"] * 1024, "transaction has too large a value"
        max_changes = self.limits.get("txn_ops", facts["txn_ops"])
        max_value = 1024 * self.limits.get("value_kb", facts["value_kb"])
        return bool(
            len(changes) > max_changes or conditions > CONDITIONS_PER_CHANGE * max_changes or largest > max_value
        )

    def _count_writes(self, changes: list[dict[str, Any]]) -> None:
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
    """The kind of the changed record: the second part of its key."""
    return _key(change).split("/")[1]


def _claims_shard(change: dict[str, Any]) -> bool:
    """Whether a change makes a controller the leader of a shard; such a record is bound to a lease."""
    return "write" in change and "hold" in change and _kind(change) == "shard"
