"""Tells an actor that stands still from one whose process was stopped, or that waits for processor time.

Plain rules without clock, thread or I/O. What is known of the actor at each look: how many turns it made (a turn is
a message, or a step of a long one), the processor time of its thread, and the place in the code where it is.

- Stopped by its host (a signal, a frozen machine): the looking thread stood still as well, so its look comes late.
  Time that passed before a late look is not counted.
- Waiting for processor time: the actor's own time grows little, while its place changes or the looks come late.
- Standing still: the looks came in time for the whole limit without a turn, and either the actor worked for half of
  it or more (no message may take so long), or it was at the very same place for all of it and hardly worked (it
  waits for something that does not come). Late looks or not, a turn that took the whole limit of processor time is
  no stop and no wait.
"""

from dataclasses import dataclass

#: a look that comes later than after so many periods says that the process did not run, or hardly
LATE = 2
#: of the limit, the actor's own processor time on one turn: beyond the first it works without end, ...
WORKS = 0.5
#: ... and below the second it did nothing at all
IDLES = 0.02
#: so many looks within the limit, each late by one period at the most
LOOKS = 20
#: where the processor time of a thread is not to be had, only more patience tells waiting from working
BLIND = 2


@dataclass(frozen=True, slots=True)
class Sample:
    """What is seen of the actor at one moment."""

    now_us: int
    turns: int
    cpu_us: int | None  # of the actor's thread alone; None where the system does not tell
    place: tuple[int, int] | None  # its innermost frame and instruction


class StallDetector:
    def __init__(self, limit_us: int, now_us: int) -> None:
        self.limit_us = limit_us
        self.period_us = limit_us // LOOKS
        self.last_us = now_us
        self.counted_us = 0
        self.first_without_turn: Sample | None = None  # since the last turn
        self.first_at_place: Sample | None = None  # since it was elsewhere
        self.first_at_place_us = 0

    def add(self, seen: Sample) -> str:
        """How the actor stands still, in words; empty while it turns, or may only be waiting."""
        passed_us, self.last_us = seen.now_us - self.last_us, seen.now_us
        if self.first_without_turn is None or seen.turns != self.first_without_turn.turns:
            self.first_without_turn = self.first_at_place = seen
            self.counted_us = self.first_at_place_us = 0
            return ""
        if passed_us <= LATE * self.period_us:
            self.counted_us += passed_us
        if self.first_at_place is None or seen.place != self.first_at_place.place:
            self.first_at_place, self.first_at_place_us = seen, self.counted_us
        if seen.cpu_us is None or self.first_without_turn.cpu_us is None or self.first_at_place.cpu_us is None:
            return "makes no turn" if self.counted_us >= BLIND * self.limit_us else ""
        worked_us, in_time = seen.cpu_us - self.first_without_turn.cpu_us, self.counted_us >= self.limit_us
        if worked_us >= (WORKS if in_time else 1.0) * self.limit_us:
            return f"has worked for {worked_us / 1e6:.1f} s on one turn"
        if (
            self.counted_us - self.first_at_place_us >= self.limit_us
            and seen.cpu_us - self.first_at_place.cpu_us <= IDLES * self.limit_us
        ):
            return "waits at one place"
        return ""
