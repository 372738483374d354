"""One shard: its workers' reports, its parts together, and the sums that balance and rentals ask for."""

import logging
from dataclasses import dataclass, field

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.jobs.persistence import JobPersistence
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.reconciliation.commands import CommandSender
from quinceslip.coordination.reconciliation.reconciler import Reconciler
from quinceslip.coordination.scheduling.deadline_order import order_by_deadline
from quinceslip.coordination.scheduling.placement import Placement
from quinceslip.coordination.shard.partition import JobPartition
from quinceslip.coordination.shard.worker import Attempt, Worker
from quinceslip.protocol import messages as m
from quinceslip.storage import records

log = logging.getLogger(__name__)

#: workers are looked at for silence so often
SWEEP_US = SECOND // 2
DEADLINE_ORDER_US = SECOND
FIGURES_US = SECOND // 4
#: a machine with services that has not been heard of for so long is asked
SERVICE_PROBE_US = 3 * SECOND // 2


@dataclass(slots=True)
class CapacitySummary:
    """Sums over the usable machines of a shard, as of one moment."""

    at_us: int
    service_room: dict[str, float]  # CPUs by zone that services could have: free, or of what they may preempt
    quick_room: float = 0.0  # the part of it on machines that fetch a usual image of a service in time
    batch_cpus: float = 0.0  # CPUs that services leave
    free_cpus: list[float] = field(default_factory=list)  # of each machine


