"""One pass over the queue: each partition in turn is offered the machines that have room.

Once no machine was found for a task, the pass does not search for tasks that are as large. A pass whose work exceeds
the budget of a turn of the actor is interrupted, and goes on in the next turns (`PlacementPass.interrupted`).
"""

from quinceslip.coordination.scheduling.candidates import CandidateMachines, filter_by_free_cpus
from quinceslip.coordination.scheduling.failed_searches import FailedSearches
from quinceslip.coordination.scheduling.gangs import GangPlacer
from quinceslip.coordination.scheduling.independent_tasks import IndependentTaskPlacer
from quinceslip.coordination.scheduling.machine_eligibility import MachineEligibility, satisfies_constraints
from quinceslip.coordination.scheduling.machine_preference import MachinePreference
from quinceslip.coordination.scheduling.pass_context import PassContext
from quinceslip.coordination.scheduling.preemption import Preemption
from quinceslip.coordination.scheduling.quota_gate import QuotaGate
from quinceslip.coordination.scheduling.reservation import MachineReservation
from quinceslip.coordination.scheduling.task_launcher import TaskLauncher
from quinceslip.coordination.scheduling.work_budget import WorkBudget
from quinceslip.coordination.scheduling.zone_bound_tasks import ZoneBoundTaskPlacer
from quinceslip.coordination.scheduling.zone_constraints import eligible_zones
from quinceslip.coordination.shard_state.partition import FIRST_TASK, NORMAL, JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import EPSILON, Worker


class PlacementPass:
    """Runs passes over queues of a shard, placing each partition as its job requires."""

    def __init__(
        self,
        state: ShardState,
        eligibility: MachineEligibility,
        preference: MachinePreference,
        reservation: MachineReservation,
    ) -> None:
        self.state = state
        self.preference = preference
        self.reservation = reservation
        self.quota_gate = QuotaGate(state)
        self.launcher = TaskLauncher(state)
        preemption = Preemption(state, eligibility, preference)
        self.gangs = GangPlacer(state, eligibility, preference, self.launcher)
        self.zone_bound = ZoneBoundTaskPlacer(state, preference, preemption, self.quota_gate, self.launcher)
        self.independent = IndependentTaskPlacer(state, preference, preemption, self.quota_gate, self.launcher)
        self.all_zones = set(state.ctx.settings.facts.zones)
        #: whether the last pass over the whole shard has ended at the bound of its turn, and is to go on in the next
        self.interrupted = False
        #: partitions that earlier turns of an interrupted pass found no machine for: the next turns leave them out
        self._unplaced_before: set[JobPartition] = set()
        self._unplaced: set[JobPartition] = set()  # those of this turn

    def run(
        self, queue: list[JobPartition], machines: CandidateMachines, whole_shard: bool, budget: WorkBudget
    ) -> bool:
        """Place the partitions of the queue, in its order; returns False if the budget ended before the queue did."""
        if not queue:
            return True
        self.preference.start_pass()
        context = PassContext(machines, whole_shard, FailedSearches(self.all_zones), budget)
        self._place_queue(context, queue)
        return not context.interrupted

    def turn_ended(self, complete: bool) -> None:
        """Note whether the last turn has brought the pass over the whole shard to its end."""
        self.interrupted = not complete
        self._unplaced_before = set() if complete else self._unplaced_before | self._unplaced
        self._unplaced.clear()

    def _place_queue(self, context: PassContext, queue: list[JobPartition]) -> None:
        machines, whole_shard = context.machines, context.whole_shard
        smallest_cpus = min(partition.spec.cpus for partition in queue) - EPSILON
        with_room = machines.with_free_cpus(smallest_cpus)
        launched = self.launcher.launched
        unplaceable_shapes: set[tuple[object, ...]] = set()
        for partition in queue:
            if partition.shape in unplaceable_shapes and self.state.quota is None:
                continue
            if whole_shard and partition in self._unplaced_before:
                continue
            if (not whole_shard and not with_room) or context.must_stop():
                return
            if not self.quota_gate.admits_whole_job(context, partition):
                self.gangs.abandon(partition)
                continue
            self._place(context, partition, with_room)
            if context.interrupted:
                return
            if self._is_unplaceable(context, partition):
                unplaceable_shapes.add(partition.shape)
            if partition.priority > 0 and with_room and self.launcher.launched != launched:
                launched = self.launcher.launched
                with_room = filter_by_free_cpus(with_room, smallest_cpus)

    def _place(self, context: PassContext, partition: JobPartition, with_room: list[Worker]) -> None:
        """Offer the machines to one partition, and handle the outcome."""
        launched_before = self.launcher.launched
        offered = with_room
        if self.reservation.machines:
            offered = [worker for worker in with_room if not self.reservation.is_withheld_from(worker, partition)]
        self._place_by_kind(context, partition, offered)
        if not context.whole_shard or context.interrupted:
            return
        if partition.pending and self.state.quota is not None:
            self.state.quota.not_placed(partition)
        started = self.launcher.launched != launched_before
        if partition.precedence:
            self._handle_precedence(context, partition, started)
        if started or self._is_deferred(partition):
            self._unplaced.discard(partition)
        else:
            self._unplaced.add(partition)

    def _is_deferred(self, partition: JobPartition) -> bool:
        """Whether only quotas kept the partition from starting in this round: a later one may admit it."""
        quota = self.state.quota
        return quota is not None and (partition.on_hold or quota.deferred_to_next_round())

    def _place_by_kind(self, context: PassContext, partition: JobPartition, offered: list[Worker]) -> None:
        """Place the partition according to the kind of its job; gangs only in passes over the whole shard."""
        if partition.spec.gang:
            if context.whole_shard:
                self.gangs.place(context, partition, offered)
        elif partition.spec.zone_bound:
            self.zone_bound.place(context, partition, offered)
        else:
            self.independent.place(context, partition, offered)

    def _is_unplaceable(self, context: PassContext, partition: JobPartition) -> bool:
        """Whether the partition has waiting tasks for which no zone has a machine."""
        return (
            bool(partition.pending) and not partition.spec.gang and context.failed_searches.covers_all_zones(partition)
        )

    def _handle_precedence(self, context: PassContext, partition: JobPartition, started: bool) -> None:
        """Reset the precedence of an array whose first task has started, or reserve machines if nothing has started."""
        if partition.precedence == FIRST_TASK and started:
            # Its other tasks wait for their regular turn, in the next pass.
            partition.precedence = NORMAL
            self.state.invalidate_queue_order()
            self.state.needs_placement = True
        elif (
            not started
            and partition.startable_task_count()
            and not partition.on_hold
            and self.quota_gate.allows_one(partition)
        ):
            self._reserve_machines(context, partition)

    def _reserve_machines(self, context: PassContext, partition: JobPartition) -> None:
        """Reserve machines in the zones that the partition may use, if any."""
        zones = eligible_zones(self.state, partition)
        if zones is not None and not zones:
            return
        usable = context.machines.all()
        self.reservation.reserve(
            partition,
            (worker for worker in usable if satisfies_constraints(worker, partition.spec, zones)),
            context.budget,
        )
