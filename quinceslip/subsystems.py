"""Which subsystems a controller takes in, by its settings. What is off is not imported."""

import configparser

from quinceslip.coordination.actor.subsystem import SubsystemFactory
from quinceslip.protocol.settings import Settings


def subsystem_factories(
    settings: Settings, operators: configparser.ConfigParser, source: str = "", fair_teams: bool = True
) -> list[SubsystemFactory]:
    """The subsystems that are switched on; raises SettingsError for what cannot be used.

    `fair_teams`: several teams divide what is free between them even where nothing limits or guarantees them anything.
    """
    found: list[SubsystemFactory] = []
    teams = settings.facts.teams
    if (
        any(s.split(" ")[0] == "quota" for s in operators.sections())
        or any(t.cpus or t.cpus_max or t.gpus or t.gpus_max for t in teams)
        or (fair_teams and len(teams) > 1)
    ):
        from quinceslip.quota.allocation_manager import attach
        from quinceslip.quota.config import load_tree

        tree = load_tree(operators, teams, source, fair_teams)
        if tree is not None:
            found.append(attach(tree))
    return found
