"""The machines that one pass of placement may use."""

from collections.abc import Iterable
from typing import Protocol

from quinceslip.coordination.shard.worker import Worker


class UsabilityCheck(Protocol):
    """Who decides which machines can be used, and counts how many were looked at."""

    workers_examined: int

    def usable(self, worker: Worker) -> bool: ...


class CandidateMachines:
    """The machines of one pass that can be used: those with room, and all of them only where they are asked for.

    Most passes find a full fleet, and need to know no more than that.
    """

    def __init__(self, placement: UsabilityCheck, workers: Iterable[Worker]) -> None:
        self.placement = placement
        self.workers = workers
        self._all: list[Worker] | None = None

    def all(self) -> list[Worker]:
        if self._all is None:
            self._all = [w for w in self.workers if self.placement.usable(w)]
            self.placement.workers_examined += len(self._all)
        return self._all

    def with_free_cpus(self, cpus: float) -> list[Worker]:
        """Those with so many CPUs free."""
        if self._all is not None:
            return [w for w in self._all if w.type is not None and w.type.cpus - w.used_cpus >= cpus]
        found = [
            w
            for w in self.workers
            if w.type is not None and w.type.cpus - w.used_cpus >= cpus and self.placement.usable(w)
        ]
        self.placement.workers_examined += len(found)
        return found
