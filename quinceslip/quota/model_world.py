"""One state of the allocation model, and the steps that lead from it to other states.

The model has one allocation and several shards and controllers. The code of the allocation (`allocation.Allocation`,
`may_start`), its conditions and its guards are the real ones. The model replaces the rest: a key-value store that
compares revisions, transactions that arrive late or never, lost answers, caches that lag, leases that expire,
failovers, controllers that crash and restart, and workers that reject terms lower than the highest they have seen.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto
from typing import NamedTuple

from quinceslip.quota.allocation import Allocation, Move, MoveOutcome, may_start
from quinceslip.quota.amounts import UNLIMITED, Amounts
from quinceslip.quota.quota_records import GrantRecord

#: the key of the allocation's record
KEY = "allocation"
#: the amount that one task uses, and that one step takes or gives
UNIT: Amounts = (1, 0, 0, 0)
#: maximum number of transactions in progress
MAX_TRANSACTIONS = 2


class StepKind(StrEnum):
    """The kinds of steps; the values are the names used on the command line."""

    START = "start"
    END = "end"
    TAKE = "take"
    GIVE = "give"
    REWRITE = "touch"
    WATCH = "watch"
    LEASE_EXPIRY = "lapse"
    CLAIM = "claim"
    RECONCILE = "resolve"
    CRASH = "crash"
    ARRIVE = "arrive"
    ANSWER = "answer"
    GIVE_UP = "give up"


#: kinds of steps that do not belong to one shard
STEPS_WITHOUT_SHARD = frozenset({StepKind.WATCH, StepKind.CRASH, StepKind.ARRIVE, StepKind.ANSWER, StepKind.GIVE_UP})
_TRANSACTION_STEPS = frozenset({StepKind.ARRIVE, StepKind.ANSWER, StepKind.GIVE_UP})


class Step(NamedTuple):
    """One possible transition."""

    kind: StepKind
    #: index of the controller or of the transaction in the world's list
    subject: int
    shard: int

    def __str__(self) -> str:
        """Return the text shown in a history."""
        text = f"{self.kind} {self.subject}"
        return text if self.kind in STEPS_WITHOUT_SHARD else f"{text} shard {self.shard}"


def leader_key(shard: int) -> str:
    """Return the key of a shard's record."""
    return f"shard {shard}"


@dataclass(slots=True)
class Leadership:
    """A controller's own view of its leadership of one shard."""

    mod_revision: int
    used: int = 0
    reconciled: bool = False

    def copy(self) -> "Leadership":
        """Return an independent copy."""
        return Leadership(self.mod_revision, self.used, self.reconciled)


class TransactionState(Enum):
    """The state of a transaction at the store."""

    UNDERWAY = auto()
    APPLIED = auto()
    FAILED = auto()


@dataclass(slots=True)
class Transaction:
    """A transaction and its state."""

    controller: int
    move: Move
    state: TransactionState = TransactionState.UNDERWAY
    #: the controller has received its answer, or has given up on it
    ended: bool = False


@dataclass(slots=True)
class ModelController:
    """The state of one controller."""

    allocation: Allocation
    #: the revision of its cache
    revision: int = 0
    #: by shard
    leaderships: dict[int, Leadership] = field(default_factory=dict)


