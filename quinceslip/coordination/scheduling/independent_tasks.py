"""Placement of tasks that do not depend on each other: fills the machines in order of preference."""

from dataclasses import dataclass

from quinceslip.coordination.scheduling.machine_preference import MachinePreference, has_attempt_of
from quinceslip.coordination.scheduling.pass_context import PassContext, delayed_retries_withheld
from quinceslip.coordination.scheduling.preemption import Preemption
from quinceslip.coordination.scheduling.quota_gate import QuotaGate
from quinceslip.coordination.scheduling.task_launcher import TaskLauncher
from quinceslip.coordination.scheduling.zone_constraints import EligibleZones
from quinceslip.coordination.shard_state.partition import FIRST_TASK, JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Worker


@dataclass(slots=True)
class _Turn:
    """One partition's turn in a pass."""

    context: PassContext
    partition: JobPartition
    withheld: list[int]  # tasks that do not start in this turn; returned to the queue after it
    launched_before: int  # the launcher's count when the turn began


@dataclass(slots=True)
class IndependentTaskPlacer:
    """Places the tasks of job arrays and of services without zone constraints.

    Best fit prefers the fuller of two machines, so the best machine stays the best as it fills up.
    """

    state: ShardState
    preference: MachinePreference
    preemption: Preemption
    quota_gate: QuotaGate
    launcher: TaskLauncher

    def place(self, context: PassContext, partition: JobPartition, offered: list[Worker]) -> None:
        """Place as many waiting tasks as quotas and machines allow, on the offered machines first."""
        if context.failed_searches.covers(partition, None):
            return
        if not self.quota_gate.admits_one(context, partition, context.machines, machines_full=not offered):
            return
        with delayed_retries_withheld(partition, self.state.ctx.now_us) as withheld:
            turn = _Turn(context, partition, withheld, self.launcher.launched)
            context.budget.spend(len(offered))
            out_of_room = self._fill_machines(turn, offered)
            if out_of_room and context.whole_shard:
                out_of_room = self._preempt_for_rest(turn)
        if out_of_room:
            context.failed_searches.record(partition, None)

    def _fill_machines(self, turn: _Turn, offered: list[Worker]) -> bool:
        """Fill the machines in order of preference; return whether all were tried and tasks still wait."""
        for worker in self.preference.ordered_machines(turn.partition, offered):
            if not self._fill_machine(turn, worker):
                return False
            if not turn.partition.pending:
                return False
        return True

    def _fill_machine(self, turn: _Turn, worker: Worker) -> bool:
        """Launch the tasks that fit on the machine; return whether more of the partition may start in this pass."""
        partition = turn.partition
        # Bound: the waiting tasks; each iteration removes one, and withheld ones are returned after the loop.
        while partition.pending and worker.has_room_for(partition.spec):
            if not self.quota_gate.admits_one(turn.context, partition) or self._single_start_made(turn):
                return False
            if turn.context.must_stop():
                return False
            index = partition.pending.peek()
            partition.pending.discard(index)
            if has_attempt_of(worker, f"{partition.job_id}/{index}"):
                turn.withheld.append(index)
                continue
            self.launcher.launch(partition, index, worker)
            turn.context.task_launched()
        return True

    def _preempt_for_rest(self, turn: _Turn) -> bool:
        """Preempt other work for the tasks that still wait; return whether there is none left to preempt."""
        context, partition = turn.context, turn.partition
        search = self.preemption.search(partition, context.machines, context.budget)
        any_zone = EligibleZones(self.state, partition)
        # Bound: the waiting tasks; each iteration launches one.
        while (
            partition.pending
            and self.quota_gate.admits_one(context, partition, context.machines, machines_full=True)
            and not self._single_start_made(turn)
            and not context.must_stop()
        ):
            worker = search.make_room(any_zone, exclude_slow_fetch=False)
            if worker is None:
                return True
            index = partition.pending.peek()
            partition.pending.discard(index)
            self.launcher.launch(partition, index, worker)
            context.task_launched()
        return False

    def _single_start_made(self, turn: _Turn) -> bool:
        """Whether the partition has precedence for its first task only, and that task has started."""
        return turn.partition.precedence == FIRST_TASK and self.launcher.launched > turn.launched_before
