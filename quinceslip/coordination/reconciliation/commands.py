"""Commands and probes for the workers of a shard: in answers to heartbeats, and as direct calls."""

from quinceslip.coordination.jobs.persistence import JobPersistence
from quinceslip.coordination.reconciliation.address_probes import AddressProber
from quinceslip.coordination.reconciliation.direct_commands import DirectCommandSender
from quinceslip.coordination.reconciliation.direct_replies import DirectReplyHandler, HeartbeatReceiver
from quinceslip.coordination.reconciliation.heartbeat_commands import HeartbeatCommands
from quinceslip.coordination.reconciliation.probes import WorkerProber
from quinceslip.coordination.reconciliation.reconciler import Reconciler
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m


class CommandSender:
    """Sends commands and probes to the workers of a shard."""

    def __init__(self, state: Reconciler, persistence: JobPersistence, receive_heartbeat: HeartbeatReceiver) -> None:
        self._heartbeat_commands = HeartbeatCommands(state, persistence)
        replies = DirectReplyHandler(state, receive_heartbeat)
        self._direct_commands = DirectCommandSender(state, replies)
        self._prober = WorkerProber(state, replies, self._direct_commands)
        self.address_prober = AddressProber(state, state.addresses, replies)

    def commands_for(self, worker: Worker, may_launch: bool = True) -> list[m.Command]:
        """Build the commands for the answer to a heartbeat (`HeartbeatCommands.build`)."""
        return self._heartbeat_commands.build(worker, may_launch)

    def send_direct_commands(self) -> None:
        """Send the commands that cannot wait for the next heartbeat (`DirectCommandSender.send_due`)."""
        self._direct_commands.send_due()

    def probe_addresses(self) -> None:
        """Probe the addresses of lost workers (`AddressProber.probe_due`)."""
        self.address_prober.probe_due()

    def probe(self, worker: Worker) -> None:
        """Probe a silent worker for a heartbeat (`WorkerProber.send`)."""
        self._prober.send(worker)
