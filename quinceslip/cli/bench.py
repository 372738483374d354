"""`quinceslip bench ...`: benchmarks of parts of the service on this machine."""

import argparse
import json
from pathlib import Path

from quinceslip.cli.common import Subcommands, add_output

DEFAULT_FLEETS = [300, 561, 857, 1500]
DEFAULT_CONTROLLERS = [3, 9, 27, 64]
PLOT_HELP = "one HTML page (needs requirements-plots.txt)"


def add_commands(commands: Subcommands) -> None:
    """Add `bench` with a subcommand for each benchmark."""
    bench = commands.add_parser("bench", help="measure parts of the service on this machine")
    benches = bench.add_subparsers(dest="part", required=True, metavar="WHAT")
    _add_fleet(benches)
    _add_capacity(benches)
    _add_plot(benches)


def _add_fleet(benches: Subcommands) -> None:
    command = benches.add_parser("fleet", help="work and processor time of a controller, by kind of message")
    command.add_argument("--machines", type=int, nargs="+", default=DEFAULT_FLEETS, metavar="N")
    command.add_argument("--seconds", type=float, default=60.0, help="simulated seconds (60)")
    command.add_argument("--seed", type=int, default=1)
    command.set_defaults(handler=bench_fleet)


def _add_capacity(benches: Subcommands) -> None:
    command = benches.add_parser("supply", help="how often controllers ask in vain, how soon they find room")
    command.add_argument("--controllers", type=int, nargs="+", default=DEFAULT_CONTROLLERS, metavar="N")
    command.add_argument("--kinds", type=int, default=4, help="kinds of machines that run short (4)")
    command.add_argument("--rps", type=float, default=8.0, help="calls a second that the cloud takes (8)")
    command.add_argument("--seconds", type=float, default=1800.0, help="simulated seconds (1800)")
    command.add_argument("--seed", type=int, default=1)
    add_output(command, required=False, text=PLOT_HELP)
    command.set_defaults(handler=bench_capacity)


def _add_plot(benches: Subcommands) -> None:
    command = benches.add_parser("plot", help="one HTML page of what `fleet` printed (needs requirements-plots.txt)")
    command.add_argument("files", type=Path, nargs="+", metavar="FILE")
    add_output(command, required=True)
    command.set_defaults(handler=bench_plot)


def bench_fleet(arguments: argparse.Namespace) -> int:
    """Print the cost of handling messages, one JSON line per fleet size."""
    from quinceslip.bench.fleet import measure

    for machines in arguments.machines:
        print(json.dumps(measure(machines, arguments.seconds, arguments.seed)), flush=True)
    return 0


def bench_capacity(arguments: argparse.Namespace) -> int:
    """Print how controllers find capacity, one JSON line per number of controllers, with and without sharing."""
    from quinceslip.bench.capacity import measure, write_page

    runs = [
        measure(count, sharing, arguments.kinds, arguments.seconds, arguments.seed, arguments.rps)
        for count in arguments.controllers
        for sharing in (True, False)
    ]
    for run in runs:
        print(json.dumps(run), flush=True)
    if arguments.output:
        print(write_page(runs, arguments.output))
    return 0


def bench_plot(arguments: argparse.Namespace) -> int:
    """Plot the output of `bench fleet`."""
    from quinceslip.bench.plots import write_page

    print(write_page(arguments.files, arguments.output))
    return 0
