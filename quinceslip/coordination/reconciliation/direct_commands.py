"""Direct commands: what a worker is to do before its next heartbeat."""

import logging
from http import HTTPStatus

from quinceslip.coordination.actor.effects import NOT_SENT
from quinceslip.coordination.reconciliation.direct_replies import DirectReplies
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: after these no launch of the call can still arrive; after anything else (no reply) one may
SETTLED_STATUSES = frozenset({NOT_SENT, HTTPStatus.OK, HTTPStatus.CONFLICT, HTTPStatus.BAD_REQUEST})
#: replies that carry a heartbeat
HEARTBEAT_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.CONFLICT})


class DirectCommandSender:
    """Sends stops and launches as calls of their own, at most one open call a worker."""

    def __init__(self, state: ShardState, replies: DirectReplies) -> None:
        self.state = state
        self.ctx = state.ctx
        self.replies = replies

    def send_due(self) -> None:
        """Send all workers what cannot wait for their next heartbeat."""
        state = self.state
        if not state.workers_to_command or not state.election.may_launch(state.index):
            return
        for name in sorted(state.workers_to_command):
            worker = state.workers.get(name)
            if worker is None or worker.lease_expired:
                state.workers_to_command.discard(name)
            elif self._accepts_calls(worker):
                state.workers_to_command.discard(name)
                self._send_unsent(worker)

    def send(self, worker: Worker, stops: list[Attempt], launches: list[Attempt]) -> None:
        """Send a worker one call with these commands; without any it shows the worker this leader's term."""
        commands = [m.stop(a.name, a.number, a.grace_s) for a in stops]
        commands += [m.launch(a.name, a.number) for a in launches]
        for attempt in stops + launches:
            attempt.sent = True
        for attempt in launches:
            attempt.direct_call_open = True
        worker.command_open = True

        def on_reply(status: int, body: bytes) -> None:
            worker.command_open = False
            for attempt in launches:
                attempt.direct_call_open = False
                if status not in SETTLED_STATUSES:
                    # Our term of now, not of then: whoever shows a later one has seen it after the call was given up.
                    attempt.unanswered_call_term = self.state.term
                    attempt.given_up_us = self.ctx.now_us
            if status in HEARTBEAT_STATUSES:
                self._receive_reply(worker, launches, status, body)

        self.ctx.call(
            worker.endpoint, "POST", m.PATH_DO, m.DirectCommands(self.state.term, worker.epoch, commands), on_reply
        )

    @staticmethod
    def _accepts_calls(worker: Worker) -> bool:
        """Whether a worker may get a call now.

        One that does not answer would hold a thread until the time limit, and healthy ones would wait behind it; it
        gets its commands in the answer to its next heartbeat.
        """
        return bool(not worker.command_open and not worker.delivery.suspect and worker.endpoint and worker.fenced)

    def _send_unsent(self, worker: Worker) -> None:
        """Send the stops and launches of a worker that have not been sent yet."""
        unsent = [a for a in worker.attempts.values() if not a.sent and not a.end_cause]
        stops = [a for a in unsent if a.stopping and a.observed and a.state != m.FLUSHING]
        launches = [a for a in unsent if not a.stopping and not a.observed]
        if stops or launches:
            self.send(worker, stops, launches)

    def _receive_reply(self, worker: Worker, launches: list[Attempt], status: int, body: bytes) -> None:
        heartbeat = self.replies.decode(worker, body)
        if status == HTTPStatus.OK and (heartbeat is None or heartbeat.worker != worker.name):
            self._mark_answered_by_other(launches)
        if heartbeat is None:
            return
        if status == HTTPStatus.OK and launches and heartbeat.worker != worker.name:
            self._revoke_launches(worker.endpoint, launches, heartbeat)
        if self.state.workers.get(worker.name) is worker:
            self.replies.receive(worker, heartbeat)

    def _mark_answered_by_other(self, launches: list[Attempt]) -> None:
        """Note that somebody else than their worker has carried launches out."""
        for attempt in launches:
            attempt.answered_by_other_machine = True
            attempt.given_up_us = self.ctx.now_us

    def _revoke_launches(self, endpoint: str, launches: list[Attempt], heartbeat: m.WorkerHeartbeat) -> None:
        """Stop launches that another machine at the same address has carried out, at once, before they begin.

        A machine may be back as another one at its address, in the same epoch as the one before. This saves work and
        proves nothing: the stop may be lost, or refused by a machine that obeys another leader by now. What holds the
        tasks back is that their address is not settled (`AddressChecks`).
        """
        log.info("launches revoked worker=%s count=%d", heartbeat.worker, len(launches))
        stops = [m.stop(a.name, a.number, 0.0) for a in launches]
        commands = m.DirectCommands(self.state.term, heartbeat.epoch, stops)
        self.ctx.call(endpoint, "POST", m.PATH_DO, commands, _ignore_reply)


def _ignore_reply(status: int, body: bytes) -> None:
    """The next heartbeat of the machine shows what came of it."""
