"""Tells an actor that is stalled from one whose process was stopped, or that waits for processor time.

Plain rules without clock, thread or I/O. What is known of the actor at each sample: how many turns it made (a turn is
a message, or a step of a long one), the processor time of its thread, and the place in the code where it is.

- Stopped by its host (a signal, a frozen machine): the sampling thread was stopped as well, so its sample comes late.
  Time that passed before a late sample is not counted.
- Waiting for processor time: the actor's own time grows little, while its place changes or the samples come late.
- Stalled: the samples came in time for the whole limit without a turn, and either the actor worked for half of
  it or more (no message may take so long), or it was at the very same place for all of it and hardly worked (it
  waits for something that does not come). Late samples or not, a turn that took the whole limit of processor time is
  no stop and no wait.
"""

from dataclasses import dataclass

#: a sample that comes later than after so many periods says that the process did not run, or hardly
LATE_PERIODS = 2
#: of the limit, the actor's own processor time on one turn: beyond the first it works without end, ...
WORKING_PART = 0.5
#: ... where samples came late, beyond all of it, ...
WORKING_PART_IF_LATE = 1.0
#: ... and below this it did nothing at all
IDLE_PART = 0.02
#: so many samples within the limit, each late by one period at the most
SAMPLES_PER_LIMIT = 20
#: where the processor time of a thread is not to be had, only more time tells waiting from working
LIMITS_WITHOUT_CPU_TIME = 2


@dataclass(frozen=True, slots=True)
class Sample:
    """What is seen of the actor at one moment."""

    now_us: int
    turns: int
    cpu_us: int | None  # of the actor's thread alone; None where the system does not tell
    place: tuple[int, int] | None  # its innermost frame and instruction


class StallDetector:
    """Takes a sample each `period_us`, and keeps what is needed of those since the last turn."""

    def __init__(self, limit_us: int, now_us: int) -> None:
        self.limit_us = limit_us
        self.period_us = limit_us // SAMPLES_PER_LIMIT
        self.last_us = now_us
        self.counted_us = 0  # time since the last turn, without what passed before late samples
        self.first_without_turn: Sample | None = None  # since the last turn
        self.first_at_place: Sample | None = None  # since it was elsewhere
        self.first_at_place_us = 0  # counted time at that sample

    def add(self, sample: Sample) -> str:
        """How the actor is stalled, in words for the log; empty while it turns, or may only be waiting."""
        passed_us, self.last_us = sample.now_us - self.last_us, sample.now_us
        if self.first_without_turn is None or sample.turns != self.first_without_turn.turns:
            self.first_without_turn = self.first_at_place = sample
            self.counted_us = self.first_at_place_us = 0
            return ""
        if passed_us <= LATE_PERIODS * self.period_us:
            self.counted_us += passed_us
        if self.first_at_place is None or sample.place != self.first_at_place.place:
            self.first_at_place, self.first_at_place_us = sample, self.counted_us
        return self._judge(sample, self.first_without_turn, self.first_at_place)

    def _judge(self, sample: Sample, first_without_turn: Sample, first_at_place: Sample) -> str:
        if sample.cpu_us is None or first_without_turn.cpu_us is None or first_at_place.cpu_us is None:
            return "makes no turn" if self.counted_us >= LIMITS_WITHOUT_CPU_TIME * self.limit_us else ""
        worked_us = sample.cpu_us - first_without_turn.cpu_us
        in_time = self.counted_us >= self.limit_us
        if worked_us >= (WORKING_PART if in_time else WORKING_PART_IF_LATE) * self.limit_us:
            return f"has worked for {worked_us / 1e6:.1f} s on one turn"
        at_place_us = self.counted_us - self.first_at_place_us
        worked_at_place_us = sample.cpu_us - first_at_place.cpu_us
        if at_place_us >= self.limit_us and worked_at_place_us <= IDLE_PART * self.limit_us:
            return "waits at one place"
        return ""
