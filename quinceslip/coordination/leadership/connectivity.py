"""Whether this controller still reaches its workers, and whose workers come here in vain.

A controller that is cut off from its workers alone keeps its shard: the state service answers it, so no peer
takes over, and peers send the workers that come to them back to it (421) until their leases have run out and
every task of the shard is lost. It cannot know by itself that its own network is at fault and not theirs. Its
peers can tell: they count the workers that come to them although another owns their shard, and say so in
their heartbeats. Where an owner hears of none of its workers and peers hear of most, it hands the shard over,
as when one goes home, and stands aside until it reaches a worker again.

A cut that takes the workers often takes the peers with them, and leaves the state service. Heartbeats say nothing
then, so a controller with strays writes their number down as well. Whether it hears the owner does not matter: the
owner may be heard by those whom it does not hear.
"""

import logging
from collections.abc import Iterable

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import HEARTBEAT_TIMEOUT_US, SECOND
from quinceslip.coordination.shard.worker import Worker
from quinceslip.protocol import messages as m
from quinceslip.storage import records

log = logging.getLogger(__name__)

#: fewer silent machines than this may as well be at fault themselves
MIN_SILENT_WORKERS = 3
#: while it stands aside, a controller asks one worker so often
ASK_US = 2 * SECOND
#: strays are written down so often while it is needed; what was written counts for twice as long
WRITE_US = HEARTBEAT_TIMEOUT_US


class WorkerConnectivity:
    """Owned by the node's actor; asks workers through the context."""

    def __init__(self, ctx: Context, home: int) -> None:
        self.ctx = ctx
        self.home = home
        self.last_contact_us = ctx.now_us  # when a worker of a shard of ours reported last
        self.yielding = False
        self.next_probe_us = 0
        self.probes_sent = 0
        self._misrouted: dict[int, dict[str, int]] = {}  # by shard: its workers that came here, and when
        self._latest: dict[str, tuple[int, int]] = {}  # of these workers: session and number of the latest report
        self._read_us: dict[str, int] = {}  # when the record of a peer last changed
        self._writing = False
        self._next_write_us = 0

    def worker_contacted(self) -> None:
        """A worker of ours, or one that belongs elsewhere, has reached this controller."""
        self.last_contact_us = self.ctx.now_us
        self._contact_restored()

    def worker_misrouted(self, shard: int, heartbeat: m.WorkerHeartbeat) -> None:
        """A worker came here that a peer owns; a copy of what it said before is no coming."""
        number = (heartbeat.epoch, heartbeat.seq)
        if number <= self._latest.get(heartbeat.worker, (0, 0)):
            return
        machine_records = self.ctx.cache.by_kind["roster"]
        if len(self._latest) > 2 * len(machine_records):
            self._latest = {n: latest for n, latest in self._latest.items() if n in machine_records}
        self._latest[heartbeat.worker] = number
        self._misrouted.setdefault(shard, {})[heartbeat.worker] = self.ctx.now_us
        self._contact_restored()

    def misrouted_counts(self) -> list[tuple[int, int]]:
        """Shard and number of workers that came here in vain lately: once at least while each tries all controllers."""
        since_us = self.ctx.now_us - 2 * HEARTBEAT_TIMEOUT_US
        found = []
        for shard, workers in list(self._misrouted.items()):
            for name in [n for n, at_us in workers.items() if at_us < since_us]:
                del workers[name]
            if workers:
                found.append((shard, len(workers)))
            else:
                del self._misrouted[shard]
        return found

    # The same by way of the state service.

    def write_misrouted_record(self) -> None:
        """Write down whose workers come here in vain; take it back once there are none."""
        if self._writing or self.ctx.now_us < self._next_write_us:
            return
        label, cache = self.ctx.settings.label, self.ctx.cache
        key = records.misrouted_key(label)
        misrouted = [(shard, count) for shard, count in self.misrouted_counts() if count >= MIN_SILENT_WORKERS]
        if not misrouted and label not in cache.by_kind["stray"]:
            return
        self._writing, self._next_write_us = True, self.ctx.now_us + WRITE_US

        def done(status: int, failed: list[str]) -> None:
            self._writing = False

        # Conditional, so that one that is late does not come back after it was taken back.
        puts = {key: (records.MisroutedRecord(misrouted), None)} if misrouted else {}
        self.ctx.compare_and_swap(
            {key: cache.mod_revision(key)}, puts, [] if misrouted else [key], done, Urgency.LAUNCH
        )

    def peer_record_changed(self, label: str) -> None:
        """The record of a peer has changed."""
        self._read_us[label] = self.ctx.now_us

    def recorded_misrouted(self, shard: int) -> int:
        """How many workers of a shard came to peers in vain, by their records; the clock is that of the reader."""
        since_us = self.ctx.now_us - 2 * WRITE_US
        return sum(
            count
            for label, record in self.ctx.cache.by_kind["stray"].items()
            if label != self.ctx.settings.label and self._read_us.get(label, 0) > since_us
            for s, count in record.misrouted
            if s == shard
        )

    def lost_contact(self, workers: Iterable[Worker], misrouted: int) -> bool:
        """Whether peers hear of most of these workers while this controller hears of none."""
        if self.ctx.now_us - self.last_contact_us <= self.ctx.timing.probe_after_us:
            return False
        asked = [w for w in workers if w.attempts and not w.lease_expired and not w.deleting]
        silent = sum(w.delivery.unanswered_probes > 0 for w in asked)
        return len(asked) >= MIN_SILENT_WORKERS and 2 * silent >= len(asked) and 2 * misrouted >= len(asked)

    def start_yielding(self, shard: int) -> None:
        self.yielding = True
        self.next_probe_us = self.ctx.now_us + ASK_US
        log.info("shard %d is handed over: its workers reach peers and not this controller", shard)

    def tick(self) -> None:
        """While aside, ask one worker after the other."""
        if not self.yielding or self.ctx.now_us < self.next_probe_us:
            return
        self.next_probe_us = self.ctx.now_us + ASK_US
        machine_records = self.ctx.cache.by_kind["roster"].values()
        endpoints = [r.endpoint for r in machine_records if r.endpoint and r.shard == self.home]
        if not endpoints:
            self._contact_restored()
            return
        self.probes_sent += 1

        def done(status: int, body: bytes) -> None:
            if status == 200:
                self._contact_restored()

        self.ctx.call(
            endpoints[self.probes_sent % len(endpoints)], "GET", m.PATH_INSPECT, None, done, timeout_us=SECOND
        )

    def _contact_restored(self) -> None:
        if self.yielding:
            log.info("workers reach this controller again")
            self.yielding = False
            self.last_contact_us = self.ctx.now_us
