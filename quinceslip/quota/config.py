"""Reads the tree from the operators' INI file and checks it as a whole; errors name section, key and value.

    [quota]
    version = 1             ; raised with every change: of two files the higher one rules

    [quota guild]
    cpus_max = 200
    [quota cork]
    parent = guild
    cpus = 40
    weight = 2
    teams = prepress-desk, plates

A section named after a team of the platform's settings gives that team's own amounts. A team's limit and
guarantee of the platform's settings hold besides (of two caps the lower one).
"""

import configparser
import math
from collections.abc import Iterable
from urllib.parse import quote

from quinceslip.protocol.settings import SettingsError, Team
from quinceslip.quota.amounts import KINDS, RESOURCES, SCALE, UNLIMITED, ZERO, Amounts, add, least
from quinceslip.quota.tree import Level, Tree

SECTION = "quota"
KEYS = {"parent", "weight", "teams", *RESOURCES, *(f"{name}_max" for name in RESOURCES)}
#: a level's name is part of a record's key
MAX_NAME_BYTES = 150
MAX_WEIGHT = 1e6
#: levels on a path: passes go down the tree by recursion
MAX_TREE_DEPTH = 64


class _Reader:
    def __init__(self, parser: configparser.ConfigParser, teams: Iterable[Team], source: str) -> None:
        self.parser = parser
        self.source = source
        self.teams = {team.name: team for team in teams}
        self.levels: dict[str, Level] = {}
        self.named_in: dict[str, str] = {}  # a team, and the section whose `teams` names it
        self.stated: set[str] = set()  # levels whose guarantee is written down

    def error(self, section: str, key: str, text: str) -> SettingsError:
        return SettingsError(f"{self.source}: [{section}] {key} = {self.parser.get(section, key)}: {text}")

    def number(self, section: str, key: str, least_value: float, most: float) -> float:
        try:
            value = float(self.parser.get(section, key))
        except ValueError:
            value = math.nan
        if not least_value <= value <= most:
            raise self.error(section, key, f"must be a number from {least_value:g} to {most:g}")
        return value

    def amounts(self, section: str, suffix: str, default: Amounts) -> Amounts:
        found = list(default)
        for kind, name in enumerate(RESOURCES):
            if self.parser.has_option(section, name + suffix):
                found[kind] = round(self.number(section, name + suffix, 0, 1e9) * SCALE[kind])
        return (found[0], found[1], found[2], found[3])

    def version(self) -> int:
        if not self.parser.has_option(SECTION, "version"):
            raise SettingsError(f"{self.source}: [{SECTION}] version: missing; raise it with every change of the tree")
        for key in self.parser[SECTION]:
            if key != "version":
                raise self.error(SECTION, key, "unknown key")
        value = self.number(SECTION, "version", 1, 1e15)
        if value != int(value):
            raise self.error(SECTION, "version", "must be a whole number")
        return int(value)

    def level(self, section: str) -> None:
        name = section[len(SECTION) :].strip()
        options = self.parser[section]
        if not name or len(quote(name, safe="")) > MAX_NAME_BYTES:
            raise SettingsError(f"{self.source}: [{section}]: a name of 1 to {MAX_NAME_BYTES} bytes is needed")
        if name in self.levels:
            raise SettingsError(f"{self.source}: [{section}]: is there twice")
        for key in options:
            if key not in KEYS:
                raise self.error(section, key, "unknown key")
        weight = self.number(section, "weight", 1e-6, MAX_WEIGHT) if "weight" in options else 1.0
        speaks = any(name in options for name in RESOURCES)
        # A guarantee that says nothing of memory or tasks is not bounded by them.
        guarantee = self.amounts(section, "", (0, 0, UNLIMITED, UNLIMITED)) if speaks else ZERO
        if speaks and not any(0 < a < UNLIMITED for a in guarantee):
            guarantee = ZERO
        if speaks:
            self.stated.add(name)
        level = Level(
            name,
            options.get("parent", "").strip(),
            weight,
            self.amounts(section, "_max", (UNLIMITED,) * 4),
            guarantee,
            name in self.teams,
        )
        for team in [t.strip() for t in options.get("teams", "").split(",") if t.strip()]:
            if team not in self.teams:
                raise self.error(section, "teams", f"unknown team {team}")
            if team in self.named_in:
                raise self.error(section, "teams", f"{team} has two parents, {self.named_in[team]} and this")
            self.named_in[team] = section
        if level.team and "teams" in options:
            raise self.error(section, "teams", f"{name} is a team, which has none beneath it")
        self.levels[name] = level

    def join(self) -> None:
        """Teams get their places, and what the platform's settings give them."""
        for team, section in self.named_in.items():
            level = self.levels.setdefault(team, Level(team, team=True))
            if level.parent:
                raise self.error(f"{SECTION} {team}", "parent", f"{team} has two parents, this and [{section}]")
            level.parent = section[len(SECTION) :].strip()
        for name, given in self.teams.items():
            level = self.levels.setdefault(name, Level(name, team=True))
            level.cap = least(level.cap, platform_cap(given))
            if name not in self.stated:
                level.guarantee = platform_guarantee(given)
            if any(level.guarantee):
                self.stated.add(name)

    def check(self) -> None:
        for name, level in self.levels.items():
            section = f"{SECTION} {name}"
            if level.parent and level.parent not in self.levels:
                raise self.error(section, "parent", "there is no such level")
            if level.parent and self.levels[level.parent].team:
                raise self.error(section, "parent", f"{level.parent} is a team, which has none beneath it")
            seen = [name]
            # Bound: MOST_DEEP; a circle is found before.
            while self.levels[seen[-1]].parent:
                parent = self.levels[seen[-1]].parent
                if parent in seen:
                    raise self.error(section, "parent", f"goes round in a circle: {', '.join([*seen, parent])}")
                if parent not in self.levels:
                    break
                seen.append(parent)
                if len(seen) > MAX_TREE_DEPTH:
                    raise self.error(section, "parent", f"more than {MAX_TREE_DEPTH} levels lie on its path")
        parents = {level.parent for level in self.levels.values()}
        for name, level in self.levels.items():
            if not level.team and name not in parents:
                raise SettingsError(
                    f"{self.source}: [{SECTION} {name}]: {name} is neither a team of the platform's "
                    f"settings nor a level with teams beneath it"
                )

    def guarantees(self, tree: Tree) -> None:
        for level in tree.levels:
            section = f"{SECTION} {level.name}"
            together = ZERO
            for child in (tree.levels[i] for i in level.children):
                if child.guaranteed:
                    together = add(together, tuple(a if a < UNLIMITED else 0 for a in child.guarantee))
            for kind in range(KINDS):
                if UNLIMITED > level.guarantee[kind] > level.cap[kind]:
                    raise self.blame(section, RESOURCES[kind], level, "its guarantee is over its own cap", kind)
                for child in (tree.levels[i] for i in level.children):
                    if level.name in self.stated and UNLIMITED > child.guarantee[kind] > level.guarantee[kind]:
                        raise self.blame(
                            f"{SECTION} {child.name}",
                            RESOURCES[kind],
                            child,
                            f"its guarantee is over that of {level.name}",
                            kind,
                        )
                if together[kind] > min(
                    level.guarantee[kind] if level.name in self.stated else UNLIMITED, level.cap[kind]
                ):
                    raise self.blame(
                        section,
                        RESOURCES[kind],
                        level,
                        f"the guarantees of what is beneath it are {together[kind] / SCALE[kind]:g} together",
                        kind,
                    )

    def blame(self, section: str, key: str, level: Level, text: str, kind: int) -> SettingsError:
        value = level.guarantee[kind] if level.guarantee[kind] < UNLIMITED else level.cap[kind]
        return SettingsError(f"{self.source}: [{section}] {key} = {value / SCALE[kind]:g}: {text}")