class Shard(Reconciler):
    def __init__(self, ctx: Context, election: LeaderElection, index: int, term: int, previous_own_term: int) -> None:
        super().__init__(ctx, election, index, term)
        self.previous_own_term = previous_own_term
        self.persistence = JobPersistence(self)
        self.placement = Placement(self)
        self.command_sender = CommandSender(self, self.persistence, self.receive_heartbeat)
        self.run_times_s: list[float] = []  # run times of finished tasks, newest last
        self.moved_us: dict[str, int] = {}
        self.next_sweep_us = 0
        self.next_deadline_order_us = 0
        self.to_register: set[str] = set()
        self.mean_task_cache: tuple[int, float, float] = (-SECOND, 1.0, 60.0)
        self.summary_cache = CapacitySummary(-SECOND, {})
        # The last answer that an earlier owner can have given its workers: at the end of its grace. Guard: a record of
        # our own, from before a restart, says no less. Whoever had the shard before that may still be in its grace.
        grace_us = ctx.timing.grace_us + ctx.timing.leader_lease_us
        for name, record in ctx.cache.by_kind["roster"].items():
            if record.shard == index:
                worker = self._enroll(name, record)
                worker.lease_renewed_us = worker.predecessor_renewed_us = self.led_since_us + grace_us
                if record.used:
                    self.inherit_worker(worker)
        for job_id in list(ctx.cache.open_jobs):
            self.persistence.load(job_id, inherited=True)
        self.release_unreconciled()

    # Records.

    def _enroll(self, name: str, record: records.MachineRecord) -> Worker:
        worker = self.workers.get(name)
        if worker is None:
            worker = Worker(name, self.ctx.types.get(record.type), record.zone, record.spot, record.endpoint)
            worker.registered_us = worker.idle_us = worker.lease_renewed_us = self.ctx.now_us
            self.workers[name] = worker
        worker.registered = record.used
        return worker

    def machine_record_changed(self, name: str) -> None:
        record = self.ctx.cache.by_kind["roster"].get(name)
        if record is not None and record.shard == self.index:
            # If it is new, it was written after our takeover: nothing inherited can be on it.
            self._enroll(name, record)
            self.needs_placement = True
        elif name in self.workers:
            self.machine_gone(name)

    # Reports.

    def receive_heartbeat(self, heartbeat: m.WorkerHeartbeat, direct: bool = False) -> m.CommandReply | None:
        """Take a report; returns the answer, or None where none may be given yet."""
        worker = self.workers[heartbeat.worker]
        now_us = self.ctx.now_us
        if heartbeat.fencing_token > self.term:
            self.raise_term(heartbeat.fencing_token)
            return None
        if self.is_from_expired_epoch(worker, heartbeat):
            log.info("worker %s reports of session %d, whose lease is over", worker.name, heartbeat.epoch)
            return None
        if not direct and self.is_duplicate(worker, heartbeat):
            log.info("worker %s: report %d.%d again, or after a later one", worker.name, heartbeat.epoch, heartbeat.seq)
            return None
        usable, used_cpus = self.placement.usable(worker), worker.used_cpus
        if not self.apply_heartbeat(worker, heartbeat):
            # A direct reply has overtaken it, and its sender may still wait for the answer.
            worker.last_heartbeat_us = now_us
            worker.lease_renewed_us = max(worker.lease_renewed_us, now_us)
            return m.CommandReply(self.term, self.command_sender.commands_for(worker, may_launch=False))
        if self.placement.usable(worker) != usable or (
            direct and (worker.used_cpus < used_cpus or self.quota is not None or self._preemptors_waiting())
        ):
            self.needs_placement = True
        if direct:
            return None
        worker.last_heartbeat_us = now_us
        answered = self.should_answer(worker, heartbeat)
        if worker.delivery.suspect:
            self.command_sender.probe(worker)
        if not answered:
            return None
        # Guard: an answer of ours that is lost takes nothing back of what an earlier owner may still renew.
        worker.lease_renewed_us = max(worker.lease_renewed_us, now_us)
        if not worker.registered:
            self.to_register.add(worker.name)
        self.placement.place_on(worker)
        reply = m.CommandReply(
            self.term, self.command_sender.commands_for(worker, self.election.may_launch(self.index))
        )
        worker.delivery.answer_sent(heartbeat, self.term, reply.commands)
        return reply

    def _preemptors_waiting(self) -> bool:
        """Whether something waits that may stop other work: what has just been seen to run may make room."""
        return any(c.pending and c.priority <= 1 for c in self.queued.values())

    def _register_workers(self) -> None:
        """Record durably that workers may hold tasks; nothing is launched on them before.

        Machines of one rental come up together, so as many as a transaction takes go at once.
        """
        machine_records, cache = self.ctx.cache.by_kind["roster"], self.ctx.cache
        workers = [
            w
            for w in (self.workers.get(n) for n in sorted(self.to_register))
            if w is not None and not w.registered and w.name in machine_records
        ]
        self.to_register = {w.name for w in workers}
        fresh = [w for w in workers if not w.registering][: self.ctx.limits.txn_ops]
        if not fresh or not self.election.may_launch(self.index):
            return
        for worker in fresh:
            worker.registering = True

        def done(status: int, failed: list[str]) -> None:
            for worker in fresh:
                worker.registering = False

        keys = {
            records.machine_key(w.name): msgspec.structs.replace(
                machine_records[w.name], endpoint=w.endpoint, used=True
            )
            for w in fresh
        }
        self.ctx.compare_and_swap(
            {**self.election.fencing_condition(self.index), **{k: cache.mod_revision(k) for k in keys}},
            {k: (entry, None) for k, entry in keys.items()},
            [],
            done,
            Urgency.LAUNCH,
        )

    def task_started(self, worker: Worker, attempt: Attempt) -> None:
        if attempt.running_us == self.ctx.now_us:
            log.debug(
                "%s runs on %s (%s) after %.1f s",
                attempt.name,
                worker.name,
                worker.type.label if worker.type else "?",
                (self.ctx.now_us - attempt.sent_us) / SECOND,
            )
        worker.images.pop(attempt.spec.image, None)
        worker.images[attempt.spec.image] = attempt.spec.image_gb
        # Bound: the images on the machine; each turn forgets one.
        while worker.type and len(worker.images) > 1 and sum(worker.images.values()) > worker.type.cache_gb > 0:
            del worker.images[next(iter(worker.images))]  # the machine keeps the most recently used

    def task_completed(self, worker: Worker, attempt: Attempt, partition: JobPartition) -> None:
        self.persistence.task_completed(partition)
        # The job is sound, so the workers on which it failed are not.
        self.release_from_hold(partition)
        for name in partition.crash_loop.blamed_machines - {worker.name}:
            if name in self.workers:
                self.workers[name].task_failures += 1
        partition.crash_loop.blamed_machines -= {worker.name}
        log.debug(
            "%s is done on %s: sent %.1f s, running %.1f s ago",
            attempt.name,
            worker.name,
            (self.ctx.now_us - attempt.sent_us) / SECOND,
            (self.ctx.now_us - attempt.running_us) / SECOND,
        )
        if attempt.running_us:
            self.run_times_s.append((self.ctx.now_us - attempt.running_us) / SECOND)
            del self.run_times_s[:-200]

    def term_raised(self, term: int) -> None:
        # Every worker that has shown a term of ours stays confirmed: what it may still execute is
        # ours alone, and nothing of a predecessor's. Only a takeover starts anew.
        self.term = term
        self.counter = 0

    # Time.

    def tick(self) -> None:
        now_us = self.ctx.now_us
        if now_us >= self.next_sweep_us:
            self.next_sweep_us = now_us + SWEEP_US
            self._check_silent_workers()
        if now_us >= self.next_deadline_order_us:
            self.next_deadline_order_us = now_us + DEADLINE_ORDER_US
            self._update_deadline_order()
        self.persistence.write_due()
        for job_id in sorted(self.retrying):
            partition = self.partitions.get(job_id)
            if partition is None or not partition.not_before:
                self.retrying.discard(job_id)
                continue
            for index in [i for i, t in partition.not_before.items() if t <= now_us]:
                del partition.not_before[index]
                self.needs_placement = True

    def _check_silent_workers(self) -> None:
        """Look for workers that fell silent."""
        now_us = self.ctx.now_us
        for worker in list(self.workers.values()):
            if not worker.lease_expired and now_us > worker.lease_renewed_us + self.ctx.timing.lease_expiry_us:
                if worker.attempts or worker.name in self.unreconciled:
                    log.info("worker %s has been silent past its lease", worker.name)
                self.expire_lease(worker)
            elif self.lease_expired_unheard(worker):
                log.info("worker %s reports and hears nothing; its lease is over", worker.name)
                self.expire_lease(worker)
            if worker.attempts:
                worker.idle_us = now_us
            silent_us = now_us - max(worker.last_contact_us, self.led_since_us)
            inherited = worker.name in self.unreconciled
            starvation_bound_us = self.silence_limit_us(worker)
            if (
                not worker.probing
                and worker.endpoint
                and now_us >= worker.next_probe_us
                and (
                    inherited
                    or (
                        worker.attempts
                        and worker.last_contact_us
                        and (silent_us > starvation_bound_us or worker.delivery.suspect)
                    )
                )
            ):
                self.command_sender.probe(worker)

    def silence_limit_us(self, worker: Worker) -> int:
        """How long a machine may be silent before it is asked; one that was inherited is asked at once."""
        if worker.name in self.unreconciled:
            return 0
        # Replicas that stand still are noticed at once, so their machines are asked early.
        return (
            min(self.ctx.timing.probe_after_us, SERVICE_PROBE_US)
            if worker.service_tasks
            else self.ctx.timing.probe_after_us
        )

    def _update_deadline_order(self) -> None:
        queue = [c for c in self.waiting_in_order() if not c.on_hold]
        if queue:
            slots, rate = self.queueing_station()
            cpus, _ = self.mean_task()
            booting = sum(
                w.type.cpus
                for w in self.workers.values()
                if w.type is not None and not w.last_contact_us and not w.deleting
            )
            # Of what is still booting, half is there in time for the usual job.
            order_by_deadline(queue, max((slots * cpus + booting / 2) * rate, 0.01), self.ctx.wall_us)
            self.placement.ageing.update(queue, 1 / rate, slots)
            self.reorder()

    def end_batch(self) -> None:
        """After a batch of messages: place what waits, tell workers."""
        if self.to_register:
            self._register_workers()
        self.placement.place_waiting()
        self.command_sender.send_direct()

    # What balance and rentals ask.

    def mean_task(self) -> tuple[float, float]:
        """CPUs and run time of a typical task: what a slot is and how fast it serves."""
        if self.ctx.now_us < self.mean_task_cache[0] + SECOND // 2:
            return self.mean_task_cache[1:]
        cpus = weight = 0.0
        run_s = 0.0
        for partition in self.partitions.values():
            if not partition.spec.service:
                count = len(partition.assigned) - len(partition.done)
                cpus += partition.spec.cpus * count
                run_s += partition.spec.estimate_s * count
                weight += count
        if weight:
            cpus, run_s = cpus / weight, run_s / weight
        if self.run_times_s:
            run_s = sum(self.run_times_s) / len(self.run_times_s)
        self.mean_task_cache = (self.ctx.now_us, cpus or 1.0, run_s or 60.0)
        return self.mean_task_cache[1:]

    def capacity_summary(self) -> CapacitySummary:
        """Sums over the machines that can be used, made anew four times a second at the most.

        Each submission asks for them, and each part that balances, rents or returns machines.
        """
        now_us = self.ctx.now_us
        if now_us < self.summary_cache.at_us + FIGURES_US:
            return self.summary_cache
        found = self.summary_cache = CapacitySummary(now_us, {zone: 0.0 for zone in self.ctx.settings.facts.zones})
        usable, quick = self.placement.usable, self.ctx.starts_quickly
        for worker in self.workers.values():
            if not usable(worker) or worker.type is None:
                continue
            found.batch_cpus += max(0.0, worker.type.cpus - worker.service_cpus)
            found.free_cpus.append(worker.type.cpus - worker.used_cpus)
            if not worker.spot:
                room = max(0.0, worker.service_room())
                found.service_room[worker.zone] = found.service_room.get(worker.zone, 0.0) + room
                if quick(worker.type):
                    found.quick_room += room
        return found

    def queueing_station(self) -> tuple[int, float]:
        """m and u of this shard."""
        cpus, run_s = self.mean_task()
        return (int(self.capacity_summary().batch_cpus / max(cpus, 0.1)), 1.0 / max(run_s, 0.1))

    def free_slots(self) -> int:
        """Slots free right now."""
        if any(c.pending and not c.on_hold for c in self.queued.values()):
            return 0
        cpus, _ = self.mean_task()
        # A machine on which room is being made holds both until the victims are gone: less than nothing is free.
        return int(sum(max(0.0, free) // max(cpus, 0.1) for free in self.capacity_summary().free_cpus))

    def summary(self) -> str:
        """One line for the log: each machine with what services and other tasks take of it."""
        parts = []
        for worker in sorted(self.workers.values(), key=lambda w: (w.spot, w.name)):
            services = worker.service_cpus
            others = worker.used_cpus - services
            state = "" if self.placement.usable(worker) else " out" if worker.last_contact_us else " booting"
            size = worker.type.cpus if worker.type else 0.0
            parts.append(f"{worker.name}{' spot' if worker.spot else ''} {services:g}+{others:g}/{size:g}{state}")
        return f"shard {self.index}: {self.waiting_tasks()} waiting; " + ", ".join(parts)

    def service_room(self) -> list[int]:
        """CPUs that services could have in each zone: free, or held by what they may preempt."""
        room = self.capacity_summary().service_room
        return [int(room[zone]) for zone in self.ctx.settings.facts.zones]

    def quick_room(self) -> int:
        """The part of it on machines that fetch a usual image of a service in time."""
        return int(self.capacity_summary().quick_room)
