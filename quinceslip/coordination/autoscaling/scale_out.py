"""Rental requests: recorded before they are made, repeated under one name, enrolled when they are answered."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from quinceslip.coordination.actor.context import SECOND, Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.autoscaling.capacity import Supply
from quinceslip.coordination.leadership.election import Ownership
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m
from quinceslip.storage import records

log = logging.getLogger(__name__)

HIRE_MOST = 50


@dataclass(slots=True)
class Hire:
    """A rental request on its way."""

    name: str
    shard: int
    record: records.HireRecord
    recorded: bool = False
    asking: bool = False
    next_us: int = 0
    machines: list[str] | None = None  # what was rented, once the cloud has answered
    registered: set[str] = field(default_factory=set)

    def expected_machines(self) -> int:
        """Machines that may come of it and are not on the roster yet."""
        return self.record.count if self.machines is None else len(self.machines) - len(self.registered)


class Hiring:
    """Owns the requests on their way; `answered` is told of each answer, so that what still lacks is asked for."""

    def __init__(self, ctx: Context, ownership: Ownership, shards: dict[int, Shard],
                 answered: Callable[[], None]) -> None:
        self.ctx = ctx
        self.ownership = ownership
        self.shards = shards
        self.on_answer = answered
        self.requests: dict[str, Hire] = {}
        self.counter = 0
        settings = ctx.settings
        self.capacity = Supply(settings.label, [settings.label, *(p.label for p in settings.known)],
                             settings.facts.cloud.rps, ctx.wall_us // 1000, ctx.tuning.tell_supply)

    def has_unrecorded(self, shard: int) -> bool:
        """Whether a request of this shard is not durable yet."""
        return any(not h.recorded for h in self.requests.values() if h.shard == shard)

    def carry_through(self) -> None:
        """Carry recorded intents through, those of an earlier owner among them."""
        for name, record in self.ctx.view.by_kind["hire"].items():
            if name not in self.requests and record.shard in self.shards:
                self.requests[name] = Hire(name, record.shard, record, recorded=True)
        for hire in list(self.requests.values()):
            if hire.shard not in self.shards or (hire.recorded and hire.name not in self.ctx.view.by_kind["hire"]):
                del self.requests[hire.name]
            elif hire.recorded and not hire.asking and self.ctx.now_us >= hire.next_us:
                if hire.machines is None:
                    self._send(hire)
                else:
                    self._register(hire)

    def _send(self, hire: Hire) -> None:
        hire.asking = True
        record = hire.record

        def done(status: int, body: bytes) -> None:
            hire.asking = False
            hire.next_us = self.ctx.now_us + 2 * SECOND
            names: list[str] = []
            if status == 200:
                try:
                    names = msgspec.json.decode(body, type=m.HireAnswer).machines
                except msgspec.DecodeError as error:
                    log.error("cloud answered nonsense: %s", error)
                    return
            elif (status == 503 and b"capacity" in body) or status == 400:
                pass
            else:
                return  # 429, trouble or no answer: the same name again later
            self.capacity.request_answered((record.type, record.zone, record.spot), record.count, len(names), self.ctx.now_us)
            log.info("hire %s: %d of %d %s in %s%s", hire.name, len(names), record.count, record.type,
                     record.zone, " (spot)" if record.spot else "")
            hire.machines = names
            self.on_answer()
            self._register(hire)

        body = m.hire_request(hire.name, record.type, record.zone, record.spot, record.count)
        self.ctx.call("cloud", "POST", m.PATH_HOSTS, body, done, timeout_us=4 * SECOND)

    def _register(self, hire: Hire) -> None:
        """Put rented machines on the roster; the intent goes with the last of them."""
        if not self.ownership.leads(hire.shard) or hire.machines is None:
            return
        record = hire.record
        roster = self.ctx.view.by_kind["roster"]
        hire.registered |= {n for n in hire.machines if n in roster}
        left = [n for n in hire.machines if n not in hire.registered]
        entry = records.RosterRecord(hire.shard, record.type, record.zone, record.spot)
        fresh = left[: self.ctx.limits.txn_ops - 1]
        rest = len(left) > len(fresh)
        conditions = self.ownership.fencing_condition(hire.shard)
        # Guard: each of these writes stamps the intent anew, or drops it. One that is carried out late, after another,
        # does not bring machines back that have left the roster since.
        key = records.hire_key(hire.name)
        conditions |= {key: self.ctx.view.stamp(key), **{records.roster_key(n): 0 for n in fresh}}
        puts: dict[str, tuple[Any, int | None]] = {records.roster_key(n): (entry, None) for n in fresh}
        if rest:
            puts[key] = (record, None)
        hire.asking = True

        def done(status: int, failed: list[str]) -> None:
            hire.asking = False
            if status == 200:
                hire.registered.update(fresh)
                if rest:
                    hire.next_us = self.ctx.now_us

        self.ctx.txn(conditions, puts, [] if rest else [key], done,
                     Urgency.LAUNCH)

    def start(self, shard: Shard, machine_type: str, zone: str, spot: bool, count: int) -> None:
        self.counter += 1
        # The term is this owner's alone and the counter is never reset, so no name comes twice.
        name = f"{self.ctx.settings.label}-{shard.term}-{self.counter}"
        record = records.HireRecord(shard.index, machine_type, zone, spot, min(count, HIRE_MOST))
        hire = self.requests[name] = Hire(name, shard.index, record)

        def done(status: int, failed: list[str]) -> None:
            if status == 200:
                hire.recorded = True
            else:
                self.requests.pop(name, None)

        self.ctx.txn({**self.ownership.fencing_condition(shard.index), records.hire_key(name): 0},
                     {records.hire_key(name): (record, None)}, [], done, Urgency.LAUNCH)
