"""Workers and tasks of one shard, with the counts that placement needs.

Free resources, the locations of a job's tasks and the waiting partitions are updated as they change:
with hundreds of machines, recomputing them for each message would take time proportional to the fleet.
"""

import logging
from collections.abc import Iterable

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard_state.fencing_tokens import FencingTokens
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.policies import QuotaPolicy
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.coordination.shard_state.zone_counts import ZoneCounts

log = logging.getLogger(__name__)

#: attempt numbers available to one term; the term is the upper part of a number, so that numbers always rise
ATTEMPTS_PER_TERM = 2**24

#: A worker's token that is further above the term of its leader was given by no controller. Terms stay below 2**40, as
#: attempt numbers stay below 2**64 (PROTOCOL): a term above such a token would use up those of all shards.
MAX_TERM_JUMP = 2**32

#: minimum time between two claims of a higher term
RAISE_TERM_INTERVAL_US = 3 * SECOND

#: end cause of an attempt whose worker was lost
CAUSE_LOST = "lost"

#: safety checks against running a task twice; `quinceslip model takeover` can leave out one at a time
ALL_GUARDS = frozenset({"unknown", "higher", "term", "session", "settled", "pinned", "recorded", "address", "repeated"})


class ShardState:
    """Workers and partitions of one shard; only this class changes their counts."""

    guards = ALL_GUARDS

    def __init__(self, ctx: Context, election: LeaderElection, index: int, term: int) -> None:
        """Create the state of shard `index`, led from now on under `term`."""
        self.ctx = ctx
        self.election = election
        self.index = index
        self.term = term  # of this leadership
        self.tokens = FencingTokens(self)
        self.attempt_counter = 0  # number of attempts created in this term
        self.led_since_us = ctx.now_us
        self.workers: dict[str, Worker] = {}
        self.partitions: dict[str, JobPartition] = {}  # by job
        self.unreconciled: set[str] = set()  # workers that may hold tasks of an earlier leader
        self.next_raise_us = 0
        self.needs_placement = True  # set when a change may allow a waiting task to start
        self.worker_failed = False  # set when a worker has just been found dead
        self.workers_to_command: set[str] = set()  # workers with commands that have not been sent
        self.queued: dict[str, JobPartition] = {}  # by job; those without waiting tasks are removed lazily
        self.queue_order: list[JobPartition] | None = None  # `queued` in order; None: to be sorted again
        self.attempts_by_job: dict[str, set[Attempt]] = {}  # attempts that may still be on machines
        self.kept_attempts: dict[Attempt, Worker] = {}  # of lost workers; another machine at the address may have them
        self._live_zones = ZoneCounts()  # of the attempts of zone-bound jobs that have not ended, kept ones included
        self._kept_zones = ZoneCounts()  # of the kept ones among them
        self._ended_with_launch_in_flight: dict[str, set[Attempt]] = {}  # by job
        self.quota: QuotaPolicy | None = None  # None: quotas are disabled

    # Attempts.

    def attach(self, worker: Worker, attempt: Attempt) -> None:
        """Add an attempt that may be on the worker, in place of any earlier attempt of the task there."""
        self.detach(worker, attempt.name)
        worker.attempts[attempt.name] = attempt
        if attempt.observed:
            worker.attempts_changed()
        if not attempt.end_cause:
            worker.add_usage(attempt.spec, 1)
            if attempt.spec.zone_bound:
                self._live_zones.add(attempt, worker.zone)
        self.attempts_by_job.setdefault(attempt.job_id, set()).add(attempt)
        if self.quota is not None:
            self.quota.attempt_added(attempt)

    def launch(self, partition: JobPartition, index: int, worker: Worker, number: int = 0) -> Attempt:
        """Create an attempt of a task, pinned to a worker; the launch is sent with the worker's next commands.

        Tasks of a gang share the attempt number of their first task, passed as `number`.
        """
        if not number:
            self.attempt_counter += 1
            number = self.term * ATTEMPTS_PER_TERM + self.attempt_counter
        attempt = Attempt(partition.job_id, index, number, partition.spec, worker.name, self.ctx.now_us)
        partition.attempts[index] = attempt
        self.attach(worker, attempt)
        self.workers_to_command.add(worker.name)
        return attempt

    def drop_withheld_gang(self, partition: JobPartition) -> list[int]:
        """Drop the attempts of a gang that are withheld, none of which has been sent; returns the indices of the tasks.

        Those that were lost with their workers have been queued again already.
        """
        withheld, partition.withheld_gang = partition.withheld_gang, []
        dropped = []
        for attempt in withheld:
            worker = self.workers.get(attempt.worker)
            if worker is None or worker.attempts.get(attempt.name) is not attempt:
                continue
            self.detach(worker, attempt.name)
            if partition.attempts.get(attempt.index) is attempt:
                del partition.attempts[attempt.index]
                dropped.append(attempt.index)
        return dropped

    def detach(self, worker: Worker, name: str) -> None:
        """Remove the attempt of a task, if any, from a worker that certainly no longer has it."""
        attempt = worker.attempts.pop(name, None)
        if attempt is None:
            return
        worker.attempts_changed()
        if worker.preemption_awaits_slots:
            worker.preemption_awaits_slots, self.needs_placement = False, True
        if not attempt.end_cause:
            worker.add_usage(attempt.spec, -1)
        self._remove_attempt(attempt)

    def _remove_attempt(self, attempt: Attempt) -> None:
        if self.quota is not None:
            self.quota.attempt_removed(attempt)
        self._live_zones.remove(attempt)
        self._forget_launch_in_flight(attempt)
        attempts = self.attempts_by_job.get(attempt.job_id)
        if attempts is not None:
            attempts.discard(attempt)
            if not attempts:
                del self.attempts_by_job[attempt.job_id]

    def is_current(self, attempt: Attempt) -> bool:
        """Whether an attempt is the current attempt of its task."""
        partition = self.partitions.get(attempt.job_id)
        return partition is not None and partition.attempts.get(attempt.index) is attempt

    def requeue_unless_launch_may_arrive(self, worker: Worker, attempt: Attempt) -> None:
        """Requeue the task of an ended attempt, unless a launch of the attempt may still arrive.

        Guard: the launch may arrive at another machine, which has taken over the worker's address by then.
        """
        partition = self.partitions.get(attempt.job_id)
        if partition is None or not self.is_current(attempt):
            return
        if self.launch_cannot_arrive(worker, attempt) or "address" not in self.guards:
            del partition.attempts[attempt.index]
            self.add_pending(partition, [attempt.index])

    def keep_attempt(self, worker: Worker, attempt: Attempt) -> None:
        """Keep an attempt of a lost worker, since another machine at its address may have the task (`AddressChecks`).

        It is removed from the worker, but stays the current attempt of its task.
        """
        del worker.attempts[attempt.name]
        worker.attempts_changed()
        if not attempt.end_cause:
            worker.add_usage(attempt.spec, -1)
            if attempt.spec.zone_bound:
                self._kept_zones.add(attempt, worker.zone)
        self.kept_attempts[attempt] = worker

    def release_attempt(self, attempt: Attempt) -> None:
        """Release a kept attempt, which is certain to be on no machine or to be replaced, and requeue its task."""
        del self.kept_attempts[attempt]
        self._kept_zones.remove(attempt)
        self.requeue(None, attempt)
        self._remove_attempt(attempt)

    def worker_of(self, attempt: Attempt) -> Worker | None:
        """Return the worker that an attempt was launched on; None if both are gone."""
        return self.kept_attempts.get(attempt) or self.workers.get(attempt.worker)

    def end_attempt(self, worker: Worker | None, attempt: Attempt, cause: str) -> None:
        """Mark an attempt as ended, so that it takes no more resources; `worker` is None if its machine is gone."""
        if not attempt.end_cause and worker is not None and worker.attempts.get(attempt.name) is attempt:
            worker.add_usage(attempt.spec, -1)
        attempt.end_cause = cause
        if worker is not None:
            worker.attempts_changed()
        self._live_zones.remove(attempt)
        self._kept_zones.remove(attempt)
        if attempt.spec.zone_bound and self._may_still_arrive(attempt):
            self._ended_with_launch_in_flight.setdefault(attempt.job_id, set()).add(attempt)
        if self.quota is not None:
            self.quota.attempt_ended(worker, attempt)

    def _may_still_arrive(self, attempt: Attempt) -> bool:
        """Whether an attempt is known and a launch of it may still arrive at its worker."""
        worker = self.worker_of(attempt)
        if worker is None or self.launch_cannot_arrive(worker, attempt):
            return False
        return attempt in self.attempts_by_job.get(attempt.job_id, ())

    def _forget_launch_in_flight(self, attempt: Attempt) -> None:
        attempts = self._ended_with_launch_in_flight.get(attempt.job_id)
        if attempts is not None:
            attempts.discard(attempt)
            if not attempts:
                del self._ended_with_launch_in_flight[attempt.job_id]

    def launch_cannot_arrive(self, worker: Worker, attempt: Attempt) -> bool:
        """Whether no launch of the attempt can still arrive."""
        if "settled" not in self.guards:
            return True
        if attempt.direct_call_open:
            return False
        return not attempt.unanswered_call_token or worker.fencing_token > attempt.unanswered_call_token

    def possibly_running_by_zone(self, job_id: str, count_kept: bool = True) -> dict[str, int]:
        """Return how many attempts of a zone-bound job may be running or may still start, by zone, if there are any.

        `count_kept=False` leaves out kept attempts. Costs no more for a job of many attempts than for one of few.
        """
        counts = dict(self._live_zones.of_job(job_id))
        if not count_kept:
            for zone, kept in self._kept_zones.of_job(job_id).items():
                counts[zone] -= kept
        for attempt in list(self._ended_with_launch_in_flight.get(job_id, ())):
            worker = self.worker_of(attempt)
            if worker is None or self.launch_cannot_arrive(worker, attempt):
                self._forget_launch_in_flight(attempt)
            elif count_kept or attempt not in self.kept_attempts:
                counts[worker.zone] = counts.get(worker.zone, 0) + 1
        return {zone: count for zone, count in counts.items() if count}

    def set_zone(self, worker: Worker, zone: str) -> None:
        """Set the zone of a worker, as its heartbeat says."""
        if worker.zone == zone:
            return
        worker.zone = zone
        kept = [attempt for attempt, former in self.kept_attempts.items() if former is worker]
        self._live_zones.worker_moved(worker, [*worker.attempts.values(), *kept])
        self._kept_zones.worker_moved(worker, kept)

    def stop(self, attempt: Attempt, grace_s: float) -> None:
        """Stop an attempt, with `grace_s` seconds to save its progress; a shorter period replaces a longer one."""
        if not attempt.stopping or grace_s < attempt.grace_s:
            attempt.stopping, attempt.grace_s, attempt.sent = True, grace_s, False
            self.workers_to_command.add(attempt.worker)
            worker = self.worker_of(attempt)
            if worker is not None:
                worker.attempt_stopped(attempt)
            if self.quota is not None:
                self.quota.attempt_stopping(attempt)

    # Waiting tasks.

    def add_pending(self, partition: JobPartition, indices: Iterable[int]) -> None:
        """Queue tasks for placement, except those that may still be on a machine.

        Inherited tasks that are not reconciled are never queued, whatever the caller: an attempt has ended on one
        worker (exited, lost, refused), but a newer one may exist on a worker that has sent no heartbeat yet.
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

    def return_to_queue(self, partition: JobPartition, indices: Iterable[int]) -> None:
        """Queue tasks again for which placement has found no room; this gives no reason for another pass."""
        for index in indices:
            if self._may_wait(partition, index):
                partition.pending.push(index)
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
        """Whether the crash loop detector allows no further task of the partition in the queue.

        Guard: a job suspected of a crash loop runs one task at a time; gangs run as a whole or not at all.
        """
        return (
            partition.crash_loop.suspected and not partition.spec.gang and bool(partition.attempts or partition.pending)
        )

    def _enqueue(self, partition: JobPartition) -> None:
        """Add a partition with waiting tasks to the queue, unless it is queued already or has been replaced."""
        if (
            partition.pending
            and self.partitions.get(partition.job_id) is partition
            and self.queued.get(partition.job_id) is not partition
        ):
            self.queued[partition.job_id] = partition
            self.queue_order = None

    def put_on_hold(self, partition: JobPartition) -> None:
        """Hold back the waiting tasks of a job suspected of a crash loop, except one if none has an attempt."""
        waiting = list(partition.pending)
        for index in waiting:
            partition.pending.discard(index)
        self.add_pending(partition, waiting)

    def release_from_hold(self, partition: JobPartition) -> None:
        """Queue the held tasks of a job that is no longer suspected of a crash loop."""
        released = partition.crash_loop.clear()
        if released:
            log.info("crash loop cleared job=%s tasks=%d", partition.job_id, len(released))
        self.add_pending(partition, released)

    def waiting_in_order(self) -> list[JobPartition]:
        """Return the partitions with waiting tasks, in the order in which they are served.

        Called with nearly every heartbeat, so they are sorted again only after a partition was added or their sort
        keys changed (`invalidate_queue_order`).
        """
        if self.queue_order is None:
            self._remove_served()
            self.queue_order = sorted(self.queued.values(), key=JobPartition.sort_key)
        return [
            partition
            for partition in self.queue_order
            if partition.pending.members and self.partitions.get(partition.job_id) is partition
        ]

    def _remove_served(self) -> None:
        """Remove partitions that have no waiting tasks or were replaced from the queue."""
        served = [
            job_id
            for job_id, partition in self.queued.items()
            if not partition.pending or self.partitions.get(job_id) is not partition
        ]
        for job_id in served:
            del self.queued[job_id]

    def invalidate_queue_order(self) -> None:
        """Mark the queue to be sorted again, after the sort key of a waiting partition changed."""
        self.queue_order = None

    def waiting_tasks(self) -> int:
        """Return the number of tasks that wait for a machine; tasks blocked only by their quota are no load."""
        return sum(
            len(partition.pending)
            for partition in self.queued.values()
            if self.partitions.get(partition.job_id) is partition and not partition.on_hold
        )

    def requeue(self, worker: Worker | None, attempt: Attempt) -> None:
        """End an attempt that was lost with its worker or the worker's epoch, and queue its task again."""
        self.end_attempt(worker, attempt, CAUSE_LOST)
        partition = self.partitions.get(attempt.job_id)
        if partition is not None and partition.attempts.get(attempt.index) is attempt:
            del partition.attempts[attempt.index]
            self.add_pending(partition, [attempt.index])

    # Terms.

    def raise_term(self, above: int = 0) -> None:
        """Claim a term above `above`, which a worker has shown, for this leadership; no term if it is implausible."""
        if above > self.term + MAX_TERM_JUMP:
            log.info("implausible fencing token shard=%d token=%d term=%d", self.index, above, self.term)
            return
        if self.ctx.now_us >= self.next_raise_us:
            self.next_raise_us = self.ctx.now_us + RAISE_TERM_INTERVAL_US
            self.election.claim(self.index, above)
