"""Durable record of a controller's stalls, and its effects after the next start.

There is one record per controller in the key-value store. It limits how often a controller ends itself, and suspends
the part that it was stalled in for a while, so that the part does not process the same input again.
"""

from quinceslip.storage.records import PREFIX, StallRecord

#: parts that may be suspended, because jobs still run without them: without levels, every level is m; without moves,
#: work waits where it was accepted. No other part may be suspended.
SUSPENDABLE_PARTS = frozenset({"levels", "moves"})
#: number of times that the pause between two exits may double
MAX_DOUBLINGS = 10


def key(label: str) -> str:
    """Return the key of a controller's record in the key-value store."""
    return f"{PREFIX}standstill/{label}"


def pause_us(times: int, lease_us: int) -> int:
    """Return how long a controller that ended itself `times` times in a row waits before the next exit; it doubles.

    The pause is at least a lease: by then a peer leads its shards, and an earlier exit would gain nothing.
    """
    return lease_us << min(times, MAX_DOUBLINGS)


def next_exit_us(record: StallRecord | None, lease_us: int) -> int:
    """Return the wall clock time before which this controller does not end itself again; 0 if it never did."""
    return record.at_us + pause_us(record.stalls, lease_us) if record is not None else 0


def next_record(record: StallRecord | None, part: str, wall_us: int, lease_us: int) -> StallRecord:
    """Return the record of another exit, stalled in `part`; exits within twice the last pause count as in a row."""
    if record is None or wall_us >= record.at_us + 2 * pause_us(record.stalls, lease_us):
        return StallRecord(part, 1, wall_us)
    return StallRecord(part, record.stalls + 1, wall_us)


def is_suspended(record: StallRecord | None, part: str, wall_us: int, lease_us: int) -> bool:
    """Whether a part is currently suspended because this controller was stalled in it."""
    if record is None or part not in SUSPENDABLE_PARTS or record.part != part:
        return False
    return wall_us < next_exit_us(record, lease_us)
