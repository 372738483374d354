"""Scale-out requests: recorded before they are sent, retried under the same name, and registered once answered."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import TARGET_CLOUD, Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.autoscaling.capacity import CapacityObservations
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m
from quinceslip.storage import records
from quinceslip.storage.records import RecordKind

log = logging.getLogger(__name__)

#: bounds one record, one call to the cloud and the writes that register its machines, and thus the cost of one
#: indeterminate request. It does not bound the fleet: the remaining demand is planned again at each answer, and each
#: second in any case, so a shard requests several times as many per second, and thousands within a boot time
MAX_MACHINES_PER_REQUEST = 50
REQUEST_TIMEOUT_US = 4 * SECOND
#: interval between two attempts at one request
RETRY_PERIOD_US = 2 * SECOND


@dataclass(slots=True)
class ScaleOutRequest:
    """A scale-out request that is not finished."""

    name: str
    shard: int
    record: records.ScaleOutRecord
    recorded: bool = False  # durably recorded, so it may be sent
    in_flight: bool = False  # a call to the cloud or a write is in flight
    next_attempt_us: int = 0
    machines: list[str] | None = None  # the machines granted, once the cloud has answered
    registered: set[str] = field(default_factory=set)

    def expected_machines(self) -> int:
        """Return how many machines may result from the request that are not in the registry yet."""
        if self.machines is None:
            return min(self.record.count, MAX_MACHINES_PER_REQUEST)
        return len(self.machines) - len(self.registered)


class ScaleOutRequests:
    """Owns the open requests; calls `on_answer` at each answer, so that the remaining demand is planned at once."""

    def __init__(
        self, ctx: Context, election: LeaderElection, shards: dict[int, Shard], on_answer: Callable[[], None]
    ) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.on_answer = on_answer
        self.open_requests: dict[str, ScaleOutRequest] = {}
        self.started_count = 0  # requests started by this process, never reset
        settings = ctx.settings
        self.capacity = CapacityObservations(
            settings.label,
            [settings.label, *(peer.label for peer in settings.known)],
            settings.facts.cloud.rps,
            ctx.wall_us // 1000,
            ctx.tuning.tell_supply,
        )

    def has_unrecorded_request(self, shard: int) -> bool:
        """Whether a request of this shard is not durably recorded yet."""
        return any(not request.recorded for request in self.open_requests.values() if request.shard == shard)

    def start(self, shard: Shard, machine_type: str, zone: str, spot: bool, count: int) -> None:
        """Record a request durably; `process_open` sends it afterwards."""
        self.started_count += 1
        # Names are unique: a term belongs to one leader, and the counter is never reset.
        name = f"{self.ctx.settings.label}-{shard.term}-{self.started_count}"
        record = records.ScaleOutRecord(shard.index, machine_type, zone, spot, min(count, MAX_MACHINES_PER_REQUEST))
        request = self.open_requests[name] = ScaleOutRequest(name, shard.index, record)
        self.ctx.compare_and_swap(
            {**self.election.fencing_condition(shard.index), records.scale_out_key(name): 0},
            {records.scale_out_key(name): (record, None)},
            [],
            partial(self._on_recorded, request),
            Urgency.LAUNCH,
        )

    def process_open(self) -> None:
        """Send recorded requests and register their machines, including requests recorded by earlier leaders."""
        recorded = self.ctx.cache.by_kind[RecordKind.SCALE_OUT]
        for name, record in recorded.items():
            if name not in self.open_requests and record.shard in self.shards:
                self.open_requests[name] = ScaleOutRequest(name, record.shard, record, recorded=True)
        for request in list(self.open_requests.values()):
            if request.shard not in self.shards or (request.recorded and request.name not in recorded):
                del self.open_requests[request.name]
            elif request.recorded and not request.in_flight and self.ctx.now_us >= request.next_attempt_us:
                if request.machines is None:
                    self._send(request)
                else:
                    self._register(request)

    def _on_recorded(self, request: ScaleOutRequest, status: int, failed_conditions: list[str]) -> None:
        if status == 200:
            request.recorded = True
        else:
            self.open_requests.pop(request.name, None)

    def _send(self, request: ScaleOutRequest) -> None:
        request.in_flight = True
        record = request.record
        body = m.scale_out_request(request.name, record.type, record.zone, record.spot, record.count)
        on_answered = partial(self._on_answered, request)
        self.ctx.call(TARGET_CLOUD, "POST", m.PATH_HOSTS, body, on_answered, timeout_us=REQUEST_TIMEOUT_US)

    def _on_answered(self, request: ScaleOutRequest, status: int, body: bytes) -> None:
        request.in_flight = False
        request.next_attempt_us = self.ctx.now_us + RETRY_PERIOD_US
        names: list[str] = []
        if status == 200:
            try:
                names = msgspec.json.decode(body, type=m.ScaleOutAnswer).machines
            except msgspec.DecodeError as error:
                log.error("cloud sent an invalid scale-out answer: %s", error)
                return
        elif not _is_refusal(status, body):
            return  # 429, another error or no answer: retried later under the same name
        record = request.record
        pool = (record.type, record.zone, record.spot)
        self.capacity.request_answered(pool, record.count, len(names), self.ctx.now_us)
        log.info(
            "scale-out answered request=%s granted=%d asked=%d type=%s zone=%s spot=%s",
            request.name,
            len(names),
            record.count,
            record.type,
            record.zone,
            record.spot,
        )
        request.machines = names
        self.on_answer()
        self._register(request)

    def _register(self, request: ScaleOutRequest) -> None:
        """Add granted machines to the registry; the write of the last ones deletes the record of the request."""
        if not self.election.leads(request.shard) or request.machines is None:
            return
        record = request.record
        machine_records = self.ctx.cache.by_kind[RecordKind.MACHINE]
        request.registered |= {name for name in request.machines if name in machine_records}
        missing = [name for name in request.machines if name not in request.registered]
        batch = missing[: self.ctx.limits.txn_ops - 1]
        is_last = len(missing) <= len(batch)
        # Guard: each of these writes changes the request's `mod_revision` or deletes the request, so a write that is
        # applied late, after another, does not bring back machines that have left the registry in the meantime.
        key = records.scale_out_key(request.name)
        conditions = self.election.fencing_condition(request.shard)
        conditions |= {key: self.ctx.cache.mod_revision(key), **{records.machine_key(name): 0 for name in batch}}
        machine_record = records.MachineRecord(request.shard, record.type, record.zone, record.spot)
        puts: dict[str, tuple[Any, int | None]] = {records.machine_key(name): (machine_record, None) for name in batch}
        if not is_last:
            puts[key] = (record, None)
        request.in_flight = True

        def on_registered(status: int, failed_conditions: list[str]) -> None:
            request.in_flight = False
            if status == 200:
                request.registered.update(batch)
                if not is_last:
                    request.next_attempt_us = self.ctx.now_us

        self.ctx.compare_and_swap(conditions, puts, [key] if is_last else [], on_registered, Urgency.LAUNCH)


def _is_refusal(status: int, body: bytes) -> bool:
    """Whether the answer is final and grants no machines."""
    return (status == 503 and b"capacity" in body) or status == 400
