"""The store: the job's results, with writes that are applied late or never answered, and the machine registry."""

from dataclasses import dataclass


@dataclass(slots=True)
class PendingWrite:
    """A write of the completed tasks that nobody waits for any more; it is applied if its conditions still hold."""

    term: int  # condition: the version of the shard's record
    mod_revision: int  # condition: the version of the job's record
    done: frozenset[int]


class ResultStore:
    """The completed tasks by the job's record, and the versions that writes to it are conditional on."""

    def __init__(self, conditional: bool) -> None:
        """A store that checks the conditions of late writes only if `conditional`."""
        self._conditional = conditional
        self.term = 0  # of the shard's record
        self.recorded: set[int] = set()
        self.mod_revision = 0
        self.pending_writes: list[PendingWrite] = []
        self.registered: set[str] = set()  # machines that the registry says may hold tasks

    def write(self, done: set[int]) -> None:
        """Apply a write of the present leader at once."""
        self.recorded |= done
        self.mod_revision += 1

    def apply_pending(self, position: int) -> None:
        """Apply a late write, or drop it where its conditions no longer hold."""
        write = self.pending_writes.pop(position)
        holds = write.term == self.term and write.mod_revision == self.mod_revision
        # Guard: a late write is conditional on what it replaces, so it undoes no newer one.
        if holds or not self._conditional:
            self.recorded = set(write.done)
            self.mod_revision += 1