def platform_cap(team: Team) -> Amounts:
    """Limits of the platform's settings; 0 means none (DEPLOY)."""
    return (round(team.cpus_max * 1000) or UNLIMITED, round(team.gpus_max * 1000) or UNLIMITED, UNLIMITED, UNLIMITED)


def platform_guarantee(team: Team) -> Amounts:
    cpus, gpus = round(team.cpus * 1000), round(team.gpus * 1000)
    return (cpus, gpus, UNLIMITED, UNLIMITED) if cpus or gpus else ZERO


def load_tree(
    parser: configparser.ConfigParser | None, teams: Iterable[Team], source: str = "", fair: bool = False
) -> Tree | None:
    """The tree of the operators' file; None where neither it nor the platform's teams say anything.

    Without a file, every team stands on its own. `fair`: several teams that nothing is said of have a tree as well,
    whose weights alone divide what is free.
    Raises SettingsError, naming section, key and value.
    """
    teams = list(teams)
    parser = parser or configparser.ConfigParser(interpolation=None)
    sections = [s for s in parser.sections() if s.split(" ")[0] == SECTION]
    reader = _Reader(parser, teams, source)
    version = reader.version() if sections else 0
    for section in sections:
        if section != SECTION:
            reader.level(section)
    reader.join()
    reader.check()
    tree = Tree(reader.levels.values(), version)
    reader.guarantees(tree)
    said = any(level.capped or level.guaranteed for level in tree.levels)
    return tree if said or (fair and len(tree.leaves) > 1) else None
