"""Searches for a machine that found none in this pass, so that no task as hard to place is searched for again."""

from typing import NamedTuple

from quinceslip.coordination.shard_state.partition import JobPartition


class FailedSearch(NamedTuple):
    """A size of task that found no machine in some zones (None: in any)."""

    zones: frozenset[str] | None
    cpus: float
    gpus: float
    memory_gb: float


class FailedSearches:
    """The searches of one pass that failed, by what binds the tasks to machines besides their size."""

    def __init__(self, all_zones: set[str]) -> None:
        self._all_zones = all_zones
        self._by_constraints: dict[tuple[object, ...], list[FailedSearch]] = {}

    def record(self, partition: JobPartition, zones: set[str] | None) -> None:
        """No machine in those zones (None: in any) has room for a task of the partition."""
        spec = partition.spec
        search = FailedSearch(None if zones is None else frozenset(zones), spec.cpus, spec.gpus, spec.memory_gb)
        self._by_constraints.setdefault(partition.constraints, []).append(search)

    def covers(self, partition: JobPartition, zones: set[str] | None) -> bool:
        """Whether a task no larger, bound alike and to no fewer zones, has found no machine."""
        spec = partition.spec
        return any(
            (failed_zones is None or (zones is not None and zones <= failed_zones))
            and spec.cpus >= cpus
            and spec.gpus >= gpus
            and spec.memory_gb >= memory_gb
            for failed_zones, cpus, gpus, memory_gb in self._by_constraints.get(partition.constraints, ())
        )

    def covers_all_zones(self, partition: JobPartition) -> bool:
        """Whether no zone can have a machine for the partition."""
        return self.covers(partition, self._all_zones)
