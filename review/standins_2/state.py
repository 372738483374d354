"""A stand-in of the state service, as PROTOCOL describes it: versions, transactions, leases, watches and limits."""

import asyncio
import json
import time
from bisect import bisect_left, bisect_right, insort
from collections import deque
from typing import Any

from review.standins_2.wire import Server

KEPT_CHANGES = 10_000
MAX_PAGE_BYTES = 512 * 1024
MAX_TXN_BYTES = 64 * 1024


class Bucket:
    """Allows `rate` a second, with bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate = self.tokens = rate
        self.at = time.monotonic()

    def take(self, amount: int = 1) -> bool:
        """Take tokens if there are enough."""
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class State:
    """The store; while `outage` is set, it answers 503 to everybody."""

    def __init__(self, rps: float, write_rps: float, value_kb: float, txn_ops: int, latency_s: float) -> None:
        self.server = Server(self.handle)
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops, self.latency_s = int(value_kb * 1024), txn_ops, latency_s
        self.ledger = 0
        self.data: dict[str, tuple[str, int, int]] = {}  # value as JSON, stamp, hold
        self.keys: list[str] = []
        self.changes: deque[tuple[int, str, str]] = deque()  # stamp, key, event as JSON
        self.dropped_stamp = 0
        self.holds: dict[int, list[float]] = {}  # life and end, in seconds
        self.last_hold = 0
        self.outage = False
        self.answers: dict[int, int] = {}
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """End leases that were not renewed."""
        while True:
            await asyncio.sleep(0.05)
            if self.outage:
                continue
            now = time.monotonic()
            for hold in [hold for hold, (_, end) in self.holds.items() if end < now]:
                self._end_hold(hold)

    def end_outage(self) -> None:
        """End an outage: every lease has its full time again."""
        now = time.monotonic()
        self.holds = {hold: [life, now + life] for hold, (life, _) in self.holds.items()}
        self.outage = False

    def preload(self, records: dict[str, str]) -> None:
        """Add records of earlier days, each with a change of its own, as long as no controller runs."""
        for key, value in records.items():
            self.ledger += 1
            self.data[key] = (value, self.ledger, 0)
        self.keys = sorted(self.data)
        self.changes.clear()
        self.dropped_stamp = self.ledger

    async def handle(self, method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
        """Answer one request."""
        await asyncio.sleep(self.latency_s)
        status, answer = await self._handle(method, path, query, body)
        self.answers[status] = self.answers.get(status, 0) + 1
        return status, answer

    async def _handle(self, method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
        if self.outage:
            return 503, {"error": "trouble"}
        if not self.requests.take():
            return 429, {"error": "too many requests"}
        if path == "/changes":
            return await self._watch(query)
        if path == "/txn":
            return self._txn(body)
        if path == "/kv":
            return 200, self._page(query["under"], query.get("since", ""), min(1000, int(query.get("most", "1000"))))
        if path.startswith("/kv/"):
            key = path.removeprefix("/kv/")
            if key not in self.data:
                return 404, {"ledger": self.ledger}
            value, stamp, hold = self.data[key]
            return 200, {"k": key, "v": json.loads(value), "stamp": stamp, "hold": hold or None}
        return self._hold(method, path, body)

    def _hold(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        now = time.monotonic()
        if path == "/holds":
            self.last_hold += 1
            life = body["lifeMs"] / 1000
            self.holds[self.last_hold] = [life, now + life]
            return 200, {"hold": self.last_hold}
        hold = int(path.split("/")[2])
        if hold not in self.holds:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_hold(hold)
        else:
            self.holds[hold][1] = now + self.holds[hold][0]
        return 200, {}

    def _end_hold(self, hold: int) -> None:
        del self.holds[hold]
        attached = [key for key in self.keys if self.data[key][2] == hold]
        if attached:
            self.ledger += 1
            for key in attached:
                self._drop(key)
            self._notify()

    def _txn(self, body: Any) -> tuple[int, Any]:
        operations = body.get("then") or []
        conditions = body.get("if") or []
        sizes = [len(json.dumps(op["v"], separators=(",", ":")).encode()) for op in operations if "write" in op]
        if (
            len(operations) > self.txn_ops
            or len(conditions) > 4 * self.txn_ops
            or max(sizes, default=0) > self.value_bytes
            or len(json.dumps(body, separators=(",", ":")).encode()) > MAX_TXN_BYTES
        ):
            return 400, {"error": "too large"}
        if not self.writes.take(len(operations)):
            return 429, {"error": "too many changes"}
        if any(op.get("hold") and op["hold"] not in self.holds for op in operations):
            return 400, {"error": "no such lease"}
        failed = [c["k"] for c in conditions if (self.data[c["k"]][1] if c["k"] in self.data else 0) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if operations:
            self.ledger += 1
            for op in operations:
                if "write" in op:
                    self._write(op["write"], json.dumps(op["v"], separators=(",", ":")), op.get("hold") or 0)
                else:
                    self._drop(op["drop"])
            self._notify()
        return 200, {"ledger": self.ledger}

    def _write(self, key: str, value: str, hold: int) -> None:
        if key not in self.data:
            insort(self.keys, key)
        self.data[key] = (value, self.ledger, hold)
        self._add_change(key, f'{{"write":{json.dumps(key)},"v":{value},"stamp":{self.ledger}}}')

    def _drop(self, key: str) -> None:
        if self.data.pop(key, None) is not None:
            del self.keys[bisect_left(self.keys, key)]
            self._add_change(key, f'{{"drop":{json.dumps(key)},"stamp":{self.ledger}}}')

    def _add_change(self, key: str, event: str) -> None:
        self.changes.append((self.ledger, key, event))
        if len(self.changes) > KEPT_CHANGES:
            self.dropped_stamp = self.changes.popleft()[0]

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _page(self, prefix: str, since: str, most: int) -> bytes:
        start = max(bisect_left(self.keys, prefix), bisect_right(self.keys, since))
        end = min(start + most, bisect_left(self.keys, prefix + chr(0x10FFFF)))
        items: list[str] = []
        size = 0
        for key in self.keys[start:end]:
            item = self._item(key)
            size += len(item) + 1
            if size > MAX_PAGE_BYTES:
                break
            items.append(item)
        following = start + len(items)
        more = following < len(self.keys) and self.keys[following].startswith(prefix)
        text = f'{{"items":[{",".join(items)}],"hasNext":{json.dumps(more)},"ledger":{self.ledger}}}'
        return text.encode()

    def _item(self, key: str) -> str:
        value, stamp, _ = self.data[key]
        return f'{{"k":"{key}","v":{value},"stamp":{stamp}}}'

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, since = query["under"], int(query["since"])
        end = time.monotonic() + min(60.0, int(query.get("holdMs", "0")) / 1000)
        while True:
            if since < self.dropped_stamp:
                return 410, {"error": "too old"}
            events = []
            for stamp, key, event in reversed(self.changes):
                if stamp <= since:
                    break
                if key.startswith(prefix):
                    events.append(event)
            left = end - time.monotonic()
            if (events or left <= 0) and not self.outage:
                return 200, f'{{"ledger":{self.ledger},"events":[{",".join(reversed(events))}]}}'.encode()
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), max(left, 0.05))
            except TimeoutError:
                pass
