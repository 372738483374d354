"""The actor of one controller: handles messages and returns effects; does no I/O itself."""

import logging
from collections.abc import Callable, Sequence
from typing import Any

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import (
    BatchEnd,
    CallResult,
    Effect,
    HeartbeatReceived,
    Message,
    MessageFailedError,
    PeerFrameReceived,
    StoreChanges,
    StoreListing,
    SubsystemQuery,
    Tick,
    UserRequest,
)
from quinceslip.coordination.actor.isolation import run_isolated
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.autoscaling.autoscaler import Autoscaler
from quinceslip.coordination.connectivity.connectivity import WorkerConnectivity
from quinceslip.coordination.controller.peer_heartbeats import PeerHeartbeats
from quinceslip.coordination.controller.periodic_work import PeriodicComponent, PeriodicWork
from quinceslip.coordination.controller.record_changes import RecordChanges
from quinceslip.coordination.controller.shard_hand_over import ShardHandOver
from quinceslip.coordination.controller.subsystem import SubsystemFactory
from quinceslip.coordination.controller.user_requests import UserRequests
from quinceslip.coordination.controller.worker_heartbeats import WorkerHeartbeats
from quinceslip.coordination.jobs.cancellation_propagation import CancellationPropagator
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.load_balancing.load_balancer import LoadBalancer
from quinceslip.coordination.shard.shard import Shard
from quinceslip.feature_gate.gate import FeatureGate
from quinceslip.protocol import frames
from quinceslip.protocol.settings import Settings, Tuning

log = logging.getLogger(__name__)

SUMMARY_PERIOD_US = 30 * SECOND


