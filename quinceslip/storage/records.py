"""What is written where: every key of the key-value store, its record, and who writes it.

All keys are below `PREFIX`, so that one watch carries every change. The second part of a key is the record's kind
(`RecordKind`); what follows is its name, unique within the kind.

====================  ======================  ==================================================================
Key below `PREFIX`    Record                  Written by
====================  ======================  ==================================================================
term                  `TermRecord`            `coordination.leadership`, with every claim of a shard
shard/<shard>         `ShardRecord`           `coordination.leadership`; attached to the leader's lease, so that it
                                              is deleted when this expires
job/<job id>          `JobRecord`             `coordination.controller` on acceptance and cancellation;
                                              `coordination.jobs` for results, moves and the job's end;
                                              `dependencies.cancellation` for jobs cancelled through others
part/<shard>/<job>    `PartitionRecord`       `coordination.jobs`, for partitions that moved to another shard;
                                              deleted there or by `coordination.controller` after the job's end
roster/<worker>       `MachineRecord`         `coordination.autoscaling` when a machine is enrolled, adopted or
                                              deleted; `coordination.shard` before the first launch on it
hire/<request>        `ScaleOutRecord`        `coordination.autoscaling`, before the cloud is asked for machines
load/<shard>          `LoadRecord`            `coordination.load_balancing`, every few seconds
standstill/<label>    `StallRecord`           `transport.watchdog`, before a stalled controller ends itself
stray/<label>         `MisroutedRecord`       `coordination.leadership`, while misrouted workers report to it
types                 `list[MachineType]`     `coordination.autoscaling`; read by controllers that start while the
                                              cloud can't be reached
supports/<label>      `SupportsRecord`        `feature_gate`; attached to the controller's lease
rollout               `LevelRecord`           `feature_gate`; it only rises
====================  ======================  ==================================================================

<label> is a controller's name in the settings. Subsystems add kinds of their own (`StoreCache.register_kinds`): the
quotas `grant`, `want` and `tree` (`quota.allocations`).

Names and values are stored data, which other versions read and write: field names given by `msgspec.field(name=...)`
and the values of `RecordKind` never change.
"""

from enum import StrEnum
from typing import Any

import msgspec

from quinceslip.protocol.messages import CANCELLED, DONE, JobSpec, MachineType


class RecordKind(StrEnum):
    """The kinds of records; the value is the part of a key that follows `PREFIX`."""

    TERM = "term"
    SHARD = "shard"
    JOB = "job"
    PARTITION = "part"
    MACHINE = "roster"
    SCALE_OUT = "hire"
    LOAD = "load"
    MACHINE_TYPES = "types"
    STALL = "standstill"
    MISROUTED = "stray"
    SUPPORTS = "supports"
    ACTIVE_LEVEL = "rollout"


PREFIX = "q/"
#: the counter that every term comes from
TERM_KEY = PREFIX + RecordKind.TERM
#: the machine types that the cloud offers
MACHINE_TYPES_KEY = PREFIX + RecordKind.MACHINE_TYPES
#: the feature level that all controllers act by
ACTIVE_LEVEL_KEY = PREFIX + RecordKind.ACTIVE_LEVEL
#: a key that is never written: a read of it returns the store revision and nothing else
UNUSED_KEY = "none"


def shard_key(shard: int) -> str:
    """Key of the `ShardRecord` of a shard."""
    return f"{PREFIX}{RecordKind.SHARD}/{shard}"


def job_key(job_id: str) -> str:
    """Key of the `JobRecord` of a job."""
    return f"{PREFIX}{RecordKind.JOB}/{job_id}"


def partition_key(shard: int, job_id: str) -> str:
    """Key of the `PartitionRecord` of a job at a shard other than its home shard."""
    return f"{PREFIX}{RecordKind.PARTITION}/{shard}/{job_id}"


def machine_key(worker: str) -> str:
    """Key of the `MachineRecord` of a worker."""
    return f"{PREFIX}{RecordKind.MACHINE}/{worker}"


def scale_out_key(name: str) -> str:
    """Key of the `ScaleOutRecord` of a request for machines."""
    return f"{PREFIX}{RecordKind.SCALE_OUT}/{name}"


def misrouted_key(label: str) -> str:
    """Key of the `MisroutedRecord` of a controller."""
    return f"{PREFIX}{RecordKind.MISROUTED}/{label}"


def supports_key(label: str) -> str:
    """Key of the `SupportsRecord` of a controller."""
    return f"{PREFIX}{RecordKind.SUPPORTS}/{label}"


