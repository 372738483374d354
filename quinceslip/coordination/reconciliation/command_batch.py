"""The commands of one answer to a heartbeat."""

from dataclasses import dataclass, field

from quinceslip.protocol import messages as m


@dataclass(slots=True)
class CommandBatch:
    """Commands for one worker, by kind, in the order in which each kind was added."""

    stops: list[m.Command] = field(default_factory=list)
    launches: list[m.Command] = field(default_factory=list)
    acknowledgements: list[m.Command] = field(default_factory=list)

    def in_order(self) -> list[m.Command]:
        """Return the commands in the order in which the worker carries them out: stops make room for launches.

        Returns as many as fit into a message. The others are built again for the next heartbeat, when those that were
        carried out are no longer needed.
        """
        commands = self.stops + self.launches + self.acknowledgements
        end = m.MAX_COMMANDS
        # A launch with a stop behind it makes the worker know the attempt as ended: on its own it would start it.
        if len(commands) > end and _stops_launch(commands[end - 1], commands[end]):
            end -= 1
        return commands[:end]


def _stops_launch(first: m.Command, second: m.Command) -> bool:
    """Whether the second command stops what the first one launches."""
    return (
        first.op == m.CommandKind.LAUNCH
        and second.op == m.CommandKind.STOP
        and (first.task, first.attempt) == (second.task, second.attempt)
    )
