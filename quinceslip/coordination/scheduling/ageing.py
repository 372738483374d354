"""The starvation bound: what has been passed over for too long goes first.

Order by deadline defers the largest job, and what comes free piece by piece is always too small for a large task, or
for a gang that needs many pieces at once. So a job that has not begun goes before all others of its priority once its
starvation bound is over; an array with one task, which is its start. So does any job once it has waited for
START_BOUND_US. For the oldest for which no machine has room, machines are reserved (`reservation`). A start is granted
whatever the job's team has, the largest job first and within a fraction of what starts; else teams divide what is free
as before.

A plain class: no I/O, no clock but the actor's.
"""

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.shard_state.partition import NORMAL, AGED, FIRST_TASK, WHOLE_JOB, JobPartition

#: users: the largest jobs of a class too begin within this long of their submission
START_BOUND_US = 240 * SECOND
#: starts that are granted whatever a team has take this fraction of what a shard starts
GRANTED_START_FRACTION = 0.1
#: run times below this would make the rate of starts unbounded
MIN_RUN_S = 0.1


def starvation_bound_us(boot_us: int, run_us: int) -> int:
    """How long a job that has not begun may be passed over.

    What is left of START_BOUND_US is for room to come free once it goes first: a boot or the work in its way, and as
    much again. At least a quarter of START_BOUND_US, so that deadlines keep their order in an ordinary queue.
    """
    return min(max(START_BOUND_US - 2 * (boot_us + run_us), START_BOUND_US // 4), START_BOUND_US // 2)


class Ageing:
    """Which waiting jobs of a shard have waited too long, and which of them may begin whatever their team has."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.typical_run_us = 0  # of a usual task
        self._grants_available = 1.0  # starts that may be granted now; a fraction is carried over to the next update
        self._grants_updated_us = ctx.now_us

    def update(self, queue: list[JobPartition], run_s: float, slots: int) -> None:
        """Set the precedence of every waiting partition; to be done whenever the order by deadline is found anew.

        `run_s` is the run time of a usual task, `slots` how many such tasks the shard runs at a time.
        """
        boot_times_us = [micros(machine_type.boot_s) for machine_type in self.ctx.types.values()]
        bound_us = starvation_bound_us(max(boot_times_us, default=0), micros(run_s))
        for partition in queue:
            precedence = self._precedence(partition, bound_us) if self.ctx.tuning.bound_waits else NORMAL
            if not partition.precedence:
                partition.precedence_since_us = self.ctx.now_us
            partition.precedence = precedence
        self.typical_run_us = micros(run_s)
        self._grant_starts(queue, slots / max(run_s, MIN_RUN_S))

    def _precedence(self, partition: JobPartition, bound_us: int) -> int:
        """Whether and how the partition goes before others of its priority."""
        waited_us = self.ctx.wall_us - partition.submitted_us
        # What failed has begun, and a suspected job is tried one task at a time: neither is passed over.
        if waited_us < bound_us or not partition.startable() or partition.crash_loop.suspected:
            return NORMAL
        if partition.spec.service or partition.spec.gang:
            return WHOLE_JOB
        if not (partition.attempts or partition.done or partition.unrecorded_done or partition.failures):
            return FIRST_TASK
        return AGED if waited_us >= START_BOUND_US else NORMAL

    def _grant_starts(self, queue: list[JobPartition], starts_per_s: float) -> None:
        """Grant starts that do not depend on what the teams have: to the largest jobs first.

        Guard: a flood of single tasks is as many starts as jobs. Were all granted before the teams get their shares,
        they would go before all that others have; so granted starts get a fraction of what the shard starts.
        """
        self._replenish_grants(starts_per_s)
        ungranted = []
        for partition in queue:
            partition.start_granted = partition.start_granted and partition.awaits_start
            if partition.awaits_start and not partition.start_granted:
                ungranted.append(partition)
        ungranted.sort(key=_largest_first)
        for partition in ungranted[: int(self._grants_available)]:
            partition.start_granted = True
            self._grants_available -= 1.0

    def _replenish_grants(self, starts_per_s: float) -> None:
        """Add the grants of the time since the last update; at most one second's starts are saved up."""
        passed_us = self.ctx.now_us - self._grants_updated_us
        self._grants_updated_us = self.ctx.now_us
        replenished = self._grants_available + GRANTED_START_FRACTION * starts_per_s * passed_us / SECOND
        self._grants_available = min(replenished, max(1.0, starts_per_s))


def _largest_first(partition: JobPartition) -> tuple[int, float, int, str]:
    """Sort key: priority, then CPUs of the whole job, largest first, then first come, first served."""
    spec = partition.spec
    return (partition.priority, -spec.tasks * spec.cpus, partition.submitted_us, partition.job_id)
