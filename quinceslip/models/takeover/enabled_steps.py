"""The steps enabled in a state, in the order in which the search tries them."""

from collections.abc import Iterator

from quinceslip.coordination.leadership.claims import TOKENS_PER_TERM
from quinceslip.coordination.shard_state.delivery import MAX_UNANSWERED_PROBES
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.models.job import task_index, task_name
from quinceslip.models.result import Step
from quinceslip.models.takeover.steps import StepKind
from quinceslip.models.takeover.workers import ModelWorker
from quinceslip.models.takeover.world import World
from quinceslip.protocol import messages as m

#: maximum number of unanswered writes in flight
MAX_PENDING_WRITES = 2
#: maximum number of direct commands of which a copy arrives
MAX_COPIED_COMMANDS = 1


def enabled_steps(world: World) -> Iterator[Step]:
    """Yield every step enabled in the present state."""
    yield from _task_steps(world)
    yield from _store_steps(world)
    yield Step(StepKind.CRASH)
    for number, machine in enumerate(world.workers):
        if machine.is_foreign:
            yield from _foreign_steps(world, number, machine)
        elif not machine.gone:
            yield from _worker_steps(world, number, machine)
        else:
            yield from _lost_machine_steps(world, number, machine)
    if world.leader.reconciler.addresses.open:
        yield Step(StepKind.MACHINES_LISTED)
    yield from _network_steps(world)


def _task_steps(world: World) -> Iterator[Step]:
    for index in world.partition.pending:
        for number, machine in enumerate(world.workers):
            worker = world.leader.worker(machine)
            if worker is not None and _may_place(worker, task_name(index)):
                yield Step(StepKind.LAUNCH, number, index)
    for index, attempt in world.partition.attempts.items():
        if not attempt.stopping:
            yield Step(StepKind.STOP, 0, index)


def _may_place(worker: Worker, task: str) -> bool:
    is_usable = worker.fenced and not worker.lease_expired
    return is_usable and task not in worker.attempts and task not in worker.reported_tasks


def _store_steps(world: World) -> Iterator[Step]:
    leader, writes = world.leader, world.store.pending_writes
    if leader.requested_term:
        yield Step(StepKind.RAISE_TERM)
    if world.partition.unrecorded_done:
        if leader.sees_latest_record:
            yield Step(StepKind.RECORD)
        if len(writes) < MAX_PENDING_WRITES:
            yield Step(StepKind.WRITE_UNANSWERED)
    if not leader.sees_latest_record:
        yield Step(StepKind.WATCH)
    for position in range(len(writes)):
        yield Step(StepKind.WRITE_APPLIED, position)


def _worker_steps(world: World, number: int, machine: ModelWorker) -> Iterator[Step]:
    worker = world.leader.worker(machine)
    yield Step(StepKind.HEARTBEAT, number)
    yield Step(StepKind.ANSWER_LOST, number)
    if machine.name in world.leader.reconciler.addresses.open:
        yield Step(StepKind.ADDRESS_PROBED, number)
    if worker is not None:
        yield from _probe_steps(number, worker)
    if not world.network.heartbeats:
        yield Step(StepKind.DELAY_HEARTBEAT, number)
    if machine.tasks:
        yield Step(StepKind.EXPIRE_LEASE, number)
    if worker is not None:
        yield from _expiry_steps(world, number, machine, worker)
    if sum(not other.gone and not other.is_foreign for other in world.workers) > 1:
        yield Step(StepKind.MACHINE_LOST, number)
        if not any(other.is_foreign for other in world.workers):
            yield Step(StepKind.ADDRESS_REUSED, number)
    yield from _running_task_steps(number, machine)


def _running_task_steps(number: int, machine: ModelWorker) -> Iterator[Step]:
    for task, status in machine.tasks.items():
        if status.state == m.RUNNING:
            yield Step(StepKind.TASK_DONE, number, task_index(task))
            yield Step(StepKind.TASK_FAILS, number, task_index(task))


def _foreign_steps(world: World, number: int, machine: ModelWorker) -> Iterator[Step]:
    """Steps of a machine of another shard, which has the address of a lost one; its own leader renews its lease."""
    if machine.fencing_token < world.store.term + TOKENS_PER_TERM:
        yield Step(StepKind.FOREIGN_TERM_RAISED, number)
    yield from _running_task_steps(number, machine)


def _lost_machine_steps(world: World, number: int, machine: ModelWorker) -> Iterator[Step]:
    reconciler = world.leader.reconciler
    if machine.name in reconciler.workers:
        yield Step(StepKind.LOSS_NOTICED, number)
    if machine.name in reconciler.addresses.open:
        yield Step(StepKind.ADDRESS_PROBED, number)


def _probe_steps(number: int, worker: Worker) -> Iterator[Step]:
    if worker.delivery.unanswered_probes < MAX_UNANSWERED_PROBES:
        yield Step(StepKind.PROBE_LOST, number)
    if not worker.fenced or worker.delivery.suspect:
        yield Step(StepKind.PROBE, number)


def _expiry_steps(world: World, number: int, machine: ModelWorker, worker: Worker) -> Iterator[Step]:
    # A lease runs in full from the moment that the leader learns of the epoch.
    if machine.lease_lapsed and not worker.lease_expired and worker.epoch != machine.epoch:
        yield Step(StepKind.LEASE_EXPIRY_NOTICED, number)
    # As in `Reconciler.lease_expired_while_unreachable`; here the worker's newer epoch takes the place of the clock.
    unreconciled = machine.name in world.leader.reconciler.unreconciled
    if worker.heartbeat_unanswered and unreconciled and machine.epoch_has_advanced():
        yield Step(StepKind.UNANSWERED_EXPIRY_NOTICED, number)


def _network_steps(world: World) -> Iterator[Step]:
    for position in range(len(world.network.heartbeats)):
        yield Step(StepKind.HEARTBEAT_ARRIVES, position)
        yield Step(StepKind.HEARTBEAT_COPIED, position)
    for position, commands in enumerate(world.network.commands):
        yield Step(StepKind.COMMANDS_ARRIVE, position)
        if commands.on_answer is not None:
            yield Step(StepKind.COMMANDS_TIME_OUT, position)
        if commands.body.commands and world.network.copied_commands < MAX_COPIED_COMMANDS:
            yield Step(StepKind.COMMANDS_COPIED, position)
