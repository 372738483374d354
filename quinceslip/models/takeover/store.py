"""The store: the job's results, writes that are applied late or never answered, and the machine registry."""

from dataclasses import dataclass


@dataclass(slots=True)
class PendingWrite:
    """An unanswered write of the completed tasks, which is applied later if its conditions still hold."""

    term: int  # expected version of the shard's record
    mod_revision: int  # expected version of the job's record
    done: frozenset[int]


class ResultStore:
    """The completed tasks in the job's record, and the versions that writes to it are conditional on."""

    def __init__(self, check_conditions: bool) -> None:
        """Create a store that checks the conditions of late writes if `check_conditions`."""
        self._check_conditions = check_conditions
        self.term = 0  # version of the shard's record
        self.recorded: set[int] = set()
        self.mod_revision = 0
        self.pending_writes: list[PendingWrite] = []
        self.registered: set[str] = set()  # machines that may have tasks, by the registry

    def write(self, done: set[int]) -> None:
        """Apply a write of the current leader at once."""
        self.recorded |= done
        self.mod_revision += 1

    def apply_pending(self, position: int) -> None:
        """Apply a late write, or drop it if its conditions no longer hold."""
        write = self.pending_writes.pop(position)
        conditions_hold = write.term == self.term and write.mod_revision == self.mod_revision
        # Guard: a late write is conditional on the versions that it replaces, so it cannot undo a newer one.
        if conditions_hold or not self._check_conditions:
            self.recorded = set(write.done)
            self.mod_revision += 1
