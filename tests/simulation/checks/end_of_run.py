"""Rules for the end of a run: accepted work was served in time, in every class and team (docs/end-of-day.md)."""

from collections import defaultdict

from tests.simulation.checks.observations import Observations
from tests.simulation.clock import SECOND_US

#: the largest jobs of a class must start within this time of the moment that they are ready
MAX_START_DELAY_S = 240


class EndOfRunChecks:
    """Rules `starved`, `lost_work` and `nothing_ran`."""

    def __init__(self, observed: Observations) -> None:
        self.observed = observed

    def check_served(self) -> None:
        """Check the jobs that have been ready for longer than the completion bound.

        Half of each group must be served; all of them once the bound has passed since the last fault.
        """
        groups = self._class_and_team_groups()
        largest_groups = self._largest_by_class(groups)
        for name, job_ids in {**groups, **largest_groups}.items():
            self._check_group(name, job_ids)
            if name in largest_groups:
                self._check_started(name, job_ids)

    def check_anything_ran(self) -> None:
        """Check that some task started if any job was accepted."""
        if self.observed.accepted and not self.observed.starts:
            self.observed.breach("nothing_ran", "no task was started")

    def _check_group(self, name: str, job_ids: list[str]) -> None:
        observed, bound_us = self.observed, self.observed.world.completion_bound_us()
        overdue = [job_id for job_id in job_ids if observed.ready_us(job_id) + bound_us < observed.now_us]
        unserved = [job_id for job_id in overdue if not self._is_served(job_id)]
        if 2 * len(unserved) > len(overdue):
            observed.breach("starved", f"{name}: {len(unserved)} of {len(overdue)} not served, such as {unserved[:3]}")
        if unserved and observed.now_us > observed.world.last_fault_end_us + bound_us:
            observed.breach(
                "lost_work", f"{unserved[:3]} of {name} not served {bound_us / SECOND_US:.0f} s after the last fault"
            )

    def _check_started(self, name: str, job_ids: list[str]) -> None:
        for job_id in job_ids:
            if self._started_us(job_id) - self.observed.ready_us(job_id) > MAX_START_DELAY_S * SECOND_US:
                self.observed.breach("starved", f"{job_id}, of the {name}, had not started after {MAX_START_DELAY_S} s")

    def _is_served(self, job_id: str) -> bool:
        """Whether all replicas of a service run, or, for any other job, its user was told that it is done."""
        if self.observed.spec(job_id)["shape"] == "standing":
            return all(self.observed.running_on[task] for task in self.observed.tasks(job_id))
        return self.observed.last_status.get(job_id) == "done"

    def _started_us(self, job_id: str) -> int:
        """When a job started, or now if it hasn't.

        An array has started once its first task has, a gang or a service once all its tasks have.
        """
        observed = self.observed
        first_starts_us = [(observed.starts.get(task) or [observed.now_us])[0] for task in observed.tasks(job_id)]
        if observed.spec(job_id)["shape"] == "array":
            return min(first_starts_us)
        return max(first_starts_us)

    def _class_and_team_groups(self) -> dict[str, list[str]]:
        """Accepted jobs that must be served, grouped by class and by team."""
        observed = self.observed
        groups: dict[str, list[str]] = defaultdict(list)
        for job_id in observed.accepted:
            if not observed.is_cancelled(job_id) and not observed.world.remaining_failures.get(job_id):
                groups[f"class {observed.spec(job_id)['lane']}"].append(job_id)
                groups[f"team {observed.spec(job_id)['crew']}"].append(job_id)
        return groups

    def _largest_by_class(self, groups: dict[str, list[str]]) -> dict[str, list[str]]:
        """The largest tenth of each class, once by number of tasks and once by total CPUs."""
        largest: dict[str, list[str]] = {}
        for name, job_ids in groups.items():
            if name.startswith("class"):
                count = max(1, len(job_ids) // 10)
                largest[f"largest by tasks of {name}"] = sorted(job_ids, key=self._task_count, reverse=True)[:count]
                largest[f"largest by CPUs of {name}"] = sorted(job_ids, key=self._total_cpus, reverse=True)[:count]
        return largest

    def _task_count(self, job_id: str) -> int:
        return int(self.observed.spec(job_id)["picks"])

    def _total_cpus(self, job_id: str) -> float:
        return float(self.observed.spec(job_id)["vcpus"]) * self._task_count(job_id)
