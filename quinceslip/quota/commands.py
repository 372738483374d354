"""What `quinceslip quota ...` and `quinceslip model quota` do."""

import argparse
import configparser
from collections.abc import Iterable
from pathlib import Path
from statistics import median
from typing import Any

import msgspec

from quinceslip.protocol.settings import SettingsError, Team, load_settings, read_operator_file
from quinceslip.quota.allocation import GUARDS
from quinceslip.quota.config import load_tree
from quinceslip.quota.level_reader import SECTION, level_of
from quinceslip.quota.model import STEPS, explore
from quinceslip.quota.page_client import fetch
from quinceslip.quota.pass_cost import PassCost, measure
from quinceslip.quota.plots import record
from quinceslip.quota.status_page import table

#: passes measured with and without a tree, in turn
RUNS = 3
MIN_SAMPLE_INTERVAL_S = 0.05
MAX_SAMPLE_INTERVAL_S = 3600
MAX_RECORDING_DAYS = 30
_DAY_S = 86400


def check_file(path: Path, config: Path | None) -> str:
    """One line that says what the tree has; raises SettingsError for the first thing wrong with it."""
    parser = read_operator_file(path)
    teams = load_settings(config).facts.teams if config is not None else _teams_of_file(parser)
    tree = load_tree(parser, teams, str(path))
    if tree is None:
        return f"{path}: no level has a cap or a guarantee: quotas are off"
    leaves = sum(level.team for level in tree.levels)
    return f"{path}: fine: version {tree.version}, {len(tree.levels)} levels, {leaves} of them teams"


def _teams_of_file(parser: configparser.ConfigParser) -> list[Team]:
    """The teams as far as the operators' file alone shows them: levels that have nothing beneath them."""
    levels = [section for section in parser.sections() if section.startswith(f"{SECTION} ")]
    names = {level_of(section) for section in levels}
    parents = {parser.get(section, "parent", fallback="").strip() for section in parser.sections()}
    with_teams = {level_of(section) for section in parser.sections() if parser.has_option(section, "teams")}
    listed: set[str] = set()
    for section in parser.sections():
        listed |= {team.strip() for team in parser.get(section, "teams", fallback="").split(",")}
    return [Team(name) for name in sorted((names | listed) - parents - with_teams - {""})]


def format_page(page: dict[str, Any], as_json: bool) -> Iterable[str]:
    """What `quota show` prints of a controller's answer."""
    if as_json:
        yield msgspec.json.encode(page).decode()
        return
    shards = ", ".join(map(str, page["shards"])) or "none"
    yield f"version {page['version']} (in force: {page['in_force']}), of shards {shards}"
    if page["trouble"]:
        yield page["trouble"]
    yield from table(page["levels"])


def record_to_file(path: Path, addresses: list[str], every_s: float, for_s: float) -> str:
    """Samples of all the controllers named, until the time is over."""
    interval_allowed = MIN_SAMPLE_INTERVAL_S <= every_s <= MAX_SAMPLE_INTERVAL_S
    if not interval_allowed or not 0 < for_s <= MAX_RECORDING_DAYS * _DAY_S:
        raise SettingsError(f"--every {every_s:g} --for {for_s:g}: must be 0.05 to 3600, and up to 30 days")
    for address in addresses:
        fetch(address)  # one that gives none is reported at once
    with path.open("w", encoding="utf-8") as out:
        samples = record(fetch, addresses, every_s, for_s, out)
    return f"{path}: {samples} samples"


def run_model(arguments: argparse.Namespace) -> tuple[bool, list[str]]:
    """Whether the model says what it should (a breach only without a guard), and what it found."""
    only = frozenset(word for word in arguments.only.split(",") if word)
    _check_model_arguments(arguments, only)
    result = explore(
        arguments.depth,
        arguments.shards,
        arguments.controllers,
        arguments.total,
        arguments.without,
        arguments.most_states,
        only,
    )
    found = [f"{result.states} states, depth {result.depth}{'' if result.whole else ', not all of them'}"]
    if result.breach:
        found.append("more tasks on machines than the allocation has room for, after")
        found += [f"  {step}" for step in result.breach]
    else:
        found.append("no breach")
    return bool(result.breach) == bool(arguments.without), found


def _check_model_arguments(arguments: argparse.Namespace, only: frozenset[str]) -> None:
    if arguments.without not in ("", *GUARDS):
        raise SettingsError(f"--without {arguments.without}: must be of {', '.join(GUARDS)}")
    if only - set(STEPS):
        raise SettingsError(f"--only {arguments.only}: must be of {', '.join(STEPS)}")
    for name in ("depth", "shards", "controllers", "total"):
        if getattr(arguments, name) < 1:
            raise SettingsError(f"--{name} {getattr(arguments, name)}: must be 1 or more")
    if arguments.controllers < arguments.shards:
        raise SettingsError(f"--controllers {arguments.controllers}: must be as many as shards, or more")


def bench_lines(leaves: int, machines: int) -> Iterable[str]:
    """Passes with and without a tree in turn, and the ratio of their medians."""
    if min(leaves, machines) < 1:
        raise SettingsError(f"--leaves {leaves} --machines {machines}: must be 1 or more")
    without: list[PassCost] = []
    with_tree: list[PassCost] = []
    for _ in range(RUNS):
        without.append(measure(leaves, machines, with_tree=False))
        with_tree.append(measure(leaves, machines, with_tree=True))
    bytes_per_leaf = median(cost.bytes_per_leaf for cost in with_tree) - median(c.bytes_per_leaf for c in without)
    yield f"{_describe_costs('with a tree', with_tree)}, {bytes_per_leaf:.0f} bytes a leaf"
    yield _describe_costs("without", without)
    filling = median(cost.filling_us for cost in with_tree) / median(cost.filling_us for cost in without)
    yield f"ratio of a pass (fills): {filling:.2f}"
    full = median(cost.full_us for cost in with_tree) / median(cost.full_us for cost in without)
    yield f"ratio of a pass (full): {full:.2f}"


def _describe_costs(name: str, costs: list[PassCost]) -> str:
    first = costs[0]
    filling_us = int(median(cost.filling_us for cost in costs))
    full_us = int(median(cost.full_us for cost in costs))
    return (
        f"{name:>12}: {first.leaves} leaves, {first.machines} machines: a pass that fills the fleet {filling_us} us, "
        f"one that finds it full {full_us} us, {first.workers_examined} workers looked at"
    )
