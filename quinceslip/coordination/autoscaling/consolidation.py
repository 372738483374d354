"""Empties machines whose services would fit beside others, so that they can be returned.

Services come together on as few machines as hold them, but end at any time; what is left of them
stays scattered and keeps machines rented. A replica is moved (PROTOCOL, "Preemption") only to where
its image is already, so that it is away for a fraction of a second, and only a few at a time.
"""

import logging
from dataclasses import dataclass

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.autoscaling.resources import Resources
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.worker import Attempt, Worker, fits
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: why a worker is drained whose services are moved elsewhere
PACKING = "packing"
#: part of a shard's replicas that may be moved in one second, but so many at the least, and so many at once
MOVED_PART_PER_S = 0.002
MIN_MOVED_PER_S = 0.25
MAX_MOVES = 3.0
#: a start does not count if the task is stopped within 30 s of it (PROTOCOL)
SETTLED_US = 35 * SECOND
#: room must have been spare for this part of a boot time before a machine is emptied for it
SPARE_BOOTS = 0.6
#: free CPUs near a machine, in its zone, for each CPU of services that would be moved
NEARBY_ROOM_FACTOR = 1.5
#: a machine that wastes so many times the worth of what it holds may be emptied at the price of fetches
EXPENSIVE_FACTOR = 3.0
#: part of the machines that may be emptied at the same time
MAX_EMPTYING_PART = 0.1


@dataclass(frozen=True, slots=True)
class MoveTargets:
    """Where the replicas of one machine may go: usable workers, and what is still free on those in its zone."""

    workers: list[Worker]
    free: dict[str, Resources]
    may_fetch: bool  # whether a machine without the image will do


class Consolidator:
    """Owns, by shard, since when there is room for services elsewhere, and how many replicas may be moved now."""

    def __init__(self, ctx: Context, election: LeaderElection) -> None:
        self.ctx = ctx
        self.election = election
        self.spare_since_us: dict[int, int] = {}
        self.allowance: dict[int, float] = {}

    def consolidate(self, shard: Shard, reserve_cpus: float) -> None:
        """Called each second; `reserve_cpus` must stay free for services that are expected."""
        emptying = [worker for worker in shard.workers.values() if worker.draining == PACKING]
        if shard.unreconciled or shard.waiting_tasks() or not self.election.may_launch(shard.index):
            self._abandon(shard, emptying)
            return
        workers = [worker for worker in shard.workers.values() if shard.placement.usable(worker) and not worker.spot]
        replicas = sum(worker.service_tasks for worker in workers) + sum(worker.service_tasks for worker in emptying)
        earned = max(MIN_MOVED_PER_S, MOVED_PART_PER_S * replicas)
        allowance = min(MAX_MOVES, self.allowance.get(shard.index, 0.0) + earned)
        for worker in sorted(emptying, key=lambda worker: worker.service_cpus):
            allowance -= self._move_replicas(shard, worker, workers, int(allowance))
        self.allowance[shard.index] = allowance
        if len(emptying) < max(1, int(MAX_EMPTYING_PART * len(workers))):
            self._choose_machine(shard, workers, reserve_cpus)

    def _abandon(self, shard: Shard, emptying: list[Worker]) -> None:
        """Room is needed, or may be: machines that are being emptied are used again."""
        for worker in emptying:
            worker.draining = ""
            shard.needs_placement = True
        self.spare_since_us.pop(shard.index, None)

    def _choose_machine(self, shard: Shard, workers: list[Worker], reserve_cpus: float) -> None:
        """Begin to empty the most wasteful machine, once there has been room for its services for long enough."""
        candidates = [worker for worker in workers if worker.service_tasks and worker.type is not None]
        chosen = max(candidates, key=lambda worker: (self._wasted_price(worker), worker.name), default=None)
        if chosen is None or chosen.type is None:
            return
        if not _has_room_elsewhere(chosen, workers, reserve_cpus):
            self.spare_since_us.pop(shard.index, None)
            return
        since_us = self.spare_since_us.setdefault(shard.index, self.ctx.now_us)
        if self.ctx.now_us - since_us > SPARE_BOOTS * micros(chosen.type.boot_s):
            log.info("machine is emptied worker=%s service_cpus=%g", chosen.name, chosen.service_cpus)
            chosen.draining = PACKING

    def _unit_price(self) -> float:
        """The lowest price of a CPU for an hour on ordinary machines."""
        prices = (
            machine_type.price / machine_type.cpus for machine_type in self.ctx.types.values() if machine_type.cpus > 0
        )
        return min(prices, default=0.0)

    def _wasted_price(self, worker: Worker) -> float:
        """What a machine costs in an hour beyond what runs on it is worth."""
        return worker.type.price - self._unit_price() * worker.used_cpus if worker.type is not None else 0.0

    def _move_replicas(self, shard: Shard, worker: Worker, workers: list[Worker], max_moves: int) -> int:
        """Stop replicas that find a place elsewhere; returns how many."""
        # Where a large machine is kept by little, a fetch is worth it, if it is no slower than a start may be.
        may_fetch = self._wasted_price(worker) > EXPENSIVE_FACTOR * self._unit_price() * worker.service_cpus
        free = {other.name: Resources(*other.free()) for other in workers if other.zone == worker.zone}
        targets = MoveTargets(workers, free, may_fetch)
        moved = 0
        for attempt in worker.live_attempts():
            if moved >= max_moves:
                break
            if not self._may_be_moved(attempt):
                continue
            target = _find_target(shard, attempt.spec, targets)
            if target is not None:
                free[target.name] = free[target.name].without(attempt.spec)
                shard.stop(attempt, 0.0)
                moved += 1
        return moved

    def _may_be_moved(self, attempt: Attempt) -> bool:
        return (
            attempt.spec.service
            and not attempt.stopping
            and attempt.observed
            and self.ctx.now_us - attempt.running_since_us >= SETTLED_US
        )


def _has_room_elsewhere(chosen: Worker, workers: list[Worker], reserve_cpus: float) -> bool:
    """Whether the other machines have room for what runs on one: enough for its services near by, for all anywhere."""
    others = [worker for worker in workers if worker is not chosen]
    spare_cpus = sum(worker.free()[0] for worker in others)
    nearby_cpus = sum(worker.free()[0] for worker in others if worker.zone == chosen.zone and worker.live_attempt_count)
    has_nearby_room = nearby_cpus >= NEARBY_ROOM_FACTOR * chosen.service_cpus
    return has_nearby_room and spare_cpus >= chosen.used_cpus + reserve_cpus


def _find_target(shard: Shard, spec: m.JobSpec, targets: MoveTargets) -> Worker | None:
    """A machine of the same zone that has room and the image: `spread` stays as it is."""
    fetching: Worker | None = None
    for worker in targets.workers:
        free = targets.free.get(worker.name)
        if (
            free is None
            or not worker.live_attempt_count
            or not fits(free, spec)
            or not shard.placement.satisfies_constraints(worker, spec, None)
        ):
            continue
        if spec.image in worker.images:
            return worker
        if targets.may_fetch and fetching is None and not shard.placement.fetch_too_slow(worker, spec):
            fetching = worker
    return fetching
