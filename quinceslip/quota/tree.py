"""The tree of quota levels: tenants, groups and teams, with their caps, guarantees and weights.

No I/O, no clock. `config.py` reads the operators' file.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from quinceslip.protocol import messages as m
from quinceslip.quota.amounts import (
    NUM_RESOURCES,
    RESOURCES,
    SCALE,
    UNLIMITED,
    UNLIMITED_AMOUNTS,
    ZERO,
    Amounts,
    add,
    elementwise_min,
    task_amounts,
    times,
)

_DIGEST_CHARACTERS = 16


@dataclass(slots=True, eq=False)
class Level:
    """One node of the tree; a leaf is a team of the platform's settings."""

    name: str
    parent: str = ""
    weight: float = 1.0
    cap: Amounts = UNLIMITED_AMOUNTS
    #: amounts that this level can obtain without waiting for others; all zero if it has no guarantee
    guarantee: Amounts = ZERO
    team: bool = False
    index: int = -1
    #: indices of the levels from this one to the root
    path: tuple[int, ...] = ()
    children: list[int] = field(default_factory=list)
    #: whether any resource is capped or guaranteed; both are set by `Tree`
    capped: bool = False
    guaranteed: bool = False


class Tree:
    """The levels, parents before children. The caller has checked that they form a forest."""

    def __init__(self, levels: Iterable[Level], version: int = 0) -> None:
        self.version = version
        self.levels: list[Level] = []
        self.by_name: dict[str, Level] = {}
        self._add_all(levels)
        self._derive_amounts()
        #: the levels that are teams, by name
        self.leaves: dict[str, Level] = {level.name: level for level in self.levels if level.team}
        #: by team, the levels on its path that have a cap, and those that have a guarantee
        self.capped_levels: dict[str, tuple[int, ...]] = {}
        self.guaranteed_levels: dict[str, tuple[int, ...]] = {}
        for leaf in self.leaves.values():
            self.capped_levels[leaf.name] = tuple(index for index in leaf.path if self.levels[index].capped)
            self.guaranteed_levels[leaf.name] = tuple(index for index in leaf.path if self.levels[index].guaranteed)
        #: equal for trees with the same levels
        self.digest = self._digest()

    def _add_all(self, levels: Iterable[Level]) -> None:
        """Number the levels breadth first, and set their paths and children."""
        by_parent: dict[str, list[Level]] = {}
        for level in {level.name: level for level in levels}.values():
            by_parent.setdefault(level.parent, []).append(level)
        ready = by_parent.get("", [])
        # Bound: the number of levels; each has one parent and is queued once.
        while ready:
            level = ready.pop(0)
            self._add(level)
            ready += by_parent.get(level.name, [])

    def _add(self, level: Level) -> None:
        level.index = len(self.levels)
        self.levels.append(level)
        self.by_name[level.name] = level
        parent = self.by_name.get(level.parent)
        if parent is None:
            level.path = (level.index,)
        else:
            level.path = (level.index, *parent.path)
            parent.children.append(level.index)

    def _derive_amounts(self) -> None:
        """Set each level's flags; a level without its own guarantee gets the sum of its children's."""
        for level in reversed(self.levels):
            if not any(level.guarantee) and level.children:
                level.guarantee = self._guarantee_of_children(level)
            level.capped = min(level.cap) < UNLIMITED
            level.guaranteed = any(0 < amount < UNLIMITED for amount in level.guarantee)

    def _guarantee_of_children(self, level: Level) -> Amounts:
        total = ZERO
        for index in level.children:
            child = self.levels[index]
            if child.guaranteed:
                total = add(total, child.guarantee)
        return elementwise_min(total, UNLIMITED_AMOUNTS)

    def _digest(self) -> str:
        lines = (f"{level.name} {level.parent} {level.weight} {level.cap} {level.guarantee}" for level in self.levels)
        return hashlib.sha256("\n".join(sorted(lines)).encode()).hexdigest()[:_DIGEST_CHARACTERS]

    def path(self, team: str) -> tuple[int, ...]:
        """Return the indices from the team's level to the root; empty for a team that is not in the tree."""
        leaf = self.leaves.get(team)
        return leaf.path if leaf is not None else ()

    def diverging_levels(self, team: str, other_team: str) -> tuple[int, int] | None:
        """Return the sibling levels at which the paths of two teams diverge, from the root; one for each team.

        None if a team is not in the tree, or if both are the same.
        """
        path, other_path = self.path(team), self.path(other_team)
        if not path or not other_path or team == other_team:
            return None
        distance = 1
        # Bound: the length of the shorter path.
        while distance <= min(len(path), len(other_path)) and path[-distance] == other_path[-distance]:
            distance += 1
        return path[-distance], other_path[-distance]

    def cap_rejection_reason(self, spec: m.JobSpec) -> str | None:
        """Return a message naming the cap that a job can never fit under; None if it fits all caps.

        An array must fit with one task, a service or gang with all of its tasks (PROTOCOL, 422).
        """
        count = spec.tasks if spec.service or spec.gang else 1
        need = times(task_amounts(spec), count)
        for index in self.path(spec.team):
            level = self.levels[index]
            for resource in range(NUM_RESOURCES):
                if need[resource] > level.cap[resource]:
                    cap, requested = level.cap[resource] / SCALE[resource], need[resource] / SCALE[resource]
                    return f"over the limit of {level.name}: {RESOURCES[resource]} {requested:g}, at most {cap:g}"
        return None
