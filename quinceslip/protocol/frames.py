"""Binary frames between controllers, packed with `struct`: heartbeats and observations of cloud capacity.

A frame is a header and a payload. Controllers of different versions run side by side: a controller ignores kinds of
frames that it does not know, and a newer version may only append to the payload of an existing kind.
"""

import struct
from dataclasses import dataclass, field

MAGIC = b"QS"
VERSION = 4
#: magic, version, kind, payload length in bytes
HEADER = struct.Struct("!2sBBH")
#: label, flags, store revision, number of shard loads, number of stockouts (sent by earlier versions only, now 0)
HEARTBEAT = struct.Struct("!16sBqHH")
#: shard, waiting tasks, slots, free slots, service rate, service CPUs on machines with fast image fetches, zones
LOAD = struct.Struct("!HIIIdIB")
#: CPUs available to services in one zone
ZONE = struct.Struct("!I")
#: shard, number of its misrouted workers; repeated to the end of the payload, usually absent
MISROUTED = struct.Struct("!HI")
#: label, start time of the sender's process in milliseconds, number of observations
OBSERVATIONS = struct.Struct("!16sQH")
#: machine type, zone, 1 for spot, sequence number, age in milliseconds, machines requested, machines granted
OBSERVATION = struct.Struct("!32s32sBIIHH")
#: a stockout relayed by an earlier version; skipped on reading
STOCKOUT = struct.Struct("!32s32sBI")
KIND_HEARTBEAT = 1
#: observations of cloud capacity; versions without this kind ignore it
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
    """The bytes are not a valid frame of this protocol version."""


@dataclass(slots=True)
class ShardLoad:
    """The load of one shard; `rate` is the number of tasks that a slot completes per second."""

    shard: int
    waiting: int
    slots: int
    free_slots: int
    rate: float
    service_cpus: list[int]  # CPUs available to services in each zone, in the order of the settings
    quick_service_cpus: int = 0  # those of them on machines that can fetch a typical image in time


@dataclass(slots=True)
class PeerHeartbeat:
    """The heartbeat of one controller, with the load of the shards that it leads."""

    label: str
    state_ok: bool
    revision: int
    loads: list[ShardLoad]
    #: the sender cannot reach its workers, so it does not want to lead any shard
    yielding: bool = False
    #: shard, and how many of its workers sent heartbeats to this controller although another one leads the shard
    misrouted: list[tuple[int, int]] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Observation:
    """The result of one controller's own request for cloud capacity."""

    kind: tuple[str, str, bool]  # machine type, zone, spot
    process_started_ms: int  # start of the controller's process, wall clock
    number: int  # sequence number within that process; newer observations have higher ones
    age_us: int
    asked: int  # machines requested
    granted: int  # machines


@dataclass(slots=True)
class PeerObservations:
    """The sender's own observations; observations received from peers are not forwarded."""

    label: str
    observations: list[Observation]


def _u32(amount: int) -> int:
    """Clamp to 32 bits: packing must not fail, as a controller that sends no heartbeats is taken for dead."""
    return min(max(amount, 0), 2**32 - 1)


def _label(raw: bytes) -> str:
    return raw.rstrip(b"\0").decode()


def _frame(kind: int, payload: bytes) -> bytes:
    return HEADER.pack(MAGIC, VERSION, kind, len(payload)) + payload


def read_header(data: bytes) -> tuple[int, int]:
    """Return the frame's kind and payload length in bytes.

    Raises FrameError for another protocol or version, or a payload length above the maximum.
    """
    magic, version, kind, length = HEADER.unpack(data)
    if magic != MAGIC or version != VERSION:
        raise FrameError(f"bad magic or version: {data[:3]!r}")
    if length > MAX_PAYLOAD_BYTES:
        raise FrameError(f"payload of {length} bytes")
    return kind, length


def read_frame(kind: int, payload: bytes) -> PeerHeartbeat | PeerObservations | None:
    """Decode a payload; None for kinds of later versions. Raises FrameError for a malformed payload."""
    if kind == KIND_HEARTBEAT:
        return read_heartbeat(payload)
    return read_observations(payload) if kind == KIND_OBSERVATIONS else None


# Heartbeats.


def pack_heartbeat(heartbeat: PeerHeartbeat) -> bytes:
    """Build the frame of a heartbeat. Of the misrouted counts it keeps the largest `MAX_MISROUTED_ENTRIES`."""
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


def read_heartbeat(payload: bytes) -> PeerHeartbeat:
    """Decode a heartbeat payload; raises FrameError if it is malformed."""
    try:
        label, flags, revision, load_count, stockout_count = HEARTBEAT.unpack_from(payload)
        offset = HEARTBEAT.size
        loads = []
        for _ in range(load_count):
            load, offset = _read_load(payload, offset)
            loads.append(load)
        # Earlier versions relayed stockouts of others together with their own, so they are not reliable: skip them.
        offset += stockout_count * STOCKOUT.size
        # Absent if there are none, so that versions from before this field accept the frame as well.
        misrouted = [(shard, workers) for shard, workers in MISROUTED.iter_unpack(payload[offset:])]
        state_ok, yielding = bool(flags & FLAG_STATE_OK), bool(flags & FLAG_YIELDING)
        return PeerHeartbeat(_label(label), state_ok, revision, loads, yielding, misrouted)
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(str(error)) from error


def _read_load(payload: bytes, offset: int) -> tuple[ShardLoad, int]:
    """Decode one shard's load; returns it and the offset of the next one."""
    shard, waiting, slots, free_slots, rate, quick_service_cpus, zones = LOAD.unpack_from(payload, offset)
    offset += LOAD.size
    service_cpus = [ZONE.unpack_from(payload, offset + zone * ZONE.size)[0] for zone in range(zones)]
    return (
        ShardLoad(shard, waiting, slots, free_slots, rate, service_cpus, quick_service_cpus),
        offset + zones * ZONE.size,
    )


# Observations of cloud capacity.


def pack_observations(message: PeerObservations) -> bytes:
    """Build the frame of a controller's own observations, which are ordered newest first; drops those beyond its size.

    Also drops observations whose names are too long for their fields.
    """
    fitting = [observation for observation in message.observations if _names_fit(observation)]
    fitting = fitting[: (MAX_PAYLOAD_BYTES - OBSERVATIONS.size) // OBSERVATION.size]
    started_ms = fitting[0].process_started_ms if fitting else 0
    payload = OBSERVATIONS.pack(message.label.encode()[:LABEL_BYTES], started_ms, len(fitting))
    payload += b"".join(map(_pack_observation, fitting))
    return _frame(KIND_OBSERVATIONS, payload)


def _names_fit(observation: Observation) -> bool:
    """Return whether machine type and zone fit their fields: a truncated name could be that of another type or zone."""
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


def read_observations(payload: bytes) -> PeerObservations:
    """Decode an observations payload; raises FrameError if it is malformed."""
    try:
        label, started_ms, count = OBSERVATIONS.unpack_from(payload)
        observations = [
            _read_observation(payload, OBSERVATIONS.size + index * OBSERVATION.size, started_ms)
            for index in range(count)
        ]
        return PeerObservations(_label(label), observations)
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(str(error)) from error


def _read_observation(payload: bytes, offset: int, started_ms: int) -> Observation:
    machine_type, zone, spot, number, age_ms, asked, granted = OBSERVATION.unpack_from(payload, offset)
    kind = (_label(machine_type), _label(zone), bool(spot))
    return Observation(kind, started_ms, number, age_ms * 1000, asked, granted)
