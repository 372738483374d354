"""The schema of the key-value store: all keys, their records, and the modules that write them.

All keys begin with `PREFIX`, so that a single watch delivers all changes. The second part of a key is the record's kind
(`RecordKind`); the rest is its name, which is unique within the kind.

====================  ======================  ==================================================================
Key after `PREFIX`    Record                  Written by
====================  ======================  ==================================================================
term                  `TermRecord`            `coordination.leadership`, with every claim of a shard
shard/<shard>         `ShardRecord`           `coordination.leadership`; attached to the leader's lease, so that it
                                              is deleted when the lease expires
job/<job id>          `JobRecord`             `coordination.controller` on acceptance and cancellation;
                                              `coordination.jobs` for results, moves, the job's end, and
                                              cancellation because a dependency was cancelled
part/<shard>/<job>    `PartitionRecord`       `coordination.jobs`, for partitions that moved to another shard;
                                              deleted there or by `coordination.controller` after the job's end
roster/<worker>       `MachineRecord`         `coordination.autoscaling` when a machine is enrolled, adopted or
                                              deleted; `coordination.shard` before the first launch on it
hire/<request>        `ScaleOutRecord`        `coordination.autoscaling`, before the cloud is asked for machines
load/<shard>          `LoadRecord`            `coordination.load_balancing`, every few seconds
standstill/<label>    `StallRecord`           `transport.stall_journal`, before a stalled controller exits
stray/<label>         `MisroutedRecord`       `coordination.connectivity`, while misrouted workers report to the
                                              controller
types                 `list[MachineType]`     `coordination.autoscaling`; read by controllers that start while the
                                              cloud can't be reached
supports/<label>      `SupportsRecord`        `feature_gate`; attached to the controller's lease
rollout               `LevelRecord`           `feature_gate`; the level never decreases
====================  ======================  ==================================================================

<label> is a controller's label in its settings. Subsystems add their own kinds (`StoreCache.register_kinds`): the
quotas add `grant`, `want` and `tree` (`quota.allocations`).

Other versions read and write the stored records, so the stored field names (those of `msgspec.field(name=...)`, if
given) and the values of `RecordKind` must not change.
"""

from enum import StrEnum
from typing import Any

import msgspec

from quinceslip.protocol.messages import CANCELLED, DONE, JobSpec, MachineType


class RecordKind(StrEnum):
    """The kinds of records; the value is the part of the key after `PREFIX`."""

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
#: key of the counter from which all terms are taken
TERM_KEY = PREFIX + RecordKind.TERM
#: key of the machine types that the cloud offers
MACHINE_TYPES_KEY = PREFIX + RecordKind.MACHINE_TYPES
#: key of the feature level that is active on all controllers
ACTIVE_LEVEL_KEY = PREFIX + RecordKind.ACTIVE_LEVEL
#: a key that is never written: reading it returns only the store revision
UNUSED_KEY = "none"


def shard_key(shard: int) -> str:
    """Return the key of a shard's `ShardRecord`."""
    return f"{PREFIX}{RecordKind.SHARD}/{shard}"


def job_key(job_id: str) -> str:
    """Return the key of a job's `JobRecord`."""
    return f"{PREFIX}{RecordKind.JOB}/{job_id}"


def partition_key(shard: int, job_id: str) -> str:
    """Return the key of a job's `PartitionRecord` at a shard other than its home shard."""
    return f"{PREFIX}{RecordKind.PARTITION}/{shard}/{job_id}"


def machine_key(worker: str) -> str:
    """Return the key of a worker's `MachineRecord`."""
    return f"{PREFIX}{RecordKind.MACHINE}/{worker}"


def scale_out_key(name: str) -> str:
    """Return the key of the `ScaleOutRecord` of a request for machines."""
    return f"{PREFIX}{RecordKind.SCALE_OUT}/{name}"


def misrouted_key(label: str) -> str:
    """Return the key of a controller's `MisroutedRecord`."""
    return f"{PREFIX}{RecordKind.MISROUTED}/{label}"


def supports_key(label: str) -> str:
    """Return the key of a controller's `SupportsRecord`."""
    return f"{PREFIX}{RecordKind.SUPPORTS}/{label}"


def load_key(shard: int) -> str:
    """Return the key of a shard's `LoadRecord`."""
    return f"{PREFIX}{RecordKind.LOAD}/{shard}"


