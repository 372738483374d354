"""Zone constraints: the zones in which the next task of a job may run."""

from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.protocol import messages as m
from quinceslip.storage import task_sets
from quinceslip.storage.records import PartitionRecord


def max_tasks_per_zone(spec: m.JobSpec) -> int:
    """Return how many tasks of a spread job may run in one zone: half of them, rounded up."""
    return (spec.tasks + 1) // 2


def eligible_zones(state: ShardState, partition: JobPartition, count_kept: bool = True) -> set[str] | None:
    """Return the zones that `together` and `spread` leave for one more task; None for any.

    Every task that may still be running somewhere counts, whichever shard has its partition. `count_kept=False` leaves
    out attempts kept until the address of a lost worker is resolved, for callers that ask what is needed after that.
    """
    spec = partition.spec
    if not (spec.one_zone or spec.spread):
        return None
    others = _unfinished_partitions_elsewhere(state, partition)
    if partition.unreconciled or partition.indeterminate or (others and not _zones_disjoint(partition, others)):
        return set()  # some of its tasks may be in any zone: wait until their location is known
    running_by_zone = _possibly_running_by_zone(state, partition, count_kept)
    zones = set(partition.zones or state.ctx.settings.facts.zones)
    if spec.one_zone:
        zones &= set(running_by_zone) or zones
        if len(running_by_zone) > 1:
            return set()
    if spec.spread:
        max_per_zone = max_tasks_per_zone(spec)
        zones = {zone for zone in zones if running_by_zone.get(zone, 0) < max_per_zone}
    return zones


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


def _possibly_running_by_zone(state: ShardState, partition: JobPartition, count_kept: bool) -> dict[str, int]:
    """Return how many tasks of the job may still be on machines of this shard, by zone."""
    counts: dict[str, int] = {}
    for worker, attempt in state.possibly_running(partition.job_id):
        if count_kept or attempt not in state.kept_attempts:
            counts[worker.zone] = counts.get(worker.zone, 0) + 1
    return counts
