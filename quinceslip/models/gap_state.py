"""State of the cancellation model (`quinceslip.models.gap`)."""

from dataclasses import dataclass

#: value of `GapState.cancelled_age` before the cancellation
NOT_CANCELLED = -1


@dataclass(frozen=True, slots=True)
class GapState:
    """One state; ages are in whole units of time and capped where they make no difference (`GapLeader.max_age`)."""

    renewal_age: int = 0  # since the last answered renewal of the leader's lease was sent
    watch_age: int = 0  # since the last answered watch was sent
    pending_watch_age: int = 0  # since the pending watch was sent
    pending_watch_sees_cancellation: bool = False  # the pending watch was sent after the confirmation
    cancelled_age: int = NOT_CANCELLED  # since the cancellation was confirmed to the user
    cancellation_known: bool = False  # by the leader
    is_leader: bool = True  # the leader has claimed the shard
    worker_lease_age: int = 0  # since the worker's last answered heartbeat was sent
    running: bool = False
    launch_in_flight: bool = True

    @property
    def cancelled(self) -> bool:
        """Whether the cancellation was confirmed to the user."""
        return self.cancelled_age != NOT_CANCELLED

    @property
    def task_ended(self) -> bool:
        """Whether the task neither runs nor can still start."""
        return not self.running and not self.launch_in_flight
