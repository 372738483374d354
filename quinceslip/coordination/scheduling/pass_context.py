"""What the steps of one pass of placement share."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from quinceslip.coordination.scheduling.candidates import CandidateMachines
from quinceslip.coordination.scheduling.failed_searches import FailedSearches
from quinceslip.coordination.shard_state.partition import JobPartition


@dataclass(slots=True)
class PassContext:
    """One pass: its machines, and what it has found out so far."""

    machines: CandidateMachines
    whole_shard: bool  # it looks at every machine of the shard, and may preempt; else at the one that has room again
    failed_searches: FailedSearches


@contextmanager
def delayed_retries_withheld(partition: JobPartition, now_us: int) -> Iterator[list[int]]:
    """Take the tasks that pause after a failure out of the queue, and return them to it at the end.

    The caller may take out further tasks and append them to the list, which returns them to the queue as well.
    """
    withheld = [
        index for index, retry_us in partition.not_before.items() if retry_us > now_us and index in partition.pending
    ]
    for index in withheld:
        partition.pending.discard(index)
    try:
        yield withheld
    finally:
        for index in withheld:
            partition.pending.push(index)
