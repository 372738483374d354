"""Rule that no job waits for long while there is room for it, once all faults are over."""

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from tests.simulation.checks.observations import FINAL_STATUSES, Observations
from tests.simulation.checks.quota import (
    RESOURCE_FIELDS,
    ROUNDING_TOLERANCE,
    QuotaChecks,
    level_of_section,
    need_per_task,
)
from tests.simulation.clock import SECOND_US
from tests.simulation.task_runner import TaskStatus
from tests.simulation.tasks import job_of
from tests.simulation.worker import SimulatedWorker

#: the longest time that a job may wait while an eligible machine has room and its team is under its limit
MAX_STARVATION_S = 90


@dataclass
class Machine:
    """A worker that accepts tasks, its unfinished tasks, and its free resources.

    Tasks that still fetch their image count as placed.
    """

    worker: SimulatedWorker
    tasks: list[str]
    free: list[float]  # by resource, in the order of `RESOURCE_FIELDS`

    @classmethod
    def from_worker(cls, worker: SimulatedWorker) -> "Machine":
        """The present state of a worker."""
        tasks = {name: task.spec for name, task in worker.tasks.items() if task.status != TaskStatus.EXITED}
        specs = [spec for spec in tasks.values() if spec is not None]
        free = [worker.type[field] - sum(spec[field] for spec in specs) for field in RESOURCE_FIELDS.values()]
        return cls(worker, list(tasks), free)

    def is_eligible(self, spec: dict[str, Any]) -> bool:
        """Whether the job may run on a machine of this type and zone, and on a spot instance if it is one."""
        host = self.worker.host
        type_allowed = spec["builds"] is None or host["build"] in spec["builds"]
        zone_allowed = spec["yard"] in (None, host["yard"])
        return bool(type_allowed and zone_allowed and (spec["loaners"] or not host["loaners"]))

    def task_capacity(self, spec: dict[str, Any], unlimited: int) -> int:
        """How many tasks of a job fit into the free resources; `unlimited` if they need none."""
        needs = [spec[field] for field in RESOURCE_FIELDS.values()]
        # A tiny need has an infinite quotient; no more than `unlimited` tasks are asked for.
        fits = [
            int(max(min((free + ROUNDING_TOLERANCE) // need, unlimited), -unlimited))
            for free, need in zip(self.free, needs, strict=True)
            if need
        ]
        return max(0, min(fits, default=unlimited))


class StarvationChecks:
    """Rule `left_waiting`."""

    def __init__(self, observed: Observations, quota: QuotaChecks) -> None:
        self.observed, self.quota = observed, quota
        self.waiting_since_us: dict[str, int] = {}  # since when each job has waited although there is room for it

    def sample(self) -> None:
        """Check the jobs that wait now; called every second or two, and skipped while a fault lasts."""
        observed = self.observed
        if observed.now_us < observed.world.last_fault_end_us:
            self.waiting_since_us.clear()
            return
        machines = [
            Machine.from_worker(worker)
            for worker in observed.world.workers.values()
            if isinstance(worker, SimulatedWorker) and worker.notice_us is None
        ]
        on_machines = {task for machine in machines for task in machine.tasks}
        self.quota.check()
        waiting: dict[str, int] = {}
        for job_id in filter(self._is_startable, observed.accepted):
            remaining = self._remaining_task_count(job_id, on_machines)
            if remaining and self._has_room(job_id, remaining, machines):
                waiting[job_id] = self._check_wait(job_id, remaining)
        self.waiting_since_us = waiting

    def _check_wait(self, job_id: str, remaining: int) -> int:
        """Since when a job has waited, in µs; after a breach the time starts again."""
        now_us = self.observed.now_us
        since_us = self.waiting_since_us.get(job_id, now_us)
        if now_us - since_us <= MAX_STARVATION_S * SECOND_US:
            return since_us
        self.observed.breach(
            "left_waiting", f"{job_id}: {remaining} tasks wait although there was room for {MAX_STARVATION_S} s"
        )
        return now_us

    def _is_startable(self, job_id: str) -> bool:
        """Whether a job must be served, has no simulated failures remaining, and all its dependencies are complete."""
        observed = self.observed
        if observed.last_status.get(job_id) in FINAL_STATUSES or observed.is_cancelled(job_id):
            return False
        if observed.world.remaining_failures.get(job_id):
            return False
        return all(map(observed.is_complete, observed.spec(job_id)["waitsOn"]))

    def _remaining_task_count(self, job_id: str, on_machines: set[str]) -> int:
        """Number of tasks of a job that are on no machine and not complete."""
        observed = self.observed
        return sum(
            task not in on_machines and task not in observed.completed and not observed.running_on.get(task)
            for task in observed.tasks(job_id)
        )

    def _has_room(self, job_id: str, remaining: int, machines: list[Machine]) -> bool:
        """Whether machines and limits admit one more task, or all the remaining ones if they must start together."""
        spec = self.observed.spec(job_id)
        has_started = remaining < spec["picks"]
        starts_together = spec["shape"] == "group" or (spec["shape"] == "standing" and not has_started)
        count = remaining if starts_together else 1
        return self._is_under_limits(spec, count, machines) and _fits_zones(spec, count, machines)

    def _is_under_limits(self, spec: dict[str, Any], count: int, machines: list[Machine]) -> bool:
        """Whether `count` more tasks stay under each cap of the job's levels.

        The lowest cap in any controller's file applies. Tasks that still fetch their image count as used.
        """
        tree = self.quota.tree()
        for controller in self.observed.world.controllers.values():
            for section in controller.operators.sections():
                tree.apply_lower_caps(level_of_section(section), controller.operators[section])
        for level in tree.levels_to_root(spec["crew"]):
            caps = tree.caps.get(level)
            if not caps:
                continue
            placed = [
                self.observed.spec(job_of(task))
                for machine in machines
                for task in machine.tasks
                if level in tree.levels_to_root(self._team_of(task))
            ]
            for resource, cap in caps.items():
                if (
                    sum(need_per_task(spec_on_level, resource) for spec_on_level in [spec] * count + placed)
                    > cap + ROUNDING_TOLERANCE
                ):
                    return False
        return True

    def _team_of(self, task: str) -> str:
        """The team of a task's job; empty for a job that no user of this world has submitted."""
        spec = self.observed.world.jobs.get(job_of(task))
        return spec["crew"] if spec is not None else ""


def _fits_zones(spec: dict[str, Any], count: int, machines: list[Machine]) -> bool:
    """Whether `count` tasks of a job fit on eligible machines under its zone constraints."""
    running: dict[str, int] = defaultdict(int)  # number of tasks of the job by zone
    room: dict[str, int] = defaultdict(int)  # number of its tasks that fit, by zone
    for machine in machines:
        zone = machine.worker.host["yard"]
        running[zone] += sum(job_of(task) == spec["uid"] for task in machine.tasks)
        if machine.is_eligible(spec):
            room[zone] += machine.task_capacity(spec, unlimited=count)
    if spec["together"]:
        used = {zone for zone, number in running.items() if number}
        return any(number >= count for zone, number in room.items() if not used or used == {zone})
    if spec["spread"]:
        max_per_zone = (int(spec["picks"]) + 1) // 2
        return sum(min(number, max(0, max_per_zone - running[zone])) for zone, number in room.items()) >= count
    return sum(room.values()) >= count
