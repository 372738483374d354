"""Resource amounts of machines, and how many more tasks their heartbeats can list."""

from typing import NamedTuple

from quinceslip.coordination.shard_state.worker import Worker, fits
from quinceslip.protocol import messages as m


class Resources(NamedTuple):
    """What is free on a machine."""

    cpus: float
    gpus: float
    memory_gb: float
    task_slots: int

    @classmethod
    def of_type(cls, machine_type: m.MachineType) -> "Resources":
        """Return the resources of an empty machine of that type."""
        return cls(machine_type.cpus, machine_type.gpus, machine_type.memory_gb, m.MAX_PLACED_TASKS)

    @classmethod
    def of_worker(cls, worker: Worker) -> "Resources":
        """Return what is free on a machine now."""
        return cls(*worker.free(), worker.free_task_slots())

    def has_room_for(self, spec: m.JobSpec) -> bool:
        """Whether one more task of that job fits."""
        return self.task_slots > 0 and fits((self.cpus, self.gpus, self.memory_gb), spec)

    def without(self, spec: m.JobSpec) -> "Resources":
        """Return the resources that remain beside one more task of that job."""
        return Resources(
            self.cpus - spec.cpus, self.gpus - spec.gpus, self.memory_gb - spec.memory_gb, self.task_slots - 1
        )
