"""Handling of replies to direct calls (commands and probes), and what they prove about the worker."""

import logging
from collections.abc import Callable

import msgspec

from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m

log = logging.getLogger(__name__)

#: called with a heartbeat, and whether it came in a reply to a direct call
HeartbeatReceiver = Callable[[m.WorkerHeartbeat, bool], object]


class DirectReplyHandler:
    """Handles the heartbeats that workers send in reply to direct calls."""

    def __init__(self, state: ShardState, receive_heartbeat: HeartbeatReceiver) -> None:
        self.state = state
        self.receive_heartbeat = receive_heartbeat

    def decode(self, worker: Worker, body: bytes) -> m.WorkerHeartbeat | None:
        """Decode the heartbeat in a reply; logs an error and returns None if that fails."""
        try:
            return msgspec.json.decode(body, type=m.WorkerHeartbeat)
        except msgspec.DecodeError as error:
            log.error("undecodable reply worker=%s error=%s", worker.name, error)
            return None

    def receive(self, worker: Worker, heartbeat: m.WorkerHeartbeat) -> bool:
        """Apply the heartbeat in a reply to a call to `worker`; returns False if another machine sent it."""
        if heartbeat.worker != worker.name:
            # Another machine has the address now, and may have executed commands that were meant for `worker`.
            log.info("reply of another machine worker=%s expected_worker=%s", heartbeat.worker, worker.name)
            if heartbeat.worker in self.state.workers:
                self.receive_heartbeat(heartbeat, True)
            return False
        worker.delivery.acknowledged()
        self.receive_heartbeat(heartbeat, True)
        return True
