"""Messages of users: submissions, polls and cancellations of jobs, and the health check of the load balancer."""

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from quinceslip.protocol.messages.fields import Amount, JobId, Text

PATH_JOBS = "/v1/jobs"
PATH_READY = "/ready"
#: what a path of `PATH_JOBS` ends with when it cancels a job
CANCEL_SUFFIX = "/cancel"

#: classes of priority on the wire, and the number that orders them: lower goes first
PRIORITY_CLASSES = {"production": 0, "urgent": 1, "normal": 2, "low": 3}
_PRIORITY_CLASS_NAMES: tuple[Any, ...] = tuple(PRIORITY_CLASSES)


class JobState(StrEnum):
    """State of a job as its users and its record say it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "withdrawn"


QUEUED, RUNNING, DONE, CANCELLED = JobState.QUEUED, JobState.RUNNING, JobState.DONE, JobState.CANCELLED


class JobSpec(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a user submits: a job array, a gang or a service, and what each of its tasks needs.

    Amounts are of one task; times are in seconds. `estimated_run_s` is the user's guess of a task's run
    time; `checkpoint_interval_s` is 0 where no checkpoints are made; `checkpoint_cost_s` is what one of them takes.
    """

    job_id: JobId = field(name="uid")
    job_class: Text = field(name="lane")
    team: Text = field(name="crew")
    kind: Literal["array", "group", "standing"] = field(name="shape")
    priority_class: Literal["production", "urgent", "normal", "low"] = field(name="rank")
    tasks: Annotated[int, Meta(ge=1, le=100_000)] = field(name="picks")
    cpus: Amount = field(name="vcpus")
    gpus: Amount
    memory_gb: Amount = field(name="memGb")
    image: Text = field(name="kit")
    image_gb: Amount = field(name="sizeGb")
    types: list[str] | None = field(name="builds", default=None)
    zone: str | None = field(name="yard", default=None)
    one_zone: bool = field(name="together")
    spread: bool
    spot: bool = field(name="loaners")
    estimated_run_s: Amount = field(name="expectS")
    checkpoint_interval_s: Amount = field(name="markEveryS")
    checkpoint_cost_s: Amount = field(name="markCostS")
    deadline_s: Amount | None = field(name="dueS", default=None)
    #: jobs that have to be done before any task of this one starts (DAG dependencies)
    dependencies: list[JobId] = field(name="waitsOn", default=[])

    @property
    def service(self) -> bool:
        """Whether its tasks are replicas that run until they are cancelled."""
        return self.kind == "standing"

    @property
    def gang(self) -> bool:
        """Gang scheduling: all tasks run at the same time or none does."""
        return self.kind == "group"

    @property
    def indivisible(self) -> bool:
        """Kept in one shard: zones, or starting together, bind the tasks to each other."""
        return self.service or self.gang or self.spread or self.one_zone

    @property
    def priority(self) -> int:
        """The number of its priority class; 0 goes first."""
        return PRIORITY_CLASSES[self.priority_class]


def with_priority(spec: JobSpec, priority: int) -> JobSpec:
    """The same job with another priority (0: production)."""
    if spec.priority == priority:
        return spec
    return msgspec.structs.replace(spec, priority_class=_PRIORITY_CLASS_NAMES[priority])


def with_dependencies(spec: JobSpec, job_ids: list[str]) -> JobSpec:
    """The same job, to be started once these are done."""
    return spec if spec.dependencies == job_ids else msgspec.structs.replace(spec, dependencies=job_ids)


class _IdentifiedJob(Struct):
    """The one field of a submission that tells which job it is about."""

    job_id: JobId = field(name="uid")


@dataclass(frozen=True, slots=True)
class MalformedSubmission:
    """A submission that can't be read, and why; `job_id` is empty where it names no job that could be accepted."""

    job_id: str
    why: str


_spec_decoder = msgspec.json.Decoder(JobSpec)
_identity_decoder = msgspec.json.Decoder(_IdentifiedJob)
_AMOUNT_FIELDS = (
    "cpus",
    "gpus",
    "memory_gb",
    "image_gb",
    "estimated_run_s",
    "checkpoint_interval_s",
    "checkpoint_cost_s",
    "deadline_s",
)
_WIRE_NAMES = {f.name: f.encode_name for f in msgspec.structs.fields(JobSpec)}


def read_submission(body: bytes) -> JobSpec | Malformed:
    """Decode a submission; a malformed one is still told apart by its id, which may be an accepted job's."""
    try:
        spec = _spec_decoder.decode(body)
        _require_finite_amounts(spec)
        return spec
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        why = str(error)
    try:
        return Malformed(_identity_decoder.decode(body).job_id, why)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Malformed("", why)


def _require_finite_amounts(spec: JobSpec) -> None:
    """Raise ValidationError for an amount that JSON can write and that is no number to count with."""
    for name in _AMOUNT_FIELDS:
        if not math.isfinite(getattr(spec, name) or 0.0):
            raise msgspec.ValidationError(f"the amount is not finite - at `$.{_WIRE_NAMES[name]}`")


def job_answer(
    job_id: str, status: str, done: int | None = None, running: int | None = None, why: str | None = None
) -> dict[str, Any]:
    """The answer about a job; `why` is for people: a receiver ignores fields that it does not know (PROTOCOL)."""
    body: dict[str, Any] = {"uid": job_id, "status": status}
    if why is not None:
        body["why"] = why
    if done is not None:
        body |= {"done": done, "running": running or 0}
    return body
