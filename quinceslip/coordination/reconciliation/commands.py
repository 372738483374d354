"""What the workers of a shard are sent: answers to heartbeats, direct commands, probes."""

from quinceslip.coordination.jobs.persistence import JobPersistence
from quinceslip.coordination.reconciliation.address_probes import AddressProber
from quinceslip.coordination.reconciliation.direct_commands import DirectCommandSender
from quinceslip.coordination.reconciliation.direct_replies import DirectReplies, HeartbeatReceiver
from quinceslip.coordination.reconciliation.heartbeat_commands import HeartbeatCommands
from quinceslip.coordination.reconciliation.probes import WorkerProber
from quinceslip.coordination.reconciliation.reconciler import Reconciler
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m


class CommandSender:
    """Sends commands and probes to the workers of a shard."""

    def __init__(self, state: Reconciler, persistence: JobPersistence, receive_heartbeat: HeartbeatReceiver) -> None:
        self._heartbeat_commands = HeartbeatCommands(state, persistence)
        replies = DirectReplies(state, receive_heartbeat)
        self._direct_commands = DirectCommandSender(state, replies)
        self._prober = WorkerProber(state, replies, self._direct_commands)
        self.address_prober = AddressProber(state, state.addresses, replies)

    def commands_for(self, worker: Worker, may_launch: bool = True) -> list[m.Command]:
        """The commands in the answer to a heartbeat (`HeartbeatCommands.build`)."""
        return self._heartbeat_commands.build(worker, may_launch)

    def send_direct_commands(self) -> None:
        """Send all workers what cannot wait for their next heartbeat (`DirectCommandSender.send_due`)."""
        self._direct_commands.send_due()

    def probe_addresses(self) -> None:
        """Ask the addresses of lost workers which machine is there (`AddressProber.probe_due`)."""
        self.address_prober.probe_due()

    def probe(self, worker: Worker) -> None:
        """Ask a silent worker for a heartbeat (`WorkerProber.send`)."""
        self._prober.send(worker)
