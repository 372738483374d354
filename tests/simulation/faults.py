"""Interruptions that a scenario asks for; each lasts until a moment of the virtual time, in µs."""

from typing import NamedTuple


class HeartbeatCopies(NamedTuple):
    """A worker's heartbeats arrive again, at any controller."""

    until_us: int = 0
    times: int = 0
    max_delay_us: int = 0


class SlowCommands(NamedTuple):
    """Direct commands to a worker, or their answers, are held up by themselves, while all else passes."""

    until_us: int = 0
    max_there_us: int = 0
    max_back_us: int = 0


class LateTransactions(NamedTuple):
    """A share of a controller's transactions is carried out late, and never answered."""

    until_us: int = 0
    min_delay_us: int = 0
    max_delay_us: int = 0
    share: float = 0.0


class LostAnswers(NamedTuple):
    """A share of a controller's transactions is carried out at once, and the answer is lost."""

    until_us: int = 0
    share: float = 0.0


class SlowAnswers(NamedTuple):
    """The key-value store takes up to so long to answer a controller."""

    until_us: int = 0
    max_us: int = 0


class LostHandOver(NamedTuple):
    """A controller's next hand-over of a shard gets no answer, and its watch hangs; `is_dropped`: it isn't carried out
    either."""

    watch_hung_us: int
    is_dropped: bool


class StoreCut(NamedTuple):
    """A controller loses the key-value store: what it sends is `held` until the end, or the connection is `reset`."""

    until_us: int = 0
    mode: str = ""


class WorkerCut(NamedTuple):
    """A controller is cut off from the workers of a zone, with `!` from all others, without a zone from all."""

    until_us: int = 0
    zone: str = ""

    def separates(self, now_us: int, worker_zone: str | None) -> bool:
        """Whether nothing passes now to or from a worker in that zone (None: a machine that is gone)."""
        if now_us >= self.until_us:
            return False
        if not self.zone:
            return True
        if worker_zone is None:
            return False
        is_named_zone = worker_zone == self.zone.lstrip("!")
        return is_named_zone != self.zone.startswith("!")
