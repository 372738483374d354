"""The leader of the gap model: the service's own code, given the age of the leader's contacts with the store."""

from types import SimpleNamespace
from typing import Any, NamedTuple

import msgspec

from quinceslip.coordination.actor.timing import SECOND, Timing
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.reconciliation.commands import CommandSender
from quinceslip.coordination.reconciliation.reconciler import Reconciler
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.models.gap_state import GapState
from quinceslip.models.job import JOB_ID, SPEC
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Settings
from quinceslip.storage.records import JobRecord

#: an answered watch counts as contact with the store, as a renewal does
CHECK_WATCH = "watch"
#: the age of a contact counts from the sending of the request, not from its answer
CHECK_SENT = "sent"
#: the grace period is short enough to leave safety margins
CHECK_GRACE = "grace"
#: workers are sent stop commands within the grace period
CHECK_HALTS = "halts"
#: the safety checks that `explore(without=...)` can disable, one at a time
ALL_CHECKS = frozenset({CHECK_WATCH, CHECK_SENT, CHECK_GRACE, CHECK_HALTS})

SHARD = 0
TERM = 1
WORKER = "w"


class _AnswerCase(NamedTuple):
    """The inputs that determine the answer to a heartbeat."""

    may_launch: bool
    cancellation_known: bool
    running: bool


class GapLeader:
    """The leader of the task, for a given worker lease and `cancel_s`, both in units of time."""

    def __init__(self, unit_us: int, lease: int, cancel: int, checks: frozenset[str]) -> None:
        """Create a leader with only the safety checks `checks` enabled."""
        self.unit_us, self.checks = unit_us, checks
        self.settings = _settings(unit_us / SECOND, lease, cancel)
        self.timing = Timing(self.settings)
        if CHECK_GRACE not in checks:
            self.timing.grace_us += 2 * (self.timing.margin_us + unit_us)
        #: age, in units, from which a contact with the store no longer permits anything
        self.max_age = (self.timing.leader_lease_us + self.timing.grace_us) // unit_us + 2
        self._stops_task: dict[_AnswerCase, bool] = {}

    def election(self, state: GapState) -> LeaderElection:
        """An election whose contacts with the store are as old as in `state`."""
        now_us = 2 * self.max_age * self.unit_us
        job = JobRecord(m.CANCELLED if state.cancellation_known else m.QUEUED, 1)
        ctx: Any = SimpleNamespace(
            settings=self.settings,
            timing=self.timing,
            now_us=now_us,
            started_us=0,
            machine_types={},
            cache=SimpleNamespace(job=lambda job_id: job),
        )
        election = LeaderElection(ctx, SHARD, lambda *_: None, lambda _: None)
        election.led_shards.write_pending = True
        watch_age = state.watch_age if CHECK_WATCH in self.checks else state.renewal_age
        election.lease.lease_id = 1
        election.lease.renewal_sent_us = now_us - state.renewal_age * self.unit_us
        election.lease.watch_sent_us = now_us - watch_age * self.unit_us
        return election

    def answer_stops_task(self, election: LeaderElection, state: GapState) -> bool:
        """Whether the answer to a heartbeat received now stops the task, or its launch in flight."""
        case = _AnswerCase(election.may_launch(), state.cancellation_known, state.running)
        if case not in self._stops_task:
            sends_commands = case.may_launch or CHECK_HALTS in self.checks
            commands = self._commands_for(election, case) if sends_commands else []
            self._stops_task[case] = any(command.op == "halt" for command in commands)
        return self._stops_task[case]

    def _commands_for(self, election: LeaderElection, case: _AnswerCase) -> list[m.Command]:
        reconciler = Reconciler(election.ctx, election, SHARD, TERM)
        worker = Worker(WORKER, None, "z", False, endpoint=WORKER, fencing_token=TERM)
        reconciler.workers[WORKER] = worker
        attempt = Attempt(JOB_ID, 0, 1, SPEC, WORKER, 0, observed=case.running)
        attempt.stopping = case.cancellation_known
        attempt.unanswered_call_token = TERM
        reconciler.partitions[JOB_ID] = JobPartition(JOB_ID, SPEC, SHARD, assigned={0})
        reconciler.attach(worker, attempt)
        if case.running:
            worker.reported_tasks = {attempt.name: m.TaskStatus(attempt.name, 1, m.RUNNING)}
        persistence: Any = SimpleNamespace(is_recorded=lambda attempt: True)
        sender = CommandSender(reconciler, persistence, lambda heartbeat, direct: None)
        return sender.commands_for(worker, case.may_launch)


def _settings(unit_s: float, lease: int, cancel: int) -> Settings:
    return msgspec.convert(
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
