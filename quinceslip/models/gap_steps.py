"""Transitions of the cancellation model: the steps enabled in a state, and the states that they lead to."""

from collections.abc import Iterator
from dataclasses import replace
from enum import StrEnum

from quinceslip.models.gap_leader import CHECK_SENT, GapLeader
from quinceslip.models.gap_state import NOT_CANCELLED, GapState


class GapEvent(StrEnum):
    """Kinds of steps; the values are printed in histories."""

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
    """The transitions between states, for one leader and one worker."""

    def __init__(self, leader: GapLeader, lease: int) -> None:
        """Create the transitions for `leader` and a worker whose lease lasts `lease` units."""
        self.leader, self.lease = leader, lease

    def successors(self, state: GapState) -> Iterator[Transition]:
        """Yield every step enabled in `state`, with the state that it leads to."""
        if not state.cancelled:
            yield GapEvent.CANCELLED, replace(state, cancelled_age=0)
        yield GapEvent.RENEWAL_ANSWERED, replace(state, renewal_age=0)
        yield GapEvent.WATCH_ANSWERED, self._watch_answered(state, state.cancelled)
        # The watch may return only what was in the store when it was sent.
        is_known = state.cancellation_known or state.pending_watch_sees_cancellation
        yield GapEvent.WATCH_ENDS, self._watch_answered(state, is_known)
        yield GapEvent.RESTARTED, self._restarted(state)
        yield from self._leader_steps(state)
        yield GapEvent.TIME_PASSES, self._time_passes(state)

    def _leader_steps(self, state: GapState) -> Iterator[Transition]:
        election = self.leader.election(state)
        if not state.is_leader and election.may_launch():
            yield GapEvent.CLAIMED, replace(state, is_leader=True)
        if state.launch_in_flight:
            yield GapEvent.LAUNCH_ARRIVES, replace(state, launch_in_flight=False, running=True)
        if state.is_leader and election.may_answer():
            stops = self.leader.answer_stops_task(election, state)
            yield GapEvent.HEARTBEAT_ANSWERED, _heartbeat_answered(state, stops)

    def _watch_answered(self, state: GapState, cancellation_known: bool) -> GapState:
        """The watch is answered, which proves contact as of its sending; the next watch is sent at once."""
        age = state.pending_watch_age if CHECK_SENT in self.leader.checks else 0
        return replace(
            state,
            watch_age=min(state.watch_age, age),
            pending_watch_age=0,
            pending_watch_sees_cancellation=state.cancelled,
            cancellation_known=cancellation_known,
        )

    def _restarted(self, state: GapState) -> GapState:
        """The leader has crashed and restarted without a record of its earlier contact."""
        return replace(
            state,
            renewal_age=self.leader.max_age,
            watch_age=self.leader.max_age,
            pending_watch_age=0,
            pending_watch_sees_cancellation=state.cancelled,
            cancellation_known=False,
            is_leader=False,
        )

    def _time_passes(self, state: GapState) -> GapState:
        """One unit of time passes; the worker stops everything when its lease expires."""
        expired = state.worker_lease_age == self.lease
        return replace(
            state,
            renewal_age=self._next_age(state.renewal_age),
            watch_age=self._next_age(state.watch_age),
            pending_watch_age=self._next_age(state.pending_watch_age),
            cancelled_age=state.cancelled_age + 1 if state.cancelled else NOT_CANCELLED,
            worker_lease_age=self.lease if expired else state.worker_lease_age + 1,
            running=state.running and not expired,
            launch_in_flight=state.launch_in_flight and not expired,
        )

    def _next_age(self, age: int) -> int:
        return min(age + 1, self.leader.max_age)


def _heartbeat_answered(state: GapState, stops_task: bool) -> GapState:
    """The worker's lease is renewed; a launch in flight that has been stopped is dropped on arrival."""
    return replace(
        state,
        worker_lease_age=0,
        running=state.running and not stops_task,
        launch_in_flight=state.launch_in_flight and (state.running or not stops_task),
    )
