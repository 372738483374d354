"""Lookup of tasks by the names that workers report."""

from dataclasses import dataclass

from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState

#: a job has at most 100,000 tasks (PROTOCOL)
MAX_NUMBER_DIGITS = 6


@dataclass(frozen=True, slots=True)
class LocalTask:
    """A task of a job that has a partition in this shard."""

    partition: JobPartition
    index: int


def job_id_of(task_name: str) -> str:
    """Return the job part of a task name JOB/NUMBER; empty if there is none."""
    return task_name.rpartition("/")[0]


def task_number_of(task_name: str) -> int | None:
    """Return the number part of a task name JOB/NUMBER; None if it is not a number as PROTOCOL spells it.

    Guard: only ASCII digits without leading zeros are accepted. `int` rejects some Unicode digits and accepts others,
    and with several spellings one task would have several names.
    """
    number = task_name.rpartition("/")[2]
    if not number.isascii() or not number.isdigit() or len(number) > MAX_NUMBER_DIGITS:
        return None
    return int(number) if number == "0" or not number.startswith("0") else None


def find_local_task(state: ShardState, task_name: str) -> LocalTask | None:
    """Return the task named JOB/NUMBER; None if the job has no partition here or the number is invalid."""
    partition = state.partitions.get(job_id_of(task_name))
    number = task_number_of(task_name)
    if partition is None or number is None:
        return None
    return LocalTask(partition, number)
