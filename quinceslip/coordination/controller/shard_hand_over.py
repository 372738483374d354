"""Hand-over of shards by their leader: to their home controller, or to peers that reach their workers."""

from collections.abc import Sequence

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.connectivity.connectivity import WorkerConnectivity
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.load_balancing.peers import Peers
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.worker import Worker

CHECK_PERIOD_US = SECOND
#: home controller and present leader have been steady for this many worker leases before a shard goes home
STEADY_WORKER_LEASES = 2


class ShardHandOver:
    """Decides when this controller hands over a shard that it leads; at most one each way at a time."""

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
        """Hand over what is due."""
        if self.ctx.now_us < self.next_check_us:
            return
        self.next_check_us = self.ctx.now_us + CHECK_PERIOD_US
        self._hand_one_home()
        self._hand_over_one_out_of_contact()

    def _hand_one_home(self) -> None:
        """Hand a shard to its home controller."""
        if not self.election.may_launch():
            return
        for shard in self.shards.values():
            if self._may_go_home(shard):
                self.election.hand_over(shard.index)
                return

    def _may_go_home(self, shard: Shard) -> bool:
        """Whether a shard's home has been back long enough, and nothing of the shard is indeterminate."""
        home = self.labels[shard.index]
        if home == self.ctx.settings.label or not self.peers.is_alive(home):
            return False
        peer = self.peers.by_label[home]
        if not peer.heartbeat.state_ok or peer.heartbeat.yielding:
            return False
        steady_us = self.ctx.now_us - max(peer.alive_since_us, shard.led_since_us)
        if steady_us <= STEADY_WORKER_LEASES * self.ctx.timing.worker_lease_us:
            return False
        return not shard.unreconciled and not shard.addresses.open and all(map(_is_settled, shard.workers.values()))

    def _hand_over_one_out_of_contact(self) -> None:
        """Hand over a shard whose workers reach peers and not this controller."""
        if not self.election.may_launch():
            return
        for index, shard in self.shards.items():
            misrouted = self._misrouted_workers(index)
            if misrouted and self.connectivity.lost_contact(shard.workers.values(), misrouted):
                self.connectivity.start_yielding(index)
                self.election.hand_over(index)
                return

    def _misrouted_workers(self, shard: int) -> int:
        """How many workers of a shard came to peers, by their heartbeats and their records."""
        heard = 0
        for peer in self.peers.alive():
            heard += sum(count for index, count in peer.heartbeat.misrouted if index == shard)
        return heard + self.connectivity.misrouted.count_recorded_by_peers(shard)


def _is_settled(worker: Worker) -> bool:
    """Whether a worker has shown this leadership's term, or can't for now."""
    return worker.fenced or worker.lease_expired or not worker.last_contact_us or worker.delivery.unreachable
