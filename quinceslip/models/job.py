"""The job whose tasks the models run, and the names of its tasks."""

from quinceslip.protocol import messages as m

JOB_ID = "req-1"

SPEC = m.JobSpec(
    job_id=JOB_ID,
    job_class="c",
    team="t",
    kind="array",
    priority_class="normal",
    tasks=1,
    cpus=1.0,
    gpus=0.0,
    memory_gb=0.0,
    image="i",
    image_gb=0.0,
    one_zone=False,
    spread=False,
    spot=True,
    estimated_run_s=1.0,
    checkpoint_interval_s=0.0,
    checkpoint_cost_s=0.0,
)


def task_name(index: int) -> str:
    """The name of a task on the wire."""
    return f"{JOB_ID}/{index}"


def task_index(name: str) -> int:
    """The index of a task within its job, parsed from its name on the wire."""
    return int(name.rpartition("/")[2])
