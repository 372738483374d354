"""Decides when a machine is returned. A machine is returned if one of these rules applies, checked in this order:

1. inherited and failed on its own: tasks that it may hold can start elsewhere once it is certainly gone
2. never heard within several boot times
3. silent for longer than a lease, so it holds no tasks any more
4. failed on its own with tasks: replaced before its lease ends
5. sends heartbeats but does not receive our messages, so it can be neither used nor found idle
6. empty, and drained, faulty, or idle for longer than a reserve machine is kept
"""

import logging
from dataclasses import dataclass, field

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.autoscaling.inventory import MachineInventory
from quinceslip.coordination.autoscaling.machine_deletion import MachineDeletion
from quinceslip.coordination.autoscaling.reachability import ShardReachability, shard_reachability
from quinceslip.coordination.autoscaling.service_headroom import ServiceHeadroom, SpareSlots
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.delivery import MAX_UNANSWERED_PROBES
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: a machine that was not heard for this many boot times plus a margin is considered never to come up
NEVER_UP_BOOT_TIMES = 4
NEVER_UP_MARGIN_US = 20 * SECOND
#: a machine on which more tasks than this failed is considered faulty
MAX_TASK_FAILURES = 2
#: shortest time for which one idle machine is kept in reserve
MIN_IDLE_LIMIT_US = 10 * SECOND


@dataclass(slots=True)
class ScaleInPass:
    """State of one pass over the workers of a shard."""

    shard: Shard
    reachability: ShardReachability
    #: idle workers seen so far, by spot
    idle_counts: dict[bool, int] = field(default_factory=lambda: {True: 0, False: 0})
    spare_slots: SpareSlots | None = None  # computed only once a worker has idled for long


class ScaleIn:
    """Chooses the machines of a shard to return and requests their deletion."""

    def __init__(
        self,
        ctx: Context,
        election: LeaderElection,
        inventory: MachineInventory,
        deletion: MachineDeletion,
        headroom: ServiceHeadroom,
    ) -> None:
        self.ctx = ctx
        self.election = election
        self.inventory = inventory
        self.deletion = deletion
        self.headroom = headroom

    def run(self, shard: Shard) -> None:
        """Return the machines that the shard does not need, those idle the longest first."""
        scale_in_pass = ScaleInPass(shard, shard_reachability(shard, self.election.may_launch()))
        names = [
            worker.name
            for worker in sorted(shard.workers.values(), key=lambda worker: worker.idle_since_us)
            if self._should_return(scale_in_pass, worker)
        ]
        if names:
            self.deletion.request(shard, names)

    def _should_return(self, scale_in_pass: ScaleInPass, worker: Worker) -> bool:
        if worker.deleting or worker.type is None:
            return False
        boot_us = micros(worker.type.boot_s)
        answers = worker.delivery.unanswered_probes < MAX_UNANSWERED_PROBES
        failed_alone = not answers and scale_in_pass.reachability.failed_alone(worker)
        if failed_alone and worker.name in scale_in_pass.shard.unreconciled:
            if not worker.draining:  # otherwise an earlier deletion request is still indeterminate
                log.info("replacing inherited worker worker=%s", worker.name)
            return True
        if not worker.last_contact_us:
            return self._never_came_up(scale_in_pass.shard, worker, boot_us)
        silent_us = self.ctx.now_us - max(worker.last_contact_us, scale_in_pass.shard.led_since_us)
        if silent_us > self.ctx.timing.lease_expiry_us and self._holds_nothing(worker):
            return True
        # Tasks of a hung or partitioned machine can't start elsewhere until its lease ends.
        # Once it is deleted they are certainly gone and can start again at once.
        if failed_alone and not worker.lease_expired and worker.attempts:
            log.info("replacing silent worker worker=%s silent_s=%.1f", worker.name, silent_us / SECOND)
            return True
        if not answers and self._does_not_receive(worker):
            if not worker.draining:
                log.info("returning worker that does not receive messages worker=%s", worker.name)
            return True
        if worker.attempts or _has_reported_tasks(worker):
            return False
        return self._is_dispensable(scale_in_pass, worker, boot_us)

    def _never_came_up(self, shard: Shard, worker: Worker, boot_us: int) -> bool:
        waited_us = self.ctx.now_us - worker.registered_us
        if waited_us <= NEVER_UP_BOOT_TIMES * boot_us + NEVER_UP_MARGIN_US or worker.name in shard.unreconciled:
            return False
        log.info("machine never came up worker=%s waited_s=%.1f", worker.name, waited_us / SECOND)
        return True

    def _holds_nothing(self, worker: Worker) -> bool:
        """Whether a worker silent for longer than a lease is in the cloud's list or known to have lost its lease."""
        return worker.name in self.inventory.listed or worker.lease_expired

    def _does_not_receive(self, worker: Worker) -> bool:
        """Whether a worker without tasks has missed probes for longer than a lease, although its heartbeats may arrive.

        Such a worker would neither be used nor found idle. It holds no tasks, so none are lost even if its zone is cut
        off.
        """
        missed_us = self.ctx.now_us - worker.delivery.first_missed_probe_us
        return not worker.attempts and missed_us > self.ctx.timing.lease_expiry_us

    def _is_dispensable(self, scale_in_pass: ScaleInPass, worker: Worker, boot_us: int) -> bool:
        """Whether an empty machine is drained, faulty or spare."""
        # Always evaluated: a faulty machine that is still usable counts among the idle ones.
        is_spare = self._is_spare(scale_in_pass, worker, boot_us)
        return bool(worker.draining) or worker.task_failures > MAX_TASK_FAILURES or is_spare

    def _is_spare(self, scale_in_pass: ScaleInPass, worker: Worker, boot_us: int) -> bool:
        """Whether an idle machine is unneeded and past its idle limit, which is shorter the more machines idle."""
        shard = scale_in_pass.shard
        # Until all workers are reconciled it is unknown which tasks may need this machine.
        if shard.unreconciled or not shard.placement.usable(worker):
            return False
        scale_in_pass.idle_counts[worker.spot] += 1
        idle_limit_us = self._idle_limit_us(boot_us) // scale_in_pass.idle_counts[worker.spot]
        if self.ctx.now_us - worker.idle_since_us <= idle_limit_us or self._is_needed_by_gang(shard, worker):
            return False
        if scale_in_pass.spare_slots is None:
            scale_in_pass.spare_slots = self.headroom.spare_slots(shard)
        return not self.headroom.is_needed(worker, scale_in_pass.spare_slots)

    def _idle_limit_us(self, boot_us: int) -> int:
        return max(MIN_IDLE_LIMIT_US, micros(self.ctx.tuning.idle_return_factor * boot_us / SECOND))

    @staticmethod
    def _is_needed_by_gang(shard: Shard, worker: Worker) -> bool:
        """Whether a waiting gang may need this machine; a gang starts on all of its machines at once or on none."""
        return any(
            partition.spec.gang
            and partition.startable_task_count()
            and not partition.on_hold
            and worker.has_room_for(partition.spec)
            and shard.placement.satisfies_constraints(worker, partition.spec, None)
            for partition in shard.queued.values()
        )


def _has_reported_tasks(worker: Worker) -> bool:
    """Whether the worker's last heartbeat reported a task that has not exited."""
    return any(task.state != m.EXITED for task in worker.reported_tasks.values())
