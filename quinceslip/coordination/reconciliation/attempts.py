"""Matches the tasks that a worker reports with the attempts that are known to be on it."""

import logging

from quinceslip.coordination.reconciliation.adoption import TaskAdoption
from quinceslip.coordination.reconciliation.attempt_outcomes import AttemptOutcomes
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)


class AttemptReconciler:
    """Keeps the attempts of a worker as its heartbeats show them."""

    def __init__(self, state: ShardState, outcomes: AttemptOutcomes) -> None:
        self.state = state
        self.outcomes = outcomes
        self.adoption = TaskAdoption(state)

    def reconcile(self, worker: Worker) -> None:
        """Bring the attempts of a worker into line with the tasks of its last heartbeat."""
        for name, status in worker.reported_tasks.items():
            attempt = worker.attempts.get(name)
            if attempt is None or attempt.number != status.attempt:
                attempt = self._resolve_mismatch(worker, attempt, name, status)
                if attempt is None:
                    continue
            attempt.observed = True
            self.outcomes.update(worker, attempt, status)
        self._detach_vanished(worker)
        if self.state.quota is not None:
            self.state.quota.heartbeat_received(worker)

    def drop_all(self, worker: Worker) -> None:
        """Forget all that was on a worker: its epoch is over. What had not ended waits for a machine again."""
        for name, attempt in list(worker.attempts.items()):
            if not attempt.end_cause or self.state.is_current(attempt):
                self.state.requeue(worker, attempt)
            self.state.detach(worker, name)
        worker.reported_tasks = {}
        worker.images.clear()

    def _resolve_mismatch(
        self, worker: Worker, attempt: Attempt | None, name: str, status: m.TaskStatus
    ) -> Attempt | None:
        """The attempt for a reported one that is not the known one (None: none is known); None where there is none."""
        if attempt is not None:
            if status.attempt < attempt.number or "higher" not in self.state.guards:
                return None  # ended earlier, not acknowledged yet: it keeps the newer one out for a moment
            self._replace_outdated(worker, attempt, status)
        return self.adoption.adopt(worker, name, status)

    def _replace_outdated(self, worker: Worker, attempt: Attempt, status: m.TaskStatus) -> None:
        """Drop a known attempt of which the worker reports a later one.

        A worker has one attempt of a task, so the older one is over. It came of a late heartbeat from before this
        leader's term: kept, it would hide the living one, and let its result be acknowledged.
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
        """Drop the attempts that the worker reported before and reports no more."""
        for name, attempt in list(worker.attempts.items()):
            if attempt.observed and name not in worker.reported_tasks:
                if not attempt.end_cause:
                    # Until it shows a term of this leader, a worker's heartbeat may be long out of date.
                    level = logging.ERROR if worker.fenced else logging.INFO
                    log.log(level, "task vanished task=%s worker=%s", name, worker.name)
                    self.state.requeue(worker, attempt)
                self.state.release_if_settled(worker, attempt)
                self.state.detach(worker, name)
