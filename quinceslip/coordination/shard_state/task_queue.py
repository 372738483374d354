"""The waiting tasks of a partition, lowest index first."""

import heapq
from collections.abc import Iterator

#: the heap is rebuilt once it holds more stale entries than there are members plus this many
MAX_STALE_ENTRIES = 16


class TaskQueue:
    """A priority queue of the indices of waiting tasks, lowest first, from which any index can be removed."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heap: list[int] = []
        self.members: set[int] = set()  # the waiting tasks; public so that the hot path reads it without a call

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return len(self.members)

    def __contains__(self, index: int) -> bool:
        """Whether a task waits."""
        return index in self.members

    def __iter__(self) -> Iterator[int]:
        """Iterate over a snapshot of the waiting tasks, lowest first, so that members may change meanwhile."""
        return iter(sorted(self.members))

    def push(self, index: int) -> None:
        """Add a task, unless it waits already."""
        if index not in self.members:
            self.members.add(index)
            heapq.heappush(self._heap, index)

    def peek(self) -> int:
        """Return the lowest waiting index; raises `IndexError` if there is none."""
        # Bound: the size of the heap; each iteration removes an entry, and an empty heap raises.
        while self._heap[0] not in self.members:
            heapq.heappop(self._heap)
        return self._heap[0]

    def discard(self, index: int) -> None:
        """Remove a task, if it waits."""
        # The stale heap entry is skipped by `peek`; a later push may add a second entry for the index.
        self.members.discard(index)
        if len(self._heap) > 2 * len(self.members) + MAX_STALE_ENTRIES:
            self._heap = sorted(self.members)
