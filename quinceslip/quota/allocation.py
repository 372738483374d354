"""Durable grants: which part of a level's amount each shard may use. No I/O, no clock.

A level's cap is one *purse*, its guarantee another; each has one record that says what every shard holds
of it. What no shard holds is the pool. A shard may use no more than it holds, so the sum of all use is
never over the purse's total, whoever knows what. The rules a holder keeps, each of which `quinceslip model
quota --without GUARD` leaves out in turn:

  reserve      what is on its way out is not used any more, from before the write is sent
  spare        only what nothing uses goes out; what may still be on a machine is used
  pool         what a shard takes for itself is in the pool
  stamp        a write holds only for the record it was made from
  owner        a write holds only while its sender owns the shard (a late one of an earlier owner fails)
  in_doubt     after a write whose outcome is open, what it gives stays out of use until the record changed
  resolved     a successor starts nothing until each worker of the roster showed its term or is gone
  caught_up    nor before its view has what the shard's earlier owner wrote

The same code runs in the service and in the model (`quinceslip/quota/model.py`).
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from quinceslip.quota.amounts import UNLIMITED, ZERO, Amounts, add, least, positive

GUARDS = ("reserve", "spare", "pool", "stamp", "owner", "in_doubt", "resolved", "caught_up")
ALL_GUARDS = frozenset(GUARDS)


class GrantRecord(msgspec.Struct, omit_defaults=True):
    """What each shard holds of one purse, in units of `tree.Amounts`; uncapped resources stay 0."""

    #: the version of the tree whose amounts this is
    version: int
    total: list[int]
    #: the level above when it was written: a level that moved is another level
    parent: str = ""
    parts: dict[str, list[int]] = {}


@dataclass(slots=True)
class Move:
    """A change of a record on its way to the state service."""

    record: GrantRecord
    conditions: dict[str, int]  # keys of records and of the shard that sends it
    outgoing: dict[int, Amounts] = field(default_factory=dict)  # by owned shard
    open: bool = False  # its outcome is unknown
    settles: bool = False  # it only settles an earlier one whose outcome is unknown


def may_start(resolved: bool, caught_up: bool, guards: frozenset[str] = ALL_GUARDS) -> bool:
    """Whether a shard's owner knows all that is held and used, and may add to it."""
    return (resolved or "resolved" not in guards) and (caught_up or "caught_up" not in guards)


