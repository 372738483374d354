"""Frames between controllers, packed by hand with `struct`."""

import struct
from dataclasses import dataclass, field

MAGIC = b"QS"
VERSION = 4
HEADER = struct.Struct("!2sBBH")  # magic, version, kind, length of the payload
HEARTBEAT = struct.Struct("!16sBqHH")  # label, flags, ledger, number of shard loads, number of refusals (none any more)
LOAD = struct.Struct("!HIIIdIB")  # shard, waiting, slots, room, service rate, quick room, number of zones
ZONE = struct.Struct("!I")  # CPUs that services could have in one zone
MISROUTED = struct.Struct("!HI")  # shard, workers of it that came in vain; as many as follow, mostly none
OBSERVATIONS = struct.Struct("!16sQH")  # label, birth of its process, number of sightings
OBSERVATION = struct.Struct(
    "!32s32sBIIHH"
)  # machine type, zone, 1 for spot, count, age in milliseconds, asked, granted
STOCKOUT = struct.Struct("!32s32sBI")  # what earlier versions told on of refusals; read past and not believed
MAX_MISROUTED_ENTRIES = 64
KIND_HEARTBEAT = 1
#: sightings of the cloud's room; controllers from before pass over a frame of another kind
KIND_OBSERVATIONS = 2
FLAG_STATE_OK = 1
FLAG_YIELDING = 2
MAX_PAYLOAD = 4096


class FrameError(ValueError):
    """Bytes that are no frame of ours."""


@dataclass(slots=True)
class ShardLoad:
    shard: int
    waiting: int
    slots: int
    room: int
    rate: float
    service_room: list[int]  # CPUs that services could have in each zone, in the order of the settings
    quick_room: int = 0  # the part of it on machines that fetch a usual image in time


@dataclass(slots=True)
class PeerHeartbeat:
    """One controller's sign of life."""

    label: str
    state_ok: bool
    revision: int
    loads: list[ShardLoad]
    #: it does not reach its workers and wants no shard
    yielding: bool = False
    #: shard, and how many of its workers came to this controller although another owns them
    misrouted: list[tuple[int, int]] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Observation:
    """What one controller saw of the cloud's room, at first hand."""

    kind: tuple[str, str, bool]  # machine type, zone, spot
    born: int  # of the controller's process, milliseconds of wall clock
    number: int  # counted by that process: a newer sighting has a higher one
    age_us: int
    asked: int  # machines
    granted: int


@dataclass(slots=True)
class PeerObservations:
    """A controller's own sightings; never anybody else's."""

    label: str
    observations: list[Observation]


def _u32(amount: int) -> int:
    return min(max(amount, 0), 2**32 - 1)


def pack_heartbeat(heartbeat: PeerHeartbeat) -> bytes:
    label = heartbeat.label.encode()[:16]
    flags = (FLAG_STATE_OK if heartbeat.state_ok else 0) | (FLAG_YIELDING if heartbeat.yielding else 0)
    misrouted = sorted(heartbeat.misrouted, key=lambda s: -s[1])[:MAX_MISROUTED_ENTRIES]
    body = HEARTBEAT.pack(label, flags, heartbeat.revision, len(heartbeat.loads), 0)
    for load in heartbeat.loads:
        # A peer without heartbeats is taken for dead; an amount out of range must not cost one.
        body += LOAD.pack(
            load.shard,
            _u32(load.waiting),
            _u32(load.slots),
            _u32(load.room),
            load.rate,
            _u32(load.quick_room),
            len(load.service_room),
        )
        for cpus in load.service_room:
            body += ZONE.pack(_u32(cpus))
    for shard, count in misrouted:
        body += MISROUTED.pack(shard, _u32(count))
    return HEADER.pack(MAGIC, VERSION, KIND_HEARTBEAT, len(body)) + body


def pack_observations(told: PeerObservations) -> bytes:
    """Its frame; the newest come first, and what does not fit is left out."""
    # A name that does not fit would come out as another one.
    fit = [s for s in told.observations if max(len(s.kind[0].encode()), len(s.kind[1].encode())) <= 32]
    fit = fit[: (MAX_PAYLOAD - OBSERVATIONS.size) // OBSERVATION.size]
    body = OBSERVATIONS.pack(told.label.encode()[:16], fit[0].born if fit else 0, len(fit))
    for s in fit:
        body += OBSERVATION.pack(
            s.kind[0].encode(),
            s.kind[1].encode(),
            s.kind[2],
            _u32(s.number),
            _u32(s.age_us // 1000),
            min(s.asked, 2**16 - 1),
            min(s.granted, 2**16 - 1),
        )
    return HEADER.pack(MAGIC, VERSION, KIND_OBSERVATIONS, len(body)) + body


def read_observations(body: bytes) -> PeerObservations:
    try:
        label, born, count = OBSERVATIONS.unpack_from(body)
        found = []
        for place in range(count):
            kind, zone, spot, number, age_ms, asked, granted = OBSERVATION.unpack_from(
                body, OBSERVATIONS.size + place * OBSERVATION.size
            )
            found.append(
                Observation(
                    (kind.rstrip(b"\0").decode(), zone.rstrip(b"\0").decode(), bool(spot)),
                    born,
                    number,
                    age_ms * 1000,
                    asked,
                    granted,
                )
            )
        return PeerObservations(label.rstrip(b"\0").decode(), found)
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(str(error)) from error


def read_frame(kind: int, body: bytes) -> PeerHeartbeat | PeerObservations | None:
    """What a frame says; None for kinds of later versions."""
    if kind == KIND_HEARTBEAT:
        return read_heartbeat(body)
    return read_observations(body) if kind == KIND_OBSERVATIONS else None


def read_header(data: bytes) -> tuple[int, int]:
    """Kind and payload length; raises on anything else."""
    magic, version, kind, length = HEADER.unpack(data)
    if magic != MAGIC or version != VERSION:
        raise FrameError(f"bad magic or version: {data[:3]!r}")
    if length > MAX_PAYLOAD:
        raise FrameError(f"payload of {length} bytes")
    return kind, length


def read_heartbeat(body: bytes) -> PeerHeartbeat:
    try:
        label, flags, revision, count, refused = HEARTBEAT.unpack_from(body)
        offset = HEARTBEAT.size
        loads = []
        for _ in range(count):
            shard, waiting, slots, room, rate, quick, zones = LOAD.unpack_from(body, offset)
            offset += LOAD.size
            rooms = [ZONE.unpack_from(body, offset + i * ZONE.size)[0] for i in range(zones)]
            offset += zones * ZONE.size
            loads.append(ShardLoad(shard, waiting, slots, room, rate, rooms, quick))
        # Earlier versions mixed what they were told with what they saw, so nothing of it can be believed.
        offset += refused * STOCKOUT.size
        # Left out where there are none, so that controllers from before they were sent take the frame as well.
        misrouted = list(MISROUTED.iter_unpack(body[offset:]))
        return PeerHeartbeat(
            label.rstrip(b"\0").decode(),
            bool(flags & FLAG_STATE_OK),
            revision,
            loads,
            bool(flags & FLAG_YIELDING),
            [(shard, came) for shard, came in misrouted],
        )
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(str(error)) from error
