"""Selects the subsystems that a controller's settings enable. Disabled ones are not imported."""

import configparser

from quinceslip.coordination.controller.subsystem import SubsystemFactory
from quinceslip.protocol.settings import Settings

#: first word of the sections of the operators' file that define quota levels
QUOTA_SECTION = "quota"


def subsystem_factories(
    settings: Settings, operators: configparser.ConfigParser, source: str = "", fair_teams: bool = True
) -> list[SubsystemFactory]:
    """Return the factories of the enabled subsystems; raises SettingsError for invalid settings.

    `operators` is the operators' file, and `source` its name for error messages. With `fair_teams`, teams share free
    resources fairly even if none of them has a limit or a guarantee.
    """
    factories: list[SubsystemFactory] = []
    if _uses_quotas(settings, operators, fair_teams):
        from quinceslip.quota.allocation_manager import attach
        from quinceslip.quota.config import load_tree

        tree = load_tree(operators, settings.facts.teams, source, fair_teams)
        if tree is not None:
            factories.append(attach(tree))
    return factories


def _uses_quotas(settings: Settings, operators: configparser.ConfigParser, fair_teams: bool) -> bool:
    """Return whether quota levels, or a team's limit or guarantee are configured, or several teams share fairly."""
    teams = settings.facts.teams
    if any(section.split(" ")[0] == QUOTA_SECTION for section in operators.sections()):
        return True
    if any(team.cpus or team.cpus_max or team.gpus or team.gpus_max for team in teams):
        return True
    return fair_teams and len(teams) > 1
