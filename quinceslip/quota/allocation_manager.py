"""Keeps the grants of a controller's shards: takes from pools, asks, gives, and follows the tree.

Writes happen only when something is short: what a shard holds stays with it when its work has ended, so
the ordinary path makes no call. A starved shard first takes from the pools. What these lack it asks for
in its want record; holders answer with one transaction, and where they use what was borrowed, have that
stop first. The ask goes through the state service, as its answer must: where that cannot be reached
nothing may start anyway, and links between controllers may be refused while it can.
"""

import logging
from collections.abc import Sequence
from typing import Any

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import NOT_SENT, Urgency
from quinceslip.coordination.actor.subsystem import Subsystem, SubsystemFactory
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m
from quinceslip.quota import allocations as keys
from quinceslip.quota.allocation import Allocation, GrantRecord, Move
from quinceslip.quota.allocations import Allocations, TreeRecord, Wanted, WantRecord
from quinceslip.quota.amounts import ZERO, Amounts, add, least, positive, shown, times
from quinceslip.quota.preemption import RoomRequest
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.status_page import page
from quinceslip.quota.tree import Tree
from quinceslip.quota.unmet_demand import UnmetDemand

log = logging.getLogger(__name__)

#: a shard takes from the pools no more often than this
TAKE_US = SECOND // 10
#: asks, answers them, and settles no more often than this
ASK_US = SECOND // 2
#: a want record of which only the amounts change is not written again so soon
RETRY_US = 2 * SECOND
#: claims in one want record; the rest come when these are met
MAX_PUBLISHED_DEMANDS = 8
#: what is taken or given at once beyond what is asked: this part of an equal share, or of what is idle
AHEAD = 2


