"""The workers of a shard by the machine registry, and their registration before the first launch."""

from typing import TYPE_CHECKING

import msgspec

from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.storage import records

if TYPE_CHECKING:
    from quinceslip.coordination.shard.shard import Shard

#: kind of the registry's records in the store
MACHINE_KIND = "roster"


class MachineRegistration:
    """Keeps a shard's workers in step with the machine registry. Owned by its shard.

    A worker may hold tasks only once its registry record says so durably (`MachineRecord.used`), so that after a
    failover the next leader knows which workers it must wait for.
    """

    def __init__(self, shard: "Shard") -> None:
        """Of this shard; its workers are taken over by `inherit_workers`."""
        self.shard = shard
        self.to_register: set[str] = set()  # workers that have been heard of, and may hold no tasks yet
        self._in_flight: set[Worker] = set()  # the write of their record has not been answered

    def inherit_workers(self) -> None:
        """Take over the workers of an earlier leader, with whatever they may hold."""
        shard = self.shard
        timing = shard.ctx.timing
        # The last answer that an earlier leader can have given its workers: at the end of its grace period. Guard: a
        # record of our own, from before a restart, says no less. Whoever had the shard before that may still be in
        # its grace period.
        last_answer_us = shard.led_since_us + timing.grace_us + timing.leader_lease_us
        for name, record in shard.ctx.cache.by_kind[MACHINE_KIND].items():
            if record.shard == shard.index:
                worker = self._enroll(name, record)
                worker.lease_renewed_us = worker.predecessor_renewed_us = last_answer_us
                if record.used:
                    shard.inherit_worker(worker)

    def record_changed(self, name: str) -> None:
        """A machine's record was written or deleted, by us or by others."""
        shard = self.shard
        record = shard.ctx.cache.by_kind[MACHINE_KIND].get(name)
        if record is not None and record.shard == shard.index:
            # If it is new, it was written after our failover: nothing inherited can be on it.
            self._enroll(name, record)
            shard.needs_placement = True
        elif name in shard.workers:
            shard.machine_gone(name)

    def _enroll(self, name: str, record: records.MachineRecord) -> Worker:
        """The worker of a record, made where the shard does not have it yet."""
        shard = self.shard
        worker = shard.workers.get(name)
        if worker is None:
            worker = Worker(name, shard.ctx.machine_types.get(record.type), record.zone, record.spot, record.endpoint)
            worker.registered_us = worker.idle_since_us = worker.lease_renewed_us = shard.ctx.now_us
            shard.workers[name] = worker
        worker.registered = record.used
        return worker

    def register_workers(self) -> None:
        """Record durably that workers may hold tasks; nothing is launched on them before.

        Machines that were rented together come up together, so as many as a transaction takes are written at once.
        """
        shard = self.shard
        unregistered = self._unregistered_workers()
        self.to_register = {worker.name for worker in unregistered}
        fresh = [worker for worker in unregistered if worker not in self._in_flight][: shard.ctx.limits.txn_ops]
        if fresh and shard.election.may_launch(shard.index):
            self._write_records(fresh)

    def _unregistered_workers(self) -> list[Worker]:
        """The workers to register that are still here and in the registry, by name."""
        machine_records = self.shard.ctx.cache.by_kind[MACHINE_KIND]
        candidates = [self.shard.workers.get(name) for name in sorted(self.to_register)]
        return [
            worker
            for worker in candidates
            if worker is not None and not worker.registered and worker.name in machine_records
        ]

    def _write_records(self, workers: list[Worker]) -> None:
        """Write their records in one compare-and-swap; the watch then marks them as registered."""
        ctx = self.shard.ctx
        machine_records = ctx.cache.by_kind[MACHINE_KIND]
        self._in_flight.update(workers)

        def on_written(status: int, failed: list[str]) -> None:
            # Written or not: the watch shows it, and a worker that is not registered is tried again.
            self._in_flight.difference_update(workers)

        entries = {
            records.machine_key(worker.name): msgspec.structs.replace(
                machine_records[worker.name], endpoint=worker.endpoint, used=True
            )
            for worker in workers
        }
        ctx.compare_and_swap(
            {
                **self.shard.election.fencing_condition(self.shard.index),
                **{key: ctx.cache.mod_revision(key) for key in entries},
            },
            {key: (entry, None) for key, entry in entries.items()},
            [],
            on_written,
            Urgency.LAUNCH,
        )
