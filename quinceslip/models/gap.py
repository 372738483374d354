"""Model checker for a job cancellation that does not reach the task's leader, or that the leader cannot pass on.

Real code: the periods (`Timing`), the permissions of a leader (`LeaderElection.may_launch` and
`LeaderElection.may_answer`) and the contents of its answers (`CommandSender.commands_for`); see `gap_leader`. Modelled:
one leader, one worker with a task that never ends (it runs, or its launch is in flight and arrives at any time within
the epoch), and a peer that confirms a cancellation at any moment. Time advances in whole units, and events happen in
every order (`gap_steps`). The search decides whether a renewal or a watch is answered: an unanswered one may have been
refused to this leader alone, lost, or be part of an outage, after which every lease has its full duration again, so
the leader never loses its shard here. A pending watch may return only what was in the store when it was sent.
Heartbeats and answers may be lost at any time, and the leader may crash and restart immediately without a record of
its earlier contact.

Checked: no task of a cancelled job is on the worker later than `cancel_s` after the confirmation. The search is
exhaustive and has no depth limit, because ages are capped at the value beyond which they make no difference.
"""

from collections import deque

from quinceslip.models.gap_leader import ALL_CHECKS, GapLeader
from quinceslip.models.gap_state import GapState
from quinceslip.models.gap_steps import GapSteps
from quinceslip.models.result import SearchResult, Step, check_guard

#: default unit of time
UNIT_US = 1_500_000

#: the predecessor of each state on a shortest path, and the step from there; None for the initial state
Predecessors = dict[GapState, tuple[GapState, str] | None]


def explore(without: str = "", unit_us: int = UNIT_US, lease: int = 4, cancel: int = 12) -> SearchResult:
    """Explore all reachable states, breadth first, so that the history of a breach is a shortest one.

    `lease` (the worker's lease) and `cancel` (`cancel_s`) are in units of `unit_us`. The depth of the result is the
    longest time that the task remained after its cancellation. Raises ValueError if `without` names no safety check.
    """
    check_guard(without, ALL_CHECKS)
    steps = GapSteps(GapLeader(unit_us, lease, cancel, ALL_CHECKS - {without}), lease)
    start = GapState()
    predecessors: Predecessors = {start: None}
    unexplored = deque([start])
    longest_delay = 0
    # Bound: the number of states, which is finite because ages are capped.
    while unexplored:
        state = unexplored.popleft()
        for event, successor in steps.successors(state):
            if successor in predecessors or successor.task_ended:
                continue
            predecessors[successor] = (state, event)
            if successor.cancelled_age > cancel:
                return _breach(predecessors, successor)
            longest_delay = max(longest_delay, successor.cancelled_age)
            unexplored.append(successor)
    return SearchResult(len(predecessors), longest_delay)


def _breach(predecessors: Predecessors, state: GapState) -> SearchResult:
    history = _history(predecessors, state)
    text = f"the task is still there {state.cancelled_age} units after its cancellation was confirmed"
    return SearchResult(len(predecessors), len(history), text, history)


def _history(predecessors: Predecessors, state: GapState) -> list[Step]:
    """The steps from the initial state to `state`."""
    steps = []
    # Bound: the length of the path from the initial state.
    while (predecessor := predecessors[state]) is not None:
        state, event = predecessor
        steps.append(Step(event))
    return steps[::-1]
