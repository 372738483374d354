"""Tells states of the model of allocations apart: one value for all that differ only in how large revisions are."""

from quinceslip.quota.allocation import Move
from quinceslip.quota.model_world import ModelController, Transaction, World
from quinceslip.quota.quota_records import GrantRecord

#: a state in a form that can be compared and hashed
Frozen = tuple[object, ...]


def freeze(world: World) -> Frozen:
    """One value for all states that differ only in how large their revisions are."""
    return _Freezer(world).freeze()


class _Freezer:
    """Replaces the revisions of a world by their places in order."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.place = {revision: place for place, revision in enumerate(sorted(self._revisions()))}

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

    def freeze(self) -> Frozen:
        """The world with places for revisions."""
        world, place = self.world, self.place
        return (
            _parts(world.record),
            place[world.mod_revision],
            place[world.revision],
            tuple(place[revision] for revision in world.leader_revisions),
            tuple(world.running),
            tuple(place[term] for term in world.terms_seen),
            tuple(self._transaction(transaction) for transaction in world.transactions),
            tuple(self._controller(controller) for controller in world.controllers),
        )

    def _transaction(self, transaction: Transaction) -> Frozen:
        controller = self.world.controllers[transaction.controller]
        return (
            transaction.controller,
            self._move(transaction.move),
            transaction.state,
            transaction.ended,
            controller.allocation.move is transaction.move,
        )

    def _controller(self, controller: ModelController) -> Frozen:
        leaderships = (
            (shard, self.place[leadership.mod_revision], leadership.used, leadership.reconciled)
            for shard, leadership in controller.leaderships.items()
        )
        return (
            _parts(controller.allocation.record),
            self.place[controller.allocation.mod_revision],
            self.place[controller.revision],
            self._move(controller.allocation.move),
            tuple(sorted(leaderships)),
        )

    def _move(self, move: Move | None) -> Frozen:
        if move is None:
            return ()
        return (
            _parts(move.record),
            tuple(sorted((key, self.place[revision]) for key, revision in move.conditions.items())),
            tuple(sorted((shard, amounts[0]) for shard, amounts in move.outgoing.items())),
            move.indeterminate,
            move.resolves_earlier,
        )


def _parts(record: GrantRecord | None) -> Frozen:
    return () if record is None else tuple((shard, part[0]) for shard, part in sorted(record.parts.items()))
