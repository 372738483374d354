"""The workers of a shard according to the machine registry, and their registration before the first launch."""

from typing import TYPE_CHECKING

import msgspec

from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.storage import records
from quinceslip.storage.records import RecordKind

if TYPE_CHECKING:
    from quinceslip.coordination.shard.shard import Shard


class MachineRegistration:
    """Keeps a shard's workers in step with the machine registry. Owned by its shard.

    A worker may be given tasks only once its registry record durably says so (`MachineRecord.used`), so that after a
    failover the next leader knows which workers it has to wait for.
    """

    def __init__(self, shard: "Shard") -> None:
        """Start without workers; `inherit_workers` adds those in the registry."""
        self.shard = shard
        self.to_register: set[str] = set()  # workers that have reported but may not hold tasks yet
        self._in_flight: set[Worker] = set()  # workers whose record is being written

    def inherit_workers(self) -> None:
        """Take over the workers of an earlier leader, with any tasks that they may hold."""
        shard = self.shard
        timing = shard.ctx.timing
        # The latest time at which an earlier leader can have answered its workers: the end of its grace period.
        # Guard: it is no earlier if the shard record was our own from before a restart, since whoever led the shard
        # before that may still be in its grace period.
        last_answer_us = shard.led_since_us + timing.grace_us + timing.leader_lease_us
        for name, record in shard.ctx.cache.by_kind[RecordKind.MACHINE].items():
            if record.shard == shard.index:
                worker = self._get_or_create_worker(name, record)
                worker.lease_renewed_us = worker.predecessor_renewed_us = last_answer_us
                if record.used:
                    shard.inherit_worker(worker)

    def record_changed(self, name: str) -> None:
        """Handle a machine record that was written or deleted, by us or by others."""
        shard = self.shard
        record = shard.ctx.cache.by_kind[RecordKind.MACHINE].get(name)
        if record is not None and record.shard == shard.index:
            # A new record was written after our failover, so the worker cannot hold inherited tasks.
            self._get_or_create_worker(name, record)
            shard.needs_placement = True
        elif name in shard.workers:
            shard.machine_gone(name)

    def _get_or_create_worker(self, name: str, record: records.MachineRecord) -> Worker:
        """Return the worker of a record, creating it if the shard does not have it yet."""
        shard = self.shard
        worker = shard.workers.get(name)
        if worker is None:
            worker = Worker(name, shard.ctx.machine_types.get(record.type), record.zone, record.spot, record.endpoint)
            worker.registered_us = worker.idle_since_us = worker.lease_renewed_us = shard.ctx.now_us
            shard.workers[name] = worker
            shard.tokens.fence_new_worker(worker)
        worker.registered = record.used
        return worker

    def register_workers(self) -> None:
        """Record durably that workers may hold tasks; nothing is launched on them before that.

        Machines that were rented together come up together, so as many as fit into a transaction are written at once.
        """
        shard = self.shard
        unregistered = self._unregistered_workers()
        self.to_register = {worker.name for worker in unregistered}
        batch = [worker for worker in unregistered if worker not in self._in_flight][: shard.ctx.limits.txn_ops]
        if batch and shard.election.may_launch(shard.index):
            self._write_records(batch)

    def _unregistered_workers(self) -> list[Worker]:
        """The workers to register that are still in the shard and in the registry, ordered by name."""
        machine_records = self.shard.ctx.cache.by_kind[RecordKind.MACHINE]
        candidates = [self.shard.workers.get(name) for name in sorted(self.to_register)]
        return [
            worker
            for worker in candidates
            if worker is not None and not worker.registered and worker.name in machine_records
        ]

    def _write_records(self, workers: list[Worker]) -> None:
        """Write their records in one compare-and-swap; the watch then marks them as registered."""
        ctx = self.shard.ctx
        machine_records = ctx.cache.by_kind[RecordKind.MACHINE]
        self._in_flight.update(workers)

        def on_written(status: int, failed: list[str]) -> None:
            # The watch shows whether it was written; a worker that is still unregistered is tried again.
            self._in_flight.difference_update(workers)

        new_records = {
            records.machine_key(worker.name): msgspec.structs.replace(
                machine_records[worker.name], endpoint=worker.endpoint, used=True
            )
            for worker in workers
        }
        ctx.compare_and_swap(
            {
                **self.shard.election.fencing_condition(self.shard.index),
                **{key: ctx.cache.mod_revision(key) for key in new_records},
            },
            {key: (record, None) for key, record in new_records.items()},
            [],
            on_written,
            Urgency.LAUNCH,
        )
