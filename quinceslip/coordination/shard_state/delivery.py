"""Tracking of whether a worker receives what this leader sends it. No I/O, no clock.

A heartbeat that arrives proves only that it was sent: a machine whose heartbeats get through may receive neither
answers nor commands, and a copy of a heartbeat may arrive long after its machine is gone. Proof that the worker
receives something now is an effect that only an answer can have: the fencing token that it was sent, a launch of this
leader among its tasks, or a reply to a direct command or probe. Until there is such proof, a suspect worker gets no
new work and does not count as capacity; its own lease ends the tasks that it has (docs/end-of-day.md).
"""

from collections.abc import Iterable
from dataclasses import dataclass

from quinceslip.protocol import messages as m

#: a silent machine counts as dead after this many consecutive probes without a reply
MAX_UNANSWERED_PROBES = 2
#: consecutive answers without effect after which none is assumed to arrive; a single one may be lost or too late
MAX_UNACKNOWLEDGED_ANSWERS = 2


@dataclass(slots=True)
class DeliveryTracker:
    """Delivery to one worker of a shard; owned by its `Worker`."""

    unanswered_probes: int = 0  # consecutive probes without a reply
    unacknowledged_answers: int = 0  # consecutive answers whose effect the next heartbeat did not show
    first_missed_probe_us: int = 0  # when the first probe without a reply was sent
    # Expected effect of the last answer, if it arrived: in this epoch, the token (0: none) and the launches.
    epoch: int = 0
    fencing_token: int = 0
    launches: frozenset[tuple[str, int]] = frozenset()  # task name and attempt number

    @property
    def suspect(self) -> bool:
        """Whether the last answer with an expected effect, or the last probe, remained without one."""
        return self.unanswered_probes > 0 or self.unacknowledged_answers > 0

    @property
    def unreachable(self) -> bool:
        """Whether neither answers nor probes reach the worker, so that this leader cannot be renewing its lease."""
        return (
            self.unanswered_probes >= MAX_UNANSWERED_PROBES
            and self.unacknowledged_answers >= MAX_UNACKNOWLEDGED_ANSWERS
        )

    def answer_sent(self, heartbeat: m.WorkerHeartbeat, fencing_token: int, commands: Iterable[m.Command]) -> None:
        """Record the expected effect of the answer to a heartbeat."""
        self.epoch = heartbeat.epoch
        self.fencing_token = fencing_token if fencing_token > heartbeat.fencing_token else 0
        self.launches = frozenset((c.task, c.attempt) for c in commands if c.op == "launch")

    def heartbeat_received(self, heartbeat: m.WorkerHeartbeat) -> bool:
        """Apply a newer periodic heartbeat; returns True if it proves that the last answer arrived.

        The worker made it after the last answer arrived or was given up. It shows each launch that was carried out,
        in whatever state, even if refused; only the end of the epoch drops one.
        """
        # One more missed probe is needed before the worker counts as dead: after a network partition its heartbeat
        # is the first to arrive.
        self.unanswered_probes = min(self.unanswered_probes, 1)
        fencing_token, launches, epoch = self.fencing_token, self.launches, self.epoch
        self.fencing_token, self.launches = 0, frozenset()
        if not fencing_token and not launches:
            return False
        shows_token = fencing_token and heartbeat.fencing_token >= fencing_token
        if shows_token or any((t.task, t.attempt) in launches for t in heartbeat.tasks):
            self.acknowledged()
            return True
        if fencing_token or heartbeat.epoch == epoch:
            self.unacknowledged_answers += 1
        return False

    def acknowledged(self) -> None:
        """Record proof that the worker receives what it is sent."""
        self.unanswered_probes = 0
        self.unacknowledged_answers = 0
        self.first_missed_probe_us = 0

    def probe_missed(self, probed_us: int) -> None:
        """Record that a probe sent at `probed_us` got no reply."""
        self.unanswered_probes += 1
        self.first_missed_probe_us = self.first_missed_probe_us or probed_us
