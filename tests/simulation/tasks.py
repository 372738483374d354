"""Task names, which have the form `JOB/INDEX`, on the wire as well."""

from typing import Any


def job_of(task: str) -> str:
    """The id of the job that a task belongs to."""
    return task.rpartition("/")[0]


def index_of(task: str) -> int:
    """The index of a task within its job."""
    return int(task.rpartition("/")[2])


def tasks_of(job_id: str, spec: dict[str, Any]) -> list[str]:
    """The names of all tasks of a job."""
    return [f"{job_id}/{index}" for index in range(spec["picks"])]
