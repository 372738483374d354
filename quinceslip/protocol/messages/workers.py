"""Messages of workers: heartbeats with the status of their tasks, and commands to them."""

from enum import StrEnum
from typing import Any

import msgspec
from msgspec import Struct, field

from quinceslip.protocol.messages.fields import Text, UnsignedInteger

PATH_HEARTBEAT = "/hello"
PATH_INSPECT = "/inspect"
PATH_COMMANDS = "/do"


class TaskState(StrEnum):
    """State of one attempt of a task on its worker."""

    PULLING = "pulling"
    RUNNING = "running"
    FLUSHING = "flushing"
    EXITED = "exited"


class ExitCause(StrEnum):
    """Exit causes that the scheduler treats specially."""

    DONE = "done"
    HALTED = "halted"
    ERROR = "error"


class CommandKind(StrEnum):
    """What a worker does with an attempt on a command."""

    LAUNCH = "launch"
    STOP = "halt"
    ACKNOWLEDGE_RESULT = "reap"


PULLING, FLUSHING, EXITED = TaskState.PULLING, TaskState.FLUSHING, TaskState.EXITED
CAUSE_DONE, CAUSE_HALTED, CAUSE_ERROR = ExitCause.DONE, ExitCause.HALTED, ExitCause.ERROR
#: exit causes of a gang's task that ended because other tasks of the gang ended or never started
GANG_EXIT_CAUSES = ("peers", "incomplete")


class TaskStatus(Struct):
    """The status of one attempt of a task on its worker; `exit_cause` is set once it has exited."""

    task: str = field(name="pick")
    attempt: UnsignedInteger = field(name="try")
    state: str = field(name="status")
    exit_cause: str | None = field(name="cause", default=None)
    saved: bool | None = None


class WorkerHeartbeat(Struct):
    """A worker's heartbeat: its agent epoch, the fencing token that it has seen, and the status of all its tasks.

    `seq` counts the heartbeats of one epoch. `notice_s` is set once the cloud has announced that it reclaims the
    machine: the number of seconds until then.
    """

    worker: Text = field(name="berth")
    endpoint: str
    type: str = field(name="build")
    zone: str = field(name="yard")
    epoch: UnsignedInteger = field(name="stint")
    seq: UnsignedInteger = field(name="tick")
    fencing_token: UnsignedInteger = field(name="baton")
    spot: bool = field(name="loaners", default=False)
    notice_s: float | None = field(name="warningS", default=None)
    tasks: list[TaskStatus] = field(name="picks", default_factory=list)


def is_heartbeat_of(body: bytes, worker: str) -> bool:
    """Return whether the answer to `PATH_INSPECT` is a heartbeat of the given worker."""
    try:
        return msgspec.json.decode(body, type=WorkerHeartbeat).worker == worker
    except msgspec.DecodeError:
        return False


class Command(Struct, omit_defaults=True):
    """A command for one attempt of a task; `grace_s` is the time that a stopped task gets to save its work."""

    op: str = field(name="verb")
    task: str = field(name="pick")
    attempt: int = field(name="try")
    grace_s: float | None = field(name="windDownS", default=None)


def launch(task: str, attempt: int) -> Command:
    """Build the command that starts an attempt of a task."""
    return Command(CommandKind.LAUNCH, task, attempt)


def stop(task: str, attempt: int, grace_s: float) -> Command:
    """Build the command that stops an attempt, which gets `grace_s` to save its work."""
    return Command(CommandKind.STOP, task, attempt, grace_s)


def acknowledge_result(task: str, attempt: int) -> Command:
    """Build the command that lets the worker forget an exited attempt, whose result has been recorded."""
    return Command(CommandKind.ACKNOWLEDGE_RESULT, task, attempt)


class CommandReply(Struct):
    """The answer to a heartbeat, which renews the worker's lease."""

    fencing_token: int = field(name="baton")
    commands: list[Command] = field(name="orders")


class DirectCommands(Struct):
    """Commands sent to a worker without waiting for its heartbeat.

    The worker rejects them if they are for another epoch or have an older fencing token.
    """

    fencing_token: int = field(name="baton")
    epoch: int = field(name="stint")
    commands: list[Command] = field(name="orders")


def redirect(leader: str | None) -> dict[str, Any]:
    """Build the body of a 421 response: the controller that leads the worker's shard, if it is known."""
    return {"foreman": leader} if leader else {}
