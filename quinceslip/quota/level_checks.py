"""Checks the levels of the operators' file as a whole: they are a forest, and its guarantees can be kept."""

from quinceslip.protocol.settings import SettingsError
from quinceslip.quota.amounts import NUM_RESOURCES, RESOURCES, SCALE, UNLIMITED, ZERO, Amounts, add
from quinceslip.quota.level_reader import LevelReader, section_of
from quinceslip.quota.tree import Level, Tree

#: levels on a path: passes go down the tree by recursion
MAX_TREE_DEPTH = 64


def check_forest(reader: LevelReader) -> None:
    """Raise SettingsError where parents are missing, are teams or go round in a circle, or a level has no teams."""
    for level in reader.levels.values():
        _check_parent(reader, level)
        _check_path(reader, level)
    parents = {level.parent for level in reader.levels.values()}
    for name, level in reader.levels.items():
        if not level.team and name not in parents:
            raise SettingsError(
                f"{reader.source}: [{section_of(name)}]: {name} is neither a team of the platform's "
                f"settings nor a level with teams beneath it"
            )


def _check_parent(reader: LevelReader, level: Level) -> None:
    if not level.parent:
        return
    section = section_of(level.name)
    if level.parent not in reader.levels:
        raise reader.error(section, "parent", "there is no such level")
    if reader.levels[level.parent].team:
        raise reader.error(section, "parent", f"{level.parent} is a team, which has none beneath it")


def _check_path(reader: LevelReader, level: Level) -> None:
    section = section_of(level.name)
    path = [level.name]
    parent = level.parent
    # Bound: MAX_TREE_DEPTH; a circle is found before.
    while parent:
        if parent in path:
            raise reader.error(section, "parent", f"goes round in a circle: {', '.join([*path, parent])}")
        if parent not in reader.levels:
            return
        path.append(parent)
        if len(path) > MAX_TREE_DEPTH:
            raise reader.error(section, "parent", f"more than {MAX_TREE_DEPTH} levels lie on its path")
        parent = reader.levels[parent].parent


def check_guarantees(reader: LevelReader, tree: Tree) -> None:
    """Raise SettingsError where a guarantee is over a cap, or over what the level above it guarantees."""
    for level in tree.levels:
        together = _guarantees_beneath(tree, level)
        for kind in range(NUM_RESOURCES):
            _check_kind(reader, tree, level, together, kind)


def _guarantees_beneath(tree: Tree, level: Level) -> Amounts:
    together = ZERO
    for index in level.children:
        child = tree.levels[index]
        if child.guaranteed:
            together = add(together, [amount if amount < UNLIMITED else 0 for amount in child.guarantee])
    return together


def _check_kind(reader: LevelReader, tree: Tree, level: Level, together: Amounts, kind: int) -> None:
    guarantee, cap = level.guarantee[kind], level.cap[kind]
    stated = level.name in reader.stated
    if UNLIMITED > guarantee > cap:
        raise _guarantee_error(reader, level, kind, "its guarantee is over its own cap")
    for index in level.children:
        child = tree.levels[index]
        if stated and UNLIMITED > child.guarantee[kind] > guarantee:
            raise _guarantee_error(reader, child, kind, f"its guarantee is over that of {level.name}")
    if together[kind] > min(guarantee if stated else UNLIMITED, cap):
        amount = together[kind] / SCALE[kind]
        raise _guarantee_error(reader, level, kind, f"the guarantees of what is beneath it are {amount:g} together")


def _guarantee_error(reader: LevelReader, level: Level, kind: int, text: str) -> SettingsError:
    amount = level.guarantee[kind] if level.guarantee[kind] < UNLIMITED else level.cap[kind]
    value = f"{RESOURCES[kind]} = {amount / SCALE[kind]:g}"
    return SettingsError(f"{reader.source}: [{section_of(level.name)}] {value}: {text}")
