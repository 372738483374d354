"""JSON messages of users, workers, the cloud and the state service.

Field names inside the program are the field's terms (worker, term, command); the names given
to `field(name=...)` are the ones on the wire.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

MAX_BODY = 64 * 1024
U64 = Annotated[int, Meta(ge=0)]
Amount = Annotated[float, Meta(ge=0)]
Text = Annotated[str, Meta(min_length=1, max_length=200)]
JobId = Annotated[str, Meta(pattern=r"^req-[0-9]{1,32}$")]

PRIORITY_CLASSES = {"production": 0, "urgent": 1, "normal": 2, "low": 3}
_RANK_NAMES: tuple[Any, ...] = tuple(PRIORITY_CLASSES)
QUEUED, RUNNING, DONE, CANCELLED = "queued", "running", "done", "withdrawn"
PULLING, FLUSHING, EXITED = "pulling", "flushing", "exited"
CAUSE_DONE, CAUSE_HALTED, CAUSE_ERROR = "done", "halted", "error"
#: a gang's task that ended because the others did, or never came
CAUSES_GANG = ("peers", "incomplete")
HOST_FAILED, HOST_BOOTING = "failed", "booting"

PATH_JOBS, PATH_READY, PATH_HEARTBEAT = "/v1/jobs", "/ready", "/hello"
PATH_INSPECT = "/inspect"
PATH_DO, PATH_MACHINE_TYPES, PATH_HOSTS, PATH_HOSTS_DELETE = "/do", "/flavors", "/hosts", "/hosts/delete"
PATH_TXN, PATH_LEASES, PATH_KV = "/txn", "/holds", "/kv"
#: in the 400 to a transaction whose lease has ended (PROTOCOL); any other 400 refuses the transaction itself
NO_LEASE = b"no such lease"
CANCEL_END = "/cancel"


class JobSpec(Struct, frozen=True, kw_only=True, omit_defaults=True):
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
    estimate_s: Amount = field(name="expectS")
    checkpoint_s: Amount = field(name="markEveryS")
    save_s: Amount = field(name="markCostS")
    deadline_s: Amount | None = field(name="dueS", default=None)
    #: jobs that have to be done before any task of this one starts
    waits_on: list[JobId] = field(name="waitsOn", default=[])

    @property
    def service(self) -> bool:
        return self.kind == "standing"

    @property
    def gang(self) -> bool:
        """All tasks run at the same time or none does."""
        return self.kind == "group"

    @property
    def whole(self) -> bool:
        """Kept in one shard: zones, or starting together, bind the tasks to each other."""
        return self.service or self.gang or self.spread or self.one_zone

    @property
    def priority(self) -> int:
        return PRIORITY_CLASSES[self.priority_class]


def with_priority(spec: JobSpec, priority: int) -> JobSpec:
    """The same job with another priority (0: production)."""
    return spec if spec.priority == priority else msgspec.structs.replace(spec, priority_class=_RANK_NAMES[priority])


def waiting_on(spec: JobSpec, job_ids: list[str]) -> JobSpec:
    """The same job, to be started once these are done."""
    return spec if spec.waits_on == job_ids else msgspec.structs.replace(spec, waits_on=job_ids)


class _Named(Struct):
    job_id: JobId = field(name="uid")


@dataclass(frozen=True, slots=True)
class Malformed:
    """A submission that can't be read, and why. `job_id` is empty where it names no job that could ever be accepted."""

    job_id: str
    why: str


_spec_decoder = msgspec.json.Decoder(JobSpec)
_named_decoder = msgspec.json.Decoder(_Named)
_AMOUNTS = {f.name: f.encode_name for f in msgspec.structs.fields(JobSpec) if f.name.endswith(("pus", "_gb", "_s"))}


def read_submission(body: bytes) -> JobSpec | Malformed:
    """What a user submits. A malformed one is still told apart by its id: that may be an accepted job's."""
    try:
        spec = _spec_decoder.decode(body)
        for name, wire in _AMOUNTS.items():
            if not math.isfinite(getattr(spec, name) or 0.0):
                raise msgspec.ValidationError(f"the amount is not finite - at `$.{wire}`")
        return spec
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        why = str(error)
    try:
        return Malformed(_named_decoder.decode(body).job_id, why)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Malformed("", why)


class TaskStatus(Struct):
    task: str = field(name="pick")
    attempt: U64 = field(name="try")
    state: str = field(name="status")
    why: str | None = field(name="cause", default=None)
    saved: bool | None = None


class WorkerHeartbeat(Struct):
    worker: Text = field(name="berth")
    endpoint: str
    type: str = field(name="build")
    zone: str = field(name="yard")
    epoch: U64 = field(name="stint")
    seq: U64 = field(name="tick")
    fencing_token: U64 = field(name="baton")
    spot: bool = field(name="loaners", default=False)
    notice_s: float | None = field(name="warningS", default=None)
    tasks: list[TaskStatus] = field(name="picks", default_factory=list)


