"""The tasks of one job that are assigned to one shard."""

from dataclasses import dataclass, field
from enum import IntEnum

from quinceslip.coordination.shard_state.task_queue import TaskQueue
from quinceslip.coordination.shard_state.worker import Attempt
from quinceslip.crash_loops.detector import CrashLoopDetector
from quinceslip.protocol import messages as m


class Precedence(IntEnum):
    """Why a partition takes precedence over others of its priority class (`scheduling/ageing.py`)."""

    NORMAL = 0  # no precedence
    FIRST_TASK = 1  # has waited too long for its first task to start
    WHOLE_JOB = 2  # a service or gang, which starts as a whole, that has waited too long
    AGED = 3  # has started, but has been waiting for longer than the starvation bound


# Short names for ageing and placement.
NORMAL, FIRST_TASK, WHOLE_JOB, AGED = Precedence.NORMAL, Precedence.FIRST_TASK, Precedence.WHOLE_JOB, Precedence.AGED

_AWAITING_START = (Precedence.FIRST_TASK, Precedence.WHOLE_JOB)

# Ranks within a priority class; the lowest is served first.
_RANK_AWAITING_START, _RANK_AGED, _RANK_NORMAL = range(3)


@dataclass(slots=True, eq=False)
class JobPartition:
    """One job's tasks in this shard, with their states and their urgency; compared by identity.

    Fields are grouped by the component that writes them; a comment names the writer of an exception.
    """

    # Job persistence: as in the store.
    job_id: str
    spec: m.JobSpec  # with the priority class inherited from dependent jobs (`set_urgency`)
    submitted_us: int  # wall clock; a later time if the job had to wait for its dependencies
    assigned: set[int] = field(default_factory=set)  # indices of the tasks assigned to this shard
    done: set[int] = field(default_factory=set)  # tasks whose result is recorded

    # Reconciliation and the shard state: states of the tasks.
    unrecorded_done: set[int] = field(default_factory=set)  # done, but the result is not recorded yet
    pending: TaskQueue = field(default_factory=TaskQueue)  # waiting for a machine
    unreconciled: set[int] = field(default_factory=set)  # inherited while not all registered workers are reconciled
    attempts: dict[int, Attempt] = field(default_factory=dict)  # the current attempt of a task
    withheld_gang: list[Attempt] = field(default_factory=list)  # of a gang of which not all have a machine yet
    not_before: dict[int, int] = field(default_factory=dict)  # earliest time of the retry of a failed task
    failures: dict[int, int] = field(default_factory=dict)  # number of failures by task

    # Job persistence: moves to other shards, and writes of the record.
    indeterminate: set[int] = field(default_factory=set)  # tasks in a move whose outcome is unknown
    indeterminate_revision: int = 0  # the record's revision when that move was sent; a later one shows its outcome
    crash_loop: CrashLoopDetector = field(default_factory=CrashLoopDetector)  # whether its failures are due to the job
    writing: bool = False  # a write of its record is in flight
    moving: bool = False  # a move is in flight
    next_write_us: int = 0  # earliest time of the next write of its record
    next_result_us: int = 0  # earliest time of the next write of partial results
    zones: set[str] = field(default_factory=set)  # zones that its tasks may use; empty: all
    released_zones: set[str] = field(default_factory=set)  # given to another shard's partition, as far as is known
    released_revision: int = 0  # the record's revision when they were given; a later one shows the outcome

    # Deadline scheduling and ageing.
    due_us: list[int] = field(default_factory=list)  # due times set by users, by wall clock, earliest first
    missed_due_times: int = 0  # number of due times that it is expected to miss
    precedence: int = Precedence.NORMAL  # a `Precedence`
    precedence_since_us: int = 0  # since when it has had this precedence
    start_granted: bool = False  # may start now regardless of its team's quota
    on_hold: bool = False  # blocked only by its quota; written by the quota

    # Derived from the specification.
    priority: int = 0  # priority class
    shape: tuple[object, ...] = ()  # constraints and size; tasks of the same shape fit the same machines
    constraints: tuple[object, ...] = ()  # restrictions on machines other than task size

    def __post_init__(self) -> None:
        """Cache derived values that are read often."""
        self.set_urgency(self.spec, self.due_us)

    def set_urgency(self, spec: m.JobSpec, due_us: list[int]) -> None:
        """Set the specification and due times, with those that dependent jobs require."""
        self.spec, self.due_us = spec, due_us
        self.priority = spec.priority
        self.constraints = (self.priority, spec.team, spec.spot, spec.zone, tuple(spec.types) if spec.types else None)
        self.shape = (
            *self.constraints,
            spec.service,
            spec.zone_bound,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
        )

    @property
    def awaits_start(self) -> bool:
        """Whether it has not started and has waited too long."""
        return self.precedence in _AWAITING_START

    @property
    def start_due(self) -> bool:
        """Whether it may start regardless of its team's quota: it has waited too long and its start is granted."""
        return self.start_granted and self.awaits_start

    def sort_key(self) -> tuple[int, int, int, int, str]:
        """Sort by priority class, then first come, first served; jobs that are expected to be late come last.

        With plain first come, first served, one late job would make all later ones late as well. Partitions that have
        waited too long go first and are exempt from this.
        """
        if self.awaits_start:
            rank = _RANK_AWAITING_START
        elif self.precedence:
            rank = _RANK_AGED
        else:
            rank = _RANK_NORMAL
        missed = self.missed_due_times if rank == _RANK_NORMAL else 0
        return (self.priority, rank, missed, self.submitted_us, self.job_id)

    def startable_task_count(self) -> int:
        """Return the number of waiting tasks that are not delayed after a failure."""
        if not self.not_before:
            return len(self.pending)
        delayed = sum(index in self.pending for index in self.not_before)
        return len(self.pending) - delayed
