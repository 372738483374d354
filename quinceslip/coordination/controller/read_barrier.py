"""Read barrier: holds a request until the store cache has everything that was written before it arrived."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import TARGET_STORE
from quinceslip.coordination.actor.isolation import run_isolated
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.controller.replies import reply_unavailable
from quinceslip.protocol import messages as m
from quinceslip.storage import records

log = logging.getLogger(__name__)

#: user requests that may wait for a read at the same time; further ones are answered 503. Users of a fleet of 4,000
#: machines poll each of its jobs; one entry takes a few hundred bytes.
MAX_PENDING_REQUESTS = 8_000
#: share of this controller's requests to the key-value store that read barriers may use
MAX_READ_SHARE = 0.25
#: longest time that a request waits for others to share its read with
MAX_READ_INTERVAL_US = SECOND // 4
MAX_READ_TIMEOUT_US = SECOND
#: users wait 2 s for an answer (PROTOCOL); a request that is still undecided after this time is answered 503
ANSWER_TIMEOUT_US = 7 * SECOND // 4


@dataclass(slots=True)
class PendingRequest:
    """A user request that waits for a read barrier, and the callback that continues it."""

    request: int
    received_us: int
    on_cache_current: Callable[[], None]


@dataclass(slots=True)
class CompletedRead:
    """Requests whose read returned this store revision, which the cache has not reached yet."""

    revision: int
    pending: list[PendingRequest]


class ReadBarrier:
    """Linearizable reads of the store's revision, each shared by the requests that arrived before it started."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.awaiting_read: list[PendingRequest] = []
        self.awaiting_cache: list[CompletedRead] = []
        self.reading = False
        request_interval_us = micros(ctx.settings.facts.size / (MAX_READ_SHARE * ctx.limits.rps))
        self.read_interval_us = min(request_interval_us, MAX_READ_INTERVAL_US)
        self.next_read_us = 0
        self.reads_started = 0

    def wait(self, request: int, on_cache_current: Callable[[], None]) -> None:
        """Continue a request after a barrier; answer 503 if too many requests wait or no read succeeds in time."""
        if len(self.awaiting_read) >= MAX_PENDING_REQUESTS:
            reply_unavailable(self.ctx, request)
            return
        self.awaiting_read.append(PendingRequest(request, self.ctx.now_us, on_cache_current))
        self._start_read()

    def tick(self) -> None:
        """Continue requests whose revision is cached, answer expired ones, and start a read that is due."""
        self.cache_advanced()
        # Guard: a hanging read delays no request past the time that users wait, however many arrive meanwhile.
        self.awaiting_read = self._drop_expired(self.awaiting_read)
        self._start_read()

    def cache_advanced(self) -> None:
        """Continue the requests whose revision the cache has reached."""
        completed_reads, self.awaiting_cache = self.awaiting_cache, []
        for read in completed_reads:
            if self.ctx.cache.synced and self.ctx.cache.revision >= read.revision:
                for pending in read.pending:
                    # Guard: the requests that share a read must not share the error of one of them.
                    run_isolated(
                        pending.on_cache_current, "request after a read barrier failed request=%d", pending.request
                    )
                continue
            unexpired = self._drop_expired(read.pending)
            if unexpired:
                self.awaiting_cache.append(CompletedRead(read.revision, unexpired))

    def _start_read(self) -> None:
        """Start one read for all waiting requests, if none is in progress.

        Reads are spaced out: however many users ask, reads use no more than their share of the store requests and
        leave the rest to heartbeats and results. A read proves nothing for a request that arrives after its start, so
        later requests never share it.
        """
        if not self.awaiting_read or self.reading or self.ctx.now_us < self.next_read_us:
            return
        self.next_read_us = self.ctx.now_us + self.read_interval_us
        self.reads_started += 1
        pending, self.awaiting_read = self.awaiting_read, []
        self.reading = True

        def on_read(status: int, body: bytes) -> None:
            self._finish_read(pending, status, body)

        remaining_us = pending[0].received_us + ANSWER_TIMEOUT_US - self.ctx.now_us
        self.ctx.call(
            TARGET_STORE,
            "GET",
            f"{m.PATH_KV}/{records.UNUSED_KEY}",
            None,
            on_read,
            timeout_us=min(MAX_READ_TIMEOUT_US, max(MAX_READ_INTERVAL_US, remaining_us)),
        )

    def _finish_read(self, pending: list[PendingRequest], status: int, body: bytes) -> None:
        """Let the requests of a read wait for the cache, or answer 503 if it failed; then start the next read.

        Bound: called only for an answer of the key-value store, so calls do not nest.
        """
        self.reading = False
        self.ctx.record_store_status(status)
        revision = _store_revision(status, body)
        if revision is None:
            for entry in pending:
                reply_unavailable(self.ctx, entry.request)
        else:
            self.awaiting_cache.append(CompletedRead(revision, pending))
            self.cache_advanced()
        self._start_read()

    def _drop_expired(self, pending: list[PendingRequest]) -> list[PendingRequest]:
        """Return the requests whose users still wait; answer 503 to the others."""
        unexpired = []
        for entry in pending:
            if self.ctx.now_us < entry.received_us + ANSWER_TIMEOUT_US:
                unexpired.append(entry)
            else:
                reply_unavailable(self.ctx, entry.request)
        return unexpired


def _store_revision(status: int, body: bytes) -> int | None:
    """Return the revision at which a key that never exists was read as absent; None if the read failed."""
    if status != 404:
        return None
    try:
        return msgspec.json.decode(body, type=m.CompareAndSwapAnswer).revision
    except msgspec.DecodeError as error:
        log.error("malformed answer to a read barrier error=%s", error)
        return None
