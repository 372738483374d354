"""Adopts unexpected machines into the registry: those that send heartbeats or appear in the cloud's list."""

import logging
from functools import partial
from http import HTTPStatus

from quinceslip.coordination.actor.compare_and_swap import CompareAndSwapCallback
from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import NOT_SENT, Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m
from quinceslip.storage import records
from quinceslip.storage.records import RecordKind

log = logging.getLogger(__name__)

#: the cloud lists a dead machine as running for about this long (PROTOCOL)
DEAD_MACHINE_LISTED_US = 30 * SECOND
INSPECT_TIMEOUT_US = SECOND
#: interval between searches of the list for machines to adopt: where none was found, and after an adoption
SEARCH_PERIOD_US = SECOND
ADOPTION_PERIOD_US = 2 * SECOND
#: a machine whose adoption failed is tried again after this time
FAILED_ADOPTION_PERIOD_US = 30 * SECOND
#: a listed machine counts as abandoned only once it is older than this many list lags plus a margin
MIN_AGE_LAGS = 4
MIN_AGE_MARGIN_S = 10


class Adoption:
    """Tracks when machines left the registry and which unexpected workers were probed, and adopts machines."""

    def __init__(self, ctx: Context, election: LeaderElection, shards: dict[int, Shard], list_lag_us: int) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.list_lag_us = list_lag_us
        self.deregistered_us: dict[str, int] = {}  # when a machine left the registry
        self.next_probe_us: dict[str, int] = {}  # when a worker that was probed may be probed again
        self.next_search_us = 0
        self.next_attempt_us: dict[str, int] = {}  # when a listed machine whose adoption failed may be tried again

    def machine_record_changed(self, name: str) -> None:
        """The registry's record of a machine was written or deleted."""
        if name in self.ctx.cache.by_kind[RecordKind.MACHINE]:
            self.deregistered_us.pop(name, None)
        else:
            self.deregistered_us[name] = self.ctx.now_us

    def adopt_from_heartbeat(
        self, heartbeat: m.WorkerHeartbeat, shard_index: int, on_adopted: CompareAndSwapCallback
    ) -> None:
        """Register an unexpected worker that sends heartbeats in a shard.

        Guard: only if it answers a probe now. A heartbeat may arrive long after its machine is gone, and a machine in
        the registry delays the next failover until it is proven gone. Machines that left the registry were proven gone.
        """
        name, now_us = heartbeat.worker, self.ctx.now_us
        if name in self.deregistered_us or now_us < self.next_probe_us.get(name, 0):
            on_adopted(NOT_SENT, [])
            return
        self._forget_expired_probes()
        # Hundreds of copies of a heartbeat may arrive from a machine that is gone, so probes are rate-limited.
        self.next_probe_us[name] = now_us + self.ctx.timing.worker_lease_us // 2
        record = records.MachineRecord(
            shard_index, heartbeat.type, heartbeat.zone, heartbeat.spot, heartbeat.endpoint, used=True
        )
        on_inspected = partial(self._on_inspected, name, record, on_adopted)
        self.ctx.call(heartbeat.endpoint, "GET", m.PATH_INSPECT, None, on_inspected, timeout_us=INSPECT_TIMEOUT_US)

    def adopt_listed_if_due(self, listed: dict[str, m.CloudMachine], listed_us: int, deleting: set[str]) -> None:
        """Register one listed machine that no controller has registered, for instance from a late scale-out request.

        `listed_us` is when the list was requested; `deleting` holds the machines whose deletion is in progress.
        """
        if self.ctx.now_us < self.next_search_us:
            return
        self.next_search_us = self.ctx.now_us + SEARCH_PERIOD_US
        shard = self.shards.get(self.election.home)
        if shard is None:
            return
        machine_records = self.ctx.cache.by_kind[RecordKind.MACHINE]
        for position, name in enumerate(sorted(listed)):
            if name in machine_records or name in deleting or position % self.ctx.settings.facts.size != shard.index:
                continue
            machine = listed[name]
            if self._may_be_gone(name, listed_us) or not self._is_abandoned(machine):
                continue
            # Guard: a machine that can't be adopted must not keep this search from those after it in the list.
            if self.ctx.now_us < self.next_attempt_us.get(name, 0):
                continue
            self.next_search_us = self.ctx.now_us + ADOPTION_PERIOD_US
            log.info("adopted unexpected machine worker=%s shard=%d", name, shard.index)
            record = records.MachineRecord(
                shard.index, machine.type, machine.zone, machine.spot, machine.endpoint, used=True
            )
            self._adopt(name, record, partial(self._on_listed_adopted, name))
            return
        self.next_attempt_us = {name: at_us for name, at_us in self.next_attempt_us.items() if name in listed}

    def _on_listed_adopted(self, name: str, status: int, failed_conditions: list[str]) -> None:
        if status == HTTPStatus.OK:
            self.next_attempt_us.pop(name, None)
        else:
            self.next_attempt_us[name] = self.ctx.now_us + FAILED_ADOPTION_PERIOD_US

    def _may_be_gone(self, name: str, listed_us: int) -> bool:
        """Whether a machine left the registry so recently that the list may still show it.

        A machine that was just returned must not be mistaken for an unexpected one.
        """
        deregistered_us = self.deregistered_us.get(name, -DEAD_MACHINE_LISTED_US)
        return listed_us < deregistered_us + 2 * self.list_lag_us + DEAD_MACHINE_LISTED_US

    def _is_abandoned(self, machine: m.CloudMachine) -> bool:
        """Whether a working machine is so old that whoever requested it would have registered it by now."""
        is_old = machine.age_s >= MIN_AGE_LAGS * self.list_lag_us / SECOND + MIN_AGE_MARGIN_S
        return is_old and machine.status != m.HOST_FAILED

    def _forget_expired_probes(self) -> None:
        now_us = self.ctx.now_us
        for name in [name for name, probe_us in self.next_probe_us.items() if probe_us < now_us]:
            del self.next_probe_us[name]

    def _on_inspected(
        self, name: str, record: records.MachineRecord, on_adopted: CompareAndSwapCallback, status: int, body: bytes
    ) -> None:
        if status == 200 and m.is_heartbeat_of(body, name):
            self.next_probe_us.pop(name, None)
            self._adopt(name, record, on_adopted)
        else:
            log.info("not adopting unexpected worker that does not answer worker=%s", name)
            on_adopted(status, [])

    def _adopt(self, name: str, record: records.MachineRecord, on_adopted: CompareAndSwapCallback) -> None:
        """Add an unexpected machine to the registry of a shard that this controller leads."""
        if not self.election.leads(record.shard):
            on_adopted(503, [])
            return
        key = records.machine_key(name)
        conditions = {**self.election.fencing_condition(record.shard), key: 0}
        self.ctx.compare_and_swap(conditions, {key: (record, None)}, [], on_adopted, Urgency.LAUNCH)
