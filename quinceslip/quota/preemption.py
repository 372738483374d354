"""Which work gives way to a job."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from quinceslip.coordination.shard.worker import EPSILON, Attempt, Worker
from quinceslip.protocol import messages as m
from quinceslip.quota.tree import ZERO, Amounts, add, within

if TYPE_CHECKING:
    from quinceslip.quota.admission import QuotaAdmission


class GuaranteeAwarePreemption:
    """One search for work that gives way to a job, aware of what it has picked already."""

    def __init__(self, admission: "QuotaAdmission", spec: m.JobSpec, rests_on: set[int]) -> None:
        self.admission = admission
        self.spec = spec
        self.rests_on = rests_on
        self.chosen: dict[int, Amounts] = {}

    def may_preempt(self, victim: Attempt) -> bool:
        """Lower priority gives way to production and urgent work; otherwise only what is borrowed does.

        Work is borrowed from a level if every level from its team up to where the two paths part is
        beyond its guarantee: an uncle's guarantee is as safe as a sibling's. Priority alone does not stop
        what rests on a guarantee unless the claim does as well: its owner would claim the room back at
        once, and the two would stop each other for ever.
        """
        tree = self.admission.tree
        parting = tree.parting(self.spec.team, victim.spec.team)
        higher = self.spec.priority <= 1 and victim.spec.priority > self.spec.priority
        if parting is None or parting[0] in self.rests_on:
            if higher:
                return True
        elif not higher:
            return False
        return parting is not None and self._borrowed(victim, parting[1])

    def _borrowed(self, victim: Attempt, top: int) -> bool:
        for level in self.admission.tree.path(victim.spec.team):
            used = add(self.admission.net_usage(level), self.chosen.get(level, ZERO), -1)
            if within(used, self.admission.guaranteed_here(level)):
                return False
            if level == top:
                return True
        return False

    def choose(self, victim: Attempt) -> None:
        if victim.counted_usage is not None:
            self.admission.count(self.chosen, self.admission.tree.path(victim.spec.team), victim.counted_usage, 1)


class GangPlaces:
    """How many tasks of a job machines can take once what was told to stop is gone."""

    def __init__(self, spec: m.JobSpec, workers: Sequence[Worker]) -> None:
        self.spec = spec
        self.room = {w.name: w.free() for w in workers}
        self.count = sum(map(self._tasks, self.room.values()))
        for worker in workers:
            for attempt in worker.live_attempts():
                if attempt.stopping:
                    self.freed(attempt)

    def freed(self, attempt: Attempt, by: int = 1) -> None:
        room, spec = self.room.get(attempt.worker), attempt.spec
        if room is not None:
            now = (room[0] + by * spec.cpus, room[1] + by * spec.gpus, room[2] + by * spec.memory_gb)
            self.count += self._tasks(now) - self._tasks(room)
            self.room[attempt.worker] = now

    def _tasks(self, room: tuple[float, float, float]) -> int:
        needs = (self.spec.cpus, self.spec.gpus, self.spec.memory_gb)
        return int(
            min(
                ((have + EPSILON) // need for have, need in zip(room, needs, strict=True) if need > 0),
                default=self.spec.tasks,
            )
        )


def stopped_first(attempt: Attempt) -> tuple[int, bool, int, str]:
    """Lowest priority first, then what saves its work, then what has run shortest."""
    return (-attempt.spec.priority, attempt.spec.checkpoint_s == 0, -attempt.running_us, attempt.name)
