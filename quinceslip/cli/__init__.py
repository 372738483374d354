"""The command line: one subcommand for each thing to do, each imported only when it is asked for."""

import argparse
import sys

from quinceslip import __version__
from quinceslip.cli import bench, models, quota, service
from quinceslip.protocol.settings import SettingsError

#: exit status where a settings file or an argument cannot be used
EXIT_SETTINGS = 2


def parser() -> argparse.ArgumentParser:
    """The parser of all subcommands; each sets `act`, which takes the arguments and returns the exit status."""
    made = argparse.ArgumentParser(prog="quinceslip", description="A cluster scheduler.")
    made.add_argument("--version", action="version", version=f"quinceslip {__version__}")
    commands = made.add_subparsers(dest="command", required=True, metavar="COMMAND")
    service.add_commands(commands)
    quota.add_commands(commands)
    models.add_commands(commands)
    bench.add_commands(commands)
    return made


def main(argv: list[str] | None = None) -> int:
    """Run one subcommand and return its exit status; what cannot be used is named on one line of standard error."""
    arguments = parser().parse_args(argv)
    try:
        status: int = arguments.act(arguments)
    except SettingsError as error:
        print(f"quinceslip: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    return status
