"""The command line: one subcommand for each thing to do, each imported only when it is asked for."""

import argparse
import logging
import os
import sys
from pathlib import Path

from quinceslip import __version__
from quinceslip.coordination.actor.subsystem import SubsystemFactory
from quinceslip.protocol.settings import (
    Settings,
    SettingsError,
    Tuning,
    load_settings,
    load_tuning,
    read_operator_file,
)
from quinceslip.subsystems import subsystem_factories

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(prog="quinceslip", description="A cluster scheduler.")
    made.add_argument("--version", action="version", version=f"quinceslip {__version__}")
    commands = made.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name, text in (("run", "run one controller until it is ended"), ("check", "check the settings and exit")):
        command = commands.add_parser(name, help=text)
        command.add_argument("--operator-config", type=Path, metavar="FILE", help="the operators' own settings (INI)")
        command.add_argument(
            "--config", type=Path, required=True, metavar="FILE", help="settings that the platform hands over (TOML)"
        )
        command.set_defaults(act=run if name == "run" else check)
    _quota_commands(commands)
    model = commands.add_parser("model", help="explore a protocol's states exhaustively, with the service's own code")
    models = model.add_subparsers(dest="part", required=True, metavar="PROTOCOL")
    grants = models.add_parser("quota", help="the grants of quotas between shards")
    for name, default, text in (
        ("depth", 8, "steps from the start"),
        ("shards", 2, "shards that hold of one purse"),
        ("controllers", 2, "controllers; the first own a shard each"),
        ("total", 1, "tasks that the purse has room for"),
        ("most-states", 0, "end after so many states (0: never)"),
    ):
        grants.add_argument(f"--{name}", type=int, default=default, help=f"{text} ({default})")
    grants.add_argument("--without", default="", metavar="GUARD", help="leave one guard out: a breach must be found")
    grants.add_argument("--only", default="", metavar="STEP,...", help="only these kinds of steps, to reach deeper")
    grants.set_defaults(act=model_quota)
    takeover = models.add_parser("takeover", help="one shard's owner, its workers, and its successors")
    for name, default, text in (
        ("depth", 7, "steps from the start"),
        ("workers", 2, "machines on the roster"),
        ("tasks", 1, "tasks of one job"),
        ("most-states", 0, "end after so many states (0: never)"),
    ):
        takeover.add_argument(f"--{name}", type=int, default=default, help=f"{text} ({default})")
    takeover.add_argument("--without", default="", metavar="GUARD", help="leave one guard out: a breach must be found")
    takeover.add_argument("--only", default="", metavar="STEP,...", help="only these kinds of steps, to reach deeper")
    takeover.add_argument("--after", default="", metavar="STEP:N:N,...", help="begin after these steps")
    takeover.set_defaults(act=model_takeover)
    gap = models.add_parser("gap", help="a cancellation that the owner of a task cannot hear of, every history of it")
    gap.add_argument("--without", default="", metavar="GUARD", help="leave one guard out: a breach must be found")
    for name, default, text in (("lease", 4, "a worker's lease"), ("cancel", 12, "cancel_s")):
        gap.add_argument(f"--{name}", type=int, default=default, help=f"{text}, in units of 1.5 s ({default})")
    gap.set_defaults(act=model_gap)
    bench = commands.add_parser("bench", help="measure parts of the service on this machine")
    benches = bench.add_subparsers(dest="part", required=True, metavar="WHAT")
    fleet = benches.add_parser("fleet", help="work and processor time of a controller, by kind of message")
    fleet.add_argument("--machines", type=int, nargs="+", default=[300, 561, 857, 1500], metavar="N")
    fleet.add_argument("--seconds", type=float, default=60.0, help="simulated seconds (60)")
    fleet.add_argument("--seed", type=int, default=1)
    fleet.set_defaults(act=bench_fleet)
    room = benches.add_parser("supply", help="how often controllers ask in vain, how soon they find room")
    room.add_argument("--controllers", type=int, nargs="+", default=[3, 9, 27, 64], metavar="N")
    room.add_argument("--kinds", type=int, default=4, help="kinds of machines that run short (4)")
    room.add_argument("--rps", type=float, default=8.0, help="calls a second that the cloud takes (8)")
    room.add_argument("--seconds", type=float, default=1800.0, help="simulated seconds (1800)")
    room.add_argument("--seed", type=int, default=1)
    room.add_argument("-o", "--output", type=Path, metavar="FILE", help="one HTML page (needs requirements-plots.txt)")
    room.set_defaults(act=bench_supply)
    drawn = benches.add_parser("plot", help="one HTML page of what `fleet` printed (needs requirements-plots.txt)")
    drawn.add_argument("files", type=Path, nargs="+", metavar="FILE")
    drawn.add_argument("-o", "--output", type=Path, required=True, metavar="FILE")
    drawn.set_defaults(act=bench_plot)
    return made


