"""Probes of silent workers, which may just be switching from one controller to another."""

from http import HTTPStatus

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.reconciliation.direct_commands import DirectCommandSender
from quinceslip.coordination.reconciliation.direct_replies import DirectReplyHandler
from quinceslip.coordination.shard_state.delivery import MAX_UNANSWERED_PROBES
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m

#: minimum time between two probes of a worker
PROBE_INTERVAL_US = SECOND // 2
#: time limit of a probe
PROBE_TIMEOUT_US = SECOND


class WorkerProber:
    """Probes single workers, with at most one open probe per worker."""

    def __init__(self, state: ShardState, replies: DirectReplyHandler, direct_commands: DirectCommandSender) -> None:
        self.state = state
        self.ctx = state.ctx
        self.replies = replies
        self.direct_commands = direct_commands

    def send(self, worker: Worker) -> None:
        """Probe a worker for a heartbeat, unless a probe is open or its address is unknown."""
        if worker.probing or not worker.endpoint:
            return
        worker.probing = True
        worker.next_probe_us = self.ctx.now_us + PROBE_INTERVAL_US
        probed_us = self.ctx.now_us

        def on_reply(status: int, body: bytes) -> None:
            worker.probing = False
            if self.state.workers.get(worker.name) is worker:
                self._receive_reply(worker, probed_us, status, body)

        self.ctx.call(worker.endpoint, "GET", m.PATH_INSPECT, None, on_reply, timeout_us=PROBE_TIMEOUT_US)

    def _receive_reply(self, worker: Worker, probed_us: int, status: int, body: bytes) -> None:
        heartbeat = self.replies.decode(worker, body) if status == HTTPStatus.OK else None
        if heartbeat is not None and self.replies.receive(worker, heartbeat):
            self._show_term(worker)
        else:
            self._probe_missed(worker, probed_us)

    def _probe_missed(self, worker: Worker, probed_us: int) -> None:
        """Count a probe that the worker did not reply to, unless there was contact since."""
        if probed_us >= worker.last_contact_us:
            # A worker probed during a network partition may send a heartbeat before the probe fails.
            worker.delivery.probe_missed(probed_us)
        if worker.service_tasks:
            worker.next_probe_us = self.ctx.now_us
        if worker.delivery.unanswered_probes >= MAX_UNANSWERED_PROBES:
            self.state.worker_failed = True

    def _show_term(self, worker: Worker) -> None:
        """Show a worker this leader's term by an empty command, as its next heartbeat may be seconds away."""
        state = self.state
        if worker.fencing_token < state.term and not worker.command_open and state.election.may_launch(state.index):
            self.direct_commands.send(worker, [], [])
