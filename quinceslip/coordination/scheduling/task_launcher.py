"""Launches tasks on the chosen machines, and counts the launches."""

import logging

from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker

log = logging.getLogger(__name__)


class TaskLauncher:
    """Launches tasks; `launched` rises by one with each, so that callers can tell whether anything started."""

    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.launched = 0

    def launch(self, partition: JobPartition, index: int, worker: Worker, number: int = 0) -> Attempt:
        """Launch a task, under a new attempt number unless one is given."""
        self.launched += 1
        attempt = self.state.launch(partition, index, worker, number)
        log.debug("task launched task=%s attempt=%d worker=%s", attempt.name, attempt.number, worker.name)
        return attempt
