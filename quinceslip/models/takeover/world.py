"""One state of the model: the leader under test, its workers, the network between them, and the store."""

import msgspec

from quinceslip.coordination.actor.effects import CallOutcome
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.models.takeover.leader import LeaderUnderTest
from quinceslip.models.takeover.network import Network
from quinceslip.models.takeover.store import ResultStore
from quinceslip.models.takeover.workers import ModelWorker, WorkerFleet
from quinceslip.protocol import messages as m

#: safety check of the store: a write is conditional on what it replaces
CONDITIONAL_WRITES = "conditional"

OK, CONFLICT = 200, 409

#: when a list was asked for that is newer than all it has to be newer than
ALWAYS_NEW_US = 10**12


class World:
    """Everything that a history has brought about; `steps.perform` carries out its events."""

    def __init__(self, workers: int, tasks: int, guards: frozenset[str]) -> None:
        """The start: the first leader has inherited nothing, and every worker has shown its term."""
        self.tasks = tasks
        self._guards = guards
        self.store = ResultStore(CONDITIONAL_WRITES in guards)
        self.network = Network()
        self.fleet = WorkerFleet(workers, self.store)
        self.store.registered = {machine.name for machine in self.workers}
        self.fail_over()
        for _ in range(2):  # the first heartbeat learns the term, the second shows it
            for machine in self.workers:
                self.deliver_heartbeat(machine)

    @property
    def workers(self) -> list[ModelWorker]:
        """All machines, also those that are gone."""
        return self.fleet.workers

    @property
    def partition(self) -> JobPartition:
        """The leader's view of the job."""
        return self.leader.partition

    def fail_over(self) -> None:
        """A successor leads under a higher term; answers that its predecessor waited for reach nobody."""
        self.network.leader_crashed()
        self.store.term += 1
        self.leader = LeaderUnderTest(self.store, self.network, self.workers, self.tasks, self._guards)

    def deregister(self) -> None:
        """Machines that the leader knows to be gone leave the registry, as in `Deregistration`."""
        reconciler = self.leader.reconciler
        self.store.registered &= set(reconciler.workers) | set(reconciler.addresses.open)

    def list_machines(self) -> None:
        """The leader gets a list of the cloud that is newer than all it has to be newer than."""
        listed = {
            machine.name: m.CloudMachine(machine.name, "running", endpoint=machine.address)
            for machine in self.workers
            if not machine.gone
        }
        self.leader.reconciler.addresses.machines_listed(listed, ALWAYS_NEW_US)

    def answer_from(self, address: str) -> None:
        """The machine at the address of a lost worker, if there is one, answers what the leader asks there."""
        machine = self.fleet.at_address(address)
        for check in list(self.leader.reconciler.addresses.open.values()):
            if machine is not None and check.endpoint == address:
                self.leader.command_sender.address_prober.receive(check, machine.heartbeat(), ALWAYS_NEW_US)

    def deliver_heartbeat(self, machine: ModelWorker) -> None:
        """A heartbeat and its answer arrive at once."""
        answer = self.leader.receive_heartbeat(machine.heartbeat())
        if answer is not None and answer.fencing_token >= machine.fencing_token:
            machine.lease_lapsed = False
            self.fleet.obey(machine, answer.fencing_token, answer.commands)

    def deliver_commands(self, position: int) -> None:
        """Direct commands arrive; their sender gets the answer if it still waits."""
        commands = self.network.commands.pop(position)
        machine, body = self.workers[commands.worker], commands.body
        if machine.gone:
            if commands.on_answer is not None:
                commands.on_answer(CallOutcome.UNKNOWN, b"")
            return
        accepted = body.fencing_token >= machine.fencing_token and body.epoch == machine.epoch
        if accepted:
            self.fleet.obey(machine, body.fencing_token, body.commands)
        if commands.on_answer is not None:
            status = OK if accepted else CONFLICT
            commands.on_answer(status, msgspec.json.encode(machine.heartbeat()))

    def is_newer_than_known(self, worker: int, heartbeat: m.WorkerHeartbeat) -> bool:
        """Whether the leader has applied nothing as new as a heartbeat yet."""
        known = self.leader.worker(self.workers[worker])
        return known is not None and (heartbeat.epoch, heartbeat.seq) > (known.epoch, known.seq)