class Allocation:
    """One amount of one level as one controller knows it; it may own several shards that hold of it."""

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

    # What is known.

    def record_changed(self, record: GrantRecord | None, mod_revision: int) -> None:
        """The view has the record under a new stamp (0: there is none)."""
        self.record, self.mod_revision, self._pool = record, mod_revision, None
        move = self.move
        if move is not None and move.open and mod_revision != move.conditions.get(self.key, mod_revision):
            self.move = None  # it was applied with this stamp, or can never be

    def total_in_force(self) -> Amounts:
        """The total that holds: of two versions of the tree, the newer one's."""
        if self.record is not None and self.record.version > self.version:
            return _amounts(self.record.total)
        return self.total

    def held(self, shard: int) -> Amounts:
        """What a shard holds by the record."""
        part = self.record.parts.get(str(shard)) if self.record is not None else None
        return _amounts(part) if part else ZERO

    def limit(self, shard: int) -> Amounts:
        """What an owned shard may use of it now; without bound where the purse has none."""
        held = self.held(shard)
        if self.move is not None and "reserve" in self.guards:
            held = positive(add(held, self.move.outgoing.get(shard, ZERO), -1))
        total = self.total_in_force()
        return (
            UNLIMITED if total[0] >= UNLIMITED else held[0],
            UNLIMITED if total[1] >= UNLIMITED else held[1],
            UNLIMITED if total[2] >= UNLIMITED else held[2],
            UNLIMITED if total[3] >= UNLIMITED else held[3],
        )

    def pool(self) -> Amounts:
        """What nobody holds; negative where more is held than there is any more."""
        if self._pool is None:
            self._pool = self._count_pool()
        return self._pool

    def _count_pool(self) -> Amounts:
        total = self.total_in_force()
        together = [0, 0, 0, 0]
        if self.record is not None:
            for part in self.record.parts.values():
                for kind, value in enumerate(part):
                    together[kind] += value
        found = [t - h if t < UNLIMITED else 0 for t, h in zip(total, together, strict=True)]
        return (found[0], found[1], found[2], found[3])

    def is_exceeded(self, need: Sequence[int]) -> bool:
        """Whether more is held than the (lowered) total in a resource that is needed: nothing new starts."""
        pool = self.pool()
        return min(pool) < 0 and any(n > 0 and p < 0 for n, p in zip(need, pool, strict=True))

    # Moves. One at a time for each purse: a second one would rest on a record that the first replaces.

    def _send(self, parts: dict[int, Amounts], owner: dict[str, int], outgoing: dict[int, Amounts]) -> Move:
        known = {int(s): _amounts(p) for s, p in self.record.parts.items()} if self.record is not None else {}
        known |= parts
        newer = self.record is not None and self.record.version > self.version
        record = GrantRecord(
            self.record.version if newer and self.record else self.version,
            [t if t < UNLIMITED else -1 for t in self.total_in_force()],
            self.record.parent if newer and self.record else self.parent,
            {str(s): list(p) for s, p in sorted(known.items()) if any(p)},
        )
        conditions: dict[str, int] = {}
        if "stamp" in self.guards:
            conditions[self.key] = self.mod_revision
        if "owner" in self.guards:
            conditions |= owner
        self.move = Move(record, conditions, outgoing)
        return self.move

    def take(self, shard: int, amounts: Amounts, owner: dict[str, int]) -> Move | None:
        """Raise what a shard holds, out of the pool; None if nothing of it is there."""
        if self.move is not None:
            return None
        got = amounts
        if "pool" in self.guards:
            got = least(positive(amounts), positive(self.pool()))
        if not any(got):
            return None
        return self._send({shard: add(self.held(shard), got)}, owner, {})

    def give(
        self, shard: int, target: int | None, amounts: Amounts, used: Sequence[int], owner: dict[str, int]
    ) -> Move | None:
        """Hand what a shard does not use to another one (None: back to the pool)."""
        if self.move is not None:
            return None
        spare = self.held(shard)
        if "spare" in self.guards:
            spare = positive(add(spare, used, -1))
        got = least(positive(amounts), spare)
        if not any(got):
            return None
        parts = {shard: add(self.held(shard), got, -1)}
        if target is not None:
            parts[target] = add(self.held(target), got)
        return self._send(parts, owner, {shard: got})

    def rewrite(self, owner: dict[str, int]) -> Move | None:
        """Write the record again: brings a newer tree's amounts, or settles a move whose outcome is open.

        Whichever of the two writes comes second fails, since the first one changed the stamp.
        """
        earlier = self.move
        if earlier is not None and not earlier.open:
            return None
        move = self._send({}, owner, earlier.outgoing if earlier is not None else {})
        move.settles = earlier is not None
        return move

    def answered(self, move: Move, outcome: str) -> None:
        """`applied` and `failed` are certain; `open` may still be applied, minutes later.

        For `applied` the record must have been `seen` before.
        """
        if self.move is not move:
            return
        unsettled = outcome == "open" or (outcome == "failed" and move.settles)
        if (
            unsettled
            and "in_doubt" in self.guards
            and move.conditions.get(self.key, self.mod_revision) == self.mod_revision
        ):
            move.open = True  # until the record changes: then it was applied, or never can be
        else:
            self.move = None


def _amounts(part: Sequence[int]) -> Amounts:
    return (_or_unlimited(part[0]), _or_unlimited(part[1]), _or_unlimited(part[2]), _or_unlimited(part[3]))


def _or_unlimited(value: int) -> int:
    return value if value >= 0 else UNLIMITED
