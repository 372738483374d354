"""`quinceslip run` and `quinceslip check`: run one controller, or only check its settings."""

import argparse
import logging
import os
import sys
from dataclasses import dataclass
from pathlib import Path

from quinceslip.cli.common import Subcommands
from quinceslip.coordination.controller.subsystem import SubsystemFactory
from quinceslip.protocol.settings import (
    Settings,
    SettingsError,
    Tuning,
    load_settings,
    load_tuning,
    read_operator_file,
)
from quinceslip.subsystems import subsystem_factories

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
#: exit status when an address of the controller cannot be bound
EXIT_BIND_ERROR = 1


@dataclass(frozen=True, slots=True)
class LoadedSettings:
    """The combined settings of both settings files and the environment."""

    settings: Settings
    tuning: Tuning
    log_level: str
    factories: list[SubsystemFactory]


def add_commands(commands: Subcommands) -> None:
    """Add `run` and `check`."""
    for name, help_text, handler in (
        ("run", "run one controller until it is ended", run),
        ("check", "check the settings and exit", check),
    ):
        command = commands.add_parser(name, help=help_text)
        command.add_argument("--operator-config", type=Path, metavar="FILE", help="the operators' own settings (INI)")
        command.add_argument(
            "--config", type=Path, required=True, metavar="FILE", help="settings that the platform hands over (TOML)"
        )
        command.set_defaults(handler=handler)


def _load(arguments: argparse.Namespace) -> LoadedSettings:
    """Read both settings files; raises SettingsError that names the file and the field."""
    from quinceslip.coordination.actor.timing import Timing

    settings = load_settings(arguments.config)
    operator_file = read_operator_file(arguments.operator_config)
    tuning = load_tuning(arguments.operator_config, operator_file)
    try:
        Timing(settings)
    except SettingsError as error:
        raise SettingsError(f"{arguments.config}: {error}") from error
    source = str(arguments.operator_config or arguments.config)
    factories = subsystem_factories(settings, operator_file, source, tuning.fair_teams)
    log_level = os.environ.get("LOG_LEVEL") or tuning.log_level or "error"
    if log_level not in LOG_LEVELS:
        raise SettingsError(f"LOG_LEVEL = {log_level}: must be error, info or debug")
    return LoadedSettings(settings, tuning, log_level, factories)


def check(arguments: argparse.Namespace) -> int:
    """Check the settings and report that they are valid."""
    _load(arguments)
    print(f"{arguments.config}: fine")
    return 0


def run(arguments: argparse.Namespace) -> int:
    """Run one controller until the process is stopped."""
    loaded = _load(arguments)
    logging.basicConfig(level=LOG_LEVELS[loaded.log_level], stream=sys.stderr, format=LOG_FORMAT)
    from quinceslip.service import Service  # deferred: `check` opens no sockets

    try:
        Service(loaded.settings, loaded.tuning, loaded.factories).run()
    except OSError as error:
        logging.getLogger(__name__).error("%s: %s", loaded.settings.api_addr, error)
        return EXIT_BIND_ERROR
    return 0
