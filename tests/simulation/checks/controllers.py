"""Rules about the internal state of controllers, checked at each tick: no lost task, no falsified peer observation."""

from typing import TYPE_CHECKING

from quinceslip.coordination.controller.controller import Controller
from quinceslip.coordination.shard_state.partition import JobPartition
from tests.simulation.checks.observations import Observations

if TYPE_CHECKING:
    from tests.simulation.controller import SimulatedController

#: how much later a peer may date an observation than its origin: network latency without slow links, and the
#: rounding of times in frames to milliseconds
MAX_FRAME_DELAY_US = 10_000


class ControllerChecks:
    """Rules `stuck` and `hearsay`."""

    def __init__(self, observed: Observations) -> None:
        self.observed = observed

    def check(self, controller: "SimulatedController", actor: Controller) -> None:
        """Check one running controller."""
        for shard in actor.shards.values():
            for partition in shard.partitions.values():
                self._check_no_task_lost(controller.label, partition)
        self._check_observations(controller.label, actor)

    def _check_no_task_lost(self, label: str, partition: JobPartition) -> None:
        """Check that each unfinished task is pending, running or known to be in doubt; any other would never start."""
        on_hold = partition.crash_loop.on_hold
        lost = (
            partition.assigned
            - partition.done
            - partition.unrecorded_done
            - partition.pending.members
            - partition.attempts.keys()
            - partition.unreconciled
            - partition.indeterminate
            - on_hold
        )
        if lost:
            self.observed.breach("stuck", f"{label} has lost {sorted(lost)[:3]} of {partition.job_id}")
        is_started = partition.attempts or partition.indeterminate or partition.unreconciled
        if on_hold and not partition.pending and not is_started:
            self.observed.breach("stuck", f"{label} tries no task of {partition.job_id}")

    def _check_observations(self, label: str, actor: Controller) -> None:
        """Check that each copy of a peer's capacity observation has the version and the age of the peer's own."""
        for origin, observations in actor.autoscaler.capacity.all_observations().items():
            peer = self.observed.world.controllers[origin].actor
            own = {} if peer is None else peer.autoscaler.capacity.all_observations().get(origin, {})
            for kind, copy in observations.items():
                original = own.get(kind)
                copy_version = (copy.observation.process_started_ms, copy.observation.number)
                is_wrong = copy.at_us > self.observed.now_us
                if original is not None:
                    original_version = (original.observation.process_started_ms, original.observation.number)
                    latest_us = original.at_us + MAX_FRAME_DELAY_US + self.observed.world.link_delay_us
                    is_wrong |= copy_version > original_version
                    is_wrong |= copy_version == original_version and not original.at_us <= copy.at_us <= latest_us
                if is_wrong:
                    self.observed.breach("hearsay", f"{label} has an observation of {kind} that {origin} never made")
