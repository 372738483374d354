"""Nobody waits for ever: what has been passed over for too long goes first, and room is kept for it.

Order by deadline puts the largest job back, and what comes free piece by piece is always too small for a large task, or
for a gang that needs many pieces at once. So a job that has not begun goes before all others of its priority once its
patience is over; an array with one task, which is its beginning. So does any job once it has waited for BEGIN_US.
The oldest for which no machine has room has machines kept for it: those that will have the room soonest take nothing of
its priority or a lower one until it has its place. Backfilling by estimates is left out: they are wrong by half
(docs/end-of-day.md). A beginning is owed whatever a job's team has, the largest first and within a part of what starts;
else teams divide what is free as before.

A plain class: no I/O, no clock but the actor's.
"""

import logging
from collections.abc import Iterable

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.shard.partition import NOT, OLD, ONE, WHOLE, JobPartition
from quinceslip.coordination.shard.worker import Worker, fits

log = logging.getLogger(__name__)

#: users: the largest jobs of a class too begin within this long of their submission
START_BOUND_US = 240 * SECOND
#: beginnings that are owed whatever a team has take this part of what a shard starts
GRANTED_PART = 0.1


def starvation_bound_us(boot_us: int, run_us: int) -> int:
    """How long a job that has not begun may be passed over.

    What is left of BEGIN_US is for room to come free once it goes first: a boot or the work in its way, and as
    much again. At least a quarter of BEGIN_US, so that deadlines keep their order in an ordinary queue.
    """
    return min(max(START_BOUND_US - 2 * (boot_us + run_us), START_BOUND_US // 4), START_BOUND_US // 2)


class Ageing:
    """What has waited too long in a shard, and the machines kept for the first of it. Owned by its placement."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.reserved_for: JobPartition | None = None  # room is kept for this one
        self.reserved_machines: frozenset[str] = frozenset()  # on these machines
        self.typical_run_us = 0  # of a usual task
        self.grants_available, self.grants_updated_us = (
            1.0,
            ctx.now_us,
        )  # beginnings that may be called now, and as of when

    def update(self, queue: list[JobPartition], run_s: float, slots: int) -> None:
        """Set `first` of every waiting chunk. Asked for with each new foresight."""
        boots_us = [micros(t.boot_s) for t in self.ctx.types.values()]
        patient_us = starvation_bound_us(max(boots_us, default=0), micros(run_s))
        for partition in queue:
            first = self._precedence(partition, patient_us) if self.ctx.tuning.bound_waits else NOT
            if not partition.precedence:
                partition.precedence_since_us = self.ctx.now_us
            partition.precedence = first
        self.typical_run_us = micros(run_s)
        self._grant_starts(queue, slots / max(run_s, 0.1))

    def _grant_starts(self, queue: list[JobPartition], starts_per_s: float) -> None:
        """Whose turn it is to begin whatever their teams have: the largest first.

        Guard: a flood of single tasks is as many beginnings as jobs. Were all owed before the teams' parts, they would
        go before all that others have; so beginnings get a part of what the shard starts.
        """
        passed_us, self.grants_updated_us = self.ctx.now_us - self.grants_updated_us, self.ctx.now_us
        self.grants_available = min(
            self.grants_available + GRANTED_PART * starts_per_s * passed_us / SECOND, max(1.0, starts_per_s)
        )
        waiting = []
        for partition in queue:
            partition.start_granted = partition.start_granted and partition.awaits_start
            if partition.awaits_start and not partition.start_granted:
                waiting.append(partition)
        waiting.sort(key=lambda c: (c.priority, -c.spec.tasks * c.spec.cpus, c.submitted_us, c.job_id))
        for partition in waiting[: int(self.grants_available)]:
            partition.start_granted = True
            self.grants_available -= 1.0

    def _precedence(self, partition: JobPartition, patient_us: int) -> int:
        waited_us = self.ctx.wall_us - partition.submitted_us
        # What failed has begun, and a suspected job is tried one task at a time: neither is passed over.
        if waited_us < patient_us or not partition.startable() or partition.crash_loop.suspected:
            return NOT
        if partition.spec.service or partition.spec.gang:
            return WHOLE
        if not (partition.attempts or partition.done or partition.unrecorded_done or partition.failures):
            return ONE
        return OLD if waited_us >= START_BOUND_US else NOT

    # Room that is kept.

    def is_reserved_from(self, worker: Worker, partition: JobPartition) -> bool:
        """Whether that machine is kept from this chunk."""
        return (
            worker.name in self.reserved_machines
            and self.reserved_for is not None
            and partition is not self.reserved_for
            and bool(self.reserved_for.pending)
            and partition.priority >= self.reserved_for.priority
        )

    def release_stale(self, partitions: dict[str, JobPartition]) -> None:
        """Let go of what is kept for a chunk that waits no more, or not first."""
        known = self.reserved_for
        if known is not None and (
            not known.precedence or not known.startable() or known.on_hold or partitions.get(known.job_id) is not known
        ):
            self.reserved_for, self.reserved_machines = None, frozenset()

    def reserve(self, partition: JobPartition, machines: Iterable[Worker]) -> None:
        """No machine has room for it; `machines` are those that it may use.

        Room is kept for one chunk at a time, so what it costs is bounded: the first of the highest priority.
        """
        known = self.reserved_for
        # Guard: kept only for what is called or old, or a flood of single tasks would keep machines from other teams.
        if not partition.start_due and partition.precedence != OLD:
            return
        # What goes first takes the next place that is large enough; within a usual run each place comes free once.
        if self.ctx.now_us < partition.precedence_since_us + self.typical_run_us or (
            known is not None and known is not partition and known.sort_key() <= partition.sort_key()
        ):
            return
        found = self._soonest_machines(partition, list(machines))
        if self.reserved_for is not partition and found:
            log.info(
                "%s has waited for %.0f s: %s kept for it",
                partition.job_id,
                (self.ctx.wall_us - partition.submitted_us) / SECOND,
                ", ".join(sorted(found)),
            )
        self.reserved_for, self.reserved_machines = (partition, found) if found else (None, frozenset())

    def _soonest_machines(self, partition: JobPartition, machines: list[Worker]) -> frozenset[str]:
        """The machines that will have the room soonest; none where all of them together never have it."""
        spec = partition.spec
        need = partition.startable() if spec.gang or spec.service else 1
        ways = (
            [[w for w in machines if w.zone == zone] for zone in sorted({w.zone for w in machines})]
            if spec.one_zone
            else [machines]
        )
        best: tuple[int, frozenset[str]] | None = None
        for way in ways:
            # What is kept already stays so while it serves: work there was let run out for it.
            ranked = sorted(
                (
                    not (self.reserved_for is partition and w.name in self.reserved_machines),
                    free_us,
                    w.name,
                    places,
                    w.zone,
                )
                for w in way
                for free_us, places in [_free_in(w, partition, self.ctx.now_us)]
                if places
            )
            names, left, last_us = set(), need, 0
            most = (spec.tasks + 1) // 2 if spec.spread else need
            zones: dict[str, int] = {}
            for _, free_us, name, places, zone in ranked:
                places = min(places, most - zones.get(zone, 0))
                if left <= 0 or places <= 0:
                    continue
                names.add(name)
                zones[zone] = zones.get(zone, 0) + places
                left, last_us = left - places, max(last_us, free_us)
            if left <= 0 and (best is None or last_us < best[0]):
                best = (last_us, frozenset(names))
        return best[1] if best is not None else frozenset()


def _free_in(worker: Worker, partition: JobPartition, now_us: int) -> tuple[int, int]:
    """In how many microseconds a task of it may fit there, and how many will once all that ends has ended."""
    room, soonest_us = worker.free(), 0 if fits(worker.free(), partition.spec) else -1
    ends = sorted(
        (max(0, (a.running_us or now_us) + micros(a.spec.estimate_s) - now_us), a.name, a.spec)
        for a in worker.live_attempts()
        if not a.spec.service
    )
    for ends_us, _, spec in ends:
        room = (room[0] + spec.cpus, room[1] + spec.gpus, room[2] + spec.memory_gb)
        if soonest_us < 0 and fits(room, partition.spec):
            soonest_us = ends_us
    if soonest_us < 0:
        return 0, 0
    needs = (partition.spec.cpus, partition.spec.gpus, partition.spec.memory_gb)
    parts = [have / need for have, need in zip(room, needs, strict=True) if need > 0]
    return soonest_us, int(min(parts, default=1.0) + 1e-6)
