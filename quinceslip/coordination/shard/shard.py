"""One shard as its leader runs it: its parts together, and the events and questions that other packages pass it."""

import logging

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.jobs.persistence import JobPersistence
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.reconciliation.commands import CommandSender
from quinceslip.coordination.reconciliation.reconciler import Reconciler
from quinceslip.coordination.scheduling.deadline_order import order_by_deadline
from quinceslip.coordination.scheduling.placement import Placement
from quinceslip.coordination.shard.capacity import CapacityFigures, CapacitySummary, MeanTask, QueueingStation
from quinceslip.coordination.shard.heartbeats import HeartbeatReceiver
from quinceslip.coordination.shard.log_summary import log_machines, machine_statuses, summarize
from quinceslip.coordination.shard.registration import MachineRegistration
from quinceslip.coordination.shard.silence import SilenceCheck
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: waiting partitions are ordered by deadline anew this often
DEADLINE_ORDER_INTERVAL_US = SECOND
#: deadline scheduling counts on this many CPUs at least
MIN_EXPECTED_CPUS = 0.01


class Shard(Reconciler):
    """A shard that this controller leads.

    Its parts: persistence of jobs, placement, commands to workers, heartbeats, registration of workers, the check for
    silent ones, and figures of its capacity.
    """

    def __init__(
        self, ctx: Context, election: LeaderElection, index: int, term: int, own_term_before_restart: int
    ) -> None:
        """Take over shard `index` under `term`: its workers and open jobs as the store has them.

        `own_term_before_restart`: our term before a restart, where nobody has led the shard since; else 0.
        """
        super().__init__(ctx, election, index, term)
        self.own_term_before_restart = own_term_before_restart
        self.persistence = JobPersistence(self)
        self.placement = Placement(self)
        self.heartbeats = HeartbeatReceiver(self)
        self.command_sender = CommandSender(self, self.persistence, self.receive_heartbeat)
        self.registration = MachineRegistration(self)
        self.silence_check = SilenceCheck(self)
        self.capacity = CapacityFigures(self)
        self.last_move_us: dict[str, int] = {}  # when tasks of a job were moved to another shard; by the load balancer
        self.next_deadline_order_us = 0
        self.registration.inherit_workers()
        for job_id in list(ctx.cache.open_jobs):
            self.persistence.load(job_id, inherited=True)
        self.release_unreconciled()

    # Events.

    def receive_heartbeat(self, heartbeat: m.WorkerHeartbeat, direct: bool = False) -> m.CommandReply | None:
        """Apply a heartbeat; returns the answer, or None where none may be given (`HeartbeatReceiver.receive`)."""
        return self.heartbeats.receive(heartbeat, direct)

    def machine_record_changed(self, name: str) -> None:
        """A machine's record was written or deleted, by us or by others."""
        self.registration.record_changed(name)

    def task_started(self, worker: Worker, attempt: Attempt) -> None:
        """A task has been reported as running: its image is on the machine, as the one used last."""
        if attempt.running_since_us == self.ctx.now_us:
            log.debug(
                "task running task=%s worker=%s type=%s since_sent_s=%.1f",
                attempt.name,
                worker.name,
                worker.type.label if worker.type else "?",
                (self.ctx.now_us - attempt.created_us) / SECOND,
            )
        worker.images.pop(attempt.spec.image, None)
        worker.images[attempt.spec.image] = attempt.spec.image_gb
        # Bound: the images on the machine; each turn forgets one.
        while worker.type and len(worker.images) > 1 and sum(worker.images.values()) > worker.type.cache_gb > 0:
            del worker.images[next(iter(worker.images))]  # the machine keeps the most recently used

    def task_completed(self, worker: Worker, attempt: Attempt, partition: JobPartition) -> None:
        """A task is done; its result is not recorded yet."""
        self.persistence.task_completed(partition)
        # The job is sound, so the workers on which it failed are not.
        self.release_from_hold(partition)
        for name in partition.crash_loop.failure_workers - {worker.name}:
            if name in self.workers:
                self.workers[name].task_failures += 1
        partition.crash_loop.failure_workers -= {worker.name}
        log.debug(
            "task done task=%s worker=%s since_sent_s=%.1f since_running_s=%.1f",
            attempt.name,
            worker.name,
            (self.ctx.now_us - attempt.created_us) / SECOND,
            (self.ctx.now_us - attempt.running_since_us) / SECOND,
        )
        if attempt.running_since_us:
            self.capacity.task_finished((self.ctx.now_us - attempt.running_since_us) / SECOND)

    def term_raised(self, term: int) -> None:
        """Our leadership has a higher term now, without a failover."""
        # Every worker that has shown a term of ours stays fenced: what it may still execute is
        # ours alone, and nothing of an earlier leader's. Only a failover starts anew.
        self.term = term
        self.attempt_counter = 0

    # Time.

    def tick(self) -> None:
        """Do what is due by the clock."""
        self.silence_check.tick()
        self.addresses.close_cleared()
        self.command_sender.probe_addresses()
        if self.ctx.now_us >= self.next_deadline_order_us:
            self.next_deadline_order_us = self.ctx.now_us + DEADLINE_ORDER_INTERVAL_US
            self._update_deadline_order()
        self.persistence.write_due()
        self._end_retry_pauses()

    def _end_retry_pauses(self) -> None:
        """Let tasks whose pause after a failure is over start again."""
        now_us = self.ctx.now_us
        for job_id in sorted(self.retrying):
            partition = self.partitions.get(job_id)
            if partition is None or not partition.not_before:
                self.retrying.discard(job_id)
                continue
            for index in [index for index, at_us in partition.not_before.items() if at_us <= now_us]:
                del partition.not_before[index]
                self.needs_placement = True

    def _update_deadline_order(self) -> None:
        """Order what waits by deadline, and let what has waited too long go first."""
        queue = [partition for partition in self.waiting_in_order() if not partition.on_hold]
        if not queue:
            return
        slots, rate = self.capacity.queueing_station()
        # Of what is still booting, half is there in time for the usual job.
        cpus = slots * self.capacity.mean_task().cpus + self.capacity.booting_cpus() / 2
        order_by_deadline(queue, max(cpus * rate, MIN_EXPECTED_CPUS), self.ctx.wall_us)
        self.placement.ageing.update(queue, 1 / rate, slots)
        self.invalidate_queue_order()

    def end_batch(self) -> None:
        """After a batch of messages: place what waits, send workers their commands."""
        if self.registration.to_register:
            self.registration.register_workers()
        self.placement.place_waiting()
        self.command_sender.send_direct_commands()

    # What load balancing, autoscaling and the log ask; see `CapacityFigures`.

    def mean_task(self) -> MeanTask:
        """CPUs and run time of a typical batch task."""
        return self.capacity.mean_task()

    def capacity_summary(self) -> CapacitySummary:
        """Sums over the machines that can be used."""
        return self.capacity.summary()

    def queueing_station(self) -> QueueingStation:
        """Slots for typical tasks, and the rate at which each serves."""
        return self.capacity.queueing_station()

    def free_slots(self) -> int:
        """Slots that are free right now; none while tasks wait for a machine."""
        return self.capacity.free_slots()

    def available_service_cpus(self) -> list[int]:
        """CPUs that services could have in each zone, in the order of the settings."""
        return self.capacity.available_service_cpus()

    def quick_service_cpus(self) -> int:
        """The part of it on machines that fetch a usual image of a service in time."""
        return self.capacity.quick_service_cpus()

    def summary(self) -> str:
        """One short line for the log, with counts; logs the machines one by one itself, at `debug`."""
        statuses = machine_statuses(self)
        log_machines(self.index, statuses)
        return str(summarize(self.index, self.waiting_tasks(), statuses))
