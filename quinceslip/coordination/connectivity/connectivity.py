"""Detects that this controller no longer reaches its workers.

A controller that a network partition separates only from its workers keeps its shard: the key-value store still
answers it, so no peer takes over, and peers redirect the workers that report to them back to it (421) until their
leases have expired and every task of the shard is lost. The controller alone cannot tell whether its own network or
theirs is at fault. Its peers can: they count the workers that report to them although another controller leads their
shard (`misrouted`). A leader that hears from none of its workers while its peers hear from most of them hands the shard
over, as it does when a shard returns to its home. Until it reaches a worker again it is *yielding*: it lets others
claim first.
"""

import logging
from collections.abc import Iterable

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.connectivity.misrouted import MIN_SILENT_WORKERS, MisroutedWorkers
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m
from quinceslip.storage.records import RecordKind

log = logging.getLogger(__name__)

#: interval at which a yielding controller probes one worker
PROBE_PERIOD_US = 2 * SECOND
PROBE_TIMEOUT_US = SECOND


class WorkerConnectivity:
    """Decides when a controller yields its shards, and probes workers until it can stop; `home` is its home shard."""

    def __init__(self, ctx: Context, home: int) -> None:
        self.ctx = ctx
        self.home = home
        self.misrouted = MisroutedWorkers(ctx)
        self.last_contact_us = ctx.now_us  # when a worker of a shard that this controller leads last reached it
        self.yielding = False
        self._next_probe_us = 0
        self._probes_sent = 0

    def worker_contacted(self) -> None:
        """Handle contact by a worker of a shard that this controller leads."""
        self.last_contact_us = self.ctx.now_us
        self._contact_restored()

    def worker_misrouted(self, shard: int, heartbeat: m.WorkerHeartbeat) -> None:
        """Handle a heartbeat of a worker whose shard a peer leads; a copy of an earlier one is no proof of contact."""
        if self.misrouted.observe(shard, heartbeat):
            self._contact_restored()

    def lost_contact(self, workers: Iterable[Worker], misrouted: int) -> bool:
        """Whether peers hear from most of these workers (`misrouted` of them) while this controller hears from none."""
        if self.ctx.now_us - self.last_contact_us <= self.ctx.timing.probe_after_us:
            return False
        expected = [w for w in workers if w.attempts and not w.lease_expired and not w.deleting]
        silent = sum(w.delivery.unanswered_probes > 0 for w in expected)
        return len(expected) >= MIN_SILENT_WORKERS and 2 * silent >= len(expected) and 2 * misrouted >= len(expected)

    def start_yielding(self, shard: int) -> None:
        """Let peers claim first from now on, because the workers of a shard reach them but not this controller."""
        self.yielding = True
        self._next_probe_us = self.ctx.now_us + PROBE_PERIOD_US
        log.info("yielding started shard=%d", shard)

    def tick(self) -> None:
        """While yielding, probe the workers of the home shard in turn."""
        if not self.yielding or self.ctx.now_us < self._next_probe_us:
            return
        self._next_probe_us = self.ctx.now_us + PROBE_PERIOD_US
        machine_records = self.ctx.cache.by_kind[RecordKind.MACHINE].values()
        endpoints = [record.endpoint for record in machine_records if record.endpoint and record.shard == self.home]
        if not endpoints:
            self._contact_restored()
            return
        self._probes_sent += 1
        self._probe(endpoints[self._probes_sent % len(endpoints)])

    def _probe(self, endpoint: str) -> None:
        def on_probe_answered(status: int, body: bytes) -> None:
            if status == 200:
                self._contact_restored()

        self.ctx.call(endpoint, "GET", m.PATH_INSPECT, None, on_probe_answered, timeout_us=PROBE_TIMEOUT_US)

    def _contact_restored(self) -> None:
        if self.yielding:
            log.info("yielding ended")
            self.yielding = False
            self.last_contact_us = self.ctx.now_us
