"""Which task goes to which machine of a shard.

A whole pass looks at every machine that may have room; a pass for one worker, made when it reports
that a task has ended, looks at that worker only. Neither looks again for a task as large as one that
found no place in the same pass.
"""

import logging
from collections import deque
from collections.abc import Iterable

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.scheduling.ageing import Ageing
from quinceslip.coordination.scheduling.candidates import CandidateMachines
from quinceslip.coordination.shard.partition import NOT, ONE, JobPartition
from quinceslip.coordination.shard.state import ShardState
from quinceslip.coordination.shard.worker import EPSILON, Attempt, Worker, fits
from quinceslip.protocol import messages as m
from quinceslip.storage import task_sets

log = logging.getLogger(__name__)

#: fetches may be a third slower than their type's rate, and a start takes a moment besides
FETCH_PART = 0.7
#: a machine so many times as large as what services would have of it is not kept for them if another will do
LARGE = 6.0
#: what a fetch, and one that is too slow, weigh against CPU seconds lost by preemption
UNCACHED_COST = 30.0
SLOW_COST = 300.0
#: what found no place in this pass, by what binds it besides its size: zones (None: any), CPUs, GPUs and memory
Failed = dict[tuple[object, ...], list[tuple[frozenset[str] | None, float, float, float]]]


