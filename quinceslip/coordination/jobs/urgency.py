"""Effective urgency of a job: its priority and due times, including those inherited from jobs that depend on it.

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
    """A job's specification with its effective priority, amounts bounded, and the times it is due, earliest first."""

    spec: m.JobSpec
    due_us: list[int]


def due_times_us(objectives: Iterable[Objective], spec: m.JobSpec, submitted_us: int, ready_us: int) -> list[int]:
    """Return the times by which users want a job done, earliest first; services are never done.

    Its own deadline, and the multiples of it that objectives name, count from `submitted_us`; the other objectives of
    its class count from `ready_us`, when it stopped waiting for other jobs.
    """
    if spec.service:
        return []
    due_times: set[int] = set()
    if spec.deadline_s is not None:
        due_times.add(submitted_us + micros(spec.deadline_s))
    for objective in objectives:
        if objective.job_class != spec.job_class:
            continue
        if objective.kind == OBJECTIVE_FINISHED and objective.within_s:
            due_times.add(ready_us + micros(objective.within_s))
        elif objective.kind == OBJECTIVE_DEADLINE and spec.deadline_s is not None:
            due_times.add(submitted_us + micros(spec.deadline_s * objective.times))
    return sorted(due_times)


class UrgencyCalculator:
    """Calculates the effective urgency of jobs, and tracks when it rises merely because time passes."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        #: when jobs get the full priority of the jobs that depend on them
        self.priority_rises_us: dict[str, int] = {}

    def calculate(self, job_id: str, job: JobRecord, spec: m.JobSpec) -> EffectiveUrgency:
        """Calculate the current urgency of an open job; the amounts of its specification are bounded."""
        spec = m.with_bounded_amounts(spec)
        inherited = self.ctx.graph.urgency(job_id)
        ready_us = max(job.at_us, self.ctx.graph.ready_us(job_id))
        due_times = set(due_times_us(self.ctx.settings.facts.objectives, spec, job.at_us, ready_us))
        if inherited is None or not self.ctx.tuning.urge_ancestors:
            return EffectiveUrgency(spec, sorted(due_times))
        priority = inherited.priority
        if priority < spec.priority and inherited.due_times_us:
            priority = self._current_priority(job_id, spec, priority, inherited.due_times_us[0])
        due_times.update(inherited.due_times_us)
        return EffectiveUrgency(m.with_priority(spec, min(spec.priority, priority)), sorted(due_times))

    def _current_priority(self, job_id: str, spec: m.JobSpec, inherited: int, first_due_us: int) -> int:
        """Return the current priority of a job that a more urgent one depends on.

        Guard: it preempts other work only once it has to start now to be in time; until then its due time orders it
        among normal work. Without this, the dependencies of an urgent job preempt normal work at once.
        """
        latest_start_us = first_due_us - self.ctx.expected_duration_us(spec)
        if self.ctx.wall_us >= latest_start_us:
            return inherited
        self.priority_rises_us[job_id] = latest_start_us
        return max(inherited, min(spec.priority, m.PRIORITY_CLASSES["normal"]))

    def pop_risen(self) -> list[str]:
        """Return the jobs whose urgency has risen since the last call."""
        risen = [job_id for job_id, at_us in self.priority_rises_us.items() if at_us <= self.ctx.wall_us]
        for job_id in risen:
            del self.priority_rises_us[job_id]
        return risen
