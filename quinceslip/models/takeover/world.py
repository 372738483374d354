"""One state of the model: the leader under test, its workers, the network between them, and the store."""

import msgspec

from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.models.takeover.leader import LeaderUnderTest
from quinceslip.models.takeover.network import Network
from quinceslip.models.takeover.store import ResultStore
from quinceslip.models.takeover.workers import ModelWorker, WorkerFleet
from quinceslip.protocol import messages as m

#: safety check of the store: a write is conditional on what it replaces
CONDITIONAL_WRITES = "conditional"

OK, CONFLICT = 200, 409


class World:
    """Everything that a history has brought about; `steps.perform` carries out its events."""

    def __init__(self, workers: int, tasks: int, guards: frozenset[str]) -> None:
        """The start: the first leader has inherited nothing, and every worker has shown its term."""
        self.tasks = tasks
        self._guards = guards
        self.store = ResultStore(CONDITIONAL_WRITES in guards)
        self.network = Network()
        self.fleet = WorkerFleet(workers, self.store)
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
