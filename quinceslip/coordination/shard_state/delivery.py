"""What a worker has proven to receive from this leader. No I/O, no clock.

A heartbeat that arrives proves that it was sent, and no more: a machine whose heartbeats get through may receive
neither answers nor commands, and a copy of a heartbeat may come long after its machine is gone. What proves that it
receives something now is what an answer alone can bring about: the fencing token it was sent, a launch of ours among
its tasks, a reply to a direct command or probe. Until such a proof a suspect worker gets no new work and counts as no
capacity; its own lease ends what it has (docs/end-of-day.md).
"""

from collections.abc import Iterable
from dataclasses import dataclass

from quinceslip.protocol import messages as m

#: so many probes in a row without a reply make a silent machine a dead one
MAX_UNANSWERED_PROBES = 2
#: so many answers in a row that showed no effect are no accident: single ones are lost or come too late
MAX_UNACKNOWLEDGED_ANSWERS = 2


@dataclass(slots=True)
class DeliveryTracker:
    """Owned by a worker of a shard."""

    unanswered_probes: int = 0  # probes in a row that were not replied to
    unacknowledged_answers: int = 0  # answers in a row to its heartbeats of which its next heartbeat showed nothing
    first_missed_probe_us: int = 0  # when the first probe without a reply was sent
    # What the answer to its last heartbeat must have brought about, if it came: an epoch, a token (0: none), launches.
    epoch: int = 0
    fencing_token: int = 0
    launches: frozenset[tuple[str, int]] = frozenset()  # task name and attempt number

    @property
    def suspect(self) -> bool:
        """Whether something that it must have received, or a probe, has shown no effect."""
        return self.unanswered_probes > 0 or self.unacknowledged_answers > 0

    @property
    def unreachable(self) -> bool:
        """Neither answers nor probes reach it: it is certain that this leader does not renew its lease."""
        return (
            self.unanswered_probes >= MAX_UNANSWERED_PROBES
            and self.unacknowledged_answers >= MAX_UNACKNOWLEDGED_ANSWERS
        )

    def answer_sent(self, heartbeat: m.WorkerHeartbeat, fencing_token: int, commands: Iterable[m.Command]) -> None:
        """Note what the answer to a heartbeat must bring about."""
        self.epoch = heartbeat.epoch
        self.fencing_token = fencing_token if fencing_token > heartbeat.fencing_token else 0
        self.launches = frozenset((c.task, c.attempt) for c in commands if c.op == "launch")

    def heartbeat_received(self, heartbeat: m.WorkerHeartbeat) -> bool:
        """Take a newer heartbeat of the worker's own accord; True where it proves that the last answer arrived.

        It was made after the last answer came or was given up. A launch that was carried out shows in whatever
        state, a refused one too; only the end of the epoch drops it.
        """
        # It is probed anew before it counts as dead: after a cut its heartbeat is the first to arrive.
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
        """Note a proof that it receives what it is sent."""
        self.unanswered_probes = 0
        self.unacknowledged_answers = 0
        self.first_missed_probe_us = 0

    def probe_missed(self, probed_us: int) -> None:
        """Note that a probe sent at `probed_us` got no reply."""
        self.unanswered_probes += 1
        self.first_missed_probe_us = self.first_missed_probe_us or probed_us
