"""Amounts of resources and their arithmetic. No I/O, no clock.

Amounts are whole thousandths of CPUs, GPUs and GB, and whole tasks, so that sums over thousands of tasks
are exact: floats would let a level exceed its cap by what they round.
"""

from collections.abc import Iterable, Sequence
from math import ceil

from quinceslip.protocol import messages as m

RESOURCES = ("cpus", "gpus", "memory_gb", "tasks")
#: how many units of an amount make one of what operators write
SCALE = (1000, 1000, 1000, 1)
#: number of resources in an amount
NUM_RESOURCES = len(RESOURCES)
#: no cap, or a resource that a guarantee does not speak of
UNLIMITED = 1 << 60
#: CPUs, GPUs, memory, tasks
Amounts = tuple[int, int, int, int]
ZERO: Amounts = (0, 0, 0, 0)
#: as amounts, each resource without a bound
UNLIMITED_AMOUNTS: Amounts = (UNLIMITED, UNLIMITED, UNLIMITED, UNLIMITED)
#: rounding of decimal input: 0.1 + 0.2 is still 0.3
ROUNDING = 1e-6


def task_amounts(spec: m.JobSpec) -> Amounts:
    """What one task of a job takes; rounded up, so that what is counted is never less than what is used."""
    return (
        ceil(spec.cpus * 1000 - ROUNDING),
        ceil(spec.gpus * 1000 - ROUNDING),
        ceil(spec.memory_gb * 1000 - ROUNDING),
        1,
    )


def add(a: Sequence[int], b: Sequence[int], factor: int = 1) -> Amounts:
    """`a` and `factor` times `b`."""
    return (a[0] + b[0] * factor, a[1] + b[1] * factor, a[2] + b[2] * factor, a[3] + b[3] * factor)


def subtract(a: Sequence[int], b: Sequence[int]) -> Amounts:
    """`a` less `b`; resources may become negative."""
    return (a[0] - b[0], a[1] - b[1], a[2] - b[2], a[3] - b[3])


def times(a: Sequence[int], count: int) -> Amounts:
    """The amounts of `count` tasks that need `a` each."""
    return (a[0] * count, a[1] * count, a[2] * count, a[3] * count)


def elementwise_min(a: Sequence[int], b: Sequence[int]) -> Amounts:
    """The smaller of the two in each resource."""
    return (min(a[0], b[0]), min(a[1], b[1]), min(a[2], b[2]), min(a[3], b[3]))


def positive_part(a: Sequence[int]) -> Amounts:
    """`a` with nothing in place of what is negative."""
    return (max(a[0], 0), max(a[1], 0), max(a[2], 0), max(a[3], 0))


def within(a: Sequence[int], b: Sequence[int]) -> bool:
    """Whether `a` fits into `b` in every resource."""
    return a[0] <= b[0] and a[1] <= b[1] and a[2] <= b[2] and a[3] <= b[3]


def shown(amounts: Sequence[int]) -> dict[str, float]:
    """An amount as operators write it; what is unlimited is left out."""
    return {
        name: value / scale for name, value, scale in zip(RESOURCES, amounts, SCALE, strict=True) if value < UNLIMITED
    }


def amounts_of(values: Sequence[int]) -> Amounts:
    """A sequence of four numbers, such as the list of a record, as amounts."""
    return (values[0], values[1], values[2], values[3])


def accumulate(totals: dict[int, Amounts], levels: Iterable[int], amounts: Amounts, factor: int = 1) -> None:
    """Add `factor` times the amounts to the total of each level; a total of nothing has no entry."""
    for level in levels:
        total = add(totals.get(level, ZERO), amounts, factor)
        if any(total):
            totals[level] = total
        else:
            totals.pop(level, None)
