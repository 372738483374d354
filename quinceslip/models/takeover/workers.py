"""Workers that keep to the protocol: fencing tokens, epochs, idempotent commands, results kept until acknowledged."""

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
    inherited_epoch: int = 1  # its epoch when the present leader came
    lease_lapsed: bool = False  # its lease has run out under the present leader, which has renewed none since
    address: str = ""  # where direct commands reach it; its name, if it has not the address of another
    is_foreign: bool = False  # of another shard: another leader renews its lease, and this one is told nothing by it

    def __post_init__(self) -> None:
        """A machine has an address of its own unless it is given that of another."""
        self.address = self.address or self.name

    def heartbeat(self) -> m.WorkerHeartbeat:
        """The next heartbeat, with the state of all its tasks."""
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
        """Count epochs and leases from now on under a new leader."""
        self.lease_lapsed = False
        self.inherited_epoch = self.epoch

    def in_newer_epoch(self) -> bool:
        """Whether a lease has run out since the present leader came."""
        return self.epoch > self.inherited_epoch

    def exit(self, task: str, cause: str) -> None:
        """End a task that is on it."""
        self.tasks[task] = m.TaskStatus(task, self.tasks[task].attempt, m.EXITED, cause)

    def expire_lease(self) -> None:
        """Stop all tasks and begin a new epoch, as a worker does whose lease runs out."""
        self.epoch += 1
        self.lease_lapsed = True
        self.tasks.clear()

    def vanish(self) -> None:
        """End the machine with all that is on it."""
        self.gone = True
        self.tasks.clear()


class WorkerFleet:
    """All workers; carries out commands and checks what must never happen."""

    def __init__(self, count: int, store: ResultStore) -> None:
        """A fleet of `count` workers without tasks; results are recorded in `store`."""
        self.workers = [ModelWorker(f"w{number}") for number in range(count)]
        self._store = store

    def reuse_address(self, lost: ModelWorker) -> int:
        """End a machine, and start another one of another shard at its address; returns its place in the fleet."""
        lost.vanish()
        self.workers.append(ModelWorker(f"w{len(self.workers)}", address=lost.address, is_foreign=True))
        return len(self.workers) - 1

    def at_address(self, address: str) -> ModelWorker | None:
        """The machine that has an address now."""
        return next((worker for worker in self.workers if worker.address == address and not worker.gone), None)

    def obey(self, worker: ModelWorker, fencing_token: int, commands: list[m.Command]) -> None:
        """Carry out commands; raises Breach where they do what must never be."""
        worker.fencing_token = max(worker.fencing_token, fencing_token)
        for command in commands:
            known = worker.tasks.get(command.task)
            if command.op == "launch":
                # An exited attempt of the same task keeps a newer one out: placement waits until it is acknowledged.
                if known is None:
                    self._start(worker, command)
            elif known is not None and known.attempt == command.attempt:
                self._end(worker, command, known)

    def _start(self, worker: ModelWorker, command: m.Command) -> None:
        task = command.task
        for other in self.workers:
            known = other.tasks.get(task)
            if other is not worker and known is not None and known.state != m.EXITED:
                raise Breach(f"{task} starts on {worker.name} while it is on {other.name}")
        # At a machine that has the address of a lost one nobody can prevent that, and no rule of PROTOCOL forbids it.
        if task_index(task) in self._store.recorded and not worker.is_foreign:
            raise Breach(f"{task} starts on {worker.name} after it was done")
        worker.tasks[task] = m.TaskStatus(task, command.attempt, m.RUNNING)

    def _end(self, worker: ModelWorker, command: m.Command, known: m.TaskStatus) -> None:
        """Stop an attempt, or drop the result of one that has exited."""
        if command.op == "halt" and known.state != m.EXITED:
            worker.exit(command.task, m.CAUSE_HALTED)
        elif command.op == "reap" and known.state == m.EXITED:
            if known.exit_cause == m.CAUSE_DONE and task_index(command.task) not in self._store.recorded:
                raise Breach(f"the result of {command.task} is dropped before it is recorded")
            del worker.tasks[command.task]
