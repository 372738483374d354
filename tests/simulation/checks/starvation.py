"""No job waits for long beside room that it could have, once troubles are over."""

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from tests.simulation.checks.observations import FINAL_STATUSES, Observations
from tests.simulation.checks.quota import RESOURCE_FIELDS, ROUNDING, QuotaChecks, level_of_section, need_of
from tests.simulation.clock import SECOND_US
from tests.simulation.task_runner import TaskStatus
from tests.simulation.tasks import job_of
from tests.simulation.worker import SimulatedWorker

#: no job waits for so long while a machine that fits has room and its team is under its limit
MAX_STARVATION_S = 90


@dataclass
class Machine:
    """A worker that may take tasks, its unfinished tasks, and what those that fetch their image leave free as well."""

    worker: SimulatedWorker
    tasks: list[str]
    free: list[float]  # by resource, in the order of `RESOURCE_FIELDS`

    @classmethod
    def of(cls, worker: SimulatedWorker) -> "Machine":
        """What a worker has at this moment."""
        tasks = {name: task.spec for name, task in worker.tasks.items() if task.status != TaskStatus.EXITED}
        specs = [spec for spec in tasks.values() if spec is not None]
        free = [worker.type[field] - sum(spec[field] for spec in specs) for field in RESOURCE_FIELDS.values()]
        return cls(worker, list(tasks), free)

    def suits(self, spec: dict[str, Any]) -> bool:
        """Whether a job may run on it by its type, its zone and whether it is a spot instance."""
        host = self.worker.host
        type_allowed = spec["builds"] is None or host["build"] in spec["builds"]
        zone_allowed = spec["yard"] in (None, host["yard"])
        return bool(type_allowed and zone_allowed and (spec["loaners"] or not host["loaners"]))

    def room_for(self, spec: dict[str, Any], unlimited: int) -> int:
        """Tasks of a job that fit into what is free; `unlimited` where they need nothing."""
        needs = [spec[field] for field in RESOURCE_FIELDS.values()]
        fits = [int((free + ROUNDING) // need) for free, need in zip(self.free, needs, strict=True) if need]
        return max(0, min(fits, default=unlimited))


class StarvationChecks:
    """Rule `left_waiting`."""

    def __init__(self, observed: Observations, quota: QuotaChecks) -> None:
        self.observed, self.quota = observed, quota
        self.waiting_since_us: dict[str, int] = {}  # since when a job has waited beside room that it could have

    def sample(self) -> None:
        """Judge the jobs that wait at this moment; asked for every second or two, and passed over in troubles."""
        observed = self.observed
        if observed.now_us < observed.world.last_fault_end_us:
            self.waiting_since_us.clear()
            return
        machines = [
            Machine.of(worker)
            for worker in observed.world.workers.values()
            if isinstance(worker, SimulatedWorker) and worker.notice_us is None
        ]
        on_machines = {task for machine in machines for task in machine.tasks}
        self.quota.check()
        waiting: dict[str, int] = {}
        for job_id in filter(self._is_startable, observed.accepted):
            left = self._tasks_left(job_id, on_machines)
            if left and self._has_room(job_id, left, machines):
                waiting[job_id] = self._judge_wait(job_id, left)
        self.waiting_since_us = waiting

    def _judge_wait(self, job_id: str, left: int) -> int:
        """Since when a job has waited, in µs: anew after a breach."""
        now_us = self.observed.now_us
        since_us = self.waiting_since_us.get(job_id, now_us)
        if now_us - since_us <= MAX_STARVATION_S * SECOND_US:
            return since_us
        self.observed.breach("left_waiting", f"{job_id}: {left} tasks, beside room for {MAX_STARVATION_S} s")
        return now_us

    def _is_startable(self, job_id: str) -> bool:
        """Whether a job is to be served, doesn't fail by itself, and waits for no other."""
        observed = self.observed
        if observed.last_status.get(job_id) in FINAL_STATUSES or observed.is_cancelled(job_id):
            return False
        if observed.world.remaining_failures.get(job_id):
            return False
        return all(map(observed.is_complete, observed.spec(job_id)["waitsOn"]))

    def _tasks_left(self, job_id: str, on_machines: set[str]) -> int:
        """Tasks of a job that are on no machine and not complete."""
        observed = self.observed
        return sum(
            task not in on_machines and task not in observed.completed and not observed.running_on.get(task)
            for task in observed.tasks(job_id)
        )

    def _has_room(self, job_id: str, left: int, machines: list[Machine]) -> bool:
        """Whether machines and limits would have one more task, or all that are left of what starts together."""
        spec = self.observed.spec(job_id)
        has_begun = left < spec["picks"]
        starts_together = spec["shape"] == "group" or (spec["shape"] == "standing" and not has_begun)
        count = left if starts_together else 1
        return self._is_under_limits(spec, count, machines) and _fits_zones(spec, count, machines)

    def _is_under_limits(self, spec: dict[str, Any], count: int, machines: list[Machine]) -> bool:
        """Whether so many more tasks stay under each cap above a job, by the lowest in any controller's file.

        What fetches its image counts as used.
        """
        tree = self.quota.tree()
        for controller in self.observed.world.controllers.values():
            for section in controller.operators.sections():
                tree.lower_caps(level_of_section(section), controller.operators[section])
        for level in tree.levels_above(spec["crew"]):
            caps = tree.caps.get(level)
            if not caps:
                continue
            there = [
                self.observed.spec(job_of(task))
                for machine in machines
                for task in machine.tasks
                if level in tree.levels_above(self._team_of(task))
            ]
            for kind, cap in caps.items():
                if sum(need_of(each, kind) for each in [spec] * count + there) > cap + ROUNDING:
                    return False
        return True

    def _team_of(self, task: str) -> str:
        """The team of a task's job; empty for one that no user of this world has submitted."""
        spec = self.observed.world.jobs.get(job_of(task))
        return spec["crew"] if spec is not None else ""


def _fits_zones(spec: dict[str, Any], count: int, machines: list[Machine]) -> bool:
    """Whether so many tasks of a job have room on machines that suit it, by its rules for zones."""
    running: dict[str, int] = defaultdict(int)  # its tasks, by zone
    room: dict[str, int] = defaultdict(int)  # for its tasks, by zone
    for machine in machines:
        zone = machine.worker.host["yard"]
        running[zone] += sum(job_of(task) == spec["uid"] for task in machine.tasks)
        if machine.suits(spec):
            room[zone] += machine.room_for(spec, unlimited=count)
    if spec["together"]:
        used = {zone for zone, number in running.items() if number}
        return any(number >= count for zone, number in room.items() if not used or used == {zone})
    if spec["spread"]:
        most = (int(spec["picks"]) + 1) // 2
        return sum(min(number, max(0, most - running[zone])) for zone, number in room.items()) >= count
    return sum(room.values()) >= count
