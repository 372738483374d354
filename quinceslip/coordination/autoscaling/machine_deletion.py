"""Requests the deletion of machines from the cloud, and repeats it until the outcome is certain."""

import logging

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import TARGET_CLOUD
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.autoscaling.capacity import CapacityObservations
from quinceslip.coordination.autoscaling.deregistration import Deregistration
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: bounds one call to the cloud, and the number of machines that stay unusable while a call is indeterminate. It does
#: not bound the fleet: each pass, once a second per shard, requests the next batch without waiting for earlier answers.
#: Machines that idle longest come first, so if thousands of one shard are returned at once, the last ones, which may
#: include a machine that failed with tasks on it, wait for as many passes as there are batches before them
MAX_MACHINES_PER_DELETION = 100
REQUEST_TIMEOUT_US = 4 * SECOND
#: delay after a failed call, for all shards
RETRY_PERIOD_US = SECOND
#: `draining` reason of a worker whose deletion is indeterminate
RETURNING = "return"


class MachineDeletion:
    """Sends deletion requests and tracks those in progress."""

    def __init__(self, ctx: Context, capacity: CapacityObservations, deregistration: Deregistration) -> None:
        self.ctx = ctx
        self.capacity = capacity
        self.deregistration = deregistration
        self.in_progress: set[str] = set()
        self.next_request_us = 0

    def request(self, shard: Shard, names: list[str]) -> None:
        """Request the deletion of a first batch of these machines of a shard; later passes request the rest."""
        if self.ctx.now_us < self.next_request_us:
            return
        batch = [name for name in names[:MAX_MACHINES_PER_DELETION] if name not in self.in_progress]
        if not batch:
            return
        self.in_progress.update(batch)
        for name in batch:
            if name in shard.workers:
                shard.workers[name].deleting = True
        log.info("returning machines shard=%d machines=%s", shard.index, ",".join(batch))

        def on_answered(status: int, body: bytes) -> None:
            self.in_progress.difference_update(batch)
            if status == 200:
                self._on_deleted(shard, batch)
            else:
                self._on_indeterminate(shard, batch)

        body = m.delete_request(batch)
        self.ctx.call(TARGET_CLOUD, "POST", m.PATH_HOSTS_DELETE, body, on_answered, timeout_us=REQUEST_TIMEOUT_US)

    def _on_deleted(self, shard: Shard, names: list[str]) -> None:
        for name in names:
            worker = shard.workers.get(name)
            if worker is not None and worker.type is not None:
                pool = (worker.type.label, worker.zone, worker.spot)
                self.capacity.machines_returned(pool, 1, self.ctx.now_us)
            self.deregistration.machine_gone(shard, name, "returned")

    def _on_indeterminate(self, shard: Shard, names: list[str]) -> None:
        """Drain machines whose deletion has an unknown outcome, until it is requested again."""
        self.next_request_us = self.ctx.now_us + RETRY_PERIOD_US
        for name in names:
            if name in shard.workers:
                shard.workers[name].deleting = False
                shard.workers[name].draining = RETURNING
