"""Weighted max-min division between siblings. No I/O, no clock.

Every child first gets what it needs of its own guarantee. What is left goes by weight to those that need more;
what one of them does not need goes to the others, and only what no child needs stays with the parent.
"""

from collections.abc import Sequence
from typing import NamedTuple


class Claim(NamedTuple):
    """What one child wants of its parent's amount; all claims have the same unit."""

    weight: float
    guarantee: int
    need: int


def divide_by_weight(amount: int, wants: Sequence[tuple[float, int]]) -> list[int]:
    """Divide an amount by weight between `wants` of (weight, maximum share); the others share what one cannot take.

    Weighted max-min fair: no share over its weight can rise without lowering another one that is no larger. Shares are
    integers; what rounding leaves goes to the first that can take it, so the sum is exact.
    """
    shares = [0] * len(wants)
    # Those that want least for their weight are satisfied first.
    unsatisfied = sorted(
        (index for index, (_, max_share) in enumerate(wants) if max_share > 0),
        key=lambda index: wants[index][1] / wants[index][0],
    )
    left = amount
    weight_left = sum(wants[index][0] for index in unsatisfied)
    for position, index in enumerate(unsatisfied):
        weight, max_share = wants[index]
        if left <= 0:
            return shares
        if max_share * weight_left > left * weight:
            # None of the remaining ones can be satisfied either: all get the same share for their weight.
            _split_by_weight(left, weight_left, unsatisfied[position:], wants, shares)
            return shares
        shares[index] = max_share
        left -= max_share
        weight_left -= weight
    return shares


def _split_by_weight(
    amount: int, total_weight: float, indices: Sequence[int], wants: Sequence[tuple[float, int]], shares: list[int]
) -> None:
    """Set the shares of children none of which gets all it wants."""
    for index in indices:
        weight, max_share = wants[index]
        shares[index] = min(max_share, int(amount * weight / total_weight))
    remainder = amount - sum(shares[index] for index in indices)
    for index in indices:
        more = min(remainder, wants[index][1] - shares[index])
        shares[index] += more
        remainder -= more


def divide(amount: int, claims: Sequence[tuple[float, int, int]]) -> list[int]:
    """Divide a parent's amount between its children, each with a `Claim`: (weight, guarantee, need)."""
    guaranteed = [min(guarantee, need) for _, guarantee, need in claims]
    if sum(guaranteed) >= amount:
        wants = [(max(guarantee, 1), base) for (_, guarantee, _), base in zip(claims, guaranteed, strict=True)]
        return divide_by_weight(amount, wants)
    beyond = [(weight, need - base) for (weight, _, need), base in zip(claims, guaranteed, strict=True)]
    borrowed = divide_by_weight(amount - sum(guaranteed), beyond)
    return [base + extra for base, extra in zip(guaranteed, borrowed, strict=True)]
