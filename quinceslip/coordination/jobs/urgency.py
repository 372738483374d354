"""How a job is treated for the sake of what depends on it: its effective priority and due times.

Times are wall clock, in microseconds.
"""

from collections.abc import Iterable
from typing import NamedTuple

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import micros
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Objective
from quinceslip.storage.records import JobRecord

#: kinds of service-level objectives that give a job due times, as the settings name them
OBJECTIVE_FINISHED, OBJECTIVE_DEADLINE = "finished", "deadline"


class EffectiveUrgency(NamedTuple):
    """A job's specification with the priority it is treated with, and when it should be done, earliest first."""

    spec: m.JobSpec
    due_us: list[int]


def due_us(objectives: Iterable[Objective], spec: m.JobSpec, submitted_us: int, ready_us: int) -> list[int]:
    """When the users of a job want it done, earliest first; services are never done.

    Its own deadline and the multiples of it that objectives name count from `submitted_us`; the objectives of its class
    count from `ready_us`, when it waited for no other job any more.
    """
    if spec.service:
        return []
    dues: set[int] = set()
    if spec.deadline_s is not None:
        dues.add(submitted_us + micros(spec.deadline_s))
    for objective in objectives:
        if objective.job_class != spec.job_class:
            continue
        if objective.kind == OBJECTIVE_FINISHED and objective.within_s:
            dues.add(ready_us + micros(objective.within_s))
        elif objective.kind == OBJECTIVE_DEADLINE and spec.deadline_s is not None:
            dues.add(submitted_us + micros(spec.deadline_s * objective.times))
    return sorted(dues)


class UrgencyCalculator:
    """Derives the effective urgency of jobs, and remembers when it rises with time alone."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        #: when jobs get the full priority of what depends on them
        self.rises_us: dict[str, int] = {}

    def effective(self, job_id: str, job: JobRecord, spec: m.JobSpec) -> EffectiveUrgency:
        """The urgency of an open job from now on."""
        inherited = self.ctx.graph.urgency(job_id)
        ready_us = max(job.at_us, self.ctx.graph.ready_us(job_id))
        dues = set(due_us(self.ctx.settings.facts.objectives, spec, job.at_us, ready_us))
        if inherited is None or not self.ctx.tuning.urge_ancestors:
            return EffectiveUrgency(spec, sorted(dues))
        priority = inherited.priority
        if priority < spec.priority and inherited.due_times_us:
            priority = self._priority_now(job_id, spec, priority, inherited.due_times_us[0])
        dues.update(inherited.due_times_us)
        return EffectiveUrgency(m.with_priority(spec, min(spec.priority, priority)), sorted(dues))

    def _priority_now(self, job_id: str, spec: m.JobSpec, inherited: int, first_due_us: int) -> int:
        """The priority of a job that something more urgent depends on.

        Guard: it preempts other work only once it has to start now to be in time. Until then it goes among normal
        work by its due time. Without this, whatever comes before an urgent job preempts normal work at once.
        """
        latest_start_us = first_due_us - self.ctx.expected_duration_us(spec)
        if self.ctx.wall_us >= latest_start_us:
            return inherited
        self.rises_us[job_id] = latest_start_us
        return max(inherited, min(spec.priority, m.PRIORITY_CLASSES["normal"]))

    def take_risen(self) -> list[str]:
        """Jobs whose urgency has risen since the last call."""
        risen = [job_id for job_id, at_us in self.rises_us.items() if at_us <= self.ctx.wall_us]
        for job_id in risen:
            del self.rises_us[job_id]
        return risen
