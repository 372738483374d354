"""Explores the grant protocol exhaustively, to a stated depth, with the service's own transitions.

One purse, some shards, some controllers. What is real: the purse's code (`grants.Allocation`, `may_start`), its
conditions and its guards. What is modelled: a state service that compares stamps, transactions that arrive
late or never and answers that are lost, views that lag, leases that end, takeovers, controllers that crash
and start again, and workers that obey no term lower than one they have seen. The property: the tasks that
are on machines never exceed the purse's total.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from quinceslip.quota.allocation import ALL_GUARDS, Allocation, GrantRecord, Move, MoveOutcome, may_start
from quinceslip.quota.amounts import UNLIMITED, Amounts

KEY = "purse"
UNIT: Amounts = (1, 0, 0, 0)
#: transactions on their way at the same time
MAX_OPEN_COMMANDS = 2
LATE, APPLIED, FAILED = 0, 1, 2
Frozen = tuple[object, ...]


#: every kind of step
STEPS = (
    "start",
    "end",
    "take",
    "give",
    "touch",
    "watch",
    "lapse",
    "claim",
    "resolve",
    "crash",
    "arrive",
    "answer",
    "give up",
)


def owner_key(shard: int) -> str:
    return f"shard {shard}"


@dataclass(slots=True)
class Right:
    """A controller's right to one shard, as it believes it."""

    mod_revision: int
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
class ModelController:
    allocation: Allocation
    revision: int = 0
    rights: dict[int, Right] = field(default_factory=dict)