def load_key(shard: int) -> str:
    """Key of the `LoadRecord` of a shard."""
    return f"{PREFIX}{RecordKind.LOAD}/{shard}"


def split_key(key: str) -> tuple[str, str]:
    """Kind and name of a key; the name of a partition's record is "<shard>/<job id>", that of a single record ""."""
    _, kind, *rest = key.split("/", 2)
    return kind, rest[0] if rest else ""


class TermRecord(msgspec.Struct):
    """The highest term that any leader was given."""

    term: int


class ShardRecord(msgspec.Struct):
    """The leader of a shard, by its label, and its term."""

    leader: str = msgspec.field(name="owner")
    term: int


class PartitionRecord(msgspec.Struct, omit_defaults=True):
    """The tasks of a job that one shard answers for, and those of them that are done (`task_sets`)."""

    assigned: str = msgspec.field(name="own")
    done: str = ""
    #: the only zones this partition may use, where a spread service is split between shards; empty: any
    zones: list[str] = []


class JobRecord(msgspec.Struct, omit_defaults=True):
    """A job: while it is open its specification and its home partition, then its final state alone."""

    #: QUEUED, DONE or CANCELLED of `protocol.messages`
    state: str
    tasks: int
    spec: JobSpec | None = None
    #: the home shard
    shard: int = 0
    #: the home partition
    partition: PartitionRecord | None = msgspec.field(name="chunk", default=None)
    #: wall clock at acceptance, of a finished job at its end; only for order and deadlines
    at_us: int = 0
    #: shards that have partitions of it besides the home shard
    parts: list[int] = []
    #: number of tasks that were done when the job ended
    done: int = 0


class MachineRecord(msgspec.Struct, omit_defaults=True):
    """An entry of the machine registry: a machine that may have tasks of a shard."""

    shard: int
    type: str
    zone: str
    spot: bool
    endpoint: str = ""
    #: set before the first launch: a machine without it has no task
    used: bool = False


class ScaleOutRecord(msgspec.Struct):
    """A request for machines that is about to be sent to the cloud."""

    shard: int
    type: str
    zone: str
    spot: bool
    count: int


class LoadRecord(msgspec.Struct):
    """The load of a shard: waiting tasks, slots, tasks a second it completes and receives, free slots."""

    waiting: int
    slots: int
    rate: float
    arrivals: float
    room: int = 0


class StallRecord(msgspec.Struct):
    """The latest stall of a controller: in which part, how many in a row, and when (wall clock)."""

    part: str
    times: int
    at_us: int


class MisroutedRecord(msgspec.Struct):
    """By shard, how many of its workers report to this controller, which does not lead it."""

    misrouted: list[tuple[int, int]] = msgspec.field(name="strays")


class SupportsRecord(msgspec.Struct):
    """The highest feature level that a controller's version supports."""

    level: int


class LevelRecord(msgspec.Struct):
    """The feature level that all controllers act by."""

    level: int


#: the type of the record of each kind
KINDS: dict[str, Any] = {
    RecordKind.TERM: TermRecord,
    RecordKind.SHARD: ShardRecord,
    RecordKind.JOB: JobRecord,
    RecordKind.PARTITION: PartitionRecord,
    RecordKind.MACHINE: MachineRecord,
    RecordKind.SCALE_OUT: ScaleOutRecord,
    RecordKind.LOAD: LoadRecord,
    RecordKind.MACHINE_TYPES: list[MachineType],
    RecordKind.STALL: StallRecord,
    RecordKind.MISROUTED: MisroutedRecord,
    RecordKind.SUPPORTS: SupportsRecord,
    RecordKind.ACTIVE_LEVEL: LevelRecord,
}

#: kinds that no safety rule rests on: one that can't be read is treated as absent, so that it doesn't cost its batch.
#: Without what a controller supports its feature gate stays shut; the active level itself is not among them.
ADVISORY = frozenset({RecordKind.LOAD, RecordKind.STALL, RecordKind.MISROUTED, RecordKind.SUPPORTS})


def is_final(job: JobRecord) -> bool:
    """Whether a job is done or cancelled, which never changes again."""
    return job.state in (DONE, CANCELLED)


def final_record(job: JobRecord, state: str, done: int, at_us: int = 0) -> JobRecord:
    """What is kept of a finished job: enough to answer its users, and from when its dependents may start."""
    return JobRecord(state=state, tasks=job.tasks, done=done, at_us=at_us)
