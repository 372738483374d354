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
        """Return all commands in the order in which the worker carries them out: stops make room for launches."""
        return self.stops + self.launches + self.acknowledgements
