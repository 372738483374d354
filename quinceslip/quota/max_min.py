"""Weighted max-min division between siblings. No I/O, no clock.

Every child first gets what it needs of its own guarantee. What is left goes to those that need more, by
weight; what one of them does not need goes to the others, and only what no child needs leaves the parent.
"""

from collections.abc import Sequence
from typing import NamedTuple


class Claim(NamedTuple):
    """What one child wants of its parent's amount, in one unit."""

    weight: float
    guarantee: int
    need: int


def divide_by_weight(amount: int, wants: Sequence[tuple[float, int]]) -> list[int]:
    """Divide an amount by weight: (weight, most) each; what one cannot take the others share.

    Max-min: nobody's share over weight can rise without lowering one that is no larger. Shares are whole;
    what rounding leaves goes to the first that can take it, so the sum is exact.
    """
    shares = [0] * len(wants)
    # Satisfied first are those that want least for their weight.
    unsatisfied = sorted(
        (index for index, (_, most) in enumerate(wants) if most > 0),
        key=lambda index: wants[index][1] / wants[index][0],
    )
    left = amount
    weight_left = sum(wants[index][0] for index in unsatisfied)
    for place, index in enumerate(unsatisfied):
        weight, most = wants[index]
        if left <= 0:
            return shares
        if most * weight_left > left * weight:
            # Nobody after this one is satisfied either: all stand at the same level.
            _split_by_weight(left, weight_left, unsatisfied[place:], wants, shares)
            return shares
        shares[index] = most
        left -= most
        weight_left -= weight
    return shares


def _split_by_weight(
    amount: int, total_weight: float, indices: Sequence[int], wants: Sequence[tuple[float, int]], shares: list[int]
) -> None:
    """Set the shares of children of which none gets all it wants."""
    for index in indices:
        weight, most = wants[index]
        shares[index] = min(most, int(amount * weight / total_weight))
    rounding = amount - sum(shares[index] for index in indices)
    for index in indices:
        more = min(rounding, wants[index][1] - shares[index])
        shares[index] += more
        rounding -= more


def divide(amount: int, claims: Sequence[tuple[float, int, int]]) -> list[int]:
    """Divide what a parent has between its children, each with a `Claim`: (weight, guarantee, need)."""
    guaranteed = [min(guarantee, need) for _, guarantee, need in claims]
    if sum(guaranteed) >= amount:
        wants = [(max(guarantee, 1), own) for (_, guarantee, _), own in zip(claims, guaranteed, strict=True)]
        return divide_by_weight(amount, wants)
    beyond = [(weight, need - own) for (weight, _, need), own in zip(claims, guaranteed, strict=True)]
    borrowed = divide_by_weight(amount - sum(guaranteed), beyond)
    return [own + more for own, more in zip(guaranteed, borrowed, strict=True)]
