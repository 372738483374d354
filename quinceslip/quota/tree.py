"""The tree of quota levels: tenants, their groups and their teams, with caps, guarantees and weights.

No I/O, no clock. The operators' file is read by `config.py`.
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
    """One place in the tree; a leaf is a team of the platform's settings."""

    name: str
    parent: str = ""
    weight: float = 1.0
    cap: Amounts = UNLIMITED_AMOUNTS
    #: what this level need not wait for others to get; all zero: nothing
    guarantee: Amounts = ZERO
    team: bool = False
    index: int = -1
    #: from this level to the root, as indices
    path: tuple[int, ...] = ()
    children: list[int] = field(default_factory=list)
    #: whether any resource is capped, or guaranteed; the tree sets both
    capped: bool = False
    guaranteed: bool = False


class Tree:
    """Checked levels, parents before children. The caller has made sure that it is a forest."""

    def __init__(self, levels: Iterable[Level], version: int = 0) -> None:
        self.version = version
        self.levels: list[Level] = []
        self.by_name: dict[str, Level] = {}
        self._add_all(levels)
        self._derive_amounts()
        #: the levels that are teams, by name
        self.leaves: dict[str, Level] = {level.name: level for level in self.levels if level.team}
        #: by team, the levels of its path that have a cap, and those that have a guarantee
        self.capped_levels: dict[str, tuple[int, ...]] = {}
        self.guaranteed_levels: dict[str, tuple[int, ...]] = {}
        for leaf in self.leaves.values():
            self.capped_levels[leaf.name] = tuple(index for index in leaf.path if self.levels[index].capped)
            self.guaranteed_levels[leaf.name] = tuple(index for index in leaf.path if self.levels[index].guaranteed)
        #: the same for trees with the same levels
        self.digest = self._digest()

    def _add_all(self, levels: Iterable[Level]) -> None:
        """Number the levels breadth first, and tell each its path and its children."""
        by_parent: dict[str, list[Level]] = {}
        for level in {level.name: level for level in levels}.values():
            by_parent.setdefault(level.parent, []).append(level)
        ready = by_parent.get("", [])
        # Bound: the levels; each is beneath one other and comes up once.
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
        """A level that states no guarantee has what its children have together."""
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
        lines = (f"{v.name} {v.parent} {v.weight} {v.cap} {v.guarantee}" for v in self.levels)
        return hashlib.sha256("\n".join(sorted(lines)).encode()).hexdigest()[:_DIGEST_CHARACTERS]

    def path(self, team: str) -> tuple[int, ...]:
        """The team's own level and those above it, leaf first; empty for a team that is not in the tree."""
        leaf = self.leaves.get(team)
        return leaf.path if leaf is not None else ()

    def diverging_levels(self, one: str, other: str) -> tuple[int, int] | None:
        """Where the paths of two teams part: the level on either side, siblings of each other.

        None where a team is not in the tree, or both are the same.
        """
        path, other_path = self.path(one), self.path(other)
        if not path or not other_path or one == other:
            return None
        place = 1
        # Bound: the shorter of the two paths.
        while place <= min(len(path), len(other_path)) and path[-place] == other_path[-place]:
            place += 1
        return path[-place], other_path[-place]

    def cap_rejection_reason(self, spec: m.JobSpec) -> str | None:
        """The level under which a job can never run, and the amount, for its user; None if it may run.

        An array needs room for one task, a service or gang for all of them (PROTOCOL, 422).
        """
        count = spec.tasks if spec.service or spec.gang else 1
        need = times(task_amounts(spec), count)
        for index in self.path(spec.team):
            level = self.levels[index]
            for kind in range(NUM_RESOURCES):
                if need[kind] > level.cap[kind]:
                    cap, asked = level.cap[kind] / SCALE[kind], need[kind] / SCALE[kind]
                    return f"over the limit of {level.name}: {RESOURCES[kind]} {asked:g}, at most {cap:g}"
        return None
