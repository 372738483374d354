"""Frames between controllers, packed by hand with `struct`."""

import struct
from dataclasses import dataclass, field

MAGIC = b"QS"
VERSION = 4
HEADER = struct.Struct("!2sBBH")  # magic, version, kind, length of the payload
BEAT = struct.Struct("!16sBqHH")  # label, flags, ledger, number of shard loads, number of refusals (none any more)
LOAD = struct.Struct("!HIIIdIB")  # shard, waiting, slots, room, service rate, quick room, number of zones
ZONE = struct.Struct("!I")  # CPUs that services could have in one zone
STRAY = struct.Struct("!HI")  # shard, workers of it that came in vain; as many as follow, mostly none
SIGHTINGS = struct.Struct("!16sQH")  # label, birth of its process, number of sightings
SIGHTING = struct.Struct("!32s32sBIIHH")  # machine type, zone, 1 for spot, count, age in milliseconds, asked, granted
REFUSAL = struct.Struct("!32s32sBI")  # what earlier versions told on of refusals; read past and not believed
MOST_STRAYS = 64
KIND_BEAT = 1
#: sightings of the cloud's room; controllers from before pass over a frame of another kind
KIND_SUPPLY = 2
FLAG_STATE_OK = 1
FLAG_ASIDE = 2
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
class Beat:
    """One controller's sign of life."""

    label: str
    state_ok: bool
    ledger: int
    loads: list[ShardLoad]
    #: it does not reach its workers and wants no shard
    aside: bool = False
    #: shard, and how many of its workers came to this controller although another owns them
    strays: list[tuple[int, int]] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Sighting:
    """What one controller saw of the cloud's room, at first hand."""

    kind: tuple[str, str, bool]  # machine type, zone, spot
    born: int  # of the controller's process, milliseconds of wall clock
    number: int  # counted by that process: a newer sighting has a higher one
    age_us: int
    asked: int  # machines
    granted: int


@dataclass(slots=True)
class Sightings:
    """A controller's own sightings; never anybody else's."""

    label: str
    sightings: list[Sighting]


def _u32(amount: int) -> int:
    return min(max(amount, 0), 2**32 - 1)


def pack_beat(beat: Beat) -> bytes:
    label = beat.label.encode()[:16]
    flags = (FLAG_STATE_OK if beat.state_ok else 0) | (FLAG_ASIDE if beat.aside else 0)
    strays = sorted(beat.strays, key=lambda s: -s[1])[:MOST_STRAYS]
    body = BEAT.pack(label, flags, beat.ledger, len(beat.loads), 0)
    for load in beat.loads:
        # A peer without heartbeats is taken for dead; an amount out of range must not cost one.
        body += LOAD.pack(load.shard, _u32(load.waiting), _u32(load.slots), _u32(load.room), load.rate,
                          _u32(load.quick_room), len(load.service_room))
        for cpus in load.service_room:
            body += ZONE.pack(_u32(cpus))
    for shard, count in strays:
        body += STRAY.pack(shard, _u32(count))
    return HEADER.pack(MAGIC, VERSION, KIND_BEAT, len(body)) + body


def pack_sightings(told: Sightings) -> bytes:
    """Its frame; the newest come first, and what does not fit is left out."""
    # A name that does not fit would come out as another one.
    fit = [s for s in told.sightings if max(len(s.kind[0].encode()), len(s.kind[1].encode())) <= 32]
    fit = fit[: (MAX_PAYLOAD - SIGHTINGS.size) // SIGHTING.size]
    body = SIGHTINGS.pack(told.label.encode()[:16], fit[0].born if fit else 0, len(fit))
    for s in fit:
        body += SIGHTING.pack(s.kind[0].encode(), s.kind[1].encode(), s.kind[2], _u32(s.number),
                              _u32(s.age_us // 1000), min(s.asked, 2**16 - 1), min(s.granted, 2**16 - 1))
    return HEADER.pack(MAGIC, VERSION, KIND_SUPPLY, len(body)) + body


def read_sightings(body: bytes) -> Sightings:
    try:
        label, born, count = SIGHTINGS.unpack_from(body)
        found = []
        for place in range(count):
            kind, zone, spot, number, age_ms, asked, granted = SIGHTING.unpack_from(
                body, SIGHTINGS.size + place * SIGHTING.size)
            found.append(Sighting((kind.rstrip(b"\0").decode(), zone.rstrip(b"\0").decode(), bool(spot)), born,
                                  number, age_ms * 1000, asked, granted))
        return Sightings(label.rstrip(b"\0").decode(), found)
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(str(error)) from error


def read_frame(kind: int, body: bytes) -> Beat | Sightings | None:
    """What a frame says; None for kinds of later versions."""
    if kind == KIND_BEAT:
        return read_beat(body)
    return read_sightings(body) if kind == KIND_SUPPLY else None


def read_header(data: bytes) -> tuple[int, int]:
    """Kind and payload length; raises on anything else."""
    magic, version, kind, length = HEADER.unpack(data)
    if magic != MAGIC or version != VERSION:
        raise FrameError(f"bad magic or version: {data[:3]!r}")
    if length > MAX_PAYLOAD:
        raise FrameError(f"payload of {length} bytes")
    return kind, length


def read_beat(body: bytes) -> Beat:
    try:
        label, flags, ledger, count, refused = BEAT.unpack_from(body)
        offset = BEAT.size
        loads = []
        for _ in range(count):
            shard, waiting, slots, room, rate, quick, zones = LOAD.unpack_from(body, offset)
            offset += LOAD.size
            rooms = [ZONE.unpack_from(body, offset + i * ZONE.size)[0] for i in range(zones)]
            offset += zones * ZONE.size
            loads.append(ShardLoad(shard, waiting, slots, room, rate, rooms, quick))
        # Earlier versions mixed what they were told with what they saw, so nothing of it can be believed.
        offset += refused * REFUSAL.size
        # Left out where there are none, so that controllers from before they were sent take the frame as well.
        strays = list(STRAY.iter_unpack(body[offset:]))
        return Beat(label.rstrip(b"\0").decode(), bool(flags & FLAG_STATE_OK), ledger, loads,
                    bool(flags & FLAG_ASIDE), [(shard, came) for shard, came in strays])
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(str(error)) from error
