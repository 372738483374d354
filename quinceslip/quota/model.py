"""Explores the protocol of allocations exhaustively, to a stated depth, with the service's own transitions.

The property: the tasks that are on machines never exceed the allocation's total. What is real and what is modelled is
said in `model_world.py`.
"""

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from quinceslip.quota.allocation import ALL_GUARDS
from quinceslip.quota.model_states import Frozen, freeze
from quinceslip.quota.model_world import Step, StepKind, World

#: every kind of step
STEPS = tuple(StepKind)


@dataclass(slots=True)
class Result:
    """What an exploration found."""

    states: int
    depth: int
    #: every state within the depth was looked at
    whole: bool
    #: the steps to the first breach; empty: none was found
    breach: list[str]


class _Origin(NamedTuple):
    """How a state was reached first."""

    before: Frozen
    step: Step


def explore(
    depth: int,
    shards: int = 2,
    controllers: int = 2,
    total: int = 1,
    without: str = "",
    most_states: int = 0,
    only: frozenset[str] = frozenset(),
) -> Result:
    """Breadth first, so that a breach comes with its shortest history.

    Begins with nothing granted and with everything granted to one shard, at once. `only` leaves other
    kinds of steps out, which reaches deeper; `without` leaves a guard out.
    """
    guards = ALL_GUARDS - {without}
    firsts = [World(shards, controllers, total, guards), World(shards, controllers, total, guards).grant_all()]
    origins: dict[Frozen, _Origin | None] = {freeze(first): None for first in firsts}
    queue = deque([(first, freeze(first), 0) for first in firsts])
    reached = 0
    # Bound: the states within `depth`; each is queued once.
    while queue:
        world, name, reached = queue.popleft()
        if reached == depth:
            continue
        for step in [step for step in world.steps() if not only or step.kind in only]:
            after = world.copy()
            after.act(step)
            frozen = freeze(after)
            if frozen in origins:
                continue
            origins[frozen] = _Origin(name, step)
            if sum(after.running) > total:
                return Result(len(origins), reached + 1, False, _history(origins, frozen))
            if most_states and len(origins) >= most_states:
                return Result(len(origins), reached, False, [])
            queue.append((after, frozen, reached + 1))
    return Result(len(origins), reached, True, [])


def _history(origins: dict[Frozen, _Origin | None], last: Frozen) -> list[str]:
    """The steps that lead to a state, first to last."""
    steps: list[str] = []
    origin = origins[last]
    # Bound: the depth of the state; every origin is one step nearer to the first state.
    while origin is not None:
        steps.append(str(origin.step))
        origin = origins[origin.before]
    return steps[::-1]
