"""The machines that one pass of placement may use."""

from collections.abc import Iterable

from quinceslip.coordination.scheduling.machine_eligibility import MachineEligibility
from quinceslip.coordination.shard_state.worker import Worker


def having_free_cpus(workers: Iterable[Worker], cpus: float) -> list[Worker]:
    """Those of a known type that have at least that many CPUs free."""
    return [worker for worker in workers if worker.type is not None and worker.type.cpus - worker.used_cpus >= cpus]


class ExaminedCounter:
    """How many workers the passes of a shard have examined: the work of placement, for tests and profiles."""

    def __init__(self) -> None:
        self.total = 0


class CandidateMachines:
    """The usable machines of one pass: those with room, and all of them only where they are asked for.

    Most passes find a full fleet, and need to know no more than that.
    """

    def __init__(self, eligibility: MachineEligibility, workers: Iterable[Worker], examined: ExaminedCounter) -> None:
        self.eligibility = eligibility
        self.workers = workers
        self.examined = examined
        self._all: list[Worker] | None = None

    def all(self) -> list[Worker]:
        """Every usable machine, whether it has room or not."""
        if self._all is None:
            self._all = [worker for worker in self.workers if self.eligibility.usable(worker)]
            self.examined.total += len(self._all)
        return self._all

    def with_free_cpus(self, cpus: float) -> list[Worker]:
        """The usable machines that have at least that many CPUs free."""
        if self._all is not None:
            return having_free_cpus(self._all, cpus)
        found = [worker for worker in having_free_cpus(self.workers, cpus) if self.eligibility.usable(worker)]
        self.examined.total += len(found)
        return found
