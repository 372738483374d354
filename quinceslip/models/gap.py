"""Explores every history of a cancellation that the owner of a task cannot hear of, or could and not pass on.

What is real: the periods (`Timing`), what an owner may do (`LeaderElection.may_launch`, `LeaderElection.answering`)
and what its answers say (`CommandSender.orders`). What is modelled: one owner, one worker with a task that never ends
(it runs, or its launch is on its way and arrives when it likes within the session), and a peer that confirms a
cancellation at any moment. All of it in steps of one unit of time, in every order. Whoever plays against the service
decides whether a renewal or a watch is answered: one that is not may have been refused to the owner alone, lost, or
be part of an outage, after which each lease has its full time again, so the owner never loses its shard here. An open
watch may end with no more than what was when it was sent. Reports and answers are lost at will, and the owner ends
and is back at once without knowing its earlier contact.

Checked: no task of a cancelled job is on the worker once `cancel_s` is over, counted from the confirmation. The
search is exhaustive: ages beyond what matters count as one, so there is no bound in depth.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from types import SimpleNamespace
from typing import Any

import msgspec

from quinceslip.coordination.actor.timing import SECOND, Timing
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.reconciliation.commands import CommandSender
from quinceslip.coordination.reconciliation.reconciler import Reconciler
from quinceslip.coordination.shard.partition import JobPartition
from quinceslip.coordination.shard.worker import Attempt, Worker
from quinceslip.models.takeover import JOB_ID, SPEC, Found
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Settings
from quinceslip.storage.records import JobRecord

#: what `explore(without=...)` leaves out: the watch as proof of contact, that a proof counts from its sending, the
#: margins that the grace leaves, and what is said to workers within it
GUARDS = frozenset({"watch", "sent", "grace", "halts"})


@dataclass(frozen=True, slots=True)
class State:
    """Ages are in whole units; none grows beyond what matters (`Gap.oldest`)."""

    owner: int = 0  # since the last answered renewal was sent
    watch: int = 0  # since the last answered watch was sent
    asked: int = 0  # since the watch that is open was sent
    shows: bool = False  # that one was sent after the user was told
    told: int = -1  # since the user was told; -1 before
    knows: bool = False  # the owner, of the cancellation
    owns: bool = True
    lease: int = 0  # since the worker's last answered report was sent
    runs: bool = False
    flies: bool = True  # its launch is on its way

    @property
    def over(self) -> bool:
        return not self.runs and not self.flies


class Gap:
    """A lease and `cancel_s` of so many units."""

    def __init__(self, unit_us: int, lease: int, cancel: int, guards: frozenset[str]) -> None:
        self.unit_us, self.lease, self.cancel, self.guards = unit_us, lease, cancel, guards
        unit_s = unit_us / SECOND
        self.settings = msgspec.convert(
            {
                "label": "a",
                "location": "z",
                "api_addr": "10.0.0.1:1",
                "peer_bind": "10.0.0.1:2",
                "outside": {"cloud": "10.0.0.2:1", "state": "10.0.0.3:1"},
                "facts": {
                    "size": 1,
                    "zones": ["z"],
                    "cloud": {"rps": 4.0, "list_lag_s": 5.0},
                    "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 8},
                    "workers": {"report_s": unit_s / 2, "lease_s": lease * unit_s, "cancel_s": cancel * unit_s},
                },
            },
            Settings,
        )
        self.timing = Timing(self.settings)
        if "grace" not in guards:
            self.timing.grace_us += 2 * (self.timing.margin_us + unit_us)
        self.oldest = (self.timing.leader_lease_us + self.timing.grace_us) // unit_us + 2
        self.said: dict[tuple[bool, bool, bool], bool] = {}

    def rights(self, state: State) -> LeaderElection:
        """What the owner may do, of contacts that are so old."""
        now_us = 2 * self.oldest * self.unit_us
        job = JobRecord(m.CANCELLED if state.knows else m.QUEUED, 1)
        ctx: Any = SimpleNamespace(
            settings=self.settings,
            timing=self.timing,
            now_us=now_us,
            started_us=0,
            types={},
            cache=SimpleNamespace(job=lambda job_id: job),
        )
        found = LeaderElection(ctx, 0, lambda *_: None, lambda _: None)
        found.leader_lease, found.claiming = 1, True
        found.lease_sent_us = now_us - state.owner * self.unit_us
        found.watch_sent_us = now_us - (state.watch if "watch" in self.guards else state.owner) * self.unit_us
        return found

    def ends(self, rights: LeaderElection, state: State) -> bool:
        """Whether an answer to a report of now ends the task, or its launch that is on its way."""
        may_launch = rights.may_launch()
        key = (may_launch, state.knows, state.runs)
        if key not in self.said:
            owner = Reconciler(rights.ctx, rights, 0, 1)
            worker = owner.workers["w"] = Worker("w", None, "z", False, endpoint="w")
            worker.fencing_token = 1
            attempt = Attempt(JOB_ID, 0, 1, SPEC, "w", 0, observed=state.runs)
            attempt.stopping, attempt.unanswered_term = state.knows, 1
            owner.partitions[JOB_ID] = JobPartition(JOB_ID, SPEC, 0, assigned={0})
            owner.attach(worker, attempt)
            if state.runs:
                worker.reported_tasks = {attempt.name: m.TaskStatus(attempt.name, 1, m.RUNNING)}
            persistence: Any = SimpleNamespace(is_recorded=lambda a: True)
            command_sender = CommandSender(owner, persistence, lambda r, d: None)
            said = command_sender.commands_for(worker, may_launch) if may_launch or "halts" in self.guards else []
            self.said[key] = any(c.op == "halt" for c in said)
        return self.said[key]

    def passes(self, state: State) -> State:
        """One unit of time."""
        later = replace(
            state,
            owner=min(state.owner + 1, self.oldest),
            watch=min(state.watch + 1, self.oldest),
            asked=min(state.asked + 1, self.oldest),
            lease=state.lease + 1,
            told=state.told + 1 if state.told >= 0 else -1,
        )
        if later.lease > self.lease:
            return replace(later, lease=self.lease, runs=False, flies=False)  # the session is over
        return later

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """What may happen next, and what comes of it."""
        told = state.told >= 0
        if not told:
            yield "cancelled by a peer", replace(state, told=0)
        yield "renewal answered", replace(state, owner=0)
        # It shows all that was told before its answer, and proves contact from its sending; the next is sent at once.
        sent = state.asked if "sent" in self.guards else 0
        yield "watch answered", replace(state, watch=min(state.watch, sent), asked=0, shows=told, knows=told)
        yield (
            "open watch ends",
            replace(state, watch=min(state.watch, sent), asked=0, shows=told, knows=state.knows or state.shows),
        )
        yield (
            "back at once",
            replace(state, owner=self.oldest, watch=self.oldest, knows=False, owns=False, asked=0, shows=told),
        )
        rights = self.rights(state)
        if not state.owns and rights.may_launch():
            yield "claimed", replace(state, owns=True)
        if state.flies:
            yield "launch arrives", replace(state, flies=False, runs=True)
        if state.owns and rights.may_answer():
            ends = self.ends(rights, state)
            yield (
                "report answered",
                replace(state, lease=0, runs=state.runs and not ends, flies=state.flies and (state.runs or not ends)),
            )
        yield "time", self.passes(state)


def explore(without: str = "", unit_us: int = 1_500_000, lease: int = 4, cancel: int = 12) -> Found:
    """Every state that can be reached; the history of a breach is a shortest one.

    Raises ValueError for a guard that is none.
    """
    if without and without not in GUARDS:
        raise ValueError(f"no such guard: {without}; there are {', '.join(sorted(GUARDS))}")
    gap = Gap(unit_us, lease, cancel, GUARDS - {without})
    start = State()
    came: dict[State, tuple[State, str] | None] = {start: None}
    todo = deque([start])
    longest = 0
    # Bound: the states there are, since ages count up to a bound.
    while todo:
        state = todo.popleft()
        for what, after in gap.steps(state):
            if after in came or after.over:
                continue
            came[after] = (state, what)
            if after.told > cancel:
                history = _history(came, after)
                return Found(
                    len(came),
                    len(history),
                    f"the task is there {after.told} units after its user was told",
                    [(step, 0, 0) for step in history],
                )
            longest = max(longest, after.told)
            todo.append(after)
    return Found(len(came), longest)


def _history(came: dict[State, tuple[State, str] | None], state: State) -> list[str]:
    steps = []
    # Bound: the states on the way from the start.
    while (before := came[state]) is not None:
        steps.append(before[1])
        state = before[0]
    return steps[::-1]
