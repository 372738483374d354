"""Explores the grant protocol exhaustively, to a stated depth, with the service's own transitions.

One purse, some shards, some controllers. What is real: the purse's code (`grants.Purse`, `may_start`), its
conditions and its guards. What is modelled: a state service that compares stamps, transactions that arrive
late or never and answers that are lost, views that lag, leases that end, takeovers, controllers that crash
and start again, and workers that obey no term lower than one they have seen. The property: the tasks that
are on machines never exceed the purse's total.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from quinceslip.quota.allocation import ALL_GUARDS, GrantRecord, Move, Purse, may_start
from quinceslip.quota.tree import UNLIMITED, Amounts

KEY = "purse"
UNIT: Amounts = (1, 0, 0, 0)
#: transactions on their way at the same time
MOST_FLYING = 2
LATE, APPLIED, FAILED = 0, 1, 2
Frozen = tuple[object, ...]


#: every kind of step
STEPS = ("start", "end", "take", "give", "touch", "watch", "lapse", "claim", "resolve", "crash", "arrive", "answer",
         "give up")


def owner_key(shard: int) -> str:
    return f"shard {shard}"


@dataclass(slots=True)
class Right:
    """A controller's right to one shard, as it believes it."""

    stamp: int
    used: int = 0
    resolved: bool = False


@dataclass(slots=True)
class Flight:
    """A transaction and what has become of it."""

    controller: int
    move: Move
    outcome: int = LATE
    heard: bool = False  # the controller has given up on the answer


@dataclass(slots=True)
class Controller:
    purse: Purse
    ledger: int = 0
    rights: dict[int, Right] = field(default_factory=dict)


