"""Breadth-first search of the states that histories up to a stated length lead to."""

from collections import deque

from quinceslip.coordination.shard_state.state import ALL_GUARDS
from quinceslip.models.result import Breach, SearchResult, Step, check_guard
from quinceslip.models.takeover.enabled_steps import enabled_steps
from quinceslip.models.takeover.recovery import check_recovery
from quinceslip.models.takeover.state_key import state_key
from quinceslip.models.takeover.steps import perform
from quinceslip.models.takeover.world import CONDITIONAL_WRITES, World

#: safety checks that can be left out: those of the shard's state, and that a write is conditional
GUARDS = ALL_GUARDS | {CONDITIONAL_WRITES}

History = tuple[Step, ...]


def explore(
    depth: int,
    workers: int = 2,
    tasks: int = 1,
    without: str = "",
    most_states: int = 0,
    only: frozenset[str] = frozenset(),
    after: History = (),
) -> SearchResult:
    """Breadth first, so that the history of a breach is a shortest one beyond `after`.

    `depth` counts the steps from there. `most_states` (0: none) ends the search; `only` leaves other kinds of steps
    out. Raises ValueError for a safety check `without` that does not exist.
    """
    check_guard(without, GUARDS)
    search = _Search(workers, tasks, GUARDS - {without}, only)
    return search.run(after, len(after) + depth, most_states)


class _Search:
    """The states found so far."""

    def __init__(self, workers: int, tasks: int, guards: frozenset[str], only: frozenset[str]) -> None:
        """A search in which steps of the kinds `only` happen (empty: of all kinds)."""
        self._workers, self._tasks = workers, tasks
        self._guards = guards
        self._only = only
        self._seen: set[tuple[object, ...]] = set()

    def run(self, start: History, max_length: int, max_states: int) -> SearchResult:
        """Extend `start` to histories of at most `max_length` steps; 0 states: without limit."""
        self._seen.add(state_key(self._play(start)))
        unexplored = deque([start])
        reached = 0
        # Bound: each history leads to a state that was new, and none is longer than `max_length`.
        while unexplored:
            history = unexplored.popleft()
            if len(history) >= max_length:
                continue
            for longer in self._extensions(history):
                try:
                    is_new = self._visit(longer)
                except Breach as breach:
                    return SearchResult(len(self._seen), len(longer), str(breach), list(longer))
                if not is_new:
                    continue
                reached = len(longer)
                unexplored.append(longer)
                if max_states and len(self._seen) >= max_states:
                    return SearchResult(len(self._seen), reached)
        return SearchResult(len(self._seen), reached)

    def _play(self, history: History) -> World:
        """The state that a history leads to."""
        world = World(self._workers, self._tasks, self._guards)
        for step in history:
            perform(world, step)
        return world

    def _extensions(self, history: History) -> list[History]:
        steps = enabled_steps(self._play(history))
        return [(*history, step) for step in steps if not self._only or step.kind in self._only]

    def _visit(self, history: History) -> bool:
        """Whether the state that a history leads to is new; raises Breach where a property does not hold in it."""
        world = self._play(history)
        key = state_key(world)
        if key in self._seen:
            return False
        self._seen.add(key)
        check_recovery(world)
        return True
