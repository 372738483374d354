"""The tree as one controller sees it: a page of levels as JSON, and a table for a terminal."""

from collections.abc import Iterable, Mapping
from typing import Any

from quinceslip.quota.allocations import Allocations
from quinceslip.quota.amounts import RESOURCES, ZERO, Amounts, add, positive, shown
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.tree import Tree

#: levels in one answer, so that its line stays under 64 KiB (PROTOCOL)
PAGE = 100


def page(
    tree: Tree, allocations: Allocations, admissions: Mapping[int, ShardQuota], after: str, trouble: str
) -> dict[str, Any]:
    """Levels in the tree's order, beginning after the one named; `more` if there are others.

    `used`, `lent`, `borrowed` and `waiting` are of this controller's shards, `held` is what all shards hold.
    `lent` is the part of a level's own guarantee that it does not use.
    """
    start = tree.by_name[after].index + 1 if after in tree.by_name else 0
    levels = tree.levels[start : start + PAGE]
    waiting: dict[int, Amounts] = {}
    for admission in admissions.values():
        for claim in admission.unmet_demands.values():
            for level in tree.path(claim.team):
                waiting[level] = add(waiting.get(level, ZERO), claim.need)
    found = []
    for place in levels:
        used, own = ZERO, ZERO
        for index, admission in admissions.items():
            used = add(used, admission.usage.get(place.index, ZERO))
            if place.guaranteed:
                own = add(own, allocations.for_guarantee(place.index).held(index))
        lent = positive(add(own, used, -1))
        borrowed = positive(add(used, own, -1)) if any(used) else ZERO
        entry: dict[str, Any] = {
            "level": place.name,
            "parent": place.parent,
            "depth": len(place.path) - 1,
            "team": place.team,
            "weight": place.weight,
            "guaranteed": shown(place.guarantee),
            "cap": shown(place.cap),
            "used": shown(used),
            "lent": shown(lent),
            "borrowed": shown(borrowed),
            "waiting": shown(waiting.get(place.index, ZERO)),
        }
        if place.capped:
            allocation = allocations.for_cap(place.index)
            entry["held"] = {
                shard: shown(part)
                for shard, part in (allocation.record.parts.items() if allocation.record is not None else ())
            }
            entry["over"] = min(allocation.pool()) < 0
        found.append(entry)
    return {
        "version": tree.version,
        "in_force": allocations.newest_version,
        "trouble": trouble,
        "shards": sorted(admissions),
        "levels": found,
        "more": start + len(levels) < len(tree.levels),
    }


def table(levels: Iterable[dict[str, Any]]) -> list[str]:
    """One line a level; amounts as cpus/gpus/memory_gb/tasks, without what is nought or unlimited."""
    columns = ("guaranteed", "cap", "used", "lent", "borrowed", "waiting")
    rows = [["level", *columns]]
    for level in levels:
        name = "  " * level["depth"] + level["level"] + (" (over)" if level.get("over") else "")
        rows.append([name, *(_short(level[column]) for column in columns)])
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return ["  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows]


def _short(amounts: Mapping[str, float]) -> str:
    units = dict(zip(RESOURCES, ("cpu", "gpu", "GB", "tasks"), strict=True))
    return " ".join(f"{value:g} {units[name]}" for name, value in amounts.items() if value) or "-"
