"""Takes in tasks that a worker reports and this leader did not launch: an earlier leader launched them."""

import logging

from quinceslip.coordination.reconciliation.local_tasks import LocalTask, find_local_task, task_number_of
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: so many names that no task can have are logged for one worker, and so many characters of each
MAX_ODD_NAMES = 16
MAX_LOGGED_NAME = 100


class TaskAdoption:
    """Makes attempts of reported tasks that this leader did not launch."""

    def __init__(self, state: ShardState) -> None:
        self.state = state

    def adopt(self, worker: Worker, name: str, status: m.TaskStatus) -> Attempt | None:
        """The new attempt of a reported task; None where it is not of this shard, is done, or is outdated.

        What it shows takes room, and can be stopped and acknowledged from here on, but the task stays unreconciled
        until all inherited workers are: a newer attempt of it may live on a worker that has not reported yet, and
        until a worker shows a term of this leader its heartbeat may be as late as the network likes.
        """
        task = find_local_task(self.state, name)
        if task is None:
            self._log_odd_name(worker, name)
            return None
        partition, index = task.partition, task.index
        if index not in partition.assigned or index in partition.done or index in partition.unrecorded_done:
            return None
        known = partition.attempts.get(index)
        completed = status.state == m.EXITED and status.why == m.CAUSE_DONE
        if not completed and not self._is_living_attempt(worker, task, known, status):
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
        )
        partition.attempts[index] = attempt
        self.state.attach(worker, attempt)
        return attempt

    @staticmethod
    def _log_odd_name(worker: Worker, name: str) -> None:
        """Log a name that no task can have, once for each worker and for so many names of it at the most."""
        if task_number_of(name) is not None or name in worker.odd_task_names:
            return
        if len(worker.odd_task_names) < MAX_ODD_NAMES:
            worker.odd_task_names.add(name)
            log.info("invalid task name task=%r worker=%s", name[:MAX_LOGGED_NAME], worker.name)

    def _is_living_attempt(self, worker: Worker, task: LocalTask, known: Attempt | None, status: m.TaskStatus) -> bool:
        """Whether a reported attempt that is not done is the one to keep, beside or in place of the known one."""
        exited = status.state == m.EXITED
        if known is not None:
            # A task is launched again only once it is over elsewhere: the higher number is the living one.
            if not exited:
                self._log_second_copy(worker, known, status)
            return status.attempt >= known.number and "higher" in self.state.guards
        if task.index in task.partition.unreconciled:
            return True
        if exited or worker.name in self.state.unreconciled:
            return False
        log.error("unexpected task task=%s worker=%s", status.task, worker.name)
        return True

    def _log_second_copy(self, worker: Worker, known: Attempt, status: m.TaskStatus) -> None:
        """Log a task that is on two workers: an error only where neither heartbeat can be of an earlier term."""
        other = self.state.workers.get(known.worker)
        # The same attempt came here by the address that both had, one after the other.
        certain = worker.fenced and other is not None and other.fenced and status.attempt != known.number
        log.log(
            logging.ERROR if certain else logging.INFO,
            "task on two workers task=%s worker=%s other_worker=%s",
            status.task,
            worker.name,
            known.worker,
        )
