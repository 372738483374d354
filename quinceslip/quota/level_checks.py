"""Checks that the levels of the operators' file form a forest whose guarantees can be kept."""

from quinceslip.protocol.settings import SettingsError
from quinceslip.quota.amounts import NUM_RESOURCES, RESOURCES, SCALE, UNLIMITED, ZERO, Amounts, add
from quinceslip.quota.level_reader import LevelReader, section_name
from quinceslip.quota.tree import Level, Tree

#: maximum number of levels on a path; limited because scheduling passes descend the tree recursively
MAX_TREE_DEPTH = 64


def check_forest(reader: LevelReader) -> None:
    """Raise SettingsError if a parent is missing, is a team or is part of a cycle, or if a level has no teams."""
    for level in reader.levels.values():
        _check_parent(reader, level)
        _check_path(reader, level)
    parents = {level.parent for level in reader.levels.values()}
    for name, level in reader.levels.items():
        if not level.team and name not in parents:
            raise SettingsError(
                f"{reader.source}: [{section_name(name)}]: {name} is neither a team of the platform's "
                f"settings nor a level with teams beneath it"
            )


def _check_parent(reader: LevelReader, level: Level) -> None:
    if not level.parent:
        return
    section = section_name(level.name)
    if level.parent not in reader.levels:
        raise reader.error(section, "parent", "there is no such level")
    if reader.levels[level.parent].team:
        raise reader.error(section, "parent", f"{level.parent} is a team, which has none beneath it")


def _check_path(reader: LevelReader, level: Level) -> None:
    section = section_name(level.name)
    path = [level.name]
    parent = level.parent
    # Bound: MAX_TREE_DEPTH; a cycle is reported before that.
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
    """Raise SettingsError if guarantees exceed the level's cap, or the guarantee of their parent level."""
    for level in tree.levels:
        children_total = _total_child_guarantee(tree, level)
        for resource in range(NUM_RESOURCES):
            _check_resource(reader, tree, level, children_total, resource)


def _total_child_guarantee(tree: Tree, level: Level) -> Amounts:
    total = ZERO
    for index in level.children:
        child = tree.levels[index]
        if child.guaranteed:
            total = add(total, [amount if amount < UNLIMITED else 0 for amount in child.guarantee])
    return total


def _check_resource(reader: LevelReader, tree: Tree, level: Level, children_total: Amounts, resource: int) -> None:
    guarantee, cap = level.guarantee[resource], level.cap[resource]
    explicit = level.name in reader.levels_with_guarantee
    if UNLIMITED > guarantee > cap:
        raise _guarantee_error(reader, level, resource, "its guarantee is over its own cap")
    for index in level.children:
        child = tree.levels[index]
        if explicit and UNLIMITED > child.guarantee[resource] > guarantee:
            raise _guarantee_error(reader, child, resource, f"its guarantee is over that of {level.name}")
    if children_total[resource] > min(guarantee if explicit else UNLIMITED, cap):
        amount = children_total[resource] / SCALE[resource]
        raise _guarantee_error(reader, level, resource, f"the guarantees of what is beneath it are {amount:g} together")


def _guarantee_error(reader: LevelReader, level: Level, resource: int, text: str) -> SettingsError:
    amount = level.guarantee[resource] if level.guarantee[resource] < UNLIMITED else level.cap[resource]
    value = f"{RESOURCES[resource]} = {amount / SCALE[resource]:g}"
    return SettingsError(f"{reader.source}: [{section_name(level.name)}] {value}: {text}")
