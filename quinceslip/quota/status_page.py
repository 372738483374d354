"""One controller's view of the tree: a page of levels for JSON output, and a table for a terminal."""

from collections.abc import Iterable, Mapping
from typing import Any

from quinceslip.quota.allocations import Allocations
from quinceslip.quota.amounts import (
    RESOURCES,
    ZERO,
    Amounts,
    accumulate,
    add,
    in_operator_units,
    positive_part,
    subtract,
)
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.tree import Level, Tree

#: limited so that the line of one response stays under 64 KiB (PROTOCOL)
MAX_LEVELS_PER_PAGE = 100
#: columns of the table after the level's name
COLUMNS = ("guaranteed", "cap", "used", "lent", "borrowed", "waiting")


def build_page(
    tree: Tree, allocations: Allocations, shard_quotas: Mapping[int, ShardQuota], after: str, tree_conflict: str
) -> dict[str, Any]:
    """Return one page of levels in tree order, starting after the level `after`; `more` is set if others follow.

    `used`, `lent`, `borrowed` and `waiting` cover this controller's shards, `held` covers all shards.
    `lent` is the unused part of a level's own guarantee.
    """
    start = tree.by_name[after].index + 1 if after in tree.by_name else 0
    levels = tree.levels[start : start + MAX_LEVELS_PER_PAGE]
    waiting = _waiting_by_level(tree, shard_quotas)
    return {
        "version": tree.version,
        "in_force": allocations.newest_version,
        "trouble": tree_conflict,
        "shards": sorted(shard_quotas),
        "levels": [_level_entry(level, allocations, shard_quotas, waiting.get(level.index, ZERO)) for level in levels],
        "more": start + len(levels) < len(tree.levels),
    }


def _waiting_by_level(tree: Tree, shard_quotas: Mapping[int, ShardQuota]) -> dict[int, Amounts]:
    waiting: dict[int, Amounts] = {}
    for shard_quota in shard_quotas.values():
        for demand in shard_quota.unmet_demands.values():
            accumulate(waiting, tree.path(demand.team), demand.need)
    return waiting


def _level_entry(
    level: Level, allocations: Allocations, shard_quotas: Mapping[int, ShardQuota], waiting: Amounts
) -> dict[str, Any]:
    used, guaranteed = ZERO, ZERO
    for shard, shard_quota in shard_quotas.items():
        used = add(used, shard_quota.usage.get(level.index, ZERO))
        if level.guaranteed:
            guaranteed = add(guaranteed, allocations.for_guarantee(level.index).held(shard))
    borrowed = positive_part(subtract(used, guaranteed)) if any(used) else ZERO
    entry: dict[str, Any] = {
        "level": level.name,
        "parent": level.parent,
        "depth": len(level.path) - 1,
        "team": level.team,
        "weight": level.weight,
        "guaranteed": in_operator_units(level.guarantee),
        "cap": in_operator_units(level.cap),
        "used": in_operator_units(used),
        "lent": in_operator_units(positive_part(subtract(guaranteed, used))),
        "borrowed": in_operator_units(borrowed),
        "waiting": in_operator_units(waiting),
    }
    if level.capped:
        allocation = allocations.for_cap(level.index)
        parts = allocation.record.parts if allocation.record is not None else {}
        entry["held"] = {shard: in_operator_units(part) for shard, part in parts.items()}
        entry["over"] = min(allocation.pool()) < 0
    return entry


def format_table(levels: Iterable[dict[str, Any]]) -> list[str]:
    """Return a header and one line per level; amounts that are zero or unlimited are omitted."""
    rows = [["level", *COLUMNS]]
    for level in levels:
        name = "  " * level["depth"] + level["level"] + (" (over)" if level.get("over") else "")
        rows.append([name, *(_format_amounts(level[column]) for column in COLUMNS)])
    widths = [max(map(len, cells)) for cells in zip(*rows, strict=True)]
    return [_format_row(row, widths) for row in rows]


def _format_row(row: list[str], widths: list[int]) -> str:
    cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return "  ".join(cells).rstrip()


def _format_amounts(amounts: Mapping[str, float]) -> str:
    units = dict(zip(RESOURCES, ("cpu", "gpu", "GB", "tasks"), strict=True))
    return " ".join(f"{value:g} {units[name]}" for name, value in amounts.items() if value) or "-"
