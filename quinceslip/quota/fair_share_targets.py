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

#: shares are compared in parts of what a parent has
WHOLE_SHARE = 1 << 30


@dataclass(slots=True)
class FairShareTargets:
    """One division of what the machines have between the levels with waiting work."""

    usage: UsageMeter
    capacity: Amounts
    #: by team, what its waiting tasks need
    waiting: Mapping[str, Amounts]

    def by_level(self) -> dict[int, Amounts]:
        """The target of each level with waiting work: its usage so far, and a fair share of what is left."""
        need = self._need_by_level()
        targets: dict[int, Amounts] = {}
        tops = [level for level in need if not self.usage.tree.levels[level].parent]
        self._divide(tops, self.capacity, ZERO, need, targets)
        return targets

    def _need_by_level(self) -> dict[int, Amounts]:
        """What each level uses and wants to use beyond it, as far as the limits beneath it and its own allow."""
        need: dict[int, Amounts] = {}
        for team, amounts in self.waiting.items():
            accumulate(need, self.usage.tree.path(team), amounts)
        # Children come after their parents: what a child's own limit keeps from it is no need of its parent.
        for level in sorted(need, reverse=True):
            total = self.usage.usage.get(level, ZERO)
            children = self._children_in(level, need)
            for child in children:
                total = subtract(add(total, need[child]), self.usage.usage.get(child, ZERO))
            if not children:
                total = add(total, need[level])
            need[level] = _shrink(total, self.usage.limit_here(level))
        return need

    def _children_in(self, level: int, need: Mapping[int, Amounts]) -> list[int]:
        return [child for child in self.usage.tree.levels[level].children if child in need]

    def _divide(
        self,
        siblings: list[int],
        capacity: Amounts,
        taken: Amounts,
        need: dict[int, Amounts],
        targets: dict[int, Amounts],
    ) -> None:
        """Divide a parent's capacity, less what others beneath it use, between the siblings that want more.

        Bound: as deep as the tree, which its settings limit (`level_checks.MAX_TREE_DEPTH`).
        """
        room = positive_part(subtract(capacity, taken))
        claims = [self._claim(level, need[level], room) for level in siblings]
        for level, share, claim in zip(siblings, divide(WHOLE_SHARE, claims), claims, strict=True):
            targets[level] = _scale(need[level], share, claim.need) if share < claim.need else need[level]
            children = self._children_in(level, need)
            if children:
                used = self.usage.usage.get(level, ZERO)
                for child in children:
                    used = subtract(used, self.usage.usage.get(child, ZERO))
                limit = elementwise_min(_unbounded_where(targets[level], capacity), self.usage.limit_here(level))
                self._divide(children, limit, used, need, targets)

    def _claim(self, level: int, need: Amounts, room: Amounts) -> Claim:
        weight = self.usage.tree.levels[level].weight
        return Claim(weight, largest_share(self.usage.guaranteed_here(level), room), largest_share(need, room))


def largest_share(amounts: Sequence[int], whole: Sequence[int]) -> int:
    """The largest share that an amount takes of another in any resource, in parts of WHOLE_SHARE."""
    shares = [
        amounts[kind] * WHOLE_SHARE // max(whole[kind], 1)
        for kind in range(NUM_RESOURCES)
        if whole[kind] < UNLIMITED and amounts[kind] < UNLIMITED
    ]
    return max(shares, default=0)


def _unbounded_where(target: Amounts, capacity: Amounts) -> Amounts:
    """A target without a bound where nothing bounds its parent: there, no share is too large."""
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


def _shrink(amounts: Amounts, limit: Amounts) -> Amounts:
    """As much of an amount as fits into a limit, all resources in proportion."""
    if within(amounts, limit):
        return amounts
    exceeded = [(amount, bound) for amount, bound in zip(amounts, limit, strict=True) if amount > bound]
    whole, part = min(exceeded, key=lambda pair: pair[1] / pair[0])
    return _scale(amounts, part, whole)
