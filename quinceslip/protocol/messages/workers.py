"""Messages of workers: heartbeats with the status of their tasks, and the commands that answer them."""

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
    """Why an attempt exited, where the scheduler treats it in a way of its own."""

    DONE = "done"
    HALTED = "halted"
    ERROR = "error"


class CommandKind(StrEnum):
    """What a worker is told to do with an attempt."""

    LAUNCH = "launch"
    STOP = "halt"
    ACKNOWLEDGE_RESULT = "reap"


PULLING, FLUSHING, EXITED = TaskState.PULLING, TaskState.FLUSHING, TaskState.EXITED
CAUSE_DONE, CAUSE_HALTED, CAUSE_ERROR = ExitCause.DONE, ExitCause.HALTED, ExitCause.ERROR
#: a gang's task that ended because the others did, or never came
GANG_EXIT_CAUSES = ("peers", "incomplete")


class TaskStatus(Struct):
    """One attempt of a task as its worker has it; `why` is the cause once it has exited."""

    task: str = field(name="pick")
    attempt: UnsignedInteger = field(name="try")
    state: str = field(name="status")
    why: str | None = field(name="cause", default=None)
    saved: bool | None = None


class WorkerHeartbeat(Struct):
    """A heartbeat with status: the worker, its agent epoch, the fencing token it has seen, and all of its tasks.

    `seq` counts the heartbeats of one epoch. `notice_s` is set once the cloud reclaims the machine in so many seconds.
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
    """Whether a reply to `PATH_INSPECT` is a heartbeat of that worker."""
    try:
        return msgspec.json.decode(body, type=WorkerHeartbeat).worker == worker
    except msgspec.DecodeError:
        return False


class Command(Struct, omit_defaults=True):
    """One command about one attempt; `grace_s` is the time that a stopped task has to save its work."""

    op: str = field(name="verb")
    task: str = field(name="pick")
    attempt: int = field(name="try")
    grace_s: float | None = field(name="windDownS", default=None)


def launch(task: str, attempt: int) -> Command:
    """Start an attempt of a task."""
    return Command(CommandKind.LAUNCH, task, attempt)


def stop(task: str, attempt: int, grace_s: float) -> Command:
    """Stop an attempt, with so many seconds to save its work."""
    return Command(CommandKind.STOP, task, attempt, grace_s)


def acknowledge_result(task: str, attempt: int) -> Command:
    """Let the worker forget an exited attempt: its result is recorded."""
    return Command(CommandKind.ACKNOWLEDGE_RESULT, task, attempt)


class CommandReply(Struct):
    """The answer to a heartbeat; it renews the worker's lease."""

    fencing_token: int = field(name="baton")
    commands: list[Command] = field(name="orders")


class DirectCommands(Struct):
    """Commands sent to a worker at once; it refuses them for another epoch or under an older fencing token."""

    fencing_token: int = field(name="baton")
    epoch: int = field(name="stint")
    commands: list[Command] = field(name="orders")


def redirect(leader: str | None) -> dict[str, Any]:
    """The body of a 421: the controller that leads the worker's shard, if it is known."""
    return {"foreman": leader} if leader else {}
