"""Free room of a machine under the assumption that some of its tasks end."""

from dataclasses import dataclass

from quinceslip.coordination.shard_state.amounts import Resources
from quinceslip.coordination.shard_state.worker import Worker, fits
from quinceslip.protocol import messages as m

#: sums of decimal amounts drift: this little less than a whole task still counts as one
ROUNDING_TOLERANCE = 1e-6


@dataclass(slots=True)
class MachineRoom:
    """The amounts that would be free on a machine."""

    cpus: float
    gpus: float
    memory_gb: float
    task_slots: int = m.MAX_PLACED_TASKS

    @classmethod
    def of(cls, worker: Worker) -> "MachineRoom":
        """Return what is free on the machine now."""
        return cls(*worker.free(), worker.free_task_slots())

    def add(self, spec: m.JobSpec) -> None:
        """Add the room that one such task takes."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb
        self.task_slots += 1

    def add_amounts(self, amounts: Resources, tasks: int) -> None:
        """Add the room that this number of tasks takes together."""
        self.task_slots += tasks
        self.cpus += amounts[0]
        self.gpus += amounts[1]
        self.memory_gb += amounts[2]

    def has_room_for(self, spec: m.JobSpec) -> bool:
        """Whether one such task fits."""
        return self.task_slots > 0 and fits((self.cpus, self.gpus, self.memory_gb), spec)

    def count_fitting(self, spec: m.JobSpec) -> int:
        """Return how many such tasks fit together; negative if the machine is overcommitted."""
        amounts = ((self.cpus, spec.cpus), (self.gpus, spec.gpus), (self.memory_gb, spec.memory_gb))
        ratios = [free / needed for free, needed in amounts if needed > 0]
        # A tiny amount fits without limit, or overcommits a machine without limit: neither is a number of tasks.
        fitting = min([*ratios, self.task_slots])
        return int(max(fitting, -m.MAX_TASKS) + ROUNDING_TOLERANCE)
