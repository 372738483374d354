"""Breadth-first search of the states reachable by histories up to a given length."""

from collections import deque

from quinceslip.coordination.shard_state.state import ALL_GUARDS
from quinceslip.models.result import Breach, SearchResult, Step, check_guard
from quinceslip.models.takeover.enabled_steps import enabled_steps
from quinceslip.models.takeover.recovery import check_recovery
from quinceslip.models.takeover.state_key import state_key
from quinceslip.models.takeover.steps import perform
from quinceslip.models.takeover.world import CONDITIONAL_WRITES, World

#: safety checks that can be disabled: those of the shard's state, and the conditions of writes
GUARDS = ALL_GUARDS | {CONDITIONAL_WRITES}

History = tuple[Step, ...]


def explore(
    depth: int,
    workers: int = 2,
    tasks: int = 1,
    without: str = "",
    max_states: int = 0,
    allowed_kinds: frozenset[str] = frozenset(),
    prefix: History = (),
) -> SearchResult:
    """Explore breadth first, so that the history of a breach is a shortest one that begins with `prefix`.

    `depth` counts the steps after `prefix`. The search ends at `max_states` states (0: no limit) and takes only steps
    of `allowed_kinds` (empty: all kinds). Raises ValueError if `without` names no safety check.
    """
    check_guard(without, GUARDS)
    search = _Search(workers, tasks, GUARDS - {without}, allowed_kinds)
    return search.run(prefix, len(prefix) + depth, max_states)


class _Search:
    """A search in progress, with the keys of the states visited so far."""

    def __init__(self, workers: int, tasks: int, guards: frozenset[str], allowed_kinds: frozenset[str]) -> None:
        """Create a search that takes only steps of `allowed_kinds` (empty: all kinds)."""
        self._workers, self._tasks = workers, tasks
        self._guards = guards
        self._allowed_kinds = allowed_kinds
        self._visited: set[tuple[object, ...]] = set()

    def run(self, prefix: History, max_length: int, max_states: int) -> SearchResult:
        """Explore extensions of `prefix` up to `max_length` steps and `max_states` states (0: no limit)."""
        self._visited.add(state_key(self._replay(prefix)))
        unexplored = deque([prefix])
        depth_reached = 0
        # Bound: each queued history led to a new state, and none is longer than `max_length`.
        while unexplored:
            history = unexplored.popleft()
            if len(history) >= max_length:
                continue
            for extended in self._extensions(history):
                try:
                    is_new = self._visit(extended)
                except Breach as breach:
                    return SearchResult(len(self._visited), len(extended), str(breach), list(extended))
                if not is_new:
                    continue
                depth_reached = len(extended)
                unexplored.append(extended)
                if max_states and len(self._visited) >= max_states:
                    return SearchResult(len(self._visited), depth_reached)
        return SearchResult(len(self._visited), depth_reached)

    def _replay(self, history: History) -> World:
        """Return the state that a history leads to."""
        world = World(self._workers, self._tasks, self._guards)
        for step in history:
            perform(world, step)
        return world

    def _extensions(self, history: History) -> list[History]:
        steps = enabled_steps(self._replay(history))
        return [(*history, step) for step in steps if not self._allowed_kinds or step.kind in self._allowed_kinds]

    def _visit(self, history: History) -> bool:
        """Check the state that a history leads to, and return whether it is new; raises Breach if a property fails."""
        world = self._replay(history)
        key = state_key(world)
        if key in self._visited:
            return False
        self._visited.add(key)
        check_recovery(world)
        return True
