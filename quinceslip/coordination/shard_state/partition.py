"""The tasks of one job that one shard answers for."""

from dataclasses import dataclass, field
from enum import IntEnum

from quinceslip.coordination.shard_state.task_queue import TaskQueue
from quinceslip.coordination.shard_state.worker import Attempt
from quinceslip.crash_loops.detector import CrashLoopDetector
from quinceslip.protocol import messages as m


class Precedence(IntEnum):
    """Why a partition goes before others of its priority class (`scheduling/ageing.py`)."""

    NORMAL = 0  # it does not
    FIRST_TASK = 1  # it has waited too long for its first task to start
    WHOLE_JOB = 2  # as a service or gang, which starts as a whole, it has waited too long
    AGED = 3  # it has begun, but has been waiting for longer than the starvation bound


# Short names for ageing and placement.
NORMAL, FIRST_TASK, WHOLE_JOB, AGED = Precedence.NORMAL, Precedence.FIRST_TASK, Precedence.WHOLE_JOB, Precedence.AGED

_AWAITING_START = (Precedence.FIRST_TASK, Precedence.WHOLE_JOB)

# Places in the order of a priority class; the lowest is served first.
_PLACE_AWAITING_START, _PLACE_AGED, _PLACE_NORMAL = range(3)


@dataclass(slots=True, eq=False)
class JobPartition:
    """One job's tasks in this shard: where each of them stands, and how urgent they are; compared by identity.

    Fields stand in groups by what writes them; a comment names the writer where it is another one.
    """

    # Job persistence: as the store has it.
    job_id: str
    spec: m.JobSpec  # with the priority class of what depends on it (`set_urgency`)
    submitted_us: int  # wall clock; later where it had to wait for its dependencies
    assigned: set[int] = field(default_factory=set)  # tasks that this shard answers for
    done: set[int] = field(default_factory=set)  # those whose result is recorded

    # Reconciliation and the shard state: where each task stands.
    unrecorded_done: set[int] = field(default_factory=set)  # done, and the result is not recorded yet
    pending: TaskQueue = field(default_factory=TaskQueue)  # waiting for a machine
    unreconciled: set[int] = field(default_factory=set)  # inherited, and not every registered worker is reconciled
    attempts: dict[int, Attempt] = field(default_factory=dict)  # the current attempt of a task
    not_before: dict[int, int] = field(default_factory=dict)  # when a task may be tried again, after a failure
    failures: dict[int, int] = field(default_factory=dict)  # number of a task's failures

    # Job persistence: moves to other shards, and writes.
    indeterminate: set[int] = field(default_factory=set)  # part of a move whose outcome is not known
    indeterminate_revision: int = 0  # the record's revision when that move was sent; a later one settles it
    crash_loop: CrashLoopDetector = field(default_factory=CrashLoopDetector)  # whether its failures are its own
    writing: bool = False  # a write of its record is in flight
    moving: bool = False  # a move is in flight
    next_write_us: int = 0  # its record is not written before then
    next_result_us: int = 0  # results of a part of its tasks are not written before then
    zones: set[str] = field(default_factory=set)  # zones that its tasks may use; empty: any

    # Deadline scheduling and ageing.
    due_us: list[int] = field(default_factory=list)  # wall clocks by which the users want it done, earliest first
    missed_due_times: int = 0  # how many of these it is expected to miss
    precedence: int = Precedence.NORMAL  # a `Precedence`
    precedence_since_us: int = 0  # since when it goes before others
    start_granted: bool = False  # it may begin now whatever its team's quota
    on_hold: bool = False  # only its quota keeps it from starting; written by the quota

    # Derived from the specification.
    priority: int = 0  # priority class
    shape: tuple[object, ...] = ()  # constraints and size: tasks of one shape fit the same machines
    constraints: tuple[object, ...] = ()  # what besides their size binds its tasks to machines

    def __post_init__(self) -> None:
        """Derive what is asked for often."""
        self.set_urgency(self.spec, self.due_us)

    def set_urgency(self, spec: m.JobSpec, due_us: list[int]) -> None:
        """Treat the job from here on with the priority class and due times of what depends on it."""
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
        return self.precedence in _AWAITING_START

    @property
    def start_due(self) -> bool:
        """Whether it may begin whatever its team's quota: not begun, waited too long, and its start is granted."""
        return self.start_granted and self.awaits_start

    def sort_key(self) -> tuple[int, int, int, int, str]:
        """Priority class, then first come, first served; what cannot be on time any more comes last.

        Plain first come, first served lets one late job make every later one late as well. What has waited too long
        is passed over no more.
        """
        if self.awaits_start:
            place = _PLACE_AWAITING_START
        elif self.precedence:
            place = _PLACE_AGED
        else:
            place = _PLACE_NORMAL
        missed = self.missed_due_times if place == _PLACE_NORMAL else 0
        return (self.priority, place, missed, self.submitted_us, self.job_id)

    def startable_task_count(self) -> int:
        """Number of waiting tasks that do not pause after a failure."""
        if not self.not_before:
            return len(self.pending)
        pausing = sum(index in self.pending for index in self.not_before)
        return len(self.pending) - pausing
