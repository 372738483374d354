"""Which workers of a shard do not answer, and whether that is their own failure or a network partition's."""

from collections import defaultdict
from dataclasses import dataclass

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.delivery import MAX_UNANSWERED_PROBES
from quinceslip.coordination.shard_state.worker import Worker

#: a silent worker is probed so much later than it may be at the most: two checks are half a second apart
PROBE_DELAY_US = SECOND
#: so many silent machines at least make a zone that is cut off
MIN_UNREACHABLE_MACHINES = 3
#: probes that fail take so long at the most: a worker heard later was not cut off together with the silent ones
FAILED_PROBE_US = 3 * SECOND
#: so few workers say nothing of the network: each is judged by itself
FEW_WORKERS = 2


@dataclass(slots=True)
class ZoneContact:
    """What the workers of one zone have answered."""

    expected: int = 0  # workers that are probed when they are silent
    silent: int = 0  # those of them that did not answer
    first_missed_probe_us: int = 0  # when the last of the silent ones was first probed without an answer
    last_contact_us: int = 0  # when any other was heard

    def is_unreachable(self) -> bool:
        """Whether most of the expected workers are silent, and nobody was heard after them."""
        return (
            self.silent >= MIN_UNREACHABLE_MACHINES
            and 2 * self.silent >= self.expected
            and self.last_contact_us <= self.first_missed_probe_us + FAILED_PROBE_US
        )


@dataclass(frozen=True, slots=True)
class ShardReachability:
    """What is known at one moment of the contact with all workers of a shard."""

    known_workers: int  # workers that were ever heard or probed, and whose lease has not expired
    mostly_heard: bool
    newest_contact_us: int  # with a worker that answers
    led_since_us: int
    unreachable_zones: frozenset[str]

    def failed_alone(self, worker: Worker) -> bool:
        """Whether a worker is silent by its own failure: others answer, so that it may be replaced.

        At the moment of a partition the first workers count as silent while the others were heard just before it: one
        is only known to be silent by itself if another was heard since it was first probed without an answer.
        """
        delivery = worker.delivery
        if delivery.unanswered_probes < MAX_UNANSWERED_PROBES or not self.mostly_heard:
            return False
        if worker.zone in self.unreachable_zones:
            return False
        first_missed_probe_us = max(delivery.first_missed_probe_us, self.led_since_us)
        return self.known_workers <= FEW_WORKERS or self.newest_contact_us > first_missed_probe_us + PROBE_DELAY_US


def shard_reachability(shard: Shard, may_launch: bool) -> ShardReachability:
    """Sum up the contact with all workers. Where most are silent, it is this node's network or a failover."""
    known = [
        worker
        for worker in shard.workers.values()
        if (worker.last_contact_us or worker.delivery.unanswered_probes) and not worker.lease_expired
    ]
    answering = [worker for worker in known if not worker.delivery.unanswered_probes]
    heard = sum(bool(worker.last_contact_us) for worker in answering)
    return ShardReachability(
        known_workers=len(known),
        mostly_heard=2 * heard >= len(known) or (len(known) <= FEW_WORKERS and may_launch),
        newest_contact_us=max((worker.last_contact_us for worker in answering), default=0),
        led_since_us=shard.led_since_us,
        unreachable_zones=unreachable_zones(shard),
    )


def unreachable_zones(shard: Shard) -> frozenset[str]:
    """Zones in which most of the workers that are probed do not answer: these are cut off.

    Their machines go on working and mostly come back. To delete them all would stop what runs there
    for the time of a boot, on a cloud that may not have as many again. A zone of which some worker was
    heard after the silent ones is not cut off: these have failed, and are replaced however many they are.
    """
    zones: dict[str, ZoneContact] = defaultdict(ZoneContact)
    for worker in shard.workers.values():
        if worker.lease_expired:
            continue
        zone = zones[worker.zone]
        is_silent = worker.delivery.unanswered_probes > 0
        if is_silent:
            zone.first_missed_probe_us = max(
                zone.first_missed_probe_us, worker.delivery.first_missed_probe_us, shard.led_since_us
            )
        else:
            zone.last_contact_us = max(zone.last_contact_us, worker.last_contact_us)
        if worker.service_tasks or worker.name in shard.unreconciled:
            zone.expected += 1
            zone.silent += is_silent
    return frozenset(name for name, zone in zones.items() if zone.is_unreachable())
