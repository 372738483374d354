"""Failed searches for a machine, so that a pass does not search again for a task that is as hard to place."""

from typing import NamedTuple

from quinceslip.coordination.shard_state.partition import JobPartition


class FailedSearch(NamedTuple):
    """Size of a task for which no machine was found in some zones (None: in any)."""

    zones: frozenset[str] | None
    cpus: float
    gpus: float
    memory_gb: float


class FailedSearches:
    """The failed searches of one pass, by the constraints of the tasks besides their size."""

    def __init__(self, all_zones: set[str]) -> None:
        self._all_zones = all_zones
        self._by_constraints: dict[tuple[object, ...], list[FailedSearch]] = {}

    def record(self, partition: JobPartition, zones: set[str] | None) -> None:
        """Record that no machine in those zones (None: in any) has room for a task of the partition."""
        spec = partition.spec
        search = FailedSearch(None if zones is None else frozenset(zones), spec.cpus, spec.gpus, spec.memory_gb)
        self._by_constraints.setdefault(partition.constraints, []).append(search)

    def covers(self, partition: JobPartition, zones: set[str] | None) -> bool:
        """Whether a search has failed for a task no larger, with the same constraints and at least these zones."""
        spec = partition.spec
        return any(
            (failed_zones is None or (zones is not None and zones <= failed_zones))
            and spec.cpus >= cpus
            and spec.gpus >= gpus
            and spec.memory_gb >= memory_gb
            for failed_zones, cpus, gpus, memory_gb in self._by_constraints.get(partition.constraints, ())
        )

    def covers_all_zones(self, partition: JobPartition) -> bool:
        """Whether no zone can have a machine for a task of the partition."""
        return self.covers(partition, self._all_zones)
