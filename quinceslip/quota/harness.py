"""One in-process shard with the real placement and quota code, whose workers carry out commands immediately.

Used by `quinceslip quota bench` (`pass_cost.py`) and by property tests.
"""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.scheduling.placement import Placement
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Settings, Tuning
from quinceslip.quota.allocation_manager import AllocationManager
from quinceslip.quota.allocations import Allocations
from quinceslip.quota.amounts import UNLIMITED, Amounts
from quinceslip.quota.quota_records import AmountKind, GrantRecord, grant_key, grant_name
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.tree import Tree

ZONE = "z"


@dataclass(slots=True)
class PermanentLeadership:
    """A stand-in for the election: its leadership of the shard never ends."""

    mod_revisions: dict[int, int] = field(default_factory=lambda: {0: 0})

    def may_launch(self, shard: int | None = None) -> bool:
        """Return True: the leadership always holds."""
        return True

    def claim(self, shard: int, above: int = 0) -> None:
        """Do nothing: the shard is already led."""


class PassResult(NamedTuple):
    """The numbers of tasks that one scheduling pass started and stopped."""

    started: int
    stopped: int


class ShardHarness:
    """One shard that holds the whole cap and guarantee of every level; `run_pass` runs one scheduling pass."""

    def __init__(self, tree: Tree | None, machines: int, cpus: float) -> None:
        settings = _settings([] if tree is None else list(tree.leaves))
        self.ctx = Context(settings, Tuning(), SECOND, SECOND)
        leadership: Any = PermanentLeadership()
        self.state = ShardState(self.ctx, leadership, 0, 1)
        self.placement = Placement(self.state)
        if tree is not None:
            self.ctx.cache.register_kinds(AllocationManager.kinds)
            self.state.quota = ShardQuota(tree, Allocations(tree, self.ctx.cache), self.state)
            self._grant_all(tree)
        machine_type = m.MachineType("m", cpus, 0.0, 1e6, 1.0, 10.0, [ZONE])
        for number in range(machines):
            self._add_machine(f"n-{number}", machine_type)
        self.jobs = 0

    def _grant_all(self, tree: Tree) -> None:
        for level in tree.levels:
            if level.capped:
                self._grant(grant_name(level.name, AmountKind.CAP), level.cap)
            if level.guaranteed:
                self._grant(grant_name(level.name, AmountKind.GUARANTEE), level.guarantee)

    def _grant(self, name: str, amounts: Amounts) -> None:
        part = [amount if amount < UNLIMITED else 0 for amount in amounts]
        total = [amount if amount < UNLIMITED else -1 for amount in amounts]
        self.ctx.cache.store(grant_key(name), GrantRecord(0, total, parts={"0": part}), 1)

    def _add_machine(self, name: str, machine_type: m.MachineType) -> None:
        self.state.workers[name] = Worker(
            name,
            machine_type,
            ZONE,
            False,
            last_contact_us=SECOND,
            last_heartbeat_us=SECOND,
            fenced=True,
            registered=True,
        )

    def submit(
        self, team: str, tasks: int, cpus: float = 1.0, priority_class: str = "normal", kind: str = "array"
    ) -> JobPartition:
        """Add a job whose tasks wait for the next pass."""
        self.jobs += 1
        spec = _job_spec(f"req-{self.jobs}", team, tasks, cpus, priority_class, kind)
        partition = JobPartition(spec.job_id, spec, submitted_us=self.jobs, assigned=set(range(tasks)))
        self.state.partitions[partition.job_id] = partition
        self.state.add_pending(partition, range(tasks))
        return partition

    def run_pass(self) -> PassResult:
        """Run one scheduling pass; its commands take effect immediately."""
        self.state.needs_placement = True
        before = set(self.running())
        self.placement.place_waiting()
        started = stopped = 0
        for worker in self.state.workers.values():
            for attempt in list(worker.attempts.values()):
                if attempt.stopping:
                    stopped += 1
                    self.state.requeue(worker, attempt)
                    self.state.detach(worker, attempt.name)
                elif attempt not in before:
                    started += 1
                    attempt.observed, attempt.running_since_us = True, self.ctx.now_us
                    worker.attempts_changed()
        return PassResult(started, stopped)

    def finish(self, attempt: Attempt) -> None:
        """Record that an attempt completed successfully."""
        worker, partition = self.state.workers[attempt.worker], self.state.partitions[attempt.job_id]
        self.state.end_attempt(worker, attempt, m.CAUSE_DONE)
        partition.unrecorded_done.add(attempt.index)
        del partition.attempts[attempt.index]
        self.state.detach(worker, attempt.name)

    def running(self) -> list[Attempt]:
        """Return the attempts on all workers."""
        return [attempt for worker in self.state.workers.values() for attempt in worker.attempts.values()]


def _settings(teams: list[str]) -> Settings:
    facts = {
        "size": 1,
        "zones": [ZONE],
        "teams": [{"name": name} for name in teams],
        "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 35.0},
        "state": {"rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 8.0, "list_lag_s": 3.0},
    }
    settings = {
        "label": "one",
        "location": ZONE,
        "api_addr": "127.0.0.1:1",
        "peer_bind": "127.0.0.1:2",
        "facts": facts,
        "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
    }
    return msgspec.convert(settings, Settings)


def _job_spec(job_id: str, team: str, tasks: int, cpus: float, priority_class: str, kind: str) -> m.JobSpec:
    return m.JobSpec(
        job_id=job_id,
        job_class="c",
        team=team,
        kind=kind,  # type: ignore[arg-type]
        priority_class=priority_class,  # type: ignore[arg-type]
        tasks=tasks,
        cpus=cpus,
        gpus=0.0,
        memory_gb=0.0,
        image="i",
        image_gb=0.0,
        one_zone=False,
        spread=False,
        spot=True,
        estimated_run_s=1.0,
        checkpoint_interval_s=0.0,
        checkpoint_cost_s=0.0,
    )
