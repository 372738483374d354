"""A stand-in of the cloud: machine types, rented machines and the list, which lags."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from review.standins_2.state import Bucket
from review.standins_2.wire import Server

#: names of a page of the list
MAX_PAGE = 500


class Cloud:
    """Rents machines through `boot`, which gets name, type, zone and kind."""

    def __init__(self, rps: float, list_lag_s: float, types: list[dict[str, Any]], capacity: int = 0) -> None:
        self.server = Server(self.handle)
        self.requests = Bucket(2 * rps)  # bursts worth two seconds
        self.requests.rate, self.burst = rps, 2 * rps
        self.list_lag_s, self.types, self.capacity = list_lag_s, types, capacity
        self.boot: Callable[[str, str, str, bool], None] = lambda *_: None
        self.gone: Callable[[str], None] = lambda _: None
        self.hosts: dict[str, dict[str, Any]] = {}
        self.rented_at: dict[str, float] = {}
        self.hires: dict[str, list[str]] = {}
        self.shown: deque[tuple[float, list[dict[str, Any]]]] = deque()
        self.outage = False

    async def run(self) -> None:
        """Keep what the list shows: the machines as they were a while ago."""
        while True:
            now = time.monotonic()
            self.shown.append((now, [dict(host) for _, host in sorted(self.hosts.items())]))
            while len(self.shown) > 1 and self.shown[1][0] <= now - self.list_lag_s:
                self.shown.popleft()
            await asyncio.sleep(0.25)

    def add(self, build: str, yard: str, loaners: bool = False) -> str:
        """Rent one machine and return its name."""
        name = f"n-{len(self.rented_at) + 1:06d}"
        self.rented_at[name] = time.monotonic()
        host = {"uid": name, "build": build, "yard": yard, "loaners": loaners, "status": "booting", "ageS": 0.0}
        self.hosts[name] = host | {"endpoint": ""}
        self.boot(name, build, yard, loaners)
        return name

    def take(self, name: str) -> None:
        """Take a machine away with all that is on it."""
        if self.hosts.pop(name, None) is not None:
            self.gone(name)

    async def handle(self, _method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
        """Answer one request."""
        await asyncio.sleep(0.05)
        if self.outage:
            return 503, {"error": "trouble"}
        if not self.requests.take():
            return 429, {"error": "too many requests"}
        if path == "/flavors":
            return 200, {"builds": self.types}
        if path == "/hosts/delete":
            for name in body["berths"]:
                self.take(name)
            return 200, {}
        if body is not None:
            return self._rent(body)
        at, shown = self.shown[0]
        names = [host for host in shown if host["uid"] > query.get("since", "")]
        most = min(MAX_PAGE, int(query.get("most", str(MAX_PAGE))))
        page = [host | {"ageS": round(max(0.0, at - self.rented_at[host["uid"]]), 3)} for host in names[:most]]
        return 200, {"berths": page, "hasNext": len(names) > most}

    def _rent(self, body: Any) -> tuple[int, Any]:
        if body["hire"] not in self.hires:
            count = min(body["howMany"], self.capacity - len(self.hosts))
            if count <= 0:
                return 503, {"error": "no capacity"}
            self.hires[body["hire"]] = [self.add(body["build"], body["yard"], body["loaners"]) for _ in range(count)]
        return 200, {"berths": self.hires[body["hire"]]}