class World:
    """One state; `actions` lists what may happen next, `act` makes it happen."""

    def __init__(self, shards: int, controllers: int, total: int, guards: frozenset[str]) -> None:
        self.size, self.total, self.guards = shards, total, guards
        self.ledger = shards
        self.record: GrantRecord | None = None
        self.stamp = 0
        self.owner_stamps = [s + 1 for s in range(shards)]  # 0: the lease has ended
        self.there = [0] * shards
        self.shown = [s + 1 for s in range(shards)]  # the newest term that a shard's workers have seen
        self.flights: list[Flight] = []
        self.controllers = [Controller(self._purse(), shards) for _ in range(controllers)]
        for s in range(shards):
            self.controllers[s].rights[s] = Right(s + 1, resolved=True)

    def grant_all(self) -> "World":
        """The same with everything granted to the first shard, as every controller knows."""
        self.ledger += 1
        self.stamp = self.ledger
        self.record = GrantRecord(1, [self.total, -1, -1, -1], parts={"0": [self.total, 0, 0, 0]})
        for controller in self.controllers:
            controller.ledger = self.ledger
            controller.purse.record_changed(self.record, self.stamp)
        return self

    def _purse(self) -> Purse:
        return Purse(KEY, (self.total, UNLIMITED, UNLIMITED, UNLIMITED), 1, guards=self.guards)

    # What may happen.

    def actions(self) -> Iterator[tuple[str, int, int]]:
        for c, controller in enumerate(self.controllers):
            for s, right in controller.rights.items():
                caught_up = controller.ledger >= right.stamp
                if may_start(right.resolved, caught_up, self.guards) and \
                        right.used + 1 <= controller.purse.limit(s)[0] and self.shown[s] <= right.stamp:
                    yield "start", c, s
                if len(self.flights) < MOST_FLYING and may_start(right.resolved, caught_up, self.guards):
                    if controller.purse.move is None:
                        yield "take", c, s
                        yield "give", c, s
                    elif controller.purse.move.open:
                        yield "touch", c, s
                if not right.resolved and self.owner_stamps[s] == right.stamp:
                    yield "resolve", c, s
            if controller.ledger < self.ledger:
                yield "watch", c, 0
            if controller.rights:
                yield "crash", c, 0
        for s in range(self.size):
            if self.there[s]:
                yield "end", 0, s
            if self.owner_stamps[s]:
                yield "lapse", 0, s
            else:
                for c, controller in enumerate(self.controllers):
                    if s not in controller.rights:
                        yield "claim", c, s
        for f, flight in enumerate(self.flights):
            if flight.outcome == LATE:
                yield "arrive", f, 0
            elif not flight.heard:
                yield "answer", f, 0
            if not flight.heard:
                yield "give up", f, 0

    # What happens.

    def act(self, what: str, a: int, s: int) -> None:
        if what in ("arrive", "answer", "give up"):
            self._flight(what, self.flights[a])
        elif what == "lapse":
            self.owner_stamps[s] = 0
        elif what == "end":
            self.there[s] -= 1
            for controller in self.controllers:
                right = controller.rights.get(s)
                # Its owner hears of it; one that was deposed, or has not resolved, need not.
                if right is not None and right.resolved and right.stamp == self.shown[s]:
                    right.used -= 1
        elif what == "crash":
            # It starts again with a listing, and with none of the rights it had.
            for flight in self.flights:
                flight.heard = flight.heard or flight.controller == a
            self.controllers[a] = Controller(self._purse(), self.ledger)
            self.controllers[a].purse.record_changed(self.record, self.stamp)
        else:
            self._controller(what, self.controllers[a], a, s)
        self.flights = [f for f in self.flights if f.outcome == LATE or not f.heard]

    def _controller(self, what: str, controller: Controller, c: int, s: int) -> None:
        purse = controller.purse
        if what == "watch":
            controller.ledger = self.ledger
            purse.record_changed(self.record, self.stamp)
            for shard in [n for n, r in controller.rights.items() if self.owner_stamps[n] != r.stamp]:
                del controller.rights[shard]
        elif what == "claim":
            self.ledger += 1
            self.owner_stamps[s] = self.ledger
            controller.rights[s] = Right(self.ledger)
        elif what == "resolve":
            right = controller.rights[s]
            right.resolved, right.used, self.shown[s] = True, self.there[s], right.stamp
        elif what == "start":
            controller.rights[s].used += 1
            self.there[s] += 1
        else:
            right = controller.rights[s]
            owner = {owner_key(s): right.stamp}
            if what == "take":
                move = purse.take(s, UNIT, owner)
            elif what == "give":
                move = purse.give(s, (s + 1) % self.size, UNIT, (right.used, 0, 0, 0), owner)
            else:
                move = purse.rewrite(owner)
            if move is not None:
                self.flights.append(Flight(c, move))

    def _flight(self, what: str, flight: Flight) -> None:
        move, purse = flight.move, self.controllers[flight.controller].purse
        if what == "arrive":
            now = {KEY: self.stamp} | {owner_key(s): stamp for s, stamp in enumerate(self.owner_stamps)}
            if all(now[key] == stamp for key, stamp in move.conditions.items()):
                self.ledger += 1
                self.record, self.stamp, flight.outcome = move.record, self.ledger, APPLIED
            else:
                flight.outcome = FAILED
        elif what == "answer":
            flight.heard = True
            if flight.outcome == APPLIED and purse.stamp < self.stamp:
                # The answer names the ledger of the change: a newer record than what the view has.
                purse.record_changed(self.record, self.stamp)
            purse.answered(move, "applied" if flight.outcome == APPLIED else "failed")
        else:
            flight.heard = True
            purse.answered(move, "open")

    # One name for states that differ only in how large their stamps are.

    def freeze(self) -> Frozen:
        stamps = {0, self.ledger, self.stamp, *self.owner_stamps, *self.shown}
        for controller in self.controllers:
            stamps |= {controller.ledger, controller.purse.stamp, *(r.stamp for r in controller.rights.values())}
            if controller.purse.move is not None:
                stamps |= set(controller.purse.move.conditions.values())
        for flight in self.flights:
            stamps |= set(flight.move.conditions.values())
        rank = {stamp: place for place, stamp in enumerate(sorted(stamps))}

        def moved(move: Move | None) -> Frozen:
            if move is None:
                return ()
            return (_parts(move.record), tuple(sorted((k, rank[v]) for k, v in move.conditions.items())),
                    tuple(sorted((s, a[0]) for s, a in move.outgoing.items())), move.open, move.settles)

        return (
            _parts(self.record), rank[self.stamp], rank[self.ledger], tuple(rank[s] for s in self.owner_stamps),
            tuple(self.there), tuple(rank[s] for s in self.shown),
            tuple((f.controller, moved(f.move), f.outcome, f.heard,
                   self.controllers[f.controller].purse.move is f.move) for f in self.flights),
            tuple((_parts(c.purse.record), rank[c.purse.stamp], rank[c.ledger], moved(c.purse.move),
                   tuple(sorted((s, rank[r.stamp], r.used, r.resolved) for s, r in c.rights.items())))
                  for c in self.controllers))

    def copy(self) -> "World":
        other = World.__new__(World)
        other.size, other.total, other.guards = self.size, self.total, self.guards
        other.ledger, other.record, other.stamp = self.ledger, self.record, self.stamp
        other.owner_stamps, other.there, other.shown = list(self.owner_stamps), list(self.there), list(self.shown)
        moves: dict[int, Move] = {}

        def moved(move: Move) -> Move:
            if id(move) not in moves:
                moves[id(move)] = Move(move.record, move.conditions, move.outgoing, move.open, move.settles)
            return moves[id(move)]

        other.flights = [Flight(f.controller, moved(f.move), f.outcome, f.heard) for f in self.flights]
        other.controllers = []
        for c in self.controllers:
            purse = other._purse()
            purse.record, purse.stamp = c.purse.record, c.purse.stamp
            purse.move = moved(c.purse.move) if c.purse.move is not None else None
            rights = {s: Right(r.stamp, r.used, r.resolved) for s, r in c.rights.items()}
            other.controllers.append(Controller(purse, c.ledger, rights))
        return other


