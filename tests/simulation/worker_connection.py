"""A controller's direct calls to simulated workers, subject to network faults."""

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
    """All calls from one controller to workers."""

    def __init__(self, controller: "SimulatedController") -> None:
        self.world = controller.world
        self.cut = WorkerCut()

    def is_cut_from(self, worker: SimulatedWorker | None) -> bool:
        """Whether traffic between the controller and the worker is blocked now (None: a removed machine)."""
        return self.cut.blocks(self.world.now_us, None if worker is None else worker.host["yard"])

    def call(self, call: fx.Call, body: Any, respond: Respond) -> None:
        """Deliver a command message or an inspection to the worker at the call's target."""
        world = self.world
        worker = self._worker_at(call.target)
        if worker is None:
            world.after(call.timeout_us, lambda: respond(fx.NOT_SENT, {}))
        elif self.is_cut_from(worker) or worker.is_unreachable():
            # The network holds the commands back, and delivers them when the fault ends.
            if call.path == m.PATH_COMMANDS and not worker.loses_undelivered:
                worker.undelivered.append(body)
            world.after(call.timeout_us, lambda: respond(fx.UNKNOWN, {}))
        elif call.path == m.PATH_COMMANDS and world.now_us < worker.slow_commands.until_us:
            self._call_slowly(call, body, worker, respond)
        elif call.path == m.PATH_INSPECT:
            world.after(world.latency(), lambda: respond(200, worker.heartbeat()))
        else:
            world.after(world.latency(), lambda: respond(*worker.answer_call(body)))

    def _worker_at(self, endpoint: str) -> SimulatedWorker | None:
        return next((worker for worker in self.world.workers.values() if worker.host["endpoint"] == endpoint), None)

    def _call_slowly(self, call: fx.Call, body: Any, worker: SimulatedWorker, respond: Respond) -> None:
        """Delay a command and its answer at random, while other messages pass normally."""
        world, slow = self.world, worker.slow_commands
        request_delay_us = world.random.randint(0, slow.max_request_delay_us)
        answer_delay_us = world.random.randint(0, slow.max_answer_delay_us)

        def deliver() -> None:
            current_worker = self._worker_at(call.target)  # by then another machine may have the address
            if current_worker is not None:
                answer = current_worker.answer_call(body)
                world.after(answer_delay_us + world.latency(), lambda: respond(*answer))

        world.after(request_delay_us + world.latency(), deliver)
        world.after(call.timeout_us, lambda: respond(fx.UNKNOWN, {}))
