"""Which subsystems a controller takes in, by its settings. What is off is not imported."""

import configparser

from quinceslip.coordination.controller.subsystem import SubsystemFactory
from quinceslip.protocol.settings import Settings

#: sections of the operators' file whose first word is this one name a quota level
QUOTA_SECTION = "quota"


def subsystem_factories(
    settings: Settings, operators: configparser.ConfigParser, source: str = "", fair_teams: bool = True
) -> list[SubsystemFactory]:
    """The subsystems that are switched on; raises SettingsError for what cannot be used.

    `operators` is the operators' file and `source` its name, for messages. `fair_teams`: several teams divide what is
    free between them even where nothing limits or guarantees them anything.
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
    """Whether the operators name quota levels, a team has a limit or a guarantee, or teams are to share fairly."""
    teams = settings.facts.teams
    if any(section.split(" ")[0] == QUOTA_SECTION for section in operators.sections()):
        return True
    if any(team.cpus or team.cpus_max or team.gpus or team.gpus_max for team in teams):
        return True
    return fair_teams and len(teams) > 1
