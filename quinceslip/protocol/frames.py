"""Frames between controllers, packed by hand with `struct`."""

import struct
from dataclasses import dataclass, field

MAGIC = b"QS"
VERSION = 4
HEADER = struct.Struct("!2sBBH")  # magic, version, kind, length of the payload
BEAT = struct.Struct("!16sBqHH")  # label, flags, ledger, number of shard loads, number of refusals
LOAD = struct.Struct("!HIIIdIB")  # shard, waiting, slots, room, service rate, quick room, number of zones
ZONE = struct.Struct("!I")  # CPUs that services could have in one zone
REFUSAL = struct.Struct("!32s32sBI")  # machine type, zone, 1 for spot, milliseconds left
STRAY = struct.Struct("!HI")  # shard, workers of it that came in vain; as many as follow, mostly none
MOST_REFUSALS = 32
MOST_STRAYS = 64
KIND_BEAT = 1
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
    #: what the cloud refused lately: machine type, zone, spot, microseconds left
    refusals: list[tuple[str, str, bool, int]] = field(default_factory=list)
    #: it does not reach its workers and wants no shard
    aside: bool = False
    #: shard, and how many of its workers came to this controller although another owns them
    strays: list[tuple[int, int]] = field(default_factory=list)


def _u32(amount: int) -> int:
    return min(max(amount, 0), 2**32 - 1)


def pack_beat(beat: Beat) -> bytes:
    label = beat.label.encode()[:16]
    # A name that does not fit would come out as another one.
    refusals = [r for r in beat.refusals if max(len(r[0].encode()), len(r[1].encode())) <= 32][:MOST_REFUSALS]
    flags = (FLAG_STATE_OK if beat.state_ok else 0) | (FLAG_ASIDE if beat.aside else 0)
    strays = sorted(beat.strays, key=lambda s: -s[1])[:MOST_STRAYS]
    body = BEAT.pack(label, flags, beat.ledger, len(beat.loads),
                     len(refusals))
    for load in beat.loads:
        # A peer without heartbeats is taken for dead; an amount out of range must not cost one.
        body += LOAD.pack(load.shard, _u32(load.waiting), _u32(load.slots), _u32(load.room), load.rate,
                          _u32(load.quick_room), len(load.service_room))
        for cpus in load.service_room:
            body += ZONE.pack(_u32(cpus))
    for machine_type, zone, spot, left_us in refusals:
        body += REFUSAL.pack(machine_type.encode(), zone.encode(), spot, left_us // 1000)
    for shard, count in strays:
        body += STRAY.pack(shard, _u32(count))
    return HEADER.pack(MAGIC, VERSION, KIND_BEAT, len(body)) + body


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
        refusals = []
        for _ in range(refused):
            kind, place, spot, left_ms = REFUSAL.unpack_from(body, offset)
            offset += REFUSAL.size
            refusals.append((kind.rstrip(b"\0").decode(), place.rstrip(b"\0").decode(), bool(spot), left_ms * 1000))
        # Left out where there are none, so that controllers from before they were sent take the frame as well.
        strays = list(STRAY.iter_unpack(body[offset:]))
        return Beat(label.rstrip(b"\0").decode(), bool(flags & FLAG_STATE_OK), ledger, loads, refusals,
                    bool(flags & FLAG_ASIDE), [(shard, came) for shard, came in strays])
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(str(error)) from error
