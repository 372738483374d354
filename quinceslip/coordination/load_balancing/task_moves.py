"""Moves of waiting tasks to shards whose leaders report free slots."""

from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.load_balancing.peers import Peers
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.partition import JobPartition

#: moves out of one shard per pass; more follow once the target's heartbeat reports the slots that are still free
MAX_MOVES_PER_SHARD = 2


class TaskMover:
    """Moves waiting tasks out of the shards that this controller leads."""

    def __init__(self, election: LeaderElection, peers: Peers) -> None:
        self.election = election
        self.peers = peers

    def move_from(self, shard: Shard, free_slots: dict[int, int]) -> None:
        """Move waiting tasks of one shard, and subtract them from `free_slots`, which is keyed by shard."""
        moves = 0
        for partition in shard.waiting_in_order():
            indices = _movable_tasks(shard, partition)
            if not indices:
                continue
            target = self._most_free_shard(shard.index, free_slots)
            if target is None or moves >= MAX_MOVES_PER_SHARD:
                break
            moved = _tasks_that_fit(partition, indices, free_slots[target])
            if not moved:
                continue
            free_slots[target] -= len(moved)
            moves += 1
            shard.persistence.move(partition, moved, target)
            self.peers.reserve_free_slots(target, len(moved))

    def _most_free_shard(self, source: int, free_slots: dict[int, int]) -> int | None:
        """Return the other led shard with the most free slots, the lowest index in a tie; None if none has any."""
        targets = [
            shard for shard in free_slots if shard != source and free_slots[shard] > 0 and self.election.leader(shard)
        ]
        return max(targets, key=lambda shard: (free_slots[shard], -shard), default=None)


def _movable_tasks(shard: Shard, partition: JobPartition) -> list[int]:
    """Return the tasks that may move to another shard.

    Tasks that only their quota keeps from starting stay: another shard that lacks the quota as well would send them
    back, and quota is granted where work waits.
    """
    if partition.on_hold:
        return []
    return shard.persistence.movable_tasks(partition)


def _tasks_that_fit(partition: JobPartition, indices: list[int], free_slots: int) -> list[int]:
    """Return the first tasks that fit into the free slots; all or none of a gang."""
    if not partition.spec.indivisible:
        return indices[:free_slots]
    return indices if free_slots >= len(indices) else []
