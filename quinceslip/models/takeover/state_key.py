"""Canonical keys of states: states with equal keys have the same future behaviour.

Terms and attempt numbers only increase and are only compared, so each is replaced by its rank among all those in the
state. Epochs are relative to the worker's own epoch, revisions to the store's.
"""

from collections.abc import Iterable, Iterator

from quinceslip.coordination.reconciliation.address_checks import AddressCheck
from quinceslip.coordination.shard_state.delivery import MAX_UNACKNOWLEDGED_ANSWERS, MAX_UNANSWERED_PROBES
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.models.takeover.network import CommandsInFlight, DelayedHeartbeat
from quinceslip.models.takeover.workers import ModelWorker
from quinceslip.models.takeover.world import World
from quinceslip.protocol import messages as m

Key = tuple[object, ...]

#: stands for an attempt number that occurs nowhere else in the state
UNRANKED = -1


def state_key(world: World) -> Key:
    """Return the canonical key of a state."""
    return _KeyBuilder(world).build()


class _KeyBuilder:
    """Builds the key of one state, part by part."""

    def __init__(self, world: World) -> None:
        """Rank all terms and attempt numbers in `world`."""
        self.world = world
        self.term_ranks = _ranks(_terms(world))
        self.attempt_ranks = _ranks(_attempt_numbers(world))

    def build(self) -> Key:
        """Return the key with all its parts."""
        world = self.world
        return (
            tuple(self._machine(machine) for machine in world.workers),
            tuple(self._known_worker(machine) for machine in world.workers),
            tuple(self._commands(commands) for commands in world.network.commands),
            world.network.copied_commands,
            tuple(self._delayed_heartbeat(delayed) for delayed in world.network.heartbeats),
            self._store(),
            self._partition(),
            self._leader(),
            tuple(sorted(world.store.registered)),
            tuple(self._address_check(check) for check in world.leader.reconciler.addresses.open.values()),
        )

    def _machine(self, machine: ModelWorker) -> Key:
        return (
            machine.gone,
            machine.address,
            self.term_ranks[machine.fencing_token],
            machine.lease_lapsed,
            self._tasks(machine.tasks.values()),
        )

    def _tasks(self, tasks: Iterable[m.TaskStatus]) -> Key:
        return tuple((task.task, self.attempt_ranks[task.attempt], task.state, task.exit_cause) for task in tasks)

    def _known_worker(self, machine: ModelWorker) -> Key | None:
        worker = self.world.leader.worker(machine)
        if worker is None:
            return None
        reconciler = self.world.leader.reconciler
        return (
            worker.epoch - machine.epoch if worker.epoch else None,
            self.term_ranks[worker.fencing_token],
            self.term_ranks[reconciler.tokens.current(worker)],
            worker.fenced,
            worker.lease_expired,
            worker.command_open,
            worker.heartbeat_unanswered,
            machine.name in reconciler.unreconciled,
            machine.name in reconciler.workers_to_command,
            machine.epoch_has_advanced(),
            self._delivery(worker),
            self._reported_tasks(worker),
            tuple(self._attempt(attempt) for attempt in worker.attempts.values()),
        )

    def _delivery(self, worker: Worker) -> Key:
        delivery = worker.delivery
        return (
            min(delivery.unanswered_probes, MAX_UNANSWERED_PROBES),
            min(delivery.unacknowledged_answers, MAX_UNACKNOWLEDGED_ANSWERS),
            delivery.fencing_token > 0,
            tuple(sorted(self.attempt_ranks.get(number, UNRANKED) for _, number in delivery.launches)),
        )

    def _reported_tasks(self, worker: Worker) -> Key:
        return tuple(
            (name, self.attempt_ranks.get(status.attempt, UNRANKED), status.state)
            for name, status in worker.reported_tasks.items()
        )

    def _attempt(self, attempt: Attempt) -> Key:
        return (
            attempt.name,
            self.attempt_ranks[attempt.number],
            attempt.observed,
            attempt.end_cause,
            attempt.stopping,
            attempt.direct_call_open,
            attempt.answered_by_other_machine,
            attempt.sent,
            self.term_ranks[attempt.unanswered_call_token],
            self.term_ranks[attempt.direct_call_token],
            self.world.partition.attempts.get(attempt.index) is attempt,
        )

    def _address_check(self, check: AddressCheck) -> Key:
        return (
            check.worker.name,
            check.is_inherited,
            self.term_ranks[check.latest_token],
            check.probing,
            check.occupant,
            tuple(self._attempt(attempt) for attempt in check.attempts),
        )

    def _commands(self, commands: CommandsInFlight) -> Key:
        body = commands.body
        return (
            commands.machine_index,
            self.term_ranks[body.fencing_token],
            body.epoch - self.world.workers[commands.machine_index].epoch,
            tuple((command.op, command.task, self.attempt_ranks[command.attempt]) for command in body.commands),
            commands.on_answer is not None,
            commands.is_copy,
        )

    def _delayed_heartbeat(self, delayed: DelayedHeartbeat) -> Key:
        heartbeat = delayed.heartbeat
        return (
            delayed.machine_index,
            self.term_ranks[heartbeat.fencing_token],
            heartbeat.epoch - self.world.workers[delayed.machine_index].epoch,
            self._tasks(heartbeat.tasks),
            self.world.is_newer_than_known(delayed.machine_index, heartbeat),
        )

    def _store(self) -> Key:
        store = self.world.store
        writes = tuple(
            (write.term == store.term, write.mod_revision - store.mod_revision, tuple(sorted(write.done)))
            for write in store.pending_writes
        )
        return writes, tuple(sorted(store.recorded)), self.term_ranks[store.term]

    def _partition(self) -> Key:
        partition = self.world.partition
        return (
            tuple(partition.pending),
            tuple(sorted(partition.unreconciled)),
            tuple(sorted(partition.done)),
            tuple(sorted(partition.unrecorded_done)),
        )

    def _leader(self) -> Key:
        leader = self.world.leader
        return (
            leader.sees_latest_record,
            self.term_ranks[leader.reconciler.term],
            self.term_ranks[leader.reconciler.takeover_term],
            leader.requested_term > 0,
        )


