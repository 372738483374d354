"""Which work gives way to a job."""

from typing import TYPE_CHECKING

from quinceslip.coordination.state import Attempt
from quinceslip.protocol import messages as m
from quinceslip.quota.tree import ZERO, Amounts, add, within

if TYPE_CHECKING:
    from quinceslip.quota.gate import Gate


class Search:
    """One search for work that gives way to a job, aware of what it has picked already."""

    def __init__(self, gate: "Gate", spec: m.JobSpec, rests_on: set[int]) -> None:
        self.gate = gate
        self.spec = spec
        self.rests_on = rests_on
        self.picked: dict[int, Amounts] = {}

    def may(self, victim: Attempt) -> bool:
        """Lower priority gives way to production and urgent work; otherwise only what is borrowed does.

        Work is borrowed from a level if every level from its team up to where the two paths part is
        beyond its guarantee: an uncle's guarantee is as safe as a sibling's. Priority alone does not stop
        what rests on a guarantee unless the claim does as well: its owner would claim the room back at
        once, and the two would stop each other for ever.
        """
        tree = self.gate.tree
        parting = tree.parting(self.spec.team, victim.spec.team)
        higher = self.spec.priority <= 1 and victim.spec.priority > self.spec.priority
        if parting is None or parting[0] in self.rests_on:
            if higher:
                return True
        elif not higher:
            return False
        return parting is not None and self._borrowed(victim, parting[1])

    def _borrowed(self, victim: Attempt, top: int) -> bool:
        for level in self.gate.tree.path(victim.spec.team):
            used = add(self.gate.net(level), self.picked.get(level, ZERO), -1)
            if within(used, self.gate.own(level)):
                return False
            if level == top:
                return True
        return False

    def pick(self, victim: Attempt) -> None:
        if victim.counted is not None:
            self.gate.count(self.picked, self.gate.tree.path(victim.spec.team), victim.counted, 1)


def stopped_first(attempt: Attempt) -> tuple[int, bool, int, str]:
    """Lowest priority first, then what saves its work, then what has run shortest."""
    return (-attempt.spec.priority, attempt.spec.checkpoint_s == 0, -attempt.running_us, attempt.name)
