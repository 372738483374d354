"""Placement of tasks with zone constraints: all in one zone, or spread over several."""

from dataclasses import dataclass

from quinceslip.coordination.scheduling.machine_preference import MachinePreference
from quinceslip.coordination.scheduling.pass_context import PassContext, delayed_retries_withheld
from quinceslip.coordination.scheduling.preemption import Preemption
from quinceslip.coordination.scheduling.quota_gate import QuotaGate
from quinceslip.coordination.scheduling.task_launcher import TaskLauncher
from quinceslip.coordination.scheduling.zone_constraints import eligible_zones
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Worker


@dataclass(slots=True)
class ZoneBoundTaskPlacer:
    """Places such tasks one by one, each in a zone that the tasks placed before leave eligible."""

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
            # Bound: the waiting tasks; each iteration launches one.
            while partition.pending and self.quota_gate.admits_one(context, partition):
                if not self._place_next(context, partition, offered):
                    return

    def _place_next(self, context: PassContext, partition: JobPartition, offered: list[Worker]) -> bool:
        """Launch the first waiting task; return False if there is no machine for it."""
        zones = eligible_zones(self.state, partition)
        no_zone_left = zones is not None and not zones
        if no_zone_left or context.failed_searches.covers(partition, zones):
            return False
        index = partition.pending.peek()
        worker = self._find_machine(context, partition, offered, zones, index)
        if worker is None:
            context.failed_searches.record(partition, zones)
            return False
        partition.pending.discard(index)
        self.launcher.launch(partition, index, worker)
        return True

    def _find_machine(
        self,
        context: PassContext,
        partition: JobPartition,
        offered: list[Worker],
        zones: set[str] | None,
        index: int,
    ) -> Worker | None:
        """Return a machine with room, or one where room has been made by preemption; None if there is neither."""
        spec = partition.spec
        free = self.preference.best_machine(partition, offered, zones, index)
        if not context.whole_shard:
            return free
        if free is not None and not (spec.service and self.preference.fetch_too_slow(free, spec)):
            return free
        # A machine with room but a slow image fetch is used only if no room can be made on a faster one.
        return (
            self.preemption.make_room(partition, context.machines, zones, exclude_slow_fetch=free is not None) or free
        )
