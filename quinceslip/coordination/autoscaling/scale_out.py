"""Rental requests: recorded before they are made, repeated under one name, enrolled when they are answered."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.autoscaling.capacity import CapacityObservations
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m
from quinceslip.storage import records

log = logging.getLogger(__name__)

MAX_MACHINES_PER_REQUEST = 50


@dataclass(slots=True)
class ScaleOutRequest:
    """A rental request on its way."""

    name: str
    shard: int
    record: records.ScaleOutRecord
    recorded: bool = False
    asking: bool = False
    next_us: int = 0
    machines: list[str] | None = None  # what was rented, once the cloud has answered
    registered: set[str] = field(default_factory=set)

    def expected_machines(self) -> int:
        """Machines that may come of it and are not on the roster yet."""
        return self.record.count if self.machines is None else len(self.machines) - len(self.registered)


class ScaleOut:
    """Owns the requests on their way; `answered` is told of each answer, so that what still lacks is asked for."""

    def __init__(
        self, ctx: Context, election: LeaderElection, shards: dict[int, Shard], answered: Callable[[], None]
    ) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.on_answer = answered
        self.requests: dict[str, ScaleOutRequest] = {}
        self.counter = 0
        settings = ctx.settings
        self.capacity = CapacityObservations(
            settings.label,
            [settings.label, *(p.label for p in settings.known)],
            settings.facts.cloud.rps,
            ctx.wall_us // 1000,
            ctx.tuning.tell_supply,
        )

    def has_unrecorded(self, shard: int) -> bool:
        """Whether a request of this shard is not durable yet."""
        return any(not h.recorded for h in self.requests.values() if h.shard == shard)

    def carry_through(self) -> None:
        """Carry recorded intents through, those of an earlier owner among them."""
        for name, record in self.ctx.cache.by_kind["hire"].items():
            if name not in self.requests and record.shard in self.shards:
                self.requests[name] = ScaleOutRequest(name, record.shard, record, recorded=True)
        for request in list(self.requests.values()):
            if request.shard not in self.shards or (
                request.recorded and request.name not in self.ctx.cache.by_kind["hire"]
            ):
                del self.requests[request.name]
            elif request.recorded and not request.asking and self.ctx.now_us >= request.next_us:
                if request.machines is None:
                    self._send(request)
                else:
                    self._register(request)

    def _send(self, request: ScaleOutRequest) -> None:
        request.asking = True
        record = request.record

        def done(status: int, body: bytes) -> None:
            request.asking = False
            request.next_us = self.ctx.now_us + 2 * SECOND
            names: list[str] = []
            if status == 200:
                try:
                    names = msgspec.json.decode(body, type=m.ScaleOutAnswer).machines
                except msgspec.DecodeError as error:
                    log.error("cloud answered nonsense: %s", error)
                    return
            elif (status == 503 and b"capacity" in body) or status == 400:
                pass
            else:
                return  # 429, trouble or no answer: the same name again later
            self.capacity.request_answered(
                (record.type, record.zone, record.spot), record.count, len(names), self.ctx.now_us
            )
            log.info(
                "hire %s: %d of %d %s in %s%s",
                request.name,
                len(names),
                record.count,
                record.type,
                record.zone,
                " (spot)" if record.spot else "",
            )
            request.machines = names
            self.on_answer()
            self._register(request)

        body = m.scale_out_request(request.name, record.type, record.zone, record.spot, record.count)
        self.ctx.call("cloud", "POST", m.PATH_HOSTS, body, done, timeout_us=4 * SECOND)

    def _register(self, request: ScaleOutRequest) -> None:
        """Put rented machines on the roster; the intent goes with the last of them."""
        if not self.election.leads(request.shard) or request.machines is None:
            return
        record = request.record
        machine_records = self.ctx.cache.by_kind["roster"]
        request.registered |= {n for n in request.machines if n in machine_records}
        left = [n for n in request.machines if n not in request.registered]
        entry = records.MachineRecord(request.shard, record.type, record.zone, record.spot)
        fresh = left[: self.ctx.limits.txn_ops - 1]
        rest = len(left) > len(fresh)
        conditions = self.election.fencing_condition(request.shard)
        # Guard: each of these writes stamps the intent anew, or drops it. One that is carried out late, after another,
        # does not bring machines back that have left the roster since.
        key = records.scale_out_key(request.name)
        conditions |= {key: self.ctx.cache.mod_revision(key), **{records.machine_key(n): 0 for n in fresh}}
        puts: dict[str, tuple[Any, int | None]] = {records.machine_key(n): (entry, None) for n in fresh}
        if rest:
            puts[key] = (record, None)
        request.asking = True

        def done(status: int, failed: list[str]) -> None:
            request.asking = False
            if status == 200:
                request.registered.update(fresh)
                if rest:
                    request.next_us = self.ctx.now_us

        self.ctx.compare_and_swap(conditions, puts, [] if rest else [key], done, Urgency.LAUNCH)

    def start(self, shard: Shard, machine_type: str, zone: str, spot: bool, count: int) -> None:
        self.counter += 1
        # The term is this owner's alone and the counter is never reset, so no name comes twice.
        name = f"{self.ctx.settings.label}-{shard.term}-{self.counter}"
        record = records.ScaleOutRecord(shard.index, machine_type, zone, spot, min(count, MAX_MACHINES_PER_REQUEST))
        request = self.requests[name] = ScaleOutRequest(name, shard.index, record)

        def done(status: int, failed: list[str]) -> None:
            if status == 200:
                request.recorded = True
            else:
                self.requests.pop(name, None)

        self.ctx.compare_and_swap(
            {**self.election.fencing_condition(shard.index), records.scale_out_key(name): 0},
            {records.scale_out_key(name): (record, None)},
            [],
            done,
            Urgency.LAUNCH,
        )
