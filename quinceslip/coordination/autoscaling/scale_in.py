"""When a machine is returned. The rules, in the order in which they are tried:

1. inherited, and silent by its own failure: what it may hold can start elsewhere once it is gone for certain
2. never heard: returned after several boot times
3. silent for longer than a lease: it holds nothing any more
4. silent by its own failure, with tasks: replaced before its lease ends
5. sends heartbeats and does not hear us: it can be neither used nor found idle
6. empty, and drained, faulty, or idle for longer than one is kept in reserve
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
from quinceslip.coordination.shard_state.worker import Worker, fits
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: a machine that was not heard after so many boot times, and a while, never comes up
NEVER_UP_BOOT_TIMES = 4
NEVER_UP_MARGIN_US = 20 * SECOND
#: a machine on which more tasks than this failed is taken for faulty
MAX_TASK_FAILURES = 2
#: one idle machine is kept in reserve for so long at the least
MIN_IDLE_LIMIT_US = 10 * SECOND


@dataclass(slots=True)
class ScaleInPass:
    """One pass over the workers of a shard: what is known of all, and what the pass has counted so far."""

    shard: Shard
    reachability: ShardReachability
    idle_rank: dict[bool, int] = field(default_factory=lambda: {True: 0, False: 0})  # idle workers met, by spot
    spare_slots: SpareSlots | None = None  # only computed where a worker idles for long


class ScaleIn:
    """Chooses the machines of a shard to return, and has them deleted."""

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
        """Return the machines of the shard that are of no use, those that idle for longest first."""
        scale_in = ScaleInPass(shard, shard_reachability(shard, self.election.may_launch()))
        names = [
            worker.name
            for worker in sorted(shard.workers.values(), key=lambda worker: worker.idle_since_us)
            if self._is_to_return(scale_in, worker)
        ]
        if names:
            self.deletion.request(shard, names)

    def _is_to_return(self, scale_in: ScaleInPass, worker: Worker) -> bool:
        if worker.deleting or worker.type is None:
            return False
        boot_us = micros(worker.type.boot_s)
        answers = worker.delivery.unanswered_probes < MAX_UNANSWERED_PROBES
        failed_alone = not answers and scale_in.reachability.failed_alone(worker)
        if failed_alone and worker.name in scale_in.shard.unreconciled:
            if not worker.draining:  # else it was asked for before, and the cloud did not answer
                log.info("inherited worker replaced worker=%s", worker.name)
            return True
        if not worker.last_contact_us:
            return self._never_came_up(scale_in.shard, worker, boot_us)
        silent_us = self.ctx.now_us - max(worker.last_contact_us, scale_in.shard.led_since_us)
        if silent_us > self.ctx.timing.lease_expiry_us and self._holds_nothing(worker):
            return True
        # A hung or partitioned machine keeps its tasks from starting elsewhere until its lease ends.
        # Once it is deleted they are certain to be gone, so they start again at once.
        if failed_alone and not worker.lease_expired and worker.attempts:
            log.info("silent worker replaced worker=%s silent_s=%.1f", worker.name, silent_us / SECOND)
            return True
        if not answers and self._does_not_hear_us(worker):
            if not worker.draining:
                log.info("worker hears nothing: returned worker=%s", worker.name)
            return True
        if worker.attempts or _has_reported_tasks(worker):
            return False
        return self._is_dispensable(scale_in, worker, boot_us)

    def _never_came_up(self, shard: Shard, worker: Worker, boot_us: int) -> bool:
        waited_us = self.ctx.now_us - worker.registered_us
        if waited_us <= NEVER_UP_BOOT_TIMES * boot_us + NEVER_UP_MARGIN_US or worker.name in shard.unreconciled:
            return False
        log.info("machine never came up worker=%s waited_s=%.1f", worker.name, waited_us / SECOND)
        return True

    def _holds_nothing(self, worker: Worker) -> bool:
        """Whether a worker that is silent for longer than a lease is in the cloud's list or known to have lost it."""
        return worker.name in self.inventory.listed or worker.lease_expired

    def _does_not_hear_us(self, worker: Worker) -> bool:
        """Its heartbeats arrive, so it would neither be used nor ever be found idle.

        Like one that is silent for so long it holds nothing, so a zone that is cut off loses nothing by it.
        """
        missed_us = self.ctx.now_us - worker.delivery.first_missed_probe_us
        return not worker.attempts and missed_us > self.ctx.timing.lease_expiry_us

    def _is_dispensable(self, scale_in: ScaleInPass, worker: Worker, boot_us: int) -> bool:
        """Whether an empty machine is drained, faulty or spare."""
        # Judged in any case: a faulty machine that can still be used counts among the idle ones.
        is_spare = self._is_spare(scale_in, worker, boot_us)
        return bool(worker.draining) or worker.task_failures > MAX_TASK_FAILURES or is_spare

    def _is_spare(self, scale_in: ScaleInPass, worker: Worker, boot_us: int) -> bool:
        """Whether it idles for longer than is worth it: one is kept in reserve for long; the more, the shorter."""
        shard = scale_in.shard
        # Until the registry is reconciled it is not known what it may have to run.
        if shard.unreconciled or not shard.placement.usable(worker):
            return False
        scale_in.idle_rank[worker.spot] += 1
        idle_limit_us = self._idle_limit_us(boot_us) // scale_in.idle_rank[worker.spot]
        if self.ctx.now_us - worker.idle_since_us <= idle_limit_us or self._is_awaited_by_gang(shard, worker):
            return False
        if scale_in.spare_slots is None:
            scale_in.spare_slots = self.headroom.spare_slots(shard)
        return not self.headroom.needs(worker, scale_in.spare_slots)

    def _idle_limit_us(self, boot_us: int) -> int:
        return max(MIN_IDLE_LIMIT_US, int(self.ctx.tuning.idle_return_factor * boot_us))

    @staticmethod
    def _is_awaited_by_gang(shard: Shard, worker: Worker) -> bool:
        """Whether a gang waits that this machine may be a part of: it starts on all of them at once or on none."""
        return any(
            partition.spec.gang
            and partition.startable_task_count()
            and not partition.on_hold
            and fits(worker.free(), partition.spec)
            and shard.placement.satisfies_constraints(worker, partition.spec, None)
            for partition in shard.queued.values()
        )


def _has_reported_tasks(worker: Worker) -> bool:
    """Whether its last heartbeat showed a task that has not ended."""
    return any(task.state != m.EXITED for task in worker.reported_tasks.values())
