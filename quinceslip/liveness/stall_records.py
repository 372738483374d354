"""What a controller notes durably of its own standstills, and what follows from it after the next start.

The note is one record for each controller in the state service. It bounds how often a controller ends itself, and
keeps the part that it stood still in from the same input for a while.
"""

from quinceslip.storage.records import PREFIX, StallRecord

#: parts without which jobs still run: they may rest. Without levels, every level is m; without moves, work waits
#: where it was accepted. Nothing else may be left out.
MAY_REST = frozenset({"levels", "moves"})
#: pauses double up to this power of two
MAX_DOUBLINGS = 10


def key(label: str) -> str:
    return f"{PREFIX}standstill/{label}"


def pause_us(times: int, lease_us: int) -> int:
    """How long a controller that ended itself so many times in a row does not do so again: it doubles.

    The least is a lease: by then a peer has its shards, and nothing is gained by ending it sooner.
    """
    return lease_us << min(times, MAX_DOUBLINGS)


def next_end_us(note: StallRecord | None, lease_us: int) -> int:
    """Wall clock before which this controller does not end itself again."""
    return note.at_us + pause_us(note.times, lease_us) if note is not None else 0


def following(note: StallRecord | None, part: str, wall_us: int, lease_us: int) -> StallRecord:
    """The note of one more end; they are in a row while the last pause is not twice over."""
    in_a_row = note is not None and wall_us < note.at_us + 2 * pause_us(note.times, lease_us)
    return StallRecord(part, note.times + 1 if note is not None and in_a_row else 1, wall_us)


def rests(note: StallRecord | None, part: str, wall_us: int, lease_us: int) -> bool:
    """Whether a part is left out for now, since this controller stood still in it."""
    return note is not None and part in MAY_REST and note.part == part and wall_us < next_end_us(note, lease_us)
