"""What a controller records durably of its own stalls, and what follows from it after the next start.

There is one record for each controller in the key-value store. It bounds how often a controller ends itself, and
keeps the part that it was stalled in from the same input for a while.
"""

from quinceslip.storage.records import PREFIX, StallRecord

#: parts without which jobs still run: they may be suspended. Without levels, every level is m; without moves, work
#: waits where it was accepted. Nothing else may be left out.
SUSPENDABLE_PARTS = frozenset({"levels", "moves"})
#: pauses double up to this power of two
MAX_DOUBLINGS = 10


def key(label: str) -> str:
    """Key of a controller's record in the key-value store."""
    return f"{PREFIX}standstill/{label}"


def pause_us(times: int, lease_us: int) -> int:
    """How long a controller that ended itself so many times in a row does not do so again: it doubles.

    The least is a lease: by then a peer has its shards, and nothing is gained by ending it sooner.
    """
    return lease_us << min(times, MAX_DOUBLINGS)


def next_exit_us(record: StallRecord | None, lease_us: int) -> int:
    """Wall clock before which this controller does not end itself again; 0 where it never did."""
    return record.at_us + pause_us(record.times, lease_us) if record is not None else 0


def next_record(record: StallRecord | None, part: str, wall_us: int, lease_us: int) -> StallRecord:
    """The record of one more end, in `part`; ends are in a row while the last pause is not twice over."""
    if record is None or wall_us >= record.at_us + 2 * pause_us(record.times, lease_us):
        return StallRecord(part, 1, wall_us)
    return StallRecord(part, record.times + 1, wall_us)


def is_suspended(record: StallRecord | None, part: str, wall_us: int, lease_us: int) -> bool:
    """Whether a part is suspended for now, since this controller was stalled in it."""
    if record is None or part not in SUSPENDABLE_PARTS or record.part != part:
        return False
    return wall_us < next_exit_us(record, lease_us)
