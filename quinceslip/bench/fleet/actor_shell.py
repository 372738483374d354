"""The shell around the controller under measurement: virtual time, calls with their latencies, pending requests."""

from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from quinceslip.bench.fleet.costs import MeasuredController, MessageKind
from quinceslip.bench.fleet.event_queue import EventQueue
from quinceslip.bench.fleet.services import Answer
from quinceslip.coordination.actor import effects as fx
from quinceslip.coordination.controller.controller import Controller

#: latencies of calls
SERVICE_LATENCY_US = 6_000
WORKER_LATENCY_US = 1_000

#: called with the status and the body of a reply
OnReply = Callable[[int, Any], None]


class CallHandler(Protocol):
    """Somebody whom the controller calls."""

    def answer(self, call: fx.Call) -> Answer:
        """Carry out one call."""


class ActorShell:
    """Posts messages to the controller and carries out its effects."""

    def __init__(self, controller: Controller, queue: EventQueue, counted: bool) -> None:
        """A shell that counts the calls of functions of `controller` if `counted`."""
        self.measured = MeasuredController(controller, counted)
        self.queue = queue
        self._services: dict[str, CallHandler] = {}
        self._workers: CallHandler | None = None
        self._pending_requests: dict[int, OnReply] = {}
        self._requests = 0

    def connect(self, services: dict[str, CallHandler], workers: CallHandler) -> None:
        """Say who answers calls, by their target; the other targets are addresses of `workers`."""
        self._services, self._workers = services, workers

    def open_request(self, on_reply: OnReply) -> int:
        """The number of a new request to the controller."""
        self._requests += 1
        self._pending_requests[self._requests] = on_reply
        return self._requests

    def post(self, kind: MessageKind, message: fx.Message) -> None:
        """Let the controller handle one message and the end of its batch."""
        self._handle(kind, message)
        self._handle(MessageKind.BATCH_END, fx.BatchEnd())

    def _handle(self, kind: MessageKind, message: fx.Message) -> None:
        for effect in self.measured.handle(kind, message, self.queue.now_us):
            if isinstance(effect, fx.Reply):
                self._deliver_reply(effect)
            elif isinstance(effect, fx.Call):
                self._schedule_call(effect)

    def _deliver_reply(self, reply: fx.Reply) -> None:
        on_reply = self._pending_requests.pop(reply.request, None)
        if on_reply is not None:
            on_reply(reply.status, reply.body)

    def _schedule_call(self, call: fx.Call) -> None:
        service = self._services.get(call.target)
        if service is not None:
            self.queue.after(SERVICE_LATENCY_US, lambda: self._carry_out(call, service))
        elif self._workers is not None:
            workers = self._workers
            self.queue.after(WORKER_LATENCY_US, lambda: self._carry_out(call, workers))

    def _carry_out(self, call: fx.Call, handler: CallHandler) -> None:
        answer = handler.answer(call)
        result = fx.CallResult(call.id, answer.status, msgspec.json.encode(answer.body))
        self.post(MessageKind.ANSWER, result)
