"""The simulation: a controller, its machines, users, a key-value store and a cloud, in virtual time."""

import random

import msgspec

from quinceslip.bench.fleet.actor_shell import ActorShell, CallHandler
from quinceslip.bench.fleet.costs import MessageKind
from quinceslip.bench.fleet.event_queue import EventQueue
from quinceslip.bench.fleet.machines import HEARTBEAT_S, MACHINE_TYPE, ZONES, SimulatedMachines
from quinceslip.bench.fleet.services import SimulatedCloud, SimulatedStore
from quinceslip.bench.fleet.users import TEAM, SimulatedUsers
from quinceslip.coordination.actor import effects as fx
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.controller.controller import Controller
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Settings, Tuning

WATCH_INTERVAL_US = 60_000
TICK_INTERVAL_US = 100_000


class Simulation:
    """One simulation run, deterministic for its seed."""

    def __init__(self, machines: int, seed: int, count_calls: bool) -> None:
        """Create a fleet of `machines` machines; count function calls if `count_calls`."""
        rng = random.Random(seed)
        specs: dict[str, m.JobSpec] = {}
        self._queue = EventQueue()
        self.controller = Controller(_settings(), Tuning(), 0, 0)
        self.shell = ActorShell(self.controller, self._queue, count_calls)
        self.store = SimulatedStore()
        self.machines = SimulatedMachines(machines, self.shell, specs, rng)
        self.users = SimulatedUsers(machines, self.shell, specs, rng)
        services: dict[str, CallHandler] = {
            fx.TARGET_STORE: self.store,
            fx.TARGET_LEASE: self.store,
            fx.TARGET_CLOUD: SimulatedCloud(MACHINE_TYPE),
        }
        self.shell.connect(services, self.machines)

    def run(self, duration_s: float) -> None:
        """Run for the given number of simulated seconds."""
        self.shell.post(MessageKind.WATCH, fx.StoreListing([], 0, 0))
        self._watch()
        self._tick()
        self.machines.start()
        self.users.start()
        self._queue.run_until(int(duration_s * SECOND))

    def _tick(self) -> None:
        self.shell.post(MessageKind.TICK, fx.Tick())
        self._queue.schedule(TICK_INTERVAL_US, self._tick)

    def _watch(self) -> None:
        changes = fx.StoreChanges(self.store.drain_changes(), self.store.revision, self._queue.now_us)
        self.shell.post(MessageKind.WATCH, changes)
        self._queue.schedule(WATCH_INTERVAL_US, self._watch)


def _settings() -> Settings:
    return msgspec.convert(
        {
            "label": "one",
            "location": ZONES[0],
            "api_addr": "127.0.0.1:1",
            "peer_bind": "127.0.0.1:2",
            "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
            "facts": {
                "size": 1,
                "zones": ZONES,
                "teams": [{"name": TEAM}],
                "workers": {"report_s": HEARTBEAT_S, "lease_s": 26.0, "cancel_s": 46.0},
                "state": {"rps": 180.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 16},
                "cloud": {"rps": 9.0, "list_lag_s": 6.0},
            },
        },
        Settings,
    )
