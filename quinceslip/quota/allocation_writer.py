"""Writes the quota records: moves of several allocations in one transaction, other records one at a time."""

import logging
from typing import Any, NamedTuple

from quinceslip.coordination.actor.compare_and_swap import Puts
from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import NOT_SENT, Urgency
from quinceslip.coordination.shard.shard import Shard
from quinceslip.quota.allocation import Allocation, Move, MoveOutcome
from quinceslip.quota.allocations import Allocations

log = logging.getLogger(__name__)

_APPLIED_STATUS = 200
#: statuses after which a write has not been applied and never will be
_FAILED_STATUSES = (409, 429, 503, 400, NOT_SENT)


class PendingMove(NamedTuple):
    """A move and the allocation that it changes."""

    allocation: Allocation
    move: Move


class MoveBatch:
    """The moves of one transaction, at most as many as the key-value store accepts."""

    def __init__(self, max_moves: int) -> None:
        self.max_moves = max_moves
        self.moves: list[PendingMove] = []

    @property
    def is_full(self) -> bool:
        """Whether no further move may be added."""
        return len(self.moves) >= self.max_moves

    def add(self, allocation: Allocation, move: Move | None) -> None:
        """Add a move of an allocation; None adds nothing."""
        if move is not None:
            self.moves.append(PendingMove(allocation, move))


class AllocationWriter:
    """Sends moves and other records, and reports the outcome of each move to its allocation."""

    def __init__(self, ctx: Context, allocations: Allocations, shards: dict[int, Shard]) -> None:
        self.ctx = ctx
        self.allocations = allocations
        self.shards = shards
        #: allocations with a move whose outcome is unknown
        self.indeterminate: dict[Allocation, None] = {}
        #: keys of want and tree records that are being written
        self._keys_being_written: set[str] = set()

    def new_batch(self) -> MoveBatch:
        """Create an empty batch with the limit of the key-value store."""
        return MoveBatch(self.ctx.limits.txn_ops)

    def send(self, batch: MoveBatch, urgency: Urgency) -> None:
        """Write several allocations in one transaction; each is told the outcome."""
        moves = batch.moves
        if not moves:
            return
        conditions: dict[str, int] = {}
        for pending in moves:
            conditions |= pending.move.conditions
        puts: Puts = {pending.allocation.key: (pending.move.record, None) for pending in moves}

        def on_written(status: int, failed_keys: list[str]) -> None:
            self._moves_ended(moves, _outcome_of(status))

        self.ctx.compare_and_swap(conditions, puts, [], on_written, urgency)

    def _moves_ended(self, moves: list[PendingMove], outcome: MoveOutcome) -> None:
        written = ", ".join(f"{allocation.key} {move.record.parts}" for allocation, move in moves)
        log.debug("allocations written outcome=%s records=%s", outcome, written)
        for allocation, move in moves:
            self.allocations.grant_record_changed(allocation.key.split("/", 2)[2])
            allocation.move_ended(move, outcome)
            if allocation.move is not None and allocation.move.indeterminate:
                self.indeterminate[allocation] = None
        self.request_placement()

    def request_placement(self) -> None:
        """Request a placement pass of every shard, since the tasks that may start have changed."""
        for shard in self.shards.values():
            shard.needs_placement = True

    def write_record(self, key: str, conditions: dict[str, int], value: Any) -> None:
        """Write a single record, or delete it (`value` None); at most one write of a key at a time."""
        if key in self._keys_being_written:
            return
        self._keys_being_written.add(key)

        def on_written(status: int, failed_keys: list[str]) -> None:
            self._keys_being_written.discard(key)

        puts: Puts = {} if value is None else {key: (value, None)}
        deletes = [key] if value is None else []
        self.ctx.compare_and_swap(conditions, puts, deletes, on_written, Urgency.BACKGROUND)


def _outcome_of(status: int) -> MoveOutcome:
    if status == _APPLIED_STATUS:
        return MoveOutcome.APPLIED
    return MoveOutcome.FAILED if status in _FAILED_STATUSES else MoveOutcome.INDETERMINATE
