"""Helpers shared by the subcommands."""

import argparse
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    Subcommands = argparse._SubParsersAction[argparse.ArgumentParser]  # noqa: SLF001 - argparse has no public name for it
else:
    Subcommands = object


def add_output(command: argparse.ArgumentParser, *, required: bool, text: str | None = None) -> None:
    """Add the option for the output file."""
    command.add_argument("-o", "--output", type=Path, required=required, metavar="FILE", help=text)


def add_guard_options(command: argparse.ArgumentParser) -> None:
    """Add the option that disables one of a model's guards."""
    command.add_argument("--without", default="", metavar="GUARD", help="leave one guard out: a breach must be found")


def split_at_commas(text: str) -> frozenset[str]:
    """Split a comma-separated list, without its empty items."""
    return frozenset(item for item in text.split(",") if item)