class World:
    """One state of the model; `steps` lists the possible next steps, `apply` carries one out."""

    def __init__(self, shards: int, controllers: int, total: int, guards: frozenset[str]) -> None:
        self.shards = shards
        self.total = total
        self.guards = guards
        #: the revision of the store
        self.revision = shards
        self.record: GrantRecord | None = None
        self.mod_revision = 0
        #: by shard: the revision of the leader's claim; 0 after the lease has expired
        self.leader_revisions = [shard + 1 for shard in range(shards)]
        #: by shard: number of tasks on its workers
        self.running = [0] * shards
        #: by shard: the highest term that its workers have seen
        self.terms_seen = [shard + 1 for shard in range(shards)]
        self.transactions: list[Transaction] = []
        self.controllers = [ModelController(self._new_allocation(), shards) for _ in range(controllers)]
        for shard in range(shards):
            self.controllers[shard].leaderships[shard] = Leadership(shard + 1, reconciled=True)

    def grant_all(self) -> "World":
        """Grant everything to the first shard, update every controller's cache, and return this world."""
        self.revision += 1
        self.mod_revision = self.revision
        self.record = GrantRecord(1, [self.total, -1, -1, -1], parts={"0": [self.total, 0, 0, 0]})
        for controller in self.controllers:
            self._catch_up(controller)
        return self

    def _new_allocation(self) -> Allocation:
        return Allocation(KEY, (self.total, UNLIMITED, UNLIMITED, UNLIMITED), 1, guards=self.guards)

    def _catch_up(self, controller: ModelController) -> None:
        controller.revision = self.revision
        controller.allocation.record_changed(self.record, self.mod_revision)

    # Possible steps.

    def steps(self) -> Iterator[Step]:
        """Yield every step that is possible in this state."""
        for number, controller in enumerate(self.controllers):
            for shard, leadership in controller.leaderships.items():
                yield from self._steps_of_leader(number, shard, leadership)
            if controller.revision < self.revision:
                yield Step(StepKind.WATCH, number, 0)
            if controller.leaderships:
                yield Step(StepKind.CRASH, number, 0)
        for shard in range(self.shards):
            yield from self._steps_of_shard(shard)
        for number, transaction in enumerate(self.transactions):
            if transaction.state is TransactionState.UNDERWAY:
                yield Step(StepKind.ARRIVE, number, 0)
            elif not transaction.ended:
                yield Step(StepKind.ANSWER, number, 0)
            if not transaction.ended:
                yield Step(StepKind.GIVE_UP, number, 0)

    def _steps_of_leader(self, number: int, shard: int, leadership: Leadership) -> Iterator[Step]:
        controller = self.controllers[number]
        caught_up = controller.revision >= leadership.mod_revision
        allowed = may_start(leadership.reconciled, caught_up, self.guards)
        has_room = leadership.used + 1 <= controller.allocation.limit(shard)[0]
        if allowed and has_room and self.terms_seen[shard] <= leadership.mod_revision:
            yield Step(StepKind.START, number, shard)
        if allowed and len(self.transactions) < MAX_TRANSACTIONS:
            if controller.allocation.move is None:
                yield Step(StepKind.TAKE, number, shard)
                yield Step(StepKind.GIVE, number, shard)
            elif controller.allocation.move.indeterminate:
                yield Step(StepKind.REWRITE, number, shard)
        if not leadership.reconciled and self.leader_revisions[shard] == leadership.mod_revision:
            yield Step(StepKind.RECONCILE, number, shard)

    def _steps_of_shard(self, shard: int) -> Iterator[Step]:
        if self.running[shard]:
            yield Step(StepKind.END, 0, shard)
        if self.leader_revisions[shard]:
            yield Step(StepKind.LEASE_EXPIRY, 0, shard)
            return
        for number, controller in enumerate(self.controllers):
            if shard not in controller.leaderships:
                yield Step(StepKind.CLAIM, number, shard)

    # Effects of steps.

    def apply(self, step: Step) -> None:
        """Carry out a step."""
        if step.kind in _TRANSACTION_STEPS:
            self._apply_transaction_step(step.kind, self.transactions[step.subject])
        elif step.kind is StepKind.LEASE_EXPIRY:
            self.leader_revisions[step.shard] = 0
        elif step.kind is StepKind.END:
            self._end_task(step.shard)
        elif step.kind is StepKind.CRASH:
            self._crash(step.subject)
        else:
            self._apply_controller_step(step)
        self.transactions = [t for t in self.transactions if t.state is TransactionState.UNDERWAY or not t.ended]

    def _end_task(self, shard: int) -> None:
        self.running[shard] -= 1
        for controller in self.controllers:
            leadership = controller.leaderships.get(shard)
            # The current leader learns of it; a deposed leader, or one that has not reconciled, may not.
            if leadership is not None and leadership.reconciled and leadership.mod_revision == self.terms_seen[shard]:
                leadership.used -= 1

    def _crash(self, number: int) -> None:
        """Restart a controller: its cache is up to date, and it leads no shards."""
        for transaction in self.transactions:
            transaction.ended = transaction.ended or transaction.controller == number
        self.controllers[number] = ModelController(self._new_allocation())
        self._catch_up(self.controllers[number])

    def _apply_controller_step(self, step: Step) -> None:
        controller, shard = self.controllers[step.subject], step.shard
        if step.kind is StepKind.WATCH:
            self._catch_up(controller)
            for led_shard, leadership in list(controller.leaderships.items()):
                if self.leader_revisions[led_shard] != leadership.mod_revision:
                    del controller.leaderships[led_shard]
        elif step.kind is StepKind.CLAIM:
            self.revision += 1
            self.leader_revisions[shard] = self.revision
            controller.leaderships[shard] = Leadership(self.revision)
        elif step.kind is StepKind.RECONCILE:
            leadership = controller.leaderships[shard]
            leadership.reconciled, leadership.used = True, self.running[shard]
            self.terms_seen[shard] = leadership.mod_revision
        elif step.kind is StepKind.START:
            controller.leaderships[shard].used += 1
            self.running[shard] += 1
        else:
            move = self._make_move(step.kind, controller, shard)
            if move is not None:
                self.transactions.append(Transaction(step.subject, move))

    def _make_move(self, kind: StepKind, controller: ModelController, shard: int) -> Move | None:
        allocation, leadership = controller.allocation, controller.leaderships[shard]
        fencing = {leader_key(shard): leadership.mod_revision}
        if kind is StepKind.TAKE:
            return allocation.take_from_pool(shard, UNIT, fencing)
        if kind is StepKind.GIVE:
            used = (leadership.used, 0, 0, 0)
            return allocation.give_unused(shard, (shard + 1) % self.shards, UNIT, used, fencing)
        return allocation.rewrite(fencing)

    def _apply_transaction_step(self, kind: StepKind, transaction: Transaction) -> None:
        if kind is StepKind.ARRIVE:
            self._commit(transaction)
            return
        transaction.ended = True
        allocation = self.controllers[transaction.controller].allocation
        if kind is StepKind.GIVE_UP:
            allocation.move_ended(transaction.move, MoveOutcome.INDETERMINATE)
            return
        applied = transaction.state is TransactionState.APPLIED
        if applied and allocation.mod_revision < self.mod_revision:
            # The answer carries the revision of the change, which is newer than the cached record.
            allocation.record_changed(self.record, self.mod_revision)
        allocation.move_ended(transaction.move, MoveOutcome.APPLIED if applied else MoveOutcome.FAILED)

    def _commit(self, transaction: Transaction) -> None:
        """Apply a transaction at the store if its conditions hold."""
        revisions = {KEY: self.mod_revision}
        revisions |= {leader_key(shard): revision for shard, revision in enumerate(self.leader_revisions)}
        conditions = transaction.move.conditions
        if any(revisions[key] != mod_revision for key, mod_revision in conditions.items()):
            transaction.state = TransactionState.FAILED
            return
        self.revision += 1
        self.record, self.mod_revision = transaction.move.record, self.revision
        transaction.state = TransactionState.APPLIED

    def copy(self) -> "World":
        """Return an independent copy in which controllers and transactions share moves as in the original."""
        other = World.__new__(World)
        other.shards, other.total, other.guards = self.shards, self.total, self.guards
        other.revision, other.record, other.mod_revision = self.revision, self.record, self.mod_revision
        other.leader_revisions = list(self.leader_revisions)
        other.running = list(self.running)
        other.terms_seen = list(self.terms_seen)
        moves: dict[int, Move] = {}
        other.transactions = [
            Transaction(t.controller, _copy_move(t.move, moves), t.state, t.ended) for t in self.transactions
        ]
        other.controllers = [other.copy_controller(controller, moves) for controller in self.controllers]
        return other

    def copy_controller(self, controller: ModelController, moves: dict[int, Move]) -> ModelController:
        """Copy a controller, taking moves from `moves`, so that a move shared with a transaction stays shared."""
        allocation = self._new_allocation()
        allocation.record, allocation.mod_revision = controller.allocation.record, controller.allocation.mod_revision
        if controller.allocation.move is not None:
            allocation.move = _copy_move(controller.allocation.move, moves)
        leaderships = {shard: leadership.copy() for shard, leadership in controller.leaderships.items()}
        return ModelController(allocation, controller.revision, leaderships)


def _copy_move(move: Move, copies: dict[int, Move]) -> Move:
    """Return the only copy of a move; `copies` maps the identity of the original to its copy."""
    if id(move) not in copies:
        copies[id(move)] = Move(move.record, move.conditions, move.outgoing, move.indeterminate, move.resolves_earlier)
    return copies[id(move)]
