"""The actor of one controller: takes messages, returns effects, does no I/O of its own."""

import logging
from collections.abc import Iterable, Sequence

from quinceslip.coordination.actor.context import SECOND, Context
from quinceslip.coordination.actor.effects import (
    Answer,
    Asked,
    Effect,
    Message,
    PeerSaid,
    Reported,
    Settle,
    Tick,
    ToPeers,
    UserRequest,
    ViewChanges,
    ViewReset,
)
from quinceslip.coordination.actor.subsystem import Maker
from quinceslip.coordination.autoscaling.autoscaler import Provisioner
from quinceslip.coordination.controller.user_requests import Users
from quinceslip.coordination.leadership.connectivity import Reach
from quinceslip.coordination.leadership.election import Ownership
from quinceslip.coordination.load_balancing.load_balancer import Balancer
from quinceslip.coordination.shard.shard import Shard
from quinceslip.dependencies.cancellation import Spreader
from quinceslip.feature_gate.gate import Rollout
from quinceslip.protocol import frames
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Settings, Tuning
from quinceslip.storage import records

log = logging.getLogger(__name__)

#: news of the cloud may come so much before the next heartbeat is due
NEWS_US = 3 * SECOND // 4


class Node:
    def __init__(self, settings: Settings, tuning: Tuning, now_us: int, wall_us: int,
                 makers: Sequence[Maker] = ()) -> None:
        self.ctx = Context(settings, tuning, now_us, wall_us)
        self.ctx.changed = self._changed
        self.labels = sorted([settings.label, *(p.label for p in settings.known)])
        self.home = self.labels.index(settings.label)
        self.shards: dict[int, Shard] = {}
        self.ownership = Ownership(self.ctx, self.home, self._gained, self._lost)
        self.rollout = Rollout(self.ctx, self.ownership, self.labels)
        self.ctx.allows = self.rollout.open
        self.subsystems = [make(self.ctx, self.ownership, self.shards) for make in makers]
        for subsystem in self.subsystems:
            self.ctx.view.know(subsystem.kinds)
        self.balancer = Balancer(self.ctx, self.ownership, self.shards)
        self.provision = Provisioner(self.ctx, self.ownership, self.shards)
        self.provision.quick_rooms = self.balancer.quick_rooms
        self.spreader = Spreader(self.ctx, self.ctx.graph, self.ownership.owns)
        self.users = Users(self.ctx, self.shards, self.balancer, self.subsystems)
        self.reach = Reach(self.ctx, self.home)
        self.next_beat_us = 0
        self.next_summary_us = now_us + 30 * SECOND
        self.next_give_back_us = 0

    def handle(self, message: Message, now_us: int) -> list[Effect]:
        ctx = self.ctx
        ctx.now_us = now_us
        ctx.out = []
        if isinstance(message, Tick):
            self._tick()
        elif isinstance(message, Reported):
            self._report(message.request, message.report)
        elif isinstance(message, Answer):
            ctx.answered(message)
        elif isinstance(message, UserRequest):
            if message.verb == "ready":
                ctx.reply(message.request, 200 if self.ready() else 503)
            else:
                self.users.take(message)
        elif isinstance(message, Asked):
            answers = [s.answer(message.question, message.after) for s in self.subsystems
                       if message.question in s.questions]
            ctx.reply(message.request, 200 if answers else 404, answers[0] if answers else {"error": "no such path"})
        elif isinstance(message, ViewChanges):
            self.ownership.watch_sent_us = max(self.ownership.watch_sent_us, message.asked_us)
            ctx.state_ok_us = now_us
            self._changed(ctx.view.apply(message.events, message.ledger))
            self.users.caught_up()
        elif isinstance(message, ViewReset):
            self.ownership.watch_sent_us = max(self.ownership.watch_sent_us, message.asked_us)
            self._changed(ctx.view.reset(message.items, message.ledger, message.until))
            self.users.caught_up()
        elif isinstance(message, PeerSaid):
            if isinstance(message.said, frames.Sightings):
                self.provision.supply.heard(message.said.label, message.said.sightings, now_us)
            else:
                self.balancer.heard(message.said)
        elif isinstance(message, Settle):
            for shard in self.shards.values():
                shard.settle()
            for subsystem in self.subsystems:
                subsystem.settled()
        return ctx.out

    # The view.

    def _changed(self, keys: Iterable[str]) -> None:
        keys = list(keys)
        # First who waits for whom: whether a job may start rests on the records of others in the same batch.
        pipelines = self.ctx.graph.changed([name for kind, name in map(records.View.split, keys) if kind == "job"])
        for key in keys:
            self.ctx.keys_synced += 1
            kind, name = records.View.split(key)
            if kind == "job":
                for shard in self.shards.values():
                    shard.recorder.sync(name)
            elif kind == "part":
                uid = name.partition("/")[2]
                for shard in self.shards.values():
                    shard.recorder.sync(uid)
            elif kind == "roster":
                self.provision.inventory.roster_changed(name)
                for shard in self.shards.values():
                    shard.roster_changed(name)
            elif kind == "shard":
                self.ownership.record_changed(int(name))
            elif kind == "stray":
                self.reach.noted(name)
            elif kind == "types":
                self.provision.types_changed()
            else:
                for subsystem in self.subsystems:
                    if kind in subsystem.kinds:
                        subsystem.changed(kind, name)
        for uid in pipelines.ready:
            self._ready(uid)
        for uid in pipelines.urged:
            for shard in self.shards.values():
                shard.recorder.urged(uid)

    def _ready(self, uid: str) -> None:
        """A job waits for no other any more: now it arrives, as by the paper's model."""
        for shard in self.shards.values():
            shard.recorder.sync(uid)
            chunk = shard.chunks.get(uid)
            if chunk is not None:
                self.balancer.arrives(shard, chunk)

    def _gained(self, index: int, term: int, own_before: int) -> None:
        known = self.shards.get(index)
        if known is not None:
            known.term_raised(term)
            return
        shard = self.shards[index] = Shard(self.ctx, self.ownership, index, term, own_before)
        for subsystem in self.subsystems:
            subsystem.gained(shard)

    def _lost(self, index: int) -> None:
        self.shards.pop(index, None)
        for subsystem in self.subsystems:
            subsystem.lost(index)

    # Time.

    def _tick(self) -> None:
        """Every part on its own: a defect in one of them costs that part its turn and nothing else."""
        for name, part in (("refused", self.ctx.tell_spared), ("rights", self.ownership.tick),
                           ("rollout", self.rollout.tick), ("shards", self._tick_shards),
                           ("machines", self.provision.tick), ("beat", self._tick_beat),
                           ("balance", self.balancer.tick), ("peers", self._tick_seldom),
                           *((type(s).__name__, s.tick) for s in self.subsystems), ("users", self.users.tick),
                           ("withdrawals", self.spreader.tick)):
            self.ctx.part = name
            try:
                part()
            except Exception:
                log.exception("a part of the tick failed")
        self.ctx.part = ""

    def _tick_shards(self) -> None:
        for shard in list(self.shards.values()):
            shard.tick()

    def _tick_beat(self) -> None:
        # What the cloud has or lacks is told at once: peers are about to ask for the same.
        if self.ctx.now_us >= self.next_beat_us - (NEWS_US if self.provision.supply.news else 0):
            self.next_beat_us = self.ctx.now_us + SECOND
            self._beat()

    def _tick_seldom(self) -> None:
        now_us = self.ctx.now_us
        if now_us >= self.next_summary_us:
            self.next_summary_us = now_us + 30 * SECOND
            for shard in self.shards.values():
                log.info("%s", shard.summary())
        if now_us >= self.next_give_back_us:
            self.next_give_back_us = now_us + SECOND
            self._give_back_shards()
            self._hand_over_shards()
        if self.ownership.entitled():
            self.reach.note()
        self.reach.tick()
        self.ownership.aside = self.reach.aside

    # Peers.

    def _beat(self) -> None:
        beat = frames.Beat(self.ctx.settings.label, self.ctx.state_ok(), self.ctx.view.ledger,
                           self.balancer.loads(), self.reach.aside, self.reach.strays())
        said = frames.pack_beat(beat)
        seen = self.provision.supply.tell(self.ctx.now_us)
        if seen:
            said += frames.pack_sightings(frames.Sightings(self.ctx.settings.label, seen))
        self.ctx.out.append(ToPeers(said))

    def ready(self) -> bool:
        """Unready only where this node alone has lost the state service.

        One that has lost its peers as well cannot tell an outage from its own network. Were it called ready, users
        would stay with it for as long as that lasts, and others may serve them.
        """
        if not self.ctx.view.loaded:
            return False
        if self.ctx.state_ok():
            return True
        if len(self.labels) > 1 and not any(map(self.balancer.alive, self.balancer.peers)):
            return False
        return not any(self.balancer.alive(label) and peer.beat.state_ok
                       for label, peer in self.balancer.peers.items())

    def _give_back_shards(self) -> None:
        """A shard goes home once its home has been back long enough and nothing is in doubt."""
        if not self.ownership.entitled():
            return
        for shard in list(self.shards.values()):
            label = self.labels[shard.index]
            if label == self.ctx.settings.label or not self.balancer.alive(label):
                continue
            peer = self.balancer.peers[label]
            steady_us = self.ctx.now_us - max(peer.since_us, shard.taken_us)
            calm = not shard.unresolved and all(w.confirmed or w.lost or not w.heard_us or w.hearing.refused
                                                for w in shard.workers.values())
            if peer.beat.state_ok and not peer.beat.aside and steady_us > 2 * self.ctx.timing.worker_lease_us and calm:
                self.ownership.give_back(shard.index)
                return

    def _hand_over_shards(self) -> None:
        """Peers that reach the workers of a shard take it from an owner that does not."""
        if not self.ownership.entitled():
            return
        for index, shard in self.shards.items():
            strays = sum(count for label, peer in self.balancer.peers.items() if self.balancer.alive(label)
                         for s, count in peer.beat.strays if s == index) + self.reach.written(index)
            if strays and self.reach.cut_off(shard.workers.values(), strays):
                self.reach.step_aside(index)
                self.ownership.give_back(index)
                return

    # Workers.

    def _report(self, request: int, report: m.WorkerReport) -> None:
        ctx = self.ctx
        record = ctx.view.by_kind["roster"].get(report.worker)
        if not ctx.view.loaded:
            ctx.reply(request, 503)
            return
        if record is None:
            self._adopt(request, report)
            return
        shard = self.shards.get(record.shard)
        if shard is None:
            owner = self.ownership.owner(record.shard)
            if owner is None or owner == ctx.settings.label:
                ctx.reply(request, 503)
            else:
                self.reach.stray(record.shard, report)
                ctx.reply(request, 421, m.redirect(owner))
            return
        if not self.ownership.answering():
            ctx.reply(request, 503)
            return
        if report.worker in self.provision.inventory.leaving:
            # Proven gone, and on the roster until the write that strikes it: a late report revives nothing.
            ctx.reply(request, 503)
            return
        if report.worker not in shard.workers:
            shard.roster_changed(report.worker)
        answer = shard.reported(report)
        if answer is None:
            ctx.reply(request, 503)
            return
        if not shard.workers[report.worker].hearing.doubted:
            self.reach.reported()  # a report that proves no more than its sending is no reach
        ctx.reply(request, 200, answer)

    def _adopt(self, request: int, report: m.WorkerReport) -> None:
        """A machine that nobody expected: put it on the roster first, then answer."""
        ctx = self.ctx
        if not self.ownership.entitled() or not self.shards:
            ctx.reply(request, 503)
            return
        index = self.home if self.home in self.shards else min(self.shards)

        def done(status: int, failed: list[str]) -> None:
            if report.worker in ctx.view.by_kind["roster"]:
                self._report(request, report)
            else:
                ctx.reply(request, 503)

        self.provision.inventory.adopt_reported(report, index, done)
