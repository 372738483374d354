"""Tracks which worker may hold which task, from heartbeats, lost workers and failovers.

Invariants:
- A task is launched only when it is certain that no worker has it. It is pinned to the worker its
  launch was sent to until that worker reports it, loses its epoch, or is gone (`launch_safety`).
- After a failover, inherited tasks wait until every worker in the machine registry has shown the new term
  (from then on it drops what earlier leaders sent) or is proven gone (`inherited_workers`).
- Results are recorded before they are acknowledged, and no attempt is acknowledged while a direct launch of it is
  unanswered: the worker would have forgotten the attempt and would start it again (`launch_safety`).

No I/O, and no clock but the actor's, so that `quinceslip model takeover` can explore this code itself.
"""

import logging

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import micros
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.reconciliation.address_checks import AddressChecks
from quinceslip.coordination.reconciliation.attempt_outcomes import AttemptOutcomes
from quinceslip.coordination.reconciliation.attempts import AttemptReconciler
from quinceslip.coordination.reconciliation.inherited_workers import InheritedWorkers
from quinceslip.coordination.reconciliation.worker_leases import WorkerLeases
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: `Worker.draining` of a machine with a reclaim notice from its cloud
DRAINING_RECLAIM_NOTICE = "notice"
#: longer notices are capped to a day: huge values overflow the conversion to microseconds
MAX_NOTICE_S = 86_400.0


class Reconciler(ShardState):
    """The workers and tasks of a shard, reconciled with the heartbeats."""

    def __init__(self, ctx: Context, election: LeaderElection, index: int, term: int) -> None:
        super().__init__(ctx, election, index, term)
        self._leases = WorkerLeases(self)
        self._inherited = InheritedWorkers(self, term)
        self.addresses = AddressChecks(self, term, self._inherited.reconcile)
        outcomes = AttemptOutcomes(self, self.task_started, self.task_completed)
        self._attempts = AttemptReconciler(self, outcomes)
        self.retrying = outcomes.retrying  # jobs with tasks that wait for a retry

    @property
    def takeover_term(self) -> int:
        """The term under which this leader took over the shard."""
        return self._inherited.takeover_term

    @property
    def own_term_before_restart(self) -> int:
        """The term of this controller before its restart, if nobody has led the shard since; otherwise 0."""
        return self._inherited.own_term_before_restart

    @own_term_before_restart.setter
    def own_term_before_restart(self, term: int) -> None:
        self._inherited.own_term_before_restart = term

    # Hooks for the shard to override.

    def task_started(self, worker: Worker, attempt: Attempt) -> None:
        """Called for each heartbeat that shows a task running."""

    def task_completed(self, worker: Worker, attempt: Attempt, partition: JobPartition) -> None:
        """Called when a task is done and its result is not recorded yet."""

    # Heartbeats.

    def is_from_expired_epoch(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """See `WorkerLeases.is_from_expired_epoch`."""
        return self._leases.is_from_expired_epoch(worker, heartbeat)

    def is_duplicate(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """See `WorkerLeases.is_duplicate`."""
        return self._leases.is_duplicate(worker, heartbeat)

    def should_answer(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """See `WorkerLeases.should_answer`."""
        return self._leases.should_answer(worker, heartbeat)

    def lease_expired_while_unreachable(self, worker: Worker) -> bool:
        """See `WorkerLeases.expired_while_unreachable`."""
        return self._leases.expired_while_unreachable(worker)

    def apply_heartbeat(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """Apply a worker's heartbeat; returns False if it is older than the last one applied.

        The caller must not pass heartbeats for which `is_from_expired_epoch` holds.
        """
        if (heartbeat.epoch, heartbeat.seq) <= (worker.epoch, worker.seq):
            return False
        if heartbeat.epoch > worker.epoch:
            self._start_epoch(worker, heartbeat.epoch)
        worker.lease_expired = False
        worker.seq = heartbeat.seq
        worker.fencing_token = heartbeat.fencing_token
        worker.endpoint = heartbeat.endpoint
        worker.last_contact_us = self.ctx.now_us
        if worker.type is None:
            worker.type = self.ctx.machine_types.get(heartbeat.type)
        self.set_zone(worker, heartbeat.zone)
        worker.spot = heartbeat.spot
        if heartbeat.notice_s is not None and not worker.notice_us:
            self._drain_for_reclaim(worker, heartbeat.notice_s)
        worker.reported_tasks = {t.task: t for t in heartbeat.tasks}
        self._attempts.reconcile(worker)
        if not worker.fenced:
            self._inherited.fencing_token_shown(worker, heartbeat.fencing_token)
        return True

    def _start_epoch(self, worker: Worker, epoch: int) -> None:
        """Handle the start of a new epoch of a worker.

        It proves only that tasks of the previous epochs have ended. An earlier leader may have known the new epoch of
        an inherited worker, and its commands may still arrive until the worker has seen a term of this leader.
        """
        if worker.epoch:
            log.info("worker epoch ended worker=%s epoch=%d", worker.name, worker.epoch)
            self.addresses.epoch_ended(worker)
            self._attempts.drop_all(worker)
            if "session" not in self.guards:
                self._inherited.reconcile(worker)
        self._leases.epoch_started(worker, epoch)

    def _drain_for_reclaim(self, worker: Worker, notice_s: float) -> None:
        """Drain a spot machine that its cloud reclaims in `notice_s`, and stop what can save its progress in time."""
        worker.notice_us = self.ctx.now_us + micros(min(max(notice_s, 0.0), MAX_NOTICE_S))
        log.info("worker reclaimed worker=%s notice_s=%.1f", worker.name, notice_s)
        worker.draining = DRAINING_RECLAIM_NOTICE
        for attempt in worker.live_attempts():
            spec = attempt.spec
            saves_in_time = spec.checkpoint_interval_s > 0 and spec.checkpoint_cost_s <= notice_s
            if spec.service or saves_in_time:
                self.stop(attempt, spec.checkpoint_cost_s)

    # Loss of workers.

    def expire_lease(self, worker: Worker) -> None:
        """Handle a worker that can no longer run tasks of this or an earlier leader: its lease expired, or it is gone.

        Another machine may have the worker's address and have received what was sent there: `addresses` keeps the
        attempts for which that is possible.
        """
        self.addresses.worker_lost(worker)
        self._attempts.drop_all(worker)
        worker.lease_expired = True
        if worker.name not in self.addresses.open:
            self._inherited.reconcile(worker)

    def machine_gone(self, name: str) -> None:
        """Remove a worker whose machine is proven gone."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            self.expire_lease(worker)

    # Failover.

    def inherit_worker(self, worker: Worker) -> None:
        """Mark a worker as possibly holding tasks of an earlier leader."""
        self._inherited.inherit(worker)

    def release_unreconciled(self) -> None:
        """See `InheritedWorkers.release_tasks`."""
        self._inherited.release_tasks()
