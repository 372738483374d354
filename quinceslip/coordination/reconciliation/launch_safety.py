"""Launch safety: no task may start while an earlier launch of it can still arrive, or once it is done.

- The leader may launch (`LeaderElection.may_launch`), and the worker has shown a term of this leader and is
  registered durably (`Placement.usable`).
- An inherited task waits until all inherited workers are reconciled (`inherited_workers`).
- A launch that no heartbeat has shown is pinned to its worker until it can no longer arrive: no direct call with it is
  open, and the worker has shown a higher token than that of an unanswered call, so that it drops that call
  (`ShardState.launch_cannot_arrive`).
- A result is acknowledged only once it is recorded, and not while a launch of its attempt may still arrive: the worker
  would have forgotten the attempt and would start it again. An answered direct call may arrive once more at any later
  time, so the acknowledgement carries a higher fencing token: a worker that carries it out drops the call from then on.
"""

from quinceslip.coordination.jobs.persistence import JobPersistence
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker


class LaunchSafety:
    """Decides when the task of an attempt may start elsewhere, and when its worker may forget the attempt."""

    def __init__(self, state: ShardState, persistence: JobPersistence) -> None:
        self.state = state
        self.persistence = persistence

    def may_requeue(self, worker: Worker, attempt: Attempt) -> bool:
        """Whether a launch that no heartbeat has shown can no longer have an effect.

        The next heartbeat settles this for launches that were sent in answers to heartbeats.
        """
        return self.state.launch_cannot_arrive(worker, attempt) or "pinned" not in self.state.guards

    def is_recorded(self, attempt: Attempt) -> bool:
        """Whether the result of an ended attempt is in the store, so that its worker need not keep it."""
        return self.persistence.is_recorded(attempt) or "recorded" not in self.state.guards

    def may_forget(self, worker: Worker, attempt: Attempt) -> bool:
        """Whether the next answer may let a worker forget an attempt: no launch can start it again afterwards."""
        is_fenced = self.state.tokens.current(worker) > attempt.direct_call_token
        return self.state.launch_cannot_arrive(worker, attempt) and (is_fenced or "repeated" not in self.state.guards)

    def fence_launches(self, worker: Worker, attempt: Attempt) -> None:
        """Raise the worker's fencing token above that of every direct call with a launch of the attempt."""
        if attempt.unanswered_call_token:
            self._raise_token(worker, attempt.unanswered_call_token)
        elif "repeated" in self.state.guards:
            self._raise_token(worker, attempt.direct_call_token)

    def may_forget_unknown(self, worker: Worker) -> bool:
        """Whether the next answer may let a worker forget attempts that are not known; raises its fencing token for it.

        Calls with their launches carried tokens that the worker had seen when it reported the attempts.
        """
        return "repeated" not in self.state.guards or self._raise_token(worker, worker.fencing_token)

    def _raise_token(self, worker: Worker, above: int) -> bool:
        """Raise a worker's fencing token; not while a direct call is in flight, which the worker would then refuse."""
        return not worker.command_open and self.state.tokens.raise_above(worker, above)
