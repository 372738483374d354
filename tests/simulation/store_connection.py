"""A controller's connection to the simulated key-value store: listings, watch and calls, with injected faults."""

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
#: time from a listing to the first answer of the watch, and from an answer with changes to the next one
WATCH_GAP_US = 80 * SECOND_US // 1000
#: time from an answer of the watch without changes to the next one
QUIET_WATCH_GAP_US = 150 * SECOND_US // 1000


class StoreConnection:
    """All traffic between one controller and the key-value store."""

    def __init__(self, controller: "SimulatedController") -> None:
        self.controller = controller
        self.world = controller.world
        self.cut = StoreCut()
        self.watch_hung_until_us = 0  # the watch stays open without events, while calls are answered

    # The watch.

    def list_all(self, incarnation: int) -> None:
        """List all records, then watch them from that revision; retries while the store can't be reached."""
        if incarnation != self.controller.incarnation:
            return
        store, now_us = self.world.store, self.world.now_us
        if not store.is_reachable(self.controller.label) or now_us < self.cut.until_us:
            self.world.after(RETRY_US, lambda: self.list_all(incarnation))
        elif store.page_gap_us:
            kinds = sorted({key.split("/")[1] for key in store.data})
            self._list_page(incarnation, kinds, [], store.revision, now_us)
        else:
            self._deliver_listing(incarnation, fx.StoreListing(self._items(), store.revision, now_us, store.revision))

    def _list_page(
        self, incarnation: int, kinds: list[str], items: list[m.Item], first_revision: int, requested_us: int
    ) -> None:
        """Read one page, which holds the records of one kind; only later pages show changes made in between.

        Bound: each page removes the first of `kinds`.
        """
        if incarnation != self.controller.incarnation:
            return
        store = self.world.store
        if not store.is_reachable(self.controller.label):
            self.list_all(incarnation)
            return
        items = items + self._items(kinds[0] if kinds else None)
        if kinds[1:]:
            next_page = (incarnation, kinds[1:], items, first_revision, requested_us)
            self.world.after(store.page_gap_us, lambda: self._list_page(*next_page))
            return
        self._deliver_listing(incarnation, fx.StoreListing(items, first_revision, requested_us, store.revision))

    def _items(self, kind: str | None = None) -> list[m.Item]:
        """All records, or those of one kind, sorted by key."""
        return [
            m.Item(key, msgspec.Raw(msgspec.json.encode(value)), mod_revision)
            for key, (value, mod_revision, _) in sorted(self.world.store.data.items())
            if kind is None or key.split("/")[1] == kind
        ]

    def _deliver_listing(self, incarnation: int, listing: fx.StoreListing) -> None:
        """Deliver a listing and start the watch from its revision; the first watch answer arrives after the listing."""
        controller, world = self.controller, self.world
        arrives_us, next_us = world.latency(), world.latency() + WATCH_GAP_US
        controller.write_trace(
            "in", "state", "listing", arrives_us, listing.revision, listing.last_page_revision, listing.items
        )
        world.after(arrives_us, lambda: controller.deliver(listing, incarnation))
        world.after(max(next_us, arrives_us + 1), lambda: self._watch(incarnation, listing.revision))

    def _watch(self, incarnation: int, since_revision: int) -> None:
        controller, world, store = self.controller, self.world, self.world.store
        if incarnation != controller.incarnation:
            return
        now_us = world.now_us
        if not store.is_reachable(controller.label) or now_us < max(self.watch_hung_until_us, self.cut.until_us):
            world.after(RETRY_US, lambda: self._watch(incarnation, since_revision))
            return
        events = [
            msgspec.convert({**event, "v": msgspec.Raw(msgspec.json.encode(event.get("v")))}, m.Event)
            for event in store.history
            if event["stamp"] > since_revision
        ]
        revision = store.revision
        arrives_us = world.latency()
        controller.write_trace("in", "state", "watch", arrives_us, revision, events)
        changes = fx.StoreChanges(events, revision, now_us)
        world.after(arrives_us, lambda: controller.deliver(changes, incarnation))
        # The next request follows this answer's arrival, so the watch delivers changes in order over slow links, too.
        gap_us = WATCH_GAP_US if events else QUIET_WATCH_GAP_US
        world.after(max(gap_us, arrives_us + 1), lambda: self._watch(incarnation, revision))

    # Calls.

    def call(self, call: fx.Call, body: Any, respond: Respond) -> None:
        """Execute a call to the store, subject to the first fault that applies to it."""
        for apply_fault in (
            self._apply_cut,
            self._apply_late_transaction,
            self._apply_lost_answer,
            self._apply_slow_answer,
        ):
            if apply_fault(call, body, respond):
                return
        self.world.after(self.world.latency(), lambda: respond(*self._execute(call, body)))

    def _execute(self, call: fx.Call, body: Any) -> tuple[int, Any]:
        return self.world.store.answer(self.controller.label, call.method, call.path, body)

    def _execute_despite_refusal(self, call: fx.Call, body: Any) -> None:
        """Execute a call that was in flight before a fault, even while the store refuses the controller."""
        self.world.store.answer("", call.method, call.path, body)

    def _time_out(self, call: fx.Call, respond: Respond) -> None:
        self.world.after(call.timeout_us, lambda: respond(fx.UNKNOWN, {}))

    def _apply_cut(self, call: fx.Call, body: Any, respond: Respond) -> bool:
        """Held: the call arrives when the cut ends, after its sender has timed out. Reset: it never arrives."""
        world, cut = self.world, self.cut
        if world.now_us >= cut.until_us:
            return False
        if cut.mode == "held":
            arrives_us = cut.until_us - world.now_us + world.latency()
            world.after(arrives_us, lambda: self._execute_despite_refusal(call, body))
            self._time_out(call, respond)
        else:
            world.after(world.latency(), lambda: respond(fx.UNKNOWN, {}))
        return True

    def _apply_late_transaction(self, call: fx.Call, body: Any, respond: Respond) -> bool:
        world = self.world
        late = world.store.late_transactions.get(self.controller.label, LateTransactions())
        if not self._draw_fault(call, late.until_us, late.share):
            return False
        delay_us = world.random.randint(late.min_delay_us, late.max_delay_us)
        world.after(delay_us, lambda: self._execute_despite_refusal(call, body))
        self._time_out(call, respond)
        return True

    def _apply_lost_answer(self, call: fx.Call, body: Any, respond: Respond) -> bool:
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
        if not self._draw_fault(call, lost.until_us, lost.share):
            return False
        store.answers_lost += 1
        world.after(world.latency(), lambda: self._execute(call, body))
        self._time_out(call, respond)
        return True

    def _apply_slow_answer(self, call: fx.Call, body: Any, respond: Respond) -> bool:
        """Delay the call and its answer at random; the sender times out after its usual timeout."""
        world = self.world
        slow = world.store.slow_answers.get(self.controller.label, SlowAnswers())
        if world.now_us >= slow.until_us:
            return False
        request_delay_us, answer_delay_us = (world.random.randint(0, slow.max_us // 2) for _ in range(2))

        def execute_and_answer() -> None:
            answer = self._execute(call, body)
            world.after(answer_delay_us, lambda: respond(*answer))

        world.after(request_delay_us + world.latency(), execute_and_answer)
        self._time_out(call, respond)
        return True

    def _draw_fault(self, call: fx.Call, until_us: int, share: float) -> bool:
        """Draw whether a fault affects this transaction; draws no random number once the fault is over."""
        if call.path != m.PATH_TXN or self.world.now_us >= until_us:
            return False
        return self.world.random.random() < share


def _is_hand_over(call: fx.Call, body: Any) -> bool:
    """Whether a call is a transaction that drops a shard's leader record."""
    if call.path != m.PATH_TXN:
        return False
    return any(change.get("drop", "").startswith("q/shard/") for change in body.get("then", []))
