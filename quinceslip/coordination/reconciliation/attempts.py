"""Matching of the tasks that a worker reports with its known attempts."""

import logging

from quinceslip.coordination.reconciliation.adoption import TaskAdoption
from quinceslip.coordination.reconciliation.attempt_outcomes import AttemptOutcomes
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)


class AttemptReconciler:
    """Updates the attempts of a worker from its heartbeats."""

    def __init__(self, state: ShardState, outcomes: AttemptOutcomes) -> None:
        self.state = state
        self.outcomes = outcomes
        self.adoption = TaskAdoption(state)

    def reconcile(self, worker: Worker) -> None:
        """Update the attempts of a worker from the tasks in its last heartbeat."""
        worker.unmatched_reports = 0
        for name, status in worker.reported_tasks.items():
            attempt = worker.attempts.get(name)
            if attempt is None or attempt.number != status.attempt:
                attempt = self._resolve_mismatch(worker, attempt, name, status)
                if attempt is None:
                    worker.unmatched_reports += 1
                    continue
            if not attempt.observed:
                attempt.observed = True
                worker.attempts_changed()
            self.outcomes.update(worker, attempt, status)
        self._detach_vanished(worker)
        if self.state.quota is not None:
            self.state.quota.heartbeat_received(worker)

    def drop_all(self, worker: Worker) -> None:
        """Drop all attempts of a worker whose epoch is over, and requeue the tasks that had not ended."""
        for name, attempt in list(worker.attempts.items()):
            if not attempt.end_cause or self.state.is_current(attempt):
                self.state.requeue(worker, attempt)
            self.state.detach(worker, name)
        worker.reported_tasks = {}
        worker.unmatched_reports = 0
        worker.images.clear()

    def _resolve_mismatch(
        self, worker: Worker, attempt: Attempt | None, name: str, status: m.TaskStatus
    ) -> Attempt | None:
        """Return the attempt to use for a reported task that does not match `attempt`, the known one; None if none."""
        if attempt is not None:
            if status.attempt < attempt.number or "higher" not in self.state.guards:
                return None  # has ended but is not acknowledged yet, which delays the start of the newer one
            self._replace_outdated(worker, attempt, status)
        return self.adoption.adopt(worker, name, status)

    def _replace_outdated(self, worker: Worker, attempt: Attempt, status: m.TaskStatus) -> None:
        """Drop a known attempt, as the worker reports a later attempt of the task.

        A worker has one attempt of a task, so the older one is over. It was adopted from a delayed heartbeat that
        predates this leader's term. If it were kept, it would hide the current attempt and allow the result of that
        one to be acknowledged.
        """
        if worker.fenced:
            log.error(
                "later attempt reported task=%s worker=%s attempt=%d expected_attempt=%d",
                attempt.name,
                worker.name,
                status.attempt,
                attempt.number,
            )
        self.state.requeue(worker, attempt)
        self.state.detach(worker, attempt.name)

    def _detach_vanished(self, worker: Worker) -> None:
        """Drop the attempts that the worker reported before and no longer reports."""
        for name, attempt in list(worker.attempts.items()):
            if attempt.observed and name not in worker.reported_tasks:
                if not attempt.end_cause:
                    # Until the worker shows a term of this leader, its heartbeat may be long out of date.
                    level = logging.ERROR if worker.fenced else logging.INFO
                    log.log(level, "task vanished task=%s worker=%s", name, worker.name)
                    self.state.requeue(worker, attempt)
                self.state.requeue_unless_launch_may_arrive(worker, attempt)
                self.state.detach(worker, name)
