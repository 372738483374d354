"""A stand-in of the state service: a key-value store with conditions, leases, watches and limits on its rates."""

import asyncio
import bisect
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins.http import MAX_BODY_BYTES, Answer, Server

#: limits of one listing
MAX_ITEMS, MAX_LISTING_BYTES = 1000, 512 * 1024
#: changes that a watch can still get
KEPT_CHANGES = 10_000


class Bucket:
    """A token bucket that holds the tokens of one second."""

    def __init__(self, rate: float) -> None:
        self.rate = self.tokens = rate
        self.at = time.monotonic()

    def take(self, count: float = 1.0) -> bool:
        """Take tokens and return True, or return False if there are too few."""
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


@dataclass(slots=True)
class Entry:
    """The value of a key as JSON text, its revision, and its lease."""

    text: str
    stamp: int
    hold: int | None = None


@dataclass
class Limits:
    """Limits of the service, as in `facts.state`."""

    rps: float = 150.0
    write_rps: float = 50.0
    value_kb: float = 16.0
    txn_ops: int = 16


@dataclass
class Counts:
    """What the service has answered so far."""

    requests: int = 0
    refused: int = 0
    pages: int = 0
    complete_listings: int = 0
    by_status: dict[int, int] = field(default_factory=dict)


class State:
    """The state service."""

    def __init__(self, limits: Limits, latency_s: float = 0.006) -> None:
        self.limits = limits
        self.latency_s = latency_s
        self.entries: dict[str, Entry] = {}
        self.keys: list[str] = []
        self.revision = 0
        self.history: list[tuple[int, str]] = []  # revision and event as JSON text
        self.holds: dict[int, tuple[float, float]] = {}  # life and end
        self.counts = Counts()
        self.down = False
        self._next_hold = 1
        self._requests, self._writes = Bucket(limits.rps), Bucket(limits.write_rps)
        self._changed = asyncio.Event()
        self.server = Server(self.handle)
        self.servers: dict[str, Server] = {}  # by controller, where a case treats them differently
        #: decides what happens to a request of a controller: "" as usual, "refuse", "lose", "late" or "deaf"
        self.trouble: Callable[[str, str, str], str] = lambda label, method, path: ""
        self.watched: dict[str, int] = {}  # by controller: the revision from which it last watched
        self._late: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to serve, and to end leases that are not renewed."""
        await self.server.start()
        self._expiry = asyncio.create_task(self._expire())

    def preload(self, key: str, value: Any) -> None:
        """Add a record that was written long ago."""
        self.revision += 1
        if key not in self.entries:
            self.keys.append(key)
        self.entries[key] = Entry(json.dumps(value, separators=(",", ":")), self.revision)

    def preloaded(self) -> None:
        """Call once after the last `preload`."""
        self.keys.sort()
        self.history = [(self.revision, "")]

    def add_history(self, keys: list[str], text: str) -> None:
        """Write the same value to each of some new keys, a revision each; later keys come later in order."""
        for key in keys:
            self.revision += 1
            bisect.insort(self.keys, key)
            self.entries[key] = Entry(text, self.revision)
            self.history.append((self.revision, f'{{"write":"{key}","v":{text},"stamp":{self.revision}}}'))
        self._notify()

    def value(self, key: str) -> Any:
        """Return the value of a key; None if it does not exist."""
        entry = self.entries.get(key)
        return None if entry is None else json.loads(entry.text)

    async def start_for(self, label: str) -> int:
        """Start to serve one controller on a port of its own, where `trouble` may meet it; returns the port."""

        async def handle(method: str, path: str, body: bytes) -> Answer:
            kind = self.trouble(label, method, path)
            if path.startswith("/changes"):
                self.watched[label] = int(parse_qs(urlsplit(path).query)["since"][0])
            if kind == "refuse":
                await asyncio.sleep(self.latency_s)
                return 503, {"error": "trouble"}
            if kind == "lose":
                await asyncio.sleep(8.0)
                return None
            if kind == "late":
                task = asyncio.create_task(self._carry_out_late(method, path, body))
                self._late.add(task)
                task.add_done_callback(self._late.discard)
                await asyncio.sleep(8.0)
                return None
            answer = await self.handle(method, path, body)
            if kind == "deaf":
                await asyncio.sleep(8.0)
                return None
            return answer

        server = self.servers[label] = Server(handle)
        await server.start()
        return server.port

    async def _carry_out_late(self, method: str, path: str, body: bytes) -> None:
        await asyncio.sleep(random.uniform(2.0, 12.0))
        await self.handle(method, path, body)

    async def handle(self, method: str, path: str, body: bytes) -> Answer:
        """Answer one request after the usual latency."""
        answer = await self._handle(method, path, body)
        if answer is not None:
            self.counts.by_status[answer[0]] = self.counts.by_status.get(answer[0], 0) + 1
        return answer

    async def _handle(self, method: str, path: str, body: bytes) -> Answer:
        self.counts.requests += 1
        await asyncio.sleep(self.latency_s)
        if self.down:
            return 503, {"error": "trouble"}
        if not self._requests.take():
            self.counts.refused += 1
            return 429, {"error": "too many requests"}
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/changes":
            return await self._watch(query)
        if parts.path == "/kv":
            return self._list(query)
        if parts.path.startswith("/kv/"):
            return self._get(parts.path.removeprefix("/kv/"))
        if parts.path == "/txn":
            return self._txn(body)
        return self._hold(method, parts.path, body)

    def _get(self, key: str) -> Answer:
        entry = self.entries.get(key)
        if entry is None:
            return 404, {"ledger": self.revision}
        return 200, {"k": key, "v": json.loads(entry.text), "stamp": entry.stamp, "hold": entry.hold}

    def _list(self, query: dict[str, str]) -> Answer:
        under, since = query.get("under", ""), query.get("since", "")
        most = min(int(query.get("most", MAX_ITEMS)), MAX_ITEMS)
        position = bisect.bisect_right(self.keys, since) if since else bisect.bisect_left(self.keys, under)
        items: list[str] = []
        size = 0
        more = False
        while position < len(self.keys) and self.keys[position].startswith(under):
            key = self.keys[position]
            entry = self.entries[key]
            text = f'{{"k":{json.dumps(key)},"v":{entry.text},"stamp":{entry.stamp}}}'
            if len(items) >= most or size + len(text) > MAX_LISTING_BYTES:
                more = True
                break
            items.append(text)
            size += len(text) + 1
            position += 1
        self.counts.pages += 1
        self.counts.complete_listings += not more
        return 200, f'{{"items":[{",".join(items)}],"hasNext":{json.dumps(more)},"ledger":{self.revision}}}'.encode()

    async def _watch(self, query: dict[str, str]) -> Answer:
        since, under = int(query["since"]), query.get("under", "")
        end = time.monotonic() + int(query.get("holdMs", "0")) / 1000
        while True:
            if since < self.history[0][0] and since < self.revision:
                return 410, {"error": "too old"}
            events = self._events(since, under)
            left = end - time.monotonic()
            if (events and not self.down) or left <= 0:
                return 200, f'{{"ledger":{self.revision},"events":[{",".join(events)}]}}'.encode()
            try:
                await asyncio.wait_for(self._changed.wait(), min(left, 0.2))
            except TimeoutError:
                pass

    def _events(self, since: int, under: str) -> list[str]:
        first = bisect.bisect_right(self.history, (since, "\uffff"))
        return [text for _, text in self.history[first:] if text and f'":"{under}' in text]

    def _txn(self, body: bytes) -> Answer:
        if len(body) > MAX_BODY_BYTES:
            return 400, {"error": "too large"}
        request = json.loads(body)
        conditions, changes = request.get("if", []), request.get("then", [])
        if changes and not self._writes.take(min(len(changes), self.limits.write_rps)):
            self.counts.refused += 1
            return 429, {"error": "too many changes"}
        reason = self._invalid(conditions, changes)
        if reason:
            return 400, {"error": reason}
        failed = [c["k"] for c in conditions if self._stamp(c["k"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if changes:
            self.revision += 1
            for change in changes:
                self._apply(change)
            self._notify()
        return 200, {"ledger": self.revision}

    def _invalid(self, conditions: list[Any], changes: list[Any]) -> str:
        if len(changes) > self.limits.txn_ops or len(conditions) > 4 * self.limits.txn_ops:
            return "too many changes or conditions"
        for change in changes:
            if "write" in change and len(json.dumps(change["v"], separators=(",", ":"))) > self.limits.value_kb * 1024:
                return "value too large"
            if change.get("hold") is not None and change["hold"] not in self.holds:
                return "no such lease"
        return ""

    def _stamp(self, key: str) -> int:
        entry = self.entries.get(key)
        return entry.stamp if entry else 0

    def _apply(self, change: dict[str, Any]) -> None:
        if "write" in change:
            key = change["write"]
            text = json.dumps(change["v"], separators=(",", ":"))
            if key not in self.entries:
                bisect.insort(self.keys, key)
            self.entries[key] = Entry(text, self.revision, change.get("hold"))
            event = f'{{"write":"{key}","v":{text},"stamp":{self.revision}}}'
        else:
            key = change["drop"]
            if key not in self.entries:
                return
            del self.entries[key]
            del self.keys[bisect.bisect_left(self.keys, key)]
            event = f'{{"drop":"{key}","stamp":{self.revision}}}'
        self.history.append((self.revision, event))

    def _notify(self) -> None:
        del self.history[:-KEPT_CHANGES]
        self._changed.set()
        self._changed = asyncio.Event()

    def _hold(self, method: str, path: str, body: bytes) -> Answer:
        if path == "/holds":
            life = json.loads(body)["lifeMs"] / 1000
            hold, self._next_hold = self._next_hold, self._next_hold + 1
            self.holds[hold] = (life, time.monotonic() + life)
            return 200, {"hold": hold}
        hold = int(path.split("/")[2])
        if hold not in self.holds:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_hold(hold)
        else:
            life, _ = self.holds[hold]
            self.holds[hold] = (life, time.monotonic() + life)
        return 200, {"hold": hold}

    def _end_hold(self, hold: int) -> None:
        del self.holds[hold]
        attached = [key for key, entry in self.entries.items() if entry.hold == hold]
        if attached:
            self.revision += 1
            for key in attached:
                self._apply({"drop": key})
            self._notify()

    def end_outage(self) -> None:
        """End an outage: every lease has its full time again."""
        now = time.monotonic()
        self.holds = {hold: (life, now + life) for hold, (life, _) in self.holds.items()}
        self.down = False

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if not self.down:
                for hold in [hold for hold, (_, end) in self.holds.items() if end < now]:
                    self._end_hold(hold)
