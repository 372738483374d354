"""What a new leader checks before it starts tasks that it inherited.

A worker of the machine registry may hold tasks of an earlier leader, and commands of that leader may still be on their
way to it. It counts as reconciled once it has shown a term of this leader, since it drops whatever carries a lower
fencing token from then on, or once its machine or its lease is proven gone. Until all inherited workers are
reconciled, no inherited task is started (`JobPartition.unreconciled`), whatever one worker says.
"""

from quinceslip.coordination.actor.timing import HEARTBEAT_TIMEOUT_US
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Worker


class InheritedWorkers:
    """The workers of a shard that may hold tasks of an earlier leader (`ShardState.unreconciled`)."""

    def __init__(self, state: ShardState, takeover_term: int) -> None:
        self.state = state
        #: a worker that shows this term, or a later one, obeys no earlier leader any more
        self.takeover_term = takeover_term
        #: the term of this controller before its restart, where nobody has led the shard since; else 0
        self.own_term_before_restart = 0

    def inherit(self, worker: Worker) -> None:
        """Note that a worker may hold tasks of an earlier leader."""
        self.state.unreconciled.add(worker.name)

    def fencing_token_shown(self, worker: Worker, fencing_token: int) -> None:
        """Take the fencing token that a worker has shown which had shown no term of this leader before."""
        if self.own_term_before_restart and fencing_token >= self.own_term_before_restart:
            self._limit_predecessor_lease(worker)
        if fencing_token >= self.takeover_term or "term" not in self.state.guards:
            self._fence(worker)

    def reconcile(self, worker: Worker) -> None:
        """Note that all that an earlier leader sent to a worker is known, or can have no effect any more."""
        if worker.name in self.state.unreconciled:
            self.state.unreconciled.discard(worker.name)
            self.release_tasks()

    def release_tasks(self) -> None:
        """Once all inherited workers are reconciled, let the tasks that are on none of them wait for a machine."""
        if self.state.unreconciled:
            return
        for partition in self.state.partitions.values():
            if partition.unreconciled:
                released, partition.unreconciled = partition.unreconciled, set()
                self.state.add_pending(partition, released)
        self.state.needs_placement = True

    def _limit_predecessor_lease(self, worker: Worker) -> None:
        """Count the lease of a worker from the end of this controller's earlier process.

        The worker had seen the term of that process, so it has dropped all answers but those, and that process
        has ended.
        """
        last_answer_us = self.state.led_since_us + HEARTBEAT_TIMEOUT_US
        if worker.lease_renewed_us == worker.predecessor_renewed_us:
            worker.lease_renewed_us = min(worker.lease_renewed_us, last_answer_us)
        worker.predecessor_renewed_us = min(worker.predecessor_renewed_us, last_answer_us)

    def _fence(self, worker: Worker) -> None:
        """Note that a worker has shown a term of this leader, and so obeys no earlier one."""
        worker.fenced = True
        # It has dropped answers of earlier leaders since it saw the term, so none renews its lease any more.
        worker.lease_renewed_us = self.state.ctx.now_us
        worker.delivery.acknowledged()  # nobody else can have sent it this term
        self.reconcile(worker)
