"""Messages in flight between the leader and its workers; the search decides when they arrive."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from quinceslip.protocol import messages as m

#: called with the HTTP status, or the `CallOutcome`, and the body
OnAnswer = Callable[[int, bytes], None]


@dataclass(slots=True)
class CommandsInFlight:
    """Direct commands; they stay in flight until delivered, even if the sender no longer waits for the answer."""

    machine_index: int  # in the fleet; the machine to which the connection was made
    body: m.DirectCommands
    on_answer: OnAnswer | None  # None: the sender no longer waits
    is_copy: bool = False  # of commands that have been delivered


@dataclass(slots=True)
class DelayedHeartbeat:
    """A heartbeat that has not arrived yet, or that may arrive again."""

    machine_index: int  # of the sender in the fleet
    heartbeat: m.WorkerHeartbeat


class Network:
    """All messages in flight."""

    def __init__(self) -> None:
        """Create a network with nothing in flight."""
        self.commands: list[CommandsInFlight] = []
        self.heartbeats: list[DelayedHeartbeat] = []
        self.copied_commands = 0  # number of delivered commands of which a copy was made
        self._reassigned: dict[str, int] = {}  # reused addresses -> index of the machine there

    def call(self, target: str, method: str, path: str, body: Any, on_answer: OnAnswer, timeout_us: int = 0) -> None:
        """Accept a direct call of the leader (`Context.call`).

        Probes are ignored here, as they are steps of their own: "probe" if answered, "unasked" if not.
        """
        if method == "GET":
            return
        machine_index = self._reassigned.get(target, int(target[1:]))
        self.commands.append(CommandsInFlight(machine_index, body, on_answer))

    def address_reused(self, address: str, lost_index: int, new_index: int) -> None:
        """Route messages for `address` to another machine, including calls whose sender still waits."""
        self._reassigned[address] = new_index
        for commands in self.commands:
            if commands.machine_index == lost_index and commands.on_answer is not None:
                commands.machine_index = new_index

    def copy_commands(self, position: int) -> None:
        """Leave a copy of direct commands in flight that are delivered next; nobody waits for its answer."""
        commands = self.commands[position]
        self.copied_commands += 1
        self.commands.append(CommandsInFlight(commands.machine_index, commands.body, None, is_copy=True))

    def leader_crashed(self) -> None:
        """Discard the callbacks of all commands in flight; their sender no longer waits."""
        for commands in self.commands:
            commands.on_answer = None
