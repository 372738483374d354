"""`quinceslip model ...`: the models that explore the states of a protocol with the service's own code."""

import argparse
import logging

from quinceslip.cli.common import Subcommands, add_guard_options, words
from quinceslip.protocol.settings import SettingsError

#: name, default and meaning of each number that a model takes
Numbers = tuple[tuple[str, int, str], ...]
QUOTA_NUMBERS: Numbers = (
    ("depth", 8, "steps from the start"),
    ("shards", 2, "shards that hold of one allocation"),
    ("controllers", 2, "controllers; the first lead a shard each"),
    ("total", 1, "tasks that the allocation has room for"),
    ("most-states", 0, "end after so many states (0: never)"),
)
TAKEOVER_NUMBERS: Numbers = (
    ("depth", 7, "steps from the start"),
    ("workers", 2, "registered machines"),
    ("tasks", 1, "tasks of one job"),
    ("most-states", 0, "end after so many states (0: never)"),
)
GAP_NUMBERS: Numbers = (("lease", 4, "a worker's lease"), ("cancel", 12, "cancel_s"))


def add_commands(commands: Subcommands) -> None:
    """Add `model` with a subcommand for each protocol."""
    model = commands.add_parser("model", help="explore a protocol's states exhaustively, with the service's own code")
    models = model.add_subparsers(dest="part", required=True, metavar="PROTOCOL")
    _add_quota(models)
    _add_takeover(models)
    _add_gap(models)


def _add_numbers(command: argparse.ArgumentParser, numbers: Numbers, unit: str = "") -> None:
    for name, default, text in numbers:
        command.add_argument(f"--{name}", type=int, default=default, help=f"{text}{unit} ({default})")


def _add_step_filter(command: argparse.ArgumentParser) -> None:
    command.add_argument("--only", default="", metavar="STEP,...", help="only these kinds of steps, to reach deeper")


def _add_quota(models: Subcommands) -> None:
    command = models.add_parser("quota", help="the grants of quotas between shards")
    _add_numbers(command, QUOTA_NUMBERS)
    add_guard_options(command)
    _add_step_filter(command)
    command.set_defaults(act=model_quota)


def _add_takeover(models: Subcommands) -> None:
    command = models.add_parser("takeover", help="one shard's leader, its workers, and its successors")
    _add_numbers(command, TAKEOVER_NUMBERS)
    add_guard_options(command)
    _add_step_filter(command)
    command.add_argument("--after", default="", metavar="STEP:N:N,...", help="begin after these steps")
    command.set_defaults(act=model_takeover)


def _add_gap(models: Subcommands) -> None:
    command = models.add_parser(
        "gap", help="a cancellation that the leader of a task cannot hear of, every history of it"
    )
    add_guard_options(command)
    _add_numbers(command, GAP_NUMBERS, ", in units of 1.5 s")
    command.set_defaults(act=model_gap)


def _exit_status(breach: object, without: str) -> int:
    """0 where a breach was found exactly if a guard was left out."""
    return 0 if bool(breach) == bool(without) else 1


def model_quota(arguments: argparse.Namespace) -> int:
    """Explore the grants of quotas."""
    from quinceslip.quota.commands import run_model

    good, lines = run_model(arguments)
    print("\n".join(lines))
    return 0 if good else 1


def model_takeover(arguments: argparse.Namespace) -> int:
    """Explore failovers of one shard."""
    from quinceslip.models.takeover import explore, parse_steps

    logging.getLogger("quinceslip").setLevel(logging.CRITICAL)  # what it plays goes wrong on purpose
    try:
        found = explore(
            arguments.depth,
            arguments.workers,
            arguments.tasks,
            arguments.without,
            arguments.most_states,
            words(arguments.only),
            parse_steps(arguments.after),
        )
    except ValueError as error:
        raise SettingsError(str(error)) from error
    print(f"{found.states} states, {found.depth} steps deep")
    for what, number, index in found.history:
        print(f"  {what} {number} {index}")
    print(found.breach or "no breach")
    return _exit_status(found.breach, arguments.without)


def model_gap(arguments: argparse.Namespace) -> int:
    """Explore the gap between a cancellation and the end of the leases that a leader still renews."""
    from quinceslip.models.gap import explore

    try:
        found = explore(arguments.without, lease=arguments.lease, cancel=arguments.cancel)
    except ValueError as error:
        raise SettingsError(str(error)) from error
    print(f"{found.states} states")
    for what, *_ in found.history:
        print(f"  {what}")
    print(found.breach or f"no breach; the task is there {found.depth} units after its user was told at the most")
    return _exit_status(found.breach, arguments.without)
