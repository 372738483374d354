"""Heartbeats of workers: answered by the leader of the machine's shard; others redirect the worker to it."""

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import HeartbeatReceived
from quinceslip.coordination.autoscaling.inventory import MachineInventory
from quinceslip.coordination.connectivity.connectivity import WorkerConnectivity
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m
from quinceslip.storage.records import RecordKind


class WorkerHeartbeats:
    """Answers heartbeats: 200 with commands, 421 with the leader's address, 503 while neither is certain."""

    def __init__(
        self,
        ctx: Context,
        home_shard: int,
        shards: dict[int, Shard],
        election: LeaderElection,
        inventory: MachineInventory,
        connectivity: WorkerConnectivity,
    ) -> None:
        self.ctx = ctx
        self.home_shard = home_shard
        self.shards = shards
        self.election = election
        self.inventory = inventory
        self.connectivity = connectivity

    def handle(self, message: HeartbeatReceived) -> None:
        """Answer one heartbeat."""
        if not self.ctx.cache.synced:
            self.ctx.reply(message.request, 503)
            return
        record = self.ctx.cache.by_kind[RecordKind.MACHINE].get(message.heartbeat.worker)
        if record is None:
            self._adopt_machine(message)
            return
        shard = self.shards.get(record.shard)
        if shard is None:
            self._redirect(message, record.shard)
            return
        self._answer(message, shard)

    def _answer(self, message: HeartbeatReceived, shard: Shard) -> None:
        """Answer as the leader of the machine's shard."""
        request, heartbeat = message.request, message.heartbeat
        # A machine that is proven gone stays registered until a write removes it; a late heartbeat must not revive it.
        if not self.election.may_answer() or heartbeat.worker in self.inventory.to_deregister:
            self.ctx.reply(request, 503)
            return
        if heartbeat.worker not in shard.workers:
            shard.machine_record_changed(heartbeat.worker)
        answer = shard.receive_heartbeat(heartbeat)
        if answer is None:
            self.ctx.reply(request, 503)
            return
        # The heartbeat of a suspect worker proves only that it was sent, so it does not count as contact.
        if not shard.workers[heartbeat.worker].delivery.suspect:
            self.connectivity.worker_contacted()
        self.ctx.reply(request, 200, answer)

    def _redirect(self, message: HeartbeatReceived, shard: int) -> None:
        """Redirect a worker to the leader of its shard."""
        leader = self.election.leader(shard)
        if leader is None or leader == self.ctx.settings.label:
            self.ctx.reply(message.request, 503)
            return
        self.connectivity.worker_misrouted(shard, message.heartbeat)
        self.ctx.reply(message.request, 421, m.redirect(leader))

    def _adopt_machine(self, message: HeartbeatReceived) -> None:
        """Register a machine that has no record yet, then answer its heartbeat."""
        if not self.election.may_launch() or not self.shards:
            self.ctx.reply(message.request, 503)
            return
        shard = self.home_shard if self.home_shard in self.shards else min(self.shards)

        def on_registered(status: int, failed: list[str]) -> None:
            if message.heartbeat.worker in self.ctx.cache.by_kind[RecordKind.MACHINE]:
                self.handle(message)
            else:
                self.ctx.reply(message.request, 503)

        self.inventory.adopt_from_heartbeat(message.heartbeat, shard, on_registered)
