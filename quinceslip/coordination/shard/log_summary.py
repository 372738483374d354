"""Log output of a shard: one line of counts, and its machines one by one at `debug`."""

import logging
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from quinceslip.coordination.shard_state.worker import Worker

if TYPE_CHECKING:
    from quinceslip.coordination.shard.shard import Shard

log = logging.getLogger(__name__)

#: maximum number of machines of a shard that are logged at `debug`, unusable ones first
MAX_LOGGED_MACHINES = 100


class MachineState(StrEnum):
    """Whether a machine may get tasks, and if not, why."""

    USABLE = "usable"
    DRAINING = "draining"  # draining, about to be reclaimed by the cloud, or being deleted
    BOOTING = "booting"  # it has not sent a heartbeat yet
    UNAVAILABLE = "out"  # silent, unreachable, not fenced, or not registered


@dataclass(frozen=True, slots=True)
class MachineStatus:
    """A machine and its state at one moment."""

    worker: Worker
    state: MachineState


@dataclass(slots=True)
class ShardSummary:
    """Counts and totals over the machines of a shard at one moment."""

    shard: int
    waiting_tasks: int
    machines: dict[MachineState, int] = field(default_factory=lambda: dict.fromkeys(MachineState, 0))
    spot: int = 0  # number of spot machines in any state
    service_cpus: float = 0.0  # in use by services
    other_cpus: float = 0.0  # in use by other tasks
    total_cpus: float = 0.0  # of all machines whose type is known
    unacknowledged: int = 0  # ended attempts that their workers have not forgotten yet

    def add(self, status: MachineStatus) -> None:
        """Add one machine to the counts."""
        worker = status.worker
        self.machines[status.state] += 1
        self.spot += worker.spot
        self.service_cpus += worker.service_cpus
        self.other_cpus += _other_cpus(worker)
        self.total_cpus += _total_cpus(worker)
        self.unacknowledged += sum(bool(attempt.end_cause) for attempt in worker.attempts.values())

    def __str__(self) -> str:
        """The log line, as `key=value`; its length hardly depends on the number of machines."""
        states = " ".join(f"{state}={count}" for state, count in self.machines.items())
        return (
            f"shard summary shard={self.shard} machines={sum(self.machines.values())} {states} spot={self.spot}"
            f" service_cpus={self.service_cpus:.1f} other_cpus={self.other_cpus:.1f} total_cpus={self.total_cpus:.1f}"
            f" waiting_tasks={self.waiting_tasks} unacknowledged={self.unacknowledged}"
        )


def machine_state(worker: Worker, usable: bool) -> MachineState:
    """The state of a machine; `usable`: whether placement may use it."""
    if usable:
        return MachineState.USABLE
    if worker.draining or worker.deleting or worker.notice_us:
        return MachineState.DRAINING
    return MachineState.UNAVAILABLE if worker.last_contact_us else MachineState.BOOTING


def machine_statuses(shard: "Shard") -> list[MachineStatus]:
    """All machines of the shard with their states."""
    usable = shard.placement.usable
    return [MachineStatus(worker, machine_state(worker, usable(worker))) for worker in shard.workers.values()]


def summarize(shard: int, waiting_tasks: int, statuses: Sequence[MachineStatus]) -> ShardSummary:
    """Summarize these machines."""
    summary = ShardSummary(shard, waiting_tasks)
    for status in statuses:
        summary.add(status)
    return summary


def log_machines(shard: int, statuses: Sequence[MachineStatus]) -> None:
    """Log machines one by one at `debug`: at most `MAX_LOGGED_MACHINES`, unusable ones first."""
    if not log.isEnabledFor(logging.DEBUG):
        return
    ordered = sorted(statuses, key=lambda status: (status.state is MachineState.USABLE, status.worker.name))
    for status in ordered[:MAX_LOGGED_MACHINES]:
        worker = status.worker
        log.debug(
            "machine shard=%d worker=%s state=%s spot=%s service_cpus=%.1f other_cpus=%.1f total_cpus=%.1f",
            shard,
            worker.name,
            status.state,
            worker.spot,
            worker.service_cpus,
            _other_cpus(worker),
            _total_cpus(worker),
        )
    omitted = len(ordered) - MAX_LOGGED_MACHINES
    if omitted > 0:
        log.debug("machines not logged shard=%d count=%d", shard, omitted)


def _other_cpus(worker: Worker) -> float:
    """CPUs in use by tasks other than services, never negative: rounding may make the difference less than 0."""
    return max(0.0, worker.used_cpus - worker.service_cpus)


def _total_cpus(worker: Worker) -> float:
    """CPUs of the machine; 0 if its type is not known."""
    return worker.type.cpus if worker.type is not None else 0.0
