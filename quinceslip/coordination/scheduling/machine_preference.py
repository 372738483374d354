"""Bin packing: which of the machines that have room for a task is used."""

from collections import deque
from collections.abc import Iterable

from quinceslip.coordination.scheduling.machine_eligibility import satisfies_constraints
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m

#: fraction of the acceptable wait that a fetch may take: it may be a third slower than the rate of the machine type,
#: and the start itself takes time as well
USABLE_FETCH_FRACTION = 0.7
#: services avoid a machine that is more than this many times as large as what they would use of it
OVERSIZED_FACTOR = 6.0
#: machines on which more tasks than this have failed are used last
MAX_TRUSTED_FAILURES = 1


def has_attempt_of(worker: Worker, task: str) -> bool:
    """Whether an attempt of that task, even an ended one, is still known or reported on the machine."""
    return task in worker.attempts or task in worker.reported_tasks


class MachinePreference:
    """The order in which machines are tried for a task."""

    def __init__(self, state: ShardState) -> None:
        self.state = state
        objectives = state.ctx.settings.facts.objectives
        self._max_wait_s = {o.job_class: o.within_s for o in objectives if o.kind == "wait"}
        self._order_by_task_shape: dict[tuple[object, ...], deque[Worker]] = {}  # for this pass

    def start_pass(self) -> None:
        """Discard the orders of the last pass."""
        self._order_by_task_shape.clear()

    def ordered_machines(self, partition: JobPartition, workers: Iterable[Worker]) -> Iterable[Worker]:
        """Return the machines with room for a task, best first.

        With quotas, many teams get a few tasks each, so the order is sorted once a pass for all partitions of one
        shape: the best machine stays the best as it fills up, and the others keep the order they were first sorted in.
        """
        if self.state.quota is None or partition.crash_loop.failure_workers:
            return self.sorted_machines(partition, workers)
        shape = _task_shape(partition.spec)
        order = self._order_by_task_shape.get(shape)
        if order is None:
            order = self._order_by_task_shape[shape] = deque(self.sorted_machines(partition, workers))
        # Bound: the machines in order; each iteration drops one.
        while order and not order[0].has_room_for(partition.spec):
            order.popleft()
        return order

    def fetch_too_slow(self, worker: Worker, spec: m.JobSpec) -> bool:
        """Whether fetching the task's image there takes longer than users accept to wait for a start."""
        if worker.type is None or spec.image in worker.images:
            return False
        return not self.fetches_in_time(worker.type, spec)

    def fetches_in_time(self, machine_type: m.MachineType, spec: m.JobSpec) -> bool:
        """Whether machines of that type fetch the image of the task within the wait that users accept."""
        max_wait_s = self._max_wait_s.get(spec.job_class)
        return max_wait_s is None or spec.image_gb <= USABLE_FETCH_FRACTION * max_wait_s * machine_type.fetch_gb_per_s

    def sorted_machines(self, partition: JobPartition, workers: Iterable[Worker]) -> list[Worker]:
        """Return the machines that have room for a task, best fit first, after the preferences of `_sort_key`."""
        found = [
            (self._sort_key(partition, worker), worker)
            for worker in workers
            if worker.has_room_for(partition.spec) and satisfies_constraints(worker, partition.spec, None)
        ]
        found.sort(key=lambda keyed: keyed[0])
        return [worker for _, worker in found]

    def _sort_key(self, partition: JobPartition, worker: Worker) -> tuple[object, ...]:
        """Sort key, smaller is better: machines on which tasks fail come last, then best fit decides, then the name."""
        spec = partition.spec
        free_cpus, _, free_memory_gb = worker.free()
        return (
            worker.task_failures > MAX_TRUSTED_FAILURES,
            worker.name in partition.crash_loop.failure_workers,
            *self._keys_before_best_fit(worker, spec),
            free_cpus - spec.cpus,
            free_memory_gb - spec.memory_gb,
            worker.name,
        )

    def _keys_before_best_fit(self, worker: Worker, spec: m.JobSpec) -> tuple[float, ...]:
        """Return the parts of the sort key that take precedence over best fit; smaller is better."""
        uncached = float(spec.image not in worker.images)
        service_cpus = worker.service_cpus
        if spec.service:
            # Services run for long. They go where services leave the least room, whatever else runs there now, so that
            # the other machines can be returned; but not where the image fetch takes longer than users accept to wait.
            size = worker.type.cpus if worker.type else 0.0
            return (
                float(self.fetch_too_slow(worker, spec)),
                uncached,
                float(size > OVERSIZED_FACTOR * (service_cpus + spec.cpus)),
                size - service_cpus - spec.cpus,
            )
        # Work that may use spot machines leaves the others to work that may not, and among these prefers the ones that
        # services keep rented anyway. Idle machines stay idle while others have room, so that they can be returned.
        return (
            float(spec.spot and not worker.spot),
            float(not service_cpus and not worker.spot),
            float(not worker.live_attempt_count),
            uncached,
        )


def _task_shape(spec: m.JobSpec) -> tuple[object, ...]:
    """Return all properties of a task that the order of machines depends on."""
    return (
        spec.image,
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        tuple(spec.types or ()),
        spec.zone,
        spec.spot,
        spec.service,
        spec.job_class,
    )
