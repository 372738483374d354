"""Whether this controller still reaches its workers.

A controller that a network partition separates from its workers alone keeps its shard: the key-value store answers it,
so no peer fails over, and peers send the workers that report to them back to it (421) until their leases have expired
and every task of the shard is lost. It cannot know by itself that its own network is at fault and not theirs. Its
peers can tell: they count the workers that report to them although another controller leads their shard
(`misrouted`). A leader that hears none of its workers while peers hear most of them hands the shard over, as when one
goes home, and is *yielding*, so that others claim first, until it reaches a worker again.
"""

import logging
from collections.abc import Iterable

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.connectivity.misrouted import MIN_SILENT_WORKERS, MisroutedWorkers
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: a yielding controller probes one worker so often
PROBE_PERIOD_US = 2 * SECOND
PROBE_TIMEOUT_US = SECOND


class WorkerConnectivity:
    """Decides when a controller yields its shards, and probes workers until it need not; `home` is its own shard."""

    def __init__(self, ctx: Context, home: int) -> None:
        self.ctx = ctx
        self.home = home
        self.misrouted = MisroutedWorkers(ctx)
        self.last_contact_us = ctx.now_us  # when a worker of a shard that this controller leads reported last
        self.yielding = False
        self._next_probe_us = 0
        self._probes_sent = 0

    def worker_contacted(self) -> None:
        """A worker of a shard that this controller leads has reached it."""
        self.last_contact_us = self.ctx.now_us
        self._contact_restored()

    def worker_misrouted(self, shard: int, heartbeat: m.WorkerHeartbeat) -> None:
        """A worker reported here although a peer leads its shard; a copy of an earlier heartbeat proves no contact."""
        if self.misrouted.observe(shard, heartbeat):
            self._contact_restored()

    def lost_contact(self, workers: Iterable[Worker], misrouted: int) -> bool:
        """Whether peers hear of most of these workers (`misrouted` of them) while this controller hears of none."""
        if self.ctx.now_us - self.last_contact_us <= self.ctx.timing.probe_after_us:
            return False
        probed = [w for w in workers if w.attempts and not w.lease_expired and not w.deleting]
        silent = sum(w.delivery.unanswered_probes > 0 for w in probed)
        return len(probed) >= MIN_SILENT_WORKERS and 2 * silent >= len(probed) and 2 * misrouted >= len(probed)

    def start_yielding(self, shard: int) -> None:
        """Let peers claim first from now on, since the workers of a shard reach them and not this controller."""
        self.yielding = True
        self._next_probe_us = self.ctx.now_us + PROBE_PERIOD_US
        log.info("yielding started shard=%d", shard)

    def tick(self) -> None:
        """While yielding, probe one worker of the home shard after the other."""
        if not self.yielding or self.ctx.now_us < self._next_probe_us:
            return
        self._next_probe_us = self.ctx.now_us + PROBE_PERIOD_US
        machine_records = self.ctx.cache.by_kind["roster"].values()
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
