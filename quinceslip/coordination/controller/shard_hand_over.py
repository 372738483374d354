"""Hand-over of shards by their leader, to their home controller or to peers that reach their workers."""

from collections.abc import Sequence

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.connectivity.connectivity import WorkerConnectivity
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.load_balancing.peers import Peers
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.worker import Worker

CHECK_PERIOD_US = SECOND
#: a shard returns home once its home controller and its present leader have been stable for this many worker leases
MIN_STABLE_LEASES = 2


class ShardHandOver:
    """Decides when this controller hands over a shard that it leads: at most one of each kind per check."""

    def __init__(
        self,
        ctx: Context,
        labels: Sequence[str],
        shards: dict[int, Shard],
        election: LeaderElection,
        peers: Peers,
        connectivity: WorkerConnectivity,
    ) -> None:
        self.ctx = ctx
        self.labels = labels
        self.shards = shards
        self.election = election
        self.peers = peers
        self.connectivity = connectivity
        self.next_check_us = 0

    def tick(self) -> None:
        """Hand over shards, if a check is due."""
        if self.ctx.now_us < self.next_check_us:
            return
        self.next_check_us = self.ctx.now_us + CHECK_PERIOD_US
        self._return_one_home()
        self._hand_over_one_unreachable()

    def _return_one_home(self) -> None:
        """Hand over one shard to its home controller, if there is one that may return."""
        if not self.election.may_launch():
            return
        for shard in self.shards.values():
            if self._may_return_home(shard):
                self.election.hand_over(shard.index)
                return

    def _may_return_home(self, shard: Shard) -> bool:
        """Whether a shard's home controller has been back long enough, and nothing in the shard is indeterminate."""
        home = self.labels[shard.index]
        if home == self.ctx.settings.label or not self.peers.is_alive(home):
            return False
        peer = self.peers.by_label[home]
        if not peer.heartbeat.state_ok or peer.heartbeat.yielding:
            return False
        stable_us = self.ctx.now_us - max(peer.alive_since_us, shard.led_since_us)
        if stable_us <= MIN_STABLE_LEASES * self.ctx.timing.worker_lease_us:
            return False
        return (
            not shard.unreconciled
            and not shard.addresses.open
            and all(map(_is_fenced_or_unreachable, shard.workers.values()))
        )

    def _hand_over_one_unreachable(self) -> None:
        """Hand over one shard whose workers reach peers but not this controller."""
        if not self.election.may_launch():
            return
        for index, shard in self.shards.items():
            misrouted = self._misrouted_worker_count(index)
            if misrouted and self.connectivity.lost_contact(shard.workers.values(), misrouted):
                self.connectivity.start_yielding(index)
                self.election.hand_over(index)
                return

    def _misrouted_worker_count(self, shard: int) -> int:
        """Return how many workers of a shard reported to peers, by the peers' heartbeats and records."""
        reported = 0
        for peer in self.peers.alive():
            reported += sum(count for index, count in peer.heartbeat.misrouted if index == shard)
        return reported + self.connectivity.misrouted.count_recorded_by_peers(shard)


def _is_fenced_or_unreachable(worker: Worker) -> bool:
    """Whether a worker has acknowledged this leadership's term, or cannot do so for now."""
    return worker.fenced or worker.lease_expired or not worker.last_contact_us or worker.delivery.unreachable
