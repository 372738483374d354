"""The thread that watches the actor, and exits the process when the actor stalls.

A controller whose actor makes no progress keeps its connections open, but renews no lease and answers no request. That
is worse than a crash, since nothing restarts it. So it logs where it stalled, records the stall in the key-value store,
and exits.
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

#: exit status after a stall of the actor (EX_TEMPFAIL: to be restarted)
STALL_EXIT_STATUS = 75
#: longest wait for a log call to return
LOG_TIMEOUT_S = 0.5


class Watchdog:
    """Watches a thread.

    `progress` returns a counter that must grow several times within `limit_us`, even when the thread is idle. `part`
    returns the name of the active part of the actor, for the log and the stall record.
    """

    def __init__(
        self,
        thread: threading.Thread,
        progress: Callable[[], int],
        part: Callable[[], str],
        limit_us: int,
        journal: StallJournal,
    ) -> None:
        self._thread = thread
        self._progress = progress
        self._part = part
        self._journal = journal
        self._detector = StallDetector(limit_us, steady_us())
        self._clock_id: int | None = None  # of the thread's CPU time
        self._suppressed_until_us = 0  # steady clock: neither exit nor record a stall before this
        threading.Thread(target=self._run, name="watchdog", daemon=True).start()

    def _run(self) -> None:
        progress_count = -1
        # Bound: none, it runs as long as the process.
        while True:
            time.sleep(self._detector.period_us / 1e6)
            try:
                progress_count = self._watch(progress_count)
            except Exception as error:  # noqa: BLE001 - the watchdog must keep running
                self._log(partial(log.error, "watchdog check failed", exc_info=error))

    def _watch(self, last_count: int) -> int:
        """Check the thread once and return its progress counter."""
        progress_count = self._progress()
        stall = self._detector.add(self._sample(progress_count, last_count)) if self._thread.is_alive() else "has ended"
        if stall and steady_us() >= self._suppressed_until_us:
            self._on_stall(stall, progress_count)
        return progress_count

    def _sample(self, progress_count: int, last_count: int) -> Sample:
        # The frame is only read while the actor makes no progress: `_current_frames` visits every thread.
        frame = self._frame() if progress_count == last_count else None
        place = (id(frame), frame.f_lasti) if frame is not None else None
        return Sample(steady_us(), progress_count, self._cpu_us(), place)

    def _frame(self) -> FrameType | None:
        """Return the innermost frame of the thread; None if it has ended."""
        return sys._current_frames().get(self._thread.ident or 0)  # noqa: SLF001 - documented in spite of its name

    def _cpu_us(self) -> int | None:
        """Return the CPU time of the thread; None if the system doesn't provide it."""
        try:
            if self._clock_id is None:
                self._clock_id = time.pthread_getcpuclockid(self._thread.ident or 0)
            return time.clock_gettime_ns(self._clock_id) // 1000
        except (OSError, AttributeError):
            return None

    def _on_stall(self, stall: str, progress_count: int) -> None:
        """Log and record the stall, and exit the process unless the last exit is too recent."""
        part = self._part()
        stack = "".join(traceback.format_stack(self._frame()) if self._thread.is_alive() else ["  nowhere\n"])
        self._log(lambda: log.error("actor stalled: it %s (%s), at\n%s", stall, part, stack))
        wait_us = self._journal.record(part)
        if wait_us > 0:
            self._suppressed_until_us = steady_us() + wait_us
            self._log(lambda: log.error("not exiting for %.0f s: the last exit is too recent", wait_us / 1e6))
        elif self._progress() == progress_count:
            self._log(
                lambda: log.error("exiting with status %d to be restarted", STALL_EXIT_STATUS),
                lambda: faulthandler.dump_traceback(all_threads=True),
                sys.stderr.flush,
            )
            os._exit(STALL_EXIT_STATUS)

    def _log(self, *calls: Callable[[], object]) -> None:
        """Run log calls without blocking for long: the actor may have stalled in a log call, holding the log's lock."""
        thread = threading.Thread(target=lambda: [call() for call in calls], name="watchdog-log", daemon=True)
        thread.start()
        thread.join(LOG_TIMEOUT_S)
