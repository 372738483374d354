"""Dispatch of changed records in the store cache to the components that handle their kind."""

import logging
from collections.abc import Callable, Iterable, Sequence
from functools import partial

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.autoscaling.autoscaler import Autoscaler
from quinceslip.coordination.connectivity.connectivity import WorkerConnectivity
from quinceslip.coordination.controller.subsystem import Subsystem
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.load_balancing.load_balancer import LoadBalancer
from quinceslip.coordination.shard.shard import Shard
from quinceslip.storage.cache import StoreCache
from quinceslip.storage.records import RecordKind

log = logging.getLogger(__name__)


class RecordChanges:
    """Dispatches changed records one by one; a handler gets the name of the record within its kind."""

    def __init__(
        self,
        ctx: Context,
        shards: dict[int, Shard],
        election: LeaderElection,
        load_balancer: LoadBalancer,
        autoscaler: Autoscaler,
        connectivity: WorkerConnectivity,
        subsystems: Sequence[Subsystem],
    ) -> None:
        self.ctx = ctx
        self.shards = shards
        self.election = election
        self.load_balancer = load_balancer
        self.autoscaler = autoscaler
        self._handlers: dict[str, Callable[[str], None]] = {}
        for subsystem in subsystems:
            for kind in subsystem.kinds:
                self._handlers[kind] = partial(subsystem.record_changed, kind)
        self._handlers |= {
            RecordKind.JOB: self._load_job,
            RecordKind.PARTITION: self._partition_changed,
            RecordKind.MACHINE: self._machine_changed,
            RecordKind.SHARD: self._shard_changed,
            RecordKind.MISROUTED: connectivity.misrouted.peer_record_changed,
            RecordKind.MACHINE_TYPES: self._types_changed,
        }

    def apply(self, changed_keys: Iterable[str]) -> None:
        """Handle records that changed in the cache.

        The dependency graph is updated first: whether a job may start depends on other records of the same batch. Jobs
        that became ready or more urgent as a result come last.
        """
        keys = [StoreCache.split_key(key) for key in changed_keys]
        graph_changes = self.ctx.graph.records_changed([name for kind, name in keys if kind == RecordKind.JOB])
        for kind, name in keys:
            self.ctx.records_applied += 1
            self._apply_isolated(self._handlers.get(kind), kind, name)
        for job_id in graph_changes.ready:
            self._apply_isolated(self._job_ready, RecordKind.JOB, job_id)
        for job_id in graph_changes.urgency_changed:
            self._apply_isolated(self._urgency_changed, RecordKind.JOB, job_id)

    @staticmethod
    def _apply_isolated(handler: Callable[[str], None] | None, kind: str, name: str) -> None:
        """Call a handler; the error of one record must not cost those that changed with it, which come only once."""
        if handler is None:
            return
        try:
            handler(name)
        except Exception:
            log.exception("changed record not applied kind=%s name=%s", kind, name)

    def _urgency_changed(self, job_id: str) -> None:
        for shard in self.shards.values():
            shard.persistence.urgency_changed(job_id)

    def _load_job(self, job_id: str) -> None:
        for shard in self.shards.values():
            shard.persistence.load(job_id)

    def _partition_changed(self, name: str) -> None:
        """Load the job of a partition record, whose name consists of shard and job."""
        _, _, job_id = name.partition("/")
        self._load_job(job_id)

    def _machine_changed(self, name: str) -> None:
        self.autoscaler.inventory.machine_record_changed(name)
        for shard in self.shards.values():
            shard.machine_record_changed(name)

    def _shard_changed(self, name: str) -> None:
        self.election.shard_record_changed(int(name))

    def _types_changed(self, _name: str) -> None:
        self.autoscaler.types_changed()

    def _job_ready(self, job_id: str) -> None:
        """Load a job whose dependencies are done: in the paper's model it arrives now."""
        for shard in self.shards.values():
            shard.persistence.load(job_id)
            partition = shard.partitions.get(job_id)
            if partition is not None:
                self.load_balancer.job_ready(shard, partition)
