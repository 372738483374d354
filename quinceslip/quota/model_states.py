"""Canonical form of model states: states that differ only in the magnitude of their revisions are equal."""

from quinceslip.quota.allocation import Move
from quinceslip.quota.model_world import ModelController, Transaction, World
from quinceslip.quota.quota_records import GrantRecord

#: a hashable representation of a state
CanonicalState = tuple[object, ...]


def canonicalize(world: World) -> CanonicalState:
    """Return one value for all states that differ only in the magnitude of their revisions."""
    return _Canonicalizer(world).canonicalize()


class _Canonicalizer:
    """Replaces the revisions of a world by their ranks."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.rank = {revision: rank for rank, revision in enumerate(sorted(self._revisions()))}

    def _revisions(self) -> set[int]:
        world = self.world
        revisions = {0, world.revision, world.mod_revision, *world.leader_revisions, *world.terms_seen}
        for controller in world.controllers:
            revisions |= {controller.revision, controller.allocation.mod_revision}
            revisions |= {leadership.mod_revision for leadership in controller.leaderships.values()}
            if controller.allocation.move is not None:
                revisions |= set(controller.allocation.move.conditions.values())
        for transaction in world.transactions:
            revisions |= set(transaction.move.conditions.values())
        return revisions

    def canonicalize(self) -> CanonicalState:
        """Return the world with ranks in place of revisions."""
        world, rank = self.world, self.rank
        return (
            _parts(world.record),
            rank[world.mod_revision],
            rank[world.revision],
            tuple(rank[revision] for revision in world.leader_revisions),
            tuple(world.running),
            tuple(rank[term] for term in world.terms_seen),
            tuple(self._transaction(transaction) for transaction in world.transactions),
            tuple(self._controller(controller) for controller in world.controllers),
        )

    def _transaction(self, transaction: Transaction) -> CanonicalState:
        controller = self.world.controllers[transaction.controller]
        return (
            transaction.controller,
            self._move(transaction.move),
            transaction.state,
            transaction.ended,
            controller.allocation.move is transaction.move,
        )

    def _controller(self, controller: ModelController) -> CanonicalState:
        leaderships = (
            (shard, self.rank[leadership.mod_revision], leadership.used, leadership.reconciled)
            for shard, leadership in controller.leaderships.items()
        )
        return (
            _parts(controller.allocation.record),
            self.rank[controller.allocation.mod_revision],
            self.rank[controller.revision],
            self._move(controller.allocation.move),
            tuple(sorted(leaderships)),
        )

    def _move(self, move: Move | None) -> CanonicalState:
        if move is None:
            return ()
        return (
            _parts(move.record),
            tuple(sorted((key, self.rank[revision]) for key, revision in move.conditions.items())),
            tuple(sorted((shard, amounts[0]) for shard, amounts in move.outgoing.items())),
            move.indeterminate,
            move.resolves_earlier,
        )


def _parts(record: GrantRecord | None) -> CanonicalState:
    return () if record is None else tuple((shard, part[0]) for shard, part in sorted(record.parts.items()))
