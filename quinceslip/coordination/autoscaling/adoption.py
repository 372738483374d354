"""Machines that nobody expected come into the registry: they send heartbeats, or stand in the cloud's list."""

import logging
from functools import partial

from quinceslip.coordination.actor.compare_and_swap import CompareAndSwapCallback
from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import NOT_SENT, Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m
from quinceslip.storage import records

log = logging.getLogger(__name__)

#: a machine that died is listed as running for about this long (PROTOCOL)
DEAD_LISTED_US = 30 * SECOND
INSPECT_TIMEOUT_US = SECOND
#: between two looks for machines to adopt from the list, where there was none and where there was one
SEARCH_PERIOD_US = SECOND
ADOPTION_PERIOD_US = 2 * SECOND
#: a machine in the list is nobody's only when it is older than so many lags of the list, and a while
MIN_AGE_LAGS = 4
MIN_AGE_MARGIN_S = 10


class Adoption:
    """Owns when machines left the registry, and which unexpected workers were probed."""

    def __init__(self, ctx: Context, election: LeaderElection, shards: dict[int, Shard], list_lag_us: int) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.list_lag_us = list_lag_us
        self.deregistered_us: dict[str, int] = {}  # when a machine left the registry
        self.probed_until_us: dict[str, int] = {}  # workers that were probed, and until when they are not again
        self.next_search_us = 0

    def machine_record_changed(self, name: str) -> None:
        """The registry's record of a machine was written or deleted."""
        if name in self.ctx.cache.by_kind["roster"]:
            self.deregistered_us.pop(name, None)
        else:
            self.deregistered_us[name] = self.ctx.now_us

    def adopt_from_heartbeat(
        self, heartbeat: m.WorkerHeartbeat, index: int, on_adopted: CompareAndSwapCallback
    ) -> None:
        """Register a worker that sends heartbeats, and that nobody expected, in a shard.

        Guard: only one that answers for itself now. A heartbeat may come long after its machine is gone, and a machine
        in the registry holds up the next failover until it is proven gone. What left the registry was proven gone.
        """
        name, now_us = heartbeat.worker, self.ctx.now_us
        if name in self.deregistered_us or now_us < self.probed_until_us.get(name, 0):
            on_adopted(NOT_SENT, [])
            return
        self._forget_old_probes()
        # Copies of one that is gone come by the hundred: it is not probed again for a while.
        self.probed_until_us[name] = now_us + self.ctx.timing.worker_lease_us // 2
        record = records.MachineRecord(
            index, heartbeat.type, heartbeat.zone, heartbeat.spot, heartbeat.endpoint, used=True
        )
        on_inspected = partial(self._on_inspected, name, record, on_adopted)
        self.ctx.call(heartbeat.endpoint, "GET", m.PATH_INSPECT, None, on_inspected, timeout_us=INSPECT_TIMEOUT_US)

    def adopt_listed_if_due(self, listed: dict[str, m.CloudMachine], listed_us: int, deleting: set[str]) -> None:
        """Register one machine in the list that nobody answers for, for instance of a late scale-out request.

        `listed_us` is when the list was asked for; `deleting` are machines whose deletion is in progress.
        """
        if self.ctx.now_us < self.next_search_us:
            return
        self.next_search_us = self.ctx.now_us + SEARCH_PERIOD_US
        shard = self.shards.get(self.election.home)
        if shard is None:
            return
        machine_records = self.ctx.cache.by_kind["roster"]
        for place, name in enumerate(sorted(listed)):
            if name in machine_records or name in deleting or place % self.ctx.settings.facts.size != shard.index:
                continue
            host = listed[name]
            if self._may_be_gone(name, listed_us) or not self._is_left_over(host):
                continue
            self.next_search_us = self.ctx.now_us + ADOPTION_PERIOD_US
            log.info("machine is unexpected: adopted worker=%s shard=%d", name, shard.index)
            record = records.MachineRecord(shard.index, host.type, host.zone, host.spot, host.endpoint, used=True)
            self._adopt(name, record, lambda status, failed_conditions: None)  # searched for again in any case
            return

    def _may_be_gone(self, name: str, listed_us: int) -> bool:
        """Whether a listed machine has left the registry so lately that the list may still show it.

        A machine that was just returned must not be taken for one that nobody expected.
        """
        deregistered_us = self.deregistered_us.get(name, -DEAD_LISTED_US)
        return listed_us < deregistered_us + 2 * self.list_lag_us + DEAD_LISTED_US

    def _is_left_over(self, host: m.CloudMachine) -> bool:
        """Whether a machine works and is so old that whoever asked for it would have registered it."""
        is_old = host.age_s >= MIN_AGE_LAGS * self.list_lag_us / SECOND + MIN_AGE_MARGIN_S
        return is_old and host.status != m.HOST_FAILED

    def _forget_old_probes(self) -> None:
        now_us = self.ctx.now_us
        for name in [name for name, until_us in self.probed_until_us.items() if until_us < now_us]:
            del self.probed_until_us[name]

    def _on_inspected(
        self, name: str, record: records.MachineRecord, on_adopted: CompareAndSwapCallback, status: int, body: bytes
    ) -> None:
        if status == 200 and m.is_heartbeat_of(body, name):
            self.probed_until_us.pop(name, None)
            self._adopt(name, record, on_adopted)
        else:
            log.info("worker is unexpected and does not answer: not adopted worker=%s", name)
            on_adopted(status, [])

    def _adopt(self, name: str, record: records.MachineRecord, on_adopted: CompareAndSwapCallback) -> None:
        """Put an unexpected machine into the registry of one of our shards."""
        if not self.election.leads(record.shard):
            on_adopted(503, [])
            return
        key = records.machine_key(name)
        conditions = {**self.election.fencing_condition(record.shard), key: 0}
        self.ctx.compare_and_swap(conditions, {key: (record, None)}, [], on_adopted, Urgency.LAUNCH)
