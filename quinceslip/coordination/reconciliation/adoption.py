"""Adoption of reported tasks that this leader did not launch: an earlier leader launched them."""

import logging

from quinceslip.coordination.reconciliation.local_tasks import LocalTask, find_local_task, task_number_of
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: maximum number of invalid task names that are logged for one worker
MAX_LOGGED_INVALID_NAMES = 16
#: an invalid task name is cut off after this many characters in the log
MAX_LOGGED_NAME_LENGTH = 100


class TaskAdoption:
    """Creates attempts for reported tasks that this leader did not launch."""

    def __init__(self, state: ShardState) -> None:
        self.state = state

    def adopt(self, worker: Worker, name: str, status: m.TaskStatus) -> Attempt | None:
        """Return the new attempt of a reported task; None if the task is not of this shard, is done, or is outdated.

        From here on the attempt takes resources and can be stopped and acknowledged. But the task stays unreconciled
        until all inherited workers are reconciled: a newer attempt of it may exist on a worker that has not reported
        yet, and until a worker shows a term of this leader, its heartbeats may have been delayed for any time.
        """
        task = find_local_task(self.state, name)
        if task is None:
            self._log_invalid_name(worker, name)
            return None
        partition, index = task.partition, task.index
        if index not in partition.assigned or index in partition.done or index in partition.unrecorded_done:
            return None
        known = partition.attempts.get(index)
        completed = status.state == m.EXITED and status.exit_cause == m.CAUSE_DONE
        if not completed and not self._is_adoptable(worker, task, known, status):
            return None
        if known is not None:
            self.state.stop(known, 0.0)
        partition.pending.discard(index)
        attempt = Attempt(
            partition.job_id,
            index,
            status.attempt,
            partition.spec,
            worker.name,
            self.state.ctx.now_us,
            observed=True,
            direct_call_token=worker.fencing_token,  # the worker has seen the token of any call that launched it
        )
        partition.attempts[index] = attempt
        self.state.attach(worker, attempt)
        return attempt

    @staticmethod
    def _log_invalid_name(worker: Worker, name: str) -> None:
        """Log an invalid task name, once per worker and for a limited number of names."""
        if task_number_of(name) is not None or name in worker.invalid_task_names:
            return
        if len(worker.invalid_task_names) < MAX_LOGGED_INVALID_NAMES:
            worker.invalid_task_names.add(name)
            log.info("invalid task name task=%r worker=%s", name[:MAX_LOGGED_NAME_LENGTH], worker.name)

    def _is_adoptable(self, worker: Worker, task: LocalTask, known: Attempt | None, status: m.TaskStatus) -> bool:
        """Whether to adopt a reported attempt that is not done, given the known attempt of its task, if any."""
        exited = status.state == m.EXITED
        if known is not None:
            # A task is relaunched only after its earlier attempt has ended: the higher number is the current attempt.
            if not exited:
                self._log_duplicate(worker, known, status)
            return status.attempt >= known.number and "higher" in self.state.guards
        if task.index in task.partition.unreconciled:
            return True
        if exited or worker.name in self.state.unreconciled:
            return False
        log.error(
            "unexpected task task=%s worker=%s attempt=%d state=%s token=%d epoch=%d",
            status.task,
            worker.name,
            status.attempt,
            status.state,
            worker.fencing_token,
            worker.epoch,
        )
        return True

    def _log_duplicate(self, worker: Worker, known: Attempt, status: m.TaskStatus) -> None:
        """Log a task that is on two workers; as an error only if neither heartbeat can predate this leader's term."""
        other = self.state.workers.get(known.worker)
        # The same attempt on both: its launch was received by two machines that had the same address in turn.
        certain = worker.fenced and other is not None and other.fenced and status.attempt != known.number
        log.log(
            logging.ERROR if certain else logging.INFO,
            "task on two workers task=%s worker=%s other_worker=%s",
            status.task,
            worker.name,
            known.worker,
        )
