"""State shared by the steps of one placement pass."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from quinceslip.coordination.scheduling.candidates import CandidateMachines
from quinceslip.coordination.scheduling.failed_searches import FailedSearches
from quinceslip.coordination.scheduling.work_budget import STEPS_PER_LAUNCH, WorkBudget
from quinceslip.coordination.shard_state.partition import JobPartition


@dataclass(slots=True)
class PassContext:
    """One pass: its machines, the searches that have failed so far, and what it may still do in this turn."""

    machines: CandidateMachines
    whole_shard: bool  # it covers all machines of the shard and may preempt; else only the one that has room again
    failed_searches: FailedSearches
    budget: WorkBudget = field(default_factory=WorkBudget)
    interrupted: bool = False  # the budget ended before a partition could be offered all machines

    def must_stop(self) -> bool:
        """Whether the partition at hand must wait for a later turn, as the work of this one is at its bound."""
        if self.budget.exhausted:
            self.interrupted = True
        return self.interrupted

    def task_launched(self) -> None:
        """Count the work of a launch."""
        self.budget.spend(STEPS_PER_LAUNCH)


@contextmanager
def delayed_retries_withheld(partition: JobPartition, now_us: int) -> Iterator[list[int]]:
    """Remove the tasks whose retry is delayed from the queue, and return them to it at the end.

    The caller may remove further tasks and append them to the list; these are returned to the queue as well.
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
