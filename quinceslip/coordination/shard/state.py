"""What one shard knows of its workers and tasks, with the counts that placement asks for.

Free room, the places of a job's tasks and the chunks that wait are kept up to date as they change:
with hundreds of machines, summing them anew for each message would cost by the fleet.
"""

import heapq
import logging
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from quinceslip.coordination.actor.context import SECOND, Context
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.reconciliation.delivery import DeliveryTracker
from quinceslip.crash_loops.detector import CrashLoopDetector
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: attempts of one term; the term sits above, so attempts always rise
ATTEMPTS_PER_TERM = 2**24
EPSILON = 1e-6
#: why a chunk goes before others of its priority: not at all; to begin, with one task or as a whole; since it is old
NOT, ONE, WHOLE, OLD = range(4)


@dataclass(slots=True, eq=False)
class Attempt:
    job_id: str
    index: int
    number: int
    spec: m.JobSpec
    worker: str
    sent_us: int
    observed: bool = False
    state: str = ""
    running_us: int = 0
    end_cause: str = ""  # cause, once it has exited
    stopping: bool = False
    grace_s: float = 0.0
    direct_call_open: bool = False  # a /do with its launch is in flight
    unanswered_term: int = 0  # a /do with its launch was never answered, sent under this term
    sent: bool = False  # its launch or halt went out already
    counted_usage: tuple[int, int, int, int] | None = None  # what quotas count of it
    counted_as_stopping: bool = False  # quotas count it among what was told to stop
    name: str = ""
    priority: int = 0

    def __post_init__(self) -> None:
        self.name = f"{self.job_id}/{self.index}"
        self.priority = self.spec.priority


@dataclass(slots=True, eq=False)
class Worker:
    name: str
    type: m.MachineType | None
    zone: str
    spot: bool
    endpoint: str = ""
    epoch: int = 0
    seq: int = 0
    last_own_heartbeat: tuple[int, int] = (0, 0)  # session and number of the last report of its own accord
    fencing_token: int = 0
    notice_us: int = 0
    lease_renewed_us: int = 0
    predecessor_renewed_us: int = 0  # the last answer of an earlier owner came by then
    unanswered: bool = False  # its last report was not answered, since it hears nothing
    last_contact_us: int = 0
    last_heartbeat_us: int = 0  # last report of its own accord
    registered_us: int = 0
    fenced: bool = False
    lease_expired: bool = False
    draining: str = ""
    deleting: bool = False
    command_open: bool = False  # a /do is in flight
    idle_us: int = 0
    reported_tasks: dict[str, m.TaskStatus] = field(default_factory=dict)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)
    task_failures: int = 0
    registered: bool = False  # its roster record says that it may hold tasks
    registering: bool = False
    delivery: DeliveryTracker = field(default_factory=DeliveryTracker)  # what it has proven to hear of us
    probing: bool = False
    next_probe_us: int = 0
    # Sums over the attempts that have not ended.
    running: int = 0
    used_cpus: float = 0.0
    used_gpus: float = 0.0
    used_memory_gb: float = 0.0
    production_cpus: float = 0.0  # of what a service may not preempt
    service_cpus: float = 0.0
    service_tasks: int = 0

    def add_usage(self, spec: m.JobSpec, by: int) -> None:
        self.running += by
        if not self.running:
            # Sums of decimal amounts drift; an empty machine is exactly empty.
            self.used_cpus = self.used_gpus = self.used_memory_gb = 0.0
            self.production_cpus = self.service_cpus = 0.0
            self.service_tasks = 0
            return
        self.used_cpus += by * spec.cpus
        self.used_gpus += by * spec.gpus
        self.used_memory_gb += by * spec.memory_gb
        if spec.priority == 0:
            self.production_cpus += by * spec.cpus
        if spec.service:
            self.service_cpus += by * spec.cpus
            self.service_tasks += by

    def live_attempts(self) -> list[Attempt]:
        return [a for a in self.attempts.values() if not a.end_cause]

    def service_room(self) -> float:
        """CPUs that are free or held by what a service may preempt."""
        return self.type.cpus - self.production_cpus if self.type is not None else 0.0

    def free(self) -> tuple[float, float, float]:
        if self.type is None:
            return (0.0, 0.0, 0.0)
        return (
            self.type.cpus - self.used_cpus,
            self.type.gpus - self.used_gpus,
            self.type.memory_gb - self.used_memory_gb,
        )


def fits(free: tuple[float, float, float], spec: m.JobSpec) -> bool:
    return free[0] >= spec.cpus - EPSILON and free[1] >= spec.gpus - EPSILON and free[2] >= spec.memory_gb - EPSILON


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


