"""Keeps the actor's store cache up to date: lists all records, then long-polls for changes."""

import logging
import threading
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import msgspec

from quinceslip.coordination.actor.effects import StoreChanges, StoreListing
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import split_address
from quinceslip.storage.records import PREFIX
from quinceslip.transport.clients import Connection, exchange
from quinceslip.transport.clock import steady_us

log = logging.getLogger(__name__)

#: pause before a new listing after an error
LISTING_RETRY_S = 0.3
#: additional pause after an error response to a poll
POLL_RETRY_S = 0.2
LISTING_TIMEOUT_S = 2.0
#: time limit of a poll beyond the wait that it requests
POLL_TIMEOUT_MARGIN_S = 1.0


class Watch:
    """A thread that reads the store and posts `StoreListing` and `StoreChanges` to the actor.

    `wait_us` is how long the store may hold a poll open while nothing changes, `pause_us` the pause between two polls.
    """

    def __init__(self, address: str, post: Callable[[Any], bool], wait_us: int, pause_us: int) -> None:
        self.post = post
        self.wait_us = wait_us
        self.pause_us = pause_us
        host, port = split_address(address)
        self.connection = Connection(host, port)
        threading.Thread(target=self._run, name="watch", daemon=True).start()

    def _run(self) -> None:
        revision: int | None = None
        # Bound: none, it runs as long as the thread.
        while True:
            revision = self._advance(revision)
            time.sleep(self.pause_us / 1e6 if revision is not None else LISTING_RETRY_S)

    def _advance(self, revision: int | None) -> int | None:
        """Poll for changes after `revision`, or list all; returns the next revision, None if a listing is needed."""
        try:
            return self._list() if revision is None else self._poll(revision)
        except msgspec.DecodeError as error:
            log.error("undecodable response from the key-value store error=%s", error)
        except Exception:
            log.exception("watch failed")
        return None

    def _get(self, path: str, timeout_s: float) -> tuple[int, bytes]:
        return exchange(self.connection, "GET", path, None, timeout_s)

    def _list(self) -> int | None:
        """Read all records and post them; returns the store revision to watch from, None on failure."""
        items: list[m.Item] = []
        requested_us = steady_us()
        first_revision: int | None = None
        last_revision = 0
        after = ""
        # Bound: the number of keys; they are listed in order, so each page starts after the previous one.
        while True:
            status, body = self._get(m.list_path(PREFIX, after), LISTING_TIMEOUT_S)
            if status != HTTPStatus.OK:
                return None
            page = msgspec.json.decode(body, type=m.Listing)
            # The pages may have different revisions. Watching from the revision of the first page also yields the
            # changes made while the others were read.
            first_revision = page.revision if first_revision is None else first_revision
            last_revision = page.revision
            items += page.items
            if not page.more or not page.items:
                break
            last_key = page.items[-1].key
            if last_key <= after:
                log.error("listing out of order key=%s after=%s", last_key, after)
                return None
            after = last_key
        # Guard: the cache counts as synced only once it has reached the revision of the last page.
        self.post(StoreListing(items, first_revision, requested_us, last_revision))
        return first_revision

    def _poll(self, revision: int) -> int | None:
        """Wait for changes after `revision` and post them; returns the store revision that they reach.

        Returns None if the store no longer has these changes, so that a new listing is needed.
        """
        requested_us = steady_us()
        path = m.watch_path(PREFIX, revision, self.wait_us // 1000)
        status, body = self._get(path, self.wait_us / 1e6 + POLL_TIMEOUT_MARGIN_S)
        if status == HTTPStatus.OK:
            changes = msgspec.json.decode(body, type=m.Changes)
            self.post(StoreChanges(changes.events, changes.revision, requested_us))
            return changes.revision
        if status == HTTPStatus.GONE:
            return None
        time.sleep(POLL_RETRY_S)
        return revision
