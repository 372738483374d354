"""The durable records and this node's view of them, kept up by the watch.

Keys (all below PREFIX, so that one watch carries every change):
  term                 the counter that every term comes from
  shard/<n>            who owns shard n, under which term; attached to the owner's lease
  job/<uid>            a job: its spec, the chunk of its home shard, or its final state
  part/<shard>/<uid>   a chunk that moved to another shard
  roster/<worker>      the shard a worker belongs to, written before the first launch on it
  hire/<name>          a rental request that is about to be made
  load/<n>             the load of shard n, recorded every few seconds
  standstill/<label>   where the actor of that controller last stood still, and how often in a row
  stray/<label>        how many workers of which shards came to that controller in vain, while some do
  types                the machine types, for nodes that start while the cloud is away
  supports/<label>     the level that the controller's version supports; attached to its lease (`rollout/admission.py`)
  rollout              the level that all controllers act by; it only rises
"""

import logging
from typing import Any

import msgspec

from quinceslip.protocol.messages import CANCELLED, DONE, JobSpec, MachineType

log = logging.getLogger(__name__)

PREFIX = "q/"
TERM = PREFIX + "term"
TYPES = PREFIX + "types"
ROLLOUT = PREFIX + "rollout"
#: never written: asking for it returns the ledger and nothing else
NOTHING = "none"


def shard_key(shard: int) -> str:
    return f"{PREFIX}shard/{shard}"


def job_key(job_id: str) -> str:
    return f"{PREFIX}job/{job_id}"


def partition_key(shard: int, job_id: str) -> str:
    return f"{PREFIX}part/{shard}/{job_id}"


def machine_key(worker: str) -> str:
    return f"{PREFIX}roster/{worker}"


def scale_out_key(name: str) -> str:
    return f"{PREFIX}hire/{name}"


def misrouted_key(label: str) -> str:
    return f"{PREFIX}stray/{label}"


def supports_key(label: str) -> str:
    return f"{PREFIX}supports/{label}"


def load_key(shard: int) -> str:
    return f"{PREFIX}load/{shard}"


class TermRecord(msgspec.Struct):
    term: int


class ShardRecord(msgspec.Struct):
    owner: str = msgspec.field(name="owner")
    term: int


class PartitionRecord(msgspec.Struct, omit_defaults=True):
    """The tasks of a job that one shard answers for, and those of them that are done."""

    assigned: str = msgspec.field(name="own")
    done: str = ""
    #: the only zones this chunk may use, where a spread service is split between shards
    zones: list[str] = []


class JobRecord(msgspec.Struct, omit_defaults=True):
    state: str
    tasks: int
    spec: JobSpec | None = None
    shard: int = 0
    partition: PartitionRecord | None = msgspec.field(name="chunk", default=None)
    #: wall clock at acceptance, of a job that is over at its end; only for order and deadlines
    at_us: int = 0
    #: shards that hold parts besides the home shard
    parts: list[int] = []
    done: int = 0


class MachineRecord(msgspec.Struct, omit_defaults=True):
    shard: int
    type: str
    zone: str
    spot: bool
    endpoint: str = ""
    #: written before the first launch: a machine that was only rented so far holds no task
    used: bool = False


class ScaleOutRecord(msgspec.Struct):
    shard: int
    type: str
    zone: str
    spot: bool
    count: int


class LoadRecord(msgspec.Struct):
    waiting: int
    slots: int
    rate: float
    arrivals: float
    room: int = 0


class StallRecord(msgspec.Struct):
    part: str
    times: int
    at_us: int  # wall clock


class MisroutedRecord(msgspec.Struct):
    """Shard and number of its workers that came in vain; written while it is so, every few seconds."""

    misrouted: list[tuple[int, int]] = msgspec.field(name="strays")


class SupportsRecord(msgspec.Struct):
    level: int


class LevelRecord(msgspec.Struct):
    level: int


KINDS: dict[str, Any] = {
    "term": TermRecord,
    "shard": ShardRecord,
    "job": JobRecord,
    "part": PartitionRecord,
    "roster": MachineRecord,
    "hire": ScaleOutRecord,
    "load": LoadRecord,
    "types": list[MachineType],
    "standstill": StallRecord,
    "stray": MisroutedRecord,
    "supports": SupportsRecord,
    "rollout": LevelRecord,
}

#: kinds that nothing rests on: one that can't be read is as good as none, and must not cost those beside it.
#: Without what a controller supports its gate stays shut; the level itself is not among them.
ADVISORY = frozenset({"load", "standstill", "stray", "supports"})


def is_final(job: JobRecord) -> bool:
    return job.state in (DONE, CANCELLED)


def final_record(job: JobRecord, state: str, done: int, at_us: int = 0) -> JobRecord:
    """What is kept of a job for ever: enough to answer its users, and since when those may start that needed it."""
    return JobRecord(state=state, tasks=job.tasks, done=done, at_us=at_us)
