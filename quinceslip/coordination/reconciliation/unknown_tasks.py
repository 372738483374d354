"""Commands for reported tasks that match no known attempt of their worker."""

from quinceslip.coordination.reconciliation.command_batch import CommandBatch
from quinceslip.coordination.reconciliation.launch_safety import LaunchSafety
from quinceslip.coordination.reconciliation.local_tasks import find_local_task, job_id_of
from quinceslip.coordination.reconciliation.stop_commands import is_job_final
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m


class UnknownTasks:
    """Adds the commands for reported tasks that were not adopted (`adoption`)."""

    def __init__(self, state: ShardState, launch_safety: LaunchSafety) -> None:
        self.state = state
        self.launch_safety = launch_safety
        self.ctx = state.ctx

    def add(self, batch: CommandBatch, worker: Worker, status: m.TaskStatus, may_launch: bool) -> None:
        """Acknowledge an exited task whose result is not needed; stop one of a final job, or one that is superseded."""
        if status.state == m.EXITED:
            may_acknowledge = may_launch and worker.fenced and not self._is_unrecorded_result(status)
            if may_acknowledge and self.launch_safety.may_forget_unknown(worker):
                batch.acknowledgements.append(m.acknowledge_result(status.task, status.attempt))
        elif is_job_final(self.ctx, job_id_of(status.task)) or (may_launch and self._is_superseded(worker, status)):
            batch.stops.append(m.stop(status.task, status.attempt, 0.0))

    def _is_unrecorded_result(self, status: m.TaskStatus) -> bool:
        """Whether the task's result is not recorded yet, so that only the worker has it."""
        task = find_local_task(self.state, status.task)
        if task is None or status.exit_cause != m.CAUSE_DONE:
            return False
        return task.index in task.partition.assigned and task.index not in task.partition.done

    def _is_superseded(self, worker: Worker, status: m.TaskStatus) -> bool:
        """Whether the task is done, or a later attempt of it is on another worker.

        Of two attempts the lower number is stopped: the task was relaunched only after that attempt was over.
        """
        task = find_local_task(self.state, status.task)
        if task is None:
            return False
        if task.index in task.partition.done:
            return True
        other = task.partition.attempts.get(task.index)
        if other is None or other.worker == worker.name:
            return False
        return other.number > status.attempt or "higher" not in self.state.guards
