"""The simulated users: they submit jobs at random times and poll each one until it has ended."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Literal

from quinceslip.bench.fleet.actor_shell import ActorShell
from quinceslip.bench.fleet.costs import MessageKind
from quinceslip.bench.fleet.machines import START_US
from quinceslip.bench.fleet.services import OK
from quinceslip.coordination.actor import effects as fx
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.protocol import messages as m

TEAM = "team"
POLL_S = 5.0
IMAGES = 10
SERVICE_CPUS, ARRAY_CPUS = 1.0, 2.0
#: services per machine that are submitted at the start; they take about 90 % of the fleet's CPUs
SERVICES_PER_MACHINE = 0.45
#: job arrays per second and machine
ARRAYS_PER_S = 0.001


@dataclass(frozen=True, slots=True)
class Workload:
    """One kind of jobs and their rate of arrival."""

    priority_class: Literal["production", "normal", "low"]
    service: bool
    estimate_s: float
    checkpoint_s: float
    arrays_per_arrival: float  # mean number of `ARRAYS` arrivals per arrival of this kind
    sample_task_count: Callable[[random.Random], int]


SERVICES = Workload("production", True, 0.0, 0.0, 2, lambda rng: rng.choice([2, 6, 9]))
ARRAYS = Workload("normal", False, 30.0, 0.0, 1, lambda rng: rng.randint(5, 80))
LOW_PRIORITY_ARRAYS = Workload("low", False, 60.0, 15.0, 3, lambda rng: rng.randint(5, 150))
#: in the order of their first arrivals
WORKLOADS = (SERVICES, ARRAYS, LOW_PRIORITY_ARRAYS)


class SimulatedUsers:
    """All users; they add each submitted job to `specs`, by id."""

    def __init__(self, machines: int, shell: ActorShell, specs: dict[str, m.JobSpec], rng: random.Random) -> None:
        """Create users that submit work for a fleet of `machines` machines."""
        self._machines = machines
        self._shell, self._queue = shell, shell.queue
        self._specs = specs
        self._rng = rng
        self.submitted = 0

    def start(self) -> None:
        """Schedule the services that fill the fleet, and the first arrival of each workload."""
        for _ in range(int(self._machines * SERVICES_PER_MACHINE)):
            self._queue.schedule(self._rng.uniform(1, 6) * SECOND, lambda: self._submit(SERVICES))
        arrays_per_s = ARRAYS_PER_S * self._machines
        for workload in WORKLOADS:
            self._queue.schedule(
                START_US, partial(self._submit_periodically, workload, workload.arrays_per_arrival / arrays_per_s)
            )

    def _submit_periodically(self, workload: Workload, mean_interval_s: float) -> None:
        """Submit a job, and schedule the next one."""
        self._submit(workload)
        interval_s = self._rng.expovariate(1.0 / mean_interval_s)
        self._queue.schedule(interval_s * SECOND, lambda: self._submit_periodically(workload, mean_interval_s))

    def _submit(self, workload: Workload) -> None:
        tasks = workload.sample_task_count(self._rng)
        self.submitted += 1
        job_id = f"req-{self.submitted:06d}"
        spec = _spec(job_id, workload, tasks, f"img-{self.submitted % IMAGES}")
        self._specs[job_id] = spec
        request = self._shell.open_request(lambda status, body: self._schedule_poll(job_id))
        self._shell.post(MessageKind.SUBMIT, fx.UserRequest(request, "submit", job_id, spec))

    def _schedule_poll(self, job_id: str) -> None:
        delay_us = POLL_S * SECOND * self._rng.uniform(0.8, 1.2)
        self._queue.schedule(delay_us, lambda: self._poll(job_id))

    def _poll(self, job_id: str) -> None:
        def on_reply(status: int, body: Any) -> None:
            if status != OK or body["status"] not in (m.DONE, m.CANCELLED):
                self._schedule_poll(job_id)

        request = self._shell.open_request(on_reply)
        self._shell.post(MessageKind.POLL, fx.UserRequest(request, "poll", job_id))


def _spec(job_id: str, workload: Workload, tasks: int, image: str) -> m.JobSpec:
    return m.JobSpec(
        job_id=job_id,
        job_class=workload.priority_class,
        team=TEAM,
        kind="standing" if workload.service else "array",
        priority_class=workload.priority_class,
        tasks=tasks,
        cpus=SERVICE_CPUS if workload.service else ARRAY_CPUS,
        gpus=0.0,
        memory_gb=3.0,
        image=image,
        image_gb=1.5,
        one_zone=False,
        spread=workload.service,
        spot=not workload.service,
        estimated_run_s=workload.estimate_s,
        checkpoint_interval_s=workload.checkpoint_s,
        checkpoint_cost_s=0.0,
    )
