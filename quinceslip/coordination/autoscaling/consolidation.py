"""Empties machines whose services fit on other machines, so that they can be returned.

Services are packed on as few machines as possible, but they end at any time, and the remaining ones stay scattered and
keep machines rented. Replicas are moved (PROTOCOL, "Preemption") a few at a time, and only to machines that already
have the image, so that each is down for a fraction of a second.
"""

import logging
from dataclasses import dataclass

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.autoscaling.resources import Resources
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: `draining` reason of a worker whose services are moved to other machines
PACKING = "packing"
#: fraction of a shard's replicas that may be moved per second, lower bound of that rate, and the largest burst
MOVED_FRACTION_PER_S = 0.002
MIN_MOVED_PER_S = 0.25
MAX_MOVES = 3.0
#: a start does not count if the task is stopped within 30 s (PROTOCOL), so replicas run longer before a move
MIN_RUN_TIME_US = 35 * SECOND
#: boot times for which there must have been room elsewhere before a machine is emptied
MIN_SPARE_BOOT_TIMES = 0.6
#: free CPUs that the zone must have per CPU of services to be moved
NEARBY_ROOM_FACTOR = 1.5
#: if a machine wastes this many times the worth of its services, they may move to machines that must fetch the image
FETCH_WASTE_FACTOR = 3.0
#: fraction of the machines that may be emptied at the same time
MAX_EMPTYING_FRACTION = 0.1


@dataclass(frozen=True, slots=True)
class MoveTargets:
    """Possible targets for the replicas of one machine: usable workers, and free resources of those in its zone."""

    workers: list[Worker]
    free: dict[str, Resources]
    may_fetch: bool  # whether a machine without the image is acceptable


class Consolidator:
    """Tracks, per shard, since when there is room for services elsewhere and how many replicas may be moved now."""

    def __init__(self, ctx: Context, election: LeaderElection) -> None:
        self.ctx = ctx
        self.election = election
        self.spare_since_us: dict[int, int] = {}
        self.allowance: dict[int, float] = {}

    def consolidate(self, shard: Shard, reserve_cpus: float) -> None:
        """Run once per second; `reserve_cpus` must stay free for expected services."""
        emptying = [worker for worker in shard.workers.values() if worker.draining == PACKING]
        if shard.unreconciled or shard.waiting_tasks() or not self.election.may_launch(shard.index):
            self._cancel_emptying(shard, emptying)
            return
        workers = [worker for worker in shard.workers.values() if shard.placement.usable(worker) and not worker.spot]
        replicas = sum(worker.service_tasks for worker in workers) + sum(worker.service_tasks for worker in emptying)
        accrued = max(MIN_MOVED_PER_S, MOVED_FRACTION_PER_S * replicas)
        allowance = min(MAX_MOVES, self.allowance.get(shard.index, 0.0) + accrued)
        for worker in sorted(emptying, key=lambda worker: worker.service_cpus):
            allowance -= self._move_replicas(shard, worker, workers, int(allowance))
        self.allowance[shard.index] = allowance
        if len(emptying) < max(1, int(MAX_EMPTYING_FRACTION * len(workers))):
            self._start_emptying(shard, workers, reserve_cpus)

    def _cancel_emptying(self, shard: Shard, emptying: list[Worker]) -> None:
        """Put machines that are being emptied back into use, since their room is or may be needed."""
        for worker in emptying:
            worker.draining = ""
            shard.needs_placement = True
        self.spare_since_us.pop(shard.index, None)

    def _start_emptying(self, shard: Shard, workers: list[Worker], reserve_cpus: float) -> None:
        """Start to empty the most wasteful machine once there has been room for its services for long enough."""
        candidates = [worker for worker in workers if worker.service_tasks and worker.type is not None]
        candidate = max(candidates, key=lambda worker: (self._wasted_price(worker), worker.name), default=None)
        if candidate is None or candidate.type is None:
            return
        if not _has_room_elsewhere(candidate, workers, reserve_cpus):
            self.spare_since_us.pop(shard.index, None)
            return
        since_us = self.spare_since_us.setdefault(shard.index, self.ctx.now_us)
        if self.ctx.now_us - since_us > MIN_SPARE_BOOT_TIMES * micros(candidate.type.boot_s):
            log.info("emptying machine worker=%s service_cpus=%g", candidate.name, candidate.service_cpus)
            candidate.draining = PACKING

    def _unit_price(self) -> float:
        """Return the lowest hourly price per CPU of on-demand machines."""
        prices = (
            machine_type.price / machine_type.cpus
            for machine_type in self.ctx.machine_types.values()
            if machine_type.cpus > 0
        )
        return min(prices, default=0.0)

    def _wasted_price(self, worker: Worker) -> float:
        """Return the hourly price of a machine beyond the worth of the CPUs used on it."""
        return worker.type.price - self._unit_price() * worker.used_cpus if worker.type is not None else 0.0

    def _move_replicas(self, shard: Shard, worker: Worker, workers: list[Worker], max_moves: int) -> int:
        """Stop up to `max_moves` replicas that can be placed elsewhere, and return how many were stopped."""
        # If few services keep a large machine, an image fetch is worthwhile unless it slows the start too much.
        may_fetch = self._wasted_price(worker) > FETCH_WASTE_FACTOR * self._unit_price() * worker.service_cpus
        free = {other.name: Resources.of_worker(other) for other in workers if other.zone == worker.zone}
        targets = MoveTargets(workers, free, may_fetch)
        moved = 0
        without_target: set[str] = set()  # services of which no replica can be placed elsewhere
        for attempt in worker.live_attempts():
            if moved >= max_moves:
                break
            if attempt.job_id in without_target or not self._is_movable(attempt):
                continue
            target = _find_target(shard, attempt.spec, targets)
            if target is None:
                without_target.add(attempt.job_id)
            else:
                free[target.name] = free[target.name].without(attempt.spec)
                shard.stop(attempt, 0.0)
                moved += 1
        return moved

    def _is_movable(self, attempt: Attempt) -> bool:
        return (
            attempt.spec.service
            and not attempt.stopping
            and attempt.observed
            and self.ctx.now_us - attempt.running_since_us >= MIN_RUN_TIME_US
        )


def _has_room_elsewhere(candidate: Worker, workers: list[Worker], reserve_cpus: float) -> bool:
    """Whether other machines have room: enough in the zone for its services, and enough anywhere for all its tasks."""
    others = [worker for worker in workers if worker is not candidate]
    spare_cpus = sum(worker.free()[0] for worker in others)
    nearby_cpus = sum(
        worker.free()[0] for worker in others if worker.zone == candidate.zone and worker.live_attempt_count
    )
    has_nearby_room = nearby_cpus >= NEARBY_ROOM_FACTOR * candidate.service_cpus
    return has_nearby_room and spare_cpus >= candidate.used_cpus + reserve_cpus


def _find_target(shard: Shard, spec: m.JobSpec, targets: MoveTargets) -> Worker | None:
    """Find a machine of the same zone that has room and the image; staying in the zone preserves `spread`."""
    fetch_target: Worker | None = None
    for worker in targets.workers:
        free = targets.free.get(worker.name)
        if (
            free is None
            or not worker.live_attempt_count
            or not free.has_room_for(spec)
            or not shard.placement.satisfies_constraints(worker, spec, None)
        ):
            continue
        if spec.image in worker.images:
            return worker
        if targets.may_fetch and fetch_target is None and not shard.placement.fetch_too_slow(worker, spec):
            fetch_target = worker
    return fetch_target