class Placement:
    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.ctx = state.ctx
        timing = state.ctx.timing
        self.heartbeat_silence_us, self.fresh_us = timing.worker_lease_us // 2, timing.fresh_us
        self.wait_s = {o.job_class: o.within_s for o in state.ctx.settings.facts.objectives if o.kind == "wait"}
        self.all_zones = set(state.ctx.settings.facts.zones)
        self.preferred_machines: dict[
            tuple[object, ...], deque[Worker]
        ] = {}  # machines for a shape of tasks, in this pass
        self.ageing = Ageing(state.ctx)
        self.launched = 0
        self.workers_examined = 0  # workers looked at so far: the work of placement, for tests and profiles

    # Who may get what.

    def usable(self, worker: Worker) -> bool:
        if (
            not worker.fenced
            or not worker.registered
            or worker.lease_expired
            or worker.delivery.suspect
            or worker.draining
            or worker.deleting
            or worker.notice_us
            or worker.type is None
        ):
            return False
        now_us = self.ctx.now_us
        # One that answers probes while its own reports do not arrive is about to lose its lease.
        return now_us - worker.last_contact_us <= self.fresh_us and (
            now_us - worker.last_heartbeat_us < self.heartbeat_silence_us
            or now_us - self.state.led_since_us < self.heartbeat_silence_us
        )

    def satisfies_constraints(self, worker: Worker, spec: m.JobSpec, zones: set[str] | None) -> bool:
        return (
            worker.type is not None
            and (spec.types is None or worker.type.label in spec.types)
            and (spec.zone is None or worker.zone == spec.zone)
            and (spec.spot or not worker.spot)
            and (zones is None or worker.zone in zones)
        )

    def eligible_zones(self, partition: JobPartition) -> set[str] | None:
        """Zones that `together` and `spread` leave for one more task; None: any.

        Every task that may still be somewhere counts, wherever its chunk is kept.
        """
        spec = partition.spec
        if not (spec.one_zone or spec.spread):
            return None
        state = self.state
        job = self.ctx.cache.job(partition.job_id)
        others = (
            []
            if job is None or (not job.parts and job.shard == state.index)
            else [
                c
                for s, c in self.ctx.cache.partitions(partition.job_id).items()
                if s != state.index and task_sets.decode(c.assigned) - task_sets.decode(c.done)
            ]
        )
        # Where others hold a part of it, only disjoint zones keep both from meeting.
        apart = (
            not spec.one_zone
            and partition.zones
            and all(c.zones and not partition.zones & set(c.zones) for c in others)
        )
        if partition.unreconciled or partition.indeterminate or (others and not apart):
            return set()  # some may be anywhere: wait until it is known
        counts: dict[str, int] = {}
        for worker, _ in state.possibly_running(partition.job_id):
            counts[worker.zone] = counts.get(worker.zone, 0) + 1
        zones = set(partition.zones or self.ctx.settings.facts.zones)
        if spec.one_zone:
            zones &= set(counts) or zones
            if len(counts) > 1:
                return set()
        if spec.spread:
            most = (spec.tasks + 1) // 2
            zones = {z for z in zones if counts.get(z, 0) < most}
        return zones

    # Passes.

    def place_waiting(self) -> None:
        """Place waiting tasks: priority first, then first come, first served."""
        if not self.state.needs_placement or not self.state.election.may_launch(self.state.index):
            return
        self.state.needs_placement = False
        queue = self.state.waiting_in_order()
        quota = self.state.quota
        if not queue:
            if quota is not None:
                quota.queue_empty()
            return
        self.ageing.release_stale(self.state.partitions)
        machines = CandidateMachines(self, self.state.workers.values())
        for part in [queue] if quota is None else quota.rounds(queue, machines.all()):
            self._run_pass(part, machines, True)

    def place_on(self, worker: Worker) -> None:
        """Place waiting tasks on one worker that has room again."""
        if (
            self.state.needs_placement
            or not self.state.election.may_launch(self.state.index)
            or not self.usable(worker)
        ):
            return
        if worker.name in self.ageing.reserved_machines:
            self.state.needs_placement = True  # whom it is kept for may need more than this machine
            return
        if worker.type is not None and worker.type.cpus - worker.used_cpus > EPSILON:
            queue, quota = self.state.waiting_in_order(), self.state.quota
            if quota is not None:
                queue = quota.order_for_one_place(queue)
            if queue:
                self._run_pass(queue, CandidateMachines(self, [worker]), False)

    def _run_pass(self, queue: list[JobPartition], machines: CandidateMachines, whole: bool) -> None:
        if not queue:
            return
        self.preferred_machines.clear()
        failed: Failed = {}
        least = min(c.spec.cpus for c in queue) - EPSILON
        roomy = machines.with_free_cpus(least)
        launched = self.launched
        nowhere: set[tuple[object, ...]] = set()  # shapes of tasks that found no place at all
        for partition in queue:
            if partition.shape in nowhere and self.state.quota is None:
                continue
            if not whole and not roomy:
                return
            if not self._quota_admits_whole(partition, whole, machines):
                continue
            before = self.launched
            offered = (
                [w for w in roomy if not self.ageing.is_reserved_from(w, partition)]
                if self.ageing.reserved_machines
                else roomy
            )
            if partition.spec.gang:
                if whole:
                    self._place_gang(partition, offered)
            elif partition.spec.one_zone or partition.spec.spread:
                self._place_bound(partition, offered, machines, failed, whole)
            else:
                self._place_free(partition, offered, machines, failed, whole)
            if whole and partition.pending and self.state.quota is not None:
                self.state.quota.not_placed(partition)
            if partition.precedence and whole:
                self._after_precedence(partition, machines, before == self.launched)
            if (
                partition.pending
                and not partition.spec.gang
                and self._known_to_fail(partition, self.all_zones, failed, False)
            ):
                nowhere.add(partition.shape)
            if partition.priority > 0 and roomy and self.launched != launched:
                launched = self.launched
                roomy = [w for w in roomy if w.type is not None and w.type.cpus - w.used_cpus >= least]

    def _after_precedence(self, partition: JobPartition, machines: CandidateMachines, nowhere: bool) -> None:
        """What went first has begun, or room is kept for it."""
        if partition.precedence == ONE and not nowhere:
            # The others of its tasks wait their turn again, in the next pass.
            partition.precedence = NOT
            self.state.reorder()
            self.state.needs_placement = True
        elif nowhere and partition.startable() and not partition.on_hold and self._quota_allows(partition, False):
            zones = self.eligible_zones(partition)
            if zones is None or zones:
                self.ageing.reserve(
                    partition, (w for w in machines.all() if self.satisfies_constraints(w, partition.spec, zones))
                )

    def _known_to_fail(self, partition: JobPartition, zones: set[str] | None, failed: Failed, note: bool) -> bool:
        """Whether a task no larger, bound alike and to no fewer zones, has found no place in this pass."""
        spec = partition.spec
        if note:
            failed.setdefault(partition.constraints, []).append(
                (None if zones is None else frozenset(zones), spec.cpus, spec.gpus, spec.memory_gb)
            )
            return True
        return any(
            (there is None or (zones is not None and zones <= there))
            and spec.cpus >= c
            and spec.gpus >= g
            and spec.memory_gb >= b
            for there, c, g, b in failed.get(partition.constraints, ())
        )

    def _paused(self, partition: JobPartition) -> list[int]:
        """Tasks that pause after a failure, taken out of the queue for this pass."""
        if not partition.not_before:
            return []
        now_us = self.ctx.now_us
        paused = [i for i, t in partition.not_before.items() if t > now_us and i in partition.pending]
        for index in paused:
            partition.pending.discard(index)
        return paused

    def _place_free(
        self, partition: JobPartition, roomy: list[Worker], machines: CandidateMachines, failed: Failed, whole: bool
    ) -> None:
        """Tasks that nothing binds together: the machines in order of preference, each filled in turn.

        Of two machines best fit takes the fuller one, and it stays the best as it fills up.
        """
        if self._known_to_fail(partition, None, failed, False) or not self._quota_allows(
            partition, whole, machines, not roomy
        ):
            return
        spec = partition.spec
        paused = self._paused(partition)
        stuck = False
        before = self.launched
        try:
            for worker in self._preferred(partition, roomy):
                # Bound: the tasks that wait; each turn takes one out of them, and those put aside come back after it.
                while partition.pending and fits(worker.free(), spec):
                    if not self._quota_allows(partition, whole) or (
                        partition.precedence == ONE and self.launched > before
                    ):
                        return
                    index = partition.pending.peek()
                    partition.pending.discard(index)
                    name = f"{partition.job_id}/{index}"
                    if name in worker.attempts or name in worker.reported_tasks:
                        paused.append(index)  # an ended attempt of it is still on that worker
                        continue
                    self._launch(partition, index, worker)
                if not partition.pending:
                    return
            # Bound: the same.
            while (
                whole
                and partition.pending
                and self._quota_allows(partition, whole, machines, True)
                and not (partition.precedence == ONE and self.launched > before)
            ):
                spare = self._preempt_for(partition, machines, None, False)
                if spare is None:
                    stuck = True
                    break
                index = partition.pending.peek()
                partition.pending.discard(index)
                self._launch(partition, index, spare)
            stuck = stuck or not whole
        finally:
            for index in paused:
                partition.pending.push(index)
            if stuck:
                self._known_to_fail(partition, None, failed, True)

    def _place_bound(
        self, partition: JobPartition, roomy: list[Worker], machines: CandidateMachines, failed: Failed, whole: bool
    ) -> None:
        """Tasks bound by zones: each is placed by what those before it left."""
        spec = partition.spec
        if self._known_to_fail(partition, self.all_zones, failed, False):
            return  # nowhere at all, so it need not be known which zones are left
        paused = self._paused(partition)
        # Bound: the tasks that wait; each turn launches one.
        while partition.pending and self._quota_allows(partition, whole):
            zones = self.eligible_zones(partition)
            if (zones is not None and not zones) or self._known_to_fail(partition, zones, failed, False):
                break
            index = partition.pending.peek()
            name = f"{partition.job_id}/{index}"
            worker = self._best(partition, roomy, zones, name)
            if whole and (worker is None or (spec.service and self.slow_fetch(worker, spec))):
                # Room that is free but slow to fetch is only second to room that can be made.
                worker = self._preempt_for(partition, machines, zones, worker is not None) or worker
            if worker is None:
                self._known_to_fail(partition, zones, failed, True)
                break
            partition.pending.discard(index)
            self._launch(partition, index, worker)
        for index in paused:
            partition.pending.push(index)

    def _place_gang(self, partition: JobPartition, roomy: list[Worker]) -> None:
        """Place all tasks of a gang or none; nothing is sent before all have a place."""
        now_us = self.ctx.now_us
        if len(partition.pending) != len(partition.assigned) - len(partition.done) - len(
            partition.unrecorded_done
        ) or any(t > now_us for t in partition.not_before.values()):
            return  # some of an earlier try are still there
        placed: list[Attempt] = []
        for index in list(partition.pending):
            name = f"{partition.job_id}/{index}"
            worker = self._best(partition, roomy, self.eligible_zones(partition), name)
            if worker is None:
                for attempt in placed:
                    self.state.detach(self.state.workers[attempt.worker], attempt.name)
                    del partition.attempts[attempt.index]
                self.launched -= len(placed)
                return
            # Tasks of a gang know each other by their attempt, so they share its number.
            self._launch(partition, index, worker, placed[0].number if placed else 0)
            placed.append(partition.attempts[index])
        for attempt in placed:
            partition.pending.discard(attempt.index)

    def _launch(self, partition: JobPartition, index: int, worker: Worker, number: int = 0) -> None:
        self.launched += 1
        attempt = self.state.launch(partition, index, worker, number)
        log.debug("launch %s on %s", attempt.name, worker.name)

    # The choice of the machine.

    def _by_preference(
        self, partition: JobPartition, workers: Iterable[Worker], zones: set[str] | None
    ) -> list[Worker]:
        """Best fit among the machines that reported room, those with the image first."""
        found = [
            (self._machine_sort_key(partition, w), w)
            for w in workers
            if fits(w.free(), partition.spec) and self.satisfies_constraints(w, partition.spec, zones)
        ]
        found.sort(key=lambda f: f[0])
        return [worker for _, worker in found]

    def _best(
        self, partition: JobPartition, workers: Iterable[Worker], zones: set[str] | None, name: str
    ) -> Worker | None:
        """The first of them on which nothing of that task is left."""
        spec = partition.spec
        return min(
            (
                w
                for w in workers
                if fits(w.free(), spec)
                and self.satisfies_constraints(w, spec, zones)
                and name not in w.attempts
                and name not in w.reported_tasks
            ),
            key=lambda w: self._machine_sort_key(partition, w),
            default=None,
        )

    def _machine_sort_key(self, partition: JobPartition, worker: Worker) -> tuple[object, ...]:
        room, spec = worker.free(), partition.spec
        return (
            worker.task_failures > 1,
            worker.name in partition.crash_loop.blamed_machines,
            *self._preference(worker, spec),
            room[0] - spec.cpus,
            room[2] - spec.memory_gb,
            worker.name,
        )

    def _preferred(self, partition: JobPartition, workers: Iterable[Worker]) -> Iterable[Worker]:
        """The same, found once a pass for all chunks of one shape where quotas give few tasks to many teams.

        The machine that was best stays so as it fills up; the order of the others is that of the first look.
        """
        spec = partition.spec
        if self.state.quota is None or partition.crash_loop.blamed_machines:
            return self._by_preference(partition, workers, None)
        shape = (
            spec.image,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            tuple(spec.types or ()),
            spec.zone,
            spec.spot,
            spec.service,
            spec.job_class,
        )
        order = self.preferred_machines.get(shape)
        if order is None:
            order = self.preferred_machines[shape] = deque(self._by_preference(partition, workers, None))
        # Bound: the machines in order; each turn drops one.
        while order and not fits(order[0].free(), spec):
            order.popleft()
        return order

    def _preference(self, worker: Worker, spec: m.JobSpec) -> tuple[float, ...]:
        """What comes before best fit. Smaller is better."""
        uncached = float(spec.image not in worker.images)
        resident = worker.service_cpus
        if spec.service:
            # Services stay for long: where they leave least besides themselves, whatever else
            # runs there now, the other machines can be returned. But not where the fetch alone
            # takes longer than users want to wait.
            size = worker.type.cpus if worker.type else 0.0
            return (
                float(self.slow_fetch(worker, spec)),
                uncached,
                float(size > LARGE * (resident + spec.cpus)),
                size - resident - spec.cpus,
            )
        # Work that may use spot machines leaves the others to work that may not, and of those
        # prefers the ones that services keep rented anyway. Idle machines stay idle while others
        # have room, so that they can be returned.
        return (
            float(spec.spot and not worker.spot),
            float(not resident and not worker.spot),
            float(not worker.running),
            uncached,
        )

    def slow_fetch(self, worker: Worker, spec: m.JobSpec) -> bool:
        """Whether the fetch of its image alone takes longer than users want to wait for a start."""
        if worker.type is None or spec.image in worker.images:
            return False
        return not self.quick_type(worker.type, spec)

    def quick_type(self, kind: m.MachineType, spec: m.JobSpec) -> bool:
        within_s = self.wait_s.get(spec.job_class)
        return within_s is None or spec.image_gb <= FETCH_PART * within_s * kind.fetch_gb_per_s

    def _preempt_for(
        self, partition: JobPartition, machines: CandidateMachines, zones: set[str] | None, quick: bool
    ) -> Worker | None:
        """Preempt lower priorities, `quick`: not where the fetch is slow. Production takes the place at once."""
        spec, quota = partition.spec, self.state.quota
        guaranteed = quota is not None and bool(quota.guarantees_covering(spec))
        if partition.priority > 1 and not guaranteed:
            return None
        best: tuple[float, Worker, list[Attempt]] | None = None
        for worker in machines.workers:
            # What is looked up at a glance goes first: on most machines nothing would give way.
            if not worker.running or (not guaranteed and worker.service_room() < spec.cpus - EPSILON):
                continue
            if (
                not self.usable(worker)
                or not self.satisfies_constraints(worker, spec, zones)
                or (quick and self.slow_fetch(worker, spec))
            ):
                continue
            room = list(worker.free())
            for attempt in worker.live_attempts():
                if attempt.stopping and attempt.observed and not attempt.grace_s:
                    # Stopped for another task a moment ago, and more than that one needs, perhaps.
                    room[0] += attempt.spec.cpus
                    room[1] += attempt.spec.gpus
                    room[2] += attempt.spec.memory_gb
            search = quota.preemption_policy(spec) if quota is not None else None
            victims = [
                a
                for a in worker.live_attempts()
                if a.observed
                and not a.stopping
                and (
                    search.may_preempt(a)
                    if search is not None
                    else partition.priority <= 1 and a.priority > partition.priority
                )
            ]
            victims.sort(key=lambda a: (-a.priority, a.spec.checkpoint_s == 0, -a.running_us))
            chosen: list[Attempt] = []
            lost = 0.0
            for victim in victims:
                if fits((room[0], room[1], room[2]), spec):
                    break
                if search is not None:
                    if not search.may_preempt(victim):
                        continue  # what was chosen before it leaves its team within its guarantee
                    search.choose(victim)
                chosen.append(victim)
                room[0] += victim.spec.cpus
                room[1] += victim.spec.gpus
                room[2] += victim.spec.memory_gb
                ran_s = (self.ctx.now_us - victim.running_us) / SECOND if victim.running_us else 0.0
                at_risk_s = min(ran_s, victim.spec.checkpoint_s) if victim.spec.checkpoint_s else ran_s
                lost += at_risk_s * victim.spec.cpus
            cost = lost + UNCACHED_COST * (spec.image not in worker.images) + SLOW_COST * self.slow_fetch(worker, spec)
            if fits((room[0], room[1], room[2]), spec) and (best is None or cost < best[0]):
                best = (cost, worker, chosen)
        if best is None:
            return None
        _, worker, chosen = best
        for victim in chosen:
            log.info("%s makes room for %s", victim.name, partition.job_id)
            self.state.stop(victim, 0.0)
        return worker

    # Quotas.

    def _quota_allows(
        self, partition: JobPartition, whole: bool, machines: CandidateMachines | None = None, full: bool = False
    ) -> bool:
        """Whether one more task may start by its quotas; if not, they are told so in a whole pass.

        `full`: none of the machines has room.
        """
        quota = self.state.quota
        if quota is None or quota.allows(partition.spec):
            return True
        if whole and not quota.deferred_to_next_round():
            there = machines.all() if machines is not None else []
            quota.blocked_by_quota(
                partition,
                1,
                not (full and there),
                (w for w in there if self.satisfies_constraints(w, partition.spec, None)),
            )
        return False

    def _quota_admits_whole(self, partition: JobPartition, whole: bool, machines: CandidateMachines) -> bool:
        """A gang, and a service of which nothing runs yet, starts within its quotas as a whole or not at all."""
        quota, spec = self.state.quota, partition.spec
        if quota is None or not (spec.gang or (spec.service and not partition.attempts)) or not partition.pending:
            return True
        count = len(partition.pending)
        if quota.allows(spec, count):
            return True
        if whole and not quota.deferred_to_next_round():
            quota.blocked_by_quota(
                partition, count, True, (w for w in machines.all() if self.satisfies_constraints(w, spec, None))
            )
        return False
