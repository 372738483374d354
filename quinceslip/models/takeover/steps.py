"""The kinds of steps, their effects, and the parser for histories."""

from collections.abc import Callable
from enum import StrEnum

from quinceslip.coordination.actor.effects import CallOutcome
from quinceslip.coordination.leadership.claims import TOKENS_PER_TERM
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.models.job import task_name
from quinceslip.models.result import Step
from quinceslip.models.takeover.network import DelayedHeartbeat
from quinceslip.models.takeover.store import PendingWrite
from quinceslip.models.takeover.workers import ModelWorker
from quinceslip.models.takeover.world import World
from quinceslip.protocol import messages as m


class StepKind(StrEnum):
    """Kinds of steps; the values are their names on the command line. The comments refer to the fields of `Step`."""

    LAUNCH = "launch"  # the leader launches task `task` on worker `number`
    STOP = "halt"  # the leader stops task `task`
    RAISE_TERM = "raise"  # the leader claims the higher term that it has requested
    RECORD = "record"  # the leader records the completed tasks and gets an answer
    LEASE_EXPIRY_NOTICED = "sweep"  # the leader notices that the lease of worker `number` has expired
    MACHINE_LOST = "gone"  # machine `number` is lost, and the cloud reports it
    ADDRESS_REUSED = "reuse"  # machine `number` is lost, and a machine of another shard gets its address
    LOSS_NOTICED = "missed"  # the cloud reports that machine `number`, lost earlier, is gone
    ADDRESS_PROBED = "ask"  # the machine at the address of lost machine `number` answers a probe
    MACHINES_LISTED = "list"  # the cloud lists the machines and their addresses
    FOREIGN_TERM_RAISED = "other"  # machine `number`, of another shard, gets a higher term from its own leader
    CRASH = "crash"  # the leader crashes, and a successor leads under a higher term
    HEARTBEAT = "report"  # a heartbeat of worker `number` arrives, and so does its answer
    ANSWER_LOST = "unheard"  # a heartbeat of worker `number` arrives, but its answer is lost
    PROBE_LOST = "unasked"  # a probe of worker `number` gets no reply
    PROBE = "probe"  # a probe of worker `number` is answered
    DELAY_HEARTBEAT = "late"  # worker `number` sends a heartbeat, which stays in flight
    HEARTBEAT_ARRIVES = "arrive"  # delayed heartbeat `number` arrives
    HEARTBEAT_COPIED = "copy"  # a copy of delayed heartbeat `number` arrives
    COMMANDS_ARRIVE = "do"  # direct commands `number` arrive
    COMMANDS_COPIED = "twice"  # direct commands `number` arrive, and a copy of them stays in flight
    COMMANDS_TIME_OUT = "give up"  # the call with direct commands `number` times out at the leader
    TASK_DONE = "finish"  # task `task` on worker `number` completes
    TASK_FAILS = "fail"  # task `task` on worker `number` exits with an error
    EXPIRE_LEASE = "expire"  # the lease of worker `number` expires on the worker
    UNANSWERED_EXPIRY_NOTICED = "outlived"  # the leader infers that unanswered worker `number` has no lease left
    WRITE_UNANSWERED = "write"  # the leader sends a write of the completed tasks, which stays in flight
    WRITE_APPLIED = "carry out"  # the store applies unanswered write `number`
    WATCH = "watch"  # the leader reads the latest version of the job's record


def perform(world: World, step: Step) -> None:
    """Apply one step to `world`; raises Breach if it violates a safety property."""
    _HANDLERS[StepKind(step.kind)](world, step)
    world.leader.end_batch()
    world.deregister()


# The leader.


def _known_worker(world: World, step: Step) -> Worker:
    return world.leader.reconciler.workers[_machine(world, step).name]


def _launch(world: World, step: Step) -> None:
    world.partition.pending.discard(step.task)
    world.leader.reconciler.launch(world.partition, step.task, _known_worker(world, step))


def _stop(world: World, step: Step) -> None:
    world.leader.reconciler.stop(world.partition.attempts[step.task], 0.0)


def _raise_term(world: World, step: Step) -> None:
    world.store.term = max(world.store.term + TOKENS_PER_TERM, world.leader.requested_term + 1)
    world.leader.raise_term(world.store.term)


def _crash(world: World, step: Step) -> None:
    world.fail_over()


def _expire_known_lease(world: World, step: Step) -> None:
    world.leader.reconciler.expire_lease(_known_worker(world, step))


# The store.


def _record(world: World, step: Step) -> None:
    world.store.write(world.leader.completed)
    world.leader.watch()


def _write_unanswered(world: World, step: Step) -> None:
    done = frozenset(world.leader.completed)
    world.store.pending_writes.append(PendingWrite(world.store.term, world.leader.seen_revision, done))


def _write_applied(world: World, step: Step) -> None:
    world.store.apply_pending(step.number)


def _watch(world: World, step: Step) -> None:
    world.leader.watch()


# Heartbeats and probes.


def _heartbeat(world: World, step: Step) -> None:
    world.deliver_heartbeat(_machine(world, step))


def _answer_lost(world: World, step: Step) -> None:
    machine = _machine(world, step)
    answer = world.leader.receive_heartbeat(machine.heartbeat())
    if answer is not None:
        machine.lease_lapsed = False  # the leader considers the lease renewed


