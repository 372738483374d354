"""Amounts of the resources that a machine has and a task needs."""

from typing import NamedTuple

from quinceslip.protocol import messages as m


class Resources(NamedTuple):
    """What is free on a machine; `fits` takes it as it is."""

    cpus: float
    gpus: float
    memory_gb: float

    @classmethod
    def of_type(cls, machine_type: m.MachineType) -> "Resources":
        """All resources of an empty machine of that type."""
        return cls(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)

    def without(self, spec: m.JobSpec) -> "Resources":
        """What is left beside one more task of that job."""
        return Resources(self.cpus - spec.cpus, self.gpus - spec.gpus, self.memory_gb - spec.memory_gb)
