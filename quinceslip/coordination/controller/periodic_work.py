"""Periodic work: each tick runs every component of a controller once."""

from collections.abc import Callable
from typing import NamedTuple

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.isolation import run_isolated


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
            run_isolated(component.tick, "periodic work of a component failed part=%s", component.name)
        self.ctx.active_part = ""
