"""A controller's connection to the simulated key-value store: its listings, its watch and its calls, with faults."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from quinceslip.coordination.actor import effects as fx
from quinceslip.protocol import messages as m
from tests.simulation.clock import SECOND_US
from tests.simulation.faults import LateTransactions, LostAnswers, SlowAnswers, StoreCut

if TYPE_CHECKING:
    from tests.simulation.controller import SimulatedController

Respond = Callable[[int, Any], None]

RETRY_US = 300 * SECOND_US // 1000
#: from a listing to the first answer of the watch, and from one of its answers with changes to the next
WATCH_GAP_US = 80 * SECOND_US // 1000
#: from an answer of the watch without changes to the next
QUIET_WATCH_GAP_US = 150 * SECOND_US // 1000


class StoreConnection:
    """What passes between one controller and the key-value store."""

    def __init__(self, controller: "SimulatedController") -> None:
        self.controller = controller
        self.world = controller.world
        self.cut = StoreCut()
        self.watch_hung_until_us = 0  # the watch stays open and brings nothing, while all else is answered

    # The watch.

    def list_all(self, life: int) -> None:
        """Read all records and watch them from there on; again after a while where the store can't be reached."""
        if life != self.controller.incarnation:
            return
        store, now_us = self.world.store, self.world.now_us
        if not store.reachable(self.controller.label) or now_us < self.cut.until_us:
            self.world.after(RETRY_US, lambda: self.list_all(life))
        elif store.page_gap_us:
            kinds = sorted({key.split("/")[1] for key in store.data})
            self._list_page(life, kinds, [], store.revision, now_us)
        else:
            self._listed(life, fx.StoreListing(self._items(), store.revision, now_us, store.revision))

    def _list_page(self, life: int, kinds: list[str], items: list[m.Item], first: int, asked_us: int) -> None:
        """One kind of records is a page; what changes between two pages is seen in the later ones alone.

        Bound: each page is of the first of the kinds, which the next is without.
        """
        if life != self.controller.incarnation:
            return
        store = self.world.store
        if not store.reachable(self.controller.label):
            self.list_all(life)
            return
        items = items + self._items(kinds[0] if kinds else None)
        if kinds[1:]:
            next_page = (life, kinds[1:], items, first, asked_us)
            self.world.after(store.page_gap_us, lambda: self._list_page(*next_page))
            return
        self._listed(life, fx.StoreListing(items, first, asked_us, store.revision))

    def _items(self, kind: str | None = None) -> list[m.Item]:
        """Records in the order of their keys: all, or those of a kind."""
        return [
            m.Item(key, msgspec.Raw(msgspec.json.encode(value)), mod_revision)
            for key, (value, mod_revision, _) in sorted(self.world.store.data.items())
            if kind is None or key.split("/")[1] == kind
        ]

    def _listed(self, life: int, listing: fx.StoreListing) -> None:
        """A listing, and the watch from there on: what comes of one connection after another comes in order."""
        controller, world = self.controller, self.world
        arrives_us, next_us = world.latency(), world.latency() + WATCH_GAP_US
        controller.write_trace(
            "in", "state", "listing", arrives_us, listing.revision, listing.last_page_revision, listing.items
        )
        world.after(arrives_us, lambda: controller.deliver(listing, life))
        world.after(max(next_us, arrives_us + 1), lambda: self._watch(life, listing.revision))

    def _watch(self, life: int, since: int) -> None:
        controller, world, store = self.controller, self.world, self.world.store
        if life != controller.incarnation:
            return
        now_us = world.now_us
        if not store.reachable(controller.label) or now_us < max(self.watch_hung_until_us, self.cut.until_us):
            world.after(RETRY_US, lambda: self._watch(life, since))
            return
        events = [
            msgspec.convert({**event, "v": msgspec.Raw(msgspec.json.encode(event.get("v")))}, m.Event)
            for event in store.history
            if event["stamp"] > since
        ]
        revision = store.revision
        arrives_us = world.latency()
        controller.write_trace("in", "state", "watch", arrives_us, revision, events)
        changes = fx.StoreChanges(events, revision, now_us)
        world.after(arrives_us, lambda: controller.deliver(changes, life))
        # The next one is asked for when this one has come: over slow links, too, a watch brings changes in order.
        gap_us = WATCH_GAP_US if events else QUIET_WATCH_GAP_US
        world.after(max(gap_us, arrives_us + 1), lambda: self._watch(life, revision))

    # Calls.

    def call(self, call: fx.Call, body: Any, respond: Respond) -> None:
        """Carry a call to the store out, under the first fault that meets it."""
        for fault in (self._meets_cut, self._meets_late, self._meets_lost_answer, self._meets_slow):
            if fault(call, body, respond):
                return
        self.world.after(self.world.latency(), lambda: respond(*self._carry_out(call, body)))

    def _carry_out(self, call: fx.Call, body: Any) -> tuple[int, Any]:
        return self.world.store.answer(self.controller.label, call.method, call.path, body)

    def _carry_out_afterwards(self, call: fx.Call, body: Any) -> None:
        """What was on its way before an interruption is carried out also while the store refuses the controller."""
        self.world.store.answer("", call.method, call.path, body)

    def _time_out(self, call: fx.Call, respond: Respond) -> None:
        self.world.after(call.timeout_us, lambda: respond(fx.UNKNOWN, {}))

    def _meets_cut(self, call: fx.Call, body: Any, respond: Respond) -> bool:
        """Held: it arrives when the cut ends, and its sender has given up. Reset: it never does."""
        world, cut = self.world, self.cut
        if world.now_us >= cut.until_us:
            return False
        if cut.mode == "held":
            arrives_us = cut.until_us - world.now_us + world.latency()
            world.after(arrives_us, lambda: self._carry_out_afterwards(call, body))
            self._time_out(call, respond)
        else:
            world.after(world.latency(), lambda: respond(fx.UNKNOWN, {}))
        return True

    def _meets_late(self, call: fx.Call, body: Any, respond: Respond) -> bool:
        world = self.world
        late = world.store.late_transactions.get(self.controller.label, LateTransactions())
        if not self._is_drawn(call, late.until_us, late.share):
            return False
        delay_us = world.random.randint(late.min_delay_us, late.max_delay_us)
        world.after(delay_us, lambda: self._carry_out_afterwards(call, body))
        self._time_out(call, respond)
        return True

    def _meets_lost_answer(self, call: fx.Call, body: Any, respond: Respond) -> bool:
        world, store, label = self.world, self.world.store, self.controller.label
        lost = store.lost_transaction_answers.get(label, LostAnswers())
        if label in store.lost_hand_overs and _is_hand_over(call, body):
            hand_over = store.lost_hand_overs.pop(label)
            self.watch_hung_until_us = world.now_us + hand_over.watch_hung_us
            world.hand_over_lost_us = world.now_us
            if hand_over.is_dropped:
                self._time_out(call, respond)
                return True
            lost = LostAnswers(world.now_us + 1, 1.0)
        if not self._is_drawn(call, lost.until_us, lost.share):
            return False
        store.answers_lost += 1
        world.after(world.latency(), lambda: self._carry_out(call, body))
        self._time_out(call, respond)
        return True

    def _meets_slow(self, call: fx.Call, body: Any, respond: Respond) -> bool:
        """It waits before it is carried out and after; its sender gives up in between."""
        world = self.world
        slow = world.store.slow_answers.get(self.controller.label, SlowAnswers())
        if world.now_us >= slow.until_us:
            return False
        there_us, back_us = (world.random.randint(0, slow.max_us // 2) for _ in range(2))

        def arrives() -> None:
            answer = self._carry_out(call, body)
            world.after(back_us, lambda: respond(*answer))

        world.after(there_us + world.latency(), arrives)
        self._time_out(call, respond)
        return True

    def _is_drawn(self, call: fx.Call, until_us: int, share: float) -> bool:
        """Whether a transaction is among the share that a fault meets; draws only while the fault lasts."""
        if call.path != m.PATH_TXN or self.world.now_us >= until_us:
            return False
        return self.world.random.random() < share


def _is_hand_over(call: fx.Call, body: Any) -> bool:
    """Whether a call is a transaction that drops the record of a shard's leader."""
    if call.path != m.PATH_TXN:
        return False
    return any(change.get("drop", "").startswith("q/shard/") for change in body.get("then", []))
