"""When the lease of a worker counts as expired, and which heartbeats may renew it.

Every answer to a heartbeat renews the lease of its worker; once the lease has run out, the worker ends its
tasks by itself. The leader counts a lease from its last answer (`Worker.lease_renewed_us`), or for an inherited worker
from the last answer that an earlier leader can have given; it has expired `Timing.lease_expiry_us` later. The shard
checks that periodically, and `expired_unheard` with it, and then calls `Reconciler.expire_lease`. A heartbeat that must
not renew the lease gets no answer. No I/O, no clock but the actor's.
"""

from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m


class WorkerLeases:
    """The leases of the workers of one shard."""

    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.ctx = state.ctx

    def is_from_expired_epoch(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """Whether a heartbeat is of an epoch whose lease has run out, and so was late on its way.

        Were the lease judged wrongly, an answer would prolong it while the tasks run elsewhere already. Without
        one the epoch ends for certain, and the worker comes back in the next.
        """
        return worker.lease_expired and heartbeat.epoch <= worker.epoch

    def is_duplicate(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """Whether a heartbeat of the worker's own accord, or a later one, came before; it proves nothing of now.

        Guard: the lease on record is renewed by every answer, so what is answered must be the worker's own latest
        heartbeat. One that a direct reply has overtaken is: its answer may arrive, and counts.
        """
        if (heartbeat.epoch, heartbeat.seq) <= worker.last_own_heartbeat:
            return True
        worker.last_own_heartbeat = (heartbeat.epoch, heartbeat.seq)
        return False

    def should_answer(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """Whether a newer heartbeat of the worker's own accord is answered; takes what it shows of the last answer.

        Guard: one of a worker that never showed a term of this leader, and that neither answers nor probes reach, is
        not. Its heartbeats go on, and each answer would count as one that may have renewed its lease: it would keep
        inherited tasks waiting for as long as its machine cannot be deleted (`expired_unheard`).
        """
        unreachable = worker.delivery.unreachable
        worker.delivery.heartbeat_received(heartbeat)
        worker.heartbeat_unanswered = unreachable and not worker.fenced
        return not worker.heartbeat_unanswered

    def expired_unheard(self, worker: Worker) -> bool:
        """Whether every epoch that an earlier leader can have known is over, though heartbeats still come.

        Each answer of this leader before the worker's last heartbeat had no effect, or that heartbeat would show this
        leader's term; the last heartbeat got no answer. So nothing has renewed the lease since the earlier leader's
        last answer, and no earlier leader knew an epoch that began later.
        """
        return (
            worker.name in self.state.unreconciled
            and worker.heartbeat_unanswered
            and self.ctx.now_us > worker.predecessor_renewed_us + self.ctx.timing.lease_expiry_us
        )

    def epoch_started(self, worker: Worker, epoch: int) -> None:
        """Note a new epoch of a worker.

        It has its full lease from its start, whether its heartbeats are answered or not. Judged by the epoch before,
        its tasks were taken for lost while they ran.
        """
        worker.epoch = epoch
        worker.lease_renewed_us = max(worker.lease_renewed_us, self.ctx.now_us)
