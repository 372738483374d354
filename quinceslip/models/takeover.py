"""Explores exhaustively, to a stated depth, what one shard's owner and its workers can do to each other.

What is real: `Reconciler` (reports, inheritance, ends) and `CommandSender` (answers to reports, direct commands).
What is modelled: workers that keep to the protocol's tokens, sessions and leases, a network that holds back reports
and direct commands for as long as it likes, answers that are lost, owners that end and are followed by another under
a higher term, and a state service that keeps what is done: it carries out writes that were never answered when it
likes, if their conditions (`JobPersistence`: the shard's record and the job's) still hold. Placement is free: a
waiting task may go to any worker that has shown the term.

Checked in every state: no task lives on two workers, none is started after its result was recorded, no result
is dropped by its worker before that, and from here every task can still be done when the trouble is over.

States are rebuilt by playing their history from the start, so that callbacks on their way are as real as the
rest. Terms, attempts and sequence numbers count by their order only, so histories that differ in nothing
else are one state.

"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import msgspec

from quinceslip.coordination.actor.effects import UNKNOWN
from quinceslip.coordination.reconciliation.commands import CommandSender
from quinceslip.coordination.reconciliation.delivery import MAX_UNACKNOWLEDGED, MAX_UNANSWERED_PROBES
from quinceslip.coordination.reconciliation.reconciler import Reconciler
from quinceslip.coordination.shard.partition import JobPartition
from quinceslip.coordination.shard.state import ALL_GUARDS
from quinceslip.coordination.shard.worker import Attempt, Worker
from quinceslip.protocol import messages as m
from quinceslip.storage.records import JobRecord

JOB_ID = "req-1"
Step = tuple[str, int, int]
#: every kind of step; a number names a worker, a message on its way, or a task
STEPS = (
    "launch",
    "halt",
    "raise",
    "record",
    "sweep",
    "gone",
    "crash",
    "report",
    "unheard",
    "unasked",
    "probe",
    "late",
    "arrive",
    "copy",
    "do",
    "give up",
    "finish",
    "fail",
    "expire",
    "outlived",
    "write",
    "carry out",
    "watch",
)
#: what can be left out: the guards of `custody` and `commands`, and that a write is conditional
GUARDS = ALL_GUARDS | {"conditional"}
#: writes on their way at the same time
MAX_OPEN_WRITES = 2
#: direct commands on their way at the same time
MAX_OPEN_COMMANDS = 2
#: rounds without trouble in which everything must be done
CALM_ROUNDS = 14

SPEC = m.JobSpec(
    job_id=JOB_ID,
    job_class="c",
    team="t",
    kind="array",
    priority_class="normal",
    tasks=1,
    cpus=1.0,
    gpus=0.0,
    memory_gb=0.0,
    image="i",
    image_gb=0.0,
    one_zone=False,
    spread=False,
    spot=True,
    estimate_s=1.0,
    checkpoint_s=0.0,
    save_s=0.0,
)


class Breach(Exception):
    """What must never be."""


@dataclass(slots=True)
class Machine:
    name: str
    epoch: int = 1
    seq: int = 0
    fencing_token: int = 0
    tasks: dict[str, m.TaskStatus] = field(default_factory=dict)
    gone: bool = False
    known: int = 1  # its session when the present owner came
    lapsed: bool = False  # its lease has run out under the present owner, which has answered no report since

    def heartbeat(self) -> m.WorkerHeartbeat:
        self.seq += 1
        return m.WorkerHeartbeat(
            worker=self.name,
            endpoint=self.name,
            type="t",
            zone="z",
            epoch=self.epoch,
            seq=self.seq,
            fencing_token=self.fencing_token,
            tasks=list(self.tasks.values()),
        )


@dataclass(slots=True)
class Flight:
    """A direct command: on its way until it is delivered, whether or not its sender still waits."""

    machine: int
    body: m.DirectCommands
    done: Callable[[int, bytes], None] | None


@dataclass(slots=True)
class Write:
    """Of what is done, without an answer: whoever sent it waits no more."""

    term: int  # the shard's record, as its condition
    mod_revision: int  # the job's
    done: frozenset[int]


class World:
    def __init__(self, workers: int, tasks: int, guards: frozenset[str]) -> None:
        self.tasks, self.guards = tasks, guards
        self.machines = [Machine(f"w{n}") for n in range(workers)]
        self.flights: list[Flight] = []
        self.late: list[tuple[int, m.WorkerHeartbeat]] = []
        self.term = 0
        self.recorded: set[int] = set()
        self.mod_revision = self.seen_revision = 0  # of the record of what is done, and as the owner knows it
        self.writes: list[Write] = []
        self.wants_term = 0
        self._take_over()
        for _ in range(2):  # the first owner has inherited nothing, and every worker has shown its term
            for machine in range(workers):
                self._report(machine)

    # The owner.

    def _take_over(self) -> None:
        """A successor under a higher term; what its predecessor waited for is nobody's any more."""
        for flight in self.flights:
            flight.done = None
        self.term += 1
        self.wants_term = 0
        self.seen_revision = self.mod_revision
        # Nothing is final in the view before the job is; a recorded task stands in its chunk.
        ctx: Any = SimpleNamespace(
            now_us=0,
            types={},
            call=self._call,
            cache=SimpleNamespace(job=lambda job_id: JobRecord(m.QUEUED, self.tasks)),
        )
        rights: Any = SimpleNamespace(may_launch=lambda shard: True, claim=self._claim)
        owner = self.owner = Reconciler(ctx, rights, 0, self.term)
        owner.guards = self.guards
        self.partition = owner.partitions[JOB_ID] = JobPartition(
            JOB_ID, SPEC, 0, assigned=set(range(self.tasks)), done=set(self.recorded)
        )
        self.partition.unreconciled = self.partition.assigned - self.partition.done
        for machine in self.machines:
            machine.lapsed, machine.known = False, machine.epoch
            if not machine.gone:
                worker = owner.workers[machine.name] = Worker(
                    machine.name, None, "z", False, endpoint=machine.name, registered=True
                )
                owner.inherit_worker(worker)
        self.command_sender = CommandSender(owner, SimpleNamespace(is_recorded=self._is_recorded), self._hears)  # type: ignore[arg-type]
        owner.release_unreconciled()

    def _is_recorded(self, attempt: Attempt) -> bool:
        return attempt.end_cause != m.CAUSE_DONE or attempt.index in self.partition.done

    def _claim(self, shard: int, above: int) -> None:
        self.wants_term = max(self.wants_term, above, 1)

    def _call(
        self, target: str, method: str, path: str, body: Any, done: Callable[[int, bytes], None], timeout_us: int = 0
    ) -> None:
        if method == "GET":
            return  # questions are steps of their own: answered is `probe`, in vain is `unasked`
        number = int(target[1:])
        self.flights.append(Flight(number, body, done))

    def _hears(self, heartbeat: m.WorkerHeartbeat, direct: bool = False) -> m.CommandReply | None:
        """`Shard.reported`, without what is not custody's."""
        worker = self.owner.workers.get(heartbeat.worker)
        if worker is None:
            return None
        if heartbeat.fencing_token > self.owner.term:
            self.owner.raise_term(heartbeat.fencing_token)
            return None
        if self.owner.is_from_expired_epoch(worker, heartbeat) or (
            not direct and self.owner.is_duplicate(worker, heartbeat)
        ):
            return None
        if not self.owner.apply_heartbeat(worker, heartbeat):
            return m.CommandReply(self.owner.term, [])
        if direct or not self.owner.should_answer(worker, heartbeat):
            return None
        reply = m.CommandReply(self.owner.term, self.command_sender.commands_for(worker))
        worker.delivery.answer_sent(heartbeat, self.owner.term, reply.commands)
        return reply

    def _settle(self) -> None:
        self.owner.next_raise_us = 0
        if len(self.flights) < MAX_OPEN_COMMANDS:
            self.command_sender.send_direct()

    # Machines.

    def _obey(self, machine: Machine, fencing_token: int, commands: list[m.Command]) -> None:
        machine.fencing_token = max(machine.fencing_token, fencing_token)
        for command in commands:
            known = machine.tasks.get(command.task)
            if command.op == "launch":
                if known is None:
                    self._start(machine, command.task, command.attempt)
                # An exited attempt of the same task keeps a newer one out (`busy`): placement waits for the reap.
            elif known is not None and known.attempt == command.attempt:
                if command.op == "halt" and known.state != m.EXITED:
                    machine.tasks[command.task] = m.TaskStatus(command.task, known.attempt, m.EXITED, m.CAUSE_HALTED)
                elif command.op == "reap" and known.state == m.EXITED:
                    index = int(command.task.rpartition("/")[2])
                    if known.why == m.CAUSE_DONE and index not in self.recorded:
                        raise Breach(f"the result of {command.task} is dropped before it is recorded")
                    del machine.tasks[command.task]

    def _start(self, machine: Machine, task: str, attempt: int) -> None:
        for other in self.machines:
            there = other.tasks.get(task)
            if other is not machine and there is not None and there.state != m.EXITED:
                raise Breach(f"{task} starts on {machine.name} while it is on {other.name}")
        if int(task.rpartition("/")[2]) in self.recorded:
            raise Breach(f"{task} starts on {machine.name} after it was done")
        machine.tasks[task] = m.TaskStatus(task, attempt, m.RUNNING)

    def _report(self, number: int) -> None:
        machine = self.machines[number]
        answer = self._hears(machine.heartbeat())
        if answer is not None and answer.fencing_token >= machine.fencing_token:
            machine.lapsed = False
            self._obey(machine, answer.fencing_token, answer.commands)

    # What may happen.

    def _usable(self, worker: Worker, task: str) -> bool:
        return (
            worker.fenced
            and not worker.lease_expired
            and task not in worker.attempts
            and task not in worker.reported_tasks
        )

    def steps(self) -> Iterator[Step]:
        owner = self.owner
        for index in self.partition.pending:
            for number, machine in enumerate(self.machines):
                worker = owner.workers.get(machine.name)
                if worker is not None and self._usable(worker, f"{JOB_ID}/{index}"):
                    yield "launch", number, index
        for index, attempt in self.partition.attempts.items():
            if not attempt.stopping:
                yield "halt", 0, index
        if self.wants_term:
            yield "raise", 0, 0
        if self.partition.unrecorded_done:
            if self.seen_revision == self.mod_revision:
                yield "record", 0, 0
            if len(self.writes) < MAX_OPEN_WRITES:
                yield "write", 0, 0
        if self.seen_revision != self.mod_revision:
            yield "watch", 0, 0
        for place in range(len(self.writes)):
            yield "carry out", place, 0
        yield "crash", 0, 0
        for number, machine in enumerate(self.machines):
            if machine.gone:
                continue
            worker = owner.workers.get(machine.name)
            yield "report", number, 0
            yield "unheard", number, 0
            if worker is not None and worker.delivery.unanswered_probes < MAX_UNANSWERED_PROBES:
                yield "unasked", number, 0
            if worker is not None and (not worker.fenced or worker.delivery.suspect):
                yield "probe", number, 0
            if not self.late:
                yield "late", number, 0
            if machine.tasks:
                yield "expire", number, 0
            # A session that has been heard of has its full lease from then on.
            if machine.lapsed and worker is not None and not worker.lease_expired and worker.epoch != machine.epoch:
                yield "sweep", number, 0
            # As `Reconciler.outlived`, whose clock stands here for the session that is over.
            if (
                worker is not None
                and worker.unanswered
                and machine.name in owner.unreconciled
                and machine.epoch > machine.known
            ):
                yield "outlived", number, 0
            if sum(not w.gone for w in self.machines) > 1:
                yield "gone", number, 0
            for task, there in machine.tasks.items():
                if there.state == m.RUNNING:
                    yield "finish", number, int(task.rpartition("/")[2])
                    yield "fail", number, int(task.rpartition("/")[2])
        for place in range(len(self.late)):
            yield "arrive", place, 0
            yield "copy", place, 0
        for place, flight in enumerate(self.flights):
            yield "do", place, 0
            if flight.done is not None:
                yield "give up", place, 0

    def act(self, step: Step) -> None:
        what, number, index = step
        if what == "launch":
            self.partition.pending.discard(index)
            self.owner.launch(self.partition, index, self.owner.workers[self.machines[number].name])
        elif what == "halt":
            self.owner.stop(self.partition.attempts[index], 0.0)
        elif what == "raise":
            self.term = max(self.term + 1, self.wants_term)
            self.wants_term = 0
            self.owner.term, self.owner.counter = self.term, 0
        elif what == "record":
            self.recorded |= self.partition.done | self.partition.unrecorded_done
            self.mod_revision += 1
            self._watch()
        elif what == "write":
            self.writes.append(
                Write(self.term, self.seen_revision, frozenset(self.partition.done | self.partition.unrecorded_done))
            )
        elif what == "carry out":
            write = self.writes.pop(number)
            if "conditional" not in self.guards or (
                write.term == self.term and write.mod_revision == self.mod_revision
            ):
                self.recorded = set(write.done)
                self.mod_revision += 1
        elif what == "watch":
            self._watch()
        elif what == "crash":
            self._take_over()
        elif what == "report":
            self._report(number)
        elif what == "unheard":
            # Its report arrives and the answer does not; the owner's books count the lease as renewed.
            machine = self.machines[number]
            if self._hears(machine.heartbeat()) is not None:
                machine.lapsed = False
        elif what == "unasked":
            self.owner.workers[self.machines[number].name].delivery.probe_missed(1)
        elif what == "probe":
            self.owner.workers[self.machines[number].name].delivery.acknowledged()
            self._hears(self.machines[number].heartbeat(), direct=True)
        elif what == "late":
            self.late.append((number, self.machines[number].heartbeat()))
        elif what == "arrive":
            self._hears(self.late.pop(number)[1])
        elif what == "copy":
            self._hears(self.late[number][1])
        elif what in ("do", "give up"):
            self._flight(what, number)
        elif what in ("finish", "fail"):
            task = f"{JOB_ID}/{index}"
            why = m.CAUSE_DONE if what == "finish" else m.CAUSE_ERROR
            tasks = self.machines[number].tasks
            tasks[task] = m.TaskStatus(task, tasks[task].attempt, m.EXITED, why)
        elif what == "expire":
            machine = self.machines[number]
            machine.epoch, machine.lapsed = machine.epoch + 1, True
            machine.tasks.clear()
        elif what in ("sweep", "outlived"):
            self.owner.expire_lease(self.owner.workers[self.machines[number].name])
        else:
            self.machines[number].gone = True
            self.machines[number].tasks.clear()
            self.owner.machine_gone(self.machines[number].name)
        self._settle()

    def _watch(self) -> None:
        """The owner knows the record as it is, as in `JobPersistence.sync`."""
        partition = self.partition
        self.seen_revision = self.mod_revision
        partition.done |= self.recorded
        partition.unrecorded_done -= self.recorded
        for index in self.recorded:
            partition.pending.discard(index)
            partition.unreconciled.discard(index)

    def _flight(self, what: str, place: int) -> None:
        flight = self.flights[place]
        done, flight.done = flight.done, None
        if what == "give up":
            assert done is not None
            done(UNKNOWN, b"")
            return
        del self.flights[place]
        machine, body = self.machines[flight.machine], flight.body
        if machine.gone:
            return
        obeyed = body.fencing_token >= machine.fencing_token and body.epoch == machine.epoch
        if obeyed:
            self._obey(machine, body.fencing_token, body.commands)
        if done is not None:
            done(200 if obeyed else 409, msgspec.json.encode(machine.heartbeat()))

    # What a state is.

    def key(self) -> tuple[object, ...]:
        """All that matters of it: numbers that only rise count by their order."""
        terms = sorted(
            {
                0,
                self.term,
                self.owner.term,
                self.owner.first_own_term,
                *(w.fencing_token for w in self.machines),
                *(f.body.fencing_token for f in self.flights),
                *(r.fencing_token for _, r in self.late),
                *(a.unanswered_term for w in self.owner.workers.values() for a in w.attempts.values()),
                *(w.fencing_token for w in self.owner.workers.values()),
            }
        )
        term = {t: n for n, t in enumerate(terms)}
        numbers = sorted(
            {t.attempt for w in self.machines for t in w.tasks.values()}
            | {c.attempt for f in self.flights for c in f.body.commands}
            | {t.attempt for _, r in self.late for t in r.tasks}
            | {a.number for w in self.owner.workers.values() for a in w.attempts.values()}
        )
        attempt = {a: n for n, a in enumerate(numbers)}

        def shown(tasks: list[m.TaskStatus]) -> tuple[object, ...]:
            return tuple((t.task, attempt[t.attempt], t.state, t.why) for t in tasks)

        machines = tuple(
            (w.gone, term[w.fencing_token], w.lapsed, shown(list(w.tasks.values()))) for w in self.machines
        )
        workers: list[tuple[object, ...] | None] = []
        for machine in self.machines:
            worker = self.owner.workers.get(machine.name)
            if worker is None:
                workers.append(None)
                continue
            workers.append(
                (
                    worker.epoch - machine.epoch if worker.epoch else None,
                    term[worker.fencing_token],
                    worker.fenced,
                    worker.lease_expired,
                    worker.command_open,
                    machine.name in self.owner.unreconciled,
                    min(worker.delivery.unanswered_probes, MAX_UNANSWERED_PROBES),
                    min(worker.delivery.unacknowledged, MAX_UNACKNOWLEDGED),
                    worker.delivery.fencing_token > 0,
                    worker.unanswered,
                    machine.epoch > machine.known,
                    tuple(sorted(attempt.get(n, -1) for _, n in worker.delivery.launches)),
                    machine.name in self.owner.workers_to_command,
                    tuple((t, attempt.get(r.attempt, -1), r.state) for t, r in worker.reported_tasks.items()),
                    tuple(
                        (
                            a.name,
                            attempt[a.number],
                            a.observed,
                            a.end_cause,
                            a.stopping,
                            a.direct_call_open,
                            a.sent,
                            term[a.unanswered_term],
                            self.partition.attempts.get(a.index) is a,
                        )
                        for a in worker.attempts.values()
                    ),
                )
            )
        partition = self.partition
        flights = tuple(
            (
                f.machine,
                term[f.body.fencing_token],
                f.body.epoch - self.machines[f.machine].epoch,
                tuple((c.op, c.task, attempt[c.attempt]) for c in f.body.commands),
                f.done is not None,
            )
            for f in self.flights
        )
        late = tuple(
            (n, term[r.fencing_token], r.epoch - self.machines[n].epoch, shown(r.tasks), self._newer(n, r))
            for n, r in self.late
        )
        writes = tuple(
            (w.term == self.term, w.mod_revision - self.mod_revision, tuple(sorted(w.done))) for w in self.writes
        )
        known = (self.seen_revision == self.mod_revision, tuple(sorted(partition.done)))
        return (
            machines,
            tuple(workers),
            flights,
            late,
            writes,
            known,
            tuple(sorted(self.recorded)),
            tuple(partition.pending),
            tuple(sorted(partition.unreconciled)),
            tuple(sorted(partition.unrecorded_done)),
            term[self.term],
            term[self.owner.term],
            term[self.owner.first_own_term],
            self.wants_term > 0,
        )

    def _newer(self, number: int, heartbeat: m.WorkerHeartbeat) -> bool:
        worker = self.owner.workers.get(self.machines[number].name)
        return worker is not None and (heartbeat.epoch, heartbeat.seq) > (worker.epoch, worker.seq)

    def calm(self) -> None:
        """Without further trouble everything gets done; what is on its way arrives."""
        for _ in range(CALM_ROUNDS):
            if len(self.recorded) == self.tasks:
                return
            while self.late:
                self.act(("arrive", 0, 0))
            while self.writes:
                self.act(("carry out", 0, 0))
            while self.flights:
                self.act(("do", 0, 0))
            for number, machine in enumerate(self.machines):
                if not machine.gone:
                    self.act(("report", number, 0))
            for step in [s for s in self.steps() if s[0] in ("raise", "watch", "record", "finish")]:
                self.act(step)
            waiting = [s for s in self.steps() if s[0] == "launch"]
            if waiting:
                self.act(waiting[0])
        if len(self.recorded) != self.tasks:
            raise Breach(f"only {sorted(self.recorded)} of {self.tasks} tasks can ever be done")


