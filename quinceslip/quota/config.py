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
from collections.abc import Iterable

from quinceslip.protocol.settings import Team
from quinceslip.quota.level_checks import check_forest, check_guarantees
from quinceslip.quota.level_reader import SECTION, LevelReader
from quinceslip.quota.tree import Tree


def load_tree(
    parser: configparser.ConfigParser | None, teams: Iterable[Team], source: str = "", fair: bool = False
) -> Tree | None:
    """The tree of the operators' file; None where neither it nor the platform's teams say anything.

    Without a file, every team stands on its own. `fair`: several teams that nothing is said of have a tree as well,
    whose weights alone divide what is free.
    Raises SettingsError, naming section, key and value.
    """
    parser = parser or configparser.ConfigParser(interpolation=None)
    sections = [section for section in parser.sections() if section.split(" ")[0] == SECTION]
    reader = LevelReader(parser, teams, source)
    version = reader.read_version() if sections else 0
    for section in sections:
        if section != SECTION:
            reader.read_level(section)
    reader.join_teams()
    check_forest(reader)
    tree = Tree(reader.levels.values(), version)
    check_guarantees(reader, tree)
    has_amounts = any(level.capped or level.guaranteed for level in tree.levels)
    has_shares = fair and len(tree.leaves) > 1
    return tree if has_amounts or has_shares else None
