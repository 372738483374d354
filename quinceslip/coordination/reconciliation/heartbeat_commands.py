"""Commands in the answers to heartbeats."""

import logging

from quinceslip.coordination.jobs.persistence import JobPersistence
from quinceslip.coordination.reconciliation.command_batch import CommandBatch
from quinceslip.coordination.reconciliation.launch_safety import LaunchSafety
from quinceslip.coordination.reconciliation.stop_commands import StopCommands
from quinceslip.coordination.reconciliation.unknown_tasks import UnknownTasks
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)


class HeartbeatCommands:
    """Builds commands from the difference between the reported and the desired state of a worker."""

    def __init__(self, state: ShardState, persistence: JobPersistence) -> None:
        self.state = state
        self.launch_safety = LaunchSafety(state, persistence)
        self.stop_commands = StopCommands(state, self.launch_safety)
        self.unknown_tasks = UnknownTasks(state, self.launch_safety)

    def build(self, worker: Worker, may_launch: bool) -> list[m.Command]:
        """Build the commands in the answer to a worker's last heartbeat; repeated until a heartbeat shows their effect.

        Without `may_launch`, include only commands that need no leadership (`may_stop_without_leadership`).
        """
        batch = CommandBatch()
        for attempt in list(worker.attempts.values()):
            if attempt.observed and not attempt.stopping and not attempt.end_cause:
                continue  # already in the desired state
            if attempt.withheld and not attempt.stopping:
                continue  # its gang is not complete
            if may_launch or self.stop_commands.may_stop_without_leadership(attempt):
                self._add_for_attempt(batch, worker, attempt, may_launch)
        for name, status in worker.reported_tasks.items():
            known = worker.attempts.get(name)
            if known is None or known.number != status.attempt:
                self.unknown_tasks.add(batch, worker, status, may_launch)
        if batch.acknowledgements and log.isEnabledFor(logging.DEBUG):
            attempts = " ".join(f"{command.task}@{command.attempt}" for command in batch.acknowledgements)
            token = self.state.tokens.current(worker)
            log.debug("attempts acknowledged worker=%s token=%d %s", worker.name, token, attempts)
        commands = batch.in_order()
        _mark_sent(worker, commands)
        return commands

    def _add_for_attempt(self, batch: CommandBatch, worker: Worker, attempt: Attempt, may_launch: bool) -> None:
        if attempt.observed:
            if attempt.end_cause:
                self._add_acknowledgement(batch, worker, attempt)
            else:
                self.stop_commands.add_observed(batch, attempt)
        elif attempt.stopping:
            self.stop_commands.add_unobserved(batch, worker, attempt, may_launch)
        else:
            batch.launches.append(m.launch(attempt.name, attempt.number))

    def _add_acknowledgement(self, batch: CommandBatch, worker: Worker, attempt: Attempt) -> None:
        """Acknowledge a recorded result, under a fencing token by which no launch of its attempt arrives afterwards."""
        if not self.launch_safety.is_recorded(attempt):
            return
        self.launch_safety.fence_launches(worker, attempt)
        if self.launch_safety.may_forget(worker, attempt):
            batch.acknowledgements.append(m.acknowledge_result(attempt.name, attempt.number))


def _mark_sent(worker: Worker, commands: list[m.Command]) -> None:
    """Note which launches and stops are being sent, so that no direct call repeats them."""
    for command in commands:
        attempt = worker.attempts.get(command.task)
        if attempt is not None and attempt.number == command.attempt:
            attempt.sent = True
