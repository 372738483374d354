"""Placement of tasks with zone constraints: all in one zone, or spread over several."""

from collections import deque
from dataclasses import dataclass

from quinceslip.coordination.scheduling.machine_preference import MachinePreference, has_attempt_of
from quinceslip.coordination.scheduling.pass_context import PassContext, delayed_retries_withheld
from quinceslip.coordination.scheduling.preemption import Preemption
from quinceslip.coordination.scheduling.quota_gate import QuotaGate
from quinceslip.coordination.scheduling.task_launcher import TaskLauncher
from quinceslip.coordination.scheduling.zone_constraints import EligibleZones
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Worker


@dataclass(slots=True)
class _Turn:
    """One partition's turn in a pass."""

    context: PassContext
    partition: JobPartition
    eligible: EligibleZones
    machines: deque[Worker]  # machines that had room when the turn began, best first
    slow_machines: deque[Worker]  # those of them that fetch the image of a service too slowly


@dataclass(slots=True)
class ZoneBoundTaskPlacer:
    """Places such tasks in the zones that the tasks placed before leave eligible.

    Best fit prefers the fuller of two machines, so the best machine stays the best as it fills up.
    """

    state: ShardState
    preference: MachinePreference
    preemption: Preemption
    quota_gate: QuotaGate
    launcher: TaskLauncher

    def place(self, context: PassContext, partition: JobPartition, offered: list[Worker]) -> None:
        """Place as many waiting tasks as quotas, zones and machines allow."""
        if context.failed_searches.covers_all_zones(partition):
            return  # no zone has a machine, so the eligible zones need not be calculated
        with delayed_retries_withheld(partition, self.state.ctx.now_us):
            if not partition.pending or not self.quota_gate.admits_one(context, partition):
                return
            eligible = EligibleZones(self.state, partition)
            if eligible.exhausted or context.failed_searches.covers(partition, eligible.zones):
                return
            turn = self._make_turn(context, partition, eligible, offered)
            if self._fill_machines(turn):
                self._make_room_for_rest(turn)

    def _make_turn(
        self, context: PassContext, partition: JobPartition, eligible: EligibleZones, offered: list[Worker]
    ) -> _Turn:
        turn = _Turn(context, partition, eligible, deque(), deque())
        context.budget.spend(len(offered))
        spec = partition.spec
        for worker in self.preference.sorted_machines(partition, offered):
            # A machine with room but a slow image fetch is used only if no room can be made on a faster one.
            is_slow = context.whole_shard and spec.service and self.preference.fetch_too_slow(worker, spec)
            (turn.slow_machines if is_slow else turn.machines).append(worker)
        return turn

    def _fill_machines(self, turn: _Turn) -> bool:
        """Fill the machines in order of preference; return whether tasks wait that another machine may take."""
        # Bound: the machines; each iteration removes one.
        while turn.machines:
            if not self._fill_machine(turn, turn.machines.popleft()):
                return False
        return bool(turn.partition.pending)

    def _fill_machine(self, turn: _Turn, worker: Worker) -> bool:
        """Launch the tasks that fit on the machine; return whether the turn may go on with other machines."""
        context, partition = turn.context, turn.partition
        present: list[int] = []  # tasks of which the machine still has an attempt
        try:
            # Bound: the waiting tasks; each iteration removes one, and `present` is returned after the loop.
            while partition.pending and worker.has_room_for(partition.spec) and turn.eligible.allows(worker.zone):
                if not self.quota_gate.admits_one(context, partition) or context.must_stop():
                    return False
                index = partition.pending.peek()
                partition.pending.discard(index)
                if has_attempt_of(worker, f"{partition.job_id}/{index}"):
                    present.append(index)
                else:
                    self._launch(turn, index, worker)
        finally:
            for index in present:
                partition.pending.push(index)
        return bool(partition.pending)

    def _make_room_for_rest(self, turn: _Turn) -> None:
        """Place the tasks that still wait where work can be preempted, or on machines with a slow image fetch."""
        context, partition = turn.context, turn.partition
        search = self.preemption.search(partition, context.machines, context.budget) if context.whole_shard else None
        # Bound: the waiting tasks; each iteration launches one.
        while partition.pending and self.quota_gate.admits_one(context, partition) and not context.must_stop():
            zones = turn.eligible.zones
            if turn.eligible.exhausted or context.failed_searches.covers(partition, zones):
                return
            index = partition.pending.peek()
            slow = self._next_slow_machine(turn, index)
            worker = search.make_room(turn.eligible, exclude_slow_fetch=slow is not None) if search else None
            worker = worker or slow
            if worker is None:
                context.failed_searches.record(partition, zones)
                return
            partition.pending.discard(index)
            self._launch(turn, index, worker)

    def _next_slow_machine(self, turn: _Turn, index: int) -> Worker | None:
        """Return the best machine with room, but a slow image fetch, for a task; None if there is none."""
        spec, machines = turn.partition.spec, turn.slow_machines
        # Bound: the machines; each iteration removes one, which can take no further task in this turn.
        while machines and not (machines[0].has_room_for(spec) and turn.eligible.allows(machines[0].zone)):
            machines.popleft()
        task = f"{turn.partition.job_id}/{index}"
        suitable = (
            worker
            for worker in machines
            if worker.has_room_for(spec) and turn.eligible.allows(worker.zone) and not has_attempt_of(worker, task)
        )
        return next(suitable, None)

    def _launch(self, turn: _Turn, index: int, worker: Worker) -> None:
        self.launcher.launch(turn.partition, index, worker)
        turn.eligible.task_placed(worker.zone)
        turn.context.task_launched()
