"""What the modules of subcommands share."""

import argparse
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    Subcommands = argparse._SubParsersAction[argparse.ArgumentParser]  # noqa: SLF001 - it has no public name
else:
    Subcommands = object


def add_output(command: argparse.ArgumentParser, *, required: bool, text: str | None = None) -> None:
    """The option for the file that a subcommand writes."""
    command.add_argument("-o", "--output", type=Path, required=required, metavar="FILE", help=text)


def add_guard_options(command: argparse.ArgumentParser) -> None:
    """The option of every model that leaves one of its guards out."""
    command.add_argument("--without", default="", metavar="GUARD", help="leave one guard out: a breach must be found")


def words(text: str) -> frozenset[str]:
    """The parts of a list with commas."""
    return frozenset(word for word in text.split(",") if word)
