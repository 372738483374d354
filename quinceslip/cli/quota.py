"""`quinceslip quota ...`: check a quota tree, or show, record and plot it as controllers see it."""

import argparse
from pathlib import Path

from quinceslip.cli.common import Subcommands, add_output


def add_commands(commands: Subcommands) -> None:
    """Add `quota` with its subcommands."""
    quota = commands.add_parser("quota", help="check a tree of quotas, or show it as a controller sees it")
    subcommands = quota.add_subparsers(dest="part", required=True, metavar="COMMAND")
    _add_check(subcommands)
    _add_show(subcommands)
    _add_record(subcommands)
    _add_plot(subcommands)
    _add_bench(subcommands)


def _add_check(subcommands: Subcommands) -> None:
    command = subcommands.add_parser("check", help="check the tree in an operators' file")
    command.add_argument("file", type=Path, metavar="FILE")
    command.add_argument(
        "--config",
        type=Path,
        metavar="FILE",
        help="the platform's settings, for its teams; else levels with none beneath them are teams",
    )
    command.set_defaults(handler=quota_check)


def _add_show(subcommands: Subcommands) -> None:
    command = subcommands.add_parser("show", help="the tree as a controller sees it")
    command.add_argument("--from", dest="address", required=True, metavar="ADDRESS", help="a controller's api_addr")
    command.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    command.set_defaults(handler=quota_show)


def _add_record(subcommands: Subcommands) -> None:
    command = subcommands.add_parser("record", help="write samples of the tree while a run goes on")
    command.add_argument(
        "--from",
        dest="address",
        required=True,
        action="append",
        metavar="ADDRESS",
        help="a controller's api_addr; give it once for each controller",
    )
    command.add_argument("--every", type=float, default=1.0, metavar="SECONDS")
    command.add_argument("--for", dest="length", type=float, default=60.0, metavar="SECONDS")
    add_output(command, required=True)
    command.set_defaults(handler=quota_record)


def _add_plot(subcommands: Subcommands) -> None:
    command = subcommands.add_parser("plot", help="one HTML page of such samples (needs requirements-plots.txt)")
    command.add_argument("file", type=Path, metavar="FILE")
    add_output(command, required=True)
    command.add_argument("--resource", default="cpus")
    command.set_defaults(handler=quota_plot)


def _add_bench(subcommands: Subcommands) -> None:
    command = subcommands.add_parser("bench", help="what a pass costs with and without a tree, in one run")
    command.add_argument("--leaves", type=int, default=5000)
    command.add_argument("--machines", type=int, default=300)
    command.set_defaults(handler=quota_bench)


def quota_check(arguments: argparse.Namespace) -> int:
    """Check the tree in an operators' file."""
    from quinceslip.quota.commands import check_file

    print(check_file(arguments.file, arguments.config))
    return 0


def quota_show(arguments: argparse.Namespace) -> int:
    """Print the tree as a controller sees it."""
    from quinceslip.quota.commands import format_page
    from quinceslip.quota.page_client import fetch

    for line in format_page(fetch(arguments.address), arguments.json):
        print(line)
    return 0


def quota_record(arguments: argparse.Namespace) -> int:
    """Write samples of the tree to a file."""
    from quinceslip.quota.commands import record_to_file

    print(record_to_file(arguments.output, arguments.address, arguments.every, arguments.length))
    return 0


def quota_plot(arguments: argparse.Namespace) -> int:
    """Plot recorded samples."""
    from quinceslip.quota.plots import write_page

    print(write_page(arguments.file, arguments.output, arguments.resource))
    return 0


def quota_bench(arguments: argparse.Namespace) -> int:
    """Print the cost of a scheduling pass with and without a quota tree."""
    from quinceslip.quota.commands import bench_lines

    for line in bench_lines(arguments.leaves, arguments.machines):
        print(line)
    return 0
