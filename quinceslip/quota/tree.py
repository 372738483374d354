"""The tree of quota levels: tenants, their groups and their teams, with caps, guarantees and weights.

No I/O, no clock. The operators' file is read by `config.py`.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from quinceslip.protocol import messages as m
from quinceslip.quota.amounts import (
    KINDS,
    RESOURCES,
    SCALE,
    UNLIMITED_AMOUNTS,
    ZERO,
    Amounts,
    add,
    least,
    task_amounts,
    times,
)
from quinceslip.quota.amounts import UNLIMITED as UNLIMITED


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
        rest = {level.name: level for level in levels}
        beneath: dict[str, list[Level]] = {}
        for level in rest.values():
            beneath.setdefault(level.parent, []).append(level)
        ready = beneath.get("", [])
        # Bound: the levels; each is beneath one other and comes up once.
        while ready:
            level = ready.pop(0)
            level.index = len(self.levels)
            self.levels.append(level)
            self.by_name[level.name] = level
            parent = self.by_name.get(level.parent)
            level.path = (level.index, *(parent.path if parent else ()))
            if parent is not None:
                parent.children.append(level.index)
            ready += beneath.get(level.name, [])
        self._derive()
        self.leaves: dict[str, Level] = {level.name: level for level in self.levels if level.team}
        #: by team, the levels of its path that have a cap, and those that have a guarantee
        self.capped = {v.name: tuple(i for i in v.path if self.levels[i].capped) for v in self.leaves.values()}
        self.guaranteed = {v.name: tuple(i for i in v.path if self.levels[i].guaranteed) for v in self.leaves.values()}
        self.digest = hashlib.sha256(
            "\n".join(sorted(f"{v.name} {v.parent} {v.weight} {v.cap} {v.guarantee}" for v in self.levels)).encode()
        ).hexdigest()[:16]

    def _derive(self) -> None:
        """A level that states no guarantee has what its children have together."""
        for level in reversed(self.levels):
            if not any(level.guarantee) and level.children:
                total = ZERO
                for child in level.children:
                    given = self.levels[child]
                    if given.guaranteed:
                        total = add(total, given.guarantee)
                level.guarantee = least(total, UNLIMITED_AMOUNTS)
            level.capped = min(level.cap) < UNLIMITED
            level.guaranteed = any(0 < a < UNLIMITED for a in level.guarantee)

    def path(self, team: str) -> tuple[int, ...]:
        """The levels above a team and its own, leaf first; empty for a team that is not in the tree."""
        leaf = self.leaves.get(team)
        return leaf.path if leaf is not None else ()

    def parting(self, one: str, other: str) -> tuple[int, int] | None:
        """Where the paths of two teams part: the level on either side, siblings of each other."""
        mine, theirs = self.path(one), self.path(other)
        if not mine or not theirs or one == other:
            return None
        place = 1
        # Bound: the shorter of the two paths.
        while place <= min(len(mine), len(theirs)) and mine[-place] == theirs[-place]:
            place += 1
        return mine[-place], theirs[-place]

    def never_fits(self, spec: m.JobSpec) -> str | None:
        """The level under which a job can never run, and the amount; None if it may.

        An array needs room for one task, a service or gang for all of them (PROTOCOL, 422).
        """
        count = spec.tasks if spec.service or spec.gang else 1
        need = times(task_amounts(spec), count)
        for index in self.path(spec.team):
            level = self.levels[index]
            for kind in range(KINDS):
                if need[kind] > level.cap[kind]:
                    has, asked = level.cap[kind] / SCALE[kind], need[kind] / SCALE[kind]
                    return f"over the limit of {level.name}: {RESOURCES[kind]} {asked:g}, at most {has:g}"
        return None
