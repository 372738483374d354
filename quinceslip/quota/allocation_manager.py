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

from quinceslip.coordination.actor.context import SECOND, Context
from quinceslip.coordination.actor.effects import NOT_SENT, Urgency
from quinceslip.coordination.actor.subsystem import Maker, Subsystem
from quinceslip.coordination.leadership.election import Ownership
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m
from quinceslip.quota import allocations as keys
from quinceslip.quota.admission import Claim, Gate
from quinceslip.quota.allocation import GrantRecord, Move, Purse
from quinceslip.quota.allocations import Purses, TreeRecord, Wanted, WantRecord
from quinceslip.quota.status_page import page
from quinceslip.quota.tree import ZERO, Amounts, Tree, add, least, positive, shown, times

log = logging.getLogger(__name__)

#: a shard takes from the pools no more often than this
TAKE_US = SECOND // 10
#: asks, answers them, and settles no more often than this
ASK_US = SECOND // 2
#: a want record of which only the amounts change is not written again so soon
AGAIN_US = 2 * SECOND
#: claims in one want record; the rest come when these are met
MOST_CLAIMS = 8
#: what is taken or given at once beyond what is asked: this part of an equal share, or of what is idle
AHEAD = 2


class Quotas(Subsystem):
    kinds = {keys.GRANT: GrantRecord, keys.WANT: WantRecord, keys.TREE: TreeRecord}
    questions = ("quota",)

    def __init__(self, tree: Tree, ctx: Context, ownership: Ownership, shards: dict[int, Shard]) -> None:
        self.tree = tree
        self.ctx = ctx
        self.ownership = ownership
        self.shards = shards
        self.purses = Purses(tree, ctx.view)
        self.admissions: dict[int, Gate] = {}
        self.next_take_us: dict[int, int] = {}
        self.next_ask_us = 0
        self.asked_us: dict[int, int] = {}  # shards whose want record this node knows, since when
        self.asked_again_us: dict[int, int] = {}  # when an owned shard last wrote its want record
        self.unsettled: dict[Purse, None] = {}  # with a move whose outcome is open
        self.guaranteed = {level.index for level in tree.levels if level.guaranteed}
        self.writing: set[str] = set()  # keys of want and tree records on their way
        self.logged_exceeded: set[str] = set()  # levels that are over their cap, as the log has them
        self.refreshed = 0  # how far levels were looked through for amounts of an older tree
        self.stale = False  # some such record was found
        self.trouble = ""

    # What happens.

    def shard_gained(self, shard: Shard) -> None:
        self.admissions[shard.index] = shard.quota = Gate(self.tree, self.purses, shard)

    def shard_lost(self, index: int) -> None:
        self.admissions.pop(index, None)

    def record_changed(self, kind: str, name: str) -> None:
        if kind == keys.GRANT:
            self.purses.changed(name)
            for shard in self.shards.values():
                shard.needs_placement = True
        elif kind == keys.WANT:
            if name in self.ctx.view.by_kind[keys.WANT]:
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
        for index, gate in self.admissions.items():
            if (gate.unmet_demands or gate.demand) and now_us >= self.next_take_us.get(index, 0) and gate.usage_known():
                self.next_take_us[index] = now_us + TAKE_US
                self._take_from_pools(index, gate)

    def tick(self) -> None:
        now_us = self.ctx.now_us
        if now_us < self.next_ask_us or not self.ownership.entitled() or not self.ctx.view.synced:
            return
        self.next_ask_us = now_us + ASK_US
        self._write_tree()
        self._settle_moves()
        self._refresh()
        for index, gate in self.admissions.items():
            if gate.usage_known():
                self._return_exceeding(index, gate)
                self._give_to_others(index, gate)
                self._publish_shortfalls(index, gate)

    # Writing.

    def _send(self, moves: list[tuple[Purse, Move]], urgency: Urgency) -> None:
        """One transaction for several purses; each knows what came of its part."""
        conditions = {k: stamp for _, move in moves for k, stamp in move.conditions.items()}
        puts: dict[str, tuple[Any, int | None]] = {purse.key: (move.record, None) for purse, move in moves}

        def done(status: int, failed: list[str]) -> None:
            certain = status in (200, 409, 429, 503, 400, NOT_SENT)
            outcome = "applied" if status == 200 else "failed" if certain else "open"
            log.debug("grants of %s: %s", ", ".join(f"{p.key} {made.record.parts}" for p, made in moves), outcome)
            for purse, move in moves:
                self.purses.changed(purse.key.split("/", 2)[2])
                purse.answered(move, outcome)
                if purse.move is not None and purse.move.open:
                    self.unsettled[purse] = None
            for shard in self.shards.values():
                shard.needs_placement = True

        self.ctx.txn(conditions, puts, [], done, urgency)

    def _write_once(self, key: str, conditions: dict[str, int], value: Any) -> None:
        """A record of its own: at most one write of it at a time; None drops it."""
        if key in self.writing:
            return
        self.writing.add(key)

        def done(status: int, failed: list[str]) -> None:
            self.writing.discard(key)

        self.ctx.txn(conditions, {} if value is None else {key: (value, None)}, [key] if value is None else [],
                     done, Urgency.REST)

    def _most(self) -> int:
        return self.ctx.limits.txn_ops

    # Taking from the pools.

    def _cap_shortfalls(self, index: int, gate: Gate) -> dict[Purse, Amounts]:
        """By purse of a cap, what the shard lacks for its claims."""
        found: dict[int, Amounts] = {}
        for claim in sorted(gate.unmet_demands.values(), key=lambda c: c.order):
            for level in reversed(self.tree.capped[claim.team]):
                found[level] = add(found.get(level, gate.net_usage(level)), claim.need)
        lacks = {}
        for level, wish in found.items():
            purse = self.purses.for_cap(level)
            lacks[purse] = positive(add(least(wish, purse.total_in_force()), purse.limit(index), -1))
        return lacks

    def _guarantee_shortfalls(self, index: int, gate: Gate) -> dict[Purse, Amounts]:
        """By purse of a guarantee, how much more of it the shard's running and waiting work could rest on.

        Where nobody else has work there and nothing is short, no guarantee is needed and none is moved.
        """
        lacks = {}
        for level in sorted(self.guaranteed & (gate.usage.keys() | gate.demand.keys())):
            if not gate.unmet_demands and all(level in self.tree.path(team) for team in gate.teams):
                continue
            purse = self.purses.for_guarantee(level)
            lack = positive(add(least(self._usage_and_demand(gate, level), purse.total_in_force()), purse.limit(index), -1))
            if any(lack):
                lacks[purse] = lack
        return lacks

    @staticmethod
    def _usage_and_demand(gate: Gate, level: int) -> Amounts:
        return add(gate.net_usage(level), gate.demand.get(level, ZERO))

    def _take_from_pools(self, index: int, gate: Gate) -> None:
        """Take what is short from the pools, and somewhat ahead, in one transaction."""
        if self.purses.tree_outdated:
            return  # an older tree may be wrong about what there is to take
        moves: list[tuple[Purse, Move]] = []
        owner = self.ownership.fencing_condition(index)
        part = self.ctx.settings.facts.size * AHEAD
        for purse, wish in [*self._cap_shortfalls(index, gate).items(), *self._guarantee_shortfalls(index, gate).items()]:
            pool = positive(purse.pool())
            more = [max(w, p // part) if w else 0 for w, p in zip(wish, pool, strict=True)]
            move = purse.take(index, (more[0], more[1], more[2], more[3]), owner)
            if move is not None:
                moves.append((purse, move))
            if len(moves) == self._most():
                break
        if moves:
            self._send(moves, Urgency.LAUNCH)  # launches wait for it

    # Asking and giving.

    def _publish_shortfalls(self, index: int, gate: Gate) -> None:
        """Say durably what the pools lack; the record goes when nothing is wanted any more."""
        claims = [self._wanted_entry(index, gate, claim) for claim in sorted(gate.unmet_demands.values(), key=lambda c: c.order)]
        wanted = [w for w in claims if w is not None][:MOST_CLAIMS]
        own = {purse.key: list(short) for purse, lack in self._guarantee_shortfalls(index, gate).items()
               if any(short := self._beyond_pool(index, purse, lack))}
        record = WantRecord(wanted, dict(list(own.items())[:MOST_CLAIMS])) if wanted or own else None
        most_bytes = self.ctx.limits.value_kb * 1000
        # Bound: the claims; each turn drops one.
        while record is not None and record.claims and len(msgspec.json.encode(record)) > most_bytes:
            record.claims.pop()  # deep trees with long names: the rest comes when these are met
        key = keys.want_key(index)
        known: WantRecord | None = self.ctx.view.by_kind[keys.WANT].get(str(index))
        soon = self.ctx.now_us < self.asked_again_us.get(index, 0) + AGAIN_US
        if soon and record is not None and known is not None and _asks_for(record) == _asks_for(known):
            return  # only the amounts are others: holders give by halves of what idles anyway
        if known != record:
            self.asked_again_us[index] = self.ctx.now_us
            conditions = {**self.ownership.fencing_condition(index), key: self.ctx.view.stamp(key)}
            self._write_once(key, conditions, record)

    @staticmethod
    def _beyond_pool(index: int, purse: Purse, lack: Amounts) -> Amounts:
        """The part of a lack that only other holders can meet."""
        pool = positive(purse.pool())
        others = positive(add(add(purse.total_in_force(), pool, -1), purse.held(index), -1))
        return least(positive(add(lack, pool, -1)), others)

    def _wanted_entry(self, index: int, gate: Gate, claim: Claim) -> Wanted | None:
        lacks: dict[str, list[int]] = {}
        for level in self.tree.capped[claim.team]:
            purse = self.purses.for_cap(level)
            wish = positive(add(add(gate.net_usage(level), claim.need), purse.limit(index), -1))
            short = self._beyond_pool(index, purse, wish)
            if any(short):
                lacks[purse.key] = list(short)
        if not lacks:
            return None
        names = sorted(self.tree.levels[level].name for level in gate.guarantees_covering(claim.spec, claim.count))
        return Wanted(claim.team, list(claim.unit), lacks, claim.order, names)

    def _give_to_others(self, index: int, gate: Gate) -> None:
        """Give other shards what this one holds and does not use, earliest claims first."""
        asking = {shard: record for shard, record in self.ctx.view.by_kind[keys.WANT].items() if int(shard) != index}
        if not asking:
            return
        owner = self.ownership.fencing_condition(index)
        moves: list[tuple[Purse, Move]] = []

        def give(shard: str, key: str, lack: Amounts, wanted: Wanted | None) -> tuple[int, Amounts] | None:
            """What is still lacking of a cap, and its level."""
            place = self.purses.place(key)
            if place is None or len(moves) >= self._most():
                return None
            level, kind = place
            if kind == keys.OWN:
                purse, used = self.purses.for_guarantee(level), self._usage_and_demand(gate, level)
            else:
                # A claim of ours that comes first keeps what it needs; of two, only one can wait.
                purse, used = self.purses.for_cap(level), gate.usage.get(level, ZERO)
                for claim in gate.unmet_demands.values():
                    if wanted is not None and level in self.tree.path(claim.team) and \
                            self._comes_first(gate, claim, wanted):
                        used = add(used, claim.need)
            # More than is asked for, where more is idle: so a burst costs few asks.
            spare = add(purse.held(index), used, -1)
            more = [max(asked, idle // AHEAD) if asked else 0 for asked, idle in zip(lack, spare, strict=True)]
            move = purse.give(index, int(shard), _four(more), used, owner)
            if move is not None:
                moves.append((purse, move))
                lack = positive(add(lack, move.outgoing[index], -1))
                gate.release(wanted.order[3] if wanted is not None else "", move.outgoing[index])
            return (level, lack) if kind == keys.CAP and any(lack) else None

        wants = [(wanted, shard) for shard, record in asking.items() for wanted in record.claims]
        for wanted, shard in sorted(wants, key=lambda w: w[0].order):
            left = [give(shard, key, _four(lack), wanted) for key, lack in wanted.lacks.items()]
            rest = {level: least(lack, wanted.unit) for level, lack in (e for e in left if e is not None)}
            if rest and not wanted.order[0] and self._is_our_turn(index, int(shard), rest):
                self._make_room(gate, wanted, rest)
        for shard, record in asking.items():
            for key, lack in record.own.items():
                give(shard, key, _four(lack), None)
        if moves:
            self._send(moves, Urgency.LAUNCH)

    def _comes_first(self, gate: Gate, claim: Claim, wanted: Wanted) -> bool:
        """Which of two claims comes first, the same in every shard: a guarantee, then the order of claims."""
        parting = self.tree.parting(claim.team, wanted.team)
        if parting is not None:
            mine = parting[0] in gate.guarantees_covering(claim.spec, claim.count)
            theirs = self.tree.levels[parting[1]].name in wanted.rests_on
            if mine != theirs:
                return mine
        return claim.order < wanted.order

    def _is_our_turn(self, index: int, asker: int, rest: dict[int, Amounts]) -> bool:
        """Holders are asked to stop work one after the other, the largest first: all at once is too much."""
        level = next(iter(rest))
        record = self.purses.for_cap(level).record
        parts = record.parts if record is not None else {}
        holders = sorted((int(s) for s in parts if int(s) != asker), key=lambda s: (-max(parts[str(s)]), s))
        if index not in holders:
            return False
        turn = (self.ctx.now_us - self.asked_us.get(asker, self.ctx.now_us)) // (2 * ASK_US)
        return holders[turn % len(holders)] == index

    def _make_room(self, gate: Gate, wanted: Wanted, rest: dict[int, Amounts]) -> None:
        """Borrowed work of this shard stops for the work of another one."""
        job = self.ctx.view.job(wanted.order[3])
        if job is None or job.spec is None:
            return  # it is over, or not known here yet
        rests_on = {self.tree.by_name[name].index for name in wanted.rests_on if name in self.tree.by_name}
        going = {level: positive(add(short, gate.stopping_usage.get(level, ZERO), -1)) for level, short in rest.items()}
        short = {level: amounts for level, amounts in going.items() if any(amounts)}
        if short:
            gate.victims = None
            gate.make_room(job.spec, 1, 1, rests_on, short)

    # The tree, and what follows from another one.

    def _tree_changed(self) -> None:
        record: TreeRecord | None = self.ctx.view.by_kind[keys.TREE].get("")
        purses = self.purses
        purses.newest_version = max(self.tree.version, record.version) if record is not None else self.tree.version
        other = record is not None and record.version == self.tree.version and record.digest != self.tree.digest
        purses.tree_outdated = purses.newest_version > self.tree.version or other
        trouble = (f"the tree in force has version {purses.newest_version}, that of the operators' file is "
                   f"{self.tree.version}{' with other amounts: raise its version' if other else ''}; here nothing new "
                   f"starts under levels that it has not confirmed") if purses.tree_outdated else ""
        if trouble != self.trouble:
            log.error("%s", trouble or "the tree of the operators' file is the one in force")
            self.trouble = trouble
        self.refreshed = 0
        for shard in self.shards.values():
            shard.needs_placement = True

    def _write_tree(self) -> None:
        record = self.ctx.view.by_kind[keys.TREE].get("")
        if self.admissions and (record is None or record.version < self.tree.version):
            self._write_once(keys.TREE_KEY, {keys.TREE_KEY: self.ctx.view.stamp(keys.TREE_KEY)},
                             TreeRecord(self.tree.version, self.tree.digest))

    def _writing_shard(self) -> tuple[int, dict[str, int]] | None:
        """The shard in whose name this node writes what belongs to none."""
        index = min(self.admissions, default=None)
        return None if index is None else (index, self.ownership.fencing_condition(index))

    def _settle_moves(self) -> None:
        """Moves whose outcome is open are settled by writing the record again."""
        first = self._writing_shard()
        for purse in list(self.unsettled)[:self._most()]:
            if purse.move is None or not purse.move.open:
                del self.unsettled[purse]
            elif first is not None and (move := purse.rewrite(first[1])) is not None:
                # Each on its own: what another one fails for says nothing of this one.
                self._send([(purse, move)], Urgency.LAUNCH)

    def _refresh(self) -> None:
        """Records with the amounts of an older tree get ours, a few at a time, until none is found."""
        first, levels = self._writing_shard(), self.tree.levels
        if first is None or self.purses.tree_outdated or self.refreshed >= len(levels):
            return
        moves: list[tuple[Purse, Move]] = []
        grants = self.ctx.view.by_kind[keys.GRANT]
        # Bound: the levels of the tree.
        while self.refreshed < len(levels) and len(moves) + 2 <= self._most():
            level = levels[self.refreshed]
            for kind, get in ((keys.CAP, self.purses.for_cap), (keys.OWN, self.purses.for_guarantee)):
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

    def _return_exceeding(self, index: int, gate: Gate) -> None:
        """Where more is held than a lowered cap, what is not used goes back; the rest drains, and is said."""
        moves: list[tuple[Purse, Move]] = []
        self.logged_exceeded &= self.purses.exceeded.keys()
        for name, level in sorted(self.purses.exceeded.items()):
            purse = self.purses.by_name[name]
            over = positive(times(purse.pool(), -1))
            if name not in self.logged_exceeded:
                self.logged_exceeded.add(name)
                log.info("%s is over its cap by %s: what runs goes on, nothing new starts",
                         self.tree.levels[level].name, shown(over))
            owner = self.ownership.fencing_condition(index)
            move = purse.give(index, None, over, gate.usage.get(level, ZERO), owner)
            if move is not None:
                moves.append((purse, move))
            if len(moves) == self._most():
                break
        if moves:
            self._send(moves, Urgency.REST)

    # What operators see.

    def answer(self, question: str, after: str) -> Any:
        return page(self.tree, self.purses, self.admissions, after, self.trouble)


def _asks_for(record: WantRecord) -> list[tuple[str, list[str]]]:
    """Who asks, and of which purses."""
    return [(wanted.team, sorted(wanted.lacks)) for wanted in record.claims]


def _four(values: Sequence[int]) -> Amounts:
    return (values[0], values[1], values[2], values[3])


def attach(tree: Tree) -> Maker:
    """What a node needs to take the quotas in."""
    return lambda ctx, ownership, shards: Quotas(tree, ctx, ownership, shards)
