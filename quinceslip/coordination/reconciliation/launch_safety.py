"""What makes a launch safe: no task may start while an earlier launch of it can still arrive, or once it is done.

- The leader may launch (`LeaderElection.may_launch`), and the worker has shown a term of this leader and is
  registered durably (`Placement.usable`).
- An inherited task waits until all inherited workers are reconciled (`inherited_workers`).
- A launch that no heartbeat has shown is pinned to its worker until it is settled: no direct call with it is open, and
  the worker has shown a later term than that of an unanswered call, so that it drops the call (`ShardState.launch_cannot_arrive`).
- A result is acknowledged only once it is recorded, and not while a launch of its attempt may still arrive: the worker
  would have forgotten the attempt and would start it again.
"""

from quinceslip.coordination.jobs.persistence import JobPersistence
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker


class LaunchSafety:
    """Whether an attempt may be let go: started elsewhere, or forgotten by its worker."""

    def __init__(self, state: ShardState, persistence: JobPersistence) -> None:
        self.state = state
        self.persistence = persistence

    def may_requeue(self, worker: Worker, attempt: Attempt) -> bool:
        """Whether a launch that no heartbeat has shown can have no effect any more.

        Launches in answers to heartbeats are settled by the next heartbeat.
        """
        return self.state.launch_cannot_arrive(worker, attempt) or "pinned" not in self.state.guards

    def is_recorded(self, attempt: Attempt) -> bool:
        """Whether the store keeps the result of an attempt that has ended, so that its worker need not."""
        return self.persistence.is_recorded(attempt) or "recorded" not in self.state.guards

    def may_forget(self, worker: Worker, attempt: Attempt) -> bool:
        """Whether a worker that forgets an attempt can't be made to start it again by a launch still on its way."""
        return self.state.launch_cannot_arrive(worker, attempt)
