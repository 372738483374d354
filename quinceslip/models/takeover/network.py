"""Messages in flight between the leader and its workers: they take as long as the search likes."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from quinceslip.protocol import messages as m

#: called with the HTTP status, or the `CallOutcome`, and the body
OnAnswer = Callable[[int, bytes], None]


@dataclass(slots=True)
class CommandsInFlight:
    """Direct commands: in flight until they are delivered, whether or not their sender still waits."""

    worker: int  # its place in the fleet; the machine with which the connection was made
    body: m.DirectCommands
    on_answer: OnAnswer | None  # None: the sender waits no longer


@dataclass(slots=True)
class DelayedHeartbeat:
    """A heartbeat that has not arrived yet, or that may arrive once more."""

    worker: int  # its place in the fleet
    heartbeat: m.WorkerHeartbeat


class Network:
    """All that is in flight."""

    def __init__(self) -> None:
        """A network with nothing in flight."""
        self.commands: list[CommandsInFlight] = []
        self.heartbeats: list[DelayedHeartbeat] = []
        self._places: dict[str, int] = {}  # of machines that have the address of another one

    def call(self, target: str, method: str, path: str, body: Any, on_answer: OnAnswer, timeout_us: int = 0) -> None:
        """Take a direct call of the leader (`Context.call`).

        Probes are no calls here but steps of their own: "probe" is one that is answered, "unasked" one that is not.
        """
        if method == "GET":
            return
        worker = self._places.get(target, int(target[1:]))
        self.commands.append(CommandsInFlight(worker, body, on_answer))

    def address_reused(self, address: str, lost: int, place: int) -> None:
        """Another machine has an address: what is sent there goes to it, also calls that have not been given up."""
        self._places[address] = place
        for commands in self.commands:
            if commands.worker == lost and commands.on_answer is not None:
                commands.worker = place

    def leader_crashed(self) -> None:
        """Nobody waits any more for the answers to what is in flight."""
        for commands in self.commands:
            commands.on_answer = None
