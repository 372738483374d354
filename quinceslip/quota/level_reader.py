"""Reads levels from the sections of the operators' INI file; errors name section, key and value."""

import configparser
import math
from collections.abc import Iterable
from urllib.parse import quote

from quinceslip.protocol.settings import SettingsError, Team
from quinceslip.quota.amounts import (
    RESOURCES,
    SCALE,
    UNLIMITED,
    UNLIMITED_AMOUNTS,
    ZERO,
    Amounts,
    amounts_of,
    elementwise_min,
)
from quinceslip.quota.tree import Level

SECTION = "quota"
#: suffix that turns a resource's name into the key of its cap
CAP_SUFFIX = "_max"
KEYS = {"parent", "weight", "teams", *RESOURCES, *(f"{name}{CAP_SUFFIX}" for name in RESOURCES)}
#: limited because a level's name is part of a record's key
MAX_NAME_BYTES = 150
MIN_WEIGHT = 1e-6
MAX_WEIGHT = 1e6
MAX_VERSION = 1e15
#: in the units of the operators' file
MAX_AMOUNT = 1e9
#: a guarantee that does not name memory or tasks leaves them unbounded
_GUARANTEE_DEFAULT: Amounts = (0, 0, UNLIMITED, UNLIMITED)


def section_name(level: str) -> str:
    """Return the name of a level's section in the operators' file."""
    return f"{SECTION} {level}"


def level_name(section: str) -> str:
    """Return the name of the level that a section describes."""
    return section[len(SECTION) :].strip()


class LevelReader:
    """Reads one file; its methods raise SettingsError for the first error found."""

    def __init__(self, parser: configparser.ConfigParser, teams: Iterable[Team], source: str) -> None:
        self.parser = parser
        self.source = source
        self.teams = {team.name: team for team in teams}
        self.levels: dict[str, Level] = {}
        #: by team, the section whose `teams` lists it
        self.listing_section: dict[str, str] = {}
        #: names of the levels with an explicit guarantee
        self.levels_with_guarantee: set[str] = set()

    def error(self, section: str, key: str, text: str) -> SettingsError:
        """Return an error about a key that is in the file."""
        return SettingsError(f"{self.source}: [{section}] {key} = {self.parser.get(section, key)}: {text}")

    def _number(self, section: str, key: str, min_value: float, max_value: float) -> float:
        try:
            value = float(self.parser.get(section, key))
        except ValueError:
            value = math.nan
        if not min_value <= value <= max_value:
            raise self.error(section, key, f"must be a number from {min_value:g} to {max_value:g}")
        return value

    def _amounts(self, section: str, suffix: str, default: Amounts) -> Amounts:
        values = list(default)
        for resource, name in enumerate(RESOURCES):
            if self.parser.has_option(section, name + suffix):
                values[resource] = round(self._number(section, name + suffix, 0, MAX_AMOUNT) * SCALE[resource])
        return amounts_of(values)

    def read_version(self) -> int:
        """Return the version of the tree from the section `[quota]`."""
        if not self.parser.has_option(SECTION, "version"):
            raise SettingsError(f"{self.source}: [{SECTION}] version: missing; raise it with every change of the tree")
        for key in self.parser[SECTION]:
            if key != "version":
                raise self.error(SECTION, key, "unknown key")
        value = self._number(SECTION, "version", 1, MAX_VERSION)
        if value != int(value):
            raise self.error(SECTION, "version", "must be a whole number")
        return int(value)

    def read_level(self, section: str) -> None:
        """Read a section and add the level that it describes."""
        name = level_name(section)
        options = self.parser[section]
        if not name or len(quote(name, safe="")) > MAX_NAME_BYTES:
            raise SettingsError(f"{self.source}: [{section}]: a name of 1 to {MAX_NAME_BYTES} bytes is needed")
        if name in self.levels:
            raise SettingsError(f"{self.source}: [{section}]: is there twice")
        for key in options:
            if key not in KEYS:
                raise self.error(section, key, "unknown key")
        weight = self._number(section, "weight", MIN_WEIGHT, MAX_WEIGHT) if "weight" in options else 1.0
        guarantee = self._read_guarantee(section)
        cap = self._amounts(section, CAP_SUFFIX, UNLIMITED_AMOUNTS)
        level = Level(name, options.get("parent", "").strip(), weight, cap, guarantee, name in self.teams)
        self._read_teams(section, level)
        self.levels[name] = level

    def _read_guarantee(self, section: str) -> Amounts:
        if not any(name in self.parser[section] for name in RESOURCES):
            return ZERO
        self.levels_with_guarantee.add(level_name(section))
        guarantee = self._amounts(section, "", _GUARANTEE_DEFAULT)
        has_finite_amount = any(0 < amount < UNLIMITED for amount in guarantee)
        return guarantee if has_finite_amount else ZERO

    def _read_teams(self, section: str, level: Level) -> None:
        options = self.parser[section]
        names = [name.strip() for name in options.get("teams", "").split(",")]
        for team in filter(None, names):
            if team not in self.teams:
                raise self.error(section, "teams", f"unknown team {team}")
            if team in self.listing_section:
                raise self.error(section, "teams", f"{team} has two parents, {self.listing_section[team]} and this")
            self.listing_section[team] = section
        if level.team and "teams" in options:
            raise self.error(section, "teams", f"{level.name} is a team, which has none beneath it")

    def complete_teams(self) -> None:
        """Set the parents of the teams, and merge in the limits and guarantees of the platform's settings."""
        for team, section in self.listing_section.items():
            level = self.levels.setdefault(team, Level(team, team=True))
            if level.parent:
                raise self.error(section_name(team), "parent", f"{team} has two parents, this and [{section}]")
            level.parent = level_name(section)
        for name, team_settings in self.teams.items():
            level = self.levels.setdefault(name, Level(name, team=True))
            level.cap = elementwise_min(level.cap, platform_cap(team_settings))
            if name not in self.levels_with_guarantee:
                level.guarantee = platform_guarantee(team_settings)
            if any(level.guarantee):
                self.levels_with_guarantee.add(name)


def platform_cap(team: Team) -> Amounts:
    """Return a team's limits from the platform's settings, where 0 means unlimited (DEPLOY)."""
    return (_platform_limit(team.cpus_max), _platform_limit(team.gpus_max), UNLIMITED, UNLIMITED)


def _platform_limit(amount: float) -> int:
    """Return a limit as an integer amount; one that would be rounded to 0 must not become unlimited."""
    return max(1, round(amount * 1000)) if amount else UNLIMITED


def platform_guarantee(team: Team) -> Amounts:
    """Return a team's guarantee from the platform's settings, where 0 means none (DEPLOY)."""
    cpus, gpus = round(team.cpus * 1000), round(team.gpus * 1000)
    return (cpus, gpus, UNLIMITED, UNLIMITED) if cpus or gpus else ZERO
