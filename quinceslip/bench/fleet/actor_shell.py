"""The environment of the controller under measurement: virtual time, calls with latencies, pending requests."""

from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from quinceslip.bench.fleet.costs import MeasuredController, MessageKind
from quinceslip.bench.fleet.event_queue import EventQueue
from quinceslip.bench.fleet.services import Answer
from quinceslip.coordination.actor import effects as fx
from quinceslip.coordination.controller.controller import Controller

#: latencies of calls to services and to workers
SERVICE_LATENCY_US = 6_000
WORKER_LATENCY_US = 1_000

#: callback for a reply; takes its status and body
OnReply = Callable[[int, Any], None]


class CallHandler(Protocol):
    """A simulated service or set of workers that the controller calls."""

    def answer(self, call: fx.Call) -> Answer:
        """Handle one call."""


class ActorShell:
    """Posts messages to the controller and executes its effects."""

    def __init__(self, controller: Controller, queue: EventQueue, count_calls: bool) -> None:
        """Wrap `controller`; count its function calls if `count_calls`."""
        self.measured = MeasuredController(controller, count_calls)
        self.queue = queue
        self._services: dict[str, CallHandler] = {}
        self._workers: CallHandler | None = None
        self._pending_requests: dict[int, OnReply] = {}
        self._request_count = 0

    def connect(self, services: dict[str, CallHandler], workers: CallHandler) -> None:
        """Set the handlers of calls: services by target, and `workers` for all other targets."""
        self._services, self._workers = services, workers

    def open_request(self, on_reply: OnReply) -> int:
        """Register a request to the controller; returns its number."""
        self._request_count += 1
        self._pending_requests[self._request_count] = on_reply
        return self._request_count

    def post(self, kind: MessageKind, message: fx.Message) -> None:
        """Have the controller handle one message as a batch of its own."""
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
            self.queue.schedule(SERVICE_LATENCY_US, lambda: self._execute_call(call, service))
        elif self._workers is not None:
            workers = self._workers
            self.queue.schedule(WORKER_LATENCY_US, lambda: self._execute_call(call, workers))

    def _execute_call(self, call: fx.Call, handler: CallHandler) -> None:
        answer = handler.answer(call)
        result = fx.CallResult(call.id, answer.status, msgspec.json.encode(answer.body))
        self.post(MessageKind.ANSWER, result)
