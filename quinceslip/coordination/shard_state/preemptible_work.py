"""The work on one machine that may be stopped for other tasks, in the order in which it is stopped.

A machine may have hundreds of attempts, and room for many tasks may be made in one turn of the actor. So the order is
computed once and kept while only launches and stops happen; the worker drops it when a heartbeat changes its attempts.
"""

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from quinceslip.coordination.shard_state.amounts import NO_RESOURCES, Resources, add_resources

if TYPE_CHECKING:
    from quinceslip.coordination.shard_state.worker import Attempt


def preemption_order(attempt: "Attempt") -> tuple[int, bool, int]:
    """Sort key of victims: lowest priority first, then work with checkpoints, then what started last."""
    return (-attempt.priority, attempt.spec.checkpoint_interval_s == 0, -attempt.running_since_us)


class PreemptibleWork:
    """The observed attempts of one machine that have not ended. Owned by its worker."""

    def __init__(self, live_attempts: Iterable["Attempt"]) -> None:
        observed = [attempt for attempt in live_attempts if attempt.observed]
        self._in_order = sorted((a for a in observed if not a.stopping), key=preemption_order)
        self._first = 0  # those before this index are stopping
        #: room of attempts that are being stopped at once for other tasks, which may not need all of it
        self.room_being_freed: Resources = NO_RESOURCES
        self.slots_being_freed = 0  # the number of these attempts
        for attempt in observed:
            if attempt.stopping:
                self.attempt_stopped(attempt)

    def attempt_stopped(self, attempt: "Attempt") -> None:
        """Count the room of an attempt that is stopping, or whose grace period has become shorter."""
        if not attempt.observed or attempt.grace_s or attempt.end_cause:
            return
        spec = attempt.spec
        freed = (spec.cpus, spec.gpus, spec.memory_gb)
        self.room_being_freed = add_resources(self.room_being_freed, freed)
        self.slots_being_freed += 1

    def victims(self) -> Iterator["Attempt"]:
        """Yield the attempts that are not stopping, in the order in which they are preempted."""
        # Bound: the attempts; each iteration goes on by one.
        while self._first < len(self._in_order) and self._in_order[self._first].stopping:
            self._first += 1
        for index in range(self._first, len(self._in_order)):
            if not self._in_order[index].stopping:
                yield self._in_order[index]
