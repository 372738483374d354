"""Resource amounts of machines and tasks."""

from typing import NamedTuple

from quinceslip.protocol import messages as m


class Resources(NamedTuple):
    """Resources that are free on a machine; `fits` accepts it directly."""

    cpus: float
    gpus: float
    memory_gb: float

    @classmethod
    def of_type(cls, machine_type: m.MachineType) -> "Resources":
        """Return the resources of an empty machine of that type."""
        return cls(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)

    def without(self, spec: m.JobSpec) -> "Resources":
        """Return the resources that remain beside one more task of that job."""
        return Resources(self.cpus - spec.cpus, self.gpus - spec.gpus, self.memory_gb - spec.memory_gb)
