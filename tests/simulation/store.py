"""A simulated key-value store: compare-and-swap, leases, watches, outages, writes that are carried out late."""

import json
from typing import TYPE_CHECKING, Any

from tests.simulation.clock import US
from tests.simulation.faults import LateTransactions, LostAnswers, LostHandOver, SlowAnswers

if TYPE_CHECKING:
    from tests.simulation.world import World


class SimulatedStore:
    """The key-value service: conditional writes, holds, watches, outages, late transactions."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.revision = 0
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.holds: dict[int, tuple[int, int]] = {}  # id -> (life, ends)
        self.next_hold = 1
        self.history: list[dict[str, Any]] = []
        self.down_until_us = 0
        self.refused: dict[str, int] = {}  # controller -> until
        self.late: dict[str, LateTransactions] = {}  # by controller, as are all of these
        self.unanswered: dict[str, LostAnswers] = {}
        self.answers_lost = 0
        self.hand_over_lost: dict[str, LostHandOver] = {}
        self.slow: dict[str, SlowAnswers] = {}
        self.page_gap_us = 0  # a listing comes in pages, with so long between two of them
        self.limits: dict[str, float] = {}  # lower ones than the settings', since some moment
        self.too_large: list[str] = []  # changes that were refused for them
        self.asked_keys: dict[str, int] = {}  # how often a change of a key was asked for, whatever came of it
        self.puts = 0  # on job records and their parts
        self.second: dict[int, int] = {}  # the same in each second
        self.grants = 0  # changes of quotas' records
        self.grants_in: dict[int, int] = {}  # the same in each second
        world.after(20_000, self._expire)

    def outage(self, length_us: int) -> None:
        self.down_until_us = self.world.now_us + length_us
        self.holds = {h: (life, self.down_until_us + life) for h, (life, _) in self.holds.items()}

    def _expire(self) -> None:
        now_us = self.world.now_us
        if now_us >= self.down_until_us:
            for hold in [h for h, (_, ends) in self.holds.items() if ends < now_us]:
                self._end(hold)
        self.world.after(20_000, self._expire)

    def _end(self, hold: int) -> None:
        self.holds.pop(hold, None)
        for key in [k for k, (_, _, h) in self.data.items() if h == hold]:
            self.revision += 1
            del self.data[key]
            self.history.append({"drop": key, "stamp": self.revision})

    def reachable(self, who: str) -> bool:
        return self.world.now_us >= max(self.down_until_us, self.refused.get(who, 0))

    def answer(self, who: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        for op in body.get("then", []) if path == "/txn" else ():
            key = op.get("write") or op["drop"]
            self.asked_keys[key] = self.asked_keys.get(key, 0) + 1
        if not self.reachable(who):
            return 503, {"error": "unavailable"}
        if path == "/txn":
            return self._txn(body)
        if path == "/holds":
            life_us = body["lifeMs"] * 1000
            hold, self.next_hold = self.next_hold, self.next_hold + 1
            self.holds[hold] = (life_us, self.world.now_us + life_us)
            return 200, {"hold": hold}
        if path.endswith("/renew"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return 404, {}
            life_us = self.holds[hold][0]
            self.holds[hold] = (life_us, self.world.now_us + life_us)
            return 200, {"hold": hold}
        key = path[len("/kv/") :]
        if key in self.data:
            value, mod_revision, _ = self.data[key]
            return 200, {"k": key, "v": value, "stamp": mod_revision}
        return 404, {"ledger": self.revision}

    def _txn(self, body: Any) -> tuple[int, Any]:
        failed = [c["k"] for c in body["if"] if self.data.get(c["k"], (0, 0, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        ops = body.get("then", [])
        if any(op.get("hold") is not None and op["hold"] not in self.holds for op in ops):
            return 400, {"error": "no such lease"}
        facts = self.world.facts["state"]
        assert len(ops) <= facts["txn_ops"], "too many changes"
        sizes = [len(json.dumps(op["v"], separators=(",", ":")).encode()) for op in ops if "write" in op]
        assert max(sizes, default=0) <= facts["value_kb"] * 1024, "too large a value"
        most = self.limits.get("txn_ops", facts["txn_ops"])
        if (
            len(ops) > most
            or len(body["if"]) > 4 * most
            or max(sizes, default=0) > 1024 * self.limits.get("value_kb", facts["value_kb"])
        ):
            self.too_large.append(json.dumps(ops))
            return 400, {"error": "over the limits"}
        if ops:
            self.revision += 1
        kinds = [(op.get("write") or op["drop"]).split("/")[1] for op in ops]
        grants = sum(kind in ("grant", "want", "tree") for kind in kinds)
        self.grants += grants
        self.grants_in[self.world.now_us // US] = self.grants_in.get(self.world.now_us // US, 0) + grants
        count = sum(kind in ("job", "part") for kind in kinds)
        self.puts += count
        if any("hold" in op and op["write"].split("/")[1] == "shard" for op in ops if "write" in op):
            self.world.claimed()
        now_s = self.world.now_us // US
        self.second[now_s] = self.second.get(now_s, 0) + count
        for op in ops:
            if "write" in op:
                value = json.loads(json.dumps(op["v"]))
                self.data[op["write"]] = (value, self.revision, op.get("hold"))
                self.history.append({"write": op["write"], "v": value, "stamp": self.revision})
            elif op["drop"] in self.data:
                del self.data[op["drop"]]
                self.history.append({"drop": op["drop"], "stamp": self.revision})
        return 200, {"ledger": self.revision}
