"""Periodic work: every part of a controller takes its turn in each tick."""

import logging
from collections.abc import Callable
from typing import NamedTuple

from quinceslip.coordination.actor.context import Context

log = logging.getLogger(__name__)


class PeriodicPart(NamedTuple):
    """A part and its name, by which stall records know it."""

    name: str
    tick: Callable[[], None]


class PeriodicWork:
    """Runs the parts in their order."""

    def __init__(self, ctx: Context, parts: list[PeriodicPart]) -> None:
        self.ctx = ctx
        self.parts = parts

    def tick(self) -> None:
        """Run every part on its own: a defect in one of them costs that part its turn and nothing else."""
        for part in self.parts:
            self.ctx.active_part = part.name
            try:
                part.tick()
            except Exception:
                log.exception("a part of the tick failed part=%s", part.name)
        self.ctx.active_part = ""
