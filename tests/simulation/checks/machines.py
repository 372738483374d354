"""Rules about what machines run; each start of a task is checked when it happens."""

from collections import defaultdict
from typing import TYPE_CHECKING

from tests.simulation.checks.observations import Observations
from tests.simulation.checks.quota import QuotaChecks
from tests.simulation.tasks import job_of

if TYPE_CHECKING:
    from tests.simulation.worker import SimulatedWorker


class MachineChecks:
    """Rules `too_early`, `ran_twice`, `wrong_place`, `mixed_gang` and `ran_cancelled`; `quota` at each start."""

    def __init__(self, observed: Observations, quota: QuotaChecks) -> None:
        self.observed, self.quota = observed, quota
        self.late_starts = 0  # tasks that started after a user was told that their job is cancelled

    def task_started(self, task: str, worker: "SimulatedWorker") -> None:
        """Record and check that a task starts on a worker."""
        observed = self.observed
        self._check_dependencies(task)
        if observed.running_on[task]:
            observed.breach("ran_twice", f"{task} on {worker.name} and {sorted(observed.running_on[task])}")
        self._check_machine(task, worker)
        self._check_zones(task, worker)
        self._check_gang(task, worker)
        observed.running_on[task].add(worker.name)
        observed.starts[task].append(observed.now_us)
        self.quota.check()
        self.late_starts += job_of(task) in observed.cancel_answered_us
        self._check_cancelled(task, "starts after its cancellation")

    def task_stopped(self, task: str, worker_name: str) -> None:
        """Record and check that a task no longer runs on a worker."""
        self._check_cancelled(task, "was still running after its cancellation")
        self.observed.running_on[task].discard(worker_name)

    def check_nothing_cancelled_runs(self) -> None:
        """Check the tasks that still run at the end of a run."""
        for task, workers in self.observed.running_on.items():
            if workers:
                self._check_cancelled(task, "is still running after its cancellation")

    def _check_dependencies(self, task: str) -> None:
        waits_on = self.observed.spec(job_of(task))["waitsOn"]
        incomplete = [other for other in waits_on if not self.observed.is_complete(other)]
        if incomplete:
            self.observed.breach("too_early", f"{task} starts before {incomplete[:3]} are done")

    def _check_machine(self, task: str, worker: "SimulatedWorker") -> None:
        """Check the type and the zone of the machine, and that only jobs that allow spot instances run on one."""
        spec, host = self.observed.spec(job_of(task)), worker.host
        wrong_type = spec["builds"] is not None and host["build"] not in spec["builds"]
        wrong_zone = spec["yard"] not in (None, host["yard"])
        if wrong_type or wrong_zone or (host["loaners"] and not spec["loaners"]):
            self.observed.breach("wrong_place", f"{task} isn't allowed on {worker.name}")

    def _check_zones(self, task: str, worker: "SimulatedWorker") -> None:
        """Check the zones of the job's tasks: one for `together`, at most half (rounded up) in any for `spread`."""
        spec = self.observed.spec(job_of(task))
        zones = self._tasks_by_zone(task, worker)
        if spec["together"] and len(zones) > 1:
            self.observed.breach("wrong_place", f"{task}: tasks that stay together are in zones {dict(zones)}")
        if spec["spread"] and max(zones.values()) > (spec["picks"] + 1) // 2:
            self.observed.breach("wrong_place", f"{task}: spread unevenly over zones {dict(zones)}")

    def _tasks_by_zone(self, task: str, worker: "SimulatedWorker") -> dict[str, int]:
        """Number of running tasks of the job by zone, including the one that starts."""
        workers = self.observed.world.workers
        zones: dict[str, int] = defaultdict(int)
        zones[worker.host["yard"]] += 1
        for other, names in self.observed.running_on.items():
            if other == task or job_of(other) != job_of(task):
                continue
            for name in names:
                if name in workers:
                    zones[workers[name].host["yard"]] += 1
        return zones

    def _check_gang(self, task: str, worker: "SimulatedWorker") -> None:
        """Check that all tasks of a gang run under one attempt.

        This is a rule of the design, not of the protocol: tasks of a gang find each other by their attempt.
        """
        if self.observed.spec(job_of(task))["shape"] != "group":
            return
        workers = self.observed.world.workers
        other_attempts = {
            workers[name].tasks[other].attempt
            for other, names in self.observed.running_on.items()
            for name in names
            if job_of(other) == job_of(task) and name in workers
        }
        if other_attempts - {worker.tasks[task].attempt}:
            self.observed.breach("mixed_gang", f"{task} starts under a different attempt than the rest of its gang")

    def _check_cancelled(self, task: str, event: str) -> None:
        answered_us = self.observed.cancel_answered_us.get(job_of(task))
        if answered_us is not None and self.observed.now_us > answered_us + self.observed.cancel_limit_us:
            self.observed.breach("ran_cancelled", f"{task} {event}")