class PreemptionPolicy(Protocol):
    """Whose work may be stopped for a task, one victim after the other."""

    def may_preempt(self, victim: Attempt) -> bool: ...
    def choose(self, victim: Attempt) -> None: ...


class QuotaPolicy(Protocol):
    """What a shard asks of the limits on teams, and tells them; quotas are such (`quinceslip/quota/admission.py`)."""

    # What is on machines.
    def attempt_added(self, attempt: Attempt) -> None: ...
    def attempt_removed(self, attempt: Attempt) -> None: ...
    def attempt_ended(self, worker: Worker | None, attempt: Attempt) -> None: ...
    def attempt_stopping(self, attempt: Attempt) -> None: ...
    def heartbeat_received(self, worker: Worker) -> None: ...

    # The order of a pass.
    def queue_empty(self) -> None: ...
    def rounds(self, queue: Sequence[JobPartition], workers: Sequence[Worker]) -> Iterator[list[JobPartition]]: ...
    def order_for_one_place(self, queue: Sequence[JobPartition]) -> list[JobPartition]: ...
    def deferred_to_next_round(self) -> bool: ...

    # May it start, and what gives way to it.
    def allows(self, spec: m.JobSpec, count: int = 1) -> bool: ...
    def blocked_by_quota(
        self, partition: JobPartition, count: int, placeable: bool, workers: Iterable[Worker] = ()
    ) -> None: ...
    def not_placed(self, partition: JobPartition) -> None: ...
    def startable(self, spec: m.JobSpec, most: int, spoken_for: dict[int, tuple[int, int, int, int]]) -> int: ...
    def guarantees_covering(self, spec: m.JobSpec, count: int = 1) -> set[int]: ...
    def preemption_policy(
        self, spec: m.JobSpec, count: int = 1, rests_on: set[int] | None = None
    ) -> PreemptionPolicy: ...


#: what keeps a task from being in two places, each left out once by `quinceslip model takeover`
ALL_GUARDS = frozenset({"unknown", "higher", "term", "session", "settled", "pinned", "recorded"})


