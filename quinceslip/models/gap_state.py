"""One state of the model of a cancellation (`quinceslip.models.gap`)."""

from dataclasses import dataclass

#: `GapState.cancelled_age` before the cancellation
NOT_CANCELLED = -1


@dataclass(frozen=True, slots=True)
class GapState:
    """Ages are in whole units of time; none grows beyond what matters (`GapLeader.max_age`)."""

    renewal_age: int = 0  # since the last answered renewal of the leader's lease was sent
    watch_age: int = 0  # since the last answered watch was sent
    open_watch_age: int = 0  # since the watch that is open was sent
    open_watch_shows_cancellation: bool = False  # that one was sent after the cancellation was confirmed
    cancelled_age: int = NOT_CANCELLED  # since the cancellation was confirmed to the user
    cancellation_known: bool = False  # to the leader
    leads: bool = True  # the leader has claimed the shard
    worker_lease_age: int = 0  # since the worker's last answered heartbeat was sent
    running: bool = False
    launch_in_flight: bool = True

    @property
    def cancelled(self) -> bool:
        """Whether the cancellation was confirmed to the user."""
        return self.cancelled_age != NOT_CANCELLED

    @property
    def task_ended(self) -> bool:
        """Whether the task neither runs nor may start any more."""
        return not self.running and not self.launch_in_flight