def _ranks(numbers: Iterable[int]) -> dict[int, int]:
    return {number: rank for rank, number in enumerate(sorted(set(numbers)))}


def _terms(world: World) -> Iterator[int]:
    """Yield every term and fencing token in a state; 0 stands for none."""
    reconciler = world.leader.reconciler
    yield 0
    yield world.store.term
    yield reconciler.term
    yield reconciler.takeover_term
    for machine in world.workers:
        yield machine.fencing_token
    for commands in world.network.commands:
        yield commands.body.fencing_token
    for delayed in world.network.heartbeats:
        yield delayed.heartbeat.fencing_token
    for worker in reconciler.workers.values():
        yield worker.fencing_token
        yield reconciler.tokens.current(worker)
        yield from _attempt_tokens(worker.attempts.values())
    for check in reconciler.addresses.open.values():
        yield check.latest_token
        yield from _attempt_tokens(check.attempts)


def _attempt_tokens(attempts: Iterable[Attempt]) -> Iterator[int]:
    for attempt in attempts:
        yield attempt.unanswered_call_token
        yield attempt.direct_call_token


def _attempt_numbers(world: World) -> Iterator[int]:
    """Yield the number of every attempt in a state."""
    for machine in world.workers:
        for status in machine.tasks.values():
            yield status.attempt
    for commands in world.network.commands:
        for command in commands.body.commands:
            yield command.attempt
    for delayed in world.network.heartbeats:
        for status in delayed.heartbeat.tasks:
            yield status.attempt
    for worker in world.leader.reconciler.workers.values():
        for attempt in worker.attempts.values():
            yield attempt.number
    for attempt in world.leader.reconciler.kept_attempts:
        yield attempt.number
