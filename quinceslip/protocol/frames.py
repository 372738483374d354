"""Frames between controllers, packed by hand with `struct`: a peer's heartbeat, and its observations of cloud capacity.

A frame is a header and a payload. A controller passes over kinds of frames that it does not know, so that versions can
run side by side; within a kind only the end of a payload may grow.
"""

import struct
from dataclasses import dataclass, field

MAGIC = b"QS"
VERSION = 4
#: magic, version, kind, length of the payload
HEADER = struct.Struct("!2sBBH")
#: label, flags, revision of the store, number of shard loads, number of stockouts (of earlier versions, none any more)
HEARTBEAT = struct.Struct("!16sBqHH")
#: shard, waiting tasks, slots, free slots, service rate, CPUs on quick machines, number of zones
LOAD = struct.Struct("!HIIIdIB")
#: CPUs that services could have in one zone
ZONE = struct.Struct("!I")
#: shard, misrouted workers of it; as many as follow, mostly none
MISROUTED = struct.Struct("!HI")
#: label, start of its process, number of observations
OBSERVATIONS = struct.Struct("!16sQH")
#: machine type, zone, 1 for spot, number, age in milliseconds, machines asked for, machines granted
OBSERVATION = struct.Struct("!32s32sBIIHH")
#: what earlier versions repeated of others' stockouts; read past and not believed
STOCKOUT = struct.Struct("!32s32sBI")
KIND_HEARTBEAT = 1
#: observations of cloud capacity; controllers from before pass over a frame of another kind
KIND_OBSERVATIONS = 2
FLAG_STATE_OK = 1
FLAG_YIELDING = 2
MAX_MISROUTED_ENTRIES = 64
MAX_U16 = 2**16 - 1
#: bytes
MAX_PAYLOAD_BYTES = 4096
LABEL_BYTES = 16
NAME_BYTES = 32


class FrameError(ValueError):
    """Bytes that are not a frame of this protocol."""


@dataclass(slots=True)
class ShardLoad:
    """The load of one shard: waiting tasks, slots, free slots, and the tasks that a slot serves in a second."""

    shard: int
    waiting: int
    slots: int
    free_slots: int
    rate: float
    service_cpus: list[int]  # CPUs that services could have in each zone, in the order of the settings
    quick_service_cpus: int = 0  # the part of it on machines that fetch a usual image in time


@dataclass(slots=True)
class PeerHeartbeat:
    """One controller's sign of life, with the load of the shards that it leads."""

    label: str
    state_ok: bool
    revision: int
    loads: list[ShardLoad]
    #: it does not reach its workers, so it wants no shard
    yielding: bool = False
    #: shard, and how many of its workers sent their heartbeats here although another controller leads it
    misrouted: list[tuple[int, int]] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Observation:
    """What one controller has seen itself of the cloud's capacity."""

    kind: tuple[str, str, bool]  # machine type, zone, spot
    process_started_ms: int  # start of the controller's process, milliseconds of wall clock
    number: int  # counted by that process: a newer observation has a higher one
    age_us: int
    asked: int  # machines
    granted: int


@dataclass(slots=True)
class PeerObservations:
    """A controller's own observations; never those of another one."""

    label: str
    observations: list[Observation]


def _u32(amount: int) -> int:
    """An amount as it fits an unsigned field: a peer without heartbeats is taken for dead, so none may fail to pack."""
    return min(max(amount, 0), 2**32 - 1)


def _label(raw: bytes) -> str:
    return raw.rstrip(b"\0").decode()


def _frame(kind: int, payload: bytes) -> bytes:
    return HEADER.pack(MAGIC, VERSION, kind, len(payload)) + payload


def read_header(data: bytes) -> tuple[int, int]:
    """Kind and payload length in bytes; raises FrameError for another protocol, version or a payload too long."""
    magic, version, kind, length = HEADER.unpack(data)
    if magic != MAGIC or version != VERSION:
        raise FrameError(f"bad magic or version: {data[:3]!r}")
    if length > MAX_PAYLOAD_BYTES:
        raise FrameError(f"payload of {length} bytes")
    return kind, length


def read_frame(kind: int, body: bytes) -> PeerHeartbeat | PeerObservations | None:
    """What a frame says; None for kinds of later versions. Raises FrameError for a payload that is malformed."""
    if kind == KIND_HEARTBEAT:
        return read_heartbeat(body)
    return read_observations(body) if kind == KIND_OBSERVATIONS else None


# Heartbeats.