class Controller:
    """Routes messages to its components. Owned by one thread; the caller carries out the effects."""

    def __init__(
        self,
        settings: Settings,
        tuning: Tuning,
        now_us: int,
        wall_us: int,
        subsystem_factories: Sequence[SubsystemFactory] = (),
    ) -> None:
        self.ctx = Context(settings, tuning, now_us, wall_us)
        self.labels = sorted([settings.label, *(peer.label for peer in settings.known)])
        self.home_shard = self.labels.index(settings.label)
        self.shards: dict[int, Shard] = {}
        self.election = LeaderElection(self.ctx, self.home_shard, self._shard_gained, self._shard_lost)
        self.feature_gate = FeatureGate(self.ctx, self.election, self.labels)
        self.ctx.feature_active = self.feature_gate.is_open
        self.subsystems = [create(self.ctx, self.election, self.shards) for create in subsystem_factories]
        for subsystem in self.subsystems:
            self.ctx.cache.register_kinds(subsystem.kinds)
        self.load_balancer = LoadBalancer(self.ctx, self.election, self.shards)
        self.autoscaler = Autoscaler(self.ctx, self.election, self.shards)
        self.autoscaler.quick_service_cpus = self.load_balancer.quick_service_cpus
        self.cancellation_propagator = CancellationPropagator(self.ctx, self.ctx.graph, self.election.leads)
        self.connectivity = WorkerConnectivity(self.ctx, self.home_shard)
        self._create_message_components()
        self._message_handlers = self._make_message_handlers()
        self.periodic_work = PeriodicWork(self.ctx, self._make_periodic_components())
        self.next_summary_us = now_us + SUMMARY_PERIOD_US

    def _create_message_components(self) -> None:
        """Create the components that messages are routed to, from those that own the state."""
        self.user_requests = UserRequests(self.ctx, self.shards, self.load_balancer, self.subsystems, self.ready)
        self.record_changes = RecordChanges(
            self.ctx,
            self.shards,
            self.election,
            self.load_balancer,
            self.autoscaler,
            self.connectivity,
            self.subsystems,
        )
        self.ctx.on_records_changed = self.record_changes.apply
        self.worker_heartbeats = WorkerHeartbeats(
            self.ctx, self.home_shard, self.shards, self.election, self.autoscaler.inventory, self.connectivity
        )
        self.peer_heartbeats = PeerHeartbeats(self.ctx, self.load_balancer, self.connectivity, self.autoscaler.capacity)
        self.shard_hand_over = ShardHandOver(
            self.ctx, self.labels, self.shards, self.election, self.load_balancer.peers, self.connectivity
        )

    def _make_message_handlers(self) -> dict[type[Message], Callable[[Any], None]]:
        """Return the handler of each message type; its parameter is of the type that it is registered for."""
        return {
            Tick: self._handle_tick,
            BatchEnd: self._handle_batch_end,
            CallResult: self.ctx.handle_result,
            UserRequest: self.user_requests.handle,
            SubsystemQuery: self._handle_subsystem_query,
            HeartbeatReceived: self.worker_heartbeats.handle,
            StoreListing: self._handle_store_listing,
            StoreChanges: self._handle_store_changes,
            PeerFrameReceived: self._handle_peer_frame,
        }

    def _make_periodic_components(self) -> list[PeriodicComponent]:
        """Return the components that a tick runs, in order; their names appear in stall records."""
        return [
            PeriodicComponent("refused", self.ctx.report_rejected_writes),
            PeriodicComponent("rights", self.election.tick),
            PeriodicComponent("rollout", self.feature_gate.tick),
            PeriodicComponent("shards", self._tick_shards),
            PeriodicComponent("machines", self.autoscaler.tick),
            PeriodicComponent("beat", self.peer_heartbeats.tick),
            PeriodicComponent("balance", self.load_balancer.tick),
            PeriodicComponent("peers", self._tick_leadership),
            *(PeriodicComponent(type(subsystem).__name__, subsystem.tick) for subsystem in self.subsystems),
            PeriodicComponent("users", self.user_requests.tick),
            PeriodicComponent("withdrawals", self.cancellation_propagator.tick),
        ]

    def handle(self, message: Message, now_us: int) -> list[Effect]:
        """Handle one message at `now_us`, and return the resulting effects in order.

        Raises MessageFailedError, with the effects up to then, if it can't be handled to its end.
        """
        self.ctx.now_us = now_us
        self.ctx.effects = []
        try:
            self._message_handlers[type(message)](message)
        except Exception as error:
            raise MessageFailedError(self.ctx.effects) from error
        return self.ctx.effects

    def ready(self) -> bool:
        """Whether users should be sent here: not if this controller alone has lost the key-value store.

        A controller that has lost its peers as well cannot tell a store outage from a fault of its own network. If it
        reported ready, users would stay with it for as long as that lasts, although other controllers may serve them.
        """
        if not self.ctx.cache.synced:
            return False
        if self.ctx.store_available():
            return True
        alive = list(self.load_balancer.peers.alive())
        if len(self.labels) > 1 and not alive:
            return False
        return not any(peer.heartbeat.state_ok for peer in alive)

    # Messages.

    def _handle_tick(self, _message: Tick) -> None:
        self.periodic_work.tick()

    def _handle_batch_end(self, _message: BatchEnd) -> None:
        for shard in self.shards.values():
            run_isolated(shard.end_batch, "end of a batch failed shard=%d", shard.index)
        for subsystem in self.subsystems:
            run_isolated(subsystem.batch_ended, "end of a batch failed subsystem=%s", type(subsystem).__name__)

    def _handle_subsystem_query(self, message: SubsystemQuery) -> None:
        for subsystem in self.subsystems:
            if message.question in subsystem.questions:
                self.ctx.reply(message.request, 200, subsystem.answer(message.question, message.after))
                return
        self.ctx.reply(message.request, 404, {"error": "no such path"})

    def _handle_store_changes(self, message: StoreChanges) -> None:
        self.election.lease.watch_answered(message.requested_us)
        self.ctx.last_store_answer_us = self.ctx.now_us
        self.record_changes.apply(self.ctx.cache.apply_changes(message.events, message.revision))
        self.user_requests.cache_advanced()

    def _handle_store_listing(self, message: StoreListing) -> None:
        self.election.lease.watch_answered(message.requested_us)
        self.record_changes.apply(
            self.ctx.cache.apply_listing(message.items, message.revision, message.last_page_revision)
        )
        self.user_requests.cache_advanced()

    def _handle_peer_frame(self, message: PeerFrameReceived) -> None:
        frame = message.frame
        if isinstance(frame, frames.PeerObservations):
            self.autoscaler.capacity.observations_received(frame.label, frame.observations, self.ctx.now_us)
        else:
            self.load_balancer.peers.heartbeat_received(frame)

    # Leadership.

    def _shard_gained(self, index: int, term: int, own_term_before_restart: int) -> None:
        """Start to lead a shard, or continue to lead it under a higher term."""
        existing = self.shards.get(index)
        if existing is not None:
            existing.term_raised(term)
            return
        shard = Shard(self.ctx, self.election, index, term, own_term_before_restart)
        self.shards[index] = shard
        for subsystem in self.subsystems:
            subsystem.shard_gained(shard)

    def _shard_lost(self, index: int) -> None:
        """Stop leading a shard."""
        self.shards.pop(index, None)
        for subsystem in self.subsystems:
            subsystem.shard_lost(index)

    # Periodic work.

    def _tick_shards(self) -> None:
        for shard in list(self.shards.values()):
            run_isolated(shard.tick, "periodic work of a shard failed shard=%d", shard.index)

    def _tick_leadership(self) -> None:
        """Log shard summaries, hand over shards that peers should lead, and check whether workers reach this one."""
        self._log_summary()
        self.shard_hand_over.tick()
        if self.election.may_launch():
            self.connectivity.misrouted.write_record()
        self.connectivity.tick()
        self.election.yielding = self.connectivity.yielding

    def _log_summary(self) -> None:
        if self.ctx.now_us < self.next_summary_us:
            return
        self.next_summary_us = self.ctx.now_us + SUMMARY_PERIOD_US
        for shard in self.shards.values():
            log.info("%s", shard.summary())
