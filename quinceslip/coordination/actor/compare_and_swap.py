"""Compare-and-swap at the key-value store: conditional writes, their results, and changes that the store rejects."""

import hashlib
import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

import msgspec

from quinceslip.coordination.actor.calls import CallSender
from quinceslip.coordination.actor.effects import TARGET_STORE, UNKNOWN, Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.protocol import messages
from quinceslip.protocol.settings import StateFacts
from quinceslip.storage.cache import StoreCache

log = logging.getLogger(__name__)

#: number of rejected changes that are remembered, so that they are not sent again
MAX_REJECTED_CHANGES = 8_000
#: the store counts as available for this long after its last answer
STORE_ANSWER_MAX_AGE_US = 3 * SECOND
#: response statuses which show that the store is available
_AVAILABLE_STATUSES = (200, 404, 409)
#: statuses of a write that the store will never accept
_REJECTED_STATUSES = (400, 413)
_LOGGED_REASON_BYTES = 200

#: called with the status (200: applied, 409: a condition failed, 400: permanently rejected, others: see
#: `CallOutcome`) and the keys whose condition failed
CompareAndSwapCallback = Callable[[int, list[str]], None]
#: by key: the new value, and the lease that the record is attached to, if any
Puts = Mapping[str, tuple[Any, int | None]]


@dataclass(slots=True)
class _PendingWrite:
    """A compare-and-swap that has been sent."""

    request: dict[str, Any]
    puts: Puts
    deletes: list[str]
    on_result: CompareAndSwapCallback


class StoreWriter(CallSender):
    """Sends conditional writes to the key-value store, and applies those that succeed to the cache."""

    def __init__(self, now_us: int, timeout_us: int, limits: StateFacts) -> None:
        super().__init__(now_us, timeout_us)
        self.limits = limits
        self.cache = StoreCache()
        self.last_store_answer_us = 0  # when the store last answered
        #: called with the keys of the cached records that a write of this controller has changed
        self.on_records_changed: Callable[[Iterable[str]], None] = lambda keys: None
        self._rejected_changes: dict[bytes, None] = {}  # digests, oldest first
        self._rejected_callbacks: list[CompareAndSwapCallback] = []

    def store_available(self) -> bool:
        """Whether the store has answered recently, and the cache is in sync."""
        return self.now_us - self.last_store_answer_us < STORE_ANSWER_MAX_AGE_US and self.cache.synced

    def record_store_status(self, status: int) -> None:
        """Record the time of the answer to a request, if its status shows that the store is available."""
        if status in _AVAILABLE_STATUSES:
            self.last_store_answer_us = self.now_us

    def compare_and_swap(
        self,
        conditions: dict[str, int],
        puts: Puts,
        deletes: list[str],
        on_result: CompareAndSwapCallback,
        urgency: Urgency = Urgency.BACKGROUND,
    ) -> None:
        """Put and delete records if every key in `conditions` has that `mod_revision` (0: the key does not exist).

        On success the cache is updated before `on_result` runs. Changes that the store rejects for their size are
        reported as 400 and logged as an error, and are not sent again. The store answers 400 also if the lease has
        expired, which says nothing about the changes.
        """
        request = messages.compare_and_swap_request(conditions, puts, deletes)
        if self._rejected_changes and _changes_digest(request) in self._rejected_changes:
            # Reported later, like every other result: callers may update their state after this call returns.
            self._rejected_callbacks.append(on_result)
            return
        write = _PendingWrite(request, puts, deletes, on_result)
        self.call(
            TARGET_STORE,
            "POST",
            messages.PATH_TXN,
            request,
            partial(self._handle_write_result, write),
            writes=len(puts) + len(deletes),
            urgency=urgency,
        )

    def _handle_write_result(self, write: _PendingWrite, status: int, body: bytes) -> None:
        self.record_store_status(status)
        if status in _REJECTED_STATUSES and messages.NO_LEASE not in body:
            status = 400
            self._reject(write.request, body)
        failed: list[str] = []
        changed: list[str] = []
        if status in (200, 409):
            try:
                answer = msgspec.json.decode(body, type=messages.CompareAndSwapAnswer)
            except msgspec.DecodeError as error:
                log.error("malformed answer of the key-value store to a compare-and-swap: %s", error)
                write.on_result(UNKNOWN, [])
                return
            failed = answer.failed
            if status == 200:
                for key, (value, _) in write.puts.items():
                    if self.cache.store(key, value, answer.revision):
                        changed.append(key)
                changed += [key for key in write.deletes if self.cache.delete(key, answer.revision)]
        try:
            write.on_result(status, failed)
        finally:
            # Guard: the cache has these changes already, so no later message reports them again.
            self.on_records_changed(changed)

    def _reject(self, request: dict[str, Any], reason: bytes) -> None:
        changes = request["then"]
        keys = [change.get("write") or change["drop"] for change in changes]
        sizes = [len(msgspec.json.encode(change["v"])) for change in changes if "v" in change]
        log.error(
            "key-value store rejected %d changes with %d conditions, the largest value of %d bytes: %s: %s",
            len(changes),
            len(request["if"]),
            max(sizes, default=0),
            ", ".join(keys),
            reason[:_LOGGED_REASON_BYTES].decode("utf-8", "replace"),
        )
        self._rejected_changes[_changes_digest(request)] = None
        if len(self._rejected_changes) > MAX_REJECTED_CHANGES:
            del self._rejected_changes[next(iter(self._rejected_changes))]

    def report_rejected_writes(self) -> None:
        """Report 400 for the writes that were not sent because the store had rejected the same changes before."""
        callbacks, self._rejected_callbacks = self._rejected_callbacks, []
        for on_result in callbacks:
            on_result(400, [])

    def fits_value_limit(self, value: Any) -> bool:
        """Whether a value is within the store's size limit, both the current and the announced one."""
        return len(msgspec.json.encode(value)) <= self.limits.value_kb * 1024

    def delete_obsolete(self, keys: list[str]) -> None:
        """Delete records that nothing reads any more, in batches of the size that a compare-and-swap may have.

        Failures are not retried: a record that is left behind costs only its storage.
        """
        for start in range(0, len(keys), self.limits.txn_ops):
            batch = keys[start : start + self.limits.txn_ops]
            conditions = {key: self.cache.mod_revision(key) for key in batch}
            self.compare_and_swap(conditions, {}, batch, _ignore_result)


def _ignore_result(status: int, failed: list[str]) -> None:
    pass


def _changes_digest(request: dict[str, Any]) -> bytes:
    """Digest of the changes of a compare-and-swap; its conditions do not count towards its size."""
    return hashlib.blake2b(msgspec.json.encode(request["then"]), digest_size=16).digest()
