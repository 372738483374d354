"""A simulated cloud: starts machines and lists them with a delay; it can be down, full, or lose its answers."""

from typing import TYPE_CHECKING, Any

from tests.simulation.clock import SECOND_US
from tests.simulation.worker import SimulatedWorker

if TYPE_CHECKING:
    from tests.simulation.world import World

UNLIMITED = 10**6
#: maximum number of machines in a rental request (PROTOCOL)
MAX_MACHINES_PER_REQUEST = 50


class SimulatedCloud:
    """The cloud service, which starts, removes and lists machines; the list lags behind."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.next_number = 1
        self.requests: dict[str, list[str]] = {}  # machines by rental request: a repeated request gets the same ones
        self.machines: dict[str, dict[str, Any]] = {}
        self.down_until_us = 0
        self.capacity = UNLIMITED
        self.never_boot = 0  # number of upcoming machines that never boot
        self.boot_us: int | None = None  # None: the boot time of the machine type
        self.lost_answers = 0  # number of upcoming rental requests whose answers are lost
        self.rental_requests = 0
        self.extra_lag_us = 0  # additional delay of the list
        self.removed_machines: dict[str, tuple[dict[str, Any], int]] = {}  # with the time of removal

    def start(self, kind: str, zone: str, spot: bool, boot_us: int) -> str:
        """Start a machine that runs after `boot_us`, and return its name."""
        name = f"n-{self.next_number:06d}"
        self.next_number += 1
        self.machines[name] = {
            "uid": name,
            "endpoint": f"10.1.0.{self.next_number}:9000",
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

    def remove(self, name: str) -> None:
        """Remove a machine and its worker, if it exists."""
        host = self.machines.pop(name, None)
        if host is None:
            return
        self.removed_machines[name] = (host, self.world.now_us)
        worker = self.world.workers.pop(name, None)
        if worker is not None:
            worker.die()

    def answer(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Execute a call and return its status and body; status 0 means that the answer is lost."""
        if self.world.now_us < self.down_until_us:
            return 503, {"error": "trouble"}
        if path == "/flavors":
            return 200, {"builds": list(self.world.types.values())}
        if path == "/hosts":
            return self._rent(body)
        if path == "/hosts/delete":
            for name in body["berths"]:
                self.remove(name)
            return 200, {}
        return 200, {"berths": self._listing(), "hasNext": False}

    def _rent(self, body: Any) -> tuple[int, Any]:
        self.rental_requests += 1
        if body["howMany"] > MAX_MACHINES_PER_REQUEST:
            return 400, {"error": "malformed"}
        request = body["hire"]
        if request not in self.requests:
            count = min(body["howMany"], self.capacity - len(self.machines))
            if count <= 0:
                return 503, {"error": "no capacity"}
            boot_us = self.boot_us or int(self.world.types[body["build"]]["startupS"] * SECOND_US)
            self.requests[request] = [
                self.start(body["build"], body["yard"], body["loaners"], boot_us) for _ in range(count)
            ]
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return 0, {}
        return 200, {"berths": self.requests[request]}

    def _listing(self) -> list[dict[str, Any]]:
        """The machines of some seconds ago, sorted by name, with their age at that time."""
        lag_us = int(self.world.facts["cloud"]["list_lag_s"] * SECOND_US)
        at_us = self.world.now_us - lag_us - self.extra_lag_us
        hosts = [
            *self.machines.values(),
            *(host for host, removed_us in self.removed_machines.values() if removed_us > at_us),
        ]
        hosts.sort(key=lambda host: str(host["uid"]))
        return [{**host, "ageS": (at_us - host["born"]) / SECOND_US} for host in hosts if host["born"] <= at_us]
