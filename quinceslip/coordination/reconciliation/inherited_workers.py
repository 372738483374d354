"""Checks of a new leader before it starts tasks that it inherited.

A worker in the machine registry may hold tasks of an earlier leader, and commands of that leader may still be on their
way to it. It counts as reconciled once it has shown a term of this leader, since from then on it drops whatever
carries a lower fencing token, or once its machine or its lease is proven gone. Until all inherited workers are
reconciled, no inherited task is started (`JobPartition.unreconciled`), whatever a single worker reports.
"""

from quinceslip.coordination.actor.timing import HEARTBEAT_TIMEOUT_US
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Worker


class InheritedWorkers:
    """The workers of a shard that may hold tasks of an earlier leader (`ShardState.unreconciled`)."""

    def __init__(self, state: ShardState, takeover_term: int) -> None:
        self.state = state
        #: a worker that has shown this term or a later one no longer obeys an earlier leader
        self.takeover_term = takeover_term
        #: the term of this controller before its restart, if nobody has led the shard since; otherwise 0
        self.own_term_before_restart = 0

    def inherit(self, worker: Worker) -> None:
        """Mark a worker as possibly holding tasks of an earlier leader."""
        self.state.unreconciled.add(worker.name)

    def fencing_token_shown(self, worker: Worker, fencing_token: int) -> None:
        """Handle a fencing token from a worker that had shown no term of this leader before."""
        if self.own_term_before_restart and fencing_token >= self.own_term_before_restart:
            self._limit_predecessor_lease(worker)
        if fencing_token >= self.takeover_term or "term" not in self.state.guards:
            self._fence(worker)

    def reconcile(self, worker: Worker) -> None:
        """Mark a worker as reconciled: whatever an earlier leader sent to it is known or can no longer take effect."""
        if worker.name in self.state.unreconciled:
            self.state.unreconciled.discard(worker.name)
            self.release_tasks()

    def release_tasks(self) -> None:
        """Once all inherited workers are reconciled, queue the inherited tasks that are on none of them."""
        if self.state.unreconciled:
            return
        for partition in self.state.partitions.values():
            if partition.unreconciled:
                released, partition.unreconciled = partition.unreconciled, set()
                self.state.add_pending(partition, released)
        self.state.needs_placement = True

    def _limit_predecessor_lease(self, worker: Worker) -> None:
        """Count the lease of a worker from the end of this controller's previous process.

        The worker had seen the term of that process, so since then it has dropped the answers of any earlier leader,
        and that process has ended.
        """
        last_answer_us = self.state.led_since_us + HEARTBEAT_TIMEOUT_US
        if worker.lease_renewed_us == worker.predecessor_renewed_us:
            worker.lease_renewed_us = min(worker.lease_renewed_us, last_answer_us)
        worker.predecessor_renewed_us = min(worker.predecessor_renewed_us, last_answer_us)

    def _fence(self, worker: Worker) -> None:
        """Mark a worker as fenced: it has shown a term of this leader, and so obeys no earlier one."""
        worker.fenced = True
        # Since it saw the term it has dropped answers of earlier leaders, so they no longer renew its lease.
        worker.lease_renewed_us = self.state.ctx.now_us
        worker.delivery.acknowledged()  # only this leader can have sent it the term
        self.reconcile(worker)
