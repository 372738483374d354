"""What `quinceslip quota ...` and `quinceslip model quota` do."""

import argparse
import http.client
from collections.abc import Iterable
from pathlib import Path
from statistics import median
from typing import Any
from urllib.parse import quote

import msgspec

from quinceslip.protocol.settings import SettingsError, Team, load_settings, read_operator_file, split_address
from quinceslip.quota.allocation import GUARDS
from quinceslip.quota.bench import Cost, measure
from quinceslip.quota.config import SECTION, load_tree
from quinceslip.quota.model import STEPS, explore
from quinceslip.quota.plots import record
from quinceslip.quota.status_page import table

TIMEOUT_S = 5.0
#: passes measured with and without a tree, in turn
RUNS = 3


def check_file(path: Path, config: Path | None) -> str:
    """One line that says what the tree has; raises SettingsError for the first thing wrong with it."""
    parser = read_operator_file(path)
    if config is not None:
        teams = load_settings(config).facts.teams
    else:
        names = {s[len(SECTION) :].strip() for s in parser.sections() if s.startswith(SECTION + " ")}
        parents = {parser.get(s, "parent", fallback="").strip() for s in parser.sections()}
        listed = {t.strip() for s in parser.sections() for t in parser.get(s, "teams", fallback="").split(",")}
        with_teams = {s[len(SECTION) :].strip() for s in parser.sections() if parser.has_option(s, "teams")}
        teams = [Team(name) for name in sorted((names | listed) - parents - with_teams - {""})]
    tree = load_tree(parser, teams, str(path))
    if tree is None:
        return f"{path}: no level has a cap or a guarantee: quotas are off"
    leaves = sum(level.team for level in tree.levels)
    return f"{path}: fine: version {tree.version}, {len(tree.levels)} levels, {leaves} of them teams"


def fetch(address: str) -> dict[str, Any]:
    """All pages of a controller's answer; raises SettingsError for an address that gives none."""
    try:
        host, port = split_address(address)
    except ValueError as error:
        raise SettingsError(f"--from {address}: {error}") from error
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    found: dict[str, Any] = {"levels": []}
    after = ""
    try:
        while True:
            connection.request("GET", f"/quota?after={quote(after)}")
            answer = connection.getresponse()
            body = answer.read()
            if answer.status == 404:
                raise SettingsError(f"--from {address}: this controller has no quotas switched on")
            if answer.status != 200:
                raise SettingsError(f"--from {address}: answered {answer.status}; try again later")
            part = msgspec.json.decode(body, type=dict[str, Any])
            found = {**part, "levels": [*found["levels"], *part["levels"]]}
            if not part["more"] or not part["levels"]:
                return found
            after = part["levels"][-1]["level"]
    except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
        raise SettingsError(f"--from {address}: {error}") from error
    finally:
        connection.close()


def lines(found: dict[str, Any], as_json: bool) -> Iterable[str]:
    if as_json:
        yield msgspec.json.encode(found).decode()
        return
    shards = ", ".join(str(s) for s in found["shards"]) or "none"
    yield f"version {found['version']} (in force: {found['in_force']}), of shards {shards}"
    if found["trouble"]:
        yield found["trouble"]
    yield from table(found["levels"])


def record_to(path: Path, addresses: list[str], every_s: float, for_s: float) -> str:
    """Samples of all the controllers named, until the time is over."""
    if not 0.05 <= every_s <= 3600 or not 0 < for_s <= 30 * 86400:
        raise SettingsError(f"--every {every_s:g} --for {for_s:g}: must be 0.05 to 3600, and up to 30 days")
    for address in addresses:
        fetch(address)  # one that gives none is said at once
    with path.open("w", encoding="utf-8") as out:
        return f"{path}: {record(fetch, addresses, every_s, for_s, out)} samples"


def run_model(arguments: argparse.Namespace) -> tuple[bool, list[str]]:
    """Whether the model says what it should (a breach only without a guard), and what it found."""
    only = frozenset(word for word in arguments.only.split(",") if word)
    if arguments.without not in ("", *GUARDS):
        raise SettingsError(f"--without {arguments.without}: must be of {', '.join(GUARDS)}")
    if only - set(STEPS):
        raise SettingsError(f"--only {arguments.only}: must be of {', '.join(STEPS)}")
    for name in ("depth", "shards", "controllers", "total"):
        if getattr(arguments, name) < 1:
            raise SettingsError(f"--{name} {getattr(arguments, name)}: must be 1 or more")
    if arguments.controllers < arguments.shards:
        raise SettingsError(f"--controllers {arguments.controllers}: must be as many as shards, or more")
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
        found += ["more tasks on machines than the purse has room for, after", *(f"  {s}" for s in result.breach)]
    else:
        found.append("no breach")
    return bool(result.breach) == bool(arguments.without), found


def bench_lines(leaves: int, machines: int) -> Iterable[str]:
    """Passes with and without a tree in turn, and the ratio of their medians."""
    if min(leaves, machines) < 1:
        raise SettingsError(f"--leaves {leaves} --machines {machines}: must be 1 or more")
    found: dict[bool, list[Cost]] = {True: [], False: []}
    for _ in range(RUNS):
        for with_tree in (False, True):
            found[with_tree].append(measure(leaves, machines, with_tree))
    for with_tree, costs in found.items():
        first, full = (int(median(values)) for values in zip(*((c.first_us, c.full_us) for c in costs), strict=True))
        memory = median(c.bytes_per_leaf for c in found[True]) - median(c.bytes_per_leaf for c in found[False])
        yield (
            f"{'with a tree' if with_tree else 'without':>12}: {leaves} leaves, {machines} machines: a pass that "
            f"fills the fleet {first} us, one that finds it full {full} us, {costs[0].looked} workers looked at"
            + (f", {memory:.0f} bytes a leaf" if with_tree else "")
        )
    for name, of in (("fills", lambda c: c.first_us), ("full", lambda c: c.full_us)):
        yield f"ratio of a pass ({name}): {median(map(of, found[True])) / median(map(of, found[False])):.2f}"
