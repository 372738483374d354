"""Detects jobs whose failures are their own, and limits which of their tasks may be tried. No I/O, no clock.

A faulty job fails on every machine until its user cancels it. Retried in full, it would take machines, launches and
scale out from other jobs. A faulty machine, in contrast, fails every job. The two are told apart by where a job fails:
if it failed on several machines and none of its tasks ever completed, the job is suspected. From then on one task is
tried at a time, with the backoff of a task that fails repeatedly. The others are *on hold*: they wait, and nothing is
rented, moved or preempted for them. The first task that completes, or a replica that runs for much longer than the
failed ones did, clears the job, and all of its tasks are queued as usual again.
"""

from dataclasses import dataclass, field

#: a job that failed on this many machines and never completed a task is suspected
MIN_FAILURE_WORKERS = 3
#: with fewer machines, a job is suspected once one of its tasks failed this often
MIN_TASK_FAILURES = 4
#: a replica that runs this many times as long as the longest failed run, plus a margin, clears the job
CLEARING_FACTOR = 2
CLEARING_MARGIN_US = 5_000_000


@dataclass(slots=True)
class CrashLoopDetector:
    """Tracks how the tasks of one job partition ended so far; owned by the partition."""

    enabled: bool = True  # whether jobs may be suspected at all
    cleared: bool = False  # permanent: some task completed or ran for long
    failure_workers: set[str] = field(default_factory=set)  # workers on which tasks failed
    failures: int = 0
    max_task_failures: int = 0  # largest number of failures of any one task
    longest_failed_run_us: int = 0  # longest run of a task before it failed
    on_hold: set[int] = field(default_factory=set)  # indices of tasks waiting for the job to be cleared

    @property
    def suspected(self) -> bool:
        """Whether the job is suspected, so that one task is tried at a time."""
        if not self.enabled or self.cleared:
            return False
        return len(self.failure_workers) >= MIN_FAILURE_WORKERS or self.max_task_failures >= MIN_TASK_FAILURES

    def task_failed(self, worker: str, task_failures: int, ran_us: int) -> bool:
        """Record a failure of a task, `task_failures` in all; return whether the job has become suspected."""
        was_suspected = self.suspected
        self.failures += 1
        self.failure_workers.add(worker)
        self.max_task_failures = max(self.max_task_failures, task_failures)
        self.longest_failed_run_us = max(self.longest_failed_run_us, ran_us)
        return self.suspected and not was_suspected

    def clears_by_running(self, ran_us: int) -> bool:
        """Whether a replica that has run for `ran_us` clears the job, since tasks of services never complete."""
        return self.suspected and ran_us > CLEARING_FACTOR * self.longest_failed_run_us + CLEARING_MARGIN_US

    def clear(self) -> set[int]:
        """Clear the job for good, and return the tasks that were on hold."""
        self.cleared = True
        released, self.on_hold = self.on_hold, set()
        return released

    def reason(self) -> str:
        """Return an explanation for the job's user."""
        return (
            f"all {self.failures} attempts failed, on {len(self.failure_workers)} machines: one task is tried at a time"
        )
