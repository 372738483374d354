"""Tells whether workers of a shard that do not answer have failed or are cut off by a network partition."""

from collections import defaultdict
from dataclasses import dataclass

from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.delivery import MAX_UNANSWERED_PROBES
from quinceslip.coordination.shard_state.worker import Worker

#: longest delay of a probe of a silent worker after it is due; checks are half a second apart
PROBE_DELAY_US = SECOND
#: fewest silent machines for a zone to count as unreachable
MIN_UNREACHABLE_MACHINES = 3
#: longest duration of a failing probe; a worker heard after that was not cut off together with the silent ones
MAX_PROBE_DURATION_US = 3 * SECOND
#: up to this many workers are too few to infer a network failure from, so each is judged on its own
FEW_WORKERS = 2


@dataclass(slots=True)
class ZoneContact:
    """Contact with the workers of one zone."""

    probed: int = 0  # workers that are probed if they are silent
    silent: int = 0  # probed workers that did not answer
    silent_since_us: int = 0  # when the most recent of the silent workers first missed a probe
    last_contact_us: int = 0  # when any other worker was last heard

    def is_unreachable(self) -> bool:
        """Whether most of the probed workers are silent and no worker was heard since they fell silent."""
        return (
            self.silent >= MIN_UNREACHABLE_MACHINES
            and 2 * self.silent >= self.probed
            and self.last_contact_us <= self.silent_since_us + MAX_PROBE_DURATION_US
        )


@dataclass(frozen=True, slots=True)
class ShardReachability:
    """Snapshot of the contact with all workers of a shard."""

    known_workers: int  # workers that were ever heard or missed a probe, with an unexpired lease
    most_answer: bool
    newest_contact_us: int  # latest contact with any answering worker
    led_since_us: int
    unreachable_zones: frozenset[str]

    def failed_alone(self, worker: Worker) -> bool:
        """Whether a worker is silent because it failed itself while others answer, so that it may be replaced.

        When a partition begins, some workers already count as silent while the others were heard just before it. So a
        worker has failed alone only if another one was heard after its first unanswered probe.
        """
        delivery = worker.delivery
        if delivery.unanswered_probes < MAX_UNANSWERED_PROBES or not self.most_answer:
            return False
        if worker.zone in self.unreachable_zones:
            return False
        first_missed_probe_us = max(delivery.first_missed_probe_us, self.led_since_us)
        return self.known_workers <= FEW_WORKERS or self.newest_contact_us > first_missed_probe_us + PROBE_DELAY_US


def shard_reachability(shard: Shard, may_launch: bool) -> ShardReachability:
    """Summarize the contact with all workers. If most are silent, the cause is this node's network or a failover."""
    known = [
        worker
        for worker in shard.workers.values()
        if (worker.last_contact_us or worker.delivery.unanswered_probes) and not worker.lease_expired
    ]
    answering = [worker for worker in known if not worker.delivery.unanswered_probes]
    heard = sum(bool(worker.last_contact_us) for worker in answering)
    return ShardReachability(
        known_workers=len(known),
        most_answer=2 * heard >= len(known) or (len(known) <= FEW_WORKERS and may_launch),
        newest_contact_us=max((worker.last_contact_us for worker in answering), default=0),
        led_since_us=shard.led_since_us,
        unreachable_zones=unreachable_zones(shard),
    )


def unreachable_zones(shard: Shard) -> frozenset[str]:
    """Return the zones that are cut off: most of their probed workers do not answer.

    Machines in such a zone keep working and usually come back. Deleting them all would stop their tasks for a boot
    time, and the cloud may not have as many machines again. If some worker of a zone was heard after the silent ones
    fell silent, the zone is not cut off: the silent workers have failed and are replaced, however many there are.
    """
    zones: dict[str, ZoneContact] = defaultdict(ZoneContact)
    for worker in shard.workers.values():
        if worker.lease_expired:
            continue
        zone = zones[worker.zone]
        is_silent = worker.delivery.unanswered_probes > 0
        if is_silent:
            zone.silent_since_us = max(zone.silent_since_us, worker.delivery.first_missed_probe_us, shard.led_since_us)
        else:
            zone.last_contact_us = max(zone.last_contact_us, worker.last_contact_us)
        if worker.service_tasks or worker.name in shard.unreconciled:
            zone.probed += 1
            zone.silent += is_silent
    return frozenset(name for name, zone in zones.items() if zone.is_unreachable())
