"""`quinceslip model ...`: model checkers that explore the states of a protocol with the service's own code."""

import argparse
import logging

from quinceslip.cli.common import Subcommands, add_guard_options, split_at_commas
from quinceslip.protocol.settings import SettingsError

#: name, default and help text of each integer option of a model
IntegerOptions = tuple[tuple[str, int, str], ...]
QUOTA_OPTIONS: IntegerOptions = (
    ("depth", 8, "steps from the start"),
    ("shards", 2, "shards that hold of one allocation"),
    ("controllers", 2, "controllers; the first lead a shard each"),
    ("total", 1, "tasks that the allocation has room for"),
    ("most-states", 0, "end after so many states (0: never)"),
)
TAKEOVER_OPTIONS: IntegerOptions = (
    ("depth", 7, "steps from the start"),
    ("workers", 2, "registered machines"),
    ("tasks", 1, "tasks of one job"),
    ("most-states", 0, "end after so many states (0: never)"),
)
GAP_OPTIONS: IntegerOptions = (("lease", 4, "a worker's lease"), ("cancel", 12, "cancel_s"))


def add_commands(commands: Subcommands) -> None:
    """Add `model` with a subcommand for each protocol."""
    model = commands.add_parser("model", help="explore a protocol's states exhaustively, with the service's own code")
    models = model.add_subparsers(dest="part", required=True, metavar="PROTOCOL")
    _add_quota(models)
    _add_takeover(models)
    _add_gap(models)


def _add_integer_options(command: argparse.ArgumentParser, options: IntegerOptions, unit: str = "") -> None:
    for name, default, text in options:
        command.add_argument(f"--{name}", type=int, default=default, help=f"{text}{unit} ({default})")


def _add_step_filter(command: argparse.ArgumentParser) -> None:
    command.add_argument("--only", default="", metavar="STEP,...", help="only these kinds of steps, to reach deeper")


def _add_quota(models: Subcommands) -> None:
    command = models.add_parser("quota", help="the grants of quotas between shards")
    _add_integer_options(command, QUOTA_OPTIONS)
    add_guard_options(command)
    _add_step_filter(command)
    command.set_defaults(handler=model_quota)


def _add_takeover(models: Subcommands) -> None:
    command = models.add_parser("takeover", help="one shard's leader, its workers, and its successors")
    _add_integer_options(command, TAKEOVER_OPTIONS)
    add_guard_options(command)
    _add_step_filter(command)
    command.add_argument("--after", default="", metavar="STEP:N:N,...", help="begin after these steps")
    command.set_defaults(handler=model_takeover)


def _add_gap(models: Subcommands) -> None:
    command = models.add_parser(
        "gap", help="a cancellation that the leader of a task cannot hear of, every history of it"
    )
    add_guard_options(command)
    _add_integer_options(command, GAP_OPTIONS, ", in units of 1.5 s")
    command.set_defaults(handler=model_gap)


def _exit_status(breach: object, omitted_guard: str) -> int:
    """Return 0 if a breach was found with a guard left out, or none was found with all guards; else 1."""
    return 0 if bool(breach) == bool(omitted_guard) else 1


def model_quota(arguments: argparse.Namespace) -> int:
    """Explore the grants of quotas between shards."""
    from quinceslip.quota.commands import run_model

    as_expected, lines = run_model(arguments)
    print("\n".join(lines))
    return 0 if as_expected else 1


def model_takeover(arguments: argparse.Namespace) -> int:
    """Explore the failovers of one shard."""
    from quinceslip.models.takeover import explore, parse_steps

    logging.getLogger("quinceslip").setLevel(logging.CRITICAL)  # the model provokes errors on purpose
    try:
        result = explore(
            arguments.depth,
            arguments.workers,
            arguments.tasks,
            arguments.without,
            arguments.most_states,
            split_at_commas(arguments.only),
            parse_steps(arguments.after),
        )
    except ValueError as error:
        raise SettingsError(str(error)) from error
    print(f"{result.states} states, {result.depth} steps deep")
    for step, number, index in result.history:
        print(f"  {step} {number} {index}")
    print(result.breach or "no breach")
    return _exit_status(result.breach, arguments.without)


def model_gap(arguments: argparse.Namespace) -> int:
    """Explore the time from a cancellation until the last worker lease that an unaware leader renewed has expired."""
    from quinceslip.models.gap import explore

    try:
        result = explore(arguments.without, lease=arguments.lease, cancel=arguments.cancel)
    except ValueError as error:
        raise SettingsError(str(error)) from error
    print(f"{result.states} states")
    for step, *_ in result.history:
        print(f"  {step}")
    print(result.breach or f"no breach; the task is there {result.depth} units after its user was told at the most")
    return _exit_status(result.breach, arguments.without)
