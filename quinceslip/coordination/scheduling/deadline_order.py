"""Which waiting jobs can still be on time, and which should wait for the sake of the others.

First come, first served stays the order among jobs that can be on time. When a shard has more
waiting than it can finish in time, the fewest jobs are late if, walking through the queue, each time
a job would be late the largest one so far is put back (Moore and Hodgson's rule). The wait ahead of
a job is that of the model: waiting tasks over m u.
"""

import heapq

from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.shard.partition import JobPartition

#: estimates are often wrong by half: a job is only given up on when this part of its run time is too long
LATE_PART = 0.5


def order_by_deadline(partitions: list[JobPartition], cpus_per_s: float, wall_us: int) -> None:
    """Set `late` of every waiting chunk, given the CPUs that tasks set free in a second."""
    ahead = 0.0  # CPUs that waiting tasks of higher priority will take first
    for priority in sorted({c.priority for c in partitions}):
        rest = [c for c in partitions if c.priority == priority]
        level = 0
        # Bound: the most due times of a job; beyond the last of them nothing is put back any more.
        while rest:
            kept, rest, ahead = _on_time(rest, level, cpus_per_s, wall_us, ahead)
            for partition in kept:
                partition.missed_due_times = level
            level += 1


def _due(partition: JobPartition, level: int) -> int | None:
    return partition.due_us[level] if level < len(partition.due_us) else None


def _on_time(
    partitions: list[JobPartition], level: int, cpus_per_s: float, wall_us: int, ahead: float
) -> tuple[list[JobPartition], list[JobPartition], float]:
    """Those that can make their due time of this level, those put back, and the CPUs ahead after."""
    last = all(level >= len(c.due_us) for c in partitions)
    partitions = sorted(partitions, key=lambda c: (_due(c, level) is None, _due(c, level) or c.submitted_us, c.job_id))
    kept: list[tuple[float, str, JobPartition]] = []
    back: list[JobPartition] = []
    for partition in partitions:
        size = max(partition.startable() * partition.spec.cpus, 0.01)
        heapq.heappush(kept, (-size, partition.job_id, partition))
        ahead += size
        due_us = _due(partition, level)
        if due_us is None or last:
            continue
        run_us = micros(LATE_PART * partition.spec.estimate_s)
        if wall_us + run_us > due_us:
            # Late whatever goes before it.
            kept.remove((-size, partition.job_id, partition))
            heapq.heapify(kept)
        elif wall_us + int(ahead / cpus_per_s * SECOND) + run_us > due_us:
            negative, _, partition = heapq.heappop(kept)
            size = -negative
        else:
            continue
        ahead -= size
        back.append(partition)
    return [c for _, _, c in kept], back, ahead
