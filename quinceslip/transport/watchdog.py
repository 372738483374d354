"""The thread that watches the actor, and ends the process when the actor stalls.

A controller whose actor makes no progress keeps its connections, renews no lease and answers nobody: worse than one
that ended, since nothing starts it again. So it logs where it stalled, records it in the key-value store, and ends.
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

from quinceslip.liveness.stall_detector import Sample, StallDetector
from quinceslip.transport.clock import steady_us
from quinceslip.transport.stall_journal import StallJournal

log = logging.getLogger(__name__)

#: status of a process that ended because its actor stalled (EX_TEMPFAIL: start it again)
STALL_EXIT_STATUS = 75
#: what is waited for the log to take a line
LOG_TIMEOUT_S = 0.5


class Watchdog:
    """Watches one thread. `turns` must grow with every turn, at least some times in `limit_us`, even when idle.

    `part` names the part of the actor that works, for the log and the record.
    """

    def __init__(
        self,
        thread: threading.Thread,
        turns: Callable[[], int],
        part: Callable[[], str],
        limit_us: int,
        journal: StallJournal,
    ) -> None:
        self._thread = thread
        self._turns = turns
        self._part = part
        self._journal = journal
        self._detector = StallDetector(limit_us, steady_us())
        self._clock_id: int | None = None  # of the thread's processor time
        self._not_before_us = 0  # steady clock: no end, and no further record, before
        threading.Thread(target=self._run, name="watchdog", daemon=True).start()

    def _run(self) -> None:
        turns = -1
        # Bound: none, it is this thread's life.
        while True:
            time.sleep(self._detector.period_us / 1e6)
            try:
                turns = self._watch(turns)
            except Exception as error:  # noqa: BLE001 - whoever watches must go on
                self._log(partial(log.error, "watchdog", exc_info=error))

    def _watch(self, last_turns: int) -> int:
        """Look at the thread once, and return its turns."""
        turns = self._turns()
        stall = self._detector.add(self._sample(turns, last_turns)) if self._thread.is_alive() else "has ended"
        if stall and steady_us() >= self._not_before_us:
            self._on_stall(stall, turns)
        return turns

    def _sample(self, turns: int, last_turns: int) -> Sample:
        # The place is only asked for while the actor makes no turn: that looks at every thread.
        frame = self._frame() if turns == last_turns else None
        place = (id(frame), frame.f_lasti) if frame is not None else None
        return Sample(steady_us(), turns, self._cpu_us(), place)

    def _frame(self) -> FrameType | None:
        """The innermost frame of the thread; None where it has ended."""
        return sys._current_frames().get(self._thread.ident or 0)  # noqa: SLF001 - the documented way

    def _cpu_us(self) -> int | None:
        """Processor time of the thread; None where the system does not tell."""
        try:
            if self._clock_id is None:
                self._clock_id = time.pthread_getcpuclockid(self._thread.ident or 0)
            return time.clock_gettime_ns(self._clock_id) // 1000
        except (OSError, AttributeError):
            return None

    def _on_stall(self, stall: str, turns: int) -> None:
        """Log and record the stall, and end the process unless the last end was too short a while ago."""
        part = self._part()
        stack = "".join(traceback.format_stack(self._frame()) if self._thread.is_alive() else ["  nowhere\n"])
        self._log(lambda: log.error("the actor stands still: it %s (%s), at\n%s", stall, part, stack))
        wait_us = self._journal.record(part)
        if wait_us > 0:
            self._not_before_us = steady_us() + wait_us
            self._log(lambda: log.error("not ended for %.0f s: too soon after the last time", wait_us / 1e6))
        elif self._turns() == turns:
            self._log(
                lambda: log.error("ending with status %d, to be started again", STALL_EXIT_STATUS),
                lambda: faulthandler.dump_traceback(all_threads=True),
                sys.stderr.flush,
            )
            os._exit(STALL_EXIT_STATUS)

    def _log(self, *steps: Callable[[], object]) -> None:
        """Log without waiting for long: the actor may stall since nobody reads the log, and hold its lock."""
        thread = threading.Thread(target=lambda: [step() for step in steps], name="watchdog-log", daemon=True)
        thread.start()
        thread.join(LOG_TIMEOUT_S)
