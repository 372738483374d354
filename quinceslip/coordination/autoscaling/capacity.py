"""Tracks the cloud capacity that controllers have observed, per pool of machines. No I/O; callers pass the time.

An *observation* is what one controller saw first-hand: the number of machines requested and granted. Each controller
sends only its own observations. Those received from a peer are stored per origin and never forwarded: two controllers
that merged and forwarded what they received from each other would keep it alive for ever
(docs/incidents/refusals-for-ever.md).

An observation carries its age and its *version*, which consists of the start time of the controller's process and a
counter. A repeated observation is recognised by its version and keeps the earliest time computed for it, so no repeat,
delay or reordering moves it later.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.protocol.frames import Observation

#: a pool of machines in the cloud: machine type, zone, spot
MachinePool = tuple[str, str, bool]
#: fraction of the calls to the cloud that may retry pools which were out of stock at the last request
RETRY_FRACTION = 0.125
#: bounds of the backoff of a pool that was out of stock
MIN_BACKOFF_US = 12 * SECOND
MAX_BACKOFF_US = 48 * SECOND
#: pools stored per peer: more than a frame carries, and a bound on the memory that a faulty peer can take up
MAX_POOLS_PER_PEER = 64
#: delay between the retries of two controllers: time for the first one's answer and for the others to receive it
RETRY_STAGGER_US = SECOND


class ObservationVersion(NamedTuple):
    """Version of an observation; versions of one controller are ordered by process start, then by number."""

    process_started_ms: int
    number: int


@dataclass(slots=True, frozen=True)
class DatedObservation:
    """An observation with its time on the clock of the controller that stores it."""

    observation: Observation
    at_us: int

    @property
    def version(self) -> ObservationVersion:
        """The version assigned by the controller that made the observation."""
        return ObservationVersion(self.observation.process_started_ms, self.observation.number)

    @property
    def is_stockout(self) -> bool:
        """Whether the cloud granted fewer machines than requested."""
        return self.observation.granted < self.observation.asked


@dataclass(slots=True, frozen=True)
class Backoff:
    """A pause in requesting a pool: the observation that caused it, and when it ends for this controller."""

    origin: str
    version: ObservationVersion
    until_us: int


class CapacityObservations:
    """Stores observations of the cloud's capacity, and decides which pools not to request for a while."""

    def __init__(
        self,
        label: str,
        labels: list[str],
        calls_per_s: float,
        process_started_ms: int,
        shares_observations: bool = True,
    ) -> None:
        self.label = label
        self.labels = sorted(labels)
        self.calls_per_s = calls_per_s
        self.process_started_ms = process_started_ms
        self.shares_observations = shares_observations  # whether the controllers exchange observations
        self.observation_count = 0
        #: the newest observation by controller and pool
        self.by_origin: dict[str, dict[MachinePool, DatedObservation]] = {}
        self.backoffs: dict[MachinePool, Backoff] = {}
        #: by controller and pool: the backoff after its newest stockout, which may be in force again later
        self._backoffs_by_origin: dict[tuple[str, MachinePool], Backoff] = {}
        self.has_unsent_observations = False  # there are observations not sent to peers yet

    # Own observations.

    def request_answered(self, pool: MachinePool, requested: int, granted: int, now_us: int) -> None:
        """Record the cloud's answer to a request for machines."""
        self._observe(pool, requested, granted, now_us)

    def machines_returned(self, pool: MachinePool, count: int, now_us: int) -> None:
        """Record the return of machines, which frees capacity of their pool for any controller."""
        self._observe(pool, count, count, now_us)

    def own_observations(self, now_us: int) -> list[Observation]:
        """Return this controller's own observations with their ages, newest first."""
        self.has_unsent_observations = False
        if not self.shares_observations:
            return []
        own = self.by_origin.get(self.label, {})
        for pool in [pool for pool, known in own.items() if now_us - known.at_us > MAX_BACKOFF_US]:
            self._forget(self.label, pool)
        newest_first = sorted(own.values(), key=lambda known: -known.at_us)
        return [replace(known.observation, age_us=now_us - known.at_us) for known in newest_first]

    def _observe(self, pool: MachinePool, requested: int, granted: int, now_us: int) -> None:
        own = self.by_origin.setdefault(self.label, {})
        is_stockout = granted < requested
        was_stockout = pool in self.backoffs or (pool in own and own[pool].is_stockout)
        if not is_stockout and not was_stockout:
            return  # matches what peers assume
        self.observation_count += 1
        observation = Observation(pool, self.process_started_ms, self.observation_count, 0, requested, granted)
        own[pool] = DatedObservation(observation, now_us)
        self.has_unsent_observations = True
        self._update_backoff(pool, now_us)

    # Observations received from peers.

    def observations_received(self, origin: str, observations: Iterable[Observation], now_us: int) -> None:
        """Store a peer's own observations. The cost depends on how many of them are new."""
        if not self.shares_observations or origin == self.label or origin not in self.labels:
            return
        by_pool = self.by_origin.setdefault(origin, {})
        for observation in observations:
            received = DatedObservation(observation, now_us - observation.age_us)
            if not _supersedes(received, by_pool.get(observation.kind)):
                continue
            by_pool[observation.kind] = received
            if len(by_pool) > MAX_POOLS_PER_PEER:
                self._forget(origin, min(by_pool, key=lambda pool: by_pool[pool].at_us))
            self._update_backoff(observation.kind, now_us)

    # Decisions.

    def is_backing_off(self, pool: MachinePool, now_us: int) -> bool:
        """Whether the pool should not be requested yet."""
        backoff = self.backoffs.get(pool)
        if backoff is None:
            return False
        if now_us >= backoff.until_us:
            del self.backoffs[pool]
            return False
        return True

    def backoff_us(self, now_us: int) -> int:
        """Return how long a pool backs off, so that retries of all such pools share a fraction of the cloud's calls."""
        pools = 1 + sum(backoff.until_us > now_us for backoff in self.backoffs.values())
        return min(max(micros(pools / (self.calls_per_s * RETRY_FRACTION)), MIN_BACKOFF_US), MAX_BACKOFF_US)

    def stagger_us(self, origin: str) -> int:
        """Return this controller's retry delay: they retry in turn, `origin` last, so that one answer serves all."""
        controllers = len(self.labels)
        position = (self.labels.index(self.label) - self.labels.index(origin) - 1) % controllers
        return position * min(RETRY_STAGGER_US, MAX_BACKOFF_US // 4 // controllers)

    def all_observations(self) -> Mapping[str, Mapping[MachinePool, DatedObservation]]:
        """Return the stored observations by controller, for tests and logs."""
        return self.by_origin

    def _update_backoff(self, pool: MachinePool, now_us: int) -> None:
        """Recompute a pool's backoff from its latest stockout; there is none if capacity was observed since."""
        self.backoffs.pop(pool, None)
        latest = self._latest_stockout(pool)
        if latest is None:
            return
        origin, stockout = latest
        until_us = stockout.at_us + self.backoff_us(now_us) + self.stagger_us(origin)
        previous = self._backoffs_by_origin.get((origin, pool))
        if previous is not None and previous.version == stockout.version:
            # Guard: received observations never extend a backoff, though one of another controller may have been the
            # latest for a while.
            until_us = min(until_us, previous.until_us)
        backoff = self._backoffs_by_origin[origin, pool] = Backoff(origin, stockout.version, until_us)
        if until_us > now_us:
            self.backoffs[pool] = backoff

    def _forget(self, origin: str, pool: MachinePool) -> None:
        """Forget what a controller observed of a pool."""
        del self.by_origin[origin][pool]
        self._backoffs_by_origin.pop((origin, pool), None)

    def _latest_stockout(self, pool: MachinePool) -> tuple[str, DatedObservation] | None:
        """Return the latest stockout of the pool and its origin; None if a request was fully granted then or later."""
        stockout: tuple[str, DatedObservation] | None = None
        last_grant_us: int | None = None
        for origin, by_pool in self.by_origin.items():
            known = by_pool.get(pool)
            if known is None:
                continue
            if not known.is_stockout:
                last_grant_us = known.at_us if last_grant_us is None else max(last_grant_us, known.at_us)
            elif stockout is None or known.at_us > stockout[1].at_us:
                stockout = (origin, known)
        if stockout is not None and last_grant_us is not None and last_grant_us >= stockout[1].at_us:
            return None
        return stockout


def _supersedes(received: DatedObservation, known: DatedObservation | None) -> bool:
    """Whether a peer's observation replaces the stored one of the same pool.

    Guard: a repeated observation, or an older one that arrives late, never moves the time later.
    """
    if known is None or received.version > known.version:
        return True
    return received.version == known.version and received.at_us < known.at_us
