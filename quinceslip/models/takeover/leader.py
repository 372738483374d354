"""The leader under test: the service's own reconciler and command sender, for one leadership of the shard."""

from types import SimpleNamespace
from typing import Any

from quinceslip.coordination.reconciliation.commands import CommandSender
from quinceslip.coordination.reconciliation.reconciler import Reconciler
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.models.job import JOB_ID, SPEC
from quinceslip.models.takeover.network import Network
from quinceslip.models.takeover.store import ResultStore
from quinceslip.models.takeover.workers import ModelWorker
from quinceslip.protocol import messages as m
from quinceslip.storage.records import JobRecord

#: maximum number of direct commands in flight
MAX_COMMANDS_IN_FLIGHT = 2
SHARD = 0


class LeaderUnderTest:
    """One leadership of the shard, from a failover to the leader's crash."""

    def __init__(
        self, store: ResultStore, network: Network, machines: list[ModelWorker], tasks: int, guards: frozenset[str]
    ) -> None:
        """Lead under the term in `store`; all inherited tasks and workers are unreconciled."""
        self._store, self._network = store, network
        self.requested_term = 0  # a higher term to be claimed; 0: none
        self.seen_revision = store.mod_revision  # the latest known version of the job's record
        self.reconciler = Reconciler(self._context(tasks), self._election(), SHARD, store.term)
        self.reconciler.guards = guards
        self.partition = self._inherit_partition(tasks)
        self._inherit_workers(machines)
        persistence: Any = SimpleNamespace(is_recorded=self._is_recorded)
        self.command_sender = CommandSender(self.reconciler, persistence, self.receive_heartbeat)
        self.reconciler.release_unreconciled()

    def _context(self, tasks: int) -> Any:
        # In the cache the job itself is unfinished; its completed tasks are in the partition.
        record = JobRecord(m.QUEUED, tasks)
        cache = SimpleNamespace(job=lambda job_id: record)
        cloud = SimpleNamespace(list_lag_s=1.0)
        return SimpleNamespace(
            now_us=0,
            timeout_us=1,
            machine_types={},
            call=self._network.call,
            cache=cache,
            settings=SimpleNamespace(facts=SimpleNamespace(cloud=cloud)),
            timing=SimpleNamespace(lease_expiry_us=1),
        )

    def _election(self) -> Any:
        return SimpleNamespace(may_launch=lambda shard: True, claim=self._claim)

    def _claim(self, shard: int, above: int) -> None:
        self.requested_term = max(self.requested_term, above, 1)

    def _is_recorded(self, attempt: Attempt) -> bool:
        return attempt.end_cause != m.CAUSE_DONE or attempt.index in self.partition.done

    def _inherit_partition(self, tasks: int) -> JobPartition:
        partition = JobPartition(JOB_ID, SPEC, SHARD, assigned=set(range(tasks)), done=set(self._store.recorded))
        partition.unreconciled = partition.assigned - partition.done
        self.reconciler.partitions[JOB_ID] = partition
        return partition

    def _inherit_workers(self, machines: list[ModelWorker]) -> None:
        for machine in machines:
            machine.leader_changed()
            if machine.name not in self._store.registered:
                continue
            worker = Worker(machine.name, None, "z", False, endpoint=machine.address, registered=True)
            self.reconciler.workers[machine.name] = worker
            self.reconciler.inherit_worker(worker)

    # Queries.

    def worker(self, machine: ModelWorker) -> Worker | None:
        """The leader's view of a worker; None if it knows the machine to be gone."""
        return self.reconciler.workers.get(machine.name)

    @property
    def completed(self) -> set[int]:
        """Tasks that the leader knows to be done, whether recorded or not."""
        return self.partition.done | self.partition.unrecorded_done

    @property
    def sees_latest_record(self) -> bool:
        """Whether the leader knows the latest version of the job's record."""
        return self.seen_revision == self._store.mod_revision

    # Events.

    def receive_heartbeat(self, heartbeat: m.WorkerHeartbeat, direct: bool = False) -> m.CommandReply | None:
        """Handle a heartbeat as `Shard` does, and return the answer, or None if there is none.

        `direct`: the heartbeat is the reply to a direct call.
        """
        reconciler = self.reconciler
        worker = reconciler.workers.get(heartbeat.worker)
        if worker is None:
            return None
        if heartbeat.fencing_token > reconciler.tokens.last:
            reconciler.raise_term(heartbeat.fencing_token)
            return None
        if reconciler.is_from_expired_epoch(worker, heartbeat):
            return None
        if not direct and reconciler.is_duplicate(worker, heartbeat):
            return None
        if not reconciler.apply_heartbeat(worker, heartbeat):
            return m.CommandReply(reconciler.tokens.current(worker), [])
        if direct or not reconciler.should_answer(worker, heartbeat):
            return None
        return self._answer(worker, heartbeat)

    def _answer(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> m.CommandReply:
        commands = self.command_sender.commands_for(worker)
        reply = m.CommandReply(self.reconciler.tokens.current(worker), commands)
        worker.delivery.answer_sent(heartbeat, reply.fencing_token, reply.commands)
        return reply

    def watch(self) -> None:
        """Read the latest version of the job's record, as `JobPersistence.sync` does."""
        recorded, partition = self._store.recorded, self.partition
        self.seen_revision = self._store.mod_revision
        partition.done |= recorded
        partition.unrecorded_done -= recorded
        for index in recorded:
            partition.pending.discard(index)
            partition.unreconciled.discard(index)

    def raise_term(self, term: int) -> None:
        """Lead under a higher term from now on."""
        self.requested_term = 0
        self.reconciler.term = term
        self.reconciler.attempt_counter = 0

    def end_batch(self) -> None:
        """Send direct commands, as the actor does at the end of a batch of messages."""
        self.reconciler.next_raise_us = 0
        originals = [commands for commands in self._network.commands if not commands.is_copy]
        if len(originals) < MAX_COMMANDS_IN_FLIGHT:
            self.command_sender.send_direct_commands()
