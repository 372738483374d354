"""Finds the task behind a name that a worker reports."""

from dataclasses import dataclass

from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState


@dataclass(frozen=True, slots=True)
class LocalTask:
    """A task number of a job that has a partition in this shard."""

    partition: JobPartition
    index: int


def job_id_of(task_name: str) -> str:
    """The job part of a task name JOB/NUMBER; empty where there is none."""
    return task_name.rpartition("/")[0]


def find_local_task(state: ShardState, task_name: str) -> LocalTask | None:
    """The task that is named JOB/NUMBER; None where the job has no partition here or the number is none."""
    job_id, _, number = task_name.rpartition("/")
    partition = state.partitions.get(job_id)
    if partition is None or not number.isdigit():
        return None
    return LocalTask(partition, int(number))
