"""Which worker may hold which task: what reports prove, what a takeover inherits, what ends.

What the rules rest on:
- A task is launched only when it is certain that no worker has it. It is pinned to the worker its
  launch was sent to until that worker reports it, loses its session, or is gone.
- After a takeover, inherited tasks wait until every worker of the roster has shown the new term
  (what earlier owners sent is dead from then on) or is proven gone.
- Results are recorded before `acknowledge_result`, and nothing is reaped while a direct launch of it is
  unanswered: the worker would have forgotten the attempt and start it again.

A plain class: no I/O, no clock but the actor's. `quinceslip model takeover` explores this very code.
"""

import logging

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import HEARTBEAT_TIMEOUT_US, SECOND, micros
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.partition import JobPartition
from quinceslip.coordination.shard.state import ShardState
from quinceslip.coordination.shard.worker import Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)


class Reconciler(ShardState):
    """The workers and tasks of a shard as reports show them."""

    def __init__(self, ctx: Context, election: LeaderElection, index: int, term: int) -> None:
        super().__init__(ctx, election, index, term)
        self.previous_own_term = (
            0  # the term that this controller held before it ended, where nobody has had the shard since
        )
        self.first_own_term = term  # a worker that shows it, or a later one, is past its earlier owners
        self.retrying: set[str] = set()  # jobs with tasks that pause after a failure

    # What others make of it.

    def task_started(self, worker: Worker, attempt: Attempt) -> None:
        """A task has been seen to run."""

    def task_completed(self, worker: Worker, attempt: Attempt, partition: JobPartition) -> None:
        """A task is done; its result is not recorded yet."""

    # Reports.

    def is_from_expired_epoch(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """Whether it is of a session whose lease has run out, and so was late on its way.

        Were the lease judged wrongly, an answer would prolong it while the tasks run elsewhere already. Without
        one the session ends for certain, and the worker comes back in the next.
        """
        return worker.lease_expired and heartbeat.epoch <= worker.epoch

    def is_duplicate(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """Whether a report of its own accord came before, or one that it made later did: it says nothing of now.

        Guard: the lease in our books is renewed by every answer, so what is answered must be the worker's own
        latest. One that a direct reply has overtaken is: its answer may arrive, and counts.
        """
        if (heartbeat.epoch, heartbeat.seq) <= worker.last_own_heartbeat:
            return True
        worker.last_own_heartbeat = (heartbeat.epoch, heartbeat.seq)
        return False

    def should_answer(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """Whether a newer report of its own accord is answered; what it shows of our last answer is taken.

        Guard: one that never showed our term, and that neither answers nor questions reach, is not. Its reports go
        on, and each answer would be taken for one that may have renewed its lease: it would hold up what was
        inherited for as long as it cannot be deleted (`outlived`).
        """
        refused = worker.delivery.unreachable
        worker.delivery.heartbeat_received(heartbeat)
        worker.unanswered = refused and not worker.fenced
        return not worker.unanswered

    def lease_expired_unheard(self, worker: Worker) -> bool:
        """Whether every session that an earlier owner can have known is over, of one whose reports still come.

        Each answer of ours before its last report had no effect, or that would show our term, and to its last there was
        none. So nothing has renewed its lease since the earlier owner's last answer; what began later nobody else knew.
        """
        return (
            worker.name in self.unreconciled
            and worker.unanswered
            and self.ctx.now_us > worker.predecessor_renewed_us + self.ctx.timing.lease_expiry_us
        )

    def apply_heartbeat(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """Take what a worker says of itself, unless that is `over`; False where it is older than what is known."""
        now_us = self.ctx.now_us
        if (heartbeat.epoch, heartbeat.seq) <= (worker.epoch, worker.seq):
            return False
        if heartbeat.epoch > worker.epoch:
            # A new session proves the end of what ran in those before, and nothing else: of an inherited worker
            # an earlier owner may have known it, and what that sent there may come yet. Only our term ends that.
            if worker.epoch:
                log.info("worker %s lost session %d", worker.name, worker.epoch)
                self._drop_tasks(worker)
                if "session" not in self.guards:
                    self._reconcile_worker(worker)
            worker.epoch = heartbeat.epoch
            # A session has its full lease from its start, whether its reports are answered or not.
            # Judged by the session before, its tasks were taken for lost while they ran.
            worker.lease_renewed_us = max(worker.lease_renewed_us, now_us)
        worker.lease_expired = False
        worker.seq, worker.fencing_token = heartbeat.seq, heartbeat.fencing_token
        worker.endpoint, worker.last_contact_us = heartbeat.endpoint, now_us
        if worker.type is None:
            worker.type = self.ctx.types.get(heartbeat.type)
        worker.zone, worker.spot = heartbeat.zone, heartbeat.spot
        if heartbeat.notice_s is not None and not worker.notice_us:
            worker.notice_us = now_us + micros(max(heartbeat.notice_s, 0.0))
            log.info("worker %s goes in %.1f s", worker.name, heartbeat.notice_s)
            self._reclaim_notice(worker, heartbeat.notice_s)
        worker.reported_tasks = {t.task: t for t in heartbeat.tasks}
        self._reconcile_attempts(worker)
        if self.previous_own_term and not worker.fenced and heartbeat.fencing_token >= self.previous_own_term:
            # It had seen the term of our earlier life, so it has dropped all answers but that one's, which has ended.
            ended_us = self.led_since_us + HEARTBEAT_TIMEOUT_US
            if worker.lease_renewed_us == worker.predecessor_renewed_us:
                worker.lease_renewed_us = min(worker.lease_renewed_us, ended_us)
            worker.predecessor_renewed_us = min(worker.predecessor_renewed_us, ended_us)
        if not worker.fenced and (heartbeat.fencing_token >= self.first_own_term or "term" not in self.guards):
            worker.fenced = True
            # Answers of earlier owners have been dropped since it saw our term, so none renews its lease any more.
            worker.lease_renewed_us = now_us
            worker.delivery.acknowledged()  # nobody else told it our term
            self._reconcile_worker(worker)
        return True

    def _reconcile_attempts(self, worker: Worker) -> None:
        for name, task in worker.reported_tasks.items():
            attempt = worker.attempts.get(name)
            if attempt is not None and attempt.number != task.attempt:
                if task.attempt < attempt.number or "higher" not in self.guards:
                    continue  # ended earlier and not reaped yet: it keeps the newer one out for a moment
                # A worker has one attempt of a task, so the older one is over. It came of a report from before
                # our term that was late: kept, it would hide the living one, and let its result be reaped.
                if worker.fenced:
                    log.error("%s on %s as attempt %d, not %d", name, worker.name, task.attempt, attempt.number)
                self.requeue(worker, attempt)
                self.detach(worker, name)
                attempt = None
            if attempt is None:
                attempt = self._adopt_task(worker, name, task)
                if attempt is None:
                    continue
            attempt.observed = True
            self._update_attempt(worker, attempt, task)
        for name, attempt in list(worker.attempts.items()):
            if attempt.observed and name not in worker.reported_tasks:
                if not attempt.end_cause:
                    # Until it has shown our term, a worker may have told of itself as it was long before.
                    log.log(logging.ERROR if worker.fenced else logging.INFO, "%s vanished from %s", name, worker.name)
                    self.requeue(worker, attempt)
                self.detach(worker, name)
        if self.quota is not None:
            self.quota.heartbeat_received(worker)

    def _adopt_task(self, worker: Worker, name: str, task: m.TaskStatus) -> Attempt | None:
        """A task we did not launch: one of an earlier owner's.

        What it shows takes room and can be halted and reaped from here on, but the task stays unknown
        until the whole roster is resolved: a newer attempt of it may live on a worker that has not
        spoken yet, and until it shows our term a report may be as late as the network likes.
        """
        job_id, _, number = name.rpartition("/")
        partition = self.partitions.get(job_id)
        if partition is None or not number.isdigit():
            return None
        index, over = int(number), task.state == m.EXITED
        if index not in partition.assigned or index in partition.done or index in partition.unrecorded_done:
            return None
        final = over and task.why == m.CAUSE_DONE
        known = partition.attempts.get(index)
        if known is not None and not final:
            # A task is launched again only once it is over elsewhere: the higher number is the living one.
            if not over:
                other = self.workers.get(known.worker)
                # The same attempt came here by the address that both had, one after the other.
                sure = worker.fenced and other is not None and other.fenced and task.attempt != known.number
                log.log(
                    logging.ERROR if sure else logging.INFO, "%s is on %s and on %s", name, worker.name, known.worker
                )
            if task.attempt < known.number or "higher" not in self.guards:
                return None
        elif index not in partition.unreconciled and not final:
            if over or worker.name in self.unreconciled:
                return None
            log.error("%s turned up on %s", name, worker.name)
        if known is not None:
            self.stop(known, 0.0)
        partition.pending.discard(index)
        attempt = Attempt(job_id, index, task.attempt, partition.spec, worker.name, self.ctx.now_us, observed=True)
        partition.attempts[index] = attempt
        self.attach(worker, attempt)
        return attempt

    def _update_attempt(self, worker: Worker, attempt: Attempt, task: m.TaskStatus) -> None:
        if attempt.end_cause:
            return
        if task.state != m.PULLING and task.state != m.EXITED:
            if not attempt.running_us:
                attempt.running_us = self.ctx.now_us
            self.task_started(worker, attempt)
            if attempt.spec.service:
                partition = self.partitions.get(attempt.job_id)
                if partition is not None and partition.crash_loop.clears_by_running(
                    self.ctx.now_us - attempt.running_us
                ):
                    self.release_from_hold(partition)
        attempt.state = task.state
        if task.state != m.EXITED:
            return
        self.end_attempt(worker, attempt, task.why or m.CAUSE_ERROR)
        partition = self.partitions.get(attempt.job_id)
        if partition is None or partition.attempts.get(attempt.index) is not attempt:
            return
        del partition.attempts[attempt.index]
        if attempt.end_cause == m.CAUSE_DONE:
            partition.unrecorded_done.add(attempt.index)
            partition.unreconciled.discard(attempt.index)  # final, whatever the rest of the roster holds
            self.task_completed(worker, attempt, partition)
            return
        if attempt.end_cause in m.CAUSES_GANG:
            partition.not_before[attempt.index] = self.ctx.now_us + SECOND
            self.retrying.add(partition.job_id)
        elif attempt.end_cause != m.CAUSE_HALTED:
            # Retry elsewhere, later each time: a mistaken job fails on every machine.
            failures = partition.failures[attempt.index] = partition.failures.get(attempt.index, 0) + 1
            wait_us = min(30 * SECOND, SECOND // 2 * 2 ** min(failures, 6))
            partition.not_before[attempt.index] = self.ctx.now_us + wait_us
            self.retrying.add(partition.job_id)
            log.info("%s on %s: %s", attempt.name, worker.name, attempt.end_cause)
            if attempt.end_cause == m.CAUSE_ERROR:
                if partition.crash_loop.sound and worker.name in partition.crash_loop.blamed_machines:
                    worker.task_failures += 1
                ran_us = self.ctx.now_us - attempt.running_us if attempt.running_us else 0
                if partition.crash_loop.task_failed(worker.name, failures, ran_us) and not partition.spec.gang:
                    log.info("job %s is suspected of a mistake: %s", partition.job_id, partition.crash_loop.reason())
                    self.put_on_hold(partition)
        self.add_pending(partition, [attempt.index])

    def _drop_tasks(self, worker: Worker) -> None:
        for name, attempt in list(worker.attempts.items()):
            if not attempt.end_cause:
                self.requeue(worker, attempt)
            self.detach(worker, name)
        worker.reported_tasks = {}
        worker.images.clear()

    def expire_lease(self, worker: Worker) -> None:
        """Nothing of ours or of an earlier owner's can be on it any more: its lease has run out, or it is gone."""
        self._drop_tasks(worker)
        worker.lease_expired = True
        self._reconcile_worker(worker)

    def machine_gone(self, name: str) -> None:
        """The machine is proven gone."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            self.expire_lease(worker)

    # Takeover.

    def inherit_worker(self, worker: Worker) -> None:
        """It may hold tasks of an earlier owner."""
        self.unreconciled.add(worker.name)

    def _reconcile_worker(self, worker: Worker) -> None:
        """What an earlier owner sent there is known in full, or dead."""
        if worker.name in self.unreconciled:
            self.unreconciled.discard(worker.name)
            self.release_unreconciled()

    def release_unreconciled(self) -> None:
        """Once the whole roster has spoken, what is on none of its workers may start."""
        if self.unreconciled:
            return
        for partition in self.partitions.values():
            if partition.unreconciled:
                unknown, partition.unreconciled = partition.unreconciled, set()
                self.add_pending(partition, unknown)
        self.needs_placement = True

    def _reclaim_notice(self, worker: Worker, notice_s: float) -> None:
        worker.draining = "notice"
        for attempt in worker.live_attempts():
            spec = attempt.spec
            if spec.service or (spec.checkpoint_s > 0 and spec.save_s <= notice_s):
                self.stop(attempt, spec.save_s)
