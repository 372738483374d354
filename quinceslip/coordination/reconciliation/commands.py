"""What the workers of a shard are told: answers to reports, direct commands, probes.

Nothing is reaped while a direct launch of it is unanswered: the worker would have forgotten the
attempt and would start it again.
"""

import logging
from collections.abc import Callable

import msgspec

from quinceslip.coordination.actor.effects import NOT_SENT
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.jobs.persistence import JobPersistence
from quinceslip.coordination.reconciliation.delivery import MAX_UNANSWERED_PROBES
from quinceslip.coordination.shard.state import ShardState
from quinceslip.coordination.shard.worker import Attempt, Worker
from quinceslip.protocol import messages as m
from quinceslip.storage import records

log = logging.getLogger(__name__)


class CommandSender:
    def __init__(
        self, state: ShardState, persistence: JobPersistence, reported: Callable[[m.WorkerHeartbeat, bool], object]
    ) -> None:
        self.state = state
        self.ctx = state.ctx
        self.persistence = persistence
        self.receive_heartbeat = reported

    def commands_for(self, worker: Worker, may_launch: bool = True) -> list[m.Command]:
        """What the answer to a report says; repeated until a report shows it happened.

        Guard: whoever is not entitled still tells what is over to end. An owner may have heard of a cancellation long
        before it lost the state service, and its halts may have been lost; an answer without them would renew the
        lease of cancelled work until after `cancel_s`. A final record stays final, so this needs no right.
        """
        state = self.state
        stops: list[m.Command] = []
        launches: list[m.Command] = []
        acknowledgements: list[m.Command] = []
        for name, attempt in list(worker.attempts.items()):
            if not may_launch and not (
                attempt.stopping and not attempt.end_cause and self._job_finished(attempt.job_id)
            ):
                continue
            if not attempt.observed:
                if attempt.stopping:
                    if state.settled(worker, attempt) or "pinned" not in state.guards:
                        # Launches in answers to reports are settled by the next report.
                        state.requeue(worker, attempt)
                        state.detach(worker, name)
                        continue
                    # A direct launch may still arrive: let the attempt exist, ended.
                    launches += [m.launch(name, attempt.number), m.stop(name, attempt.number, 0.0)]
                    if may_launch:
                        state.raise_term()
                else:
                    launches.append(m.launch(name, attempt.number))
                    attempt.sent = True
            elif not attempt.end_cause:
                if attempt.stopping and (attempt.state != m.FLUSHING or attempt.grace_s == 0):
                    stops.append(m.stop(name, attempt.number, attempt.grace_s))
                    attempt.sent = True
            elif self.persistence.is_recorded(attempt) or "recorded" not in state.guards:
                if state.settled(worker, attempt):
                    acknowledgements.append(m.acknowledge_result(name, attempt.number))
                else:
                    state.raise_term()
        for name, task in worker.reported_tasks.items():
            known = worker.attempts.get(name)
            if known is not None and known.number == task.attempt:
                continue
            if task.state == m.EXITED:
                if may_launch and worker.fenced and not self._holds_unrecorded_result(name, task):
                    acknowledgements.append(m.acknowledge_result(name, task.attempt))
            elif self._job_finished(name.rpartition("/")[0]) or (
                may_launch and self._unwanted(worker, name, task.attempt)
            ):
                stops.append(m.stop(name, task.attempt, 0.0))
        return stops + launches + acknowledgements

    def _holds_unrecorded_result(self, name: str, task: m.TaskStatus) -> bool:
        """Whether it is the only place of a result that is not recorded yet."""
        job_id, _, number = name.rpartition("/")
        partition = self.state.partitions.get(job_id)
        return (
            partition is not None
            and number.isdigit()
            and task.why == m.CAUSE_DONE
            and int(number) in partition.assigned
            and int(number) not in partition.done
        )

    def _job_finished(self, job_id: str) -> bool:
        """Whether its job is done or withdrawn, for ever."""
        job = self.ctx.cache.job(job_id)
        return job is not None and records.is_final(job)

    def _unwanted(self, worker: Worker, name: str, attempt: int) -> bool:
        job_id, _, number = name.rpartition("/")
        partition = self.state.partitions.get(job_id)
        if partition is None or not number.isdigit():
            return False
        other = partition.attempts.get(int(number))
        # Of two attempts the lower number goes: the task was launched again only after that was over.
        return int(number) in partition.done or (
            other is not None
            and other.worker != worker.name
            and (other.number > attempt or "higher" not in self.state.guards)
        )

    def send_direct(self) -> None:
        """Tell workers at once what cannot wait for their next report."""
        state = self.state
        if not state.workers_to_command or not state.election.may_launch(state.index):
            return
        for name in sorted(state.workers_to_command):
            worker = state.workers.get(name)
            if worker is None or worker.lease_expired:
                state.workers_to_command.discard(name)
                continue
            # A worker that does not answer would hold a thread until the time limit, and healthy
            # ones would wait behind it; it learns from the answer to its next report.
            if worker.command_open or worker.delivery.suspect or not worker.endpoint or not worker.fenced:
                continue
            state.workers_to_command.discard(name)
            fresh = [a for a in worker.attempts.values() if not a.sent and not a.end_cause]
            stops = [a for a in fresh if a.stopping and a.observed and a.state != m.FLUSHING]
            launches = [a for a in fresh if not a.stopping and not a.observed]
            if stops or launches:
                self._send_now(worker, stops, launches)

    def _send_now(self, worker: Worker, stops: list[Attempt], launches: list[Attempt]) -> None:
        commands = [m.stop(a.name, a.number, a.grace_s) for a in stops]
        commands += [m.launch(a.name, a.number) for a in launches]
        for attempt in stops + launches:
            attempt.sent = True
        for attempt in launches:
            attempt.direct_call_open = True
        worker.command_open = True
        term, epoch = self.state.term, worker.epoch

        def done(status: int, body: bytes) -> None:
            worker.command_open = False
            for attempt in launches:
                attempt.direct_call_open = False
                if status not in (NOT_SENT, 200, 409, 400):
                    attempt.unanswered_term = term
            heartbeat = self._decode_heartbeat(worker, body) if status in (200, 409) else None
            if heartbeat is None:
                return
            if status == 200 and launches and heartbeat.worker != worker.name:
                self._revoke_launch(worker.endpoint, launches, heartbeat)
            if self.state.workers.get(worker.name) is worker:
                self._receive_direct_heartbeat(worker, heartbeat)

        self.ctx.call(worker.endpoint, "POST", m.PATH_DO, m.DirectCommands(term, epoch, commands), done)

    def _revoke_launch(self, endpoint: str, launches: list[Attempt], heartbeat: m.WorkerHeartbeat) -> None:
        """Another machine at that address has executed them: they end there at once, before they begin.

        Guard: a machine may be back as another one at its address, in the same session as the one before. What was
        sent to the old one stays pinned to it and starts elsewhere once that is gone.
        """
        log.info("%s executed what was meant for another machine at its address: called back", heartbeat.worker)
        stops = [m.stop(a.name, a.number, 0.0) for a in launches]
        self.ctx.call(
            endpoint,
            "POST",
            m.PATH_DO,
            m.DirectCommands(self.state.term, heartbeat.epoch, stops),
            lambda status, answer: None,
        )

    def probe(self, worker: Worker) -> None:
        """Ask a silent worker itself: it may only be between two nodes."""
        if worker.probing or not worker.endpoint:
            return
        worker.probing = True
        worker.next_probe_us = self.ctx.now_us + SECOND // 2
        asked_us = self.ctx.now_us

        def done(status: int, body: bytes) -> None:
            worker.probing = False
            if self.state.workers.get(worker.name) is not worker:
                return
            heartbeat = self._decode_heartbeat(worker, body) if status == 200 else None
            if heartbeat is None or not self._receive_direct_heartbeat(worker, heartbeat):
                if asked_us >= worker.last_contact_us:
                    worker.delivery.probe_missed(
                        asked_us
                    )  # one that was asked during a cut may report before this fails
                if worker.service_tasks:
                    worker.next_probe_us = self.ctx.now_us
                self.state.worker_failed = (
                    self.state.worker_failed or worker.delivery.unanswered_probes >= MAX_UNANSWERED_PROBES
                )
            else:
                state = self.state
                if (
                    worker.fencing_token < state.term
                    and not worker.command_open
                    and state.election.may_launch(state.index)
                ):
                    # An empty command shows it our term now; its report would take seconds.
                    self._send_now(worker, [], [])

        self.ctx.call(worker.endpoint, "GET", m.PATH_INSPECT, None, done, timeout_us=SECOND)

    def _decode_heartbeat(self, worker: Worker, body: bytes) -> m.WorkerHeartbeat | None:
        """The report in a reply; None for nonsense."""
        try:
            return msgspec.json.decode(body, type=m.WorkerHeartbeat)
        except msgspec.DecodeError as error:
            log.error("worker %s answered nonsense: %s", worker.name, error)
            return None

    def _receive_direct_heartbeat(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """Take the report in a reply; False where it is none of this worker's."""
        if heartbeat.worker != worker.name:
            # Another machine has its address now, and may have executed what was meant for it.
            log.info("%s answers at the address of %s", heartbeat.worker, worker.name)
            if heartbeat.worker in self.state.workers:
                self.receive_heartbeat(heartbeat, True)
            return False
        worker.delivery.acknowledged()
        self.receive_heartbeat(heartbeat, True)
        return True
