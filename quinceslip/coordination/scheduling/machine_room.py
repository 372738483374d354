"""Free room of a machine, counted on as tasks are thought to leave it."""

from dataclasses import dataclass

from quinceslip.coordination.shard_state.worker import Worker, fits
from quinceslip.protocol import messages as m

#: sums of decimal amounts drift: so little less than a whole task still counts as one
ROUNDING_TOLERANCE = 1e-6


@dataclass(slots=True)
class MachineRoom:
    """What would be free on a machine."""

    cpus: float
    gpus: float
    memory_gb: float

    @classmethod
    def of(cls, worker: Worker) -> "MachineRoom":
        """What is free there now."""
        return cls(*worker.free())

    def add(self, spec: m.JobSpec) -> None:
        """Count the room of one such task as free."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb

    def has_room_for(self, spec: m.JobSpec) -> bool:
        """Whether one such task has room."""
        return fits((self.cpus, self.gpus, self.memory_gb), spec)

    def count_fitting(self, spec: m.JobSpec) -> int:
        """How many such tasks have room together."""
        amounts = ((self.cpus, spec.cpus), (self.gpus, spec.gpus), (self.memory_gb, spec.memory_gb))
        ratios = [free / needed for free, needed in amounts if needed > 0]
        return int(min(ratios, default=1.0) + ROUNDING_TOLERANCE)
