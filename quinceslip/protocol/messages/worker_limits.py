"""How many tasks and commands the messages to and from workers can list, with the longest ids and numbers allowed.

A request body is at most 64 KiB, and so is a line of an answer to a worker (PROTOCOL). A worker's heartbeat lists all
tasks on its machine until their results are acknowledged, so a machine must never have more tasks than a heartbeat can
list: a larger one is refused, and the worker's lease runs out.
"""

import json

import msgspec

from quinceslip.protocol.messages.fields import (
    MAX_BODY_BYTES,
    MAX_JOB_ID_DIGITS,
    MAX_TASKS,
    MAX_TEXT_LENGTH,
)
from quinceslip.protocol.messages.workers import (
    EXITED,
    GANG_EXIT_CAUSES,
    Command,
    CommandReply,
    DirectCommands,
    TaskStatus,
    WorkerHeartbeat,
    acknowledge_result,
    launch,
    stop,
)

MAX_INTEGER = 2**64 - 1
LONGEST_TEXT = "x" * MAX_TEXT_LENGTH
LONGEST_TASK_NAME = f"req-{'9' * MAX_JOB_ID_DIGITS}/{MAX_TASKS - 1}"
#: an amount with as many characters as one can have
LONGEST_AMOUNT = 1.2345678901234567e-300

LONGEST_TASK_STATUS = TaskStatus(LONGEST_TASK_NAME, MAX_INTEGER, EXITED, max(GANG_EXIT_CAUSES, key=len), saved=False)
LONGEST_EMPTY_HEARTBEAT = WorkerHeartbeat(
    LONGEST_TEXT,
    LONGEST_TEXT,
    LONGEST_TEXT,
    LONGEST_TEXT,
    MAX_INTEGER,
    MAX_INTEGER,
    MAX_INTEGER,
    notice_s=LONGEST_AMOUNT,
)
LONGEST_COMMANDS: tuple[Command, ...] = (
    launch(LONGEST_TASK_NAME, MAX_INTEGER),
    stop(LONGEST_TASK_NAME, MAX_INTEGER, LONGEST_AMOUNT),
    acknowledge_result(LONGEST_TASK_NAME, MAX_INTEGER),
)
LONGEST_EMPTY_MESSAGES = (CommandReply(MAX_INTEGER, []), DirectCommands(MAX_INTEGER, MAX_INTEGER, []))

#: fraction of the tasks of a heartbeat that only tasks for which others are stopped may use: those that are stopped
#: are listed until their ends are acknowledged
PREEMPTION_RESERVE = 1 / 8


def _worker_bytes(value: object) -> int:
    """Return the length of a value as a worker may encode it, with spaces after separators."""
    return len(json.dumps(msgspec.to_builtins(value)))


def _own_bytes(value: object) -> int:
    """Return the length of a value as this program encodes it."""
    return len(msgspec.json.encode(value))


#: tasks of a machine that a heartbeat can list, whatever their state
MAX_LISTED_TASKS = (MAX_BODY_BYTES - _worker_bytes(LONGEST_EMPTY_HEARTBEAT)) // (
    _worker_bytes(LONGEST_TASK_STATUS) + len(", ")
)
#: tasks up to which a machine gets more without others being stopped for them
MAX_PLACED_TASKS = int(MAX_LISTED_TASKS * (1 - PREEMPTION_RESERVE))
#: commands in one message to a worker
MAX_COMMANDS = (MAX_BODY_BYTES - max(map(_own_bytes, LONGEST_EMPTY_MESSAGES))) // (
    max(map(_own_bytes, LONGEST_COMMANDS)) + len(",")
)
