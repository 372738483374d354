"""Periodic work: each tick runs every component of a controller once."""

import logging
from collections.abc import Callable
from typing import NamedTuple

from quinceslip.coordination.actor.context import Context

log = logging.getLogger(__name__)


class PeriodicComponent(NamedTuple):
    """A component, and its name in stall records."""

    name: str
    tick: Callable[[], None]


class PeriodicWork:
    """Runs the components in order."""

    def __init__(self, ctx: Context, components: list[PeriodicComponent]) -> None:
        self.ctx = ctx
        self.components = components

    def tick(self) -> None:
        """Run every component separately: if one raises, only its own turn is lost."""
        for component in self.components:
            self.ctx.active_part = component.name
            try:
                component.tick()
            except Exception:
                log.exception("periodic work of a component failed part=%s", component.name)
        self.ctx.active_part = ""
