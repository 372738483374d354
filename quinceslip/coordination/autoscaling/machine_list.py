"""Requests the cloud's list of machines page by page."""

import logging
from collections.abc import Callable

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import TARGET_CLOUD, Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

REQUEST_TIMEOUT_US = 3 * SECOND
MIN_LIST_PERIOD_US = 2 * SECOND
#: fraction of this controller's calls to the cloud that go to the list; half of the calls are left for scale out and
#: deletions
LIST_CALL_FRACTION = 1 / 4
#: lower bound of the list rate
MIN_LISTS_PER_S = 0.05

MachinesByName = dict[str, m.CloudMachine]


class MachineLister:
    """Requests the list when it is due; `on_listed` receives each complete list and the time of its request."""

    def __init__(self, ctx: Context, on_listed: Callable[[MachinesByName, int], None]) -> None:
        self.ctx = ctx
        self.on_listed = on_listed
        self.in_progress = False
        self.next_list_us = 0
        self.requested_us = 0  # when the last list was requested
        calls_per_s = ctx.settings.facts.cloud.rps / ctx.settings.facts.size
        self.period_us = max(int(SECOND / max(calls_per_s * LIST_CALL_FRACTION, MIN_LISTS_PER_S)), MIN_LIST_PERIOD_US)

    def request_if_due(self, wanted_us: int | None) -> None:
        """Request the first page, unless a list is in progress.

        If a caller needs a list requested at `wanted_us` or later, it is requested up to half a period early.
        """
        if self.in_progress or not self._is_due(wanted_us):
            return
        self.in_progress = True
        self.requested_us = requested_us = self.ctx.now_us
        found: MachinesByName = {}

        def on_page(status: int, body: bytes) -> None:
            page = _decode_page(status, body)
            if page is None:
                self._finish()
                return
            found.update({entry.machine: entry for entry in page.machines})
            if page.more and page.machines:
                self._request_page(page.machines[-1].machine, on_page)
                return
            self._finish()
            self.on_listed(found, requested_us)

        self._request_page("", on_page)

    def _is_due(self, wanted_us: int | None) -> bool:
        now_us = self.ctx.now_us
        if now_us >= self.next_list_us:
            return True
        is_wanted = wanted_us is not None and self.requested_us < wanted_us <= now_us
        return is_wanted and now_us >= self.next_list_us - self.period_us // 2

    def _request_page(self, after: str, on_page: Callable[[int, bytes], None]) -> None:
        path = m.machines_path(after)
        self.ctx.call(
            TARGET_CLOUD, "GET", path, None, on_page, timeout_us=REQUEST_TIMEOUT_US, urgency=Urgency.BACKGROUND
        )

    def _finish(self) -> None:
        self.in_progress = False
        self.next_list_us = self.ctx.now_us + self.period_us


def _decode_page(status: int, body: bytes) -> m.MachineListing | None:
    """Decode one page of the list; None if the answer is not a valid page."""
    if status != 200:
        return None
    try:
        return m.read_machine_listing(body)
    except msgspec.DecodeError as error:
        log.error("cloud sent an invalid machine list: %s", error)
        return None
