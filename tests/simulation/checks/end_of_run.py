"""Rules for the end of a run: accepted work was served, in time and in every class and team (docs/end-of-day.md)."""

from collections import defaultdict

from tests.simulation.checks.observations import Observations
from tests.simulation.clock import SECOND_US

#: the largest jobs of a class begin within this long of the first attempt to submit them
BEGIN_S = 240


class EndOfRunChecks:
    """Rules `starved`, `lost_work` and `nothing_ran`."""

    def __init__(self, observed: Observations) -> None:
        self.observed = observed

    def check_served(self) -> None:
        """Half of each group, and all work once troubles are long over, of what is older than the bound."""
        groups = self._class_and_team_groups()
        groups_of_largest = self._largest_of_classes(groups)
        for name, job_ids in {**groups, **groups_of_largest}.items():
            self._check_group(name, job_ids)
            if name in groups_of_largest:
                self._check_begun(name, job_ids)

    def check_anything_ran(self) -> None:
        """Something was started if anything was accepted."""
        if self.observed.accepted and not self.observed.starts:
            self.observed.breach("nothing_ran", "no task was started")

    def _check_group(self, name: str, job_ids: list[str]) -> None:
        observed, bound_us = self.observed, self.observed.world.completion_bound_us()
        old = [job_id for job_id in job_ids if observed.ready_us(job_id) + bound_us < observed.now_us]
        left = [job_id for job_id in old if not self._is_served(job_id)]
        if 2 * len(left) > len(old):
            observed.breach("starved", f"{name}: {len(left)} of {len(old)} not served, as {left[:3]}")
        if left and observed.now_us > observed.world.last_fault_end_us + bound_us:
            observed.breach("lost_work", f"{left[:3]} of {name}, {bound_us / SECOND_US:.0f} s after all troubles")

    def _check_begun(self, name: str, job_ids: list[str]) -> None:
        for job_id in job_ids:
            if self._begun_us(job_id) - self.observed.ready_us(job_id) > BEGIN_S * SECOND_US:
                self.observed.breach("starved", f"{job_id}, of the {name}, had not begun after {BEGIN_S} s")

    def _is_served(self, job_id: str) -> bool:
        """Whether all replicas of a service run, or the user of another job was answered that it is done."""
        if self.observed.spec(job_id)["shape"] == "standing":
            return all(self.observed.running_on[task] for task in self.observed.tasks(job_id))
        return self.observed.last_status.get(job_id) == "done"

    def _begun_us(self, job_id: str) -> int:
        """When it began: the first task of an array, all of a gang or of a service; now if it has not."""
        observed = self.observed
        first_starts_us = [(observed.starts.get(task) or [observed.now_us])[0] for task in observed.tasks(job_id)]
        if observed.spec(job_id)["shape"] == "array":
            return min(first_starts_us)
        return max(first_starts_us)

    def _class_and_team_groups(self) -> dict[str, list[str]]:
        """Jobs that are to be served, by class and by team."""
        observed = self.observed
        groups: dict[str, list[str]] = defaultdict(list)
        for job_id in observed.accepted:
            if not observed.is_cancelled(job_id) and not observed.world.remaining_failures.get(job_id):
                groups[f"class {observed.spec(job_id)['lane']}"].append(job_id)
                groups[f"team {observed.spec(job_id)['crew']}"].append(job_id)
        return groups

    def _largest_of_classes(self, groups: dict[str, list[str]]) -> dict[str, list[str]]:
        """The largest tenth of each class, by its tasks, and by its tasks times their CPUs."""
        found: dict[str, list[str]] = {}
        for name, job_ids in groups.items():
            if name.startswith("class"):
                count = max(1, len(job_ids) // 10)
                found[f"largest by tasks of {name}"] = sorted(job_ids, key=self._tasks, reverse=True)[:count]
                found[f"largest by CPUs of {name}"] = sorted(job_ids, key=self._cpus, reverse=True)[:count]
        return found

    def _tasks(self, job_id: str) -> int:
        return int(self.observed.spec(job_id)["picks"])

    def _cpus(self, job_id: str) -> float:
        return float(self.observed.spec(job_id)["vcpus"]) * self._tasks(job_id)
