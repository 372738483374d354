"""Silent workers of a shard: expires their leases and probes them."""

import logging
from typing import TYPE_CHECKING

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.shard_state.worker import Worker

if TYPE_CHECKING:
    from quinceslip.coordination.shard.shard import Shard

log = logging.getLogger(__name__)

#: interval between checks for silent workers
CHECK_INTERVAL_US = SECOND // 2
#: a worker with service tasks is probed after this much silence
SERVICE_PROBE_AFTER_US = 3 * SECOND // 2


class SilenceCheck:
    """Expires the leases of silent workers and probes them. Owned by its shard."""

    def __init__(self, shard: "Shard") -> None:
        """The first tick runs a check."""
        self.shard = shard
        self.next_check_us = 0

    def tick(self) -> None:
        """Check all workers, if a check is due."""
        now_us = self.shard.ctx.now_us
        if now_us < self.next_check_us:
            return
        self.next_check_us = now_us + CHECK_INTERVAL_US
        for worker in list(self.shard.workers.values()):
            self._expire_lease(worker)
            if worker.attempts:
                worker.idle_since_us = now_us
            if self._needs_probe(worker):
                self.shard.command_sender.probe(worker)

    def _expire_lease(self, worker: Worker) -> None:
        """Expire the worker's lease if it cannot have been renewed in time."""
        shard = self.shard
        unrenewed_us = shard.ctx.now_us - worker.lease_renewed_us
        if not worker.lease_expired and unrenewed_us > shard.ctx.timing.lease_expiry_us:
            if worker.attempts or worker.name in shard.unreconciled:
                log.info("lease expired worker=%s cause=silence unrenewed_s=%.1f", worker.name, unrenewed_us / SECOND)
            shard.expire_lease(worker)
        elif shard.lease_expired_while_unreachable(worker):
            log.info("lease expired worker=%s cause=unanswered_heartbeats", worker.name)
            shard.expire_lease(worker)

    def _needs_probe(self, worker: Worker) -> bool:
        """Whether to probe the worker now: an inherited one at once, another one with tasks after a silence."""
        shard = self.shard
        now_us = shard.ctx.now_us
        if worker.probing or not worker.endpoint or now_us < worker.next_probe_us:
            return False
        if worker.name in shard.unreconciled:
            return True
        if not worker.attempts or not worker.last_contact_us:
            return False
        silent_us = now_us - max(worker.last_contact_us, shard.led_since_us)
        return worker.delivery.suspect or silent_us > self._probe_after_us(worker)

    def _probe_after_us(self, worker: Worker) -> int:
        """How long a worker with tasks may be silent before it is probed."""
        probe_after_us = self.shard.ctx.timing.probe_after_us
        # Users notice at once when replicas of a service stop, so their machines are probed early.
        return min(probe_after_us, SERVICE_PROBE_AFTER_US) if worker.service_tasks else probe_after_us