def _probe_lost(world: World, step: Step) -> None:
    _known_worker(world, step).delivery.probe_missed(1)


def _probe(world: World, step: Step) -> None:
    _known_worker(world, step).delivery.acknowledged()
    world.leader.receive_heartbeat(_machine(world, step).heartbeat(), direct=True)


def _delay_heartbeat(world: World, step: Step) -> None:
    heartbeat = _machine(world, step).heartbeat()
    world.network.heartbeats.append(DelayedHeartbeat(step.number, heartbeat))


def _heartbeat_arrives(world: World, step: Step) -> None:
    delayed = world.network.heartbeats.pop(step.number)
    world.leader.receive_heartbeat(delayed.heartbeat)


def _heartbeat_copied(world: World, step: Step) -> None:
    world.leader.receive_heartbeat(world.network.heartbeats[step.number].heartbeat)


# Direct commands.


def _commands_arrive(world: World, step: Step) -> None:
    world.deliver_commands(step.number)


def _commands_copied(world: World, step: Step) -> None:
    world.network.copy_commands(step.number)
    world.deliver_commands(step.number)


def _commands_time_out(world: World, step: Step) -> None:
    commands = world.network.commands[step.number]
    on_answer, commands.on_answer = commands.on_answer, None
    assert on_answer is not None
    on_answer(CallOutcome.UNKNOWN, b"")


# Workers.


def _machine(world: World, step: Step) -> ModelWorker:
    return world.workers[step.number]


def _task_done(world: World, step: Step) -> None:
    _machine(world, step).exit(task_name(step.task), m.CAUSE_DONE)


def _task_fails(world: World, step: Step) -> None:
    _machine(world, step).exit(task_name(step.task), m.CAUSE_ERROR)


def _expire_lease(world: World, step: Step) -> None:
    _machine(world, step).expire_lease()


def _machine_lost(world: World, step: Step) -> None:
    machine = _machine(world, step)
    machine.terminate()
    world.leader.reconciler.machine_gone(machine.name)


def _address_reused(world: World, step: Step) -> None:
    machine = _machine(world, step)
    new_index = world.fleet.reuse_address(machine)
    world.network.address_reused(machine.address, step.number, new_index)


def _loss_noticed(world: World, step: Step) -> None:
    world.leader.reconciler.machine_gone(_machine(world, step).name)


def _address_probed(world: World, step: Step) -> None:
    world.answer_address_checks(_machine(world, step).address)


def _machines_listed(world: World, step: Step) -> None:
    world.list_machines()


def _foreign_term_raised(world: World, step: Step) -> None:
    _machine(world, step).fencing_token = world.store.term + TOKENS_PER_TERM


_HANDLERS: dict[StepKind, Callable[[World, Step], None]] = {
    StepKind.LAUNCH: _launch,
    StepKind.STOP: _stop,
    StepKind.RAISE_TERM: _raise_term,
    StepKind.RECORD: _record,
    StepKind.LEASE_EXPIRY_NOTICED: _expire_known_lease,
    StepKind.MACHINE_LOST: _machine_lost,
    StepKind.ADDRESS_REUSED: _address_reused,
    StepKind.LOSS_NOTICED: _loss_noticed,
    StepKind.ADDRESS_PROBED: _address_probed,
    StepKind.MACHINES_LISTED: _machines_listed,
    StepKind.FOREIGN_TERM_RAISED: _foreign_term_raised,
    StepKind.CRASH: _crash,
    StepKind.HEARTBEAT: _heartbeat,
    StepKind.ANSWER_LOST: _answer_lost,
    StepKind.PROBE_LOST: _probe_lost,
    StepKind.PROBE: _probe,
    StepKind.DELAY_HEARTBEAT: _delay_heartbeat,
    StepKind.HEARTBEAT_ARRIVES: _heartbeat_arrives,
    StepKind.HEARTBEAT_COPIED: _heartbeat_copied,
    StepKind.COMMANDS_ARRIVE: _commands_arrive,
    StepKind.COMMANDS_COPIED: _commands_copied,
    StepKind.COMMANDS_TIME_OUT: _commands_time_out,
    StepKind.TASK_DONE: _task_done,
    StepKind.TASK_FAILS: _task_fails,
    StepKind.EXPIRE_LEASE: _expire_lease,
    StepKind.UNANSWERED_EXPIRY_NOTICED: _expire_known_lease,
    StepKind.WRITE_UNANSWERED: _write_unanswered,
    StepKind.WRITE_APPLIED: _write_applied,
    StepKind.WATCH: _watch,
}


# Parsing.


def parse_steps(text: str) -> tuple[Step, ...]:
    """Parse a history such as "launch:0:0,crash:0:0"; raises ValueError for an invalid step."""
    return tuple(_parse_step(part.strip()) for part in text.split(",") if part.strip())


def _parse_step(text: str) -> Step:
    fields = [field.strip() for field in text.split(":")]
    if len(fields) == 3:
        kind, number, index = fields
        if kind in set(StepKind) and number.isdigit() and index.isdigit():
            return Step(StepKind(kind), int(number), int(index))
    raise ValueError(f"invalid step: {text}; expected KIND:NUMBER:NUMBER, with KIND one of {', '.join(StepKind)}")
