"""Records the stalls of a controller in the key-value store before its process exits."""

import msgspec

from quinceslip.liveness import stall_records
from quinceslip.protocol import messages as m
from quinceslip.storage.records import StallRecord
from quinceslip.transport.clients import Connection, exchange
from quinceslip.transport.clock import steady_us, wall_us

#: time limit of each of the two requests
CALL_TIMEOUT_S = 1.0


class StallJournal:
    """Writes stall records, and decides how long the exit of the process must be postponed."""

    def __init__(self, label: str, lease_us: int, store_address: tuple[str, int]) -> None:
        self._key = stall_records.key(label)
        self._lease_us = lease_us
        self._store_address = store_address
        self._started_us = steady_us()

    def record(self, part: str) -> int:
        """Record a stall in a part of the actor; returns the microseconds to wait before the process may exit.

        Positive if the last recorded stall is too recent or, if the record can't be read or written, the last start.
        """
        connection = Connection(*self._store_address)
        try:
            return self._record(connection, part)
        except msgspec.DecodeError:
            return self._wait_without_record_us()
        finally:
            connection.close()

    def _record(self, connection: Connection, part: str) -> int:
        now_us = wall_us()
        status, body = exchange(connection, "GET", f"{m.PATH_KV}/{self._key}", None, CALL_TIMEOUT_S)
        if status not in (200, 404):
            return self._wait_without_record_us()
        item = msgspec.json.decode(body, type=m.Item) if status == 200 else None
        last_record = msgspec.json.decode(item.value, type=StallRecord) if item is not None else None
        wait_us = stall_records.next_exit_us(last_record, self._lease_us) - now_us
        if wait_us > 0:
            return wait_us
        # If two processes of one controller overlap, the newer one's record stays even if the older one writes later.
        revision = item.mod_revision if item is not None else 0
        record = stall_records.next_record(last_record, part, now_us, self._lease_us)
        request = m.compare_and_swap_request({self._key: revision}, {self._key: (record, None)}, [])
        status, _ = exchange(connection, "POST", m.PATH_TXN, request, CALL_TIMEOUT_S)
        return 0 if status == 200 else self._wait_without_record_us()

    def _wait_without_record_us(self) -> int:
        """Return the wait when no record could be written: the time since the start alone limits the rate of exits."""
        return stall_records.pause_us(1, self._lease_us) - (steady_us() - self._started_us)
