"""The latest heartbeat of every peer, and which peers are alive."""

from collections.abc import Iterator
from dataclasses import dataclass

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.protocol import frames

#: a peer whose last heartbeat is older than this does not count as alive
PEER_TIMEOUT_US = 4 * SECOND


@dataclass(slots=True)
class PeerStatus:
    """The latest heartbeat of a peer."""

    last_heartbeat_us: int
    alive_since_us: int  # since then, heartbeats were at most PEER_TIMEOUT_US apart
    heartbeat: frames.PeerHeartbeat


class Peers:
    """The status of every peer that has sent a heartbeat, by its label."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.by_label: dict[str, PeerStatus] = {}

    def heartbeat_received(self, heartbeat: frames.PeerHeartbeat) -> None:
        """Store a peer's heartbeat in place of its previous one."""
        now_us = self.ctx.now_us
        alive_since_us = now_us
        previous = self.by_label.get(heartbeat.label)
        if previous is not None and now_us - previous.last_heartbeat_us <= PEER_TIMEOUT_US:
            alive_since_us = previous.alive_since_us
        self.by_label[heartbeat.label] = PeerStatus(now_us, alive_since_us, heartbeat)

    def is_alive(self, label: str) -> bool:
        """Whether the peer's last heartbeat is recent."""
        status = self.by_label.get(label)
        return status is not None and self.ctx.now_us - status.last_heartbeat_us < PEER_TIMEOUT_US

    def alive(self) -> Iterator[PeerStatus]:
        """The status of each live peer, in the order of their first heartbeats."""
        return (status for label, status in self.by_label.items() if self.is_alive(label))

    def loads(self) -> list[frames.ShardLoad]:
        """The shard loads that live peers reported."""
        return [load for status in self.alive() for load in status.heartbeat.loads]

    def reserve_free_slots(self, shard: int, tasks: int) -> None:
        """Count the slots of tasks just moved to a shard as used, until the next heartbeat."""
        for status in self.by_label.values():
            for load in status.heartbeat.loads:
                if load.shard == shard:
                    load.free_slots = max(0, load.free_slots - tasks)
