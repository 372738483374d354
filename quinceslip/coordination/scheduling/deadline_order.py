"""Deadline scheduling: selects the waiting jobs that can still be on time, and defers the others.

Jobs that can be on time stay in first come, first served order. When a shard has more waiting than it can finish in
time, the fewest jobs are late if one walks through the queue and, each time a job would be late, defers the largest one
so far (Moore and Hodgson's rule). The wait ahead of a job is that of the queueing model: waiting tasks divided by m u.
"""

import heapq

from quinceslip.coordination.actor.timing import micros
from quinceslip.coordination.shard_state.partition import JobPartition

#: estimates are often wrong by half: a job counts as late only if this fraction of its run time would end too late
CERTAIN_RUN_FRACTION = 0.5
#: size of a job of which no task can start now
MIN_JOB_CPUS = 0.01


def order_by_deadline(partitions: list[JobPartition], cpus_per_s: float, wall_us: int) -> None:
    """Set `missed_due_times` of every waiting partition, given the CPUs that ending tasks free each second."""
    cpus_ahead = 0.0  # CPUs that waiting tasks of higher priority will take first
    for priority in sorted({partition.priority for partition in partitions}):
        deferred = [partition for partition in partitions if partition.priority == priority]
        level = 0
        # Bound: the largest number of due times of a job; past the last of them nothing is deferred.
        while deferred:
            selection = _OnTimeSelection(level, cpus_per_s, wall_us, cpus_ahead)
            selection.add_all(deferred)
            for partition in selection.on_time():
                partition.missed_due_times = level
            deferred, cpus_ahead = selection.deferred, selection.cpus_ahead
            level += 1


def _due_us(partition: JobPartition, level: int) -> int | None:
    """Return the due time of that level as wall clock time; None if the job has fewer."""
    return partition.due_us[level] if level < len(partition.due_us) else None


class _OnTimeSelection:
    """Divides partitions of one priority into those that can meet their due time of one level, and those deferred."""

    def __init__(self, level: int, cpus_per_s: float, wall_us: int, cpus_ahead: float) -> None:
        self.level = level
        self.cpus_per_s = cpus_per_s
        self.wall_us = wall_us
        self.cpus_ahead = cpus_ahead  # CPUs that waiting tasks take first, including those selected so far
        self.deferred: list[JobPartition] = []
        self._selected: list[tuple[float, str, JobPartition]] = []  # a heap by size in CPUs, largest first

    def add_all(self, partitions: list[JobPartition]) -> None:
        """Add the partitions in the order of their due times."""
        past_last_level = all(self.level >= len(partition.due_us) for partition in partitions)
        for partition in sorted(partitions, key=self._sort_key):
            due_us = None if past_last_level else _due_us(partition, self.level)
            if due_us is not None and self.wall_us + _certain_run_us(partition) > due_us:
                self.deferred.append(partition)  # late even if it starts now
                continue
            self._select(partition)
            if due_us is not None:
                self._defer_largest_if_late(partition, due_us)

    def on_time(self) -> list[JobPartition]:
        """Return the partitions that are not deferred."""
        return [partition for _, _, partition in self._selected]

    def _sort_key(self, partition: JobPartition) -> tuple[bool, int, str]:
        """Sort key: by due time; partitions without one come last, in order of submission."""
        due_us = _due_us(partition, self.level)
        return (due_us is None, due_us or partition.submitted_us, partition.job_id)

    def _select(self, partition: JobPartition) -> None:
        """Add the partition to those that are on time."""
        size = _size_cpus(partition)
        heapq.heappush(self._selected, (-size, partition.job_id, partition))
        self.cpus_ahead += size

    def _defer_largest_if_late(self, partition: JobPartition, due_us: int) -> None:
        """If the partition would be late behind the others, defer the largest so far, which lets it be on time."""
        wait_us = micros(self.cpus_ahead / self.cpus_per_s)
        if self.wall_us + wait_us + _certain_run_us(partition) <= due_us:
            return
        negative_size, _, largest = heapq.heappop(self._selected)
        self.cpus_ahead += negative_size
        self.deferred.append(largest)


def _certain_run_us(partition: JobPartition) -> int:
    """Return how long a task of the partition runs at least."""
    return micros(CERTAIN_RUN_FRACTION * partition.spec.estimated_run_s)


def _size_cpus(partition: JobPartition) -> float:
    """Return the CPUs of the tasks of a partition that could start now."""
    return max(partition.startable_task_count() * partition.spec.cpus, MIN_JOB_CPUS)
