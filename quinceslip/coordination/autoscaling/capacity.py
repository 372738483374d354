"""What the fleet has seen of the cloud's room, by kind of machine. No I/O; the caller brings the time.

A *sighting* is what one controller saw at first hand: so many machines asked for, so many had. Each controller
tells its own sightings and nothing else. What a peer told is kept apart, by whom it is from, and is never told on:
two controllers that add to what they hear from each other and pass it on keep it alive for ever
(docs/incidents/refusals-for-ever.md).

A sighting carries its *version*, the birth of the controller's process and a count, and its age. Heard again it is
known by its version and its moment is the earliest that was made out, so no repeat, delay or reordering moves it later.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from quinceslip.protocol.frames import Observation

SECOND = 1_000_000
#: machine type, zone, spot
Kind = tuple[str, str, bool]
#: part of the cloud's calls that may go to kinds that were short when they were last asked for
ASK_PART = 0.125
#: a kind that was short rests for no less and no more than this
MIN_BACKOFF_US = 12 * SECOND
MAX_BACKOFF_US = 48 * SECOND
#: kinds that are kept of one peer: more than a frame carries, so that nonsense takes no memory
MAX_POOLS_PER_PEER = 64
#: between the turns of two controllers: time for the first one's answer, and for the others to hear of it
TURN_US = SECOND


@dataclass(slots=True, frozen=True)
class DatedObservation:
    """A sighting as one controller knows it, at its own clock."""

    observation: Observation
    at_us: int


@dataclass(slots=True, frozen=True)
class Backoff:
    """Why a kind is not asked for: whose sighting, and until when for this controller."""

    origin: str
    version: tuple[int, int]  # of the sighting: birth and number
    until_us: int


class CapacityObservations:
    """Owns what is known of the cloud's room; `rests` says whether to ask."""

    def __init__(self, label: str, labels: list[str], asks_per_s: float, born: int, told: bool = True) -> None:
        self.label = label
        self.labels = sorted(labels)
        self.asks_per_s = asks_per_s
        self.process_started_ms = born
        self.sharing = told  # whether the controllers tell each other at all
        self.count = 0
        #: by controller, by kind: the newest sighting of each
        self.by_origin: dict[str, dict[Kind, DatedObservation]] = {}
        self.backoffs: dict[Kind, Backoff] = {}
        self.has_news = False  # something was seen that peers have not been told

    # First hand.

    def request_answered(self, kind: Kind, asked: int, granted: int, now_us: int) -> None:
        """The cloud answered a request for so many machines."""
        self._observe(kind, asked, granted, now_us)

    def machines_returned(self, kind: Kind, count: int, now_us: int) -> None:
        """Machines that are returned make room for others of their kind, whoever wants them."""
        self._observe(kind, count, count, now_us)

    def _observe(self, kind: Kind, asked: int, granted: int, now_us: int) -> None:
        mine = self.by_origin.setdefault(self.label, {})
        short = granted < asked
        if not short and kind not in self.backoffs and not (kind in mine and _short(mine[kind])):
            return  # nobody was told otherwise: no news
        self.count += 1
        mine[kind] = DatedObservation(Observation(kind, self.process_started_ms, self.count, 0, asked, granted), now_us)
        self.has_news = True
        self._update_backoff(kind, now_us)

    # Hearsay.

    def own_observations(self, now_us: int) -> list[Observation]:
        """What this controller saw itself, each with its age; newest first."""
        self.has_news = False
        if not self.sharing:
            return []
        mine = self.by_origin.get(self.label, {})
        for kind in [k for k, known in mine.items() if now_us - known.at_us > MAX_BACKOFF_US]:
            del mine[kind]
        newest = sorted(mine.values(), key=lambda k: -k.at_us)
        return [replace(k.observation, age_us=now_us - k.at_us) for k in newest]

    def observations_received(self, origin: str, observations: Iterable[Observation], now_us: int) -> None:
        """What a peer says that it saw itself. Costs by what is new of it."""
        if not self.sharing or origin == self.label or origin not in self.labels:
            return
        theirs = self.by_origin.setdefault(origin, {})
        for observation in observations:
            at_us, before = now_us - observation.age_us, theirs.get(observation.kind)
            if before is not None:
                version, known = (
                    (observation.born, observation.number),
                    (before.observation.born, before.observation.number),
                )
                # Guard: the same sighting heard again, or an older one that was late, moves nothing later.
                if version < known or (version == known and at_us >= before.at_us):
                    continue
            theirs[observation.kind] = DatedObservation(observation, at_us)
            if len(theirs) > MAX_POOLS_PER_PEER:
                del theirs[min(theirs, key=lambda k: theirs[k].at_us)]
            self._update_backoff(observation.kind, now_us)

    # Judgement.

    def backs_off(self, kind: Kind, now_us: int) -> bool:
        """Whether it should not be asked for yet."""
        rest = self.backoffs.get(kind)
        if rest is None:
            return False
        if now_us >= rest.until_us:
            del self.backoffs[kind]
            return False
        return True

    def _update_backoff(self, kind: Kind, now_us: int) -> None:
        """One rest for each kind, counted from the latest moment at which it was short, unless room was seen since."""
        shortage: tuple[DatedObservation, str] | None = None
        room_us: int | None = None
        for origin, theirs in self.by_origin.items():
            known = theirs.get(kind)
            if known is None:
                continue
            if not _short(known):
                room_us = known.at_us if room_us is None else max(room_us, known.at_us)
            elif shortage is None or known.at_us > shortage[0].at_us:
                shortage = (known, origin)
        before = self.backoffs.pop(kind, None)
        if shortage is None or (room_us is not None and room_us >= shortage[0].at_us):
            return
        known, origin = shortage
        version = (known.observation.born, known.observation.number)
        until_us = known.at_us + self.backoff_us(now_us) + self.turn_delay_us(origin)
        if before is not None and (before.origin, before.version) == (origin, version):
            until_us = min(until_us, before.until_us)  # guard: the end of a rest is not moved later by what is heard
        if until_us > now_us:
            self.backoffs[kind] = Backoff(origin, version, until_us)

    def backoff_us(self, now_us: int) -> int:
        """How long a kind rests: all that rest are asked for in turn, with a part of the cloud's calls together."""
        resting = 1 + sum(rest.until_us > now_us for rest in self.backoffs.values())
        return min(max(int(SECOND * resting / (self.asks_per_s * ASK_PART)), MIN_BACKOFF_US), MAX_BACKOFF_US)

    def turn_delay_us(self, origin: str) -> int:
        """The controllers ask one after the other, so that one answer serves all; whoever was short last comes last."""
        size = len(self.labels)
        place = (self.labels.index(self.label) - self.labels.index(origin) - 1) % size
        return place * min(TURN_US, MAX_BACKOFF_US // 4 // size)

    def all_observations(self) -> Mapping[str, Mapping[Kind, DatedObservation]]:
        """What is known, by controller: for tests, logs and whoever asks."""
        return self.by_origin


def _short(known: DatedObservation) -> bool:
    return known.observation.granted < known.observation.asked
