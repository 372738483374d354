"""Implementation of the commands `quinceslip quota ...` and `quinceslip model quota`."""

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
from quinceslip.quota.level_reader import SECTION, level_name
from quinceslip.quota.model import STEPS, explore
from quinceslip.quota.page_client import fetch
from quinceslip.quota.pass_cost import PassCost, measure
from quinceslip.quota.plots import record_samples
from quinceslip.quota.status_page import format_table

#: benchmark runs with and without a tree, alternating
BENCH_RUNS = 3
MIN_SAMPLE_INTERVAL_S = 0.05
MAX_SAMPLE_INTERVAL_S = 3600
MAX_RECORDING_DAYS = 30
_DAY_S = 86400


def check_file(path: Path, config: Path | None) -> str:
    """Check the operators' file and return a one-line summary; raises SettingsError for the first error found."""
    parser = read_operator_file(path)
    teams = load_settings(config).facts.teams if config is not None else _teams_of_file(parser)
    tree = load_tree(parser, teams, str(path))
    if tree is None:
        return f"{path}: no level has a cap or a guarantee: quotas are off"
    leaves = sum(level.team for level in tree.levels)
    return f"{path}: fine: version {tree.version}, {len(tree.levels)} levels, {leaves} of them teams"


def _teams_of_file(parser: configparser.ConfigParser) -> list[Team]:
    """Return the teams that can be inferred from the operators' file alone: the levels without children."""
    level_sections = [section for section in parser.sections() if section.startswith(f"{SECTION} ")]
    level_names = {level_name(section) for section in level_sections}
    parents = {parser.get(section, "parent", fallback="").strip() for section in parser.sections()}
    levels_with_teams = {level_name(section) for section in parser.sections() if parser.has_option(section, "teams")}
    listed_teams: set[str] = set()
    for section in parser.sections():
        listed_teams |= {team.strip() for team in parser.get(section, "teams", fallback="").split(",")}
    return [Team(name) for name in sorted((level_names | listed_teams) - parents - levels_with_teams - {""})]


def format_page(page: dict[str, Any], as_json: bool) -> Iterable[str]:
    """Return the lines that `quota show` prints for a controller's response."""
    if as_json:
        yield msgspec.json.encode(page).decode()
        return
    shards = ", ".join(map(str, page["shards"])) or "none"
    yield f"version {page['version']} (in force: {page['in_force']}), of shards {shards}"
    if page["trouble"]:
        yield page["trouble"]
    yield from format_table(page["levels"])


def record_to_file(path: Path, addresses: list[str], every_s: float, for_s: float) -> str:
    """Record samples from the given controllers for `for_s` seconds and return a one-line summary."""
    interval_allowed = MIN_SAMPLE_INTERVAL_S <= every_s <= MAX_SAMPLE_INTERVAL_S
    if not interval_allowed or not 0 < for_s <= MAX_RECORDING_DAYS * _DAY_S:
        raise SettingsError(f"--every {every_s:g} --for {for_s:g}: must be 0.05 to 3600, and up to 30 days")
    for address in addresses:
        fetch(address)  # reports an unusable address before recording starts
    with path.open("w", encoding="utf-8") as out:
        samples = record_samples(fetch, addresses, every_s, for_s, out)
    return f"{path}: {samples} samples"


def run_model(arguments: argparse.Namespace) -> tuple[bool, list[str]]:
    """Explore the model; return whether the result is as expected (a breach only without a guard) and the findings."""
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
    findings = [f"{result.states} states, depth {result.depth}{'' if result.complete else ', incomplete'}"]
    if result.breach:
        findings.append("more tasks running than the allocation's total allows, after the steps")
        findings += [f"  {step}" for step in result.breach]
    else:
        findings.append("no breach")
    return bool(result.breach) == bool(arguments.without), findings


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
    """Measure passes with and without a tree, alternating, and return the costs and the ratios of their medians."""
    if min(leaves, machines) < 1:
        raise SettingsError(f"--leaves {leaves} --machines {machines}: must be 1 or more")
    without: list[PassCost] = []
    with_tree: list[PassCost] = []
    for _ in range(BENCH_RUNS):
        without.append(measure(leaves, machines, with_tree=False))
        with_tree.append(measure(leaves, machines, with_tree=True))
    bytes_per_leaf = median(cost.bytes_per_leaf for cost in with_tree) - median(c.bytes_per_leaf for c in without)
    yield f"{_describe_costs('with a tree', with_tree)}, {bytes_per_leaf:.0f} bytes a leaf"
    yield _describe_costs("without", without)
    filling_ratio = median(cost.filling_us for cost in with_tree) / median(cost.filling_us for cost in without)
    yield f"ratio of a pass (fills): {filling_ratio:.2f}"
    full_ratio = median(cost.full_us for cost in with_tree) / median(cost.full_us for cost in without)
    yield f"ratio of a pass (full): {full_ratio:.2f}"


def _describe_costs(name: str, costs: list[PassCost]) -> str:
    first = costs[0]
    filling_us = int(median(cost.filling_us for cost in costs))
    full_us = int(median(cost.full_us for cost in costs))
    return (
        f"{name:>12}: {first.leaves} leaves, {first.machines} machines: a pass that fills the fleet {filling_us} us, "
        f"one that finds it full {full_us} us, {first.workers_examined} workers looked at"
    )
