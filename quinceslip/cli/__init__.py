"""The command line. What a subcommand runs is imported only when the subcommand is used."""

import argparse
import sys

from quinceslip import __version__
from quinceslip.cli import bench, models, quota, service
from quinceslip.protocol.settings import SettingsError

#: exit status for an invalid settings file or argument
EXIT_SETTINGS_ERROR = 2


def parser() -> argparse.ArgumentParser:
    """Build the parser; every subcommand sets `handler`, which takes the arguments and returns the exit status."""
    root = argparse.ArgumentParser(prog="quinceslip", description="A cluster scheduler.")
    root.add_argument("--version", action="version", version=f"quinceslip {__version__}")
    commands = root.add_subparsers(dest="command", required=True, metavar="COMMAND")
    service.add_commands(commands)
    quota.add_commands(commands)
    models.add_commands(commands)
    bench.add_commands(commands)
    return root


def main(argv: list[str] | None = None) -> int:
    """Run one subcommand and return its exit status; a settings error is one line on standard error."""
    arguments = parser().parse_args(argv)
    try:
        status: int = arguments.handler(arguments)
    except SettingsError as error:
        print(f"quinceslip: {error}", file=sys.stderr)
        return EXIT_SETTINGS_ERROR
    return status
