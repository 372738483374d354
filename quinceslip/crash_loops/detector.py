"""Whether the failures of a job are its own, and which of its tasks may be tried. No I/O, no clock.

A faulty job fails on every machine until its user cancels it. Tried in full, again and again, it takes the machines,
launches and scale out of others. A faulty machine fails every job. The two differ in where a job fails: on
several machines, without any task of it ever completed, it is the job. Then one task is tried at a time, with the
pause of a task that fails again and again; the others are *on hold*: they wait, and nothing is rented, moved or
preempted for them. The first that completes, or a replica that runs for much longer than those that failed did,
clears the job, and all of it waits as before.
"""

from dataclasses import dataclass, field

#: a job that failed on so many machines, and never completed a task, is suspected
MIN_FAILURE_WORKERS = 3
#: the same where there are fewer machines: one task that failed so often
MIN_TASK_FAILURES = 4
#: a replica that runs so many times as long as the longest that failed did, and this much longer, clears the job
CLEARING_FACTOR = 2
CLEARING_MARGIN_US = 5_000_000


@dataclass(slots=True)
class CrashLoopDetector:
    """Owned by a job partition: how its tasks ended so far."""

    enabled: bool = True  # whether jobs are suspected at all
    cleared: bool = False  # cleared for ever: some task of it has completed, or ran for long
    failure_workers: set[str] = field(default_factory=set)  # workers on which tasks of it failed
    failures: int = 0
    most_task_failures: int = 0  # most failures of one task
    longest_us: int = 0  # the longest that a task ran before it failed
    on_hold: set[int] = field(default_factory=set)  # indices of tasks that wait for the job to be cleared

    @property
    def suspected(self) -> bool:
        """Whether one task is tried at a time."""
        if not self.enabled or self.cleared:
            return False
        return len(self.failure_workers) >= MIN_FAILURE_WORKERS or self.most_task_failures >= MIN_TASK_FAILURES

    def task_failed(self, worker: str, times: int, ran_us: int) -> bool:
        """A task failed on that worker, `times` times in all; returns whether the job is suspected from now on."""
        was_suspected = self.suspected
        self.failures += 1
        self.failure_workers.add(worker)
        self.most_task_failures = max(self.most_task_failures, times)
        self.longest_us = max(self.longest_us, ran_us)
        return self.suspected and not was_suspected

    def clears_by_running(self, ran_us: int) -> bool:
        """Whether a replica that has run for so long clears the job; services never complete."""
        return self.suspected and ran_us > CLEARING_FACTOR * self.longest_us + CLEARING_MARGIN_US

    def clear(self) -> set[int]:
        """The failures were not the job's own; returns the tasks that were on hold."""
        self.cleared = True
        released, self.on_hold = self.on_hold, set()
        return released

    def reason(self) -> str:
        """For the job's user."""
        return (
            f"all {self.failures} attempts failed, on {len(self.failure_workers)} machines: one task is tried at a time"
        )