class ShardState:
    """Workers and chunks of one shard; the only place where their counts change."""

    guards = ALL_GUARDS

    def __init__(self, ctx: Context, election: LeaderElection, index: int, term: int) -> None:
        self.ctx = ctx
        self.election = election
        self.index = index
        self.term = term
        self.counter = 0
        self.led_since_us = ctx.now_us
        self.workers: dict[str, Worker] = {}
        self.partitions: dict[str, JobPartition] = {}
        self.unreconciled: set[str] = set()
        self.next_raise_us = 0
        self.needs_placement = True
        self.worker_failed = False  # some worker has just been found dead
        self.workers_to_command: set[str] = set()  # workers with commands that have not gone out
        self.queued: dict[str, JobPartition] = {}  # chunks that have had waiting tasks lately
        self.queue_order: list[JobPartition] | None = None  # the same in order, where nothing has changed it since
        self.attempts_by_job: dict[str, set[Attempt]] = {}  # what of a job may still be on machines
        self.quota: QuotaPolicy | None = None  # where quotas are switched on

    # Attempts.

    def attach(self, worker: Worker, attempt: Attempt) -> None:
        self.detach(worker, attempt.name)
        worker.attempts[attempt.name] = attempt
        if not attempt.end_cause:
            worker.add_usage(attempt.spec, 1)
        self.attempts_by_job.setdefault(attempt.job_id, set()).add(attempt)
        if self.quota is not None:
            self.quota.attempt_added(attempt)

    def launch(self, partition: JobPartition, index: int, worker: Worker, number: int = 0) -> Attempt:
        """Pin a task to a worker; it is told with what goes out next. Gangs share the number of their first task."""
        if not number:
            self.counter += 1
            number = self.term * ATTEMPTS_PER_TERM + self.counter
        attempt = Attempt(partition.job_id, index, number, partition.spec, worker.name, self.ctx.now_us)
        partition.attempts[index] = attempt
        self.attach(worker, attempt)
        self.workers_to_command.add(worker.name)
        return attempt

    def detach(self, worker: Worker, name: str) -> None:
        attempt = worker.attempts.pop(name, None)
        if attempt is None:
            return
        if not attempt.end_cause:
            worker.add_usage(attempt.spec, -1)
        if self.quota is not None:
            self.quota.attempt_removed(attempt)
        places = self.attempts_by_job.get(attempt.job_id)
        if places is not None:
            places.discard(attempt)
            if not places:
                del self.attempts_by_job[attempt.job_id]

    def end_attempt(self, worker: Worker | None, attempt: Attempt, why: str) -> None:
        """It no longer takes room."""
        if not attempt.end_cause and worker is not None and worker.attempts.get(attempt.name) is attempt:
            worker.add_usage(attempt.spec, -1)
        attempt.end_cause = why
        if self.quota is not None:
            self.quota.attempt_ended(worker, attempt)

    def settled(self, worker: Worker, attempt: Attempt) -> bool:
        """No launch of this attempt can still arrive."""
        if "settled" not in self.guards:
            return True
        if attempt.direct_call_open:
            return False
        return not attempt.unanswered_term or worker.fencing_token > attempt.unanswered_term

    def possibly_running(self, job_id: str) -> Iterator[tuple[Worker, Attempt]]:
        for attempt in self.attempts_by_job.get(job_id, ()):
            worker = self.workers.get(attempt.worker)
            if worker is not None and (not attempt.end_cause or not self.settled(worker, attempt)):
                yield worker, attempt

    def stop(self, attempt: Attempt, grace_s: float) -> None:
        if not attempt.stopping or grace_s < attempt.grace_s:
            attempt.stopping, attempt.grace_s, attempt.sent = True, grace_s, False
            self.workers_to_command.add(attempt.worker)
            if self.quota is not None:
                self.quota.attempt_stopping(attempt)

    # Waiting tasks.

    def add_pending(self, partition: JobPartition, indices: Iterable[int]) -> None:
        """Let tasks wait for a machine, save those that may still be on one.

        What was inherited and is still unknown never waits, whichever way it gets here: it ended on one
        worker (exited, lost, refused), but a newer attempt may live on one that has not spoken yet.
        """
        for index in indices:
            if (
                index not in partition.attempts
                and index not in partition.done
                and index not in partition.unrecorded_done
                and index not in partition.indeterminate
                and index in partition.assigned
                and (index not in partition.unreconciled or "unknown" not in self.guards)
            ):
                if (
                    partition.crash_loop.suspected
                    and not partition.spec.gang
                    and (partition.attempts or partition.pending)
                ):
                    # Guard: of a job that is suspected of a mistake one task is tried at a time; gangs run whole or
                    # not at all.
                    partition.crash_loop.on_hold.add(index)
                    continue
                partition.crash_loop.on_hold.discard(index)
                partition.pending.push(index)
                self.needs_placement = True
        if (
            partition.pending
            and self.partitions.get(partition.job_id) is partition
            and self.queued.get(partition.job_id) is not partition
        ):
            self.queued[partition.job_id] = partition
            self.queue_order = None

    def put_on_hold(self, partition: JobPartition) -> None:
        """Its job is suspected: none of its waiting tasks starts while one that was started is still there."""
        waiting = list(partition.pending)
        for index in waiting:
            partition.pending.discard(index)
        self.add_pending(partition, waiting)

    def release_from_hold(self, partition: JobPartition) -> None:
        """The job is sound after all."""
        parked = partition.crash_loop.clear()
        if parked:
            log.info("job %s is cleared: %d tasks of it wait again", partition.job_id, len(parked))
        self.add_pending(partition, parked)

    def waiting_in_order(self) -> list[JobPartition]:
        """Chunks with waiting tasks, in the order in which they are served.

        Sorted anew only where a chunk came or `late` was set (`reorder`); asked for with nearly every report.
        """
        if self.queue_order is None:
            for job_id in [u for u, c in self.queued.items() if not c.pending or self.partitions.get(u) is not c]:
                del self.queued[job_id]
            self.queue_order = sorted(self.queued.values(), key=JobPartition.sort_key)
        return [c for c in self.queue_order if c.pending.members and self.partitions.get(c.job_id) is c]

    def reorder(self) -> None:
        self.queue_order = None

    def waiting_tasks(self) -> int:
        """Tasks that wait for a machine; what waits for its quota alone is no load."""
        return sum(len(c.pending) for c in self.queued.values() if self.partitions.get(c.job_id) is c and not c.on_hold)

    def requeue(self, worker: Worker | None, attempt: Attempt) -> None:
        self.end_attempt(worker, attempt, "lost")
        partition = self.partitions.get(attempt.job_id)
        if partition is not None and partition.attempts.get(attempt.index) is attempt:
            del partition.attempts[attempt.index]
            self.add_pending(partition, [attempt.index])

    # Terms.

    def raise_term(self, above: int = 0) -> None:
        if self.ctx.now_us >= self.next_raise_us:
            self.next_raise_us = self.ctx.now_us + 3 * SECOND
            self.election.claim(self.index, above)
