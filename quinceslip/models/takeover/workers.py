"""Workers that follow the protocol: fencing tokens, epochs, idempotent commands, results kept until acknowledged."""

from dataclasses import dataclass, field

from quinceslip.models.job import task_index
from quinceslip.models.result import Breach
from quinceslip.models.takeover.store import ResultStore
from quinceslip.protocol import messages as m


@dataclass(slots=True)
class ModelWorker:
    """One machine and the tasks on it."""

    name: str
    epoch: int = 1
    seq: int = 0
    fencing_token: int = 0
    tasks: dict[str, m.TaskStatus] = field(default_factory=dict)
    gone: bool = False
    inherited_epoch: int = 1  # its epoch when the current leader took over
    lease_lapsed: bool = False  # its lease has expired under the current leader, which has not renewed it since
    address: str = ""  # for direct commands; its name, unless it has the address of another machine
    is_foreign: bool = False  # of another shard, whose leader renews its lease; it sends no heartbeats here

    def __post_init__(self) -> None:
        """Default the address to the name of the machine."""
        self.address = self.address or self.name

    def heartbeat(self) -> m.WorkerHeartbeat:
        """Return the next heartbeat, with the state of all tasks."""
        self.seq += 1
        return m.WorkerHeartbeat(
            worker=self.name,
            endpoint=self.address,
            type="t",
            zone="z",
            epoch=self.epoch,
            seq=self.seq,
            fencing_token=self.fencing_token,
            tasks=list(self.tasks.values()),
        )

    def leader_changed(self) -> None:
        """Reset what is counted from the beginning of a leadership."""
        self.lease_lapsed = False
        self.inherited_epoch = self.epoch

    def epoch_has_advanced(self) -> bool:
        """Whether a lease has expired since the current leader took over."""
        return self.epoch > self.inherited_epoch

    def exit(self, task: str, cause: str) -> None:
        """Mark a task on the machine as exited."""
        self.tasks[task] = m.TaskStatus(task, self.tasks[task].attempt, m.EXITED, cause)

    def expire_lease(self) -> None:
        """Stop all tasks and begin a new epoch, as a worker does when its lease expires."""
        self.epoch += 1
        self.lease_lapsed = True
        self.tasks.clear()

    def terminate(self) -> None:
        """End the machine with all its tasks."""
        self.gone = True
        self.tasks.clear()


class WorkerFleet:
    """All workers; executes commands and checks safety properties."""

    def __init__(self, count: int, store: ResultStore) -> None:
        """Create `count` workers without tasks; results are recorded in `store`."""
        self.workers = [ModelWorker(f"w{number}") for number in range(count)]
        self._store = store

    def reuse_address(self, lost: ModelWorker) -> int:
        """End a machine and start one of another shard at its address; returns the index of the new one."""
        lost.terminate()
        self.workers.append(ModelWorker(f"w{len(self.workers)}", address=lost.address, is_foreign=True))
        return len(self.workers) - 1

    def machine_at(self, address: str) -> ModelWorker | None:
        """The machine that currently has an address."""
        return next((worker for worker in self.workers if worker.address == address and not worker.gone), None)

    def execute_commands(self, worker: ModelWorker, fencing_token: int, commands: list[m.Command]) -> None:
        """Execute commands; raises Breach if one violates a safety property."""
        worker.fencing_token = max(worker.fencing_token, fencing_token)
        for command in commands:
            known = worker.tasks.get(command.task)
            if command.op == "launch":
                # An exited attempt blocks a newer one of the same task until its exit is acknowledged.
                if known is None:
                    self._start(worker, command)
            elif known is not None and known.attempt == command.attempt:
                self._end(worker, command, known)

    def _start(self, worker: ModelWorker, command: m.Command) -> None:
        task = command.task
        for other in self.workers:
            known = other.tasks.get(task)
            if other is not worker and known is not None and known.state != m.EXITED:
                raise Breach(f"{task} starts on {worker.name} while it is still on {other.name}")
        # A machine that reuses the address of a lost one can't be kept from this, and PROTOCOL does not forbid it.
        if task_index(task) in self._store.recorded and not worker.is_foreign:
            raise Breach(f"{task} starts on {worker.name} after its result was recorded")
        worker.tasks[task] = m.TaskStatus(task, command.attempt, m.RUNNING)

    def _end(self, worker: ModelWorker, command: m.Command, known: m.TaskStatus) -> None:
        """Stop an attempt, or drop the result of one that has exited."""
        if command.op == "halt" and known.state != m.EXITED:
            worker.exit(command.task, m.CAUSE_HALTED)
        elif command.op == "reap" and known.state == m.EXITED:
            if known.exit_cause == m.CAUSE_DONE and task_index(command.task) not in self._store.recorded:
                raise Breach(f"the result of {command.task} is dropped before it was recorded")
            del worker.tasks[command.task]
