"""What machines are wanted: rent for what waits, give back what idles. `hiring` asks, `inventory` lists."""

import logging
import math
from collections import defaultdict
from collections.abc import Callable

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.autoscaling.consolidation import Consolidator
from quinceslip.coordination.autoscaling.inventory import MachineInventory
from quinceslip.coordination.autoscaling.scale_out import ScaleOut
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.load_balancing.queueing_model import Station, credible, credible_rate
from quinceslip.coordination.reconciliation.delivery import MAX_UNANSWERED_PROBES
from quinceslip.coordination.shard.partition import JobPartition
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard.worker import Worker, fits
from quinceslip.protocol import messages as m
from quinceslip.storage import records

log = logging.getLogger(__name__)

MAX_MACHINES_PER_DELETION = 100
#: a deleted machine costs at least this long (PROTOCOL)
MIN_PAID_US = 60 * SECOND
#: part of the work that would be served during a boot which no machine is rented for
ABSORBED = 0.4
#: the same where arrivals alone keep the present machines busy
MIN_ABSORBED = 0.05
#: a boot that takes so many times as long as usual is not counted on
LATE_BOOT = 1.6
#: a silent machine is asked so much later than it may be at the most: looks are half a second apart
ASKED_US = SECOND
#: so many silent machines at least make a zone that is cut off
MIN_UNREACHABLE_MACHINES = 3
#: questions that fail take so long at the most: what is heard later was not cut off together with the silent ones
UNREACHABLE_PROBE_US = 3 * SECOND
#: headroom on quick machines may cost so many times as much as on the cheapest ones
HEADROOM_PRICE = 4.0
#: services that came in this window tell how many to expect
HEADROOM_WINDOW_US = 120 * SECOND


