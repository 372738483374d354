"""What a worker has proven to hear of us. No I/O, no clock.

A report that arrives proves that it was sent, and no more: a machine whose reports get through may hear neither answers
nor commands, and a copy of a report may come long after its machine is gone. What proves that it hears us now is what
an answer alone can bring about: the token it was told, a launch of ours among its tasks, a reply to a direct command or
question. Until such a proof a worker in doubt gets no new work and is no room; its own lease ends what it has
(docs/end-of-day.md).
"""

from collections.abc import Iterable
from dataclasses import dataclass

from quinceslip.protocol import messages as m

#: so many questions in a row without a reply make a silent machine a dead one
MAX_UNANSWERED_PROBES = 2
#: so many answers in a row that showed no effect are no accident: single ones are lost or come too late
MAX_UNACKNOWLEDGED = 2


@dataclass(slots=True)
class DeliveryTracker:
    """Owned by a worker of a shard."""

    unanswered_probes: int = 0  # questions in a row that were not replied to
    unacknowledged: int = 0  # answers to its reports in a row of which its next report showed nothing
    first_missed_us: int = 0  # when the first question in vain was asked
    # What the answer to its last report must have brought about, if it came: a session, a token, launches.
    epoch: int = 0
    fencing_token: int = 0
    launches: frozenset[tuple[str, int]] = frozenset()

    @property
    def suspect(self) -> bool:
        """Whether something that it must have heard, or was asked, has shown no effect."""
        return self.unanswered_probes > 0 or self.unacknowledged > 0

    @property
    def unreachable(self) -> bool:
        """Neither answers nor questions reach it: it is certain that its lease is not renewed by us."""
        return self.unanswered_probes >= MAX_UNANSWERED_PROBES and self.unacknowledged >= MAX_UNACKNOWLEDGED

    def answer_sent(self, heartbeat: m.WorkerHeartbeat, fencing_token: int, commands: Iterable[m.Command]) -> None:
        """Its report is answered."""
        self.epoch, self.fencing_token = (
            heartbeat.epoch,
            fencing_token if fencing_token > heartbeat.fencing_token else 0,
        )
        self.launches = frozenset((c.task, c.attempt) for c in commands if c.op == "launch")

    def heartbeat_received(self, heartbeat: m.WorkerHeartbeat) -> bool:
        """A newer report of its own accord, made after the last answer came or was given up; True where it proves.

        A launch that was executed shows in whatever state, a refused one too; only the end of the session drops it.
        """
        # It is asked anew before it counts as dead: after a cut its report is the first to arrive.
        self.unanswered_probes = min(self.unanswered_probes, 1)
        fencing_token, launches, epoch = self.fencing_token, self.launches, self.epoch
        self.fencing_token, self.launches = 0, frozenset()
        if not fencing_token and not launches:
            return False
        if (fencing_token and heartbeat.fencing_token >= fencing_token) or any(
            (t.task, t.attempt) in launches for t in heartbeat.tasks
        ):
            self.acknowledged()
            return True
        if fencing_token or heartbeat.epoch == epoch:
            self.unacknowledged += 1
        return False

    def acknowledged(self) -> None:
        """It hears us."""
        self.unanswered_probes = self.unacknowledged = self.first_missed_us = 0

    def probe_missed(self, asked_us: int) -> None:
        """A question asked then was not replied to."""
        self.unanswered_probes += 1
        self.first_missed_us = self.first_missed_us or asked_us