def split_key(key: str) -> tuple[str, str]:
    """Split a key into kind and name.

    The name of a partition's record is "<shard>/<job id>"; a kind with a single record has the name "".
    """
    _, kind, *rest = key.split("/", 2)
    return kind, rest[0] if rest else ""


class TermRecord(msgspec.Struct):
    """The highest term or fencing token that has been given to any leader."""

    term: int


class ShardRecord(msgspec.Struct):
    """The label of a shard's leader, and its term."""

    leader: str = msgspec.field(name="owner")
    term: int


class PartitionRecord(msgspec.Struct, omit_defaults=True):
    """The tasks of a job that are assigned to one shard, and which of them are done (encoded by `task_sets`)."""

    assigned: str = msgspec.field(name="own")
    done: str = ""
    #: zones that a partition of a spread service split between shards is restricted to; empty: any zone
    zones: list[str] = []


class JobRecord(msgspec.Struct, omit_defaults=True):
    """A job. The specification and the home partition are only stored while the job is open."""

    #: QUEUED, DONE or CANCELLED of `protocol.messages`
    state: str
    tasks: int
    spec: JobSpec | None = None
    #: the home shard
    shard: int = 0
    #: the home partition
    partition: PartitionRecord | None = msgspec.field(name="chunk", default=None)
    #: wall clock time when the job was accepted, or ended if it is final; used only for ordering and deadlines
    at_us: int = 0
    #: shards other than the home shard that have a partition of the job
    other_shards: list[int] = msgspec.field(name="parts", default=[])
    #: number of tasks done when the job ended
    done: int = 0


class MachineRecord(msgspec.Struct, omit_defaults=True):
    """An entry of the machine registry: a machine that may run tasks of a shard."""

    shard: int
    type: str
    zone: str
    spot: bool
    endpoint: str = ""
    #: set before the first launch, so a machine without it has no tasks
    used: bool = False


class ScaleOutRecord(msgspec.Struct):
    """A scale-out request, written before it is sent to the cloud."""

    shard: int
    type: str
    zone: str
    spot: bool
    count: int


class LoadRecord(msgspec.Struct):
    """The load of a shard.

    `rate` is the number of tasks that a slot completes per second, `arrival_rate` the number of tasks that arrive at
    the shard per second.
    """

    waiting: int
    slots: int
    rate: float
    arrival_rate: float = msgspec.field(name="arrivals")
    free_slots: int = msgspec.field(name="room", default=0)


class StallRecord(msgspec.Struct):
    """The latest stall of a controller: the stalled part, the number of stalls in a row, and the wall clock time."""

    part: str
    stalls: int = msgspec.field(name="times")
    at_us: int


class MisroutedRecord(msgspec.Struct):
    """Pairs of a shard that this controller does not lead and the number of its workers that report to it."""

    misrouted: list[tuple[int, int]] = msgspec.field(name="strays")


class SupportsRecord(msgspec.Struct):
    """The highest feature level that a controller's version supports."""

    level: int


class LevelRecord(msgspec.Struct):
    """The feature level that is active on all controllers."""

    level: int


#: the record type of each kind
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

#: Kinds that no safety rule depends on: a record that can't be decoded is treated as absent, so that the rest of its
#: batch is still applied. Without a controller's `SUPPORTS` record the feature level is not raised. `ACTIVE_LEVEL` is
#: not advisory.
ADVISORY = frozenset({RecordKind.LOAD, RecordKind.STALL, RecordKind.MISROUTED, RecordKind.SUPPORTS})


#: Kinds whose records concern only what they name: one that can't be decoded costs that alone. It is never overwritten,
#: as a later version may have written it. Without all records of the other kinds (terms, leaders, machines, quotas) no
#: decision would be safe, so while one of those can't be decoded, the cache does not count as synced.
SELF_CONTAINED = frozenset({RecordKind.JOB, RecordKind.PARTITION, RecordKind.SCALE_OUT, RecordKind.MACHINE_TYPES})


def is_final(job: JobRecord) -> bool:
    """Return whether a job is done or cancelled; such a state never changes."""
    return job.state in (DONE, CANCELLED)


def final_record(job: JobRecord, state: str, done: int, at_us: int = 0) -> JobRecord:
    """Build the record of an ended job: what answers to its users need, and when its dependents may start."""
    return JobRecord(state=state, tasks=job.tasks, done=done, at_us=at_us)
