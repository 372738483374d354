"""The cloud's list of machines, asked for page by page."""

import logging
from collections.abc import Callable

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

REQUEST_TIMEOUT_US = 3 * SECOND
MIN_LIST_PERIOD_US = 2 * SECOND
#: part of this controller's calls to the cloud that go to the list: half of them are left for scale out and deletions
LIST_PART = 1 / 4
#: the least rate of lists a second that is counted with
MIN_LIST_RATE = 0.05

MachinesByName = dict[str, m.CloudMachine]


class MachineLister:
    """Asks for the list when it is due; `on_listed` takes each complete one, and when it was asked for."""

    def __init__(self, ctx: Context, on_listed: Callable[[MachinesByName, int], None]) -> None:
        self.ctx = ctx
        self.on_listed = on_listed
        self.in_progress = False
        self.next_list_us = 0
        self.asked_us = 0  # when the last list was asked for
        rate = ctx.settings.facts.cloud.rps / ctx.settings.facts.size
        self.period_us = max(int(SECOND / max(rate * LIST_PART, MIN_LIST_RATE)), MIN_LIST_PERIOD_US)

    def request_if_due(self, wanted_us: int | None) -> None:
        """Ask for the first page, unless a list is on its way.

        Somebody waits for a list that was asked for at `wanted_us` or later (None: nobody): it comes up to half a
        period sooner for that.
        """
        if self.in_progress or not self._is_due(wanted_us):
            return
        self.in_progress = True
        self.asked_us = asked_us = self.ctx.now_us
        found: MachinesByName = {}

        def on_page(status: int, body: bytes) -> None:
            page = _decode_page(status, body)
            if page is None:
                self._end()
                return
            found.update({host.machine: host for host in page.machines})
            if page.more and page.machines:
                self._request_page(page.machines[-1].machine, on_page)
                return
            self._end()
            self.on_listed(found, asked_us)

        self._request_page("", on_page)

    def _is_due(self, wanted_us: int | None) -> bool:
        now_us = self.ctx.now_us
        if now_us >= self.next_list_us:
            return True
        is_wanted = wanted_us is not None and self.asked_us < wanted_us <= now_us
        return is_wanted and now_us >= self.next_list_us - self.period_us // 2

    def _request_page(self, after: str, on_page: Callable[[int, bytes], None]) -> None:
        path = m.machines_path(after)
        self.ctx.call("cloud", "GET", path, None, on_page, timeout_us=REQUEST_TIMEOUT_US, urgency=Urgency.BACKGROUND)

    def _end(self) -> None:
        self.in_progress = False
        self.next_list_us = self.ctx.now_us + self.period_us


def _decode_page(status: int, body: bytes) -> m.MachineListing | None:
    """One page of the list; None where the cloud did not answer with one."""
    if status != 200:
        return None
    try:
        return msgspec.json.decode(body, type=m.MachineListing)
    except msgspec.DecodeError as error:
        log.error("cloud answered nonsense: %s", error)
        return None
