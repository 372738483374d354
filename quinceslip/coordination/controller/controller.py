"""The actor of one controller: takes messages, returns effects, does no I/O of its own."""

import logging
from collections.abc import Iterable, Sequence

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import (
    BatchEnd,
    CallResult,
    Effect,
    HeartbeatReceived,
    Message,
    PeerFrameReceived,
    StoreChanges,
    StoreListing,
    SubsystemQuery,
    Tick,
    ToPeers,
    UserRequest,
)
from quinceslip.coordination.actor.subsystem import SubsystemFactory
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.autoscaling.autoscaler import Autoscaler
from quinceslip.coordination.controller.user_requests import UserRequests
from quinceslip.coordination.leadership.connectivity import WorkerConnectivity
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.load_balancing.load_balancer import LoadBalancer
from quinceslip.coordination.shard.shard import Shard
from quinceslip.dependencies.cancellation import CancellationPropagator
from quinceslip.feature_gate.gate import FeatureGate
from quinceslip.protocol import frames
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Settings, Tuning
from quinceslip.storage.cache import StoreCache

log = logging.getLogger(__name__)

#: news of the cloud may come so much before the next heartbeat is due
NEWS_US = 3 * SECOND // 4


class Controller:
    def __init__(
        self,
        settings: Settings,
        tuning: Tuning,
        now_us: int,
        wall_us: int,
        subsystem_factories: Sequence[SubsystemFactory] = (),
    ) -> None:
        self.ctx = Context(settings, tuning, now_us, wall_us)
        self.ctx.on_records_changed = self._records_changed
        self.labels = sorted([settings.label, *(p.label for p in settings.known)])
        self.home_shard = self.labels.index(settings.label)
        self.shards: dict[int, Shard] = {}
        self.election = LeaderElection(self.ctx, self.home_shard, self._shard_gained, self._shard_lost)
        self.feature_gate = FeatureGate(self.ctx, self.election, self.labels)
        self.ctx.feature_active = self.feature_gate.is_open
        self.subsystems = [make(self.ctx, self.election, self.shards) for make in subsystem_factories]
        for subsystem in self.subsystems:
            self.ctx.cache.register_kind(subsystem.kinds)
        self.load_balancer = LoadBalancer(self.ctx, self.election, self.shards)
        self.autoscaler = Autoscaler(self.ctx, self.election, self.shards)
        self.autoscaler.quick_service_cpus = self.load_balancer.quick_service_cpus
        self.cancellation_propagator = CancellationPropagator(self.ctx, self.ctx.graph, self.election.leads)
        self.user_requests = UserRequests(self.ctx, self.shards, self.load_balancer, self.subsystems)
        self.connectivity = WorkerConnectivity(self.ctx, self.home_shard)
        self.next_heartbeat_us = 0
        self.next_summary_us = now_us + 30 * SECOND
        self.next_hand_over_us = 0

    def handle(self, message: Message, now_us: int) -> list[Effect]:
        ctx = self.ctx
        ctx.now_us = now_us
        ctx.effects = []
        if isinstance(message, Tick):
            self._tick()
        elif isinstance(message, HeartbeatReceived):
            self._receive_heartbeat(message.request, message.heartbeat)
        elif isinstance(message, CallResult):
            ctx.handle_result(message)
        elif isinstance(message, UserRequest):
            if message.verb == "ready":
                ctx.reply(message.request, 200 if self.ready() else 503)
            else:
                self.user_requests.handle(message)
        elif isinstance(message, SubsystemQuery):
            answers = [
                s.answer(message.question, message.after) for s in self.subsystems if message.question in s.questions
            ]
            ctx.reply(message.request, 200 if answers else 404, answers[0] if answers else {"error": "no such path"})
        elif isinstance(message, StoreChanges):
            self.election.watch_sent_us = max(self.election.watch_sent_us, message.asked_us)
            ctx.store_ok_us = now_us
            self._records_changed(ctx.cache.apply_changes(message.events, message.revision))
            self.user_requests.cache_advanced()
        elif isinstance(message, StoreListing):
            self.election.watch_sent_us = max(self.election.watch_sent_us, message.asked_us)
            self._records_changed(ctx.cache.apply_listing(message.items, message.revision, message.until))
            self.user_requests.cache_advanced()
        elif isinstance(message, PeerFrameReceived):
            if isinstance(message.said, frames.PeerObservations):
                self.autoscaler.capacity.observations_received(message.said.label, message.said.observations, now_us)
            else:
                self.load_balancer.peers.heartbeat_received(message.said)
        elif isinstance(message, BatchEnd):
            for shard in self.shards.values():
                shard.end_batch()
            for subsystem in self.subsystems:
                subsystem.batch_ended()
        return ctx.effects

    # The view.

    def _records_changed(self, keys: Iterable[str]) -> None:
        keys = list(keys)
        # First who waits for whom: whether a job may start rests on the records of others in the same batch.
        pipelines = self.ctx.graph.records_changed(
            [name for kind, name in map(StoreCache.split, keys) if kind == "job"]
        )
        for key in keys:
            self.ctx.records_applied += 1
            kind, name = StoreCache.split(key)
            if kind == "job":
                for shard in self.shards.values():
                    shard.persistence.load(name)
            elif kind == "part":
                job_id = name.partition("/")[2]
                for shard in self.shards.values():
                    shard.persistence.load(job_id)
            elif kind == "roster":
                self.autoscaler.inventory.machine_record_changed(name)
                for shard in self.shards.values():
                    shard.machine_record_changed(name)
            elif kind == "shard":
                self.election.shard_record_changed(int(name))
            elif kind == "stray":
                self.connectivity.peer_record_changed(name)
            elif kind == "types":
                self.autoscaler.types_changed()
            else:
                for subsystem in self.subsystems:
                    if kind in subsystem.kinds:
                        subsystem.record_changed(kind, name)
        for job_id in pipelines.ready:
            self._job_ready(job_id)
        for job_id in pipelines.urgency_changed:
            for shard in self.shards.values():
                shard.persistence.urgency_changed(job_id)

    def _job_ready(self, job_id: str) -> None:
        """A job waits for no other any more: now it arrives, as by the paper's model."""
        for shard in self.shards.values():
            shard.persistence.load(job_id)
            partition = shard.partitions.get(job_id)
            if partition is not None:
                self.load_balancer.job_ready(shard, partition)

    def _shard_gained(self, index: int, term: int, previous_own_term: int) -> None:
        known = self.shards.get(index)
        if known is not None:
            known.term_raised(term)
            return
        shard = self.shards[index] = Shard(self.ctx, self.election, index, term, previous_own_term)
        for subsystem in self.subsystems:
            subsystem.shard_gained(shard)

    def _shard_lost(self, index: int) -> None:
        self.shards.pop(index, None)
        for subsystem in self.subsystems:
            subsystem.shard_lost(index)

    # Time.

    def _tick(self) -> None:
        """Every part on its own: a defect in one of them costs that part its turn and nothing else."""
        for name, part in (
            ("refused", self.ctx.answer_rejected_again),
            ("rights", self.election.tick),
            ("rollout", self.feature_gate.tick),
            ("shards", self._tick_shards),
            ("machines", self.autoscaler.tick),
            ("beat", self._tick_heartbeat),
            ("balance", self.load_balancer.tick),
            ("peers", self._tick_periodic),
            *((type(s).__name__, s.tick) for s in self.subsystems),
            ("users", self.user_requests.tick),
            ("withdrawals", self.cancellation_propagator.tick),
        ):
            self.ctx.active_part = name
            try:
                part()
            except Exception:
                log.exception("a part of the tick failed")
        self.ctx.active_part = ""

    def _tick_shards(self) -> None:
        for shard in list(self.shards.values()):
            shard.tick()

    def _tick_heartbeat(self) -> None:
        # What the cloud has or lacks is told at once: peers are about to ask for the same.
        if self.ctx.now_us >= self.next_heartbeat_us - (NEWS_US if self.autoscaler.capacity.has_news else 0):
            self.next_heartbeat_us = self.ctx.now_us + SECOND
            self._heartbeat()

    def _tick_periodic(self) -> None:
        now_us = self.ctx.now_us
        if now_us >= self.next_summary_us:
            self.next_summary_us = now_us + 30 * SECOND
            for shard in self.shards.values():
                log.info("%s", shard.summary())
        if now_us >= self.next_hand_over_us:
            self.next_hand_over_us = now_us + SECOND
            self._hand_shards_home()
            self._hand_over_unreachable_shards()
        if self.election.may_launch():
            self.connectivity.write_misrouted_record()
        self.connectivity.tick()
        self.election.yielding = self.connectivity.yielding

    # Peers.

    def _heartbeat(self) -> None:
        heartbeat = frames.PeerHeartbeat(
            self.ctx.settings.label,
            self.ctx.store_available(),
            self.ctx.cache.revision,
            self.load_balancer.loads(),
            self.connectivity.yielding,
            self.connectivity.misrouted_counts(),
        )
        said = frames.pack_heartbeat(heartbeat)
        seen = self.autoscaler.capacity.own_observations(self.ctx.now_us)
        if seen:
            said += frames.pack_observations(frames.PeerObservations(self.ctx.settings.label, seen))
        self.ctx.effects.append(ToPeers(said))

    def ready(self) -> bool:
        """Unready only where this node alone has lost the state service.

        One that has lost its peers as well cannot tell an outage from its own network. Were it called ready, users
        would stay with it for as long as that lasts, and others may serve them.
        """
        if not self.ctx.cache.synced:
            return False
        if self.ctx.store_available():
            return True
        if len(self.labels) > 1 and not any(map(self.load_balancer.peers.is_alive, self.load_balancer.peers.by_label)):
            return False
        return not any(
            self.load_balancer.peers.is_alive(label) and peer.heartbeat.state_ok
            for label, peer in self.load_balancer.peers.by_label.items()
        )

    def _hand_shards_home(self) -> None:
        """A shard goes home once its home has been back long enough and nothing is in doubt."""
        if not self.election.may_launch():
            return
        for shard in list(self.shards.values()):
            label = self.labels[shard.index]
            if label == self.ctx.settings.label or not self.load_balancer.peers.is_alive(label):
                continue
            peer = self.load_balancer.peers.by_label[label]
            steady_us = self.ctx.now_us - max(peer.alive_since_us, shard.led_since_us)
            calm = not shard.unreconciled and all(
                w.fenced or w.lease_expired or not w.last_contact_us or w.delivery.unreachable
                for w in shard.workers.values()
            )
            if (
                peer.heartbeat.state_ok
                and not peer.heartbeat.yielding
                and steady_us > 2 * self.ctx.timing.worker_lease_us
                and calm
            ):
                self.election.hand_over(shard.index)
                return

    def _hand_over_unreachable_shards(self) -> None:
        """Peers that reach the workers of a shard take it from an owner that does not."""
        if not self.election.may_launch():
            return
        for index, shard in self.shards.items():
            misrouted = sum(
                count
                for label, peer in self.load_balancer.peers.by_label.items()
                if self.load_balancer.peers.is_alive(label)
                for s, count in peer.heartbeat.misrouted
                if s == index
            ) + self.connectivity.recorded_misrouted(index)
            if misrouted and self.connectivity.lost_contact(shard.workers.values(), misrouted):
                self.connectivity.start_yielding(index)
                self.election.hand_over(index)
                return

    # Workers.

    def _receive_heartbeat(self, request: int, heartbeat: m.WorkerHeartbeat) -> None:
        ctx = self.ctx
        record = ctx.cache.by_kind["roster"].get(heartbeat.worker)
        if not ctx.cache.synced:
            ctx.reply(request, 503)
            return
        if record is None:
            self._adopt_machine(request, heartbeat)
            return
        shard = self.shards.get(record.shard)
        if shard is None:
            owner = self.election.leader(record.shard)
            if owner is None or owner == ctx.settings.label:
                ctx.reply(request, 503)
            else:
                self.connectivity.worker_misrouted(record.shard, heartbeat)
                ctx.reply(request, 421, m.redirect(owner))
            return
        if not self.election.may_answer():
            ctx.reply(request, 503)
            return
        if heartbeat.worker in self.autoscaler.inventory.to_deregister:
            # Proven gone, and on the roster until the write that strikes it: a late report revives nothing.
            ctx.reply(request, 503)
            return
        if heartbeat.worker not in shard.workers:
            shard.machine_record_changed(heartbeat.worker)
        answer = shard.receive_heartbeat(heartbeat)
        if answer is None:
            ctx.reply(request, 503)
            return
        if not shard.workers[heartbeat.worker].delivery.suspect:
            self.connectivity.worker_contacted()  # a report that proves no more than its sending is no reach
        ctx.reply(request, 200, answer)

    def _adopt_machine(self, request: int, heartbeat: m.WorkerHeartbeat) -> None:
        """A machine that nobody expected: put it on the roster first, then answer."""
        ctx = self.ctx
        if not self.election.may_launch() or not self.shards:
            ctx.reply(request, 503)
            return
        index = self.home_shard if self.home_shard in self.shards else min(self.shards)

        def done(status: int, failed: list[str]) -> None:
            if heartbeat.worker in ctx.cache.by_kind["roster"]:
                self._receive_heartbeat(request, heartbeat)
            else:
                ctx.reply(request, 503)

        self.autoscaler.inventory.adopt_from_heartbeat(heartbeat, index, done)
