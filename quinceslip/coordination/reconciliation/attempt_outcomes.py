"""Transitions of attempts by their reported state: running, done, or failed and retried after a delay."""

import logging
from collections.abc import Callable

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: delay before a gang's task that ended because of the other tasks is retried
GANG_RETRY_DELAY_US = SECOND
#: delay before a failed task is retried: doubled with each failure, up to `MAX_RETRY_DOUBLINGS` times
RETRY_BASE_US = SECOND // 2
MAX_RETRY_DOUBLINGS = 6
#: upper limit of the retry delay
MAX_RETRY_US = 30 * SECOND

TaskStarted = Callable[[Worker, Attempt], None]
TaskCompleted = Callable[[Worker, Attempt, JobPartition], None]


class AttemptOutcomes:
    """Applies reported states to attempts, and schedules retries of failed tasks."""

    def __init__(self, state: ShardState, on_started: TaskStarted, on_completed: TaskCompleted) -> None:
        self.state = state
        self.ctx = state.ctx
        self.on_started = on_started
        self.on_completed = on_completed
        self.retrying: set[str] = set()  # jobs with tasks that wait for a retry

    def update(self, worker: Worker, attempt: Attempt, status: m.TaskStatus) -> None:
        """Apply the reported state of an attempt; an attempt that has ended no longer changes."""
        if attempt.end_cause:
            self.state.requeue_unless_launch_may_arrive(worker, attempt)
            return
        if status.state not in (m.PULLING, m.EXITED):
            if not attempt.running_since_us:
                attempt.running_since_us = self.ctx.now_us
                worker.attempts_changed()
            self.on_started(worker, attempt)
            if attempt.spec.service:
                self._clear_suspicion_of_service(attempt)
        attempt.state = status.state
        if status.state == m.EXITED:
            self._handle_exit(worker, attempt, status.exit_cause or m.CAUSE_ERROR)

    def _clear_suspicion_of_service(self, attempt: Attempt) -> None:
        """Clear the suspicion of a crash loop once a replica of the service has run long enough."""
        partition = self.state.partitions.get(attempt.job_id)
        ran_us = self.ctx.now_us - attempt.running_since_us
        if partition is not None and partition.crash_loop.clears_by_running(ran_us):
            self.state.release_from_hold(partition)

    def _handle_exit(self, worker: Worker, attempt: Attempt, cause: str) -> None:
        self.state.end_attempt(worker, attempt, cause)
        partition = self.state.partitions.get(attempt.job_id)
        if partition is None or partition.attempts.get(attempt.index) is not attempt:
            return
        if cause == m.CAUSE_DONE:
            del partition.attempts[attempt.index]
            partition.unrecorded_done.add(attempt.index)
            partition.unreconciled.discard(attempt.index)  # final, whatever the other workers report
            self.on_completed(worker, attempt, partition)
            return
        if cause in m.GANG_EXIT_CAUSES:
            self._delay_retry(partition, attempt.index, GANG_RETRY_DELAY_US)
        elif cause != m.CAUSE_HALTED:
            self._handle_failure(worker, attempt, partition)
        self.state.requeue_unless_launch_may_arrive(worker, attempt)

    def _handle_failure(self, worker: Worker, attempt: Attempt, partition: JobPartition) -> None:
        """Retry with an exponential delay, since a job in a crash loop fails on every machine."""
        failures = partition.failures.get(attempt.index, 0) + 1
        partition.failures[attempt.index] = failures
        doublings = min(failures, MAX_RETRY_DOUBLINGS)
        self._delay_retry(partition, attempt.index, min(MAX_RETRY_US, RETRY_BASE_US * 2**doublings))
        log.info(
            "task failed task=%s attempt=%d worker=%s cause=%s",
            attempt.name,
            attempt.number,
            worker.name,
            attempt.end_cause,
        )
        if attempt.end_cause == m.CAUSE_ERROR:
            self._attribute_failure(worker, attempt, partition, failures)

    def _attribute_failure(self, worker: Worker, attempt: Attempt, partition: JobPartition, failures: int) -> None:
        """Count an error against the machine or the job; put a job that is suspected of a crash loop on hold."""
        crash_loop = partition.crash_loop
        if crash_loop.cleared and worker.name in crash_loop.failure_workers:
            worker.task_failures += 1
        ran_us = self.ctx.now_us - attempt.running_since_us if attempt.running_since_us else 0
        if crash_loop.task_failed(worker.name, failures, ran_us) and not partition.spec.gang:
            log.info("crash loop suspected job=%s reason=%r", partition.job_id, crash_loop.reason())
            self.state.put_on_hold(partition)

    def _delay_retry(self, partition: JobPartition, index: int, delay_us: int) -> None:
        partition.not_before[index] = self.ctx.now_us + delay_us
        self.retrying.add(partition.job_id)
