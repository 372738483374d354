"""Runs one real controller actor: carries its effects out over the simulated cluster."""

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

if TYPE_CHECKING:
    from tests.simulation.world import World

#: what frames of this network's latency and their milliseconds may make of a moment, beside slow links
LATE_US = 10_000


class SimulatedController:
    """Runs one real actor: carries its effects out over the stand-ins."""

    def __init__(self, world: "World", label: str) -> None:
        self.world, self.label = world, label
        self.actor: Controller | None = None
        self.old = False  # the version before this one, which says nothing of what it supports
        self.life = 0
        self.waiting: dict[int, Callable[[int, Any], None]] = {}
        self.next_request = 0
        self.errors: list[str] = []
        self.deaf_peers_until_us = 0
        self.deaf_in_until_us = 0  # its peers' frames do not reach it, its own reach them
        self.state_cut: tuple[int, str] = (0, "")  # until when it loses the state service, and how: held, reset
        self.watch_hung_until_us = 0  # its watch stays open and brings nothing, while all else is answered
        self.cut_workers: tuple[int, str] = (0, "")  # until when it is cut from workers; a zone's, `!` all others', all
        self.operators = configparser.ConfigParser(interpolation=None)  # its own copy of the operators' file
        self.operators.read_dict(world.operators)
        world.after(10_000, self.start)

    def start(self) -> None:
        if self.actor is not None:
            return
        settings = settings_of(self.world.facts, self.label)
        self.life += 1
        self.waiting.clear()
        self.actor = Controller(
            settings, Tuning(), self.world.now_us, self.world.now_us, subsystem_factories(settings, self.operators)
        )
        self.actor.feature_gate.supported_level *= not self.old
        self._heartbeat(self.life)
        self._list(self.life)

    def crash(self) -> None:
        self.actor = None
        self.life += 1

    def _trace(self, direction: str, other: str, *said: Any) -> None:
        if self.world.trace is not None:
            self.world.trace.write(self.world.now_us, self.label, direction, other, *said)

    def deliver(self, message: Any, life: int | None = None) -> None:
        if self.actor is None or (life is not None and life != self.life):
            return
        for step in (message, fx.BatchEnd()):
            for effect in self.actor.handle(step, self.world.now_us):
                self._carry_out(effect)

    def _heartbeat(self, life: int) -> None:
        if life == self.life and self.actor is not None:
            self.deliver(fx.Tick())
            self._nothing_is_lost()
            self._nothing_is_younger()
            self.world.after(100_000, lambda: self._heartbeat(life))

    def _nothing_is_younger(self) -> None:
        """What is known of a peer's sightings is one of its own, as old as it is; hearsay is nobody's own."""
        supply = self.actor.autoscaler.capacity if self.actor is not None else None
        for origin, theirs in supply.all_observations().items() if supply is not None else ():
            node = self.world.controllers[origin].actor
            own = {} if node is None else node.autoscaler.capacity.all_observations().get(origin, {})
            for kind, known in theirs.items():
                mine = own.get(kind)
                version = (known.observation.born, known.observation.number)
                if (
                    known.at_us > self.world.now_us
                    or (mine is not None and version > (mine.observation.born, mine.observation.number))
                    or (
                        mine is not None
                        and version == (mine.observation.born, mine.observation.number)
                        and not mine.at_us <= known.at_us <= mine.at_us + LATE_US + self.world.links_us
                    )
                ):
                    self.world.checker.observed.breach(
                        "hearsay", f"{self.label} knows more of {kind} than {origin} saw"
                    )

    def _nothing_is_lost(self) -> None:
        """Every task of ours that is not done waits, runs, or is known to be in doubt: none that nobody will start."""
        for shard in self.actor.shards.values() if self.actor is not None else ():
            for partition in shard.partitions.values():
                left = (
                    partition.assigned
                    - partition.done
                    - partition.unrecorded_done
                    - partition.pending.members
                    - partition.attempts.keys()
                    - partition.unreconciled
                    - partition.indeterminate
                    - partition.crash_loop.on_hold
                )
                if left:
                    self.world.checker.observed.breach(
                        "stuck", f"{self.label} has lost {sorted(left)[:3]} of {partition.job_id}"
                    )
                if (
                    partition.crash_loop.on_hold
                    and not partition.pending
                    and not (partition.attempts or partition.indeterminate or partition.unreconciled)
                ):
                    self.world.checker.observed.breach("stuck", f"{self.label} tries nothing of {partition.job_id}")

    # The watch.

    def _list(self, life: int) -> None:
        if life != self.life:
            return
        world, state = self.world, self.world.store
        if not state.reachable(self.label) or world.now_us < self.state_cut[0]:
            world.after(300_000, lambda: self._list(life))
            return
        asked_us = world.now_us
        first = state.revision
        kinds = sorted({k.split("/")[1] for k in state.data})

        def page(place: int, items: list[m.Item]) -> None:
            """One kind of records is a page; what changes between two pages is seen in the later ones alone."""
            if life != self.life:
                return
            if not state.reachable(self.label):
                self._list(life)
                return
            items += [
                m.Item(k, msgspec.Raw(msgspec.json.encode(v)), s)
                for k, (v, s, _) in sorted(state.data.items())
                if not kinds or k.split("/")[1] == kinds[place]
            ]
            if place + 1 < len(kinds):
                world.after(state.page_gap_us, lambda: page(place + 1, items))
                return
            revision = state.revision
            self._reset(life, fx.StoreListing(items, first, asked_us, revision))

        if state.page_gap_us:
            page(0, [])
            return
        items = [m.Item(k, msgspec.Raw(msgspec.json.encode(v)), s) for k, (v, s, _) in sorted(state.data.items())]
        self._reset(life, fx.StoreListing(items, first, asked_us, first))

    def _reset(self, life: int, listing: Any) -> None:
        """A listing, and the watch from there on: what comes of one connection after another comes in order."""
        comes_us, next_us = self.world.latency(), self.world.latency() + 80_000
        self._trace("in", "state", "listing", comes_us, listing.revision, listing.until, listing.items)
        self.world.after(comes_us, lambda: self.deliver(listing, life))
        self.world.after(max(next_us, comes_us + 1), lambda: self._watch(life, listing.revision))

    def _watch(self, life: int, since: int) -> None:
        if life != self.life:
            return
        world, state = self.world, self.world.store
        if not state.reachable(self.label) or world.now_us < max(self.watch_hung_until_us, self.state_cut[0]):
            world.after(300_000, lambda: self._watch(life, since))
            return
        asked_us = world.now_us
        events = [
            msgspec.convert({**e, "v": msgspec.Raw(msgspec.json.encode(e.get("v")))}, m.Event)
            for e in state.history
            if e["stamp"] > since
        ]
        revision = state.revision
        comes_us = world.latency()
        self._trace("in", "state", "watch", comes_us, revision, events)
        world.after(comes_us, lambda: self.deliver(fx.StoreChanges(events, revision, asked_us), life))
        # The next one is asked for when this one has come: over slow links, too, a watch brings changes in order.
        world.after(max(80_000 if events else 150_000, comes_us + 1), lambda: self._watch(life, revision))

    # Effects.

    def _carry_out(self, effect: Any) -> None:
        world, life = self.world, self.life
        if isinstance(effect, fx.Reply):
            answer = self.waiting.pop(effect.request, None)
            self._trace("out", "reply", effect.request, effect.status, effect.body, effect.headers)
            if answer is not None:
                body = json.loads(msgspec.json.encode(effect.body))
                world.after(world.latency(), lambda: answer(effect.status, body))
            return
        if isinstance(effect, fx.ToPeers):
            self._trace("out", "peers", effect.frames.hex())
            for other in world.controllers.values():
                if other is not self and world.now_us >= max(
                    other.deaf_peers_until_us, other.deaf_in_until_us, self.deaf_peers_until_us
                ):
                    for said in read_frames(effect.frames):
                        world.after(world.latency(), partial(other.deliver, fx.PeerFrameReceived(said)))
            return
        body = json.loads(msgspec.json.encode(effect.body))
        self._trace(
            "out",
            effect.target,
            effect.method,
            effect.path,
            body,
            effect.timeout_us,
            effect.writes,
            int(effect.urgency),
        )

        def back(status: int, answer: Any) -> None:
            data = json.dumps(answer).encode()
            self._trace("in", effect.target, effect.path, status, answer)
            world.after(world.latency(), lambda: self.deliver(fx.CallResult(effect.id, status, data), life))

        if effect.target in ("state", "lease"):
            cut_until_us, how = self.state_cut
            if world.now_us < cut_until_us:
                # Held: it arrives when the cut ends, and its sender has given up. Reset: it never does.
                if how == "held":
                    world.after(
                        cut_until_us - world.now_us + world.latency(),
                        lambda: world.store.answer("", effect.method, effect.path, body),
                    )
                world.after(effect.timeout_us if how == "held" else world.latency(), lambda: back(0, {}))
                return
            until_us, least_us, most_us, share = world.store.late.get(self.label, (0, 0, 0, 0.0))
            if effect.path == "/txn" and world.now_us < until_us and world.random.random() < share:
                world.after(
                    world.random.randint(least_us, most_us),
                    lambda: world.store.answer("", effect.method, effect.path, body),
                )
                world.after(effect.timeout_us, lambda: back(0, {}))
                return
            until_us, share = world.store.unanswered.get(self.label, (0, 0.0))
            drops = [op.get("drop", "") for op in body.get("then", [])] if effect.path == "/txn" else []
            if any(key.startswith("q/shard/") for key in drops) and self.label in world.store.hand_over_lost:
                hung_us, lost = world.store.hand_over_lost.pop(self.label)
                self.watch_hung_until_us = world.now_us + hung_us
                until_us, share = world.now_us + 1, 1.0
                world.handed_over_us = world.now_us
                if lost:
                    world.after(effect.timeout_us, lambda: back(0, {}))
                    return
            if effect.path == "/txn" and world.now_us < until_us and world.random.random() < share:
                world.store.answers_lost += 1
                world.after(world.latency(), lambda: world.store.answer(self.label, effect.method, effect.path, body))
                world.after(effect.timeout_us, lambda: back(0, {}))
                return
            until_us, most_us = world.store.slow.get(self.label, (0, 0))
            if world.now_us < until_us:
                # It waits before it is carried out and after; its sender gives up in between.
                there_us, back_us = (world.random.randint(0, most_us // 2) for _ in range(2))

                def carried_out() -> None:
                    answer = world.store.answer(self.label, effect.method, effect.path, body)
                    world.after(back_us, lambda: back(*answer))

                world.after(there_us + world.latency(), carried_out)
                world.after(effect.timeout_us, lambda: back(0, {}))
                return
            world.after(
                world.latency(), lambda: back(*world.store.answer(self.label, effect.method, effect.path, body))
            )
        elif effect.target == "cloud":
            world.after(world.latency(), lambda: back(*world.cloud.answer(effect.method, effect.path, body)))
        else:
            self._to_worker(effect, body, back)

    def _to_worker(self, effect: Any, body: Any, back: Callable[[int, Any], None]) -> None:
        world = self.world
        worker = next((w for w in world.workers.values() if w.host["endpoint"] == effect.target), None)
        if worker is None:
            world.after(effect.timeout_us, lambda: back(fx.NOT_SENT, {}))
        elif self._is_cut_from(worker) or worker.is_unreachable():
            # Held back by the network, delivered when the interruption ends.
            if effect.path == "/do" and not worker.drops:
                worker.undelivered.append(body)
            world.after(effect.timeout_us, lambda: back(fx.UNKNOWN, {}))
        elif effect.path == "/do" and world.now_us < worker.slow_commands.until_us:
            # Held up by itself, while all else passes: on the way there, or the answer on its way back.
            go_us, come_us = (world.random.randint(0, most) for most in worker.slow_commands[1:])

            def arrives() -> None:
                now = next((w for w in world.workers.values() if w.host["endpoint"] == effect.target), None)
                if now is not None:
                    reply = now.receive_commands(body)
                    world.after(come_us + world.latency(), lambda: back(*reply))

            world.after(go_us + world.latency(), arrives)
            world.after(effect.timeout_us, lambda: back(fx.UNKNOWN, {}))
        elif effect.path == "/inspect":
            world.after(world.latency(), lambda: back(200, worker.heartbeat()))
        else:
            world.after(world.latency(), lambda: back(*worker.receive_commands(body)))

    def _is_cut_from(self, worker: Any) -> bool:
        until_us, zone = self.cut_workers
        if self.world.now_us >= until_us or not zone:
            return self.world.now_us < until_us
        return worker is not None and (worker.host["yard"] == zone.lstrip("!")) != zone.startswith("!")

    # Requests.

    def _request(self, make: Callable[[int], Any], answer: Callable[[int, Any], None]) -> None:
        if self.actor is None:
            return
        self.next_request += 1
        self.waiting[self.next_request] = answer
        self.deliver(make(self.next_request))

    def receive_heartbeat(
        self, heartbeat: dict[str, Any], answer: Callable[[int, Any], None], is_copy: bool = False
    ) -> None:
        if self._is_cut_from(self.world.workers.get(heartbeat["berth"])) and not is_copy:
            return
        self.world.heartbeats += 1
        self._trace("in", "worker", heartbeat)
        decoded = msgspec.json.decode(json.dumps(heartbeat), type=m.WorkerHeartbeat)
        self._request(lambda n: fx.HeartbeatReceived(n, decoded), answer)

    def user(self, verb: str, job_id: str, answer: Callable[[int, Any], None], spec: Any = None) -> None:
        decoded = None if spec is None else m.read_submission(json.dumps(spec).encode())
        if isinstance(decoded, m.Malformed):
            verb = "malformed"
        self._trace("in", "user", verb, job_id, spec)
        self._request(lambda n: fx.UserRequest(n, verb, job_id, decoded), answer)

    def ask(self, question: str, answer: Callable[[int, Any], None]) -> None:
        self._trace("in", "question", question)
        self._request(lambda n: fx.SubsystemQuery(n, question), answer)


def read_frames(data: bytes) -> list[Any]:
    """What the frames of one message say, as a peer's thread reads them."""
    found = []
    while data:
        kind, length = frames.read_header(data[: frames.HEADER.size])
        end = frames.HEADER.size + length
        found.append(frames.read_frame(kind, data[frames.HEADER.size : end]))
        data = data[end:]
    return [said for said in found if said is not None]
