"""One allocation: which part of a level's cap or guarantee each shard may use. No I/O, no clock.

A level's cap is one allocation, its guarantee another; each has one record that says what every shard holds
of it. What no shard holds is the pool. A shard may use no more than it holds, so the sum of all usage never exceeds
the total, even if controllers act on outdated records. `Guard` lists the rules that this takes; `quinceslip model
quota --without GUARD` shows what happens without one of them. The same code runs in the service and in the model
(`quinceslip/quota/model.py`).
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from quinceslip.quota.amounts import UNLIMITED, ZERO, Amounts, add, amounts_of, elementwise_min, positive_part, subtract
from quinceslip.quota.quota_records import GrantRecord


class Guard(StrEnum):
    """A rule that keeps the sum of all usage within the total; the values are those of the command line."""

    #: a shard stops using what it gives away before it sends the write
    RESERVE = "reserve"
    #: a shard gives away only what is unused; tasks that may still be on a machine count as usage
    SPARE = "spare"
    #: a shard takes no more than the pool has
    POOL = "pool"
    #: a write succeeds only if the record still has the `mod_revision` that the write is based on
    MOD_REVISION = "stamp"
    #: a write succeeds only while its sender leads the shard (a delayed write of an earlier leader fails)
    LEADERSHIP = "owner"
    #: after a write whose outcome is unknown, what it gives away stays unused until the record changes
    INDETERMINATE = "in_doubt"
    #: a new leader starts nothing until each registered worker has acknowledged its term or is gone
    RECONCILED = "resolved"
    #: a new leader starts nothing until its cache has all that the shard's earlier leader wrote
    CAUGHT_UP = "caught_up"


GUARDS = tuple(Guard)
ALL_GUARDS: frozenset[str] = frozenset(GUARDS)


class MoveOutcome(StrEnum):
    """What a controller knows about the outcome of a write that it has sent."""

    APPLIED = "applied"
    FAILED = "failed"
    #: the write may still be applied, even minutes later
    INDETERMINATE = "indeterminate"


@dataclass(slots=True)
class Move:
    """A change of a record that is being written to the key-value store."""

    record: GrantRecord
    #: by key of the record and of the sending shard: the `mod_revision` that the key must have
    conditions: dict[str, int]
    #: by shard that this controller leads: what the shard gives away
    outgoing: dict[int, Amounts] = field(default_factory=dict)
    #: the outcome of the write is unknown
    indeterminate: bool = False
    #: the move changes nothing and only resolves an earlier one whose outcome is unknown
    resolves_earlier: bool = False


def may_start(reconciled: bool, caught_up: bool, guards: frozenset[str] = ALL_GUARDS) -> bool:
    """Whether a shard's leader knows all that is held and used, and so may start tasks."""
    return (reconciled or Guard.RECONCILED not in guards) and (caught_up or Guard.CAUGHT_UP not in guards)


