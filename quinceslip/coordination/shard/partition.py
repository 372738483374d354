"""The tasks of one job that one shard answers for."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from quinceslip.coordination.shard.worker import Attempt
from quinceslip.crash_loops.detector import CrashLoopDetector
from quinceslip.protocol import messages as m

#: why a chunk goes before others of its priority: not at all; to begin, with one task or as a whole; since it is old
NOT, ONE, WHOLE, OLD = range(4)


class TaskQueue:
    """Waiting task numbers, lowest first; any of them can be taken out at once."""

    def __init__(self) -> None:
        self._heap: list[int] = []
        self.members: set[int] = set()  # those that wait; for a look without a call

    def __len__(self) -> int:
        return len(self.members)

    def __contains__(self, index: int) -> bool:
        return index in self.members

    def __iter__(self) -> Iterator[int]:
        return iter(sorted(self.members))

    def push(self, index: int) -> None:
        if index not in self.members:
            self.members.add(index)
            heapq.heappush(self._heap, index)

    def peek(self) -> int:
        # Bound: the heap; each turn takes one off it, and an empty one raises.
        while self._heap[0] not in self.members:
            heapq.heappop(self._heap)
        return self._heap[0]

    def discard(self, index: int) -> None:
        # What is left in the heap is passed over when it comes up; a later push may bring it twice.
        self.members.discard(index)
        if len(self._heap) > 2 * len(self.members) + 16:
            self._heap = sorted(self.members)


@dataclass(slots=True, eq=False)
class JobPartition:
    job_id: str
    spec: m.JobSpec
    submitted_us: int
    assigned: set[int] = field(default_factory=set)
    done: set[int] = field(default_factory=set)
    unrecorded_done: set[int] = field(default_factory=set)
    pending: TaskQueue = field(default_factory=TaskQueue)
    unreconciled: set[int] = field(default_factory=set)  # inherited, and the roster is not resolved
    attempts: dict[int, Attempt] = field(default_factory=dict)
    not_before: dict[int, int] = field(default_factory=dict)
    failures: dict[int, int] = field(default_factory=dict)
    indeterminate: set[int] = field(default_factory=set)  # part of a move whose outcome is open
    indeterminate_revision: int = 0
    crash_loop: CrashLoopDetector = field(default_factory=CrashLoopDetector)  # whether its failures are its own
    writing: bool = False
    moving: bool = False
    next_write_us: int = 0
    next_result_us: int = 0
    zones: set[str] = field(default_factory=set)  # empty: any
    due_us: list[int] = field(default_factory=list)  # wall clocks by which the users want it done, earliest first
    missed_due_times: int = 0  # how many of these it is expected to miss
    precedence: int = NOT  # whether it has waited too long, and goes before others of its priority (`patience`)
    precedence_since_us: int = 0  # since when
    start_granted: bool = False  # it is its turn to begin whatever its team has
    on_hold: bool = False  # only its quota keeps it from starting
    priority: int = 0
    shape: tuple[object, ...] = ()  # with their size
    constraints: tuple[object, ...] = ()  # what besides their size binds its tasks to machines

    def __post_init__(self) -> None:
        self.set_urgency(self.spec, self.due_us)

    def set_urgency(self, spec: m.JobSpec, due_us: list[int]) -> None:
        """Its job as it is to be treated from here on: with the priority and due times of what needs it."""
        self.spec, self.due_us = spec, due_us
        self.priority = spec.priority
        self.constraints = (self.priority, spec.team, spec.spot, spec.zone, tuple(spec.types) if spec.types else None)
        self.shape = (
            *self.constraints,
            spec.service,
            spec.one_zone or spec.spread,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
        )

    @property
    def awaits_start(self) -> bool:
        """Whether it has not begun and waited too long."""
        return self.precedence in (ONE, WHOLE)

    @property
    def start_due(self) -> bool:
        """Whether it is owed its beginning whatever its team has: not begun, waited too long, and called."""
        return self.start_granted and self.awaits_start

    def sort_key(self) -> tuple[int, int, int, int, str]:
        """Priority, then first come, first served; what cannot be on time any more comes last.

        Plain first come, first served lets one late job make every later one late as well. What has waited too long
        is passed over no more.
        """
        place = 0 if self.awaits_start else 1 if self.precedence else 2
        return (self.priority, place, self.missed_due_times if place == 2 else 0, self.submitted_us, self.job_id)

    def startable(self) -> int:
        """Waiting tasks that do not pause after a failure."""
        return len(self.pending) - (sum(i in self.pending for i in self.not_before) if self.not_before else 0)
