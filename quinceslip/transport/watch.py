"""Keeps the actor's store cache up to date: a listing of all records, then one long poll after another."""

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
#: further pause after a poll that was answered with an error
POLL_RETRY_S = 0.2
LISTING_TIMEOUT_S = 2.0
#: a poll's answer may come so much later than the wait that it asks for
POLL_TIMEOUT_MARGIN_S = 1.0


class Watch:
    """A thread that reads the store and posts `StoreListing` and `StoreChanges` to the actor.

    `wait_us`: how long the store may keep a poll open while nothing changes; `pause_us`: between two polls.
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
        # Bound: none, it is this thread's life.
        while True:
            revision = self._advance(revision)
            time.sleep(self.pause_us / 1e6 if revision is not None else LISTING_RETRY_S)

    def _advance(self, revision: int | None) -> int | None:
        """Poll for what came after `revision`, or list everything; returns where to go on, None for a listing."""
        try:
            return self._list() if revision is None else self._poll(revision)
        except msgspec.DecodeError as error:
            log.error("undecodable answer of the key-value store error=%s", error)
        except Exception:
            log.exception("watch failed")
        return None

    def _get(self, path: str, timeout_s: float) -> tuple[int, bytes]:
        return exchange(self.connection, "GET", path, None, timeout_s)

    def _list(self) -> int | None:
        """Read all records and post them; returns the store revision to watch from, None where it failed."""
        items: list[m.Item] = []
        asked_us = steady_us()
        first_revision: int | None = None
        last_revision = 0
        after = ""
        # Bound: the keys there are; they come in order, so each page begins beyond the one before.
        while True:
            status, body = self._get(m.list_path(PREFIX, after), LISTING_TIMEOUT_S)
            if status != HTTPStatus.OK:
                return None
            page = msgspec.json.decode(body, type=m.Listing)
            # Pages are read one after the other; watching on from the first one's revision mends
            # whatever changed between them.
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
        # Guard: the cache counts as synced once it has come up to the last page.
        self.post(StoreListing(items, first_revision, asked_us, last_revision))
        return first_revision

    def _poll(self, revision: int) -> int | None:
        """Wait for changes after `revision` and post them; returns the store revision they reach.

        None where the store no longer has them, so that only a new listing helps.
        """
        asked_us = steady_us()
        path = m.watch_path(PREFIX, revision, self.wait_us // 1000)
        status, body = self._get(path, self.wait_us / 1e6 + POLL_TIMEOUT_MARGIN_S)
        if status == HTTPStatus.OK:
            changes = msgspec.json.decode(body, type=m.Changes)
            self.post(StoreChanges(changes.events, changes.revision, asked_us))
            return changes.revision
        if status == HTTPStatus.GONE:
            return None
        time.sleep(POLL_RETRY_S)
        return revision
