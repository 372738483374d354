"""Heartbeats of this controller to its peers, followed by its observations of the cloud's capacity."""

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import PeerBroadcast
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.autoscaling.capacity import CapacityObservations
from quinceslip.coordination.connectivity.connectivity import WorkerConnectivity
from quinceslip.coordination.load_balancing.load_balancer import LoadBalancer
from quinceslip.protocol import frames

HEARTBEAT_PERIOD_US = SECOND
#: a heartbeat with new observations of the cloud's capacity may be sent this long before it is due
MAX_HEARTBEAT_ADVANCE_US = 3 * SECOND // 4


class PeerHeartbeats:
    """Sends a heartbeat to every peer once a period."""

    def __init__(
        self,
        ctx: Context,
        load_balancer: LoadBalancer,
        connectivity: WorkerConnectivity,
        capacity: CapacityObservations,
    ) -> None:
        self.ctx = ctx
        self.load_balancer = load_balancer
        self.connectivity = connectivity
        self.capacity = capacity
        self.next_heartbeat_us = 0

    def tick(self) -> None:
        """Send a heartbeat when it is due, or early if its news saves peers a request to the cloud."""
        early_us = MAX_HEARTBEAT_ADVANCE_US if self.capacity.has_unsent_observations else 0
        if self.ctx.now_us >= self.next_heartbeat_us - early_us:
            self.next_heartbeat_us = self.ctx.now_us + HEARTBEAT_PERIOD_US
            self._send()

    def _send(self) -> None:
        label = self.ctx.settings.label
        heartbeat = frames.PeerHeartbeat(
            label,
            self.ctx.store_available(),
            self.ctx.cache.revision,
            self.load_balancer.loads(),
            self.connectivity.yielding,
            self.connectivity.misrouted.counts_by_shard(),
        )
        frame_bytes = frames.pack_heartbeat(heartbeat)
        observations = self.capacity.own_observations(self.ctx.now_us)
        if observations:
            frame_bytes += frames.pack_observations(frames.PeerObservations(label, observations))
        self.ctx.effects.append(PeerBroadcast(frame_bytes))
