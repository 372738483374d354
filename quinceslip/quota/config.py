"""Reads the tree from the operators' INI file and checks it as a whole; errors name section, key and value.

    [quota]
    version = 1             ; raised with every change: the highest version is in force

    [quota guild]
    cpus_max = 200
    [quota cork]
    parent = guild
    cpus = 40
    weight = 2
    teams = prepress-desk, plates

A section named after a team of the platform's settings gives that team's own amounts. The team's limit and guarantee
in the platform's settings also apply: the lower of the two caps, and the guarantee if the file states none.
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
    """Return the tree of the operators' file; None if neither the file nor the platform's teams set any quota.

    Without a file, every team is a root level. With `fair`, several teams without caps or guarantees get a tree as
    well, in which only their weights divide the free capacity.
    Raises SettingsError, naming section, key and value.
    """
    parser = parser or configparser.ConfigParser(interpolation=None)
    sections = [section for section in parser.sections() if section.split(" ")[0] == SECTION]
    reader = LevelReader(parser, teams, source)
    version = reader.read_version() if sections else 0
    for section in sections:
        if section != SECTION:
            reader.read_level(section)
    reader.complete_teams()
    check_forest(reader)
    tree = Tree(reader.levels.values(), version)
    check_guarantees(reader, tree)
    has_amounts = any(level.capped or level.guaranteed for level in tree.levels)
    has_shares = fair and len(tree.leaves) > 1
    return tree if has_amounts or has_shares else None