def _parts(record: GrantRecord | None) -> Frozen:
    return () if record is None else tuple((s, p[0]) for s, p in sorted(record.parts.items()))


@dataclass(slots=True)
class Result:
    states: int
    depth: int
    whole: bool  # every state within the depth was looked at
    breach: list[str]  # the steps to the first one found; empty: none


def explore(depth: int, shards: int = 2, controllers: int = 2, total: int = 1, without: str = "",
            most_states: int = 0, only: frozenset[str] = frozenset()) -> Result:
    """Breadth first, so that a breach comes with its shortest history.

    Begins with nothing granted and with everything granted to one shard, at once. `only` leaves other
    kinds of steps out, which reaches deeper.
    """
    guards = ALL_GUARDS - {without}
    firsts = [World(shards, controllers, total, guards), World(shards, controllers, total, guards).grant_all()]
    came: dict[Frozen, tuple[Frozen, str] | None] = {first.freeze(): None for first in firsts}
    queue = deque([(first, first.freeze(), 0) for first in firsts])
    reached = 0
    while queue:
        world, name, steps = queue.popleft()
        reached = steps
        if steps == depth:
            continue
        for what, a, s in list(world.actions()):
            if only and what not in only:
                continue
            after = world.copy()
            after.act(what, a, s)
            frozen = after.freeze()
            if frozen in came:
                continue
            came[frozen] = (name, f"{what} {a}{f' shard {s}' if what not in QUIET else ''}")
            if sum(after.there) > total:
                return Result(len(came), steps + 1, False, _history(came, frozen))
            if most_states and len(came) >= most_states:
                return Result(len(came), steps, False, [])
            queue.append((after, frozen, steps + 1))
    return Result(len(came), reached, True, [])


#: what concerns no shard in particular
QUIET = ("watch", "crash", "arrive", "answer", "give up")


def _history(came: dict[Frozen, tuple[Frozen, str] | None], last: Frozen) -> list[str]:
    steps: list[str] = []
    place = came[last]
    while place is not None:
        steps.append(place[1])
        place = came[place[0]]
    return steps[::-1]
