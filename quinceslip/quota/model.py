"""Exhaustive exploration of the allocation protocol to a given depth, with the service's own code.

The property checked: the number of running tasks never exceeds the allocation's total. `model_world.py` describes which
parts are the real code and which are modelled.
"""

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from quinceslip.quota.allocation import ALL_GUARDS
from quinceslip.quota.model_states import CanonicalState, canonicalize
from quinceslip.quota.model_world import Step, StepKind, World

#: every kind of step
STEPS = tuple(StepKind)


@dataclass(slots=True)
class Result:
    """What an exploration found."""

    states: int
    depth: int
    #: every state within the depth was explored
    complete: bool
    #: the steps to the first breach; empty if none was found
    breach: list[str]


class _Origin(NamedTuple):
    """How a state was first reached."""

    predecessor: CanonicalState
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
    """Explore states breadth first, so that a breach is reported with its shortest history.

    Starts from two initial states: nothing granted, and everything granted to one shard. `only` restricts the kinds of
    steps, which allows a greater depth; `without` disables a guard.
    """
    guards = ALL_GUARDS - {without}
    initial_worlds = [World(shards, controllers, total, guards), World(shards, controllers, total, guards).grant_all()]
    origins: dict[CanonicalState, _Origin | None] = {canonicalize(initial): None for initial in initial_worlds}
    queue = deque([(initial, canonicalize(initial), 0) for initial in initial_worlds])
    reached_depth = 0
    # Bound: the number of states within `depth`; each is queued once.
    while queue:
        world, state, reached_depth = queue.popleft()
        if reached_depth == depth:
            continue
        for step in [step for step in world.steps() if not only or step.kind in only]:
            successor = world.copy()
            successor.apply(step)
            successor_state = canonicalize(successor)
            if successor_state in origins:
                continue
            origins[successor_state] = _Origin(state, step)
            if sum(successor.running) > total:
                return Result(len(origins), reached_depth + 1, False, _history(origins, successor_state))
            if most_states and len(origins) >= most_states:
                return Result(len(origins), reached_depth, False, [])
            queue.append((successor, successor_state, reached_depth + 1))
    return Result(len(origins), reached_depth, True, [])


def _history(origins: dict[CanonicalState, _Origin | None], state: CanonicalState) -> list[str]:
    """Return the steps that lead to a state, first to last."""
    steps: list[str] = []
    origin = origins[state]
    # Bound: the depth of the state; every origin is one step closer to an initial state.
    while origin is not None:
        steps.append(str(origin.step))
        origin = origins[origin.predecessor]
    return steps[::-1]
