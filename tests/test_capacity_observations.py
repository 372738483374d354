"""Observations of cloud capacity that controllers exchange expire, whatever the network does to the messages.

1 to 64 controllers, with heartbeats in any order, loss, duplicates, delays and restarts. They are checked against a
plain record of the observations that really reached them.
"""

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.autoscaling.capacity import (
    MAX_BACKOFF_US,
    MIN_BACKOFF_US,
    RETRY_STAGGER_US,
    CapacityObservations,
    MachinePool,
)
from quinceslip.protocol import frames

many_examples = settings(max_examples=100, deadline=None, database=None, derandomize=True)
POOLS: list[MachinePool] = [("mid", zone, spot) for zone in "abcdefghi" for spot in (True, False)]
STEP_KINDS = ["short"] * 6 + ["room"] * 3 + ["beat"] * 9 + ["late"] * 6 + ["again"] * 2 + ["wait"] * 2 + ["restart"]
NODE_INDEXES = st.integers(0, 63)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(STEP_KINDS),
        NODE_INDEXES,
        NODE_INDEXES,
        st.sampled_from(9 * POOLS[:2] + POOLS),
        st.integers(0, 6),
    ),
    min_size=30,
    max_size=80,
)


class Fleet:
    """Controllers connected by a network that stores, duplicates and delays frames."""

    def __init__(self, size: int) -> None:
        self.labels = [f"berth-{i}" for i in range(size)]
        self.now_us = 100 * SECOND
        self.nodes = [self.new_node(label) for label in self.labels]
        self.sent_frames: list[tuple[int, bytes]] = []
        self.restarts = 0
        #: by receiver, origin and pool: the newest version received, and its earliest time of observation
        self.reference: dict[tuple[int, str, MachinePool], tuple[tuple[int, int], int]] = {}

    def new_node(self, label: str) -> CapacityObservations:
        return CapacityObservations(label, self.labels, 1.0, self.now_us // 1000)

    def heartbeat(self, node: int) -> bytes:
        return frames.pack_observations(
            frames.PeerObservations(self.labels[node], self.nodes[node].own_observations(self.now_us))
        )

    def receive(self, node: int, data: bytes) -> None:
        frame = frames.read_observations(data[frames.HEADER.size :])
        self.nodes[node].observations_received(frame.label, frame.observations, self.now_us)
        for observation in frame.observations if frame.label != self.labels[node] else []:
            key, version = (
                (node, frame.label, observation.kind),
                (observation.process_started_ms, observation.number),
            )
            newest_version, at_us = self.reference.get(key, ((0, 0), 0))
            if version >= newest_version:
                observed_us = self.now_us - observation.age_us
                self.reference[key] = (
                    version,
                    min(at_us, observed_us) if version == newest_version else observed_us,
                )

    def step(self, step_kind: str, first: int, second: int, pool: MachinePool, amount: int) -> None:
        first, second = first % len(self.nodes), second % len(self.nodes)
        if step_kind == "short":
            self.nodes[first].request_answered(pool, amount + 1, amount, self.now_us)
        elif step_kind == "room":
            self.nodes[first].request_answered(pool, amount + 1, amount + 1, self.now_us)
        elif step_kind == "restart":
            self.nodes[first] = self.new_node(self.labels[first])
            for key in [p for p in self.reference if p[0] == first]:
                del self.reference[key]
            self.restarts += 1
        elif step_kind == "wait":
            self.now_us += amount * SECOND
        elif step_kind == "late" and self.sent_frames:
            _, data = self.sent_frames[amount % len(self.sent_frames)]
            self.receive(first, data)
        else:
            data = self.heartbeat(first)
            self.sent_frames.append((first, data))
            for _ in range(2 if step_kind == "again" else 1):
                self.receive(second, data)
        self.now_us += SECOND // 10


@given(st.integers(1, 64), STEPS)
@many_examples
def test_backoff_ends_after_observations_stop(size: int, steps: list[tuple[str, int, int, MachinePool, int]]) -> None:
    fleet = Fleet(size)
    for step in steps:
        fleet.step(*step)
    last_us = fleet.now_us
    longest_us = MAX_BACKOFF_US + MAX_BACKOFF_US // 4  # the longest backoff, and the last stagger after it
    # From here on there are no new observations; every 3 s each controller sends what it knows to some others.
    while fleet.now_us <= last_us + longest_us:
        for sender in range(size):
            data = fleet.heartbeat(sender)
            for receiver in {(sender + 1) % size, (sender + 7) % size, (sender + 31) % size} - {sender}:
                fleet.receive(receiver, data)
        fleet.now_us += 3 * SECOND
    for node in fleet.nodes:
        assert not any(node.is_backing_off(pool, fleet.now_us) for pool in POOLS)
        assert not node.own_observations(fleet.now_us), "sent although nothing was observed for longer than any backoff"


@given(st.integers(2, 4), STEPS)
@many_examples
def test_newest_observation_is_kept_with_its_earliest_time(
    size: int, steps: list[tuple[str, int, int, MachinePool, int]]
) -> None:
    """Guards against duplicates and late frames that make an observation younger and so extend a backoff."""
    fleet = Fleet(size)
    backoff_ends: dict[tuple[int, int, MachinePool, str, tuple[int, int]], int] = {}
    for step in steps:
        fleet.step(*step)
        for index, controller in enumerate(fleet.nodes):
            for pool, backoff in controller.backoffs.items():
                backoff_key = (fleet.restarts, index, pool, backoff.origin, backoff.version)
                assert backoff.until_us <= backoff_ends.setdefault(backoff_key, backoff.until_us), (
                    "the end of a backoff was moved later"
                )
                backoff_ends[backoff_key] = backoff.until_us
        for (node, origin, pool), (version, at_us) in fleet.reference.items():
            known = fleet.nodes[node].all_observations()[origin][pool]
            assert (known.observation.process_started_ms, known.observation.number) == version
            assert known.at_us == at_us


@given(st.integers(1, 64), st.integers(1, 20))
@many_examples
def test_fleet_requests_no_more_often_than_one_controller(size: int, seconds: int) -> None:
    """All request an unavailable pool: together no more often than the backoff and the first stagger allow."""
    fleet = Fleet(size)
    pool, request_times_us = POOLS[0], []
    end_us = fleet.now_us + 60 * SECOND + seconds * SECOND
    while fleet.now_us < end_us:
        for sender, node in enumerate(fleet.nodes):
            if not node.is_backing_off(pool, fleet.now_us):
                request_times_us.append(fleet.now_us)
                node.request_answered(pool, 3, 0, fleet.now_us)
                data = fleet.heartbeat(sender)
                for receiver in range(size):
                    fleet.receive(receiver, data)
        fleet.now_us += SECOND // 5
    assert len(request_times_us) <= 1 + (end_us - request_times_us[0]) // MIN_BACKOFF_US
    # Capacity that returns is requested within one backoff and the staggers of the first controllers.
    assert max(b - a for a, b in pairwise(request_times_us)) <= MIN_BACKOFF_US + 2 * RETRY_STAGGER_US


@given(st.integers(2, 64), st.integers(0, 63), st.integers(0, 63))
@many_examples
def test_capacity_seen_by_one_controller_ends_backoff_for_all(size: int, first: int, second: int) -> None:
    fleet = Fleet(size)
    first, second, pool = first % size, second % size, POOLS[0]
    fleet.nodes[first].request_answered(pool, 5, 1, fleet.now_us)
    for node in range(size):
        fleet.receive(node, fleet.heartbeat(first))
    assert all(node.is_backing_off(pool, fleet.now_us) for node in fleet.nodes)
    fleet.now_us += SECOND
    fleet.nodes[second].machines_returned(pool, 1, fleet.now_us)
    for node in range(size):
        fleet.receive(node, fleet.heartbeat(second))
        fleet.receive(node, fleet.heartbeat(first))  # the older observation is forwarded and has no effect
    assert not any(node.is_backing_off(pool, fleet.now_us) for node in fleet.nodes)
