"""Distinguishes a stalled actor from one whose process was stopped or that waits for processor time.

Plain rules without clock, thread or I/O. Each sample holds the number of turns that the actor has made (a turn is one
message, or one step of a long one), the processor time of its thread, and its position in the code.

- Stopped by the host (a signal, a frozen machine): the sampling thread was stopped as well, so its sample is late.
  Time that passed before a late sample is not counted.
- Waiting for processor time: the actor's own time grows little, while its position changes or samples are late.
- Stalled: samples were on time for the whole limit without a turn, and the actor either worked for half of the limit or
  more (no message may take so long), or stayed at the same position and hardly worked (it waits for something that
  does not happen). Even if samples are late, a turn that used the whole limit of processor time is a stall, because
  the actor was neither stopped nor waiting.
"""

from dataclasses import dataclass

#: a sample that is more than this many periods after the last one shows that the process hardly ran, if at all
LATE_PERIODS = 2
#: processor time on one turn, as a fraction of the limit, from which the actor counts as busy without end,
BUSY_FRACTION = 0.5
#: the same if samples were late,
BUSY_FRACTION_IF_LATE = 1.0
#: and the fraction up to which it counts as idle
IDLE_FRACTION = 0.02
#: samples taken within the limit; each may be late by up to one period
SAMPLES_PER_LIMIT = 20
#: without the processor time of the thread, only a longer limit distinguishes waiting from working
LIMIT_FACTOR_WITHOUT_CPU_TIME = 2


@dataclass(frozen=True, slots=True)
class Sample:
    """State of the actor at one moment."""

    now_us: int
    turns: int
    cpu_us: int | None  # processor time of the actor's thread; None if the system does not provide it
    code_position: tuple[int, int] | None  # innermost frame and instruction


class StallDetector:
    """Receives a sample every `period_us`, and keeps those needed since the last turn."""

    def __init__(self, limit_us: int, now_us: int) -> None:
        self.limit_us = limit_us
        self.period_us = limit_us // SAMPLES_PER_LIMIT
        self.last_us = now_us
        self.counted_us = 0  # time since the last turn, except before late samples
        self.first_without_turn: Sample | None = None  # first sample since the last turn
        self.first_at_position: Sample | None = None  # first sample at the current position
        self.first_at_position_us = 0  # `counted_us` at that sample

    def add(self, sample: Sample) -> str:
        """Return a description of the stall for the log; empty while the actor makes turns or may only be waiting."""
        passed_us, self.last_us = sample.now_us - self.last_us, sample.now_us
        if self.first_without_turn is None or sample.turns != self.first_without_turn.turns:
            self.first_without_turn = self.first_at_position = sample
            self.counted_us = self.first_at_position_us = 0
            return ""
        if passed_us <= LATE_PERIODS * self.period_us:
            self.counted_us += passed_us
        if self.first_at_position is None or sample.code_position != self.first_at_position.code_position:
            self.first_at_position, self.first_at_position_us = sample, self.counted_us
        return self._describe_stall(sample, self.first_without_turn, self.first_at_position)

    def _describe_stall(self, sample: Sample, first_without_turn: Sample, first_at_position: Sample) -> str:
        if sample.cpu_us is None or first_without_turn.cpu_us is None or first_at_position.cpu_us is None:
            return "makes no turn" if self.counted_us >= LIMIT_FACTOR_WITHOUT_CPU_TIME * self.limit_us else ""
        worked_us = sample.cpu_us - first_without_turn.cpu_us
        is_limit_passed = self.counted_us >= self.limit_us
        if worked_us >= (BUSY_FRACTION if is_limit_passed else BUSY_FRACTION_IF_LATE) * self.limit_us:
            return f"has worked for {worked_us / 1e6:.1f} s on one turn"
        at_position_us = self.counted_us - self.first_at_position_us
        worked_at_position_us = sample.cpu_us - first_at_position.cpu_us
        if at_position_us >= self.limit_us and worked_at_position_us <= IDLE_FRACTION * self.limit_us:
            return "waits at one place"
        return ""
