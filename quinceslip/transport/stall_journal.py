"""Records the stalls of one controller in the key-value store, before the process ends."""

import msgspec

from quinceslip.liveness import stall_records
from quinceslip.protocol import messages as m
from quinceslip.storage.records import StallRecord
from quinceslip.transport.clients import Connection, exchange
from quinceslip.transport.clock import steady_us, wall_us

#: time limit of each of the two calls
CALL_TIMEOUT_S = 1.0


class StallJournal:
    """Writes the record of a stall, and says how long the process is not to end for it."""

    def __init__(self, label: str, lease_us: int, store: tuple[str, int]) -> None:
        self._key = stall_records.key(label)
        self._lease_us = lease_us
        self._store = store
        self._started_us = steady_us()

    def record(self, part: str) -> int:
        """Record a stall in a part of the actor.

        Returns the microseconds to wait, positive where the last one was too short a while ago, or can't be known.
        """
        connection = Connection(*self._store)
        try:
            return self._record(connection, part)
        except msgspec.DecodeError:
            return self._wait_without_record()
        finally:
            connection.close()

    def _record(self, connection: Connection, part: str) -> int:
        now_us = wall_us()
        status, body = exchange(connection, "GET", f"{m.PATH_KV}/{self._key}", None, CALL_TIMEOUT_S)
        if status not in (200, 404):
            return self._wait_without_record()
        item = msgspec.json.decode(body, type=m.Item) if status == 200 else None
        last = msgspec.json.decode(item.value, type=StallRecord) if item is not None else None
        wait_us = stall_records.next_exit_us(last, self._lease_us) - now_us
        if wait_us > 0:
            return wait_us
        # Of two processes of one controller the later one's record stays, however late the other's is written.
        revision = item.mod_revision if item is not None else 0
        record = stall_records.next_record(last, part, now_us, self._lease_us)
        request = m.compare_and_swap_request({self._key: revision}, {self._key: (record, None)}, [])
        status, _ = exchange(connection, "POST", m.PATH_TXN, request, CALL_TIMEOUT_S)
        return 0 if status == 200 else self._wait_without_record()

    def _wait_without_record(self) -> int:
        """Without one, the time since the start alone bounds how often."""
        return stall_records.pause_us(1, self._lease_us) - (steady_us() - self._started_us)
