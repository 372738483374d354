"""Kinds of machines that the cloud refused lately, shared between controllers. No I/O, no clock."""

from quinceslip.coordination.context import SECOND

#: a kind of machine that was refused is not asked for again so soon; twice as long each time, up to
REFUSED_US = 12 * SECOND
REFUSED_MOST_US = 48 * SECOND
#: machine type, zone, spot
Kind = tuple[str, str, bool]


class Refusals:
    def __init__(self, place: int) -> None:
        # Controllers ask again one after the other, so that the first one's answer serves the others.
        self.stagger_us = place * 3 * SECOND // 2
        self.blocked: dict[Kind, tuple[int, int]] = {}  # until when, and for how long

    def refused(self, kind: Kind, now_us: int) -> None:
        """A kind of machine that was refused is left alone, longer each time."""
        until_us, pause_us = self.blocked.get(kind, (0, 0))
        long_ago = now_us > until_us + REFUSED_MOST_US
        pause_us = REFUSED_US if long_ago or not pause_us else min(2 * pause_us, REFUSED_MOST_US)
        self.blocked[kind] = (now_us + pause_us + self.stagger_us, pause_us)

    def rests(self, kind: Kind, now_us: int) -> bool:
        """Whether it should not be asked for yet."""
        return self.blocked.get(kind, (0, 0))[0] > now_us

    def left(self, now_us: int) -> list[tuple[str, str, bool, int]]:
        """What peers need not ask for, each with the microseconds that are left."""
        return [(*kind, until_us - now_us) for kind, (until_us, _) in self.blocked.items() if until_us > now_us]

    def heard(self, refusals: list[tuple[str, str, bool, int]], now_us: int) -> None:
        """Take over what a peer was refused."""
        for label, zone, spot, left_us in refusals:
            kind = (label, zone, spot)
            until_us, pause_us = self.blocked.get(kind, (0, REFUSED_US))
            left_us = min(left_us, REFUSED_MOST_US) + self.stagger_us
            if now_us + left_us > until_us + SECOND:
                self.blocked[kind] = (now_us + left_us, max(pause_us, REFUSED_US))

    def room_again(self, kind: Kind) -> None:
        """A machine that is returned makes room for one of its kind."""
        self.blocked.pop(kind, None)
