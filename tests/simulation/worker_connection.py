"""A controller's direct calls to simulated workers, with what the network makes of them."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from quinceslip.coordination.actor import effects as fx
from quinceslip.protocol import messages as m
from tests.simulation.faults import WorkerCut
from tests.simulation.worker import SimulatedWorker

if TYPE_CHECKING:
    from tests.simulation.controller import SimulatedController

Respond = Callable[[int, Any], None]


class WorkerConnection:
    """What passes from one controller to the workers."""

    def __init__(self, controller: "SimulatedController") -> None:
        self.world = controller.world
        self.cut = WorkerCut()

    def is_cut_from(self, worker: SimulatedWorker | None) -> bool:
        """Whether nothing passes now between the controller and a worker (None: a machine that is gone)."""
        return self.cut.separates(self.world.now_us, None if worker is None else worker.host["yard"])

    def call(self, call: fx.Call, body: Any, respond: Respond) -> None:
        """Carry a command or a question to the worker at the call's target."""
        world = self.world
        worker = self._worker_at(call.target)
        if worker is None:
            world.after(call.timeout_us, lambda: respond(fx.NOT_SENT, {}))
        elif self.is_cut_from(worker) or worker.is_unreachable():
            # Held back by the network, delivered when the interruption ends.
            if call.path == m.PATH_COMMANDS and not worker.loses_undelivered:
                worker.undelivered.append(body)
            world.after(call.timeout_us, lambda: respond(fx.UNKNOWN, {}))
        elif call.path == m.PATH_COMMANDS and world.now_us < worker.slow_commands.until_us:
            self._call_slowly(call, body, worker, respond)
        elif call.path == m.PATH_INSPECT:
            world.after(world.latency(), lambda: respond(200, worker.heartbeat()))
        else:
            world.after(world.latency(), lambda: respond(*worker.receive_commands(body)))

    def _worker_at(self, endpoint: str) -> SimulatedWorker | None:
        return next((worker for worker in self.world.workers.values() if worker.host["endpoint"] == endpoint), None)

    def _call_slowly(self, call: fx.Call, body: Any, worker: SimulatedWorker, respond: Respond) -> None:
        """A command held up by itself, while all else passes: on the way there, or the answer on its way back."""
        world, slow = self.world, worker.slow_commands
        there_us = world.random.randint(0, slow.max_there_us)
        back_us = world.random.randint(0, slow.max_back_us)

        def arrives() -> None:
            present = self._worker_at(call.target)  # another machine may have its address by then
            if present is not None:
                answer = present.receive_commands(body)
                world.after(back_us + world.latency(), lambda: respond(*answer))

        world.after(there_us + world.latency(), arrives)
        world.after(call.timeout_us, lambda: respond(fx.UNKNOWN, {}))
