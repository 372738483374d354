"""What the fleet has observed of the cloud's capacity, by pool of machines. No I/O; the caller brings the time.

An *observation* is what one controller saw at first hand: so many machines asked for, so many granted. Each controller
sends its own observations and nothing else. What a peer sent is kept apart, by its origin, and is never sent on:
two controllers that add to what they receive from each other and pass it on keep it alive for ever
(docs/incidents/refusals-for-ever.md).

An observation carries its *version*, the start of the controller's process and a count, and its age. Received again it
is known by its version and its time is the earliest that was made out, so no repeat, delay or reordering moves it
later.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from quinceslip.protocol.frames import Observation

SECOND = 1_000_000
#: a pool of the cloud: machine type, zone, spot
MachinePool = tuple[str, str, bool]
#: part of the cloud's calls that may go to pools that were out of stock when they were last asked for
RETRY_PART = 0.125
#: a pool that was out of stock is not asked for for no less and no more than this
MIN_BACKOFF_US = 12 * SECOND
MAX_BACKOFF_US = 48 * SECOND
#: pools that are kept of one peer: more than a frame carries, so that a faulty peer takes no memory
MAX_POOLS_PER_PEER = 64
#: between the turns of two controllers: time for the first one's answer, and for the others to receive it
RETRY_STAGGER_US = SECOND


class ObservationVersion(NamedTuple):
    """Versions of one controller are ordered: a later process first, then a later observation of it."""

    process_started_ms: int
    number: int


@dataclass(slots=True, frozen=True)
class DatedObservation:
    """An observation as one controller knows it, at its own clock."""

    observation: Observation
    at_us: int

    @property
    def version(self) -> ObservationVersion:
        """The version that its origin gave it."""
        return ObservationVersion(self.observation.process_started_ms, self.observation.number)

    @property
    def is_stockout(self) -> bool:
        """Whether the cloud granted less than was asked for."""
        return self.observation.granted < self.observation.asked


@dataclass(slots=True, frozen=True)
class Backoff:
    """Why a pool is not asked for: whose observation, and until when for this controller."""

    origin: str
    version: ObservationVersion
    until_us: int


class CapacityObservations:
    """Owns what is known of the cloud's capacity; `is_backing_off` says whether a pool may be asked for."""

    def __init__(
        self, label: str, labels: list[str], calls_per_s: float, process_started_ms: int, sharing: bool = True
    ) -> None:
        self.label = label
        self.labels = sorted(labels)
        self.calls_per_s = calls_per_s
        self.process_started_ms = process_started_ms
        self.sharing = sharing  # whether the controllers exchange observations at all
        self.count = 0
        #: by controller, by pool: the newest observation of each
        self.by_origin: dict[str, dict[MachinePool, DatedObservation]] = {}
        self.backoffs: dict[MachinePool, Backoff] = {}
        self.has_unsent_observations = False  # something was observed that was not sent to peers yet

    # Observed here.

    def request_answered(self, pool: MachinePool, asked: int, granted: int, now_us: int) -> None:
        """The cloud answered a request for so many machines."""
        self._observe(pool, asked, granted, now_us)

    def machines_returned(self, pool: MachinePool, count: int, now_us: int) -> None:
        """Machines that are returned make room for others of their pool, whoever wants them."""
        self._observe(pool, count, count, now_us)

    def own_observations(self, now_us: int) -> list[Observation]:
        """What this controller observed itself, each with its age; newest first."""
        self.has_unsent_observations = False
        if not self.sharing:
            return []
        own = self.by_origin.get(self.label, {})
        for pool in [pool for pool, known in own.items() if now_us - known.at_us > MAX_BACKOFF_US]:
            del own[pool]
        newest_first = sorted(own.values(), key=lambda known: -known.at_us)
        return [replace(known.observation, age_us=now_us - known.at_us) for known in newest_first]

    def _observe(self, pool: MachinePool, asked: int, granted: int, now_us: int) -> None:
        own = self.by_origin.setdefault(self.label, {})
        is_stockout = granted < asked
        was_stockout = pool in self.backoffs or (pool in own and own[pool].is_stockout)
        if not is_stockout and not was_stockout:
            return  # no peer assumes otherwise: no news
        self.count += 1
        observation = Observation(pool, self.process_started_ms, self.count, 0, asked, granted)
        own[pool] = DatedObservation(observation, now_us)
        self.has_unsent_observations = True
        self._update_backoff(pool, now_us)

    # Received from peers.

    def observations_received(self, origin: str, observations: Iterable[Observation], now_us: int) -> None:
        """What a peer says that it observed itself. Costs by what is new of it."""
        if not self.sharing or origin == self.label or origin not in self.labels:
            return
        theirs = self.by_origin.setdefault(origin, {})
        for observation in observations:
            received = DatedObservation(observation, now_us - observation.age_us)
            if not _supersedes(received, theirs.get(observation.kind)):
                continue
            theirs[observation.kind] = received
            if len(theirs) > MAX_POOLS_PER_PEER:
                del theirs[min(theirs, key=lambda pool: theirs[pool].at_us)]
            self._update_backoff(observation.kind, now_us)

    # Decisions.

    def is_backing_off(self, pool: MachinePool, now_us: int) -> bool:
        """Whether the pool should not be asked for yet."""
        backoff = self.backoffs.get(pool)
        if backoff is None:
            return False
        if now_us >= backoff.until_us:
            del self.backoffs[pool]
            return False
        return True

    def backoff_us(self, now_us: int) -> int:
        """How long a pool backs off: all that do are asked for in turn, with a part of the cloud's calls together."""
        pools = 1 + sum(backoff.until_us > now_us for backoff in self.backoffs.values())
        return min(max(int(SECOND * pools / (self.calls_per_s * RETRY_PART)), MIN_BACKOFF_US), MAX_BACKOFF_US)

    def turn_delay_us(self, origin: str) -> int:
        """The controllers ask one after the other, so that one answer serves all; the origin of a stockout is last."""
        size = len(self.labels)
        place = (self.labels.index(self.label) - self.labels.index(origin) - 1) % size
        return place * min(RETRY_STAGGER_US, MAX_BACKOFF_US // 4 // size)

    def all_observations(self) -> Mapping[str, Mapping[MachinePool, DatedObservation]]:
        """What is known, by controller: for tests, logs and whoever asks."""
        return self.by_origin

    def _update_backoff(self, pool: MachinePool, now_us: int) -> None:
        """One backoff for each pool, counted from its latest stockout, unless capacity was observed since."""
        before = self.backoffs.pop(pool, None)
        latest = self._latest_stockout(pool)
        if latest is None:
            return
        origin, stockout = latest
        until_us = stockout.at_us + self.backoff_us(now_us) + self.turn_delay_us(origin)
        if before is not None and (before.origin, before.version) == (origin, stockout.version):
            # Guard: the end of a backoff is not moved later by what is received.
            until_us = min(until_us, before.until_us)
        if until_us > now_us:
            self.backoffs[pool] = Backoff(origin, stockout.version, until_us)

    def _latest_stockout(self, pool: MachinePool) -> tuple[str, DatedObservation] | None:
        """The latest stockout of the pool and its origin; None where somebody was granted all at that time or since."""
        stockout: tuple[str, DatedObservation] | None = None
        granted_us: int | None = None
        for origin, theirs in self.by_origin.items():
            known = theirs.get(pool)
            if known is None:
                continue
            if not known.is_stockout:
                granted_us = known.at_us if granted_us is None else max(granted_us, known.at_us)
            elif stockout is None or known.at_us > stockout[1].at_us:
                stockout = (origin, known)
        if stockout is not None and granted_us is not None and granted_us >= stockout[1].at_us:
            return None
        return stockout


def _supersedes(received: DatedObservation, known: DatedObservation | None) -> bool:
    """Whether an observation of a peer replaces what is known of it for the same pool.

    Guard: the same observation received again, or an older one that was late, moves nothing later.
    """
    if known is None or received.version > known.version:
        return True
    return received.version == known.version and received.at_us < known.at_us