class Autoscaler:
    def __init__(self, ctx: Context, election: LeaderElection, shards: dict[int, Shard]) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.next_types_us = 0
        self.next_plan_us = 0
        self.scale_out = ScaleOut(ctx, election, shards, self._plan_soon)
        self.capacity = self.scale_out.capacity
        self.inventory = MachineInventory(ctx, election, shards, self._delete)
        self.next_delete_us = 0
        self.consolidator = Consolidator(ctx, election)
        self.quick_service_cpus: Callable[[], list[int]] = list

    def _plan_soon(self) -> None:
        self.next_plan_us = self.ctx.now_us  # what is still lacking is asked for elsewhere at once

    # Machine types.

    def types_changed(self) -> None:
        found = self.ctx.cache.by_kind["types"].get("")
        if found:
            self._set_types(found)

    def _set_types(self, types: list[m.MachineType]) -> None:
        self.ctx.types.clear()
        self.ctx.types.update({t.label: t for t in types})
        for shard in self.shards.values():
            for worker in shard.workers.values():
                record = self.ctx.cache.by_kind["roster"].get(worker.name)
                if record is not None:
                    worker.type = self.ctx.types.get(record.type, worker.type)
            shard.needs_placement = True

    def _ask_types(self) -> None:
        self.next_types_us = self.ctx.now_us + 3 * SECOND

        def done(status: int, body: bytes) -> None:
            if status != 200:
                return
            try:
                types = msgspec.json.decode(body, type=m.MachineTypes).types
            except msgspec.DecodeError as error:
                log.error("cloud answered nonsense: %s", error)
                return
            first = not self.ctx.types
            self._set_types(types)
            self.next_types_us = self.ctx.now_us + 60 * SECOND
            mod_revision = self.ctx.cache.mod_revision(records.TYPES)
            # More types than fit a record are not kept, for a part of them would tell users that jobs never run.
            if (first or mod_revision == 0) and self.ctx.fits_record(types):
                self.ctx.compare_and_swap(
                    {records.TYPES: mod_revision}, {records.TYPES: (types, None)}, [], lambda s, f: None
                )

        self.ctx.call("cloud", "GET", m.PATH_MACHINE_TYPES, None, done, timeout_us=3 * SECOND, urgency=Urgency.REST)

    # Rentals.

    def tick(self) -> None:
        now_us = self.ctx.now_us
        if now_us >= self.next_types_us:
            self._ask_types()
        self.inventory.list_if_due()
        if not self.election.may_launch() or not self.ctx.cache.synced or not self.ctx.types:
            return
        self.inventory.reconcile()
        self.scale_out.carry_through()
        for shard in list(self.shards.values()):
            if shard.worker_failed:
                shard.worker_failed = False
                self._scale_in(shard)
        if now_us >= self.next_plan_us:
            self.next_plan_us = now_us + SECOND
            for shard in list(self.shards.values()):
                self._scale_in(shard)
                self._plan_scale_out(shard)
                slots, size = self._expected_services()
                self._update_quick_types()
                self.consolidator.consolidate(shard, slots * size / max(1, len(self.quick_service_cpus())))

    def _plan_scale_out(self, shard: Shard) -> None:
        """Rent for the waiting tasks that no coming machine will take."""
        if self.scale_out.has_unrecorded(shard.index):
            return
        coming: list[tuple[str, bool, m.MachineType, list[float]]] = []
        for worker in shard.workers.values():
            # Boots take up to half as long again; one that takes longer may never end.
            if (
                not worker.last_contact_us
                and worker.type
                and not worker.deleting
                and self.ctx.now_us - worker.registered_us < LATE_BOOT * micros(worker.type.boot_s)
            ):
                room = [worker.type.cpus, worker.type.gpus, worker.type.memory_gb]
                coming.append((worker.zone, worker.spot, worker.type, room))
        for request in self.scale_out.requests.values():
            kind = self.ctx.types.get(request.record.type)
            if request.shard == shard.index and kind:
                for _ in range(request.expected_machines()):
                    coming.append(
                        (request.record.zone, request.record.spot, kind, [kind.cpus, kind.gpus, kind.memory_gb])
                    )
        lacking: dict[tuple[str, bool, bool], tuple[JobPartition, float, int]] = {}
        spoken_for: dict[int, tuple[int, int, int, int]] = {}
        for partition in shard.waiting_in_order():
            # Tasks that pause after a failure need no machine: a mistaken job would rent many.
            waiting, spec = partition.startable(), partition.spec
            if shard.quota is not None:
                waiting = shard.quota.startable(spec, waiting, spoken_for)
            if waiting <= 0:
                continue
            zones = shard.placement.eligible_zones(partition)
            if zones is not None and not zones:
                continue
            for zone, spot, kind, room in coming:
                if (
                    (spot and not spec.spot)
                    or (spec.zone not in (None, zone))
                    or (zones is not None and zone not in zones)
                    or (spec.types is not None and kind.label not in spec.types)
                ):
                    continue
                # Bound: the tasks that wait, also where one of them takes nothing.
                while waiting and fits((room[0], room[1], room[2]), spec):
                    room[0] -= spec.cpus
                    room[1] -= spec.gpus
                    room[2] -= spec.memory_gb
                    waiting -= 1
            if waiting:
                key = (spec.zone or "", spec.spot, spec.service or spec.gang)
                known = lacking.get(key)
                lacking[key] = (
                    known[0] if known else partition,
                    (known[1] if known else 0.0) + waiting * max(spec.cpus, 0.01),
                    (known[2] if known else 0) + waiting,
                )
        for (_, spot, service), (partition, cpus, count) in lacking.items():
            if not service:
                cpus = cpus * self.ctx.tuning.hire_fraction - self._absorbed(shard, self._spare_part())
            if cpus > 0:
                self._scale_out_for(shard, partition, spot, cpus, count)
        if not any(service for _, _, service in lacking):
            self._keep_headroom(shard, [room[0] for _, spot, _, room in coming if not spot])

    def _keep_headroom(self, shard: Shard, coming: list[float]) -> None:
        """Have room for the services that will arrive while a machine boots, one at least.

        The lowest shard that has services rents for all: what one shard lacks, another may have.
        """
        services = [c for c in shard.partitions.values() if c.spec.service]
        homes = [job.shard for job in self.ctx.cache.open_services.values()]
        if not services or min(homes, default=-1) != shard.index:
            return
        partition = max(services, key=lambda c: c.spec.cpus)
        need, size = self._expected_services()
        slots = self._service_slots(size)
        slots += sum(int(room // size) for room in coming)
        if slots < need:
            log.debug("room for %d services of %d to expect", slots, need)
            # Any zone will do: the zones of this running service say nothing of those to come.
            self._scale_out_for(shard, partition, False, (need - slots) * size, need - slots, anywhere=True)

    def _expected_services(self) -> tuple[int, float]:
        """Service tasks to expect while a machine boots, one job's at least, and the CPUs of one."""
        jobs = self.ctx.cache.open_services.values()
        if not jobs:
            return (0, 0.0)
        since_us = self.ctx.wall_us - HEADROOM_WINDOW_US
        recent = [j.tasks for j in jobs if j.at_us > since_us]
        size = max(max(j.spec.cpus for j in jobs if j.spec is not None), 0.01)
        boot_s = min((t.boot_s for t in self.ctx.types.values()), default=0.0)
        # Where none has come for so long, one slot is enough to begin the next one with.
        typical = sum(j.tasks for j in jobs) / len(jobs) if recent else 1.0
        return (math.ceil(typical + sum(recent) * SECOND / HEADROOM_WINDOW_US * boot_s), size)

    def _update_quick_types(self) -> None:
        """Which types fetch a usual image of the services at hand within the wait that users accept."""
        placement = next(iter(self.shards.values())).placement
        specs = [j.spec for j in self.ctx.cache.open_services.values() if j.spec is not None]
        self.ctx.quick_types = {
            t.label for t in self.ctx.types.values() if 2 * sum(placement.quick_type(t, s) for s in specs) > len(specs)
        }

    def _spare_part(self) -> float:
        """The part of what slots set free that new arrivals will not take themselves: 1 - rate / total m u."""
        loads = self.ctx.cache.by_kind["load"].values()
        capacity = sum(s.capacity for r in loads if credible(s := Station(r.slots, r.rate)))
        if capacity <= 0:
            return ABSORBED
        arrivals: float = sum(r.arrivals for r in loads if credible_rate(r.arrivals))
        return min(ABSORBED, max(MIN_ABSORBED, 1.0 - arrivals / capacity))

    def _absorbed(self, shard: Shard, part: float) -> float:
        """CPUs of waiting work that machines already here get to before a new one could boot."""
        kinds = [t.boot_s for t in self.ctx.types.values()]
        slots, rate = shard.queueing_station()
        cpus, _ = shard.mean_task()
        return part * slots * cpus * rate * min(kinds) if kinds else 0.0

    def _scale_out_for(
        self, shard: Shard, partition: JobPartition, spot: bool, cpus: float, count: int, anywhere: bool = False
    ) -> None:
        spec = partition.spec
        zones = None if anywhere else shard.placement.eligible_zones(partition)
        in_zone: dict[str, int] = defaultdict(int)
        for worker in shard.workers.values():
            in_zone[worker.zone] += 1
        options: list[tuple[float, int, str, str, bool, int]] = []
        for kind in self.ctx.types.values():
            room = (kind.cpus, kind.gpus, kind.memory_gb)
            if not fits(room, spec) or (spec.types is not None and kind.label not in spec.types):
                continue
            if anywhere and not self.ctx.starts_quickly(kind):
                continue
            per_machine = max(
                1, int(min(kind.cpus / max(spec.cpus, 0.01), kind.memory_gb / max(spec.memory_gb, 0.001), count))
            )
            machines = max(1, math.ceil(cpus / max(per_machine * spec.cpus, 0.01) - 0.2))
            dear = machines
            if spot and kind.spot_price > 0 and not partition.spec.whole:
                # A dearer machine must have as much more waiting for it.
                left = cpus - (kind.price / kind.spot_price - 1.0) * self._absorbed(shard, ABSORBED)
                dear = math.ceil(left / max(per_machine * spec.cpus, 0.01) - 0.5)
            for zone in kind.zones:
                if (spec.zone not in (None, zone)) or (zones is not None and zone not in zones):
                    continue
                for cheap in [True, False] if spot else [False]:
                    if not cheap and dear <= 0:
                        continue
                    if self.capacity.backs_off((kind.label, zone, cheap), self.ctx.now_us):
                        continue
                    price = (kind.spot_price if cheap else kind.price) / (per_machine * max(spec.cpus, 0.01))
                    options.append((price, in_zone[zone], kind.label, zone, cheap, machines if cheap else dear))
        if anywhere and options:
            # Headroom is for a few tasks: a large machine for one of them costs more than it can save.
            fitting = [t for t in self.ctx.types.values() if fits((t.cpus, t.gpus, t.memory_gb), spec)]
            cheapest = min(t.price * max(1, math.ceil(cpus / t.cpus)) for t in fitting)
            options = [o for o in options if self.ctx.types[o[2]].price * o[5] <= HEADROOM_PRICE * cheapest]
        if not options:
            return
        # The cheapest for what it can serve; between zones, the one with fewest of our machines.
        _, _, label, zone, cheap, machines = min(options)
        self.scale_out.start(shard, label, zone, cheap, machines)

    # Returns.

    def _scale_in(self, shard: Shard) -> None:
        now_us = self.ctx.now_us
        names: list[str] = []
        # Where most are silent, it is this node's network or a takeover, not the machines.
        known = [
            w
            for w in shard.workers.values()
            if (w.last_contact_us or w.delivery.unanswered_probes) and not w.lease_expired
        ]
        heard = sum(bool(w.last_contact_us) and not w.delivery.unanswered_probes for w in known)
        mostly_heard = 2 * heard >= len(known) or (len(known) <= 2 and self.election.may_launch())
        # At the moment of a cut the first machines count as silent while the others were heard just before it: one is
        # only known to be silent by itself if another was heard since it was first asked in vain.
        newest_us = max((w.last_contact_us for w in known if not w.delivery.unanswered_probes), default=0)
        dark = self._unreachable_zones(shard)
        idle_rank = {True: 0, False: 0}
        headroom: tuple[int | None, float] | None = None
        for worker in sorted(shard.workers.values(), key=lambda w: w.idle_us):
            if worker.deleting or worker.type is None:
                continue
            boot_us = micros(worker.type.boot_s)
            host = self.inventory.listed.get(worker.name)
            deaf = (
                worker.delivery.unanswered_probes >= MAX_UNANSWERED_PROBES
                and mostly_heard
                and worker.zone not in dark
                and (len(known) <= 2 or newest_us > max(worker.delivery.first_missed_us, shard.led_since_us) + ASKED_US)
            )
            if worker.name in shard.unreconciled and deaf:
                # Deleted, it is certain to be gone, and what it may have held can start elsewhere.
                if not worker.draining:  # else it was asked for before, and the cloud did not answer
                    log.info("inherited worker %s does not answer: replaced", worker.name)
                names.append(worker.name)
                continue
            if not worker.last_contact_us:
                if now_us - worker.registered_us > 4 * boot_us + 20 * SECOND and worker.name not in shard.unreconciled:
                    log.info("machine %s never came up", worker.name)
                    names.append(worker.name)
                continue
            silent_us = now_us - max(worker.last_contact_us, shard.led_since_us)
            if silent_us > self.ctx.timing.lease_expiry_us and (host is not None or worker.lease_expired):
                names.append(worker.name)
                continue
            # A hung or cut machine keeps its tasks from starting elsewhere until its lease ends.
            # Once it is deleted they are certain to be gone, so they start again at once.
            if deaf and not worker.lease_expired and worker.attempts:
                log.info("worker %s is silent for %.1f s: replaced", worker.name, silent_us / SECOND)
                names.append(worker.name)
                continue
            if (
                worker.delivery.unanswered_probes >= MAX_UNANSWERED_PROBES
                and not worker.attempts
                and now_us - worker.delivery.first_missed_us > self.ctx.timing.lease_expiry_us
            ):
                # Its reports arrive, so it would neither be used nor ever be found idle. Like one that is silent for
                # so long it holds nothing, so a cut zone loses nothing by it.
                if not worker.draining:
                    log.info("worker %s reports and hears nothing: returned", worker.name)
                names.append(worker.name)
                continue
            idle_us = now_us - worker.idle_us
            if worker.attempts or any(t.state != m.EXITED for t in worker.reported_tasks.values()):
                continue
            spare = False
            # Until the roster is resolved what it may have to run is not known.
            if not worker.attempts and not shard.unreconciled and shard.placement.usable(worker):
                # One idle machine is kept in hand for long; the more there are, the shorter.
                idle_rank[worker.spot] += 1
                starvation_bound_us = self._idle_limit_us(boot_us) // idle_rank[worker.spot]
                if idle_us > starvation_bound_us and not self._awaited_by_gang(shard, worker):
                    headroom = self._spare_slots(shard) if headroom is None else headroom
                    spare = not self._needed_as_headroom(worker, *headroom)
            if worker.draining or worker.task_failures > 2 or spare:
                names.append(worker.name)
        if names:
            self._delete(shard, names[:MAX_MACHINES_PER_DELETION])

    @staticmethod
    def _awaited_by_gang(shard: Shard, worker: Worker) -> bool:
        """Whether a gang waits that this machine may be a part of: it starts on all of them at once or on none."""
        return any(
            c.spec.gang
            and c.startable()
            and not c.on_hold
            and fits(worker.free(), c.spec)
            and shard.placement.satisfies_constraints(worker, c.spec, None)
            for c in shard.queued.values()
        )

    @staticmethod
    def _unreachable_zones(shard: Shard) -> set[str]:
        """Zones in which most of the machines that are asked do not answer: these are cut off.

        Their machines go on working and mostly come back. To delete them all would stop what runs there
        for the time of a boot, on a cloud that may not have as many again. A zone of which some machine was
        heard after the silent ones is not cut off: these have failed, and are replaced however many they are.
        """
        asked: dict[str, int] = defaultdict(int)
        silent: dict[str, int] = defaultdict(int)
        last_us: dict[str, int] = defaultdict(int)  # when the last of the silent ones was first asked in vain
        alive_us: dict[str, int] = defaultdict(int)  # when any other was
        for worker in shard.workers.values():
            if worker.lease_expired:
                continue
            if worker.delivery.unanswered_probes:
                last_us[worker.zone] = max(last_us[worker.zone], worker.delivery.first_missed_us, shard.led_since_us)
            else:
                alive_us[worker.zone] = max(alive_us[worker.zone], worker.last_contact_us)
            if worker.service_tasks or worker.name in shard.unreconciled:
                asked[worker.zone] += 1
                silent[worker.zone] += worker.delivery.unanswered_probes > 0
        return {
            zone
            for zone, count in silent.items()
            if count >= MIN_UNREACHABLE_MACHINES
            and 2 * count >= asked[zone]
            and alive_us[zone] <= last_us[zone] + UNREACHABLE_PROBE_US
        }

    def _idle_limit_us(self, boot_us: int) -> int:
        return max(10 * SECOND, int(self.ctx.tuning.idle_return_factor * boot_us))

    def _spare_slots(self, shard: Shard) -> tuple[int | None, float]:
        """Places for services beyond those to expect, and the CPUs of one; None where the shard has no service.

        The same measure as for renting: what one returns and the other rents again costs a minute each.
        """
        if not any(c.spec.service for c in shard.partitions.values()):
            return (None, 0.0)
        need, size = self._expected_services()
        return (self._service_slots(size) - need, size) if size else (None, 0.0)

    def _needed_as_headroom(self, worker: Worker, spare: int | None, size: float) -> bool:
        """Whether there would be too little room for the services to expect without this machine."""
        if worker.spot or spare is None:
            return False
        mine = int(worker.service_room() // size) if self.ctx.starts_quickly(worker.type) else 0
        return mine > 0 and mine > spare

    def _service_slots(self, size: float) -> int:
        """Places for services of that many CPUs, free or held by what they may preempt, in all shards."""
        return sum(int(room // size) for room in self.quick_service_cpus())

    def _delete(self, shard: Shard, names: list[str]) -> None:
        if self.ctx.now_us < self.next_delete_us:
            return
        names = [n for n in names if n not in self.inventory.deleting]
        if not names:
            return
        for name in names:
            self.inventory.deleting.add(name)
            if name in shard.workers:
                shard.workers[name].deleting = True
        log.info("returning %s", ", ".join(names))

        def done(status: int, body: bytes) -> None:
            self.inventory.deleting.difference_update(names)
            if status == 200:
                for name in names:
                    worker = shard.workers.get(name)
                    if worker is not None and worker.type is not None:
                        self.capacity.machines_returned(
                            (worker.type.label, worker.zone, worker.spot), 1, self.ctx.now_us
                        )
                    self.inventory.machine_gone(shard, name, "returned")
            else:
                self.next_delete_us = self.ctx.now_us + SECOND
                # Whether it was done is open: nothing may be launched there, ask again.
                for name in names:
                    if name in shard.workers:
                        shard.workers[name].deleting = False
                        shard.workers[name].draining = "return"

        self.ctx.call("cloud", "POST", m.PATH_HOSTS_DELETE, m.delete_request(names), done, timeout_us=4 * SECOND)
