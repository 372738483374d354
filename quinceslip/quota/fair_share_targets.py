"""Divides the capacity of a shard down the tree: what each level should use after a fair-share round."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from quinceslip.quota.amounts import (
    NUM_RESOURCES,
    UNLIMITED,
    ZERO,
    Amounts,
    accumulate,
    add,
    amounts_of,
    elementwise_min,
    positive_part,
    subtract,
    within,
)
from quinceslip.quota.max_min import Claim, divide
from quinceslip.quota.usage import UsageMeter

#: shares are integers in units of 1 / SHARE_SCALE of what a parent has
SHARE_SCALE = 1 << 30


@dataclass(slots=True)
class FairShareTargets:
    """One division of the machines' capacity between the levels with waiting tasks."""

    usage: UsageMeter
    capacity: Amounts
    #: by team: what its waiting tasks need
    waiting: Mapping[str, Amounts]

    def by_level(self) -> dict[int, Amounts]:
        """The target of each level with waiting tasks: its usage so far plus a fair share of what is left."""
        need = self._need_by_level()
        targets: dict[int, Amounts] = {}
        roots = [level for level in need if not self.usage.tree.levels[level].parent]
        self._divide(roots, self.capacity, ZERO, need, targets)
        return targets

    def _need_by_level(self) -> dict[int, Amounts]:
        """What each level uses and wants to use in addition, within its own limits and those beneath it."""
        need: dict[int, Amounts] = {}
        for team, amounts in self.waiting.items():
            accumulate(need, self.usage.tree.path(team), amounts)
        # Children come after their parents in the order of levels. A parent's need leaves out what a child's own limit
        # keeps from the child.
        for level in sorted(need, reverse=True):
            total = self.usage.usage.get(level, ZERO)
            children = self._children_in(level, need)
            for child in children:
                total = subtract(add(total, need[child]), self.usage.usage.get(child, ZERO))
            if not children:
                total = add(total, need[level])
            need[level] = _scale_to_fit(total, self.usage.shard_limit(level))
        return need

    def _children_in(self, level: int, need: Mapping[int, Amounts]) -> list[int]:
        return [child for child in self.usage.tree.levels[level].children if child in need]

    def _divide(
        self,
        siblings: list[int],
        capacity: Amounts,
        used_by_others: Amounts,
        need: dict[int, Amounts],
        targets: dict[int, Amounts],
    ) -> None:
        """Divide a parent's capacity, less what its other children use, between the siblings that want more.

        Bound: the depth of the tree, which is limited (`level_checks.MAX_TREE_DEPTH`).
        """
        room = positive_part(subtract(capacity, used_by_others))
        claims = [self._claim(level, need[level], room) for level in siblings]
        for level, share, claim in zip(siblings, divide(SHARE_SCALE, claims), claims, strict=True):
            targets[level] = _scale(need[level], share, claim.need) if share < claim.need else need[level]
            children = self._children_in(level, need)
            if children:
                used_by_other_children = self.usage.usage.get(level, ZERO)
                for child in children:
                    used_by_other_children = subtract(used_by_other_children, self.usage.usage.get(child, ZERO))
                limit = elementwise_min(
                    _unbounded_like_capacity(targets[level], capacity), self.usage.shard_limit(level)
                )
                self._divide(children, limit, used_by_other_children, need, targets)

    def _claim(self, level: int, need: Amounts, room: Amounts) -> Claim:
        weight = self.usage.tree.levels[level].weight
        return Claim(weight, largest_share(self.usage.shard_guarantee(level), room), largest_share(need, room))


def largest_share(amounts: Sequence[int], whole: Sequence[int]) -> int:
    """The largest share over all limited resources that `amounts` takes of `whole`, in units of 1 / SHARE_SCALE."""
    shares = [
        amounts[kind] * SHARE_SCALE // max(whole[kind], 1)
        for kind in range(NUM_RESOURCES)
        if whole[kind] < UNLIMITED and amounts[kind] < UNLIMITED
    ]
    return max(shares, default=0)


def _unbounded_like_capacity(target: Amounts, capacity: Amounts) -> Amounts:
    """The target, but unlimited in each resource where the parent's capacity is: there, no share is too large."""
    return amounts_of(
        [part if whole < UNLIMITED else whole for part, whole in zip(target, capacity, strict=True)],
    )


def _scale(amounts: Amounts, part: int, whole: int) -> Amounts:
    """`part / whole` of an amount, rounded up."""
    return (
        -(-amounts[0] * part // whole),
        -(-amounts[1] * part // whole),
        -(-amounts[2] * part // whole),
        -(-amounts[3] * part // whole),
    )


def _scale_to_fit(amounts: Amounts, limit: Amounts) -> Amounts:
    """Scale an amount down, all resources in proportion, until it fits into a limit."""
    if within(amounts, limit):
        return amounts
    exceeded = [(amount, bound) for amount, bound in zip(amounts, limit, strict=True) if amount > bound]
    whole, part = min(exceeded, key=lambda pair: pair[1] / pair[0])
    return _scale(amounts, part, whole)
