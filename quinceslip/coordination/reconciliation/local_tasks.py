"""Finds the task behind a name that a worker reports."""

from dataclasses import dataclass

from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState

#: a job has at most 100,000 tasks (PROTOCOL)
MAX_NUMBER_DIGITS = 6


@dataclass(frozen=True, slots=True)
class LocalTask:
    """A task number of a job that has a partition in this shard."""

    partition: JobPartition
    index: int


def job_id_of(task_name: str) -> str:
    """The job part of a task name JOB/NUMBER; empty where there is none."""
    return task_name.rpartition("/")[0]


def task_number_of(task_name: str) -> int | None:
    """The number part of a task name JOB/NUMBER; None where it is none, or not spelt as in PROTOCOL.

    Guard: Unicode has digits that `int` refuses, and others that it takes; a number has one spelling only, so that no
    task goes by two names.
    """
    number = task_name.rpartition("/")[2]
    if not number.isascii() or not number.isdigit() or len(number) > MAX_NUMBER_DIGITS:
        return None
    return int(number) if number == "0" or not number.startswith("0") else None


def find_local_task(state: ShardState, task_name: str) -> LocalTask | None:
    """The task that is named JOB/NUMBER; None where the job has no partition here or the number is none."""
    partition = state.partitions.get(job_id_of(task_name))
    number = task_number_of(task_name)
    if partition is None or number is None:
        return None
    return LocalTask(partition, number)
