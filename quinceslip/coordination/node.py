"""The actor of one controller: takes messages, returns effects, does no I/O of its own."""

import logging
import math
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from quinceslip.coordination import balance
from quinceslip.coordination.context import SECOND, Context, micros
from quinceslip.coordination.effects import (
    Answer,
    Effect,
    Message,
    PeerSaid,
    Reported,
    Settle,
    Tick,
    ToPeers,
    Urgency,
    UserRequest,
    ViewChanges,
    ViewReset,
)
from quinceslip.coordination.ownership import Ownership
from quinceslip.coordination.provision import Provisioner
from quinceslip.coordination.shard import Shard
from quinceslip.protocol import frames
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Settings, Tuning
from quinceslip.storage import records, tasksets

log = logging.getLogger(__name__)

MAX_WAITING_POLLS = 500
#: a service that was moved and still finds no place is moved no more than this often
MOVE_AGAIN_US = 10 * SECOND


@dataclass(slots=True)
class Waiting:
    """A user's request that needs a read barrier."""

    request: int
    uid: str
    since_us: int
    then: str = "status"
    absent: tuple[int, object] = (404, {"error": "no such job"})


class Node:
    def __init__(self, settings: Settings, tuning: Tuning, now_us: int, wall_us: int) -> None:
        self.ctx = Context(settings, tuning, now_us, wall_us)
        self.ctx.changed = self._changed
        self.labels = sorted([settings.label, *(p.label for p in settings.known)])
        self.home = self.labels.index(settings.label)
        self.size = settings.facts.size
        self.shards: dict[int, Shard] = {}
        self.ownership = Ownership(self.ctx, self.home, self._gained, self._lost)
        self.provision = Provisioner(self.ctx, self.ownership, self.shards)
        self.provision.quick_rooms = self._quick_rooms
        self.polls: list[Waiting] = []  # for the next barrier
        self.behind: list[tuple[int, list[Waiting]]] = []  # for the view to catch up
        self.cancels: list[tuple[int, str, int, int]] = []  # to be tried again
        self.barrier_busy = False
        self.peers: dict[str, tuple[int, frames.Beat]] = {}
        self.peer_since: dict[str, int] = {}
        self.next_beat_us = 0
        self.next_load_us = now_us + SECOND
        self.next_balance_us = now_us + SECOND
        self.next_move_us = 0
        self.next_summary_us = now_us + 30 * SECOND
        self.levels: dict[int, int] = {}
        self.accepted_us: list[tuple[int, int]] = []  # when, how many tasks
        self.next_give_back_us = 0
        self.adopting: set[str] = set()

    def handle(self, message: Message, now_us: int) -> list[Effect]:
        ctx = self.ctx
        ctx.now_us = now_us
        ctx.out = []
        if isinstance(message, Tick):
            self._tick()
        elif isinstance(message, Reported):
            self._report(message.request, message.report)
        elif isinstance(message, Answer):
            ctx.answered(message)
        elif isinstance(message, UserRequest):
            self._user(message)
        elif isinstance(message, ViewChanges):
            self.ownership.watch_sent_us = max(self.ownership.watch_sent_us, message.asked_us)
            ctx.state_ok_us = now_us
            self._changed(ctx.view.apply(message.events, message.ledger))
            self._caught_up()
        elif isinstance(message, ViewReset):
            self.ownership.watch_sent_us = max(self.ownership.watch_sent_us, message.asked_us)
            self._changed(ctx.view.reset(message.items, message.ledger))
            self._caught_up()
        elif isinstance(message, PeerSaid):
            self._heard(message.beat)
        elif isinstance(message, Settle):
            for shard in self.shards.values():
                shard.settle()
        return ctx.out

    # The view.

    def _changed(self, keys: Iterable[str]) -> None:
        for key in keys:
            kind, name = records.View.split(key)
            if kind == "job":
                for shard in self.shards.values():
                    shard.recorder.sync(name)
            elif kind == "part":
                uid = name.partition("/")[2]
                for shard in self.shards.values():
                    shard.recorder.sync(uid)
            elif kind == "roster":
                self.provision.roster_changed(name)
                for shard in self.shards.values():
                    shard.roster_changed(name)
            elif kind == "shard":
                self.ownership.record_changed(int(name))
            elif kind == "types":
                self.provision.types_changed()

    def _gained(self, shard: int, term: int, restarted: bool) -> None:
        known = self.shards.get(shard)
        if known is not None:
            known.term_raised(term)
        else:
            self.shards[shard] = Shard(self.ctx, self.ownership, shard, term, restarted)

    def _lost(self, shard: int) -> None:
        self.shards.pop(shard, None)

    # Time.

    def _tick(self) -> None:
        now_us = self.ctx.now_us
        self.ownership.tick()
        for shard in list(self.shards.values()):
            shard.tick()
        self.provision.tick()
        if now_us >= self.next_beat_us:
            self.next_beat_us = now_us + SECOND
            self._beat()
        if now_us >= self.next_load_us:
            self.next_load_us = now_us + micros(self.ctx.tuning.load_record_s)
            self._record_load()
        if now_us >= self.next_balance_us:
            self.next_balance_us = now_us + micros(self.ctx.tuning.balance_period_s)
            self._balance()
        if now_us >= self.next_summary_us:
            self.next_summary_us = now_us + 30 * SECOND
            for shard in self.shards.values():
                log.info("%s", shard.summary())
        if now_us >= self.next_move_us:
            self.next_move_us = now_us + SECOND
            self._move_waiting()
        if now_us >= self.next_give_back_us:
            self.next_give_back_us = now_us + 2 * SECOND
            self._give_back_shards()
        due = [c for c in self.cancels if c[3] <= now_us]
        self.cancels = [c for c in self.cancels if c[3] > now_us]
        for request, uid, tries, _ in due:
            self._cancel(request, uid, tries)
        self._caught_up()

    # Peers.

    def state_ok(self) -> bool:
        return self.ctx.now_us - self.ctx.state_ok_us < 3 * SECOND and self.ctx.view.loaded

    def _beat(self) -> None:
        loads = []
        for shard in self.shards.values():
            slots, rate = shard.station()
            loads.append(frames.ShardLoad(shard.index, shard.waiting(), slots, shard.room(), rate,
                                         shard.service_room(), shard.quick_room()))
        beat = frames.Beat(self.ctx.settings.label, self.state_ok(), self.ctx.view.ledger, loads,
                           self.provision.refusals())
        self.ctx.out.append(ToPeers(frames.pack_beat(beat)))

    def _heard(self, beat: frames.Beat) -> None:
        now_us = self.ctx.now_us
        last = self.peers.get(beat.label)
        if last is None or now_us - last[0] > 4 * SECOND:
            self.peer_since[beat.label] = now_us
        self.peers[beat.label] = (now_us, beat)
        self.provision.heard_refusals(beat.refusals)

    def _alive(self, label: str) -> bool:
        known = self.peers.get(label)
        return known is not None and self.ctx.now_us - known[0] < 4 * SECOND

    def ready(self) -> bool:
        """Unready only where this node alone has lost the state service."""
        if not self.ctx.view.loaded:
            return False
        if self.state_ok():
            return True
        return not any(self._alive(label) and beat.state_ok for label, (_, beat) in self.peers.items())

    def _give_back_shards(self) -> None:
        """A shard goes home once its home has been back long enough and nothing is in doubt."""
        if not self.ownership.entitled():
            return
        for shard in list(self.shards.values()):
            label = self.labels[shard.index]
            if label == self.ctx.settings.label or not self._alive(label):
                continue
            beat = self.peers[label][1]
            steady_us = self.ctx.now_us - max(self.peer_since.get(label, 0), shard.taken_us)
            calm = not shard.unresolved and all(w.confirmed or w.lost or not w.heard_us
                                                for w in shard.workers.values())
            if beat.state_ok and steady_us > 2 * self.ctx.timing.lease_us and calm:
                self.ownership.give_back(shard.index)
                return

    # Balance.

    def _stations(self) -> tuple[dict[int, balance.Station], dict[int, int], dict[int, int]]:
        """Stations, waiting tasks and free slots of every shard, from peers where they are fresh."""
        stations: dict[int, balance.Station] = {}
        waiting: dict[int, int] = {}
        room: dict[int, int] = {}
        for name, record in self.ctx.view.by_kind["load"].items():
            stations[int(name)] = balance.Station(record.slots, record.rate)
            waiting[int(name)] = record.waiting
        for label, (_, beat) in self.peers.items():
            if self._alive(label):
                for load in beat.loads:
                    stations[load.shard] = balance.Station(load.slots, load.rate)
                    waiting[load.shard] = load.waiting
                    room[load.shard] = load.room
        for shard in self.shards.values():
            slots, rate = shard.station()
            stations[shard.index] = balance.Station(slots, rate)
            waiting[shard.index] = shard.waiting()
            room[shard.index] = shard.room()
        return stations, waiting, room

    def _record_load(self) -> None:
        if not self.ownership.entitled():
            return
        now_us = self.ctx.now_us
        window_us = 60 * SECOND
        self.accepted_us = [(t, n) for t, n in self.accepted_us if now_us - t < window_us]
        span_s = max(5.0, min(window_us, now_us - self.ctx.started_us) / SECOND)
        arrivals = sum(n for _, n in self.accepted_us) / span_s
        conditions: dict[str, int] = {}
        puts = {}
        for shard in self.shards.values():
            conditions |= self.ownership.condition(shard.index)
            slots, rate = shard.station()
            share = arrivals if shard.index == self.home else 0.0
            record = records.LoadRecord(shard.waiting(), slots, rate, share, shard.room())
            if self.ctx.view.by_kind["load"].get(str(shard.index)) != record:
                puts[records.load_key(shard.index)] = (record, None)
        if puts:
            self.ctx.txn(conditions, puts, [], lambda s, f: None)

    def _balance(self) -> None:
        stations, _, _ = self._stations()
        if not stations:
            return
        total = sum(r.arrivals for r in self.ctx.view.by_kind["load"].values())
        order = sorted(stations)
        levels = balance.fair_levels([stations[i] for i in order], total)
        self.levels = dict(zip(order, levels, strict=True))
        log.debug("arrivals %.2f/s, levels %s", total, self.levels)

    def _shard_for(self, spec: m.JobSpec) -> int | None:
        """Home below its level, else as the paper forwards; a limited team has one fixed shard."""
        team = self.ctx.team(spec.team)
        if team is not None and (team.cpus_max or team.gpus_max):
            names = sorted(t.name for t in self.ctx.settings.facts.teams)
            return names.index(team.name) % self.size
        stations, waiting, _ = self._stations()
        owned = {s for s in range(self.size) if self.ownership.owner(s)}
        if not owned:
            return None
        stations = {s: st for s, st in stations.items() if s in owned}
        home = self.home if self.home in owned else min(owned)
        chosen = balance.choose_shard(home, stations, waiting, self.levels)
        return chosen if chosen in owned else home

    def _move_services(self, shard: Shard) -> None:
        """Services that find no place here go where lower priorities can make room for them."""
        reported = {ld.shard: ld for label, (_, b) in self.peers.items() if self._alive(label) for ld in b.loads}
        for other in self.shards.values():
            reported[other.index] = frames.ShardLoad(other.index, 0, 0, 0, 0.0, other.service_room())
        reported.pop(shard.index, None)
        order = self.ctx.settings.facts.zones
        for chunk in shard.ordered():
            spec = chunk.spec
            if not spec.service or not chunk.pending or \
                    self.ctx.now_us < shard.moved_us.get(chunk.uid, 0) + MOVE_AGAIN_US:
                continue
            whole = bool(shard.recorder.movable(chunk))
            split = None if whole else shard.recorder.split_zones(chunk)
            if not whole and split is None:
                continue
            allowed = split[1] if split else (chunk.zones or set(order))
            most = (spec.tasks + 1) // 2 if spec.spread else len(chunk.pending)
            best: tuple[int, frames.ShardLoad] | None = None
            for other_load in reported.values():
                rooms = [room for zone, room in zip(order, other_load.service_room, strict=False)
                         if zone in allowed and spec.zone in (None, zone)]
                fit = sum(min(most, int(room // max(spec.cpus, 0.01))) for room in rooms)
                if fit >= len(chunk.pending) and self.ownership.owner(other_load.shard) and (
                        best is None or sum(rooms) > best[0]):
                    best = (sum(rooms), other_load)
            if best is None:
                continue
            target = best[1]
            need = math.ceil(spec.cpus * len(chunk.pending))
            target.service_room = [max(0, room - need) for room in target.service_room]
            shard.moved_us[chunk.uid] = self.ctx.now_us
            shard.recorder.move(chunk, sorted(chunk.pending), target.shard, split)

    def _quick_rooms(self) -> list[int]:
        """CPUs in every shard that services could have on machines quick enough for them."""
        rooms = {s.index: s.quick_room() for s in self.shards.values()}
        for label, (_, beat) in self.peers.items():
            if self._alive(label):
                for reported in beat.loads:
                    rooms.setdefault(reported.shard, reported.quick_room)
        return list(rooms.values())

    def _move_waiting(self) -> None:
        """Waiting work goes to peers that report room."""
        if not self.ownership.entitled():
            return
        for shard in self.shards.values():
            self._move_services(shard)
        _, _, room = self._stations()
        for shard in self.shards.values():
            moves = 0
            for chunk in shard.ordered():
                indices = shard.recorder.movable(chunk)
                if not indices:
                    continue
                targets = [s for s in room if s != shard.index and room[s] > 0 and self.ownership.owner(s)]
                if not targets or moves >= 2:
                    break
                target = max(targets, key=lambda s: (room[s], -s))
                whole = chunk.spec.whole
                if whole and room[target] < len(indices):
                    continue
                part = indices if whole else indices[: room[target]]
                room[target] -= len(part)
                moves += 1
                shard.recorder.move(chunk, part, target)
                beat = next((b for _, b in self.peers.values() for ld in b.loads if ld.shard == target), None)
                for load in beat.loads if beat else []:
                    if load.shard == target:
                        load.room = max(0, load.room - len(part))

    # Workers.

    def _report(self, request: int, report: m.WorkerReport) -> None:
        ctx = self.ctx
        record = ctx.view.by_kind["roster"].get(report.worker)
        if not ctx.view.loaded:
            ctx.reply(request, 503)
            return
        if record is None:
            self._adopt(request, report)
            return
        shard = self.shards.get(record.shard)
        if shard is None:
            owner = self.ownership.owner(record.shard)
            if owner is None or owner == ctx.settings.label:
                ctx.reply(request, 503)
            else:
                ctx.reply(request, 421, m.redirect(owner))
            return
        if not self.ownership.answering():
            ctx.reply(request, 503)
            return
        if report.worker not in shard.workers:
            shard.roster_changed(report.worker)
        answer = shard.reported(report)
        if answer is None:
            ctx.reply(request, 503)
        else:
            ctx.reply(request, 200, answer)

    def _adopt(self, request: int, report: m.WorkerReport) -> None:
        """A machine that nobody expected: put it on the roster first, then answer."""
        ctx = self.ctx
        if not self.ownership.entitled() or not self.shards or report.worker in self.adopting:
            ctx.reply(request, 503)
            return
        index = self.home if self.home in self.shards else min(self.shards)
        record = records.RosterRecord(index, report.type, report.zone, report.spot, report.endpoint, used=True)
        self.adopting.add(report.worker)

        def done(status: int, failed: list[str]) -> None:
            self.adopting.discard(report.worker)
            if report.worker in ctx.view.by_kind["roster"]:
                self._report(request, report)
            else:
                ctx.reply(request, 503)

        self.provision.adopt(report.worker, record, done)

    # Users.

    def _user(self, request: UserRequest) -> None:
        if request.verb == "ready":
            self.ctx.reply(request.request, 200 if self.ready() else 503)
        elif request.verb == "submit":
            self._submit(request.request, request.spec)
        elif request.verb == "poll":
            self._poll(request.request, request.uid)
        else:
            self._cancel(request.request, request.uid, 3)

    def _unavailable(self, request: int) -> None:
        self.ctx.reply(request, 503, {"error": "cannot decide yet"}, **{"Retry-After": "1"})

    def _status(self, uid: str, job: records.JobRecord) -> dict[str, object]:
        if records.is_final(job):
            return m.job_answer(uid, job.state, job.done, 0)
        running = sum(1 for s in self.shards.values() if uid in s.chunks
                      for a in s.chunks[uid].attempts.values() if a.state == m.RUNNING)
        done = records.done_count(self.ctx.view, uid)
        return m.job_answer(uid, m.RUNNING if running else m.QUEUED, done, running)

    def _never_runs(self, spec: m.JobSpec) -> str | None:
        """Why a job can never run; None if it can."""
        team = self.ctx.team(spec.team)
        if team is None:
            return "unknown team"
        kinds = [t for t in self.ctx.types.values() if spec.types is None or t.label in spec.types]
        if not any(t.cpus >= spec.cpus and t.gpus >= spec.gpus and t.memory_gb >= spec.memory_gb
                   and (spec.zone is None or spec.zone in t.zones) for t in kinds):
            return "fits no allowed machine type"
        count = spec.tasks if spec.service or spec.gang else 1
        if (team.cpus_max and spec.cpus * count > team.cpus_max) or (
                team.gpus_max and spec.gpus * count > team.gpus_max):
            return "over the team's limit"
        return None

    def _submit(self, request: int, spec: m.JobSpec) -> None:
        ctx = self.ctx
        uid = spec.uid
        known = ctx.view.job(uid)
        if known is not None:
            self._poll(request, uid)
            return
        if not ctx.view.loaded or not ctx.types or not self.state_ok():
            self._unavailable(request)
            return
        why = self._never_runs(spec)
        if why is not None:
            # Not before it is sure that the job is not known: an accepted job never gets 422.
            self._poll(request, uid, absent=(422, {"error": why}))
            return
        shard = self._shard_for(spec)
        if shard is None:
            self._unavailable(request)
            return
        everything = tasksets.encode(set(range(spec.tasks)))
        job = records.JobRecord(m.QUEUED, spec.tasks, spec, shard, records.Chunk(everything), ctx.wall_us)

        def done(status: int, failed: list[str]) -> None:
            if status == 200:
                if not spec.service:  # they never finish, and are no part of m and u either
                    self.accepted_us.append((ctx.now_us, spec.tasks))
                log.debug("accepted %s: %d tasks of %s for shard %d", uid, spec.tasks, spec.job_class, shard)
                ctx.reply(request, 201, m.job_answer(uid, m.QUEUED))
            elif status == 409:
                self._poll(request, uid)
            else:
                self._unavailable(request)

        ctx.txn({records.job_key(uid): 0}, {records.job_key(uid): (job, None)}, [], done, Urgency.USER)

    def _poll(self, request: int, uid: str, then: str = "status",
              absent: tuple[int, object] = (404, {"error": "no such job"})) -> None:
        job = self.ctx.view.job(uid)
        if job is not None and records.is_final(job):
            self.ctx.reply(request, 200, self._status(uid, job))
            return
        if len(self.polls) >= MAX_WAITING_POLLS:
            self._unavailable(request)
            return
        self.polls.append(Waiting(request, uid, self.ctx.now_us, then, absent))
        if not self.barrier_busy:
            self._barrier()

    def _barrier(self) -> None:
        """One read of the ledger serves every waiting poll; then the view must have caught up."""
        waiting, self.polls = self.polls, []
        self.barrier_busy = True

        def done(status: int, body: bytes) -> None:
            self.barrier_busy = False
            self.ctx.note_state(status)
            ledger = None
            if status == 404:
                try:
                    ledger = msgspec.json.decode(body, type=m.TxnAnswer).ledger
                except msgspec.DecodeError as error:
                    log.error("state service answered nonsense: %s", error)
            if ledger is None:
                for entry in waiting:
                    self._unavailable(entry.request)
            else:
                self.behind.append((ledger, waiting))
                self._caught_up()
            if self.polls and not self.barrier_busy:
                self._barrier()

        self.ctx.call("state", "GET", f"{m.PATH_KV}/{records.NOTHING}", None, done, timeout_us=SECOND)

    def _caught_up(self) -> None:
        behind, self.behind = self.behind, []
        for ledger, waiting in behind:
            if self.ctx.view.loaded and self.ctx.view.ledger >= ledger:
                for entry in waiting:
                    self._after_barrier(entry)
            elif waiting and self.ctx.now_us - waiting[0].since_us < 3 * SECOND // 2:
                self.behind.append((ledger, waiting))
            else:
                for entry in waiting:
                    self._unavailable(entry.request)

    def _after_barrier(self, entry: Waiting) -> None:
        job = self.ctx.view.job(entry.uid)
        if job is None:
            self.ctx.reply(entry.request, *entry.absent)
        elif entry.then == "cancel":
            self._cancel(entry.request, entry.uid, 3)
        else:
            self.ctx.reply(entry.request, 200, self._status(entry.uid, job))

    def _cancel(self, request: int, uid: str, tries: int) -> None:
        ctx = self.ctx
        job = ctx.view.job(uid)
        if job is not None and records.is_final(job):
            ctx.reply(request, 200, m.job_answer(uid, job.state))
            return
        if job is None or not self.state_ok():
            # A job this node has not heard of yet may exist all the same.
            if job is None:
                self._poll(request, uid, then="cancel")
            else:
                self._unavailable(request)
            return
        parts = [records.part_key(s, uid) for s in job.parts if ctx.view.stamp(records.part_key(s, uid))]
        key = records.job_key(uid)
        final = records.final_record(job, m.WITHDRAWN, records.done_count(ctx.view, uid))

        def done(status: int, failed: list[str]) -> None:
            if status == 200:
                log.info("job %s is withdrawn", uid)
                ctx.reply(request, 200, m.job_answer(uid, m.WITHDRAWN))
            elif status == 409 and tries > 1:
                self.cancels.append((request, uid, tries - 1, ctx.now_us + 200_000))
            else:
                self._unavailable(request)

        ctx.txn({key: ctx.view.stamp(key)}, {key: (final, None)}, parts, done, Urgency.USER)