class Allocation:
    """One level's cap or guarantee as one controller knows it; the controller may lead several of the holders."""

    __slots__ = ("_pool", "guards", "key", "mod_revision", "move", "parent", "record", "total", "version")

    def __init__(
        self, key: str, total: Amounts, version: int, parent: str = "", guards: frozenset[str] = ALL_GUARDS
    ) -> None:
        self.key = key
        self.total = total
        self.version = version
        self.parent = parent
        self.guards = guards
        self.record: GrantRecord | None = None
        self.mod_revision = 0
        self.move: Move | None = None
        self._pool: Amounts | None = None

    # The state according to the record.

    def record_changed(self, record: GrantRecord | None, mod_revision: int) -> None:
        """Take over the record that the cache has now (`mod_revision` 0: there is none)."""
        self.record, self.mod_revision, self._pool = record, mod_revision, None
        move = self.move
        if move is not None and move.indeterminate and mod_revision != move.conditions.get(self.key, mod_revision):
            self.move = None  # it was applied at this revision, or never will be

    def total_in_force(self) -> Amounts:
        """The total by the newer of two versions of the tree: this controller's and the record's."""
        if self.record is not None and self.record.version > self.version:
            return _amounts_of_record(self.record.total)
        return self.total

    def held(self, shard: int) -> Amounts:
        """What a shard holds according to the record."""
        part = self.record.parts.get(str(shard)) if self.record is not None else None
        return _amounts_of_record(part) if part else ZERO

    def limit(self, shard: int) -> Amounts:
        """What a shard led by this controller may use now; unlimited in each resource where the total is."""
        held = self.held(shard)
        if self.move is not None and Guard.RESERVE in self.guards:
            held = positive_part(subtract(held, self.move.outgoing.get(shard, ZERO)))
        total = self.total_in_force()
        return (
            UNLIMITED if total[0] >= UNLIMITED else held[0],
            UNLIMITED if total[1] >= UNLIMITED else held[1],
            UNLIMITED if total[2] >= UNLIMITED else held[2],
            UNLIMITED if total[3] >= UNLIMITED else held[3],
        )

    def pool(self) -> Amounts:
        """What no shard holds; negative where the shards hold more than a lowered total."""
        if self._pool is None:
            self._pool = self._compute_pool()
        return self._pool

    def _compute_pool(self) -> Amounts:
        held_by_all = [0, 0, 0, 0]
        if self.record is not None:
            for part in self.record.parts.values():
                for kind, value in enumerate(part):
                    held_by_all[kind] += value
        pairs = zip(self.total_in_force(), held_by_all, strict=True)
        return amounts_of([total - held if total < UNLIMITED else 0 for total, held in pairs])

    def is_exceeded(self, need: Sequence[int]) -> bool:
        """Whether the shards hold more than a lowered total of a needed resource, so that nothing new may start."""
        pool = self.pool()
        return min(pool) < 0 and any(wanted > 0 and left < 0 for wanted, left in zip(need, pool, strict=True))

    # Moves. One at a time for each allocation: a second one would be based on a record that the first replaces.

    def _start_move(
        self, changed_parts: dict[int, Amounts], fencing: dict[str, int], outgoing: dict[int, Amounts]
    ) -> Move:
        conditions: dict[str, int] = {}
        if Guard.MOD_REVISION in self.guards:
            conditions[self.key] = self.mod_revision
        if Guard.LEADERSHIP in self.guards:
            conditions |= fencing
        self.move = Move(self._next_record(changed_parts), conditions, outgoing)
        return self.move

    def _next_record(self, changed_parts: dict[int, Amounts]) -> GrantRecord:
        version, parent, parts = self.version, self.parent, {}
        if self.record is not None:
            parts = {int(shard): _amounts_of_record(part) for shard, part in self.record.parts.items()}
            if self.record.version > self.version:
                version, parent = self.record.version, self.record.parent
        parts |= changed_parts
        return GrantRecord(
            version,
            [amount if amount < UNLIMITED else -1 for amount in self.total_in_force()],
            parent,
            {str(shard): list(part) for shard, part in sorted(parts.items()) if any(part)},
        )

    def take_from_pool(self, shard: int, amounts: Amounts, fencing: dict[str, int]) -> Move | None:
        """Move up to `amounts` from the pool to a shard; None if the pool has none of it or a move is under way.

        `fencing`, here and below, is the condition that this controller still leads the shard.
        """
        if self.move is not None:
            return None
        taken = amounts
        if Guard.POOL in self.guards:
            taken = elementwise_min(positive_part(amounts), positive_part(self.pool()))
        if not any(taken):
            return None
        return self._start_move({shard: add(self.held(shard), taken)}, fencing, {})

    def give_unused(
        self, shard: int, target: int | None, amounts: Amounts, used: Sequence[int], fencing: dict[str, int]
    ) -> Move | None:
        """Move up to `amounts` of what a shard does not use to another one (`target` None: back to the pool)."""
        if self.move is not None:
            return None
        spare = self.held(shard)
        if Guard.SPARE in self.guards:
            spare = positive_part(subtract(spare, used))
        given = elementwise_min(positive_part(amounts), spare)
        if not any(given):
            return None
        parts = {shard: subtract(self.held(shard), given)}
        if target is not None:
            parts[target] = add(self.held(target), given)
        return self._start_move(parts, fencing, {shard: given})

    def rewrite(self, fencing: dict[str, int]) -> Move | None:
        """Write the record again, to update it to a newer tree or to resolve a move whose outcome is unknown.

        Of the unresolved write and this one, the second to arrive fails: the first changes the `mod_revision`.
        """
        earlier = self.move
        if earlier is not None and not earlier.indeterminate:
            return None
        move = self._start_move({}, fencing, earlier.outgoing if earlier is not None else {})
        move.resolves_earlier = earlier is not None
        return move

    def move_ended(self, move: Move, outcome: MoveOutcome) -> None:
        """End a move whose answer has arrived, or was lost.

        For `APPLIED`, `record_changed` must have been called with the new record before.
        """
        if self.move is not move:
            return
        unresolved = outcome is MoveOutcome.INDETERMINATE or (outcome is MoveOutcome.FAILED and move.resolves_earlier)
        record_unchanged = move.conditions.get(self.key, self.mod_revision) == self.mod_revision
        if unresolved and record_unchanged and Guard.INDETERMINATE in self.guards:
            move.indeterminate = True  # until the record changes: then it was applied, or never will be
        else:
            self.move = None


def _amounts_of_record(part: Sequence[int]) -> Amounts:
    return (
        _unlimited_if_negative(part[0]),
        _unlimited_if_negative(part[1]),
        _unlimited_if_negative(part[2]),
        _unlimited_if_negative(part[3]),
    )


def _unlimited_if_negative(value: int) -> int:
    return value if value >= 0 else UNLIMITED
