"""Heartbeats of a shard's workers: which ones are applied, and which are answered with which commands."""

import logging
from typing import TYPE_CHECKING

from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m

if TYPE_CHECKING:
    from quinceslip.coordination.shard.shard import Shard

log = logging.getLogger(__name__)

#: the lowest of the priority classes that may preempt other work (production and urgent)
LOWEST_PREEMPTING_CLASS = 1


class HeartbeatReceiver:
    """Applies the heartbeats of one shard's workers and answers them. Owned by its shard."""

    def __init__(self, shard: "Shard") -> None:
        self.shard = shard

    def receive(self, heartbeat: m.WorkerHeartbeat, direct: bool = False) -> m.CommandReply | None:
        """Apply a heartbeat; returns the answer, or None if none may be given.

        `direct`: it came as the reply to a direct command or probe, so no answer is expected. Raises `KeyError` for a
        worker that is not in this shard.
        """
        shard = self.shard
        worker = shard.workers[heartbeat.worker]
        if not self._is_current(worker, heartbeat, direct):
            return None
        was_usable, used_cpus = shard.placement.usable(worker), worker.used_cpus
        if not shard.apply_heartbeat(worker, heartbeat):
            return self._answer_outdated(worker)
        if shard.placement.usable(worker) != was_usable or (direct and self._may_have_freed_room(worker, used_cpus)):
            shard.needs_placement = True
        if direct:
            return None
        worker.last_heartbeat_us = shard.ctx.now_us
        may_answer = shard.should_answer(worker, heartbeat)
        if worker.delivery.suspect:
            shard.command_sender.probe(worker)
        return self._answer(worker, heartbeat) if may_answer else None

    def _is_current(self, worker: Worker, heartbeat: m.WorkerHeartbeat, direct: bool) -> bool:
        """Whether a heartbeat may be applied under our term; if its token is above ours, claims a higher one."""
        shard = self.shard
        if heartbeat.fencing_token > shard.tokens.last:
            shard.raise_term(heartbeat.fencing_token)
            return False
        if shard.is_from_expired_epoch(worker, heartbeat):
            log.info("heartbeat ignored worker=%s cause=expired_epoch epoch=%d", worker.name, heartbeat.epoch)
            return False
        if not direct and shard.is_duplicate(worker, heartbeat):
            log.info(
                "heartbeat ignored worker=%s cause=duplicate epoch=%d seq=%d",
                worker.name,
                heartbeat.epoch,
                heartbeat.seq,
            )
            return False
        return True

    def _answer_outdated(self, worker: Worker) -> m.CommandReply:
        """Answer a heartbeat that a direct reply has overtaken, since its sender may still be waiting."""
        shard = self.shard
        worker.last_heartbeat_us = shard.ctx.now_us
        worker.lease_renewed_us = max(worker.lease_renewed_us, shard.ctx.now_us)
        return self._reply(worker, may_launch=False)

    def _may_have_freed_room(self, worker: Worker, used_cpus_before: float) -> bool:
        """Whether waiting tasks may become placeable by a direct reply of the worker."""
        return worker.used_cpus < used_cpus_before or self.shard.quota is not None or self._preempting_partition_waits()

    def _preempting_partition_waits(self) -> bool:
        """Whether a partition that may preempt is waiting: tasks just reported as running are possible victims."""
        return any(
            partition.pending and partition.priority <= LOWEST_PREEMPTING_CLASS
            for partition in self.shard.queued.values()
        )

    def _answer(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> m.CommandReply:
        """Renew the worker's lease, place tasks on it, and answer with its commands."""
        shard = self.shard
        # Guard: never move it back. Our answer may be lost, and an earlier leader may still renew the lease.
        worker.lease_renewed_us = max(worker.lease_renewed_us, shard.ctx.now_us)
        if not worker.registered:
            shard.registration.to_register.add(worker.name)
        shard.placement.place_on_worker(worker)
        may_launch = shard.election.may_launch(shard.index)
        reply = self._reply(worker, may_launch)
        worker.delivery.answer_sent(heartbeat, reply.fencing_token, reply.commands)
        return reply

    def _reply(self, worker: Worker, may_launch: bool) -> m.CommandReply:
        """Build the commands first: acknowledgements raise the token that the reply carries."""
        commands = self.shard.command_sender.commands_for(worker, may_launch)
        return m.CommandReply(self.shard.tokens.current(worker), commands)
