"""The waiting tasks of a partition, lowest index first."""

import heapq
from collections.abc import Iterator

#: the heap may hold this many removed entries beside as many as there are members, before it is rebuilt
MAX_STALE_ENTRIES = 16


class TaskQueue:
    """Indices of waiting tasks, lowest first; any of them can be taken out at once."""

    def __init__(self) -> None:
        """No task waits."""
        self._heap: list[int] = []
        self.members: set[int] = set()  # those that wait; public so that the hot path reads it without a call

    def __len__(self) -> int:
        """Number of waiting tasks."""
        return len(self.members)

    def __contains__(self, index: int) -> bool:
        """Whether that task waits."""
        return index in self.members

    def __iter__(self) -> Iterator[int]:
        """The waiting tasks, lowest first; a snapshot, so members may change meanwhile."""
        return iter(sorted(self.members))

    def push(self, index: int) -> None:
        """Add a task; one that waits already stays."""
        if index not in self.members:
            self.members.add(index)
            heapq.heappush(self._heap, index)

    def peek(self) -> int:
        """The lowest index that waits; raises `IndexError` where none does."""
        # Bound: the heap; each turn takes one off it, and an empty one raises.
        while self._heap[0] not in self.members:
            heapq.heappop(self._heap)
        return self._heap[0]

    def discard(self, index: int) -> None:
        """Take a task out, if it waits."""
        # What is left in the heap is passed over when it comes up; a later push may bring it twice.
        self.members.discard(index)
        if len(self._heap) > 2 * len(self.members) + MAX_STALE_ENTRIES:
            self._heap = sorted(self.members)
