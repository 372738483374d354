"""The tree as one controller sees it: a page of levels as JSON, and a table for a terminal."""

from collections.abc import Iterable, Mapping
from typing import Any

from quinceslip.quota.allocations import Allocations
from quinceslip.quota.amounts import RESOURCES, ZERO, Amounts, accumulate, add, positive_part, shown, subtract
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.tree import Level, Tree

#: levels in one answer, so that its line stays under 64 KiB (PROTOCOL)
MAX_LEVELS_PER_PAGE = 100
#: what the table shows of each level
COLUMNS = ("guaranteed", "cap", "used", "lent", "borrowed", "waiting")


def build_page(
    tree: Tree, allocations: Allocations, shard_quotas: Mapping[int, ShardQuota], after: str, trouble: str
) -> dict[str, Any]:
    """Levels in the tree's order, beginning after the one named; `more` if there are others.

    `used`, `lent`, `borrowed` and `waiting` are of this controller's shards, `held` is what all shards hold.
    `lent` is the part of a level's own guarantee that it does not use.
    """
    start = tree.by_name[after].index + 1 if after in tree.by_name else 0
    levels = tree.levels[start : start + MAX_LEVELS_PER_PAGE]
    waiting = _waiting_by_level(tree, shard_quotas)
    return {
        "version": tree.version,
        "in_force": allocations.newest_version,
        "trouble": trouble,
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
        "guaranteed": shown(level.guarantee),
        "cap": shown(level.cap),
        "used": shown(used),
        "lent": shown(positive_part(subtract(guaranteed, used))),
        "borrowed": shown(borrowed),
        "waiting": shown(waiting),
    }
    if level.capped:
        allocation = allocations.for_cap(level.index)
        parts = allocation.record.parts if allocation.record is not None else {}
        entry["held"] = {shard: shown(part) for shard, part in parts.items()}
        entry["over"] = min(allocation.pool()) < 0
    return entry


def table(levels: Iterable[dict[str, Any]]) -> list[str]:
    """One line a level; amounts as cpus/gpus/memory_gb/tasks, without what is nought or unlimited."""
    rows = [["level", *COLUMNS]]
    for level in levels:
        name = "  " * level["depth"] + level["level"] + (" (over)" if level.get("over") else "")
        rows.append([name, *(_short(level[column]) for column in COLUMNS)])
    widths = [max(map(len, cells)) for cells in zip(*rows, strict=True)]
    return [_align(row, widths) for row in rows]


def _align(row: list[str], widths: list[int]) -> str:
    cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return "  ".join(cells).rstrip()


def _short(amounts: Mapping[str, float]) -> str:
    units = dict(zip(RESOURCES, ("cpu", "gpu", "GB", "tasks"), strict=True))
    return " ".join(f"{value:g} {units[name]}" for name, value in amounts.items() if value) or "-"
