"""Explores every history of a cancellation that a task's leader can't learn of, or could and not pass on to its worker.

Real: the periods (`Timing`), what a leader may do (`LeaderElection.may_launch`, `LeaderElection.may_answer`) and what
its answers say (`CommandSender.commands_for`); see `gap_leader`. Modelled: one leader, one worker with a task that
never ends (it runs, or its launch is in flight and arrives at any time within the epoch), and a peer that confirms a
cancellation at any moment. All of it in steps of one unit of time, in every order (`gap_steps`). The search decides
whether a renewal or a watch is answered: one that is not may have been refused to the leader alone, lost, or be part
of an outage, after which each lease has its full time again, so the leader never loses its shard here. An open watch
may end with no more than what was there when it was sent. Heartbeats and answers are lost at will, and the leader
crashes and is back at once without knowing its earlier contact.

Checked: no task of a cancelled job is on the worker once `cancel_s` is over, counted from the confirmation. The
search is exhaustive: ages beyond what matters count as one, so there is no bound in depth.
"""

from collections import deque

from quinceslip.models.gap_leader import ALL_CHECKS, GapLeader
from quinceslip.models.gap_state import GapState
from quinceslip.models.gap_steps import GapSteps
from quinceslip.models.result import SearchResult, Step, check_guard

#: the unit of time that the model is explored in by default
UNIT_US = 1_500_000

#: by state, the state and the step that led to it first; None for the start
Origins = dict[GapState, tuple[GapState, str] | None]


def explore(without: str = "", unit_us: int = UNIT_US, lease: int = 4, cancel: int = 12) -> SearchResult:
    """Every state that can be reached; the history of a breach is a shortest one.

    `lease` (of the worker) and `cancel` (`cancel_s`) are in units of `unit_us`. The depth of the result is the longest
    time that the task was there after its cancellation. Raises ValueError for a safety check `without` that does not
    exist.
    """
    check_guard(without, ALL_CHECKS)
    steps = GapSteps(GapLeader(unit_us, lease, cancel, ALL_CHECKS - {without}), lease)
    start = GapState()
    origins: Origins = {start: None}
    unexplored = deque([start])
    longest = 0
    # Bound: the states there are, since ages count up to a bound.
    while unexplored:
        state = unexplored.popleft()
        for event, next_record in steps.next_record(state):
            if next_record in origins or next_record.task_ended:
                continue
            origins[next_record] = (state, event)
            if next_record.cancelled_age > cancel:
                return _breach(origins, next_record)
            longest = max(longest, next_record.cancelled_age)
            unexplored.append(next_record)
    return SearchResult(len(origins), longest)


def _breach(origins: Origins, state: GapState) -> SearchResult:
    history = _history(origins, state)
    text = f"the task is there {state.cancelled_age} units after its user was told"
    return SearchResult(len(origins), len(history), text, history)


def _history(origins: Origins, state: GapState) -> list[Step]:
    """The steps from the start to a state."""
    steps = []
    # Bound: the states on the way from the start.
    while (origin := origins[state]) is not None:
        state, event = origin
        steps.append(Step(event))
    return steps[::-1]
