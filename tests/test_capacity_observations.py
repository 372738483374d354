"""What controllers tell each other of the cloud's room dies out, whatever the links do with it.

Any order of heartbeats, loss, repeats and delay, controllers that start again, 1 to 64 of them. A plain list of what
was truly seen, kept beside them, is what they are judged by.
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

many = settings(max_examples=100, deadline=None, database=None, derandomize=True)
KINDS: list[MachinePool] = [("mid", zone, spot) for zone in "abcdefghi" for spot in (True, False)]
VERBS = ["short"] * 6 + ["room"] * 3 + ["beat"] * 9 + ["late"] * 6 + ["again"] * 2 + ["wait"] * 2 + ["restart"]
PLACES = st.integers(0, 63)
STEPS = st.lists(
    st.tuples(st.sampled_from(VERBS), PLACES, PLACES, st.sampled_from(9 * KINDS[:2] + KINDS), st.integers(0, 6)),
    min_size=30,
    max_size=80,
)


class Fleet:
    """Controllers that hear each other through a network that keeps, repeats and delays what was said."""

    def __init__(self, size: int) -> None:
        self.labels = [f"berth-{i}" for i in range(size)]
        self.now_us = 100 * SECOND
        self.nodes = [self.made(label) for label in self.labels]
        self.said: list[tuple[int, bytes]] = []
        self.lives = 0
        #: by hearer, whom it is from, and kind: the newest version that came there, and its earliest moment
        self.reference: dict[tuple[int, str, MachinePool], tuple[tuple[int, int], int]] = {}

    def made(self, label: str) -> CapacityObservations:
        return CapacityObservations(label, self.labels, 1.0, self.now_us // 1000)

    def heartbeat(self, node: int) -> bytes:
        return frames.pack_observations(
            frames.PeerObservations(self.labels[node], self.nodes[node].own_observations(self.now_us))
        )

    def hear(self, node: int, data: bytes) -> None:
        told = frames.read_observations(data[frames.HEADER.size :])
        self.nodes[node].observations_received(told.label, told.observations, self.now_us)
        for observation in told.observations if told.label != self.labels[node] else []:
            place, version = (node, told.label, observation.kind), (observation.process_started_ms, observation.number)
            newest, at_us = self.reference.get(place, ((0, 0), 0))
            if version >= newest:
                came_us = self.now_us - observation.age_us
                self.reference[place] = (version, min(at_us, came_us) if version == newest else came_us)

    def step(self, verb: str, one: int, other: int, kind: MachinePool, amount: int) -> None:
        one, other = one % len(self.nodes), other % len(self.nodes)
        if verb == "short":
            self.nodes[one].request_answered(kind, amount + 1, amount, self.now_us)
        elif verb == "room":
            self.nodes[one].request_answered(kind, amount + 1, amount + 1, self.now_us)
        elif verb == "restart":
            self.nodes[one] = self.made(self.labels[one])
            for place in [p for p in self.reference if p[0] == one]:
                del self.reference[place]
            self.lives += 1
        elif verb == "wait":
            self.now_us += amount * SECOND
        elif verb == "late" and self.said:
            _, data = self.said[amount % len(self.said)]
            self.hear(one, data)
        else:
            data = self.heartbeat(one)
            self.said.append((one, data))
            for _ in range(2 if verb == "again" else 1):
                self.hear(other, data)
        self.now_us += SECOND // 10


@given(st.integers(1, 64), STEPS)
@many
def test_no_rest_outlives_what_was_seen(size: int, steps: list[tuple[str, int, int, MachinePool, int]]) -> None:
    fleet = Fleet(size)
    for step in steps:
        fleet.step(*step)
    last_us = fleet.now_us
    most_us = MAX_BACKOFF_US + MAX_BACKOFF_US // 4  # the longest rest, and the last turn after it
    # From here on nobody sees anything; all go on telling each other, each second, all to all or in a ring.
    while fleet.now_us <= last_us + most_us:
        for one in range(size):
            data = fleet.heartbeat(one)
            for other in {(one + 1) % size, (one + 7) % size, (one + 31) % size} - {one}:
                fleet.hear(other, data)
        fleet.now_us += 3 * SECOND
    for node in fleet.nodes:
        assert not any(node.is_backing_off(kind, fleet.now_us) for kind in KINDS)
        assert not node.own_observations(fleet.now_us), "told without anything seen for longer than any rest"


@given(st.integers(2, 4), STEPS)
@many
def test_what_is_known_is_the_newest_at_its_earliest(
    size: int, steps: list[tuple[str, int, int, MachinePool, int]]
) -> None:
    """Repeats and frames that were late move nothing: no sighting grows younger by being heard again."""
    fleet = Fleet(size)
    ends: dict[tuple[int, int, MachinePool, str, tuple[int, int]], int] = {}
    for step in steps:
        fleet.step(*step)
        for place, supply in enumerate(fleet.nodes):
            for kind, rest in supply.backoffs.items():
                of = (fleet.lives, place, kind, rest.origin, rest.version)
                assert rest.until_us <= ends.setdefault(of, rest.until_us), "the end of a rest was moved later"
                ends[of] = rest.until_us
        for (node, origin, kind), (version, at_us) in fleet.reference.items():
            known = fleet.nodes[node].all_observations()[origin][kind]
            assert (known.observation.process_started_ms, known.observation.number) == version
            assert known.at_us == at_us


@given(st.integers(1, 64), st.integers(1, 20))
@many
def test_the_fleet_asks_as_often_as_one_would(size: int, seconds: int) -> None:
    """All want a kind that is not to be had: together they ask no more often than a rest and the first turn allow."""
    fleet = Fleet(size)
    kind, asks = KINDS[0], []
    end_us = fleet.now_us + 60 * SECOND + seconds * SECOND
    while fleet.now_us < end_us:
        for one, node in enumerate(fleet.nodes):
            if not node.is_backing_off(kind, fleet.now_us):
                asks.append(fleet.now_us)
                node.request_answered(kind, 3, 0, fleet.now_us)
                data = fleet.heartbeat(one)
                for other in range(size):
                    fleet.hear(other, data)
        fleet.now_us += SECOND // 5
    assert len(asks) <= 1 + (end_us - asks[0]) // MIN_BACKOFF_US
    # And room that comes back is asked for within a rest and the turns of those who come first.
    assert max(b - a for a, b in pairwise(asks)) <= MIN_BACKOFF_US + 2 * RETRY_STAGGER_US


@given(st.integers(2, 64), st.integers(0, 63), st.integers(0, 63))
@many
def test_room_seen_by_anyone_ends_the_rest_for_all(size: int, one: int, other: int) -> None:
    fleet = Fleet(size)
    one, other, kind = one % size, other % size, KINDS[0]
    fleet.nodes[one].request_answered(kind, 5, 1, fleet.now_us)
    for node in range(size):
        fleet.hear(node, fleet.heartbeat(one))
    assert all(node.is_backing_off(kind, fleet.now_us) for node in fleet.nodes)
    fleet.now_us += SECOND
    fleet.nodes[other].machines_returned(kind, 1, fleet.now_us)
    for node in range(size):
        fleet.hear(node, fleet.heartbeat(other))
        fleet.hear(node, fleet.heartbeat(one))  # what was seen before is told on, and changes nothing
    assert not any(node.is_backing_off(kind, fleet.now_us) for node in fleet.nodes)
