"""The thread that looks at the actor, and ends the process when it stands still.

A controller whose actor does not turn holds its connections, renews no lease and answers nobody: worse than one that
ended, since nothing starts it again. So it says where it stands, notes it in the state service, and ends.
"""

import faulthandler
import logging
import os
import sys
import threading
import time
import traceback
from collections.abc import Callable
from functools import partial
from types import FrameType

import msgspec

from quinceslip.liveness import stall_records
from quinceslip.liveness.stall_detector import Sample, StallDetector
from quinceslip.protocol import messages as m
from quinceslip.storage.records import StallRecord
from quinceslip.transport.clients import Connection, exchange
from quinceslip.transport.clock import steady_us, wall_us

log = logging.getLogger(__name__)

#: status of a process that ended because its actor stood still (EX_TEMPFAIL: start it again)
STATUS = 75
#: each of the two calls that note it
NOTE_S = 1.0
#: what is waited for the log to take a line
SAY_S = 0.5


class Watchdog:
    """Watches one thread. `turns` must grow with every turn, at least some times in `limit_us`, even when idle."""

    def __init__(
        self,
        label: str,
        thread: threading.Thread,
        turns: Callable[[], int],
        part: Callable[[], str],
        limit_us: int,
        lease_us: int,
        state: tuple[str, int],
    ) -> None:
        self.label = label
        self.thread = thread
        self.turns = turns
        self.part = part
        self.lease_us = lease_us
        self.state = state
        self.started_us = steady_us()
        self.judge = StallDetector(limit_us, self.started_us)
        self.clock: int | None = None  # of the thread's processor time
        self.not_before_us = 0  # steady clock: no end, and no further note, before
        threading.Thread(target=self._run, name="watchdog", daemon=True).start()

    def _run(self) -> None:
        turns = -1
        # Bound: none, it is this thread's life.
        while True:
            time.sleep(self.judge.period_us / 1e6)
            try:
                before, turns = turns, self.turns()
                how = self.judge.add(self._seen(turns, before)) if self.thread.is_alive() else "has ended"
                if how and steady_us() >= self.not_before_us:
                    self._stands_still(how, turns)
            except Exception as error:
                self._say(partial(log.error, "watchdog", exc_info=error))

    def _frame(self) -> FrameType | None:
        return sys._current_frames().get(self.thread.ident or 0)

    def _seen(self, turns: int, before: int) -> Sample:
        # Where the actor is is only asked for while it makes no turn: it takes a look at every thread.
        frame = self._frame() if turns == before else None
        return Sample(steady_us(), turns, self._cpu_us(), (id(frame), frame.f_lasti) if frame is not None else None)

    def _cpu_us(self) -> int | None:
        try:
            if self.clock is None:
                self.clock = time.pthread_getcpuclockid(self.thread.ident or 0)
            return time.clock_gettime_ns(self.clock) // 1000
        except (OSError, AttributeError):
            return None

    def _say(self, *lines: Callable[[], object]) -> None:
        """Log without waiting for long: the actor may stand still since nobody reads the log, and hold its lock."""
        saying = threading.Thread(target=lambda: [line() for line in lines], name="watchdog-log", daemon=True)
        saying.start()
        saying.join(SAY_S)

    def _stands_still(self, how: str, turns: int) -> None:
        part = self.part()
        where = "".join(traceback.format_stack(self._frame()) if self.thread.is_alive() else ["  nowhere\n"])
        self._say(lambda: log.error("the actor stands still: it %s (%s), at\n%s", how, part, where))
        wait_us = self._note(part)
        if wait_us > 0:
            self.not_before_us = steady_us() + wait_us
            self._say(lambda: log.error("not ended for %.0f s: too soon after the last time", wait_us / 1e6))
        elif self.turns() == turns:
            self._say(
                lambda: log.error("ending with status %d, to be started again", STATUS),
                lambda: faulthandler.dump_traceback(all_threads=True),
                sys.stderr.flush,
            )
            os._exit(STATUS)

    def _note(self, part: str) -> int:
        """Note this end; microseconds to wait where the last one was too short a while ago, or can't be known."""
        connection = Connection(*self.state)
        now_us = wall_us()
        path, key = f"{m.PATH_KV}/{stall_records.key(self.label)}", stall_records.key(self.label)
        try:
            status, body = exchange(connection, "GET", path, None, NOTE_S)
            if status not in (200, 404):
                return self._wait_without_note()
            item = msgspec.json.decode(body, type=m.Item) if status == 200 else None
            note = msgspec.json.decode(item.value, type=StallRecord) if item is not None else None
            wait_us = stall_records.next_end_us(note, self.lease_us) - now_us
            if wait_us > 0:
                return wait_us
            # Of two lives of one controller the later one's note stays, however late the other's is written.
            record = stall_records.following(note, part, now_us, self.lease_us)
            status, _ = exchange(
                connection,
                "POST",
                m.PATH_TXN,
                m.compare_and_swap_request(
                    {key: item.mod_revision if item is not None else 0}, {key: (record, None)}, []
                ),
                NOTE_S,
            )
            return 0 if status == 200 else self._wait_without_note()
        except msgspec.DecodeError:
            return self._wait_without_note()
        finally:
            connection.close()

    def _wait_without_note(self) -> int:
        """Without one, the time since the start alone bounds how often."""
        return stall_records.pause_us(1, self.lease_us) - (steady_us() - self.started_us)
