"""Expiry of the leases of workers, and which heartbeats may renew them.

Every answer to a heartbeat renews the lease of its worker; once the lease has run out, the worker ends its tasks by
itself. The leader counts a lease from its last answer (`Worker.lease_renewed_us`), or for an inherited worker from the
last answer that an earlier leader can have given; the lease expires `Timing.lease_expiry_us` later. The shard checks
for this and for `expired_while_unreachable` periodically, and then calls `Reconciler.expire_lease`. A heartbeat that
must not renew the lease gets no answer. No I/O, no clock but the actor's.
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
        """Whether a heartbeat is of an epoch whose lease has run out, and so was delayed on its way.

        It gets no answer: if the expiry was misjudged, an answer would prolong the lease while the tasks already run
        elsewhere. Without one the epoch is certain to end, and the worker returns in a new one.
        """
        return worker.lease_expired and heartbeat.epoch <= worker.epoch

    def is_duplicate(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """Whether this periodic heartbeat or a later one has arrived before, so that it says nothing about now.

        Guard: the recorded lease is renewed by every answer, so only the worker's latest periodic heartbeat may be
        answered. One that a direct reply has overtaken is still answered, since that answer may arrive and counts.
        """
        if (heartbeat.epoch, heartbeat.seq) <= worker.last_own_heartbeat:
            return True
        worker.last_own_heartbeat = (heartbeat.epoch, heartbeat.seq)
        return False

    def should_answer(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """Whether to answer a newer periodic heartbeat; also applies what it shows about delivery of the last answer.

        Guard: a worker that never showed a term of this leader, and that neither answers nor probes reach, gets no
        answer. Its heartbeats go on, and each answer would count as a possible renewal of its lease: it would keep
        inherited tasks waiting for as long as its machine cannot be deleted (`expired_while_unreachable`).
        """
        unreachable = worker.delivery.unreachable
        worker.delivery.heartbeat_received(heartbeat)
        worker.heartbeat_unanswered = unreachable and not worker.fenced
        return not worker.heartbeat_unanswered

    def expired_while_unreachable(self, worker: Worker) -> bool:
        """Whether every epoch that an earlier leader can have known is over, though heartbeats still arrive.

        Earlier answers of this leader had no effect, or the worker's last heartbeat would show this leader's term, and
        that heartbeat got no answer. So nothing has renewed the lease since the earlier leader's last answer, and no
        earlier leader knew an epoch that began later.
        """
        return (
            worker.name in self.state.unreconciled
            and worker.heartbeat_unanswered
            and self.ctx.now_us > worker.predecessor_renewed_us + self.ctx.timing.lease_expiry_us
        )

    def epoch_started(self, worker: Worker, epoch: int) -> None:
        """Start the lease of a worker's new epoch.

        An epoch has its full lease from its start, whether its heartbeats are answered or not. With the lease of the
        previous epoch, its tasks were considered lost while they were running.
        """
        worker.epoch = epoch
        worker.lease_renewed_us = max(worker.lease_renewed_us, self.ctx.now_us)
