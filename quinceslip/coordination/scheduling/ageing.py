"""Starvation bound: jobs that have been passed over for too long go first.

Deadline order defers the largest job, and room that frees up bit by bit is always too small for a large task, or for a
gang that needs much room at once. So a job that has not started goes before all others of its priority once its
starvation bound has passed; an array does so with one task only, which counts as its start. Any other job does so once
it has waited for START_BOUND_US. Machines are reserved for the oldest of these jobs for which no machine has room
(`reservation`). Starts are granted regardless of the team's quota, to the largest jobs first and up to a fraction of
all starts; apart from these, teams share the free room as usual.

A plain class: no I/O, no clock but the actor's.
"""

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.shard_state.partition import AGED, FIRST_TASK, NORMAL, WHOLE_JOB, JobPartition

#: users require that even the largest jobs of a class start within this time of their submission
START_BOUND_US = 240 * SECOND
#: fraction of a shard's starts that may be granted regardless of quota
GRANTED_START_FRACTION = 0.1
#: lower limit on run times, without which the rate of starts would be unbounded
MIN_RUN_S = 0.1


def starvation_bound_us(boot_us: int, run_us: int) -> int:
    """Return how long a job that has not started may be passed over.

    The rest of START_BOUND_US is left for room to free up once the job goes first: a boot or the work in its way, and
    as much again. The bound is at least a quarter of START_BOUND_US, so that an ordinary queue keeps deadline order.
    """
    return min(max(START_BOUND_US - 2 * (boot_us + run_us), START_BOUND_US // 4), START_BOUND_US // 2)


class Ageing:
    """Tracks which jobs of a shard have waited too long, and which of them may start regardless of quota."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.typical_run_us = 0  # run time of a typical task
        self._grants_available = 1.0  # starts that may be granted now; a fraction is carried over to the next update
        self._grants_updated_us = ctx.now_us

    def update(self, queue: list[JobPartition], run_s: float, slots: int) -> None:
        """Set the precedence of every waiting partition; call this whenever the deadline order is recalculated.

        `run_s` is the run time of a typical task, `slots` the number of such tasks that the shard runs at a time.
        """
        boot_times_us = [micros(machine_type.boot_s) for machine_type in self.ctx.machine_types.values()]
        bound_us = starvation_bound_us(max(boot_times_us, default=0), micros(run_s))
        for partition in queue:
            precedence = self._precedence(partition, bound_us) if self.ctx.tuning.bound_waits else NORMAL
            if not partition.precedence:
                partition.precedence_since_us = self.ctx.now_us
            partition.precedence = precedence
        self.typical_run_us = micros(run_s)
        self._grant_starts(queue, slots / max(run_s, MIN_RUN_S))

    def _precedence(self, partition: JobPartition, bound_us: int) -> int:
        """Return whether and why the partition goes before others of its priority."""
        waited_us = self.ctx.wall_us - partition.submitted_us
        # A job with failures has started, and one suspected of a crash loop is tried one task at a time: neither is
        # being passed over.
        if waited_us < bound_us or not partition.startable_task_count() or partition.crash_loop.suspected:
            return NORMAL
        if partition.spec.service or partition.spec.gang:
            return WHOLE_JOB
        if not (partition.attempts or partition.done or partition.unrecorded_done or partition.failures):
            return FIRST_TASK
        return AGED if waited_us >= START_BOUND_US else NORMAL

    def _grant_starts(self, queue: list[JobPartition], starts_per_s: float) -> None:
        """Grant starts regardless of the teams' quotas, to the largest jobs first.

        Guard: a flood of jobs with single tasks has one start for each job. If all were granted before teams get their
        shares, they would go before all work of other teams; so only a fraction of the shard's starts is granted.
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
        """Add the grants earned since the last update; at most one second's starts are saved up."""
        elapsed_us = self.ctx.now_us - self._grants_updated_us
        self._grants_updated_us = self.ctx.now_us
        replenished = self._grants_available + GRANTED_START_FRACTION * starts_per_s * elapsed_us / SECOND
        self._grants_available = min(replenished, max(1.0, starts_per_s))


def _largest_first(partition: JobPartition) -> tuple[int, float, int, str]:
    """Sort key: priority, then CPUs of the whole job, largest first, then first come, first served."""
    spec = partition.spec
    return (partition.priority, -spec.tasks * spec.cpus, partition.submitted_us, partition.job_id)
