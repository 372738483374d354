"""Placement of tasks on the machines of a shard: the interface of this package, and when passes are made.

A full pass considers every machine that may have room; a pass for one worker, made when its heartbeat says that a task
has ended, considers that worker only. A full pass ends its turn of the actor at a bound and goes on in the next ones:
other messages are handled in between, so that neither leases nor users wait for a job of many tasks.
"""

from quinceslip.coordination.scheduling import zone_constraints
from quinceslip.coordination.scheduling.ageing import Ageing
from quinceslip.coordination.scheduling.candidates import CandidateMachines, ExaminedCounter
from quinceslip.coordination.scheduling.machine_eligibility import MachineEligibility, satisfies_constraints
from quinceslip.coordination.scheduling.machine_preference import MachinePreference
from quinceslip.coordination.scheduling.placement_pass import PlacementPass
from quinceslip.coordination.scheduling.reservation import MachineReservation
from quinceslip.coordination.scheduling.work_budget import MAX_STEPS_PER_TURN, WorkBudget
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import EPSILON, Worker
from quinceslip.protocol import messages as m


class Placement:
    """Places the waiting tasks of a shard, and answers which machines they may use."""

    satisfies_constraints = staticmethod(satisfies_constraints)

    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.ageing = Ageing(state.ctx)
        self.eligibility = MachineEligibility(state)
        self.preference = MachinePreference(state)
        self.reservation = MachineReservation(state.ctx, self.ageing)
        self.examined = ExaminedCounter()
        self.passes = PlacementPass(state, self.eligibility, self.preference, self.reservation)
        self.max_steps_per_turn = MAX_STEPS_PER_TURN
        self._requested_meanwhile = False  # another full pass is needed once the interrupted one has come to its end
        # Called twice for each heartbeat; binding it here saves a call.
        self.usable = self.eligibility.usable

    @property
    def workers_examined(self) -> int:
        """Number of workers that passes have examined so far: the work of placement, for tests and profiles."""
        return self.examined.total

    def eligible_zones(self, partition: JobPartition) -> set[str] | None:
        """Return the zones in which more machines would help the job once kept tasks wait as well; None for any."""
        return zone_constraints.eligible_zones(self.state, partition, count_kept=False)

    def fetch_too_slow(self, worker: Worker, spec: m.JobSpec) -> bool:
        """Whether fetching the task's image there takes too long: see `machine_preference`."""
        return self.preference.fetch_too_slow(worker, spec)

    def fetches_in_time(self, machine_type: m.MachineType, spec: m.JobSpec) -> bool:
        """Whether machines of that type fetch the image in time: see `machine_preference`."""
        return self.preference.fetches_in_time(machine_type, spec)

    def place_waiting(self) -> None:
        """Place waiting tasks: priority first, then first come, first served."""
        state = self.state
        interrupted = self.passes.interrupted
        if not (state.needs_placement or interrupted) or not state.election.may_launch(state.index):
            return
        self._requested_meanwhile = interrupted and (self._requested_meanwhile or state.needs_placement)
        state.needs_placement = False
        complete = self._run_turn()
        self.passes.turn_ended(complete)
        if complete and self._requested_meanwhile:
            self._requested_meanwhile, state.needs_placement = False, True

    def _run_turn(self) -> bool:
        """Make a full pass, or go on with the interrupted one; returns whether it has come to its end."""
        state, quota = self.state, self.state.quota
        queue = state.waiting_in_order()
        if not queue:
            if quota is not None:
                quota.queue_empty()
            return True
        self.reservation.release_stale(state.partitions)
        machines = CandidateMachines(self.eligibility, state.workers.values(), self.examined)
        budget = WorkBudget(self.max_steps_per_turn)
        rounds = [queue] if quota is None else quota.fair_share_rounds(queue, machines.all())
        return all(self.passes.run(round_queue, machines, True, budget) for round_queue in rounds)

    def place_on_worker(self, worker: Worker) -> None:
        """Place waiting tasks on one worker that has room again."""
        state = self.state
        if state.needs_placement or not state.election.may_launch(state.index) or not self.usable(worker):
            return
        if self.passes.interrupted or worker.name in self.reservation.machines:
            # The pass that goes on comes first; the partition that holds a machine may need more than this one.
            state.needs_placement = True
            return
        if worker.type is None or worker.type.cpus - worker.used_cpus <= EPSILON:
            return
        queue = state.waiting_in_order()
        if state.quota is not None:
            queue = state.quota.order_for_one_worker(queue)
        if queue:
            machines = CandidateMachines(self.eligibility, [worker], self.examined)
            if not self.passes.run(queue, machines, False, WorkBudget(self.max_steps_per_turn)):
                state.needs_placement = True
