"""The machines that one placement pass may use."""

from collections.abc import Iterable

from quinceslip.coordination.scheduling.machine_eligibility import MachineEligibility
from quinceslip.coordination.shard_state.worker import Worker


def filter_by_free_cpus(workers: Iterable[Worker], cpus: float) -> list[Worker]:
    """Return the workers of a known type that have at least that many CPUs free."""
    return [worker for worker in workers if worker.type is not None and worker.type.cpus - worker.used_cpus >= cpus]


class ExaminedCounter:
    """Counts the workers that the passes of a shard have examined, which is the work of placement."""

    def __init__(self) -> None:
        self.total = 0


class CandidateMachines:
    """The usable machines of one pass: those with room, and all of them only on request.

    Most passes find a full fleet, and then need nothing else.
    """

    def __init__(self, eligibility: MachineEligibility, workers: Iterable[Worker], examined: ExaminedCounter) -> None:
        self.eligibility = eligibility
        self.workers = workers
        self.examined = examined
        self._all: list[Worker] | None = None

    def all(self) -> list[Worker]:
        """Return every usable machine, whether it has room or not."""
        if self._all is None:
            self._all = [worker for worker in self.workers if self.eligibility.usable(worker)]
            self.examined.total += len(self._all)
        return self._all

    def with_free_cpus(self, cpus: float) -> list[Worker]:
        """Return the usable machines that have at least that many CPUs free."""
        if self._all is not None:
            return filter_by_free_cpus(self._all, cpus)
        found = [worker for worker in filter_by_free_cpus(self.workers, cpus) if self.eligibility.usable(worker)]
        self.examined.total += len(found)
        return found
