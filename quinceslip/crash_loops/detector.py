"""Whether the failures of a job are its own, and which of its tasks may be tried. No I/O, no clock.

A job with a mistake fails on every machine until its user cancels it. Tried in full, again and again, it takes the
machines, launches and rentals of others. A faulty machine fails every job. The two are told apart by where a job
fails: on several machines, without any task of it ever done, it is the job. Then one task is tried at a time, with
the pause of a task that fails again and again; the others are *parked*: they wait, and nothing is rented, moved or
made room for on their account. The first that is done, or a replica that runs for much longer than those that failed
did, clears the job, and all of it waits as before.
"""

from dataclasses import dataclass, field

#: a job that failed on so many machines, and never did anything, is suspected
MACHINES = 3
#: the same where there are fewer machines: one task that failed so often
IN_A_ROW = 4
#: a replica that runs so many times as long as the longest that failed did, and a while, is sound
LONGER = 2
A_WHILE_US = 5_000_000


@dataclass(slots=True)
class CrashLoopDetector:
    """Owned by a chunk: what its tasks did so far."""

    enabled: bool = True  # whether jobs are suspected at all
    sound: bool = False  # some task of it has completed
    blamed_machines: set[str] = field(default_factory=set)  # workers on which tasks of it failed
    failures: int = 0
    most_task_failures: int = 0  # most failures of one task
    longest_us: int = 0  # the longest that a task ran before it failed
    on_hold: set[int] = field(default_factory=set)  # tasks that wait for the job to be cleared

    @property
    def suspected(self) -> bool:
        return (
            self.enabled
            and not self.sound
            and (len(self.blamed_machines) >= MACHINES or self.most_task_failures >= IN_A_ROW)
        )

    def task_failed(self, worker: str, times: int, ran_us: int) -> bool:
        """A task failed on that worker, `times` times in all; returns whether the job is suspected from now on."""
        before = self.suspected
        self.failures += 1
        self.blamed_machines.add(worker)
        self.most_task_failures = max(self.most_task_failures, times)
        self.longest_us = max(self.longest_us, ran_us)
        return self.suspected and not before

    def clears_by_running(self, ran_us: int) -> bool:
        """Whether a replica that has run for so long clears the job; services never complete."""
        return self.suspected and ran_us > LONGER * self.longest_us + A_WHILE_US

    def clear(self) -> set[int]:
        """The job is sound: the tasks that were parked."""
        self.sound = True
        parked, self.on_hold = self.on_hold, set()
        return parked

    def reason(self) -> str:
        """For the job's user."""
        return (
            f"all {self.failures} attempts failed, on {len(self.blamed_machines)} machines: one task is tried at a time"
        )
