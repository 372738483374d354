"""Read barrier: what waits is continued once the store cache holds all that was written before it asked."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.controller.replies import reply_unavailable
from quinceslip.protocol import messages as m
from quinceslip.storage import records

log = logging.getLogger(__name__)

#: requests of users that wait for a read at the same time; more are answered 503. A fleet of 4,000 machines has users
#: who poll each of its jobs; one entry costs some hundred bytes.
MAX_PENDING_REQUESTS = 8_000
#: part of this controller's requests to the key-value store that barriers may take
MAX_READ_SHARE = 0.25
#: a request waits no longer than this for others that share its read
MAX_READ_INTERVAL_US = SECOND // 4
MAX_READ_TIMEOUT_US = SECOND
#: users wait 2 s for an answer (PROTOCOL); what cannot be known by this time is 503
ANSWER_WITHIN_US = 7 * SECOND // 4


@dataclass(slots=True)
class PendingRequest:
    """A user's request that needs a read barrier, and what continues it then."""

    request: int
    asked_us: int
    on_cache_current: Callable[[], None]


@dataclass(slots=True)
class PassedBarrier:
    """Requests whose read gave this store revision, which the cache has yet to reach."""

    revision: int
    pending: list[PendingRequest]


class ReadBarrier:
    """Linearizable reads of the store's revision, each shared by the requests that came before it."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.awaiting_read: list[PendingRequest] = []
        self.awaiting_cache: list[PassedBarrier] = []
        self.reading = False
        request_interval_us = SECOND * ctx.settings.facts.size / (MAX_READ_SHARE * ctx.limits.rps)
        self.read_interval_us = min(int(request_interval_us), MAX_READ_INTERVAL_US)
        self.next_read_us = 0
        self.reads_started = 0

    def wait(self, request: int, on_cache_current: Callable[[], None]) -> None:
        """Continue a request behind a barrier; it is answered 503 if too many wait, or no read succeeds in time."""
        if len(self.awaiting_read) >= MAX_PENDING_REQUESTS:
            reply_unavailable(self.ctx, request)
            return
        self.awaiting_read.append(PendingRequest(request, self.ctx.now_us, on_cache_current))
        self._start_read()

    def tick(self) -> None:
        """Continue what can be, answer what is out of time, and start a read that is due."""
        self.cache_advanced()
        # Guard: a read that hangs holds up nobody past the time that users wait, however many ask meanwhile.
        self.awaiting_read = self._drop_expired(self.awaiting_read)
        self._start_read()

    def cache_advanced(self) -> None:
        """Continue the requests whose revision the cache has reached."""
        barriers, self.awaiting_cache = self.awaiting_cache, []
        for barrier in barriers:
            if self.ctx.cache.synced and self.ctx.cache.revision >= barrier.revision:
                for pending in barrier.pending:
                    pending.on_cache_current()
                continue
            in_time = self._drop_expired(barrier.pending)
            if in_time:
                self.awaiting_cache.append(PassedBarrier(barrier.revision, in_time))

    def _start_read(self) -> None:
        """Start one read for all that wait, if none is under way.

        Reads keep a distance: however many users ask, they take no more than their share of the requests, and
        heartbeats and results keep theirs. A read made before a request came proves nothing for it, so none is
        shared with later requests.
        """
        if not self.awaiting_read or self.reading or self.ctx.now_us < self.next_read_us:
            return
        self.next_read_us = self.ctx.now_us + self.read_interval_us
        self.reads_started += 1
        pending, self.awaiting_read = self.awaiting_read, []
        self.reading = True

        def on_read(status: int, body: bytes) -> None:
            self._finish_read(pending, status, body)

        remaining_us = pending[0].asked_us + ANSWER_WITHIN_US - self.ctx.now_us
        self.ctx.call(
            "state",
            "GET",
            f"{m.PATH_KV}/{records.UNUSED_KEY}",
            None,
            on_read,
            timeout_us=min(MAX_READ_TIMEOUT_US, max(MAX_READ_INTERVAL_US, remaining_us)),
        )

    def _finish_read(self, pending: list[PendingRequest], status: int, body: bytes) -> None:
        """Let the requests of a read wait for the cache, or answer 503 where it failed; start the next read.

        Bound: called by an answer of the key-value store alone, so no read finishes within another.
        """
        self.reading = False
        self.ctx.note_store_status(status)
        revision = _store_revision(status, body)
        if revision is None:
            for entry in pending:
                reply_unavailable(self.ctx, entry.request)
        else:
            self.awaiting_cache.append(PassedBarrier(revision, pending))
            self.cache_advanced()
        self._start_read()

    def _drop_expired(self, pending: list[PendingRequest]) -> list[PendingRequest]:
        """Those whose users still wait; the others are answered 503."""
        in_time = []
        for entry in pending:
            if self.ctx.now_us < entry.asked_us + ANSWER_WITHIN_US:
                in_time.append(entry)
            else:
                reply_unavailable(self.ctx, entry.request)
        return in_time


def _store_revision(status: int, body: bytes) -> int | None:
    """The revision at which the key that never exists was read as absent; None where the read failed."""
    if status != 404:
        return None
    try:
        return msgspec.json.decode(body, type=m.CompareAndSwapAnswer).revision
    except msgspec.DecodeError as error:
        log.error("malformed answer to a read barrier error=%s", error)
        return None
