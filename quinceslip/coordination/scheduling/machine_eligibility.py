"""Whether a machine can be given tasks at all, and whether it meets the constraints of a task."""

from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m


def satisfies_constraints(worker: Worker, spec: m.JobSpec, zones: set[str] | None) -> bool:
    """Whether the machine's type, zone and kind (spot or not) suit the task; `zones`: eligible zones, None for any."""
    return (
        worker.type is not None
        and (spec.types is None or worker.type.label in spec.types)
        and (spec.zone is None or worker.zone == spec.zone)
        and (spec.spot or not worker.spot)
        and (zones is None or worker.zone in zones)
    )


class MachineEligibility:
    """Tells which machines of a shard can be given tasks now."""

    def __init__(self, state: ShardState) -> None:
        timing = state.ctx.timing
        self.state = state
        self.ctx = state.ctx
        self.max_heartbeat_silence_us = timing.worker_lease_us // 2
        self.max_contact_age_us = timing.max_contact_age_us

    def usable(self, worker: Worker) -> bool:
        """Whether a launch sent to the machine now can be expected to run there."""
        if (
            not worker.fenced
            or not worker.registered
            or worker.lease_expired
            or worker.delivery.suspect
            or worker.draining
            or worker.deleting
            or worker.notice_us
            or worker.type is None
        ):
            return False
        now_us = self.ctx.now_us
        # A worker that answers probes while its own heartbeats do not arrive is about to lose its lease.
        return now_us - worker.last_contact_us <= self.max_contact_age_us and (
            now_us - worker.last_heartbeat_us < self.max_heartbeat_silence_us
            or now_us - self.state.led_since_us < self.max_heartbeat_silence_us
        )