def names(body: bytes, worker: str) -> bool:
    """Whether a reply to `inspect` is a report of that worker."""
    try:
        return msgspec.json.decode(body, type=WorkerHeartbeat).worker == worker
    except msgspec.DecodeError:
        return False


class Command(Struct, omit_defaults=True):
    op: str = field(name="verb")
    task: str = field(name="pick")
    attempt: int = field(name="try")
    grace_s: float | None = field(name="windDownS", default=None)


def launch(task: str, attempt: int) -> Command:
    return Command("launch", task, attempt)


def stop(task: str, attempt: int, grace_s: float) -> Command:
    return Command("halt", task, attempt, grace_s)


def acknowledge_result(task: str, attempt: int) -> Command:
    return Command("reap", task, attempt)


class CommandReply(Struct):
    fencing_token: int = field(name="baton")
    commands: list[Command] = field(name="orders")


class DirectCommands(Struct):
    fencing_token: int = field(name="baton")
    epoch: int = field(name="stint")
    commands: list[Command] = field(name="orders")


class MachineType(Struct, frozen=True):
    label: str
    cpus: float = field(name="vcpus")
    gpus: float
    memory_gb: float = field(name="memGb")
    price: float
    boot_s: float = field(name="startupS")
    zones: list[str] = field(name="yards")
    spot_price: float = field(name="lowPrice", default=0.0)
    cache_gb: float = field(name="cacheGb", default=0.0)
    fetch_gb_per_s: float = field(name="pullGbPerS", default=1.0)


class MachineTypes(Struct):
    types: list[MachineType] = field(name="builds")


class ScaleOutAnswer(Struct):
    machines: list[str] = field(name="berths")


class CloudMachine(Struct):
    machine: str = field(name="uid")
    status: str
    type: str = field(name="build", default="")
    zone: str = field(name="yard", default="")
    endpoint: str = ""
    spot: bool = field(name="loaners", default=False)
    age_s: float = field(name="ageS", default=0.0)


class MachineListing(Struct):
    machines: list[CloudMachine] = field(name="berths")
    more: bool = field(name="hasNext", default=False)


class LeaseAnswer(Struct):
    hold: int = field(name="hold")


class CompareAndSwapAnswer(Struct):
    revision: int = field(name="ledger")
    failed: list[str] = []


class Item(Struct):
    key: str = field(name="k")
    value: msgspec.Raw = field(name="v")
    mod_revision: int = field(name="stamp")


class Listing(Struct):
    items: list[Item]
    revision: int = field(name="ledger")
    more: bool = field(name="hasNext", default=False)


class Event(Struct):
    mod_revision: int = field(name="stamp")
    put: str | None = field(name="write", default=None)
    delete: str | None = field(name="drop", default=None)
    value: msgspec.Raw = field(name="v", default=msgspec.Raw(b""))


class Changes(Struct):
    revision: int = field(name="ledger")
    events: list[Event] = []


def job_answer(
    job_id: str, status: str, done: int | None = None, running: int | None = None, why: str | None = None
) -> dict[str, Any]:
    """`why` is for people: a receiver ignores fields that it does not know (PROTOCOL)."""
    body: dict[str, Any] = {"uid": job_id, "status": status}
    if why is not None:
        body["why"] = why
    if done is not None:
        body |= {"done": done, "running": running or 0}
    return body


def redirect(owner: str | None) -> dict[str, Any]:
    return {"foreman": owner} if owner else {}


def scale_out_request(name: str, machine_type: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    return {"hire": name, "build": machine_type, "yard": zone, "loaners": spot, "howMany": count}


def delete_request(names: list[str]) -> dict[str, Any]:
    return {"berths": names}


def machines_path(after: str, limit: int = 500) -> str:
    return f"{PATH_HOSTS}?since={after}&most={limit}"


def lease_request(ttl_us: int) -> dict[str, Any]:
    return {"lifeMs": ttl_us // 1000}


def renew_path(hold: int) -> str:
    return f"{PATH_LEASES}/{hold}/renew"


def list_path(prefix: str, after: str, limit: int = 500) -> str:
    return f"{PATH_KV}?under={prefix}&since={after}&most={limit}"


def watch_path(prefix: str, revision: int, wait_ms: int) -> str:
    return f"/changes?under={prefix}&since={revision}&holdMs={wait_ms}"


def compare_and_swap_request(
    conditions: dict[str, int], puts: Mapping[str, tuple[Any, int | None]], drops: list[str]
) -> dict[str, Any]:
    ops: list[dict[str, Any]] = []
    for key, (value, hold) in puts.items():
        op: dict[str, Any] = {"write": key, "v": value}
        if hold is not None:
            op["hold"] = hold
        ops.append(op)
    ops += [{"drop": key} for key in drops]
    return {"if": [{"k": k, "stamp": s} for k, s in conditions.items()], "then": ops}
