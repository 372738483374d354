"""Keeps the actor's view of the records up to date: a listing, then one long poll after another."""

import logging
import threading
import time
from collections.abc import Callable
from typing import Any

import msgspec

from quinceslip.coordination.actor.effects import StoreChanges, StoreListing
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import split_address
from quinceslip.storage.records import PREFIX
from quinceslip.transport.clients import Connection, exchange
from quinceslip.transport.clock import steady_us

log = logging.getLogger(__name__)


class Watch:
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
            try:
                revision = self._list() if revision is None else self._poll(revision)
            except msgspec.DecodeError as error:
                log.error("state service answered nonsense: %s", error)
                revision = None
            except Exception:
                log.exception("watch")
                revision = None
            time.sleep(self.pause_us / 1e6 if revision is not None else 0.3)

    def _get(self, path: str, timeout_s: float) -> tuple[int, bytes]:
        return exchange(self.connection, "GET", path, None, timeout_s)

    def _list(self) -> int | None:
        items: list[m.Item] = []
        asked_us = steady_us()
        first: int | None = None
        last = 0
        after = ""
        # Bound: the keys there are; they come in order, so each page begins beyond the one before.
        while True:
            status, body = self._get(m.list_path(PREFIX, after), 2.0)
            if status != 200:
                return None
            page = msgspec.json.decode(body, type=m.Listing)
            # Pages are read one after the other; watching on from the first one's ledger mends
            # whatever changed between them.
            first = page.revision if first is None else first
            last = page.revision
            items += page.items
            if not page.more or not page.items:
                break
            if page.items[-1].key <= after:
                log.error("state service lists %s after %s", page.items[-1].key, after)
                return None
            after = page.items[-1].key
        # Guard: the view counts as loaded once it has come up to the last page.
        self.post(StoreListing(items, first, asked_us, last))
        return first

    def _poll(self, revision: int) -> int | None:
        asked_us = steady_us()
        path = m.watch_path(PREFIX, revision, self.wait_us // 1000)
        status, body = self._get(path, self.wait_us / 1e6 + 1.0)
        if status == 200:
            changes = msgspec.json.decode(body, type=m.Changes)
            self.post(StoreChanges(changes.events, changes.revision, asked_us))
            return changes.revision
        if status == 410:
            return None
        time.sleep(0.2)
        return revision
