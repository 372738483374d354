"""Weighted max-min division between siblings, and who gives way to whom. No I/O, no clock.

Every child first gets what it needs of its own guarantee. What is left goes to those that need more, by
weight; what one of them does not need goes to the others, and only what no child needs leaves the parent.
"""

from collections.abc import Sequence


def fill(amount: int, wants: Sequence[tuple[float, int]]) -> list[int]:
    """Divide an amount by weight: (weight, most) each; what one cannot take the others share.

    Max-min: nobody's share over weight can rise without lowering one that is no larger. Shares are whole;
    what rounding leaves goes to the first that can take it, so the sum is exact.
    """
    found = [0] * len(wants)
    open_ = sorted((i for i, (_, most) in enumerate(wants) if most > 0), key=lambda i: wants[i][1] / wants[i][0])
    left, weight = amount, sum(wants[i][0] for i in open_)
    for place, i in enumerate(open_):
        share, most = wants[i]
        if left <= 0:
            return found
        if most * weight <= left * share:
            found[i] = most
        else:
            # Nobody after this one is satisfied either: all stand at the same level.
            rest = open_[place:]
            for j in rest:
                found[j] = min(wants[j][1], int(left * wants[j][0] / weight))
            over = left - sum(found[j] for j in rest)
            for j in rest:
                more = min(over, wants[j][1] - found[j])
                found[j] += more
                over -= more
            return found
        left -= most
        weight -= share
    return found


def divide(amount: int, children: Sequence[tuple[float, int, int]]) -> list[int]:
    """Divide what a parent has between its children: (weight, guarantee, need) each, in one unit."""
    own = [min(guarantee, need) for _, guarantee, need in children]
    if sum(own) >= amount:
        return fill(amount, [(max(g, 1), n) for (_, g, _), n in zip(children, own, strict=True)])
    lent = fill(amount - sum(own), [(w, need - o) for (w, _, need), o in zip(children, own, strict=True)])
    return [o + more for o, more in zip(own, lent, strict=True)]
