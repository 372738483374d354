"""One shard as its leader runs it: composes its parts, and routes events and queries of other packages to them."""

import logging
from functools import partial

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.isolation import run_isolated
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

#: interval at which waiting partitions are reordered by deadline
DEADLINE_ORDER_INTERVAL_US = SECOND
#: lower bound of the CPUs that deadline scheduling expects
MIN_EXPECTED_CPUS = 0.01


class Shard(Reconciler):
    """A shard that this controller leads.

    Its parts: persistence of jobs, placement, commands to workers, heartbeats, registration of workers, the check for
    silent workers, and capacity figures.
    """

    def __init__(
        self, ctx: Context, election: LeaderElection, index: int, term: int, own_term_before_restart: int
    ) -> None:
        """Take over shard `index` under `term`, with its workers and open jobs as recorded in the store.

        `own_term_before_restart`: our term before a restart if nobody has led the shard since, else 0.
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
        self.last_move_us: dict[str, int] = {}  # by job: when the load balancer last moved tasks to another shard
        self.last_release_us: dict[str, int] = {}  # by job: when zones were last given to another shard
        self.next_deadline_order_us = 0
        self.registration.inherit_workers()
        for job_id in list(ctx.cache.open_jobs):
            # Guard: without its `Shard`, a leader would renew its record but answer no worker and start nothing.
            run_isolated(
                partial(self.persistence.load, job_id, inherited=True), "inherited job not loaded job=%s", job_id
            )
        self.release_unreconciled()

    # Events.

    def receive_heartbeat(self, heartbeat: m.WorkerHeartbeat, direct: bool = False) -> m.CommandReply | None:
        """Apply a heartbeat; returns the answer, or None if none may be given (`HeartbeatReceiver.receive`)."""
        return self.heartbeats.receive(heartbeat, direct)

    def machine_record_changed(self, name: str) -> None:
        """Handle a machine record that was written or deleted, by us or by others."""
        self.registration.record_changed(name)

    def task_started(self, worker: Worker, attempt: Attempt) -> None:
        """Handle a task reported as running: its image is on the machine, as the most recently used one."""
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
        # Bound: the images on the machine; each iteration removes one.
        while worker.type and len(worker.images) > 1 and sum(worker.images.values()) > worker.type.cache_gb > 0:
            del worker.images[next(iter(worker.images))]  # the machine keeps the most recently used

    def task_completed(self, worker: Worker, attempt: Attempt, partition: JobPartition) -> None:
        """Handle a task that is done; its result is not recorded yet."""
        self.persistence.task_completed(partition)
        # The job can succeed, so its failures are attributed to the machines on which it failed.
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
        """Adopt a higher term of our own leadership, without a failover."""
        # Every worker that has shown a term of ours stays fenced: all it may still execute comes from us, not from an
        # earlier leader. Only a failover resets this.
        self.term = term
        self.attempt_counter = 0

    # Time.

    def tick(self) -> None:
        """Run the periodic work that is due."""
        self.silence_check.tick()
        self.addresses.close_cleared()
        self.command_sender.probe_addresses()
        if self.ctx.now_us >= self.next_deadline_order_us:
            self.next_deadline_order_us = self.ctx.now_us + DEADLINE_ORDER_INTERVAL_US
            self._update_deadline_order()
        self.persistence.write_due()
        self._end_retry_pauses()

    def _end_retry_pauses(self) -> None:
        """Release tasks whose retry delay after a failure has passed."""
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
        """Order waiting partitions by deadline, and put those first that have waited too long."""
        queue = [partition for partition in self.waiting_in_order() if not partition.on_hold]
        if not queue:
            return
        slots, rate = self.capacity.queueing_station()
        # Half of the booting CPUs are expected to be ready in time for a typical job.
        cpus = slots * self.capacity.mean_task().cpus + self.capacity.booting_cpus() / 2
        order_by_deadline(queue, max(cpus * rate, MIN_EXPECTED_CPUS), self.ctx.wall_us)
        self.placement.ageing.update(queue, 1 / rate, slots)
        self.invalidate_queue_order()

    def end_batch(self) -> None:
        """Finish a batch of messages: place waiting tasks, and send workers their commands."""
        if self.registration.to_register:
            self.registration.register_workers()
        self.placement.place_waiting()
        self.command_sender.send_direct_commands()

    # Queries of load balancing, autoscaling and the log; see `CapacityFigures`.

    def mean_task(self) -> MeanTask:
        """CPUs and run time of a typical batch task."""
        return self.capacity.mean_task()

    def capacity_summary(self) -> CapacitySummary:
        """Totals over the usable machines."""
        return self.capacity.summary()

    def queueing_station(self) -> QueueingStation:
        """Number of slots for typical tasks, and the service rate of each."""
        return self.capacity.queueing_station()

    def free_slots(self) -> int:
        """Number of slots that are free now; 0 while tasks wait for a machine."""
        return self.capacity.free_slots()

    def available_service_cpus(self) -> list[int]:
        """CPUs available to services, free or by preemption, in each zone in the order of the settings."""
        return self.capacity.available_service_cpus()

    def quick_service_cpus(self) -> int:
        """CPUs available to services on machines that fetch a typical service image in time."""
        return self.capacity.quick_service_cpus()

    def summary(self) -> str:
        """A short log line with counts; also logs the machines one by one at `debug`."""
        statuses = machine_statuses(self)
        log_machines(self.index, statuses)
        return str(summarize(self.index, self.waiting_tasks(), statuses))
