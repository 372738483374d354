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
from quinceslip.coordination.leadership.election import Ownership
from quinceslip.coordination.reconciliation.delivery import Hearing
from quinceslip.crash_loops.detector import Trial
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: attempts of one term; the term sits above, so attempts always rise
ATTEMPTS_PER_TERM = 2**24
EPSILON = 1e-6
#: why a chunk goes before others of its priority: not at all; to begin, with one task or as a whole; since it is old
NOT, ONE, WHOLE, OLD = range(4)


@dataclass(slots=True, eq=False)
class Attempt:
    uid: str
    index: int
    number: int
    spec: m.JobSpec
    worker: str
    sent_us: int
    seen: bool = False
    state: str = ""
    running_us: int = 0
    ended: str = ""  # cause, once it has exited
    halting: bool = False
    grace_s: float = 0.0
    direct: bool = False  # a /do with its launch is in flight
    unanswered_term: int = 0  # a /do with its launch was never answered, sent under this term
    told: bool = False  # its launch or halt went out already
    counted: tuple[int, int, int, int] | None = None  # what quotas count of it
    yields: bool = False  # quotas count it among what was told to stop
    name: str = ""
    priority: int = 0

    def __post_init__(self) -> None:
        self.name = f"{self.uid}/{self.index}"
        self.priority = self.spec.priority


@dataclass(slots=True, eq=False)
class Worker:
    name: str
    type: m.MachineType | None
    zone: str
    spot: bool
    endpoint: str = ""
    session: int = 0
    seq: int = 0
    own: tuple[int, int] = (0, 0)  # session and number of the last report of its own accord
    token: int = 0
    notice_us: int = 0
    answered_us: int = 0
    inherited_us: int = 0  # the last answer of an earlier owner came by then
    silenced: bool = False  # its last report was not answered, since it hears nothing
    heard_us: int = 0
    report_us: int = 0  # last report of its own accord
    born_us: int = 0
    confirmed: bool = False
    lost: bool = False
    draining: str = ""
    deleting: bool = False
    busy: bool = False  # a /do is in flight
    idle_us: int = 0
    reported: dict[str, m.TaskReport] = field(default_factory=dict)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)
    errors: int = 0
    armed: bool = False  # its roster record says that it may hold tasks
    arming: bool = False
    hearing: Hearing = field(default_factory=Hearing)  # what it has proven to hear of us
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

    def count(self, spec: m.JobSpec, by: int) -> None:
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

    def live(self) -> list[Attempt]:
        return [a for a in self.attempts.values() if not a.ended]

    def service_room(self) -> float:
        """CPUs that are free or held by what a service may preempt."""
        return self.type.cpus - self.production_cpus if self.type is not None else 0.0

    def free(self) -> tuple[float, float, float]:
        if self.type is None:
            return (0.0, 0.0, 0.0)
        return (self.type.cpus - self.used_cpus, self.type.gpus - self.used_gpus,
                self.type.memory_gb - self.used_memory_gb)


def fits(free: tuple[float, float, float], spec: m.JobSpec) -> bool:
    return free[0] >= spec.cpus - EPSILON and free[1] >= spec.gpus - EPSILON \
        and free[2] >= spec.memory_gb - EPSILON


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
class Chunk:
    uid: str
    spec: m.JobSpec
    at_us: int
    own: set[int] = field(default_factory=set)
    done: set[int] = field(default_factory=set)
    new_done: set[int] = field(default_factory=set)
    pending: TaskQueue = field(default_factory=TaskQueue)
    unknown: set[int] = field(default_factory=set)  # inherited, and the roster is not resolved
    attempts: dict[int, Attempt] = field(default_factory=dict)
    not_before: dict[int, int] = field(default_factory=dict)
    failures: dict[int, int] = field(default_factory=dict)
    in_doubt: set[int] = field(default_factory=set)  # part of a move whose outcome is open
    in_doubt_stamp: int = 0
    trial: Trial = field(default_factory=Trial)  # whether its failures are its own
    flushing: bool = False
    moving: bool = False
    next_flush_us: int = 0
    next_result_us: int = 0
    zones: set[str] = field(default_factory=set)  # empty: any
    due_us: list[int] = field(default_factory=list)  # wall clocks by which the users want it done, earliest first
    late: int = 0  # how many of these it is expected to miss
    first: int = NOT  # whether it has waited too long, and goes before others of its priority (`patience`)
    first_us: int = 0  # since when
    called: bool = False  # it is its turn to begin whatever its team has
    held: bool = False  # only its quota keeps it from starting
    priority: int = 0
    shape: tuple[object, ...] = ()  # with their size
    bounds: tuple[object, ...] = ()  # what besides their size binds its tasks to machines

    def __post_init__(self) -> None:
        self.treat(self.spec, self.due_us)

    def treat(self, spec: m.JobSpec, due_us: list[int]) -> None:
        """Its job as it is to be treated from here on: with the priority and due times of what needs it."""
        self.spec, self.due_us = spec, due_us
        self.priority = spec.priority
        self.bounds = (self.priority, spec.team, spec.spot, spec.zone, tuple(spec.types) if spec.types else None)
        self.shape = (*self.bounds, spec.service, spec.one_zone or spec.spread, spec.cpus, spec.gpus, spec.memory_gb)

    @property
    def begins(self) -> bool:
        """Whether it has not begun and waited too long."""
        return self.first in (ONE, WHOLE)

    @property
    def owed(self) -> bool:
        """Whether it is owed its beginning whatever its team has: not begun, waited too long, and called."""
        return self.called and self.begins

    def order(self) -> tuple[int, int, int, int, str]:
        """Priority, then first come, first served; what cannot be on time any more comes last.

        Plain first come, first served lets one late job make every later one late as well. What has waited too long
        is passed over no more.
        """
        place = 0 if self.begins else 1 if self.first else 2
        return (self.priority, place, self.late if place == 2 else 0, self.at_us, self.uid)

    def ready(self) -> int:
        """Waiting tasks that do not pause after a failure."""
        return len(self.pending) - (sum(i in self.pending for i in self.not_before) if self.not_before else 0)


