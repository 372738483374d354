"""Faults that a scenario injects; each ends at a virtual time `until_us`, in µs."""

from typing import NamedTuple


class HeartbeatCopies(NamedTuple):
    """Each heartbeat of a worker is delivered again, `times` times, to random controllers."""

    until_us: int = 0
    times: int = 0
    max_delay_us: int = 0


class CommandCopies(NamedTuple):
    """A share of the direct commands that a worker received arrive again, `times` times.

    They arrive at the same machine, or with `to_address` at whichever machine has its address by then.
    """

    until_us: int = 0
    share: float = 0.0
    min_delay_us: int = 0
    max_delay_us: int = 0
    times: int = 1
    to_address: bool = False


class SlowCommands(NamedTuple):
    """Direct commands to a worker, or their answers, are delayed; all other messages pass normally."""

    until_us: int = 0
    max_request_delay_us: int = 0
    max_answer_delay_us: int = 0


class LateTransactions(NamedTuple):
    """A share of a controller's transactions is executed late, and never answered."""

    until_us: int = 0
    min_delay_us: int = 0
    max_delay_us: int = 0
    share: float = 0.0


class LostAnswers(NamedTuple):
    """A share of a controller's transactions is executed without delay, but the answer is lost."""

    until_us: int = 0
    share: float = 0.0


class SlowAnswers(NamedTuple):
    """The key-value store takes up to `max_us` to answer a controller."""

    until_us: int = 0
    max_us: int = 0


class LostHandOver(NamedTuple):
    """A controller's next hand-over of a shard gets no answer, and its watch hangs for `watch_hung_us`.

    With `is_dropped` the hand-over isn't executed either.
    """

    watch_hung_us: int
    is_dropped: bool


class StoreCut(NamedTuple):
    """A controller can't reach the key-value store.

    Mode `held` delays its requests until the fault ends, mode `reset` breaks the connection.
    """

    until_us: int = 0
    mode: str = ""


class WorkerCut(NamedTuple):
    """A controller can't reach the workers of a zone (`!ZONE`: those of all other zones; empty: all workers)."""

    until_us: int = 0
    zone: str = ""

    def blocks(self, now_us: int, worker_zone: str | None) -> bool:
        """Whether messages to and from workers of that zone are blocked now (None: a removed machine)."""
        if now_us >= self.until_us:
            return False
        if not self.zone:
            return True
        if worker_zone is None:
            return False
        is_named_zone = worker_zone == self.zone.lstrip("!")
        return is_named_zone != self.zone.startswith("!")