def model_takeover(arguments: argparse.Namespace) -> int:
    from quinceslip.models.takeover import explore, read_steps

    logging.getLogger("quinceslip").setLevel(logging.CRITICAL)  # what it plays goes wrong on purpose
    try:
        found = explore(
            arguments.depth,
            arguments.workers,
            arguments.tasks,
            arguments.without,
            arguments.most_states,
            frozenset(s for s in arguments.only.split(",") if s),
            read_steps(arguments.after),
        )
    except ValueError as error:
        raise SettingsError(str(error)) from error
    print(f"{found.states} states, {found.depth} steps deep")
    for what, number, index in found.history:
        print(f"  {what} {number} {index}")
    print(found.breach or "no breach")
    return 0 if bool(found.breach) == bool(arguments.without) else 1


def model_gap(arguments: argparse.Namespace) -> int:
    from quinceslip.models.gap import explore

    try:
        found = explore(arguments.without, lease=arguments.lease, cancel=arguments.cancel)
    except ValueError as error:
        raise SettingsError(str(error)) from error
    print(f"{found.states} states")
    for what, *_ in found.history:
        print(f"  {what}")
    print(found.breach or f"no breach; the task is there {found.depth} units after its user was told at the most")
    return 0 if bool(found.breach) == bool(arguments.without) else 1


def bench_plot(arguments: argparse.Namespace) -> int:
    from quinceslip.bench.plots import write_page

    print(write_page(arguments.files, arguments.output))
    return 0


def bench_fleet(arguments: argparse.Namespace) -> int:
    import json

    from quinceslip.bench.fleet import measure

    for machines in arguments.machines:
        print(json.dumps(measure(machines, arguments.seconds, arguments.seed)), flush=True)
    return 0


def bench_supply(arguments: argparse.Namespace) -> int:
    import json

    from quinceslip.bench.capacity import measure, write_page

    runs = [
        measure(count, told, arguments.kinds, arguments.seconds, arguments.seed, arguments.rps)
        for count in arguments.controllers
        for told in (True, False)
    ]
    for run in runs:
        print(json.dumps(run), flush=True)
    if arguments.output:
        print(write_page(runs, arguments.output))
    return 0


def model_quota(arguments: argparse.Namespace) -> int:
    from quinceslip.quota.commands import run_model

    good, lines = run_model(arguments)
    print("\n".join(lines))
    return 0 if good else 1


