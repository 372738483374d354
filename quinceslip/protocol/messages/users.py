"""Messages of users: submitting, polling and cancelling jobs, and the health check of the load balancer."""

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from quinceslip.protocol.messages.fields import MAX_AMOUNT, MAX_TASKS, Amount, JobId, Text

PATH_JOBS = "/v1/jobs"
PATH_READY = "/ready"
#: suffix of the path that cancels a job
CANCEL_SUFFIX = "/cancel"

#: priority of each priority class on the wire; jobs with lower numbers go first
PRIORITY_CLASSES = {"production": 0, "urgent": 1, "normal": 2, "low": 3}
_PRIORITY_CLASS_NAMES: tuple[Any, ...] = tuple(PRIORITY_CLASSES)


class JobState(StrEnum):
    """State of a job in answers to users and in job records."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "withdrawn"


QUEUED, RUNNING, DONE, CANCELLED = JobState.QUEUED, JobState.RUNNING, JobState.DONE, JobState.CANCELLED


class JobSpec(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The specification of a submitted job (a job array, a gang or a service) and of the resources of each task.

    Resource amounts are per task. `estimated_run_s` is the user's estimate of a task's run time;
    `checkpoint_interval_s` is 0 if the tasks make no checkpoints; `checkpoint_cost_s` is the duration of a checkpoint.
    """

    job_id: JobId = field(name="uid")
    job_class: Text = field(name="lane")
    team: Text = field(name="crew")
    kind: Literal["array", "group", "standing"] = field(name="shape")
    priority_class: Literal["production", "urgent", "normal", "low"] = field(name="rank")
    tasks: Annotated[int, Meta(ge=1, le=MAX_TASKS)] = field(name="picks")
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
    #: jobs that must be done before any task of this job starts (DAG dependencies)
    dependencies: list[JobId] = field(name="waitsOn", default=[])

    @property
    def service(self) -> bool:
        """Whether the tasks are replicas that run until the job is cancelled."""
        return self.kind == "standing"

    @property
    def gang(self) -> bool:
        """Whether the job is gang-scheduled: all of its tasks run at the same time or none does."""
        return self.kind == "group"

    @property
    def zone_bound(self) -> bool:
        """Whether the zones of its tasks depend on each other."""
        return self.spread or self.one_zone

    @property
    def indivisible(self) -> bool:
        """Whether all tasks stay in one shard, since they must start together or their zones depend on each other."""
        return self.service or self.gang or self.zone_bound

    @property
    def priority(self) -> int:
        """The priority of its class; 0 is the highest."""
        return PRIORITY_CLASSES[self.priority_class]


def with_priority(spec: JobSpec, priority: int) -> JobSpec:
    """Return the job with its priority changed (0: production)."""
    if spec.priority == priority:
        return spec
    return msgspec.structs.replace(spec, priority_class=_PRIORITY_CLASS_NAMES[priority])


def with_dependencies(spec: JobSpec, job_ids: list[str]) -> JobSpec:
    """Return the job with its dependencies changed to these jobs."""
    return spec if spec.dependencies == job_ids else msgspec.structs.replace(spec, dependencies=job_ids)


def with_bounded_amounts(spec: JobSpec) -> JobSpec:
    """Return the job with its amounts limited to `MAX_AMOUNT`, for calculations; records keep what the user sent."""
    bounded = {name: MAX_AMOUNT for name in _AMOUNT_FIELDS if (getattr(spec, name) or 0.0) > MAX_AMOUNT}
    return msgspec.structs.replace(spec, **bounded) if bounded else spec


class _IdentifiedJob(Struct):
    """The only field that is needed to tell which job a malformed submission is about."""

    job_id: JobId = field(name="uid")


@dataclass(frozen=True, slots=True)
class MalformedSubmission:
    """A submission that can't be decoded; `job_id` is empty if it has no valid job id."""

    job_id: str
    reason: str


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


def read_submission(body: bytes) -> JobSpec | MalformedSubmission:
    """Decode a submission. A malformed one is returned with its job id, which may be that of an accepted job."""
    try:
        spec = _spec_decoder.decode(body)
        _require_finite_amounts(spec)
        return spec
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        reason = str(error)
    try:
        return MalformedSubmission(_identity_decoder.decode(body).job_id, reason)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return MalformedSubmission("", reason)


def _require_finite_amounts(spec: JobSpec) -> None:
    """Raise ValidationError for amounts such as 1e999, which are valid JSON but are decoded as infinity."""
    for name in _AMOUNT_FIELDS:
        if not math.isfinite(getattr(spec, name) or 0.0):
            raise msgspec.ValidationError(f"the amount is not finite - at `$.{_WIRE_NAMES[name]}`")


def job_answer(
    job_id: str, status: str, done: int | None = None, running: int | None = None, why: str | None = None
) -> dict[str, Any]:
    """Build the answer about a job; `why` is for people, as receivers ignore fields that they don't know (PROTOCOL)."""
    body: dict[str, Any] = {"uid": job_id, "status": status}
    if why is not None:
        body["why"] = why
    if done is not None:
        body |= {"done": done, "running": running or 0}
    return body
