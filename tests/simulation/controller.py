"""Runs one real controller actor and executes its effects in the simulated cluster."""

import configparser
import json
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from quinceslip.coordination.actor import effects as fx
from quinceslip.coordination.controller.controller import Controller
from quinceslip.protocol import frames
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Tuning
from quinceslip.subsystems import subsystem_factories
from tests.simulation.inputs import settings_of
from tests.simulation.store_connection import StoreConnection
from tests.simulation.worker_connection import WorkerConnection

if TYPE_CHECKING:
    from tests.simulation.world import World

#: receives the status and the decoded body of an answer
AnswerHandler = Callable[[int, Any], None]

START_DELAY_US = 10_000
TICK_US = 100_000
STORE_TARGETS = ("state", "lease")


class SimulatedController:
    """One controller process, which can crash and restart; its actor is None while it is down."""

    def __init__(self, world: "World", label: str) -> None:
        self.world, self.label = world, label
        self.actor: Controller | None = None
        self.runs_previous_version = False  # a version that announces no supported feature level
        self.incarnation = 0  # counts starts and crashes
        self.answer_handlers: dict[int, AnswerHandler] = {}  # by id of the request that waits for a reply
        self.last_request_id = 0
        self.peers_cut_until_us = 0  # until then, no frames pass to or from its peers
        self.inbound_peers_blocked_until_us = 0  # until then, its peers' frames don't reach it, but its own reach them
        self.store = StoreConnection(self)
        self.workers = WorkerConnection(self)
        self.operators = configparser.ConfigParser(interpolation=None)  # its own copy of the operators' file
        self.operators.read_dict(world.operators)
        world.after(START_DELAY_US, self.start)

    def start(self) -> None:
        """Start the process, unless it is up."""
        if self.actor is not None:
            return
        settings = settings_of(self.world.facts, self.label)
        self.incarnation += 1
        self.answer_handlers.clear()
        now_us = self.world.now_us
        self.actor = Controller(settings, Tuning(), now_us, now_us, subsystem_factories(settings, self.operators))
        self.actor.feature_gate.supported_level *= not self.runs_previous_version
        self._tick(self.incarnation)
        self.store.list_all(self.incarnation)

    def crash(self) -> None:
        """End the process at once; messages in flight to it are lost."""
        self.actor = None
        self.incarnation += 1

    def write_trace(self, direction: str, other: str, *contents: Any) -> None:
        """Trace a received (`in`) or sent (`out`) message and its other end."""
        if self.world.trace is not None:
            self.world.trace.write(self.world.now_us, self.label, direction, other, *contents)

    def deliver(self, message: Any, incarnation: int | None = None) -> None:
        """Pass a message to the actor; one for an earlier incarnation of the process is lost."""
        if self.actor is None or (incarnation is not None and incarnation != self.incarnation):
            return
        for step in (message, fx.BatchEnd()):
            for effect in self.actor.handle(step, self.world.now_us):
                self._execute_effect(effect)

    def _tick(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.actor is not None:
            self.deliver(fx.Tick())
            self.world.checker.controllers.check(self, self.actor)
            self.world.after(TICK_US, lambda: self._tick(incarnation))

    # Effects.

    def _execute_effect(self, effect: Any) -> None:
        if isinstance(effect, fx.Reply):
            self._reply(effect)
        elif isinstance(effect, fx.PeerBroadcast):
            self._send_to_peers(effect)
        else:
            self._call(effect)

    def _reply(self, reply: fx.Reply) -> None:
        handler = self.answer_handlers.pop(reply.request, None)
        self.write_trace("out", "reply", reply.request, reply.status, reply.body, reply.headers)
        if handler is not None:
            body = json.loads(msgspec.json.encode(reply.body))
            self.world.after(self.world.latency(), partial(handler, reply.status, body))

    def _send_to_peers(self, effect: fx.PeerBroadcast) -> None:
        self.write_trace("out", "peers", effect.frames.hex())
        world = self.world
        for other in world.controllers.values():
            if other is self or world.now_us < max(
                other.peers_cut_until_us, other.inbound_peers_blocked_until_us, self.peers_cut_until_us
            ):
                continue
            for frame in read_frames(effect.frames):
                world.after(world.latency(), partial(other.deliver, fx.PeerFrameReceived(frame)))

    def _call(self, call: fx.Call) -> None:
        world = self.world
        body = json.loads(msgspec.json.encode(call.body))
        self.write_trace(
            "out", call.target, call.method, call.path, body, call.timeout_us, call.writes, int(call.urgency)
        )
        respond = partial(self._respond, call, self.incarnation)
        if call.target in STORE_TARGETS:
            self.store.call(call, body, respond)
        elif call.target == "cloud":
            world.after(world.latency(), lambda: respond(*world.cloud.answer(call.method, call.path, body)))
        else:
            self.workers.call(call, body, respond)

    def _respond(self, call: fx.Call, incarnation: int, status: int, answer: Any) -> None:
        """Send the answer to a call back to the actor."""
        data = json.dumps(answer).encode()
        self.write_trace("in", call.target, call.path, status, answer)
        self.world.after(self.world.latency(), lambda: self.deliver(fx.CallResult(call.id, status, data), incarnation))

    # Requests.

    def _request(self, make_event: Callable[[int], Any], on_answer: AnswerHandler) -> None:
        if self.actor is None:
            return
        self.last_request_id += 1
        self.answer_handlers[self.last_request_id] = on_answer
        self.deliver(make_event(self.last_request_id))

    def receive_heartbeat(self, heartbeat: dict[str, Any], on_answer: AnswerHandler, is_copy: bool = False) -> None:
        """Receive a worker's heartbeat; a copy uses another connection, which a cut from the worker doesn't affect."""
        if not is_copy and self.workers.is_cut_from(self.world.workers.get(heartbeat["berth"])):
            return
        self.world.heartbeats += 1
        self.write_trace("in", "worker", heartbeat)
        decoded = msgspec.json.decode(json.dumps(heartbeat), type=m.WorkerHeartbeat)
        self._request(lambda request: fx.HeartbeatReceived(request, decoded), on_answer)

    def receive_user_request(self, verb: str, job_id: str, on_answer: AnswerHandler, spec: Any = None) -> None:
        """Receive a user's request: `submit` with a description, `poll` or `cancel`."""
        decoded = None if spec is None else m.read_submission(json.dumps(spec).encode())
        if isinstance(decoded, m.MalformedSubmission):
            verb = "malformed"
        self.write_trace("in", "user", verb, job_id, spec)
        self._request(lambda request: fx.UserRequest(request, verb, job_id, decoded), on_answer)

    def receive_query(self, question: str, on_answer: AnswerHandler) -> None:
        """Receive an operator's query to a subsystem."""
        self.write_trace("in", "question", question)
        self._request(lambda request: fx.SubsystemQuery(request, question), on_answer)


def read_frames(data: bytes) -> list[Any]:
    """Decode the frames of one message as a peer's connection thread does."""
    decoded = []
    # Bound: each pass removes at least a header from the data.
    while data:
        kind, length = frames.read_header(data[: frames.HEADER.size])
        end = frames.HEADER.size + length
        decoded.append(frames.read_frame(kind, data[frames.HEADER.size : end]))
        data = data[end:]
    return [frame for frame in decoded if frame is not None]
