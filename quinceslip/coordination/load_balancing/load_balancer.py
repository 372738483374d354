"""Where jobs go: fair workload levels, the paper's forwarding, and moves of waiting work."""

import logging
import math
from dataclasses import dataclass

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.load_balancing import queueing_model
from quinceslip.coordination.shard.partition import JobPartition
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import frames
from quinceslip.protocol import messages as m
from quinceslip.storage import records

log = logging.getLogger(__name__)

#: a service that was moved and still finds no place is moved no more than this often
MOVE_AGAIN_US = 10 * SECOND
#: a peer that has not been heard of for so long is not counted on
PEER_SILENT_US = 4 * SECOND


@dataclass(slots=True)
class PeerStatus:
    """The latest sign of life of a peer."""

    at_us: int
    since_us: int  # heard without a break since
    heartbeat: frames.PeerHeartbeat


class LoadBalancer:
    """Knows the load of every shard; chooses shards for jobs and moves what waits."""

    def __init__(self, ctx: Context, election: LeaderElection, shards: dict[int, Shard]) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.peers: dict[str, PeerStatus] = {}
        self.next_load_us = ctx.now_us + SECOND
        self.next_balance_us = ctx.now_us + SECOND
        self.next_move_us = 0
        self.levels: dict[int, int] = {}
        self.levels_suspended = False
        self.recent_arrivals: list[tuple[int, int]] = []  # when, how many tasks

    def tick(self) -> None:
        now_us = self.ctx.now_us
        if now_us >= self.next_load_us:
            self.next_load_us = now_us + micros(self.ctx.tuning.load_record_s)
            self._record_load()
        if now_us >= self.next_balance_us:
            self.next_balance_us = now_us + micros(self.ctx.tuning.balance_period_s)
            self._balance()
        if now_us >= self.next_move_us:
            self.next_move_us = now_us + SECOND
            self.ctx.active_part = "moves"
            # What it stood still in is left out for a while (docs/standstill.md): work waits where it was accepted.
            if not self.ctx.is_suspended("moves"):
                self._move_waiting()

    def tasks_arrived(self, spec: m.JobSpec) -> None:
        """Arrivals are the rate of the model. Services never finish, and are no part of m and u either."""
        if not spec.service:
            self.recent_arrivals.append((self.ctx.now_us, spec.tasks))

    # Peers.

    def heartbeat_received(self, heartbeat: frames.PeerHeartbeat) -> None:
        now_us = self.ctx.now_us
        last = self.peers.get(heartbeat.label)
        steady = last is not None and now_us - last.at_us <= PEER_SILENT_US
        self.peers[heartbeat.label] = PeerStatus(now_us, last.since_us if last and steady else now_us, heartbeat)

    def is_alive(self, label: str) -> bool:
        known = self.peers.get(label)
        return known is not None and self.ctx.now_us - known.at_us < PEER_SILENT_US

    def peer_loads(self) -> list[frames.ShardLoad]:
        """What peers that are alive reported of their shards."""
        return [load for label, peer in self.peers.items() if self.is_alive(label) for load in peer.heartbeat.loads]

    def loads(self) -> list[frames.ShardLoad]:
        """What this node reports of its own."""
        found = []
        for shard in self.shards.values():
            slots, rate = shard.queueing_station()
            found.append(
                frames.ShardLoad(
                    shard.index,
                    shard.waiting_tasks(),
                    slots,
                    shard.free_slots(),
                    rate,
                    shard.service_room(),
                    shard.quick_room(),
                )
            )
        return found

    # Balance.

    def _stations(self) -> tuple[dict[int, queueing_model.Station], dict[int, int], dict[int, int]]:
        """Stations, waiting tasks and free slots of every shard, from peers where they are fresh."""
        stations: dict[int, queueing_model.Station] = {}
        waiting: dict[int, int] = {}
        room: dict[int, int] = {}
        for name, record in self.ctx.cache.by_kind["load"].items():
            if name.isdecimal():
                self._add_load(int(name), record, stations, waiting)
        for load in self.peer_loads():
            if self._add_load(load.shard, load, stations, waiting):
                room[load.shard] = load.room
        for shard in self.shards.values():
            slots, rate = shard.queueing_station()
            stations[shard.index] = queueing_model.Station(slots, rate)
            waiting[shard.index] = shard.waiting_tasks()
            room[shard.index] = shard.free_slots()
        return stations, waiting, room

    def _add_load(
        self,
        shard: int,
        load: records.LoadRecord | frames.ShardLoad,
        stations: dict[int, queueing_model.Station],
        waiting: dict[int, int],
    ) -> bool:
        """Take what was told of a shard's load; what nobody can have measured counts as a shard without machines."""
        station = queueing_model.Station(load.slots, load.rate)
        if not 0 <= shard < self.election.size:
            return False
        good = load.slots == 0 or queueing_model.credible(station)
        stations[shard] = station if good else queueing_model.NOTHING
        waiting[shard] = max(0, load.waiting) if good else 0
        return good

    def _record_load(self) -> None:
        if not self.election.may_launch():
            return
        now_us = self.ctx.now_us
        window_us = 60 * SECOND
        self.recent_arrivals = [(t, n) for t, n in self.recent_arrivals if now_us - t < window_us]
        span_s = max(5.0, min(window_us, now_us - self.ctx.started_us) / SECOND)
        arrivals = sum(n for _, n in self.recent_arrivals) / span_s
        writes: list[tuple[str, records.LoadRecord, dict[str, int]]] = []
        for shard in self.shards.values():
            slots, rate = shard.queueing_station()
            share = arrivals if shard.index == self.election.home else 0.0
            record = records.LoadRecord(shard.waiting_tasks(), slots, rate, share, shard.free_slots())
            if self.ctx.cache.by_kind["load"].get(str(shard.index)) != record:
                key = records.load_key(shard.index)
                # Carried out late it undoes no newer one.
                writes.append(
                    (
                        key,
                        record,
                        {**self.election.fencing_condition(shard.index), key: self.ctx.cache.mod_revision(key)},
                    )
                )
        most = self.ctx.limits.txn_ops
        for batch in (writes[start : start + most] for start in range(0, len(writes), most)):
            conditions = {key: mod_revision for *_, each in batch for key, mod_revision in each.items()}
            self.ctx.compare_and_swap(
                conditions, {key: (record, None) for key, record, _ in batch}, [], lambda s, f: None
            )

    def _balance(self) -> None:
        stations, _, _ = self._stations()
        # Before the first listing it is not known whether the levels rest.
        if not stations or not self.ctx.cache.synced:
            return
        resting, self.levels_suspended = self.levels_suspended, self.ctx.is_suspended("levels")
        if resting != self.levels_suspended:
            log.info(
                "this controller stood still in the levels: %s",
                "the levels rest for a while, each is m" if self.levels_suspended else "the levels are solved again",
            )
        if self.levels_suspended:
            # The same records would be solved again at once: for a while each level is m, as without an answer.
            self.levels = {i: s.slots for i, s in stations.items()}
            return
        self.ctx.active_part = "levels"
        total = sum(
            r.arrivals for r in self.ctx.cache.by_kind["load"].values() if queueing_model.credible_rate(r.arrivals)
        )
        order = sorted(stations)
        levels = queueing_model.fair_levels([stations[i] for i in order], total)
        self.levels = dict(zip(order, levels, strict=True))
        log.debug("arrivals %.2f/s, levels %s", total, self.levels)

    def shard_for(self) -> int | None:
        """Home below its level, else as the paper forwards."""
        stations, waiting, _ = self._stations()
        owned = {s for s in range(self.election.size) if self.election.leader(s)}
        if not owned:
            return None
        stations = {s: st for s, st in stations.items() if s in owned}
        home = self.election.home if self.election.home in owned else min(owned)
        chosen = queueing_model.choose_shard(home, stations, waiting, self.levels)
        return chosen if chosen in owned else home

    def job_ready(self, shard: Shard, partition: JobPartition) -> None:
        """A job that waited for others is ready: an arrival at its shard, which hands it on as the paper forwards."""
        self.tasks_arrived(partition.spec)
        indices = shard.persistence.movable(partition)
        if not indices or not self.election.may_launch(shard.index):
            return
        stations, waiting, _ = self._stations()
        waiting[shard.index] -= len(indices)
        owned = {s: st for s, st in stations.items() if self.election.leader(s)}
        chosen = queueing_model.choose_shard(shard.index, owned, waiting, self.levels)
        if chosen != shard.index and chosen in owned:
            shard.persistence.move(partition, indices, chosen)

    def _move_services(self, shard: Shard) -> None:
        """Services that find no place here go where lower priorities can make room for them."""
        reported = {load.shard: load for load in self.peer_loads()}
        for other in self.shards.values():
            reported[other.index] = frames.ShardLoad(other.index, 0, 0, 0, 0.0, other.service_room())
        reported.pop(shard.index, None)
        order = self.ctx.settings.facts.zones
        for partition in shard.waiting_in_order():
            spec = partition.spec
            if (
                not spec.service
                or not partition.pending
                or partition.on_hold
                or self.ctx.now_us < shard.moved_us.get(partition.job_id, 0) + MOVE_AGAIN_US
            ):
                continue
            whole = bool(shard.persistence.movable(partition))
            split = None if whole else shard.persistence.split_zones(partition)
            if not whole and split is None:
                continue
            allowed = split[1] if split else (partition.zones or set(order))
            most = (spec.tasks + 1) // 2 if spec.spread else len(partition.pending)
            best: tuple[int, frames.ShardLoad] | None = None
            for other_load in reported.values():
                rooms = [
                    room
                    for zone, room in zip(order, other_load.service_room, strict=False)
                    if zone in allowed and spec.zone in (None, zone)
                ]
                fit = sum(min(most, int(room // max(spec.cpus, 0.01))) for room in rooms)
                if (
                    fit >= len(partition.pending)
                    and self.election.leader(other_load.shard)
                    and (best is None or sum(rooms) > best[0])
                ):
                    best = (sum(rooms), other_load)
            if best is None:
                continue
            target = best[1]
            need = math.ceil(spec.cpus * len(partition.pending))
            target.service_room = [max(0, room - need) for room in target.service_room]
            shard.moved_us[partition.job_id] = self.ctx.now_us
            shard.persistence.move(partition, sorted(partition.pending), target.shard, split)

    def quick_service_cpus(self) -> list[int]:
        """CPUs in every shard that services could have on machines quick enough for them."""
        rooms = {s.index: s.quick_room() for s in self.shards.values()}
        for reported in self.peer_loads():
            rooms.setdefault(reported.shard, reported.quick_room)
        return list(rooms.values())

    def _move_waiting(self) -> None:
        """Waiting work goes to peers that report room."""
        if not self.election.may_launch():
            return
        for shard in self.shards.values():
            self._move_services(shard)
        _, _, room = self._stations()
        for shard in self.shards.values():
            moves = 0
            for partition in shard.waiting_in_order():
                # What only its quota holds up waits where it is: what the other shard lacks as well would
                # go to and fro, and grants come to where work waits.
                indices = [] if partition.on_hold else shard.persistence.movable(partition)
                if not indices:
                    continue
                targets = [s for s in room if s != shard.index and room[s] > 0 and self.election.leader(s)]
                if not targets or moves >= 2:
                    break
                target = max(targets, key=lambda s: (room[s], -s))
                whole = partition.spec.whole
                if whole and room[target] < len(indices):
                    continue
                part = indices if whole else indices[: room[target]]
                room[target] -= len(part)
                moves += 1
                shard.persistence.move(partition, part, target)
                for load in (ld for peer in self.peers.values() for ld in peer.heartbeat.loads if ld.shard == target):
                    load.room = max(0, load.room - len(part))
