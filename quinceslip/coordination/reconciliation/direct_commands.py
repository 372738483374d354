"""Direct commands, which a worker gets before its next heartbeat."""

import logging
from http import HTTPStatus

from quinceslip.coordination.actor.effects import NOT_SENT
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.reconciliation.direct_replies import DirectReplyHandler
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: after these statuses no launch of the call can still arrive; without a reply it may
FINAL_STATUSES = frozenset({NOT_SENT, HTTPStatus.OK, HTTPStatus.CONFLICT, HTTPStatus.BAD_REQUEST})
#: statuses of replies that carry a heartbeat
HEARTBEAT_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.CONFLICT})


class DirectCommandSender:
    """Sends stops and launches in direct calls, with at most one open call per worker."""

    def __init__(self, state: ShardState, replies: DirectReplyHandler) -> None:
        self.state = state
        self.ctx = state.ctx
        self.replies = replies

    def send_due(self) -> None:
        """Send the commands that cannot wait for the next heartbeat of their workers."""
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
        """Send a worker one call with these commands; an empty call only shows the worker this leader's term."""
        commands = [m.stop(a.name, a.number, a.grace_s) for a in stops]
        commands += [m.launch(a.name, a.number) for a in launches]
        for attempt in stops + launches:
            attempt.sent = True
        fencing_token = self.state.tokens.current(worker)
        for attempt in launches:
            attempt.direct_call_open = True
            self.state.tokens.launch_called(attempt, fencing_token)
        worker.command_open = True

        sent_us = self.ctx.now_us
        _log_commands("commands sent", worker, fencing_token, commands)

        def on_reply(status: int, body: bytes) -> None:
            worker.command_open = False
            log.debug(
                "commands answered worker=%s status=%d after_s=%.3f",
                worker.name,
                status,
                (self.ctx.now_us - sent_us) / SECOND,
            )
            for attempt in launches:
                attempt.direct_call_open = False
                if status not in FINAL_STATUSES:
                    # The current token, not that of the call: a later one is only seen after the call was given up.
                    attempt.unanswered_call_token = self.state.tokens.current(worker)
                    attempt.given_up_us = self.ctx.now_us
            if status in HEARTBEAT_STATUSES:
                self._receive_reply(worker, launches, status, body)

        self.ctx.call(
            worker.endpoint,
            "POST",
            m.PATH_COMMANDS,
            m.DirectCommands(fencing_token, worker.epoch, commands),
            on_reply,
        )

    @staticmethod
    def _accepts_calls(worker: Worker) -> bool:
        """Whether a worker may get a call now.

        A call to a worker that does not answer would occupy a thread until the time limit and delay calls to healthy
        workers. Such a worker gets its commands in the answer to its next heartbeat.
        """
        return bool(not worker.command_open and not worker.delivery.suspect and worker.endpoint and worker.fenced)

    def _send_unsent(self, worker: Worker) -> None:
        """Send a worker its stops and launches that have not been sent yet, as many as fit into a message."""
        unsent = [a for a in worker.attempts.values() if not a.sent and not a.end_cause]
        stops = [a for a in unsent if a.stopping and a.observed and a.state != m.FLUSHING]
        launches = [a for a in unsent if not a.stopping and not a.observed and not a.withheld]
        if len(stops) + len(launches) > m.MAX_COMMANDS:
            self.state.workers_to_command.add(worker.name)  # the others follow once this call is answered
        stops = stops[: m.MAX_COMMANDS]
        launches = launches[: m.MAX_COMMANDS - len(stops)]
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
        """Record that another machine than their worker has carried out these launches."""
        for attempt in launches:
            attempt.answered_by_other_machine = True
            attempt.given_up_us = self.ctx.now_us

    def _revoke_launches(self, endpoint: str, launches: list[Attempt], heartbeat: m.WorkerHeartbeat) -> None:
        """Stop launches that another machine at the same address has carried out, before their tasks begin.

        A machine may return under another name at the same address, with the same epoch number as before. This saves
        work but proves nothing: the stop may be lost, or refused by a machine that obeys another leader by now. Safety
        comes from the check of the address, which keeps the tasks from starting elsewhere (`AddressChecks`).
        """
        log.info("launches revoked worker=%s count=%d", heartbeat.worker, len(launches))
        stops = [m.stop(a.name, a.number, 0.0) for a in launches]
        fencing_token = self.state.tokens.accepted_after(heartbeat.fencing_token)
        commands = m.DirectCommands(fencing_token, heartbeat.epoch, stops)
        self.ctx.call(endpoint, "POST", m.PATH_COMMANDS, commands, _ignore_reply)


def _log_commands(event: str, worker: Worker, fencing_token: int, commands: list[m.Command]) -> None:
    """Log at `debug` which attempts a call launches or stops, and under which token and epoch."""
    if log.isEnabledFor(logging.DEBUG):
        orders = " ".join(f"{command.op}={command.task}@{command.attempt}" for command in commands)
        log.debug("%s worker=%s token=%d epoch=%d %s", event, worker.name, fencing_token, worker.epoch, orders)


def _ignore_reply(status: int, body: bytes) -> None:
    """Ignore the reply: the machine's next heartbeat shows the effect."""