def _quota_commands(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    quota = commands.add_parser("quota", help="check a tree of quotas, or show it as a controller sees it")
    parts = quota.add_subparsers(dest="part", required=True, metavar="COMMAND")
    checked = parts.add_parser("check", help="check the tree in an operators' file")
    checked.add_argument("file", type=Path, metavar="FILE")
    checked.add_argument(
        "--config",
        type=Path,
        metavar="FILE",
        help="the platform's settings, for its teams; else levels with none beneath them are teams",
    )
    checked.set_defaults(act=quota_check)
    show = parts.add_parser("show", help="the tree as a controller sees it")
    show.add_argument("--from", dest="address", required=True, metavar="ADDRESS", help="a controller's api_addr")
    show.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    show.set_defaults(act=quota_show)
    record = parts.add_parser("record", help="write samples of the tree while a run goes on")
    record.add_argument(
        "--from",
        dest="address",
        required=True,
        action="append",
        metavar="ADDRESS",
        help="a controller's api_addr; give it once for each controller",
    )
    record.add_argument("--every", type=float, default=1.0, metavar="SECONDS")
    record.add_argument("--for", dest="length", type=float, default=60.0, metavar="SECONDS")
    record.add_argument("-o", "--output", type=Path, required=True, metavar="FILE")
    record.set_defaults(act=quota_record)
    plot = parts.add_parser("plot", help="one HTML page of such samples (needs requirements-plots.txt)")
    plot.add_argument("file", type=Path, metavar="FILE")
    plot.add_argument("-o", "--output", type=Path, required=True, metavar="FILE")
    plot.add_argument("--resource", default="cpus")
    plot.set_defaults(act=quota_plot)
    bench = parts.add_parser("bench", help="what a pass costs with and without a tree, in one run")
    bench.add_argument("--leaves", type=int, default=5000)
    bench.add_argument("--machines", type=int, default=300)
    bench.set_defaults(act=quota_bench)


def quota_check(arguments: argparse.Namespace) -> int:
    from quinceslip.quota.commands import check_file

    print(check_file(arguments.file, arguments.config))
    return 0


def quota_show(arguments: argparse.Namespace) -> int:
    from quinceslip.quota.commands import fetch, lines

    for line in lines(fetch(arguments.address), arguments.json):
        print(line)
    return 0


def quota_record(arguments: argparse.Namespace) -> int:
    from quinceslip.quota.commands import record_to

    print(record_to(arguments.output, arguments.address, arguments.every, arguments.length))
    return 0


def quota_plot(arguments: argparse.Namespace) -> int:
    from quinceslip.quota.plots import write_page

    print(write_page(arguments.file, arguments.output, arguments.resource))
    return 0


def quota_bench(arguments: argparse.Namespace) -> int:
    from quinceslip.quota.commands import bench_lines

    for line in bench_lines(arguments.leaves, arguments.machines):
        print(line)
    return 0


def _load(arguments: argparse.Namespace) -> tuple[Settings, Tuning, str, list[SubsystemFactory]]:
    from quinceslip.coordination.actor.timing import Timing

    settings = load_settings(arguments.config)
    operators = read_operator_file(arguments.operator_config)
    tuning = load_tuning(arguments.operator_config, operators)
    try:
        Timing(settings)
    except SettingsError as error:
        raise SettingsError(f"{arguments.config}: {error}") from error
    made = subsystem_factories(
        settings, operators, str(arguments.operator_config or arguments.config), tuning.fair_teams
    )
    level = os.environ.get("LOG_LEVEL") or tuning.log_level or "error"
    if level not in LEVELS:
        raise SettingsError(f"LOG_LEVEL = {level}: must be error, info or debug")
    return settings, tuning, level, made


def check(arguments: argparse.Namespace) -> int:
    _load(arguments)
    print(f"{arguments.config}: fine")
    return 0


def run(arguments: argparse.Namespace) -> int:
    settings, tuning, level, made = _load(arguments)
    logging.basicConfig(
        level=LEVELS[level], stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    from quinceslip.service import Service  # only now: checking needs no sockets

    try:
        Service(settings, tuning, made).run()
    except OSError as error:
        logging.getLogger(__name__).error("%s: %s", settings.api_addr, error)
        return 1
    return 0


def main(argv: list[str] | None = None) -> int:
    arguments = parser().parse_args(argv)
    try:
        status: int = arguments.act(arguments)
    except SettingsError as error:
        print(f"quinceslip: {error}", file=sys.stderr)
        return 2
    return status
