"""What one shard knows of its workers and tasks, with the counts that placement asks for.

Free room, the places of a job's tasks and the partitions that wait are kept up to date as they change:
with hundreds of machines, summing them anew for each message would take time proportional to the fleet.
"""

import logging
from collections.abc import Iterable, Iterator

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.policies import QuotaPolicy
from quinceslip.coordination.shard_state.worker import Attempt, Worker

log = logging.getLogger(__name__)

#: attempt numbers of one term; the term is the higher part of the number, so numbers always rise
ATTEMPTS_PER_TERM = 2**24

#: a higher term is not claimed more often than this
RAISE_TERM_INTERVAL_US = 3 * SECOND

#: end cause of an attempt whose worker was lost
CAUSE_LOST = "lost"

#: safety checks that keep a task from being in two places; `quinceslip model takeover` leaves out one at a time
ALL_GUARDS = frozenset({"unknown", "higher", "term", "session", "settled", "pinned", "recorded", "address"})


class ShardState:
    """Workers and partitions of one shard; the only place where their counts change."""

    guards = ALL_GUARDS

    def __init__(self, ctx: Context, election: LeaderElection, index: int, term: int) -> None:
        """State of shard `index`, led from now on under `term`."""
        self.ctx = ctx
        self.election = election
        self.index = index
        self.term = term  # our leadership's, and the fencing token of what we send
        self.attempt_counter = 0  # attempts numbered in this term
        self.led_since_us = ctx.now_us
        self.workers: dict[str, Worker] = {}
        self.partitions: dict[str, JobPartition] = {}  # by job
        self.unreconciled: set[str] = set()  # workers that may hold tasks of an earlier leader
        self.next_raise_us = 0
        self.needs_placement = True  # something changed that may let a waiting task start
        self.worker_failed = False  # some worker has just been found dead
        self.workers_to_command: set[str] = set()  # workers with commands that have not been sent
        self.queued: dict[str, JobPartition] = {}  # partitions that have had waiting tasks lately, by job
        self.queue_order: list[JobPartition] | None = None  # the same in order, where nothing has changed it since
        self.attempts_by_job: dict[str, set[Attempt]] = {}  # those that may still be on machines
        self.kept_attempts: dict[Attempt, Worker] = {}  # those whose worker is lost, and that may be at its address
        self.quota: QuotaPolicy | None = None  # where quotas are switched on

    # Attempts.

    def attach(self, worker: Worker, attempt: Attempt) -> None:
        """Count an attempt as possibly on the worker, in place of any earlier attempt of the task there."""
        self.detach(worker, attempt.name)
        worker.attempts[attempt.name] = attempt
        if not attempt.end_cause:
            worker.add_usage(attempt.spec, 1)
        self.attempts_by_job.setdefault(attempt.job_id, set()).add(attempt)
        if self.quota is not None:
            self.quota.attempt_added(attempt)

    def launch(self, partition: JobPartition, index: int, worker: Worker, number: int = 0) -> Attempt:
        """Pin a task to a worker; the launch is sent with the worker's next commands.

        Tasks of a gang share the attempt number of their first one, passed as `number`.
        """
        if not number:
            self.attempt_counter += 1
            number = self.term * ATTEMPTS_PER_TERM + self.attempt_counter
        attempt = Attempt(partition.job_id, index, number, partition.spec, worker.name, self.ctx.now_us)
        partition.attempts[index] = attempt
        self.attach(worker, attempt)
        self.workers_to_command.add(worker.name)
        return attempt

    def detach(self, worker: Worker, name: str) -> None:
        """Forget a task's attempt on the worker, if there is one: it is certain to be there no more."""
        attempt = worker.attempts.pop(name, None)
        if attempt is None:
            return
        if not attempt.end_cause:
            worker.add_usage(attempt.spec, -1)
        self._forget_attempt(attempt)

    def _forget_attempt(self, attempt: Attempt) -> None:
        if self.quota is not None:
            self.quota.attempt_removed(attempt)
        attempts = self.attempts_by_job.get(attempt.job_id)
        if attempts is not None:
            attempts.discard(attempt)
            if not attempts:
                del self.attempts_by_job[attempt.job_id]

    def is_current(self, attempt: Attempt) -> bool:
        """Whether an attempt is the one that its task waits for."""
        partition = self.partitions.get(attempt.job_id)
        return partition is not None and partition.attempts.get(attempt.index) is attempt

    def release_if_settled(self, worker: Worker, attempt: Attempt) -> None:
        """Let the task of an attempt that has ended wait again, unless a launch of the attempt may still arrive.

        Guard: it may arrive at another machine, which has the worker's address by then.
        """
        partition = self.partitions.get(attempt.job_id)
        if partition is None or not self.is_current(attempt):
            return
        if self.launch_cannot_arrive(worker, attempt) or "address" not in self.guards:
            del partition.attempts[attempt.index]
            self.add_pending(partition, [attempt.index])

    def keep_attempt(self, worker: Worker, attempt: Attempt) -> None:
        """Keep an attempt of a worker that is lost: another machine at its address may have the task (`AddressChecks`).

        It is no longer the worker's, and still the current attempt of its task.
        """
        del worker.attempts[attempt.name]
        if not attempt.end_cause:
            worker.add_usage(attempt.spec, -1)
        self.kept_attempts[attempt] = worker

    def release_attempt(self, attempt: Attempt) -> None:
        """Forget an attempt that was kept: it is certain to be nowhere, or to be that of another worker."""
        del self.kept_attempts[attempt]
        self.requeue(None, attempt)
        self._forget_attempt(attempt)

    def worker_of(self, attempt: Attempt) -> Worker | None:
        """The worker that an attempt was launched on; None where that is gone, and the attempt with it."""
        return self.kept_attempts.get(attempt) or self.workers.get(attempt.worker)

    def end_attempt(self, worker: Worker | None, attempt: Attempt, cause: str) -> None:
        """The attempt takes no room any more; `worker` is None if its machine is gone."""
        if not attempt.end_cause and worker is not None and worker.attempts.get(attempt.name) is attempt:
            worker.add_usage(attempt.spec, -1)
        attempt.end_cause = cause
        if self.quota is not None:
            self.quota.attempt_ended(worker, attempt)

    def launch_cannot_arrive(self, worker: Worker, attempt: Attempt) -> bool:
        """Whether no launch of this attempt can still arrive."""
        if "settled" not in self.guards:
            return True
        if attempt.direct_call_open:
            return False
        return not attempt.unanswered_call_term or worker.fencing_token > attempt.unanswered_call_term

    def possibly_running(self, job_id: str) -> Iterator[tuple[Worker, Attempt]]:
        """Attempts of the job that may be running, or may yet start, with their workers."""
        for attempt in self.attempts_by_job.get(job_id, ()):
            worker = self.worker_of(attempt)
            if worker is not None and (not attempt.end_cause or not self.launch_cannot_arrive(worker, attempt)):
                yield worker, attempt

    def stop(self, attempt: Attempt, grace_s: float) -> None:
        """Have the attempt stopped, with `grace_s` seconds to save its progress; a shorter grace replaces a longer."""
        if not attempt.stopping or grace_s < attempt.grace_s:
            attempt.stopping, attempt.grace_s, attempt.sent = True, grace_s, False
            self.workers_to_command.add(attempt.worker)
            if self.quota is not None:
                self.quota.attempt_stopping(attempt)

    # Waiting tasks.

    def add_pending(self, partition: JobPartition, indices: Iterable[int]) -> None:
        """Let tasks wait for a machine, save those that may still be on one.

        What was inherited and is not reconciled never waits, whichever way it gets here: it ended on one
        worker (exited, lost, refused), but a newer attempt may live on one that has sent no heartbeat yet.
        """
        for index in indices:
            if not self._may_wait(partition, index):
                continue
            if self._held_by_crash_loop(partition):
                partition.crash_loop.on_hold.add(index)
                continue
            partition.crash_loop.on_hold.discard(index)
            partition.pending.push(index)
            self.needs_placement = True
        self._enqueue(partition)

    def _may_wait(self, partition: JobPartition, index: int) -> bool:
        """Whether a task of the partition is neither done, nor possibly on a machine, nor in another shard."""
        return (
            index not in partition.attempts
            and index not in partition.done
            and index not in partition.unrecorded_done
            and index not in partition.indeterminate
            and index in partition.assigned
            and (index not in partition.unreconciled or "unknown" not in self.guards)
        )

    def _held_by_crash_loop(self, partition: JobPartition) -> bool:
        """Whether no further task of the partition may wait now.

        Guard: of a job that is suspected of a crash loop one task is tried at a time; gangs run whole or not at all.
        """
        return (
            partition.crash_loop.suspected and not partition.spec.gang and bool(partition.attempts or partition.pending)
        )

    def _enqueue(self, partition: JobPartition) -> None:
        """Put a partition with waiting tasks into the queue, unless it is there or has been replaced."""
        if (
            partition.pending
            and self.partitions.get(partition.job_id) is partition
            and self.queued.get(partition.job_id) is not partition
        ):
            self.queued[partition.job_id] = partition
            self.queue_order = None

    def put_on_hold(self, partition: JobPartition) -> None:
        """Its job is suspected: none of its waiting tasks starts while one that was started is still there."""
        waiting = list(partition.pending)
        for index in waiting:
            partition.pending.discard(index)
        self.add_pending(partition, waiting)

    def release_from_hold(self, partition: JobPartition) -> None:
        """Its job is no longer suspected: the tasks that were on hold wait again."""
        released = partition.crash_loop.clear()
        if released:
            log.info("crash loop cleared job=%s tasks=%d", partition.job_id, len(released))
        self.add_pending(partition, released)

    def waiting_in_order(self) -> list[JobPartition]:
        """Partitions with waiting tasks, in the order in which they are served.

        Sorted anew only where a partition came or what orders them was set (`invalidate_queue_order`); asked for with nearly every
        heartbeat.
        """
        if self.queue_order is None:
            self._forget_served()
            self.queue_order = sorted(self.queued.values(), key=JobPartition.sort_key)
        return [
            partition
            for partition in self.queue_order
            if partition.pending.members and self.partitions.get(partition.job_id) is partition
        ]

    def _forget_served(self) -> None:
        """Take what has no waiting tasks, or was replaced, out of the queue."""
        served = [
            job_id
            for job_id, partition in self.queued.items()
            if not partition.pending or self.partitions.get(job_id) is not partition
        ]
        for job_id in served:
            del self.queued[job_id]

    def invalidate_queue_order(self) -> None:
        """What orders the waiting partitions has changed."""
        self.queue_order = None

    def waiting_tasks(self) -> int:
        """Tasks that wait for a machine; what waits for its quota alone is no load."""
        return sum(
            len(partition.pending)
            for partition in self.queued.values()
            if self.partitions.get(partition.job_id) is partition and not partition.on_hold
        )

    def requeue(self, worker: Worker | None, attempt: Attempt) -> None:
        """The attempt is lost with its worker or the worker's epoch: its task waits again."""
        self.end_attempt(worker, attempt, CAUSE_LOST)
        partition = self.partitions.get(attempt.job_id)
        if partition is not None and partition.attempts.get(attempt.index) is attempt:
            del partition.attempts[attempt.index]
            self.add_pending(partition, [attempt.index])

    # Terms.

    def raise_term(self, above: int = 0) -> None:
        """Claim a term above `above`, which a worker has shown, for our own leadership."""
        if self.ctx.now_us >= self.next_raise_us:
            self.next_raise_us = self.ctx.now_us + RAISE_TERM_INTERVAL_US
            self.election.claim(self.index, above)
