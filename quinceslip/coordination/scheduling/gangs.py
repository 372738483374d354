"""Gang scheduling: all tasks of a gang are placed in one pass, or none."""

from dataclasses import dataclass

from quinceslip.coordination.scheduling.machine_preference import MachinePreference
from quinceslip.coordination.scheduling.task_launcher import TaskLauncher
from quinceslip.coordination.scheduling.zone_constraints import eligible_zones
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker


@dataclass(slots=True)
class GangPlacer:
    """Places whole gangs."""

    state: ShardState
    preference: MachinePreference
    launcher: TaskLauncher

    def place(self, partition: JobPartition, offered: list[Worker]) -> None:
        """Place all tasks or none; nothing is sent before all have a machine, so launches can be undone."""
        if not self._ready(partition):
            return
        placed: list[Attempt] = []
        for index in list(partition.pending):
            zones = eligible_zones(self.state, partition)
            worker = self.preference.best_machine(partition, offered, zones, index)
            if worker is None:
                self.launcher.undo(partition, placed)
                return
            # The tasks of a gang identify each other by the attempt number, so they share one.
            number = placed[0].number if placed else 0
            placed.append(self.launcher.launch(partition, index, worker, number))
        for attempt in placed:
            partition.pending.discard(attempt.index)

    def _ready(self, partition: JobPartition) -> bool:
        """Whether every unfinished task is waiting: no earlier attempt is left, and no retry is delayed."""
        unfinished = len(partition.assigned) - len(partition.done) - len(partition.unrecorded_done)
        if len(partition.pending) != unfinished:
            return False
        now_us = self.state.ctx.now_us
        return not any(retry_us > now_us for retry_us in partition.not_before.values())
