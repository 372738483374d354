"""What the search of a model returns, and how a step of a history is written."""

from dataclasses import dataclass, field
from typing import NamedTuple


class Step(NamedTuple):
    """One event of a history; what `number` counts depends on its kind: a worker, or a message in flight."""

    kind: str
    number: int = 0
    task: int = 0  # index of a task in its job


class Breach(Exception):  # noqa: N818 - what a model looks for, no fault of the program
    """A safety or liveness property does not hold in a state; the text says which."""


@dataclass(slots=True)
class SearchResult:
    """How far a search went, and the first breach with the history that leads to it, where there is one."""

    states: int
    depth: int  # steps of the longest history; `gap`: units of time that the task outlasts its cancellation
    breach: str = ""
    history: list[Step] = field(default_factory=list)


def check_guard(without: str, guards: frozenset[str]) -> None:
    """Raise ValueError where `without` names a safety check that does not exist; empty names none."""
    if without and without not in guards:
        raise ValueError(f"no such guard: {without}; there are {', '.join(sorted(guards))}")