def pack_heartbeat(heartbeat: PeerHeartbeat) -> bytes:
    """The frame of a heartbeat; of misrouted workers the shards with most of them, up to a bound."""
    flags = FLAG_STATE_OK if heartbeat.state_ok else 0
    flags |= FLAG_YIELDING if heartbeat.yielding else 0
    label = heartbeat.label.encode()[:LABEL_BYTES]
    payload = HEARTBEAT.pack(label, flags, heartbeat.revision, len(heartbeat.loads), 0)
    payload += b"".join(map(_pack_load, heartbeat.loads))
    misrouted = sorted(heartbeat.misrouted, key=lambda entry: -entry[1])[:MAX_MISROUTED_ENTRIES]
    payload += b"".join(MISROUTED.pack(shard, _u32(count)) for shard, count in misrouted)
    return _frame(KIND_HEARTBEAT, payload)


def _pack_load(load: ShardLoad) -> bytes:
    packed = LOAD.pack(
        load.shard,
        _u32(load.waiting),
        _u32(load.slots),
        _u32(load.free_slots),
        load.rate,
        _u32(load.quick_service_cpus),
        len(load.service_cpus),
    )
    return packed + b"".join(ZONE.pack(_u32(cpus)) for cpus in load.service_cpus)


def read_heartbeat(body: bytes) -> PeerHeartbeat:
    """The heartbeat of a payload; raises FrameError for a malformed one."""
    try:
        label, flags, revision, count, stockouts = HEARTBEAT.unpack_from(body)
        offset = HEARTBEAT.size
        loads = []
        for _ in range(count):
            load, offset = _read_load(body, offset)
            loads.append(load)
        # Earlier versions mixed what they had heard with what they saw, so nothing of it can be believed.
        offset += stockouts * STOCKOUT.size
        # Left out where there are none, so that controllers from before they were sent take the frame as well.
        misrouted = [(shard, workers) for shard, workers in MISROUTED.iter_unpack(body[offset:])]
        state_ok, yielding = bool(flags & FLAG_STATE_OK), bool(flags & FLAG_YIELDING)
        return PeerHeartbeat(_label(label), state_ok, revision, loads, yielding, misrouted)
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(str(error)) from error


def _read_load(body: bytes, offset: int) -> tuple[ShardLoad, int]:
    """One shard's load, and where the next one begins."""
    shard, waiting, slots, room, rate, quick_room, zones = LOAD.unpack_from(body, offset)
    offset += LOAD.size
    service_room = [ZONE.unpack_from(body, offset + zone * ZONE.size)[0] for zone in range(zones)]
    return ShardLoad(shard, waiting, slots, room, rate, service_room, quick_room), offset + zones * ZONE.size


# Observations of cloud capacity.


def pack_observations(sent: PeerObservations) -> bytes:
    """The frame of a controller's own observations; the newest come first, and what does not fit is left out."""
    fitting = [observation for observation in sent.observations if _names_fit(observation)]
    fitting = fitting[: (MAX_PAYLOAD_BYTES - OBSERVATIONS.size) // OBSERVATION.size]
    started_ms = fitting[0].process_started_ms if fitting else 0
    payload = OBSERVATIONS.pack(sent.label.encode()[:LABEL_BYTES], started_ms, len(fitting))
    payload += b"".join(map(_pack_observation, fitting))
    return _frame(KIND_OBSERVATIONS, payload)


def _names_fit(observation: Observation) -> bool:
    """Whether type and zone fit their fields: cut short, a name would come out as another one."""
    machine_type, zone, _ = observation.kind
    return max(len(machine_type.encode()), len(zone.encode())) <= NAME_BYTES


def _pack_observation(observation: Observation) -> bytes:
    machine_type, zone, spot = observation.kind
    return OBSERVATION.pack(
        machine_type.encode(),
        zone.encode(),
        spot,
        _u32(observation.number),
        _u32(observation.age_us // 1000),
        min(observation.asked, MAX_U16),
        min(observation.granted, MAX_U16),
    )


def read_observations(body: bytes) -> PeerObservations:
    """The observations of a payload; raises FrameError for a malformed one."""
    try:
        label, started_ms, count = OBSERVATIONS.unpack_from(body)
        found = [
            _read_observation(body, OBSERVATIONS.size + place * OBSERVATION.size, started_ms) for place in range(count)
        ]
        return PeerObservations(_label(label), found)
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(str(error)) from error


def _read_observation(body: bytes, offset: int, started_ms: int) -> Observation:
    machine_type, zone, spot, number, age_ms, asked, granted = OBSERVATION.unpack_from(body, offset)
    kind = (_label(machine_type), _label(zone), bool(spot))
    return Observation(kind, started_ms, number, age_ms * 1000, asked, granted)
