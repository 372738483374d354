"""Amounts of resources and their arithmetic. No I/O, no clock.

Amounts are integers: thousandths of CPUs, GPUs and GB, and whole tasks. Sums over thousands of tasks are therefore
exact; with floats, rounding errors would let a level exceed its cap.
"""

from collections.abc import Iterable, Sequence
from math import ceil

from quinceslip.protocol import messages as m

RESOURCES = ("cpus", "gpus", "memory_gb", "tasks")
#: integer units per unit in the operators' file, by resource
SCALE = (1000, 1000, 1000, 1)
#: number of resources in an amount
NUM_RESOURCES = len(RESOURCES)
#: no cap, or a resource that the guarantee does not limit
UNLIMITED = 1 << 60
#: CPUs, GPUs, memory, tasks
Amounts = tuple[int, int, int, int]
ZERO: Amounts = (0, 0, 0, 0)
#: no bound on any resource
UNLIMITED_AMOUNTS: Amounts = (UNLIMITED, UNLIMITED, UNLIMITED, UNLIMITED)
#: tolerance for rounding errors in decimal input: 0.1 + 0.2 counts as 0.3
ROUNDING = 1e-6


def task_amounts(spec: m.JobSpec) -> Amounts:
    """Return the amounts that one task of a job uses, rounded up so that usage is never undercounted."""
    return (
        ceil(spec.cpus * 1000 - ROUNDING),
        ceil(spec.gpus * 1000 - ROUNDING),
        ceil(spec.memory_gb * 1000 - ROUNDING),
        1,
    )


def add(a: Sequence[int], b: Sequence[int], factor: int = 1) -> Amounts:
    """Return `a` plus `factor` times `b`."""
    return (a[0] + b[0] * factor, a[1] + b[1] * factor, a[2] + b[2] * factor, a[3] + b[3] * factor)


def subtract(a: Sequence[int], b: Sequence[int]) -> Amounts:
    """Return `a` minus `b`; the result may be negative in some resources."""
    return (a[0] - b[0], a[1] - b[1], a[2] - b[2], a[3] - b[3])


def times(a: Sequence[int], count: int) -> Amounts:
    """Return `a` multiplied by `count`."""
    return (a[0] * count, a[1] * count, a[2] * count, a[3] * count)


def elementwise_min(a: Sequence[int], b: Sequence[int]) -> Amounts:
    """Return the element-wise minimum of `a` and `b`."""
    return (min(a[0], b[0]), min(a[1], b[1]), min(a[2], b[2]), min(a[3], b[3]))


def positive_part(a: Sequence[int]) -> Amounts:
    """Return `a` with negative values replaced by 0."""
    return (max(a[0], 0), max(a[1], 0), max(a[2], 0), max(a[3], 0))


def within(a: Sequence[int], b: Sequence[int]) -> bool:
    """Return whether `a` is at most `b` in every resource."""
    return a[0] <= b[0] and a[1] <= b[1] and a[2] <= b[2] and a[3] <= b[3]


def in_operator_units(amounts: Sequence[int]) -> dict[str, float]:
    """Return amounts by resource name in the units of the operators' file, without unlimited resources."""
    return {
        name: value / scale for name, value, scale in zip(RESOURCES, amounts, SCALE, strict=True) if value < UNLIMITED
    }


def amounts_of(values: Sequence[int]) -> Amounts:
    """Convert a sequence of four numbers, such as a list in a stored record, to amounts."""
    return (values[0], values[1], values[2], values[3])


def accumulate(totals: dict[int, Amounts], levels: Iterable[int], amounts: Amounts, factor: int = 1) -> None:
    """Add `factor` times the amounts to the total of each level; totals that become zero are removed."""
    for level in levels:
        total = add(totals.get(level, ZERO), amounts, factor)
        if any(total):
            totals[level] = total
        else:
            totals.pop(level, None)
