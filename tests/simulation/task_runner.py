"""The tasks of one simulated worker: how they react to commands, and when they start and end."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from typing import TYPE_CHECKING, Any

from tests.simulation.clock import SECOND_US
from tests.simulation.tasks import index_of, job_of

if TYPE_CHECKING:
    from tests.simulation.worker import SimulatedWorker

#: time to fetch the image of a task before it starts
IMAGE_FETCH_US = 300_000
#: delay after the end of a hang until events that it held up take place
RESUME_DELAY_US = 100_000
#: tolerance for rounding errors in sums of fractional CPUs
ROUNDING_TOLERANCE = 1e-6


class TaskStatus(StrEnum):
    """The state of a task on its worker, as reported in heartbeats."""

    PULLING = "pulling"
    RUNNING = "running"
    FLUSHING = "flushing"
    EXITED = "exited"


@dataclass
class SimulatedTask:
    """One attempt of a task on a worker; `spec` is None if no user of this world submitted its job."""

    name: str
    attempt: int
    spec: Any
    status: TaskStatus = TaskStatus.PULLING
    cause: str | None = None  # why it exited
    is_running: bool = False  # for the checker: from its start to its exit, including the time to save its state

    def to_wire(self) -> dict[str, Any]:
        """The entry of this task in a heartbeat."""
        entry: dict[str, Any] = {"pick": self.name, "try": self.attempt, "status": self.status}
        if self.cause is not None:
            entry["cause"] = self.cause
        return entry

    def exit(self, cause: str) -> None:
        """Mark the task as exited; heartbeats report it until a command acknowledges the result."""
        self.status, self.cause = TaskStatus.EXITED, cause


class TaskRunner:
    """Executes commands and runs tasks in virtual time."""

    def __init__(self, worker: "SimulatedWorker") -> None:
        self.worker, self.world = worker, worker.world
        self.tasks: dict[str, SimulatedTask] = {}

    def execute(self, commands: list[dict[str, Any]]) -> None:
        """Execute the commands of one message in order."""
        handlers = {"launch": self._launch, "halt": self._stop, "reap": self._acknowledge_result}
        for command in commands:
            handlers[command["verb"]](command)
            self.worker.has_changed = True

    def end_all(self) -> None:
        """End all running tasks; heartbeats still report their last status."""
        for name in list(self.tasks):
            self._record_stop(self.tasks[name])

    def running_task_count(self) -> int:
        """Number of tasks that run or save their state."""
        return sum(task.is_running for task in self.tasks.values())

    def _live_attempt(self, name: str, attempt: int) -> SimulatedTask | None:
        """The task if it exists under this attempt and the machine is alive, else None."""
        task = self.tasks.get(name)
        if task is None or task.attempt != attempt or self.worker.is_dead:
            return None
        return task

    def _launch(self, command: dict[str, Any]) -> None:
        name, attempt = command["pick"], command["try"]
        if name in self.tasks:
            return
        spec = self.world.jobs.get(job_of(name))
        task = self.tasks[name] = SimulatedTask(name, attempt, spec)
        if spec is None:
            task.exit("unknown")
        elif self._cpus_used() > self.worker.type["vcpus"] + ROUNDING_TOLERANCE:
            task.exit("no_room")
        else:
            self.world.after(IMAGE_FETCH_US, partial(self._start, name, attempt))

    def _cpus_used(self) -> float:
        return sum(float(task.spec["vcpus"]) for task in self.tasks.values() if task.status != TaskStatus.EXITED)

    def _stop(self, command: dict[str, Any]) -> None:
        """Stop a task; one with checkpoints saves its state first if the command allows enough time."""
        name, attempt = command["pick"], command["try"]
        task = self.tasks.get(name)
        if task is None or task.attempt != attempt or task.status == TaskStatus.EXITED:
            return
        save_s = task.spec["markCostS"]
        can_save = task.spec["markEveryS"] > 0 and command.get("windDownS", 0) >= save_s
        if can_save and task.status == TaskStatus.RUNNING:
            task.status = TaskStatus.FLUSHING
            self.world.after(save_s * SECOND_US, partial(self._exit, name, attempt, "halted"))
        else:
            self._exit(name, attempt, "halted")

    def _acknowledge_result(self, command: dict[str, Any]) -> None:
        task = self.tasks.get(command["pick"])
        if task is not None and task.attempt == command["try"] and task.status == TaskStatus.EXITED:
            del self.tasks[task.name]

    def _start(self, name: str, attempt: int) -> None:
        task = self._live_attempt(name, attempt)
        if task is None or task.status != TaskStatus.PULLING:
            return
        if self._postponed_by_hang(partial(self._start, name, attempt)):
            return
        task.status, task.is_running = TaskStatus.RUNNING, True
        self.worker.has_changed = True
        world, job_id = self.world, job_of(name)
        world.checker.machines.task_started(name, self.worker)
        if world.remaining_failures.get(job_id, 0) > 0:
            world.remaining_failures[job_id] -= 1
            world.after(SECOND_US, partial(self._exit, name, attempt, "error"))
        elif task.spec["shape"] != "standing":
            run_s = world.run_s[job_id] + index_of(name) * world.run_increment_s.get(job_id, 0)
            world.after(run_s * SECOND_US, partial(self._complete, name, attempt))

    def _complete(self, name: str, attempt: int) -> None:
        task = self._live_attempt(name, attempt)
        if task is None or task.status != TaskStatus.RUNNING:
            return
        if self._postponed_by_hang(partial(self._complete, name, attempt)):
            return
        checker, job_id = self.world.checker, job_of(name)
        checker.task_completed(name)
        self._exit(name, attempt, "done")
        if checker.observed.is_complete(job_id):
            for listener in self.world.completion_listeners:
                listener(job_id)

    def _postponed_by_hang(self, action: Callable[[], None]) -> bool:
        """Whether the machine hangs; if so, schedule the action shortly after the hang."""
        hang_left_us = self.worker.hung_until_us - self.world.now_us
        if hang_left_us <= 0:
            return False
        self.world.after(hang_left_us + RESUME_DELAY_US, action)
        return True

    def _exit(self, name: str, attempt: int, cause: str) -> None:
        task = self._live_attempt(name, attempt)
        if task is not None and task.status != TaskStatus.EXITED:
            self._record_stop(task)
            task.exit(cause)
            self.worker.has_changed = True

    def _record_stop(self, task: SimulatedTask) -> None:
        if task.is_running:
            task.is_running = False
            self.world.checker.machines.task_stopped(task.name, self.worker.name)