class World:
    """One state; `actions` lists what may happen next, `act` makes it happen."""

    def __init__(self, shards: int, controllers: int, total: int, guards: frozenset[str]) -> None:
        self.size, self.total, self.guards = shards, total, guards
        self.revision = shards
        self.record: GrantRecord | None = None
        self.mod_revision = 0
        self.owner_revisions = [s + 1 for s in range(shards)]  # 0: the lease has ended
        self.there = [0] * shards
        self.shown = [s + 1 for s in range(shards)]  # the newest term that a shard's workers have seen
        self.flights: list[Flight] = []
        self.controllers = [ModelController(self._purse(), shards) for _ in range(controllers)]
        for s in range(shards):
            self.controllers[s].rights[s] = Right(s + 1, resolved=True)

    def grant_all(self) -> "World":
        """The same with everything granted to the first shard, as every controller knows."""
        self.revision += 1
        self.mod_revision = self.revision
        self.record = GrantRecord(1, [self.total, -1, -1, -1], parts={"0": [self.total, 0, 0, 0]})
        for controller in self.controllers:
            controller.revision = self.revision
            controller.allocation.record_changed(self.record, self.mod_revision)
        return self

    def _purse(self) -> Allocation:
        return Allocation(KEY, (self.total, UNLIMITED, UNLIMITED, UNLIMITED), 1, guards=self.guards)

    # What may happen.

    def actions(self) -> Iterator[tuple[str, int, int]]:
        for c, controller in enumerate(self.controllers):
            for s, right in controller.rights.items():
                caught_up = controller.revision >= right.mod_revision
                if (
                    may_start(right.resolved, caught_up, self.guards)
                    and right.used + 1 <= controller.allocation.limit(s)[0]
                    and self.shown[s] <= right.mod_revision
                ):
                    yield "start", c, s
                if len(self.flights) < MAX_OPEN_COMMANDS and may_start(right.resolved, caught_up, self.guards):
                    if controller.allocation.move is None:
                        yield "take", c, s
                        yield "give", c, s
                    elif controller.allocation.move.indeterminate:
                        yield "touch", c, s
                if not right.resolved and self.owner_revisions[s] == right.mod_revision:
                    yield "resolve", c, s
            if controller.revision < self.revision:
                yield "watch", c, 0
            if controller.rights:
                yield "crash", c, 0
        for s in range(self.size):
            if self.there[s]:
                yield "end", 0, s
            if self.owner_revisions[s]:
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
            self.owner_revisions[s] = 0
        elif what == "end":
            self.there[s] -= 1
            for controller in self.controllers:
                right = controller.rights.get(s)
                # Its owner hears of it; one that was deposed, or has not resolved, need not.
                if right is not None and right.resolved and right.mod_revision == self.shown[s]:
                    right.used -= 1
        elif what == "crash":
            # It starts again with a listing, and with none of the rights it had.
            for flight in self.flights:
                flight.heard = flight.heard or flight.controller == a
            self.controllers[a] = ModelController(self._purse(), self.revision)
            self.controllers[a].allocation.record_changed(self.record, self.mod_revision)
        else:
            self._controller(what, self.controllers[a], a, s)
        self.flights = [f for f in self.flights if f.outcome == LATE or not f.heard]

    def _controller(self, what: str, controller: ModelController, c: int, s: int) -> None:
        allocation = controller.allocation
        if what == "watch":
            controller.revision = self.revision
            allocation.record_changed(self.record, self.mod_revision)
            for shard in [n for n, r in controller.rights.items() if self.owner_revisions[n] != r.mod_revision]:
                del controller.rights[shard]
        elif what == "claim":
            self.revision += 1
            self.owner_revisions[s] = self.revision
            controller.rights[s] = Right(self.revision)
        elif what == "resolve":
            right = controller.rights[s]
            right.resolved, right.used, self.shown[s] = True, self.there[s], right.mod_revision
        elif what == "start":
            controller.rights[s].used += 1
            self.there[s] += 1
        else:
            right = controller.rights[s]
            owner = {owner_key(s): right.mod_revision}
            if what == "take":
                move = allocation.take(s, UNIT, owner)
            elif what == "give":
                move = allocation.give(s, (s + 1) % self.size, UNIT, (right.used, 0, 0, 0), owner)
            else:
                move = allocation.rewrite(owner)
            if move is not None:
                self.flights.append(Flight(c, move))

    def _flight(self, what: str, flight: Flight) -> None:
        move, allocation = flight.move, self.controllers[flight.controller].allocation
        if what == "arrive":
            now = {KEY: self.mod_revision} | {
                owner_key(s): mod_revision for s, mod_revision in enumerate(self.owner_revisions)
            }
            if all(now[key] == mod_revision for key, mod_revision in move.conditions.items()):
                self.revision += 1
                self.record, self.mod_revision, flight.outcome = move.record, self.revision, APPLIED
            else:
                flight.outcome = FAILED
        elif what == "answer":
            flight.heard = True
            if flight.outcome == APPLIED and allocation.mod_revision < self.mod_revision:
                # The answer names the ledger of the change: a newer record than what the view has.
                allocation.record_changed(self.record, self.mod_revision)
            allocation.move_ended(move, MoveOutcome.APPLIED if flight.outcome == APPLIED else MoveOutcome.FAILED)
        else:
            flight.heard = True
            allocation.move_ended(move, MoveOutcome.INDETERMINATE)

    # One name for states that differ only in how large their stamps are.

    def freeze(self) -> Frozen:
        mod_revisions = {0, self.revision, self.mod_revision, *self.owner_revisions, *self.shown}
        for controller in self.controllers:
            mod_revisions |= {
                controller.revision,
                controller.allocation.mod_revision,
                *(r.mod_revision for r in controller.rights.values()),
            }
            if controller.allocation.move is not None:
                mod_revisions |= set(controller.allocation.move.conditions.values())
        for flight in self.flights:
            mod_revisions |= set(flight.move.conditions.values())
        priority_class = {mod_revision: place for place, mod_revision in enumerate(sorted(mod_revisions))}

        def moved(move: Move | None) -> Frozen:
            if move is None:
                return ()
            return (
                _parts(move.record),
                tuple(sorted((k, priority_class[v]) for k, v in move.conditions.items())),
                tuple(sorted((s, a[0]) for s, a in move.outgoing.items())),
                move.indeterminate,
                move.resolves_earlier,
            )

        return (
            _parts(self.record),
            priority_class[self.mod_revision],
            priority_class[self.revision],
            tuple(priority_class[s] for s in self.owner_revisions),
            tuple(self.there),
            tuple(priority_class[s] for s in self.shown),
            tuple(
                (
                    f.controller,
                    moved(f.move),
                    f.outcome,
                    f.heard,
                    self.controllers[f.controller].allocation.move is f.move,
                )
                for f in self.flights
            ),
            tuple(
                (
                    _parts(c.allocation.record),
                    priority_class[c.allocation.mod_revision],
                    priority_class[c.revision],
                    moved(c.allocation.move),
                    tuple(sorted((s, priority_class[r.mod_revision], r.used, r.resolved) for s, r in c.rights.items())),
                )
                for c in self.controllers
            ),
        )

    def copy(self) -> "World":
        other = World.__new__(World)
        other.size, other.total, other.guards = self.size, self.total, self.guards
        other.revision, other.record, other.mod_revision = self.revision, self.record, self.mod_revision
        other.owner_revisions, other.there, other.shown = list(self.owner_revisions), list(self.there), list(self.shown)
        moves: dict[int, Move] = {}

        def moved(move: Move) -> Move:
            if id(move) not in moves:
                moves[id(move)] = Move(
                    move.record, move.conditions, move.outgoing, move.indeterminate, move.resolves_earlier
                )
            return moves[id(move)]

        other.flights = [Flight(f.controller, moved(f.move), f.outcome, f.heard) for f in self.flights]
        other.controllers = []
        for c in self.controllers:
            allocation = other._purse()
            allocation.record, allocation.mod_revision = c.allocation.record, c.allocation.mod_revision
            allocation.move = moved(c.allocation.move) if c.allocation.move is not None else None
            rights = {s: Right(r.mod_revision, r.used, r.resolved) for s, r in c.rights.items()}
            other.controllers.append(ModelController(allocation, c.revision, rights))
        return other


def _parts(record: GrantRecord | None) -> Frozen:
    return () if record is None else tuple((s, p[0]) for s, p in sorted(record.parts.items()))


@dataclass(slots=True)
class Result:
    states: int
    depth: int
    whole: bool  # every state within the depth was looked at
    breach: list[str]  # the steps to the first one found; empty: none


def explore(
    depth: int,
    shards: int = 2,
    controllers: int = 2,
    total: int = 1,
    without: str = "",
    most_states: int = 0,
    only: frozenset[str] = frozenset(),
) -> Result:
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