class GivesWay(Protocol):
    """Whose work may be stopped for a task, one victim after the other."""

    def may(self, victim: Attempt) -> bool: ...
    def pick(self, victim: Attempt) -> None: ...


class Limits(Protocol):
    """What a shard asks of the limits on teams, and tells them; quotas are such (`quinceslip/quota/gate.py`)."""

    # What is on machines.
    def enter(self, attempt: Attempt) -> None: ...
    def leave(self, attempt: Attempt) -> None: ...
    def ended(self, worker: Worker | None, attempt: Attempt) -> None: ...
    def halts(self, attempt: Attempt) -> None: ...
    def reported(self, worker: Worker) -> None: ...

    # The order of a pass.
    def nothing_waits(self) -> None: ...
    def rounds(self, queue: Sequence[Chunk], workers: Sequence[Worker]) -> Iterator[list[Chunk]]: ...
    def for_one_place(self, queue: Sequence[Chunk]) -> list[Chunk]: ...
    def waits_for_round(self) -> bool: ...

    # May it start, and what gives way to it.
    def allows(self, spec: m.JobSpec, count: int = 1) -> bool: ...
    def blocked(self, chunk: Chunk, count: int, placeable: bool, workers: Iterable[Worker] = ()) -> None: ...
    def unplaced(self, chunk: Chunk) -> None: ...
    def startable(self, spec: m.JobSpec, most: int, spoken_for: dict[int, tuple[int, int, int, int]]) -> int: ...
    def rests_on(self, spec: m.JobSpec, count: int = 1) -> set[int]: ...
    def search(self, spec: m.JobSpec, count: int = 1, rests_on: set[int] | None = None) -> GivesWay: ...


#: what keeps a task from being in two places, each left out once by `quinceslip model takeover`
ALL_GUARDS = frozenset({"unknown", "higher", "term", "session", "settled", "pinned", "recorded"})


