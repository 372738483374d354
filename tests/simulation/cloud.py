"""A simulated cloud: starts machines, lists them late; can be down, full, or answer nothing."""

from typing import TYPE_CHECKING, Any

from tests.simulation.clock import US
from tests.simulation.worker import SimulatedWorker

if TYPE_CHECKING:
    from tests.simulation.world import World


class SimulatedCloud:
    """Rents machines; lists them late; can be down, full, or rent late."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.next = 1
        self.requests: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.down_until_us = 0
        self.capacity = 10**6
        self.never_boot = 0
        self.boot_us: int | None = None  # None: as its type says
        self.lost_answers = 0
        self.asked = 0  # rental requests
        self.extra_lag_us = 0  # the list goes back by so much
        self.past: dict[str, tuple[dict[str, Any], int]] = {}  # machines that are gone, and since when

    def start(self, kind: str, zone: str, spot: bool, boot_us: int) -> str:
        name = f"n-{self.next:06d}"
        self.next += 1
        self.machines[name] = {
            "uid": name,
            "endpoint": f"10.1.0.{self.next}:9000",
            "build": kind,
            "yard": zone,
            "loaners": spot,
            "status": "booting",
            "ageS": 0.0,
            "born": self.world.now_us,
        }
        if self.never_boot > 0 and boot_us > 0:
            self.never_boot -= 1
        else:
            self.world.after(boot_us + 1, lambda: self._boot(name))
        return name

    def _boot(self, name: str) -> None:
        if name in self.machines:
            self.machines[name]["status"] = "running"
            self.world.workers[name] = SimulatedWorker(self.world, name, self.machines[name])

    def gone(self, name: str) -> None:
        host = self.machines.pop(name, None)
        if host:
            self.past[name] = (host, self.world.now_us)
            worker = self.world.workers.pop(name, None)
            if worker:
                worker.die()

    def answer(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        world = self.world
        if world.now_us < self.down_until_us:
            return 503, {"error": "trouble"}
        if path == "/flavors":
            return 200, {"builds": list(world.types.values())}
        if path == "/hosts":
            self.asked += 1
            if body["hire"] not in self.requests:
                room = min(body["howMany"], self.capacity - len(self.machines))
                if room <= 0:
                    return 503, {"error": "no capacity"}
                boot_us = self.boot_us or int(world.types[body["build"]]["startupS"] * US)
                self.requests[body["hire"]] = [
                    self.start(body["build"], body["yard"], body["loaners"], boot_us) for _ in range(room)
                ]
            if self.lost_answers > 0:
                self.lost_answers -= 1
                return 0, {}
            return 200, {"berths": self.requests[body["hire"]]}
        if path == "/hosts/delete":
            for name in body["berths"]:
                self.gone(name)
            return 200, {}
        lag_us = int(world.facts["cloud"]["list_lag_s"] * US)
        at_us = world.now_us - lag_us - self.extra_lag_us
        then = [*self.machines.values(), *(h for h, gone_us in self.past.values() if gone_us > at_us)]
        listed = [
            {**h, "ageS": (at_us - h["born"]) / US} for h in sorted(then, key=lambda h: h["uid"]) if h["born"] <= at_us
        ]
        return 200, {"berths": listed, "hasNext": False}
