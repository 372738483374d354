"""Empties machines whose services would fit beside others, so that they can be returned.

Services come together on as few machines as hold them, but end at any time; what is left of them
stays scattered and keeps machines rented. A replica is moved (PROTOCOL, "Preemption") only to where
its image is already, so that it is away for a fraction of a second, and only a few at a time.
"""

import logging

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard.worker import Attempt, Worker, fits

log = logging.getLogger(__name__)

PACKING = "packing"
#: part of a shard's replicas that may be moved in one second
MOVED_PER_S = 0.002
#: a start does not count if the task is stopped within 30 s of it (PROTOCOL)
SETTLED_US = 35 * SECOND
#: room must have been spare for this part of a boot time before a machine is emptied for it
SPARE_BOOTS = 0.6
#: a machine that wastes so many times the worth of what it holds may be emptied at the price of fetches
DEAR = 3.0
#: part of the machines that may be emptied at the same time
AT_ONCE = 0.1


class Consolidator:
    def __init__(self, ctx: Context, election: LeaderElection) -> None:
        self.ctx = ctx
        self.election = election
        self.spare_since_us: dict[int, int] = {}
        self.allowance: dict[int, float] = {}

    def consolidate(self, shard: Shard, reserve_cpus: float) -> None:
        """Called each second; `reserve_cpus` must stay free for services that are expected."""
        emptying = [w for w in shard.workers.values() if w.draining == PACKING]
        if shard.unreconciled or shard.waiting_tasks() or not self.election.may_launch(shard.index):
            for worker in emptying:
                worker.draining = ""
                shard.needs_placement = True
            self.spare_since_us.pop(shard.index, None)
            return
        workers = [w for w in shard.workers.values() if shard.placement.usable(w) and not w.spot]
        replicas = sum(w.service_tasks for w in workers) + sum(w.service_tasks for w in emptying)
        allowance = min(3.0, self.allowance.get(shard.index, 0.0) + max(0.25, MOVED_PER_S * replicas))
        for worker in sorted(emptying, key=lambda w: w.service_cpus):
            allowance -= self._move_replicas(shard, worker, workers, int(allowance))
        self.allowance[shard.index] = allowance
        if len(emptying) < max(1, int(AT_ONCE * len(workers))):
            self._choose_machine(shard, workers, reserve_cpus)

    def _choose_machine(self, shard: Shard, workers: list[Worker], reserve_cpus: float) -> None:
        now_us = self.ctx.now_us
        holding = [w for w in workers if w.service_tasks and w.type is not None]
        victim = max(holding, key=lambda w: (self._wasted_price(w), w.name), default=None)
        if victim is None or victim.type is None:
            return
        others = [w for w in workers if w is not victim]
        spare = sum(w.free()[0] for w in others)
        near = sum(w.free()[0] for w in others if w.zone == victim.zone and w.running)
        if near < 1.5 * victim.service_cpus or spare < victim.used_cpus + reserve_cpus:
            self.spare_since_us.pop(shard.index, None)
            return
        since_us = self.spare_since_us.setdefault(shard.index, now_us)
        if now_us - since_us > SPARE_BOOTS * micros(victim.type.boot_s):
            log.info("machine %s is emptied: %g CPUs of services fit elsewhere", victim.name, victim.service_cpus)
            victim.draining = PACKING

    def _unit_price(self) -> float:
        """The lowest price of a CPU for an hour on ordinary machines."""
        return min((t.price / t.cpus for t in self.ctx.types.values() if t.cpus > 0), default=0.0)

    def _wasted_price(self, worker: Worker) -> float:
        """What a machine costs in an hour beyond what runs on it is worth."""
        return worker.type.price - self._unit_price() * worker.used_cpus if worker.type is not None else 0.0

    def _move_replicas(self, shard: Shard, worker: Worker, workers: list[Worker], most: int) -> int:
        moved = 0
        room = {w.name: w.free() for w in workers if w.zone == worker.zone}
        # Where a large machine is kept by little, a fetch is worth it, if it is no slower than a start may be.
        patient = self._wasted_price(worker) > DEAR * self._unit_price() * worker.service_cpus
        for attempt in worker.live_attempts():
            if moved >= most:
                break
            if (
                not attempt.spec.service
                or attempt.stopping
                or not attempt.observed
                or self.ctx.now_us - attempt.running_us < SETTLED_US
            ):
                continue
            target = self._target(shard, attempt, workers, room, patient)
            if target is not None:
                free, spec = room[target.name], attempt.spec
                room[target.name] = (free[0] - spec.cpus, free[1] - spec.gpus, free[2] - spec.memory_gb)
                shard.stop(attempt, 0.0)
                moved += 1
        return moved

    def _target(
        self,
        shard: Shard,
        attempt: Attempt,
        workers: list[Worker],
        room: dict[str, tuple[float, float, float]],
        patient: bool,
    ) -> Worker | None:
        """A machine of the same zone that has room and the image: `spread` stays as it is."""
        spec = attempt.spec
        fetching: Worker | None = None
        for worker in workers:
            if (
                worker.name in room
                and worker.running
                and fits(room[worker.name], spec)
                and shard.placement.satisfies_constraints(worker, spec, None)
            ):
                if spec.image in worker.images:
                    return worker
                if patient and fetching is None and not shard.placement.slow_fetch(worker, spec):
                    fetching = worker
        return fetching