class ShardState:
    """Workers and chunks of one shard; the only place where their counts change."""

    guards = ALL_GUARDS

    def __init__(self, ctx: Context, ownership: Ownership, index: int, term: int) -> None:
        self.ctx = ctx
        self.ownership = ownership
        self.index = index
        self.term = term
        self.counter = 0
        self.taken_us = ctx.now_us
        self.workers: dict[str, Worker] = {}
        self.chunks: dict[str, Chunk] = {}
        self.unresolved: set[str] = set()
        self.next_raise_us = 0
        self.dirty = True
        self.alarm = False  # some worker has just been found dead
        self.to_tell: set[str] = set()  # workers with commands that have not gone out
        self.queued: dict[str, Chunk] = {}  # chunks that have had waiting tasks lately
        self.sorted: list[Chunk] | None = None  # the same in order, where nothing has changed it since
        self.there: dict[str, set[Attempt]] = {}  # what of a job may still be on machines
        self.quota: Limits | None = None  # where quotas are switched on

    # Attempts.

    def attach(self, worker: Worker, attempt: Attempt) -> None:
        self.detach(worker, attempt.name)
        worker.attempts[attempt.name] = attempt
        if not attempt.ended:
            worker.count(attempt.spec, 1)
        self.there.setdefault(attempt.uid, set()).add(attempt)
        if self.quota is not None:
            self.quota.enter(attempt)

    def launch(self, chunk: Chunk, index: int, worker: Worker, number: int = 0) -> Attempt:
        """Pin a task to a worker; it is told with what goes out next. Gangs share the number of their first task."""
        if not number:
            self.counter += 1
            number = self.term * ATTEMPTS_PER_TERM + self.counter
        attempt = Attempt(chunk.uid, index, number, chunk.spec, worker.name, self.ctx.now_us)
        chunk.attempts[index] = attempt
        self.attach(worker, attempt)
        self.to_tell.add(worker.name)
        return attempt

    def detach(self, worker: Worker, name: str) -> None:
        attempt = worker.attempts.pop(name, None)
        if attempt is None:
            return
        if not attempt.ended:
            worker.count(attempt.spec, -1)
        if self.quota is not None:
            self.quota.leave(attempt)
        places = self.there.get(attempt.uid)
        if places is not None:
            places.discard(attempt)
            if not places:
                del self.there[attempt.uid]

    def end(self, worker: Worker | None, attempt: Attempt, why: str) -> None:
        """It no longer takes room."""
        if not attempt.ended and worker is not None and worker.attempts.get(attempt.name) is attempt:
            worker.count(attempt.spec, -1)
        attempt.ended = why
        if self.quota is not None:
            self.quota.ended(worker, attempt)

    def settled(self, worker: Worker, attempt: Attempt) -> bool:
        """No launch of this attempt can still arrive."""
        if "settled" not in self.guards:
            return True
        if attempt.direct:
            return False
        return not attempt.unanswered_term or worker.token > attempt.unanswered_term

    def may_be_there(self, uid: str) -> Iterator[tuple[Worker, Attempt]]:
        for attempt in self.there.get(uid, ()):
            worker = self.workers.get(attempt.worker)
            if worker is not None and (not attempt.ended or not self.settled(worker, attempt)):
                yield worker, attempt

    def halt(self, attempt: Attempt, grace_s: float) -> None:
        if not attempt.halting or grace_s < attempt.grace_s:
            attempt.halting, attempt.grace_s, attempt.told = True, grace_s, False
            self.to_tell.add(attempt.worker)
            if self.quota is not None:
                self.quota.halts(attempt)

    # Waiting tasks.

    def add_pending(self, chunk: Chunk, indices: Iterable[int]) -> None:
        """Let tasks wait for a machine, save those that may still be on one.

        What was inherited and is still unknown never waits, whichever way it gets here: it ended on one
        worker (exited, lost, refused), but a newer attempt may live on one that has not spoken yet.
        """
        for index in indices:
            if index not in chunk.attempts and index not in chunk.done and index not in chunk.new_done \
                    and index not in chunk.in_doubt and index in chunk.own \
                    and (index not in chunk.unknown or "unknown" not in self.guards):
                if chunk.trial.suspected and not chunk.spec.gang and (chunk.attempts or chunk.pending):
                    # Guard: of a job that is suspected of a mistake one task is tried at a time; gangs run whole or
                    # not at all.
                    chunk.trial.parked.add(index)
                    continue
                chunk.trial.parked.discard(index)
                chunk.pending.push(index)
                self.dirty = True
        if chunk.pending and self.chunks.get(chunk.uid) is chunk and self.queued.get(chunk.uid) is not chunk:
            self.queued[chunk.uid] = chunk
            self.sorted = None

    def park(self, chunk: Chunk) -> None:
        """Its job is suspected: none of its waiting tasks starts while one that was started is still there."""
        waiting = list(chunk.pending)
        for index in waiting:
            chunk.pending.discard(index)
        self.add_pending(chunk, waiting)

    def unpark(self, chunk: Chunk) -> None:
        """The job is sound after all."""
        parked = chunk.trial.cleared()
        if parked:
            log.info("job %s is cleared: %d tasks of it wait again", chunk.uid, len(parked))
        self.add_pending(chunk, parked)

    def ordered(self) -> list[Chunk]:
        """Chunks with waiting tasks, in the order in which they are served.

        Sorted anew only where a chunk came or `late` was set (`reorder`); asked for with nearly every report.
        """
        if self.sorted is None:
            for uid in [u for u, c in self.queued.items() if not c.pending or self.chunks.get(u) is not c]:
                del self.queued[uid]
            self.sorted = sorted(self.queued.values(), key=Chunk.order)
        return [c for c in self.sorted if c.pending.members and self.chunks.get(c.uid) is c]

    def reorder(self) -> None:
        self.sorted = None

    def waiting(self) -> int:
        """Tasks that wait for a machine; what waits for its quota alone is no load."""
        return sum(len(c.pending) for c in self.queued.values() if self.chunks.get(c.uid) is c and not c.held)

    def requeue(self, worker: Worker | None, attempt: Attempt) -> None:
        self.end(worker, attempt, "lost")
        chunk = self.chunks.get(attempt.uid)
        if chunk is not None and chunk.attempts.get(attempt.index) is attempt:
            del chunk.attempts[attempt.index]
            self.add_pending(chunk, [attempt.index])

    # Terms.

    def raise_term(self, above: int = 0) -> None:
        if self.ctx.now_us >= self.next_raise_us:
            self.next_raise_us = self.ctx.now_us + 3 * SECOND
            self.ownership.claim(self.index, above)
