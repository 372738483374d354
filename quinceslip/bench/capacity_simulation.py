"""Simulation, in virtual time, of controllers that share their observations of a cloud's capacity.

Each controller has a real `CapacityObservations`; the cloud's pools of machines run out of capacity and recover. All
controllers request machines from every pool all the time, which is the worst case. Heartbeats arrive immediately, and
some are lost. Counts are deterministic for a given seed.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.autoscaling.capacity import CapacityObservations, MachinePool
from quinceslip.coordination.controller.peer_heartbeats import MAX_HEARTBEAT_ADVANCE_US
from quinceslip.protocol import frames

STEP_US = SECOND // 10
#: minimum and maximum time that a pool is exhausted, and that it has capacity
EXHAUSTED_S = (15.0, 90.0)
AVAILABLE_S = (5.0, 40.0)
#: probability that a heartbeat is lost
HEARTBEAT_LOSS = 0.01
MACHINES_PER_REQUEST = 4
REQUEST_INTERVAL_US = SECOND
HEARTBEAT_INTERVAL_US = SECOND


class SimulatedPools:
    """The pools of the cloud: which are exhausted, and when the others recovered."""

    def __init__(self, count: int, rng: random.Random) -> None:
        """Create `count` pools, all with capacity."""
        self._rng = rng
        self.pools: list[MachinePool] = [(f"type-{i}", "zone", True) for i in range(count)]
        self._exhausted = dict.fromkeys(self.pools, False)
        self._next_change_us = {pool: self._duration_us(exhausted=False) for pool in self.pools}
        self._unnoticed_recovery_us: dict[MachinePool, int] = {}
        self.exhausted_us = 0  # summed over the pools
        self.refused_requests = 0
        self.recovery_delays_s: list[float] = []  # from each recovery to the first granted request

    def _duration_us(self, exhausted: bool) -> int:
        return int(self._rng.uniform(*(EXHAUSTED_S if exhausted else AVAILABLE_S)) * SECOND)

    def advance(self, now_us: int) -> None:
        """Advance by one step, in which pools run out of capacity or recover."""
        for pool in self.pools:
            self.exhausted_us += STEP_US * self._exhausted[pool]
            if now_us >= self._next_change_us[pool]:
                self._change(pool, now_us)

    def _change(self, pool: MachinePool, now_us: int) -> None:
        exhausted = not self._exhausted[pool]
        self._exhausted[pool] = exhausted
        self._next_change_us[pool] = now_us + self._duration_us(exhausted)
        if not exhausted:
            self._unnoticed_recovery_us[pool] = now_us

    def request(self, pool: MachinePool, now_us: int) -> int:
        """Request machines from a pool; returns the number granted."""
        if self._exhausted[pool]:
            self.refused_requests += 1
            return 0
        if pool in self._unnoticed_recovery_us:
            self.recovery_delays_s.append((now_us - self._unnoticed_recovery_us.pop(pool)) / SECOND)
        return MACHINES_PER_REQUEST


@dataclass(slots=True)
class _Controller:
    """One controller and the times of its next heartbeat and request."""

    observations: CapacityObservations
    next_heartbeat_us: int
    next_request_us: int

    def request_if_due(self, pools: SimulatedPools, now_us: int) -> None:
        """Request machines from every pool that the controller does not back off from."""
        if now_us < self.next_request_us:
            return
        self.next_request_us = now_us + REQUEST_INTERVAL_US
        for pool in pools.pools:
            if not self.observations.is_backing_off(pool, now_us):
                granted = pools.request(pool, now_us)
                self.observations.request_answered(pool, MACHINES_PER_REQUEST, granted, now_us)

    def heartbeat_due(self, now_us: int) -> bool:
        """Whether to send a heartbeat; unsent observations advance it."""
        early_us = MAX_HEARTBEAT_ADVANCE_US if self.observations.has_unsent_observations else 0
        return now_us >= self.next_heartbeat_us - early_us


class CapacitySimulation:
    """One simulation run, deterministic for its seed."""

    def __init__(self, controllers: int, sharing: bool, pools: int, seed: int, requests_per_s: float) -> None:
        """Create the controllers and pools; the controllers send each other their observations if `sharing`."""
        self._rng = random.Random(seed)
        labels = [f"berth-{i}" for i in range(controllers)]
        self.pools = SimulatedPools(pools, self._rng)
        first_heartbeats_us = [self._rng.randrange(HEARTBEAT_INTERVAL_US) for _ in labels]
        first_requests_us = [self._rng.randrange(REQUEST_INTERVAL_US) for _ in labels]
        self._controllers = [
            _Controller(CapacityObservations(label, labels, requests_per_s, 1, sharing), heartbeat_us, request_us)
            for label, heartbeat_us, request_us in zip(labels, first_heartbeats_us, first_requests_us, strict=True)
        ]
        self.bytes_sent = 0  # each frame counts once, whatever its number of receivers

    def run(self, seconds: float) -> None:
        """Run for the given number of simulated seconds."""
        for now_us in range(0, int(seconds * SECOND), STEP_US):
            self.pools.advance(now_us)
            for controller in self._controllers:
                controller.request_if_due(self.pools, now_us)
                if controller.heartbeat_due(now_us):
                    self._send_heartbeat(controller, now_us)

    def _send_heartbeat(self, sender: _Controller, now_us: int) -> None:
        sender.next_heartbeat_us = now_us + HEARTBEAT_INTERVAL_US
        own = sender.observations.own_observations(now_us)
        if not own:
            return
        label = sender.observations.label
        frame = frames.pack_observations(frames.PeerObservations(label, own))
        self.bytes_sent += len(frame)
        received = frames.read_observations(frame[frames.HEADER.size :])
        self._deliver(sender, received.observations, now_us)

    def _deliver(self, sender: _Controller, observations: Iterable[frames.Observation], now_us: int) -> None:
        for receiver in self._controllers:
            if receiver is not sender and self._rng.random() >= HEARTBEAT_LOSS:
                receiver.observations.observations_received(sender.observations.label, observations, now_us)
