"""What one shard knows of its workers and tasks, with the counts that placement asks for.

Free room, the places of a job's tasks and the chunks that wait are kept up to date as they change:
with hundreds of machines, summing them anew for each message would cost by the fleet.
"""

import logging
from collections.abc import Iterable, Iterator

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.partition import JobPartition
from quinceslip.coordination.shard.policies import QuotaPolicy
from quinceslip.coordination.shard.worker import Attempt, Worker

log = logging.getLogger(__name__)

#: attempts of one term; the term sits above, so attempts always rise
ATTEMPTS_PER_TERM = 2**24


#: what keeps a task from being in two places, each left out once by `quinceslip model takeover`
ALL_GUARDS = frozenset({"unknown", "higher", "term", "session", "settled", "pinned", "recorded"})


class ShardState:
    """Workers and chunks of one shard; the only place where their counts change."""

    guards = ALL_GUARDS

    def __init__(self, ctx: Context, election: LeaderElection, index: int, term: int) -> None:
        self.ctx = ctx
        self.election = election
        self.index = index
        self.term = term
        self.counter = 0
        self.led_since_us = ctx.now_us
        self.workers: dict[str, Worker] = {}
        self.partitions: dict[str, JobPartition] = {}
        self.unreconciled: set[str] = set()
        self.next_raise_us = 0
        self.needs_placement = True
        self.worker_failed = False  # some worker has just been found dead
        self.workers_to_command: set[str] = set()  # workers with commands that have not gone out
        self.queued: dict[str, JobPartition] = {}  # chunks that have had waiting tasks lately
        self.queue_order: list[JobPartition] | None = None  # the same in order, where nothing has changed it since
        self.attempts_by_job: dict[str, set[Attempt]] = {}  # what of a job may still be on machines
        self.quota: QuotaPolicy | None = None  # where quotas are switched on

    # Attempts.

    def attach(self, worker: Worker, attempt: Attempt) -> None:
        self.detach(worker, attempt.name)
        worker.attempts[attempt.name] = attempt
        if not attempt.end_cause:
            worker.add_usage(attempt.spec, 1)
        self.attempts_by_job.setdefault(attempt.job_id, set()).add(attempt)
        if self.quota is not None:
            self.quota.attempt_added(attempt)

    def launch(self, partition: JobPartition, index: int, worker: Worker, number: int = 0) -> Attempt:
        """Pin a task to a worker; it is told with what goes out next. Gangs share the number of their first task."""
        if not number:
            self.counter += 1
            number = self.term * ATTEMPTS_PER_TERM + self.counter
        attempt = Attempt(partition.job_id, index, number, partition.spec, worker.name, self.ctx.now_us)
        partition.attempts[index] = attempt
        self.attach(worker, attempt)
        self.workers_to_command.add(worker.name)
        return attempt

    def detach(self, worker: Worker, name: str) -> None:
        attempt = worker.attempts.pop(name, None)
        if attempt is None:
            return
        if not attempt.end_cause:
            worker.add_usage(attempt.spec, -1)
        if self.quota is not None:
            self.quota.attempt_removed(attempt)
        places = self.attempts_by_job.get(attempt.job_id)
        if places is not None:
            places.discard(attempt)
            if not places:
                del self.attempts_by_job[attempt.job_id]

    def end_attempt(self, worker: Worker | None, attempt: Attempt, why: str) -> None:
        """It no longer takes room."""
        if not attempt.end_cause and worker is not None and worker.attempts.get(attempt.name) is attempt:
            worker.add_usage(attempt.spec, -1)
        attempt.end_cause = why
        if self.quota is not None:
            self.quota.attempt_ended(worker, attempt)

    def settled(self, worker: Worker, attempt: Attempt) -> bool:
        """No launch of this attempt can still arrive."""
        if "settled" not in self.guards:
            return True
        if attempt.direct_call_open:
            return False
        return not attempt.unanswered_term or worker.fencing_token > attempt.unanswered_term

    def possibly_running(self, job_id: str) -> Iterator[tuple[Worker, Attempt]]:
        for attempt in self.attempts_by_job.get(job_id, ()):
            worker = self.workers.get(attempt.worker)
            if worker is not None and (not attempt.end_cause or not self.settled(worker, attempt)):
                yield worker, attempt

    def stop(self, attempt: Attempt, grace_s: float) -> None:
        if not attempt.stopping or grace_s < attempt.grace_s:
            attempt.stopping, attempt.grace_s, attempt.sent = True, grace_s, False
            self.workers_to_command.add(attempt.worker)
            if self.quota is not None:
                self.quota.attempt_stopping(attempt)

    # Waiting tasks.

    def add_pending(self, partition: JobPartition, indices: Iterable[int]) -> None:
        """Let tasks wait for a machine, save those that may still be on one.

        What was inherited and is still unknown never waits, whichever way it gets here: it ended on one
        worker (exited, lost, refused), but a newer attempt may live on one that has not spoken yet.
        """
        for index in indices:
            if (
                index not in partition.attempts
                and index not in partition.done
                and index not in partition.unrecorded_done
                and index not in partition.indeterminate
                and index in partition.assigned
                and (index not in partition.unreconciled or "unknown" not in self.guards)
            ):
                if (
                    partition.crash_loop.suspected
                    and not partition.spec.gang
                    and (partition.attempts or partition.pending)
                ):
                    # Guard: of a job that is suspected of a mistake one task is tried at a time; gangs run whole or
                    # not at all.
                    partition.crash_loop.on_hold.add(index)
                    continue
                partition.crash_loop.on_hold.discard(index)
                partition.pending.push(index)
                self.needs_placement = True
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
        """The job is sound after all."""
        parked = partition.crash_loop.clear()
        if parked:
            log.info("job %s is cleared: %d tasks of it wait again", partition.job_id, len(parked))
        self.add_pending(partition, parked)

    def waiting_in_order(self) -> list[JobPartition]:
        """Chunks with waiting tasks, in the order in which they are served.

        Sorted anew only where a chunk came or `late` was set (`reorder`); asked for with nearly every report.
        """
        if self.queue_order is None:
            for job_id in [u for u, c in self.queued.items() if not c.pending or self.partitions.get(u) is not c]:
                del self.queued[job_id]
            self.queue_order = sorted(self.queued.values(), key=JobPartition.sort_key)
        return [c for c in self.queue_order if c.pending.members and self.partitions.get(c.job_id) is c]

    def reorder(self) -> None:
        self.queue_order = None

    def waiting_tasks(self) -> int:
        """Tasks that wait for a machine; what waits for its quota alone is no load."""
        return sum(len(c.pending) for c in self.queued.values() if self.partitions.get(c.job_id) is c and not c.on_hold)

    def requeue(self, worker: Worker | None, attempt: Attempt) -> None:
        self.end_attempt(worker, attempt, "lost")
        partition = self.partitions.get(attempt.job_id)
        if partition is not None and partition.attempts.get(attempt.index) is attempt:
            del partition.attempts[attempt.index]
            self.add_pending(partition, [attempt.index])

    # Terms.

    def raise_term(self, above: int = 0) -> None:
        if self.ctx.now_us >= self.next_raise_us:
            self.next_raise_us = self.ctx.now_us + 3 * SECOND
            self.election.claim(self.index, above)
