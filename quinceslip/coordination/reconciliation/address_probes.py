"""Probes of the addresses of lost workers: which machine is there now, and which of our tasks does it have?"""

from http import HTTPStatus

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.reconciliation.address_checks import AddressCheck, AddressChecks
from quinceslip.coordination.reconciliation.direct_replies import DirectReplyHandler
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.protocol import messages as m

#: minimum time between two probes of an address
PROBE_INTERVAL_US = SECOND // 2
#: time limit of a probe
PROBE_TIMEOUT_US = SECOND


class AddressProber:
    """Probes addresses that are not cleared, and has the machines there stop the tasks; one open call per address."""

    def __init__(self, state: ShardState, checks: AddressChecks, replies: DirectReplyHandler) -> None:
        self.state = state
        self.ctx = state.ctx
        self.checks = checks
        self.replies = replies

    def probe_due(self) -> None:
        """Probe every address that is not cleared and whose next probe is due."""
        for check in list(self.checks.open.values()):
            if not check.probing and self.ctx.now_us >= check.next_probe_us:
                self._probe(check)

    def _probe(self, check: AddressCheck) -> None:
        check.probing = True
        check.next_probe_us = self.ctx.now_us + PROBE_INTERVAL_US
        asked_us = self.ctx.now_us

        def on_reply(status: int, body: bytes) -> None:
            check.probing = False
            heartbeat = self.replies.decode(check.worker, body) if status == HTTPStatus.OK else None
            if heartbeat is not None:
                self.receive(check, heartbeat, asked_us)

        self.ctx.call(check.endpoint, "GET", m.PATH_INSPECT, None, on_reply, timeout_us=PROBE_TIMEOUT_US)

    def receive(self, check: AddressCheck, heartbeat: m.WorkerHeartbeat, asked_us: int) -> None:
        """Apply the answer of the machine at the address, and send it the commands needed to clear the address."""
        if self.checks.open.get(check.worker.name) is not check:
            return
        if heartbeat.worker in self.state.workers:
            self.replies.receive_heartbeat(heartbeat, True)
        running = self.checks.occupant_answered(check, heartbeat, asked_us)
        is_open = self.checks.open.get(check.worker.name) is check
        if is_open and (running or not self.checks.drops_late_launches(check, heartbeat)):
            self._send_stops(check, heartbeat, running)

    def _send_stops(self, check: AddressCheck, heartbeat: m.WorkerHeartbeat, running: list[m.TaskStatus]) -> None:
        """Stop tasks at the address, and show the machine there a token by which it drops late launches.

        If our tokens are too low for that, claim a higher term first: the machine may obey another leader by now.
        """
        state = self.state
        needed_token = max(check.latest_token + 1, heartbeat.fencing_token)
        if state.tokens.last < needed_token:
            state.raise_term(needed_token - 1)
        if state.tokens.last < heartbeat.fencing_token or not state.election.may_launch(state.index):
            return
        fencing_token = state.tokens.accepted_after(needed_token)
        own_worker = state.workers.get(heartbeat.worker)
        if own_worker is not None:
            state.tokens.raise_above(own_worker, fencing_token - 1)
        # Those that do not fit into one message follow after the next answer.
        stops = [m.stop(status.task, status.attempt, 0.0) for status in running[: m.MAX_COMMANDS]]
        commands = m.DirectCommands(fencing_token, heartbeat.epoch, stops)
        check.probing = True

        def on_reply(status: int, body: bytes) -> None:
            check.probing = False
            check.next_probe_us = self.ctx.now_us  # the next answer clears it or leads to more stops

        self.ctx.call(check.endpoint, "POST", m.PATH_COMMANDS, commands, on_reply)
