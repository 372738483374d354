"""Controllers that share what they see of a cloud's capacity, in virtual time.

The real `CapacityObservations` of each controller, against a cloud whose pools of machines run short and recover. All
controllers want machines of every pool all the time, which is the worst case. Heartbeats arrive at once, and some are
lost. Counts repeat exactly for one seed.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.autoscaling.capacity import CapacityObservations, MachinePool
from quinceslip.coordination.controller.peer_heartbeats import MAX_HEARTBEAT_ADVANCE_US
from quinceslip.protocol import frames

STEP_US = SECOND // 10
#: least and greatest time that a pool is short, and that it has capacity
SHORT_S = (15.0, 90.0)
AVAILABLE_S = (5.0, 40.0)
#: part of the heartbeats that is lost
LOSS = 0.01
#: machines that each request asks for
MACHINES_PER_REQUEST = 4
REQUEST_INTERVAL_US = SECOND
HEARTBEAT_INTERVAL_US = SECOND


class SimulatedPools:
    """The pools of the cloud: which are short, and since when the others have capacity again."""

    def __init__(self, count: int, draw: random.Random) -> None:
        """`count` pools, all with capacity."""
        self._draw = draw
        self.pools: list[MachinePool] = [(f"type-{i}", "zone", True) for i in range(count)]
        self._short = dict.fromkeys(self.pools, False)
        self._changes_us = {pool: self._duration_us(short=False) for pool in self.pools}
        self._recovered_us: dict[MachinePool, int] = {}
        self.short_us = 0  # summed over the pools
        self.refused_requests = 0
        self.recoveries_found_s: list[float] = []  # from each recovery to the first request that was granted

    def _duration_us(self, short: bool) -> int:
        return int(self._draw.uniform(*(SHORT_S if short else AVAILABLE_S)) * SECOND)

    def advance(self, now_us: int) -> None:
        """One step of time: pools run short and recover."""
        for pool in self.pools:
            self.short_us += STEP_US * self._short[pool]
            if now_us >= self._changes_us[pool]:
                self._change(pool, now_us)

    def _change(self, pool: MachinePool, now_us: int) -> None:
        short = not self._short[pool]
        self._short[pool] = short
        self._changes_us[pool] = now_us + self._duration_us(short)
        if not short:
            self._recovered_us[pool] = now_us

    def request(self, pool: MachinePool, now_us: int) -> int:
        """Ask for machines; how many are granted."""
        if self._short[pool]:
            self.refused_requests += 1
            return 0
        if pool in self._recovered_us:
            self.recoveries_found_s.append((now_us - self._recovered_us.pop(pool)) / SECOND)
        return MACHINES_PER_REQUEST


@dataclass(slots=True)
class _Controller:
    """One controller and when it acts next."""

    observations: CapacityObservations
    next_heartbeat_us: int
    next_request_us: int

    def request_if_due(self, pools: SimulatedPools, now_us: int) -> None:
        """Ask the cloud for machines of every pool that it does not back off from."""
        if now_us < self.next_request_us:
            return
        self.next_request_us = now_us + REQUEST_INTERVAL_US
        for pool in pools.pools:
            if not self.observations.is_backing_off(pool, now_us):
                granted = pools.request(pool, now_us)
                self.observations.request_answered(pool, MACHINES_PER_REQUEST, granted, now_us)

    def heartbeat_due(self, now_us: int) -> bool:
        """Whether a heartbeat is to be sent; news is sent early."""
        early_us = MAX_HEARTBEAT_ADVANCE_US if self.observations.has_unsent_observations else 0
        return now_us >= self.next_heartbeat_us - early_us


class CapacitySimulation:
    """One run of one seed."""

    def __init__(self, controllers: int, sharing: bool, pools: int, seed: int, requests_per_s: float) -> None:
        """So many controllers; they send each other their observations if `sharing`."""
        self._draw = random.Random(seed)
        labels = [f"berth-{i}" for i in range(controllers)]
        self.pools = SimulatedPools(pools, self._draw)
        heartbeats_us = [self._draw.randrange(HEARTBEAT_INTERVAL_US) for _ in labels]
        requests_us = [self._draw.randrange(REQUEST_INTERVAL_US) for _ in labels]
        self._controllers = [
            _Controller(CapacityObservations(label, labels, requests_per_s, 1, sharing), heartbeat_us, request_us)
            for label, heartbeat_us, request_us in zip(labels, heartbeats_us, requests_us, strict=True)
        ]
        self.bytes_sent = 0  # each frame once, whatever the number of its receivers

    def run(self, seconds: float) -> None:
        """Play so many simulated seconds."""
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
            if receiver is not sender and self._draw.random() >= LOSS:
                receiver.observations.observations_received(sender.observations.label, observations, now_us)
