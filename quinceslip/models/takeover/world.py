"""The state of the model: the leader under test, its workers, the network between them, and the store."""

import msgspec

from quinceslip.coordination.actor.effects import CallOutcome
from quinceslip.coordination.leadership.claims import TOKENS_PER_TERM
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.models.takeover.leader import LeaderUnderTest
from quinceslip.models.takeover.network import Network
from quinceslip.models.takeover.store import ResultStore
from quinceslip.models.takeover.workers import ModelWorker, WorkerFleet
from quinceslip.protocol import messages as m

#: safety check of the store: a write is conditional on the versions that it replaces
CONDITIONAL_WRITES = "conditional"

OK, CONFLICT = 200, 409

#: request time of a machine list or probe, later than any time that it is compared with
FAR_FUTURE_US = 10**12


class World:
    """One state, which `steps.perform` modifies."""

    def __init__(self, workers: int, tasks: int, guards: frozenset[str]) -> None:
        """Create the initial state: the first leader has inherited no tasks, and every worker has shown its term."""
        self.tasks = tasks
        self._guards = guards
        self.store = ResultStore(CONDITIONAL_WRITES in guards)
        self.network = Network()
        self.fleet = WorkerFleet(workers, self.store)
        self.store.registered = {machine.name for machine in self.workers}
        self.fail_over()
        for _ in range(2):  # a worker learns the term by its first heartbeat and shows it in the second
            for machine in self.workers:
                self.deliver_heartbeat(machine)

    @property
    def workers(self) -> list[ModelWorker]:
        """All machines, including those that are gone."""
        return self.fleet.workers

    @property
    def partition(self) -> JobPartition:
        """The leader's view of the job."""
        return self.leader.partition

    def fail_over(self) -> None:
        """Start a successor under a higher term; answers to its predecessor are discarded."""
        self.network.leader_crashed()
        self.store.term += TOKENS_PER_TERM
        self.leader = LeaderUnderTest(self.store, self.network, self.workers, self.tasks, self._guards)

    def deregister(self) -> None:
        """Remove machines that the leader knows to be gone from the registry, as `Deregistration` does."""
        reconciler = self.leader.reconciler
        self.store.registered &= set(reconciler.workers) | set(reconciler.addresses.open)

    def list_machines(self) -> None:
        """Deliver the cloud's list of machines to the leader; it is recent enough for every open address check."""
        listed = {
            machine.name: m.CloudMachine(machine.name, "running", endpoint=machine.address)
            for machine in self.workers
            if not machine.gone
        }
        self.leader.reconciler.addresses.machines_listed(listed, FAR_FUTURE_US)

    def answer_address_checks(self, address: str) -> None:
        """Answer the leader's checks of a lost worker's address from the machine there, if there is one."""
        machine = self.fleet.machine_at(address)
        for check in list(self.leader.reconciler.addresses.open.values()):
            if machine is not None and check.endpoint == address:
                self.leader.command_sender.address_prober.receive(check, machine.heartbeat(), FAR_FUTURE_US)

    def deliver_heartbeat(self, machine: ModelWorker) -> None:
        """Deliver a heartbeat and its answer."""
        answer = self.leader.receive_heartbeat(machine.heartbeat())
        if answer is not None and answer.fencing_token >= machine.fencing_token:
            machine.lease_lapsed = False
            self.fleet.execute_commands(machine, answer.fencing_token, answer.commands)

    def deliver_commands(self, position: int) -> None:
        """Deliver direct commands; the sender gets the answer if it still waits."""
        commands = self.network.commands.pop(position)
        machine, body = self.workers[commands.machine_index], commands.body
        if machine.gone:
            if commands.on_answer is not None:
                commands.on_answer(CallOutcome.UNKNOWN, b"")
            return
        accepted = body.fencing_token >= machine.fencing_token and body.epoch == machine.epoch
        if accepted:
            self.fleet.execute_commands(machine, body.fencing_token, body.commands)
        if commands.on_answer is not None:
            status = OK if accepted else CONFLICT
            commands.on_answer(status, msgspec.json.encode(machine.heartbeat()))

    def is_newer_than_known(self, machine_index: int, heartbeat: m.WorkerHeartbeat) -> bool:
        """Whether a heartbeat is newer than all that the leader has applied."""
        known = self.leader.worker(self.workers[machine_index])
        return known is not None and (heartbeat.epoch, heartbeat.seq) > (known.epoch, known.seq)
