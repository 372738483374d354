"""Results of a model's search, and the steps of which its histories consist."""

from dataclasses import dataclass, field
from typing import NamedTuple


class Step(NamedTuple):
    """One event of a history; `number` is the index of a worker or of a message in flight, depending on `kind`."""

    kind: str
    number: int = 0
    task: int = 0  # index of the task within its job


class Breach(Exception):  # noqa: N818 - the object of a search, not a program error
    """A safety or liveness property does not hold in a state; the message names it."""


@dataclass(slots=True)
class SearchResult:
    """The extent of a search and, if it found a breach, the first one with the history that leads to it."""

    states: int
    depth: int  # length of the longest history; `gap`: units of time that the task outlasted its cancellation
    breach: str = ""
    history: list[Step] = field(default_factory=list)


def check_guard(without: str, guards: frozenset[str]) -> None:
    """Raise ValueError if `without` is neither empty nor one of `guards`."""
    if without and without not in guards:
        raise ValueError(f"no such guard: {without}; expected one of {', '.join(sorted(guards))}")
