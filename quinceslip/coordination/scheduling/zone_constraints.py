"""Zone constraints: the zones in which the next task of a job may run."""

from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.protocol import messages as m
from quinceslip.storage import task_sets
from quinceslip.storage.records import PartitionRecord


def max_tasks_per_zone(spec: m.JobSpec) -> int:
    """Return how many tasks of a spread job may run in one zone: half of them, rounded up."""
    return (spec.tasks + 1) // 2


class EligibleZones:
    """The zones that `together` and `spread` leave for one more task of a partition, updated as tasks are placed.

    Every task that may still be running somewhere counts, whichever shard has its partition. Valid for one turn of the
    actor; `zones` only ever shrinks.
    """

    def __init__(self, state: ShardState, partition: JobPartition, count_kept: bool = True) -> None:
        """`count_kept=False` leaves out attempts kept until the address of a lost worker is resolved."""
        self._spec = partition.spec
        self._running_by_zone: dict[str, int] = {}
        self.zones: set[str] | None = None  # None: any zone
        if self._spec.zone_bound:
            self.zones = self._zones_now(state, partition, count_kept)

    @property
    def exhausted(self) -> bool:
        """Whether no zone is left."""
        return self.zones is not None and not self.zones

    def allows(self, zone: str) -> bool:
        """Whether one more task may run in a zone."""
        return self.zones is None or zone in self.zones

    def max_further_tasks(self, zone: str) -> int:
        """Return how many more tasks may run in a zone, whatever runs in the others."""
        if not self.allows(zone):
            return 0
        if not self._spec.spread:
            return self._spec.tasks
        return max_tasks_per_zone(self._spec) - self._running_by_zone.get(zone, 0)

    def task_placed(self, zone: str) -> None:
        """Count a task that has just been placed in a zone."""
        if self.zones is None:
            return
        self._running_by_zone[zone] = self._running_by_zone.get(zone, 0) + 1
        if self._spec.one_zone:
            self.zones &= {zone}
        if self._spec.spread and self._running_by_zone[zone] >= max_tasks_per_zone(self._spec):
            self.zones.discard(zone)

    def _zones_now(self, state: ShardState, partition: JobPartition, count_kept: bool) -> set[str]:
        others = _unfinished_partitions_elsewhere(state, partition)
        if partition.unreconciled or partition.indeterminate or (others and not _zones_disjoint(partition, others)):
            return set()  # some of its tasks may be in any zone: wait until their location is known
        running = self._running_by_zone = state.possibly_running_by_zone(partition.job_id, count_kept)
        zones = set(partition.zones or state.ctx.settings.facts.zones)
        if self._spec.one_zone:
            zones &= set(running) or zones
            if len(running) > 1:
                return set()
        if self._spec.spread:
            max_per_zone = max_tasks_per_zone(self._spec)
            zones = {zone for zone in zones if running.get(zone, 0) < max_per_zone}
        return zones


def eligible_zones(state: ShardState, partition: JobPartition, count_kept: bool = True) -> set[str] | None:
    """Return the zones that `together` and `spread` leave for one more task (see `EligibleZones`); None for any."""
    return EligibleZones(state, partition, count_kept).zones


def _unfinished_partitions_elsewhere(state: ShardState, partition: JobPartition) -> list[PartitionRecord]:
    """Return the partitions of the job in other shards that still have tasks to do."""
    cache = state.ctx.cache
    job = cache.job(partition.job_id)
    if job is None or (not job.other_shards and job.shard == state.index):
        return []
    return [
        record
        for shard, record in cache.partitions(partition.job_id).items()
        if shard != state.index and task_sets.decode(record.assigned) - task_sets.decode(record.done)
    ]


def _zones_disjoint(partition: JobPartition, others: list[PartitionRecord]) -> bool:
    """Whether the zones of the partition and those of the others can never overlap."""
    return (
        not partition.spec.one_zone
        and bool(partition.zones)
        and all(other.zones and not partition.zones & set(other.zones) for other in others)
    )