class AllocationManager(Subsystem):
    kinds = {keys.GRANT: GrantRecord, keys.WANT: WantRecord, keys.TREE: TreeRecord}
    questions = ("quota",)

    def __init__(self, tree: Tree, ctx: Context, election: LeaderElection, shards: dict[int, Shard]) -> None:
        self.tree = tree
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.allocations = Allocations(tree, ctx.cache)
        self.admissions: dict[int, ShardQuota] = {}
        self.next_take_us: dict[int, int] = {}
        self.next_ask_us = 0
        self.asked_us: dict[int, int] = {}  # shards whose want record this node knows, since when
        self.asked_again_us: dict[int, int] = {}  # when an owned shard last wrote its want record
        self.unsettled: dict[Allocation, None] = {}  # with a move whose outcome is open
        self.guaranteed = {level.index for level in tree.levels if level.guaranteed}
        self.writing: set[str] = set()  # keys of want and tree records on their way
        self.logged_exceeded: set[str] = set()  # levels that are over their cap, as the log has them
        self.refreshed = 0  # how far levels were looked through for amounts of an older tree
        self.stale = False  # some such record was found
        self.trouble = ""

    # What happens.

    def shard_gained(self, shard: Shard) -> None:
        self.admissions[shard.index] = shard.quota = ShardQuota(self.tree, self.allocations, shard)

    def shard_lost(self, index: int) -> None:
        self.admissions.pop(index, None)

    def record_changed(self, kind: str, name: str) -> None:
        if kind == keys.GRANT:
            self.allocations.changed(name)
            for shard in self.shards.values():
                shard.needs_placement = True
        elif kind == keys.WANT:
            if name in self.ctx.cache.by_kind[keys.WANT]:
                self.asked_us.setdefault(int(name), self.ctx.now_us)
                self.next_ask_us = min(self.next_ask_us, self.ctx.now_us)
            else:
                self.asked_us.pop(int(name), None)
        elif kind == keys.TREE:
            self._tree_changed()

    def never_runs_reason(self, spec: m.JobSpec) -> str | None:
        return self.tree.never_fits(spec)

    def batch_ended(self) -> None:
        now_us = self.ctx.now_us
        for index, admission in self.admissions.items():
            if (
                (admission.unmet_demands or admission.demand)
                and now_us >= self.next_take_us.get(index, 0)
                and admission.usage_known()
            ):
                self.next_take_us[index] = now_us + TAKE_US
                self._take_from_pools(index, admission)

    def tick(self) -> None:
        now_us = self.ctx.now_us
        if now_us < self.next_ask_us or not self.election.may_launch() or not self.ctx.cache.synced:
            return
        self.next_ask_us = now_us + ASK_US
        self._write_tree()
        self._settle_moves()
        self._refresh()
        for index, admission in self.admissions.items():
            if admission.usage_known():
                self._return_exceeding(index, admission)
                self._give_to_others(index, admission)
                self._publish_shortfalls(index, admission)

    # Writing.

    def _send(self, moves: list[tuple[Allocation, Move]], urgency: Urgency) -> None:
        """One transaction for several purses; each knows what came of its part."""
        conditions = {k: mod_revision for _, move in moves for k, mod_revision in move.conditions.items()}
        puts: dict[str, tuple[Any, int | None]] = {allocation.key: (move.record, None) for allocation, move in moves}

        def done(status: int, failed: list[str]) -> None:
            certain = status in (200, 409, 429, 503, 400, NOT_SENT)
            outcome = "applied" if status == 200 else "failed" if certain else "open"
            log.debug("grants of %s: %s", ", ".join(f"{p.key} {made.record.parts}" for p, made in moves), outcome)
            for allocation, move in moves:
                self.allocations.changed(allocation.key.split("/", 2)[2])
                allocation.answered(move, outcome)
                if allocation.move is not None and allocation.move.open:
                    self.unsettled[allocation] = None
            for shard in self.shards.values():
                shard.needs_placement = True

        self.ctx.compare_and_swap(conditions, puts, [], done, urgency)

    def _write_once(self, key: str, conditions: dict[str, int], value: Any) -> None:
        """A record of its own: at most one write of it at a time; None drops it."""
        if key in self.writing:
            return
        self.writing.add(key)

        def done(status: int, failed: list[str]) -> None:
            self.writing.discard(key)

        self.ctx.compare_and_swap(
            conditions,
            {} if value is None else {key: (value, None)},
            [key] if value is None else [],
            done,
            Urgency.REST,
        )

    def _most(self) -> int:
        return self.ctx.limits.txn_ops

    # Taking from the pools.

    def _cap_shortfalls(self, index: int, admission: ShardQuota) -> dict[Allocation, Amounts]:
        """By purse of a cap, what the shard lacks for its claims."""
        found: dict[int, Amounts] = {}
        for claim in sorted(admission.unmet_demands.values(), key=lambda c: c.order):
            for level in reversed(self.tree.capped[claim.team]):
                found[level] = add(found.get(level, admission.net_usage(level)), claim.need)
        lacks = {}
        for level, wish in found.items():
            allocation = self.allocations.for_cap(level)
            lacks[allocation] = positive(add(least(wish, allocation.total_in_force()), allocation.limit(index), -1))
        return lacks

    def _guarantee_shortfalls(self, index: int, admission: ShardQuota) -> dict[Allocation, Amounts]:
        """By purse of a guarantee, how much more of it the shard's running and waiting work could rest on.

        Where nobody else has work there and nothing is short, no guarantee is needed and none is moved.
        """
        lacks = {}
        for level in sorted(self.guaranteed & (admission.usage.keys() | admission.demand.keys())):
            if not admission.unmet_demands and all(level in self.tree.path(team) for team in admission.teams):
                continue
            allocation = self.allocations.for_guarantee(level)
            lack = positive(
                add(
                    least(self._usage_and_demand(admission, level), allocation.total_in_force()),
                    allocation.limit(index),
                    -1,
                )
            )
            if any(lack):
                lacks[allocation] = lack
        return lacks

    @staticmethod
    def _usage_and_demand(admission: ShardQuota, level: int) -> Amounts:
        return add(admission.net_usage(level), admission.demand.get(level, ZERO))

    def _take_from_pools(self, index: int, admission: ShardQuota) -> None:
        """Take what is short from the pools, and somewhat ahead, in one transaction."""
        if self.allocations.tree_outdated:
            return  # an older tree may be wrong about what there is to take
        moves: list[tuple[Allocation, Move]] = []
        owner = self.election.fencing_condition(index)
        part = self.ctx.settings.facts.size * AHEAD
        for allocation, wish in [
            *self._cap_shortfalls(index, admission).items(),
            *self._guarantee_shortfalls(index, admission).items(),
        ]:
            pool = positive(allocation.pool())
            more = [max(w, p // part) if w else 0 for w, p in zip(wish, pool, strict=True)]
            move = allocation.take(index, (more[0], more[1], more[2], more[3]), owner)
            if move is not None:
                moves.append((allocation, move))
            if len(moves) == self._most():
                break
        if moves:
            self._send(moves, Urgency.LAUNCH)  # launches wait for it

    # Asking and giving.

    def _publish_shortfalls(self, index: int, admission: ShardQuota) -> None:
        """Say durably what the pools lack; the record goes when nothing is wanted any more."""
        claims = [
            self._wanted_entry(index, admission, claim)
            for claim in sorted(admission.unmet_demands.values(), key=lambda c: c.order)
        ]
        wanted = [w for w in claims if w is not None][:MAX_PUBLISHED_DEMANDS]
        own = {
            allocation.key: list(short)
            for allocation, lack in self._guarantee_shortfalls(index, admission).items()
            if any(short := self._beyond_pool(index, allocation, lack))
        }
        record = WantRecord(wanted, dict(list(own.items())[:MAX_PUBLISHED_DEMANDS])) if wanted or own else None
        most_bytes = self.ctx.limits.value_kb * 1000
        # Bound: the claims; each turn drops one.
        while record is not None and record.demands and len(msgspec.json.encode(record)) > most_bytes:
            record.demands.pop()  # deep trees with long names: the rest comes when these are met
        key = keys.want_key(index)
        known: WantRecord | None = self.ctx.cache.by_kind[keys.WANT].get(str(index))
        soon = self.ctx.now_us < self.asked_again_us.get(index, 0) + RETRY_US
        if soon and record is not None and known is not None and _asks_for(record) == _asks_for(known):
            return  # only the amounts are others: holders give by halves of what idles anyway
        if known != record:
            self.asked_again_us[index] = self.ctx.now_us
            conditions = {**self.election.fencing_condition(index), key: self.ctx.cache.mod_revision(key)}
            self._write_once(key, conditions, record)

    @staticmethod
    def _beyond_pool(index: int, allocation: Allocation, lack: Amounts) -> Amounts:
        """The part of a lack that only other holders can meet."""
        pool = positive(allocation.pool())
        others = positive(add(add(allocation.total_in_force(), pool, -1), allocation.held(index), -1))
        return least(positive(add(lack, pool, -1)), others)

    def _wanted_entry(self, index: int, admission: ShardQuota, claim: UnmetDemand) -> Wanted | None:
        lacks: dict[str, list[int]] = {}
        for level in self.tree.capped[claim.team]:
            allocation = self.allocations.for_cap(level)
            wish = positive(add(add(admission.net_usage(level), claim.need), allocation.limit(index), -1))
            short = self._beyond_pool(index, allocation, wish)
            if any(short):
                lacks[allocation.key] = list(short)
        if not lacks:
            return None
        names = sorted(self.tree.levels[level].name for level in admission.guarantees_covering(claim.spec, claim.count))
        return Wanted(claim.team, list(claim.unit), lacks, claim.order, names)

    def _give_to_others(self, index: int, admission: ShardQuota) -> None:
        """Give other shards what this one holds and does not use, earliest claims first."""
        asking = {shard: record for shard, record in self.ctx.cache.by_kind[keys.WANT].items() if int(shard) != index}
        if not asking:
            return
        owner = self.election.fencing_condition(index)
        moves: list[tuple[Allocation, Move]] = []

        def give(shard: str, key: str, lack: Amounts, wanted: Wanted | None) -> tuple[int, Amounts] | None:
            """What is still lacking of a cap, and its level."""
            place = self.allocations.place(key)
            if place is None or len(moves) >= self._most():
                return None
            level, kind = place
            if kind == keys.OWN:
                allocation, used = self.allocations.for_guarantee(level), self._usage_and_demand(admission, level)
            else:
                # A claim of ours that comes first keeps what it needs; of two, only one can wait.
                allocation, used = self.allocations.for_cap(level), admission.usage.get(level, ZERO)
                for claim in admission.unmet_demands.values():
                    if (
                        wanted is not None
                        and level in self.tree.path(claim.team)
                        and self._comes_first(admission, claim, wanted)
                    ):
                        used = add(used, claim.need)
            # More than is asked for, where more is idle: so a burst costs few asks.
            spare = add(allocation.held(index), used, -1)
            more = [max(asked, idle // AHEAD) if asked else 0 for asked, idle in zip(lack, spare, strict=True)]
            move = allocation.give(index, int(shard), _four(more), used, owner)
            if move is not None:
                moves.append((allocation, move))
                lack = positive(add(lack, move.outgoing[index], -1))
                admission.release(wanted.order.job_id if wanted is not None else "", move.outgoing[index])
            return (level, lack) if kind == keys.CAP and any(lack) else None

        wants = [(wanted, shard) for shard, record in asking.items() for wanted in record.demands]
        for wanted, shard in sorted(wants, key=lambda w: w[0].order):
            left = [give(shard, key, _four(lack), wanted) for key, lack in wanted.shortfall.items()]
            rest = {level: least(lack, wanted.unit) for level, lack in (e for e in left if e is not None)}
            if rest and not wanted.order.without_machines and self._is_our_turn(index, int(shard), rest):
                self._make_room(admission, wanted, rest)
        for shard, record in asking.items():
            for key, lack in record.guarantees.items():
                give(shard, key, _four(lack), None)
        if moves:
            self._send(moves, Urgency.LAUNCH)

    def _comes_first(self, admission: ShardQuota, claim: UnmetDemand, wanted: Wanted) -> bool:
        """Which of two claims comes first, the same in every shard: a guarantee, then the order of claims."""
        parting = self.tree.parting(claim.team, wanted.team)
        if parting is not None:
            mine = parting[0] in admission.guarantees_covering(claim.spec, claim.count)
            theirs = self.tree.levels[parting[1]].name in wanted.covering_guarantees
            if mine != theirs:
                return mine
        return claim.order < wanted.order

    def _is_our_turn(self, index: int, asker: int, rest: dict[int, Amounts]) -> bool:
        """Holders are asked to stop work one after the other, the largest first: all at once is too much."""
        level = next(iter(rest))
        record = self.allocations.for_cap(level).record
        parts = record.parts if record is not None else {}
        holders = sorted((int(s) for s in parts if int(s) != asker), key=lambda s: (-max(parts[str(s)]), s))
        if index not in holders:
            return False
        turn = (self.ctx.now_us - self.asked_us.get(asker, self.ctx.now_us)) // (2 * ASK_US)
        return holders[turn % len(holders)] == index

    def _make_room(self, admission: ShardQuota, wanted: Wanted, rest: dict[int, Amounts]) -> None:
        """Borrowed work of this shard stops for the work of another one."""
        job = self.ctx.cache.job(wanted.order.job_id)
        if job is None or job.spec is None:
            return  # it is over, or not known here yet
        rests_on = {self.tree.by_name[name].index for name in wanted.covering_guarantees if name in self.tree.by_name}
        going = {
            level: positive(add(short, admission.stopping_usage.get(level, ZERO), -1)) for level, short in rest.items()
        }
        short = {level: amounts for level, amounts in going.items() if any(amounts)}
        if short:
            admission.forget_candidates()
            admission.make_room(RoomRequest(job.spec, 1, covering_guarantees=rests_on, shortfall=short))

    # The tree, and what follows from another one.

    def _tree_changed(self) -> None:
        record: TreeRecord | None = self.ctx.cache.by_kind[keys.TREE].get("")
        allocations = self.allocations
        allocations.newest_version = max(self.tree.version, record.version) if record is not None else self.tree.version
        other = record is not None and record.version == self.tree.version and record.digest != self.tree.digest
        allocations.tree_outdated = allocations.newest_version > self.tree.version or other
        trouble = (
            (
                f"the tree in force has version {allocations.newest_version}, that of the operators' file is "
                f"{self.tree.version}{' with other amounts: raise its version' if other else ''}; here nothing new "
                f"starts under levels that it has not confirmed"
            )
            if allocations.tree_outdated
            else ""
        )
        if trouble != self.trouble:
            log.error("%s", trouble or "the tree of the operators' file is the one in force")
            self.trouble = trouble
        self.refreshed = 0
        for shard in self.shards.values():
            shard.needs_placement = True

    def _write_tree(self) -> None:
        record = self.ctx.cache.by_kind[keys.TREE].get("")
        if self.admissions and (record is None or record.version < self.tree.version):
            self._write_once(
                keys.TREE_KEY,
                {keys.TREE_KEY: self.ctx.cache.mod_revision(keys.TREE_KEY)},
                TreeRecord(self.tree.version, self.tree.digest),
            )

    def _writing_shard(self) -> tuple[int, dict[str, int]] | None:
        """The shard in whose name this node writes what belongs to none."""
        index = min(self.admissions, default=None)
        return None if index is None else (index, self.election.fencing_condition(index))

    def _settle_moves(self) -> None:
        """Moves whose outcome is open are settled by writing the record again."""
        first = self._writing_shard()
        for allocation in list(self.unsettled)[: self._most()]:
            if allocation.move is None or not allocation.move.open:
                del self.unsettled[allocation]
            elif first is not None and (move := allocation.rewrite(first[1])) is not None:
                # Each on its own: what another one fails for says nothing of this one.
                self._send([(allocation, move)], Urgency.LAUNCH)

    def _refresh(self) -> None:
        """Records with the amounts of an older tree get ours, a few at a time, until none is found."""
        first, levels = self._writing_shard(), self.tree.levels
        if first is None or self.allocations.tree_outdated or self.refreshed >= len(levels):
            return
        moves: list[tuple[Allocation, Move]] = []
        grants = self.ctx.cache.by_kind[keys.GRANT]
        # Bound: the levels of the tree.
        while self.refreshed < len(levels) and len(moves) + 2 <= self._most():
            level = levels[self.refreshed]
            for kind, get in ((keys.CAP, self.allocations.for_cap), (keys.OWN, self.allocations.for_guarantee)):
                record = grants.get(keys.grant_name(level.name, kind))
                if record is not None and record.version < self.tree.version:
                    self.stale = True
                    move = get(level.index).rewrite(first[1])
                    if move is not None:
                        moves.append((get(level.index), move))
            self.refreshed += 1
        if self.refreshed >= len(levels) and self.stale:
            self.refreshed, self.stale = 0, False  # some may have failed: look again
        if moves:
            self._send(moves, Urgency.REST)

    def _return_exceeding(self, index: int, admission: ShardQuota) -> None:
        """Where more is held than a lowered cap, what is not used goes back; the rest drains, and is said."""
        moves: list[tuple[Allocation, Move]] = []
        self.logged_exceeded &= self.allocations.exceeded.keys()
        for name, level in sorted(self.allocations.exceeded.items()):
            allocation = self.allocations.by_name[name]
            over = positive(times(allocation.pool(), -1))
            if name not in self.logged_exceeded:
                self.logged_exceeded.add(name)
                log.info(
                    "%s is over its cap by %s: what runs goes on, nothing new starts",
                    self.tree.levels[level].name,
                    shown(over),
                )
            owner = self.election.fencing_condition(index)
            move = allocation.give(index, None, over, admission.usage.get(level, ZERO), owner)
            if move is not None:
                moves.append((allocation, move))
            if len(moves) == self._most():
                break
        if moves:
            self._send(moves, Urgency.REST)

    # What operators see.

    def answer(self, question: str, after: str) -> Any:
        return page(self.tree, self.allocations, self.admissions, after, self.trouble)


def _asks_for(record: WantRecord) -> list[tuple[str, list[str]]]:
    """Who asks, and of which purses."""
    return [(wanted.team, sorted(wanted.shortfall)) for wanted in record.demands]


def _four(values: Sequence[int]) -> Amounts:
    return (values[0], values[1], values[2], values[3])


def attach(tree: Tree) -> SubsystemFactory:
    """What a node needs to take the quotas in."""
    return lambda ctx, election, shards: AllocationManager(tree, ctx, election, shards)
