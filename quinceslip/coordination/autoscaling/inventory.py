"""The machines there are: the cloud's list, what is gone and leaves the roster, what nobody expected."""

import logging
from collections.abc import Callable

import msgspec

from quinceslip.coordination.actor.context import CompareAndSwapDone, Context
from quinceslip.coordination.actor.effects import NOT_SENT, Urgency
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m
from quinceslip.storage import records

log = logging.getLogger(__name__)

#: a machine that died is listed as running for about this long (PROTOCOL)
DEAD_LISTED_US = 30 * SECOND


class MachineInventory:
    """Owns the list and the way off the roster; `delete` asks the cloud to delete machines of a shard."""

    def __init__(
        self,
        ctx: Context,
        election: LeaderElection,
        shards: dict[int, Shard],
        delete: Callable[[Shard, list[str]], None],
    ) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.delete = delete
        self.deleting: set[str] = set()  # machines whose deletion is on its way
        self.listed: dict[str, m.CloudMachine] = {}
        self.listed_us = 0  # when the last complete list was asked for
        self.first_listed: dict[str, int] = {}
        self.listing = False
        self.next_list_us = 0
        self.to_deregister: dict[str, int] = {}  # machines that are gone and still on the roster, and their shard
        self.deregistering = False
        self.next_deregister_us = 0
        self.next_adopt_us = 0
        self.deregistered_us: dict[str, int] = {}  # when a machine left the roster
        self.adoption_probed_until_us: dict[
            str, int
        ] = {}  # machines that were asked whether they exist, and until when not again
        # Our part of the cloud's calls, leaving half for rentals and deletions.
        rate = ctx.settings.facts.cloud.rps / ctx.settings.facts.size
        self.list_period_us = max(int(SECOND / max(rate / 4, 0.05)), 2 * SECOND)
        self.lag_us = micros(ctx.settings.facts.cloud.list_lag_s)

    def list_if_due(self) -> None:
        """Ask for the list when it is due."""
        if not self.listing and self.ctx.now_us >= self.next_list_us and self.shards:
            self._ask_list()

    def reconcile(self) -> None:
        """Adopt what nobody expected and strike what is gone; for a node that may write."""
        if self.ctx.now_us >= self.next_adopt_us:
            self.next_adopt_us = self.ctx.now_us + SECOND
            self._adopt_listed()
        self._deregister()

    def machine_record_changed(self, name: str) -> None:
        if name in self.ctx.cache.by_kind["roster"]:
            self.deregistered_us.pop(name, None)
        else:
            self.deregistered_us[name] = self.ctx.now_us

    # The list of machines.

    def _ask_list(self) -> None:
        self.listing = True
        asked_us = self.ctx.now_us
        found: dict[str, m.CloudMachine] = {}

        def page(after: str) -> None:
            self.ctx.call(
                "cloud", "GET", m.machines_path(after), None, done, timeout_us=3 * SECOND, urgency=Urgency.REST
            )

        def done(status: int, body: bytes) -> None:
            try:
                answer = msgspec.json.decode(body, type=m.MachineListing) if status == 200 else None
            except msgspec.DecodeError as error:
                log.error("cloud answered nonsense: %s", error)
                answer = None
            if answer is None:
                self.listing = False
                self.next_list_us = self.ctx.now_us + self.list_period_us
                return
            found.update({h.machine: h for h in answer.machines})
            if answer.more and answer.machines:
                page(answer.machines[-1].machine)
                return
            self.listing = False
            self.next_list_us = self.ctx.now_us + self.list_period_us
            self._listed(found, asked_us)

        page("")

    def _listed(self, found: dict[str, m.CloudMachine], asked_us: int) -> None:
        self.listed, self.listed_us = found, asked_us
        for name in found:
            self.first_listed.setdefault(name, asked_us)
        for shard in self.shards.values():
            for name in list(shard.workers):
                host = found.get(name)
                if host is None:
                    # A listed machine stays listed until it is gone; only a list that cannot be
                    # older than the one that showed it is proof (it lags by up to twice the lag).
                    seen_us = self.first_listed.get(name)
                    if seen_us is not None and asked_us > seen_us + 2 * self.lag_us + 2 * SECOND:
                        self.machine_gone(shard, name, "no longer listed")
                elif host.status == m.HOST_FAILED:
                    shard.machine_gone(name)
                    self.delete(shard, [name])

    def machine_gone(self, shard: Shard, name: str, why: str) -> None:
        """A machine is gone for certain: so is its place in the roster."""
        log.info("machine %s is gone: %s", name, why)
        shard.machine_gone(name)
        self.to_deregister[name] = shard.index

    def _deregister(self) -> None:
        """Take machines that are gone off the roster: as many in one write as a transaction takes, until it is done.

        One write for each was more than the budget takes when a third of the machines falls at once. What stayed on
        the roster held up the next takeover, which waits for every machine on it.
        """
        machine_records = self.ctx.cache.by_kind["roster"]
        for name in [
            n for n, index in self.to_deregister.items() if n not in machine_records or not self.election.leads(index)
        ]:
            del self.to_deregister[name]
        if not self.to_deregister or self.deregistering or self.ctx.now_us < self.next_deregister_us:
            return
        index = next(iter(self.to_deregister.values()))
        names = [n for n, s in self.to_deregister.items() if s == index][: self.ctx.limits.txn_ops]
        self.deregistering = True

        def done(status: int, failed: list[str]) -> None:
            self.deregistering = False
            if status != 200:
                self.next_deregister_us = self.ctx.now_us + SECOND // 2

        # Guard: carried out late it strikes nothing that has been written since.
        keys = [records.machine_key(n) for n in names]
        mod_revisions = {k: self.ctx.cache.mod_revision(k) for k in keys}
        self.ctx.compare_and_swap({**self.election.fencing_condition(index), **mod_revisions}, {}, keys, done)

    # Adoption.

    def adopt(self, name: str, record: records.MachineRecord, done: CompareAndSwapDone | None = None) -> None:
        """Put an unexpected machine on the roster of one of our shards."""
        if not self.election.leads(record.shard):
            if done:
                done(503, [])
            return
        key = records.machine_key(name)
        self.ctx.compare_and_swap(
            {**self.election.fencing_condition(record.shard), key: 0},
            {key: (record, None)},
            [],
            done or (lambda s, f: None),
            Urgency.LAUNCH,
        )

    def adopt_from_heartbeat(self, heartbeat: m.WorkerHeartbeat, index: int, done: CompareAndSwapDone) -> None:
        """Put a machine that reports, and that nobody expected, on the roster of a shard.

        Guard: only one that answers for itself now. A report may come long after its machine is gone, and a machine
        on the roster holds up the next takeover until it is proven gone. What left the roster was proven gone.
        """
        name, now_us = heartbeat.worker, self.ctx.now_us
        if name in self.deregistered_us or now_us < self.adoption_probed_until_us.get(name, 0):
            done(NOT_SENT, [])
            return
        for known in [n for n, until_us in self.adoption_probed_until_us.items() if until_us < now_us]:
            del self.adoption_probed_until_us[known]
        # Copies of one that is gone come by the hundred: it is not asked again for a while.
        self.adoption_probed_until_us[name] = now_us + self.ctx.timing.worker_lease_us // 2
        record = records.MachineRecord(
            index, heartbeat.type, heartbeat.zone, heartbeat.spot, heartbeat.endpoint, used=True
        )

        def asked(status: int, body: bytes) -> None:
            if status == 200 and m.names(body, name):
                self.adoption_probed_until_us.pop(name, None)
                self.adopt(name, record, done)
            else:
                log.info("worker %s is unexpected and does not answer: not adopted", name)
                done(status, [])

        self.ctx.call(heartbeat.endpoint, "GET", m.PATH_INSPECT, None, asked, timeout_us=SECOND)

    def _adopt_listed(self) -> None:
        """Machines in the list that nobody answers for, for instance of a late rental."""
        shard = self.shards.get(self.election.home)
        if shard is None:
            return
        machine_records = self.ctx.cache.by_kind["roster"]
        names = sorted(self.listed)
        for place, name in enumerate(names):
            if name in machine_records or name in self.deleting or place % self.ctx.settings.facts.size != shard.index:
                continue
            # The list shows what is gone for a while longer; a machine that was just returned
            # must not be taken for one that nobody expected.
            if self.listed_us < self.deregistered_us.get(name, -DEAD_LISTED_US) + 2 * self.lag_us + DEAD_LISTED_US:
                continue
            host = self.listed[name]
            if host.age_s < 4 * self.lag_us / SECOND + 10 or host.status == m.HOST_FAILED:
                continue
            self.next_adopt_us = self.ctx.now_us + 2 * SECOND
            log.info("machine %s is unexpected: adopted by shard %d", name, shard.index)
            self.adopt(
                name, records.MachineRecord(shard.index, host.type, host.zone, host.spot, host.endpoint, used=True)
            )
            return
