"""What may happen next in the model of a cancellation, and what state it leads to."""

from collections.abc import Iterator
from dataclasses import replace
from enum import StrEnum

from quinceslip.models.gap_leader import CHECK_SENT, GapLeader
from quinceslip.models.gap_state import NOT_CANCELLED, GapState


class GapEvent(StrEnum):
    """The kinds of steps, as they are printed."""

    CANCELLED = "cancelled by a peer"
    RENEWAL_ANSWERED = "renewal answered"
    WATCH_ANSWERED = "watch answered"
    WATCH_ENDS = "open watch ends"
    RESTARTED = "back at once"
    CLAIMED = "claimed"
    LAUNCH_ARRIVES = "launch arrives"
    HEARTBEAT_ANSWERED = "report answered"
    TIME_PASSES = "time"


Transition = tuple[GapEvent, GapState]


class GapSteps:
    """The transitions between states, for one leader and a lease of its worker of so many units."""

    def __init__(self, leader: GapLeader, lease: int) -> None:
        """Steps of `leader` and a worker whose lease has `lease` units."""
        self.leader, self.lease = leader, lease

    def next_record(self, state: GapState) -> Iterator[Transition]:
        """Every step that may happen next, with the state that it leads to."""
        if not state.cancelled:
            yield GapEvent.CANCELLED, replace(state, cancelled_age=0)
        yield GapEvent.RENEWAL_ANSWERED, replace(state, renewal_age=0)
        yield GapEvent.WATCH_ANSWERED, self._watch_answered(state, state.cancelled)
        # It may end with no more than what was there when it was sent.
        seen = state.cancellation_known or state.open_watch_shows_cancellation
        yield GapEvent.WATCH_ENDS, self._watch_answered(state, seen)
        yield GapEvent.RESTARTED, self._restarted(state)
        yield from self._leader_steps(state)
        yield GapEvent.TIME_PASSES, self._time_passes(state)

    def _leader_steps(self, state: GapState) -> Iterator[Transition]:
        election = self.leader.election(state)
        if not state.leads and election.may_launch():
            yield GapEvent.CLAIMED, replace(state, leads=True)
        if state.launch_in_flight:
            yield GapEvent.LAUNCH_ARRIVES, replace(state, launch_in_flight=False, running=True)
        if state.leads and election.may_answer():
            stops = self.leader.answer_stops_task(election, state)
            yield GapEvent.HEARTBEAT_ANSWERED, _heartbeat_answered(state, stops)

    def _watch_answered(self, state: GapState, cancellation_known: bool) -> GapState:
        """An answer to the watch proves contact from its sending; the next watch is sent at once."""
        age = state.open_watch_age if CHECK_SENT in self.leader.checks else 0
        return replace(
            state,
            watch_age=min(state.watch_age, age),
            open_watch_age=0,
            open_watch_shows_cancellation=state.cancelled,
            cancellation_known=cancellation_known,
        )

    def _restarted(self, state: GapState) -> GapState:
        """The leader has crashed and is back; it knows nothing of its earlier contact."""
        return replace(
            state,
            renewal_age=self.leader.max_age,
            watch_age=self.leader.max_age,
            open_watch_age=0,
            open_watch_shows_cancellation=state.cancelled,
            cancellation_known=False,
            leads=False,
        )

    def _time_passes(self, state: GapState) -> GapState:
        """One unit of time; the worker stops everything when its lease runs out."""
        expired = state.worker_lease_age == self.lease
        return replace(
            state,
            renewal_age=self._older(state.renewal_age),
            watch_age=self._older(state.watch_age),
            open_watch_age=self._older(state.open_watch_age),
            cancelled_age=state.cancelled_age + 1 if state.cancelled else NOT_CANCELLED,
            worker_lease_age=self.lease if expired else state.worker_lease_age + 1,
            running=state.running and not expired,
            launch_in_flight=state.launch_in_flight and not expired,
        )

    def _older(self, age: int) -> int:
        return min(age + 1, self.leader.max_age)


def _heartbeat_answered(state: GapState, stops_task: bool) -> GapState:
    """The worker's lease is renewed; a launch in flight that was to be stopped is dropped when it arrives."""
    return replace(
        state,
        worker_lease_age=0,
        running=state.running and not stops_task,
        launch_in_flight=state.launch_in_flight and (state.running or not stops_task),
    )