@dataclass(slots=True)
class Found:
    states: int
    depth: int
    breach: str = ""
    history: list[Step] = field(default_factory=list)


def explore(
    depth: int,
    workers: int = 2,
    tasks: int = 1,
    without: str = "",
    most_states: int = 0,
    only: frozenset[str] = frozenset(),
    after: tuple[Step, ...] = (),
) -> Found:
    """Breadth first, so that the history of a breach is a shortest one beyond `after`.

    `depth` counts the steps from there. `most_states` (0: none) ends the search; `only` leaves other steps out.
    Raises ValueError for a guard that is none.
    """
    if without and without not in GUARDS:
        raise ValueError(f"no such guard: {without}; there are {', '.join(sorted(GUARDS))}")
    guards = GUARDS - {without}

    def play(history: tuple[Step, ...]) -> World:
        world = World(workers, tasks, guards)
        for step in history:
            world.act(step)
        return world

    seen = {play(after).key()}
    todo: deque[tuple[Step, ...]] = deque([after])
    reached = 0
    while todo:
        history = todo.popleft()
        if len(history) >= depth + len(after):
            continue
        for step in play(history).steps():
            if only and step[0] not in only:
                continue
            longer = (*history, step)
            try:
                world = play(longer)
                key = world.key()
                if key in seen:
                    continue
                seen.add(key)
                reached = len(longer)
                world.calm()
            except Breach as breach:
                return Found(len(seen), len(longer), str(breach), list(longer))
            todo.append(longer)
            if most_states and len(seen) >= most_states:
                return Found(len(seen), reached)
    return Found(len(seen), reached)


def read_steps(text: str) -> tuple[Step, ...]:
    """Read "launch:0:0,crash:0:0"; raises ValueError for anything else."""
    found = []
    for part in text.split(","):
        if not part.strip():
            continue
        what, number, index = (p.strip() for p in part.split(":")) if part.count(":") == 2 else ("", "", "")
        if what not in STEPS or not number.isdigit() or not index.isdigit():
            raise ValueError(f"no such step: {part.strip()}; a step is KIND:NUMBER:NUMBER of {', '.join(STEPS)}")
        found.append((what, int(number), int(index)))
    return tuple(found)
