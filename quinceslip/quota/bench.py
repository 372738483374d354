"""One shard without a network: real placement and quotas, with machines that obey at once.

For `quinceslip quota bench` (what a pass costs) and for property tests. Times are wall-clock
microseconds of this machine; compare them within one run only.
"""

import time
import tracemalloc
from dataclasses import dataclass
from typing import Any

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.scheduling.placement import Placement
from quinceslip.coordination.shard.partition import JobPartition
from quinceslip.coordination.shard.state import ShardState
from quinceslip.coordination.shard.worker import Attempt, Worker
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Settings, Tuning
from quinceslip.quota.allocation import GrantRecord
from quinceslip.quota.allocation_manager import AllocationManager
from quinceslip.quota.allocations import CAP, GRANT, OWN, Allocations, grant_name
from quinceslip.quota.amounts import UNLIMITED, Amounts
from quinceslip.quota.shard_quota import ShardQuota
from quinceslip.quota.tree import Level, Tree
from quinceslip.storage import records

ZONE = "z"


class PermanentLeadership:
    """A shard that is ours for ever."""

    mod_revisions: dict[int, int] = {0: 0}

    def may_launch(self, shard: int | None = None) -> bool:
        return True

    def claim(self, shard: int, above: int = 0) -> None:
        pass


class Bed:
    """One shard that holds all of every level's amounts; `pass_` is one scheduling pass."""

    def __init__(self, tree: Tree | None, machines: int, cpus: float) -> None:
        teams = [{"name": name} for name in (tree.leaves if tree is not None else [])]
        facts = {
            "size": 1,
            "zones": [ZONE],
            "teams": teams,
            "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 35.0},
            "state": {"rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 8.0, "list_lag_s": 3.0},
        }
        settings = msgspec.convert(
            {
                "label": "one",
                "location": ZONE,
                "api_addr": "127.0.0.1:1",
                "peer_bind": "127.0.0.1:2",
                "facts": facts,
                "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
            },
            Settings,
        )
        self.ctx = Context(settings, Tuning(), SECOND, SECOND)
        rights: Any = PermanentLeadership()
        self.state = ShardState(self.ctx, rights, 0, 1)
        self.placement = Placement(self.state)
        self.admission: ShardQuota | None = None
        if tree is not None:
            self.ctx.cache.register_kind(AllocationManager.kinds)
            self.admission = self.state.quota = ShardQuota(tree, Allocations(tree, self.ctx.cache), self.state)
            for level in tree.levels:
                for kind, amounts, given in ((CAP, level.cap, level.capped), (OWN, level.guarantee, level.guaranteed)):
                    if given:
                        self._grant(grant_name(level.name, kind), amounts)
        size = m.MachineType("m", cpus, 0.0, 1e6, 1.0, 10.0, [ZONE])
        for number in range(machines):
            worker = Worker(
                f"n-{number}",
                size,
                ZONE,
                False,
                last_contact_us=SECOND,
                last_heartbeat_us=SECOND,
                fenced=True,
                registered=True,
            )
            self.state.workers[worker.name] = worker
        self.jobs = 0

    def _grant(self, name: str, amounts: Amounts) -> None:
        part = [a if a < UNLIMITED else 0 for a in amounts]
        total = [a if a < UNLIMITED else -1 for a in amounts]
        self.ctx.cache.store(f"{records.PREFIX}{GRANT}/{name}", GrantRecord(0, total, parts={"0": part}), 1)

    def submit(
        self, team: str, tasks: int, cpus: float = 1.0, priority_class: str = "normal", kind: str = "array"
    ) -> JobPartition:
        self.jobs += 1
        spec = m.JobSpec(
            job_id=f"req-{self.jobs}",
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
            estimate_s=1.0,
            checkpoint_s=0.0,
            save_s=0.0,
        )
        partition = JobPartition(spec.job_id, spec, submitted_us=self.jobs, assigned=set(range(tasks)))
        self.state.partitions[partition.job_id] = partition
        self.state.add_pending(partition, range(tasks))
        return partition

    def pass_(self) -> tuple[int, int]:
        """One pass: how many tasks started, and how many were told to stop. Machines obey at once."""
        self.state.needs_placement = True
        before = {a for w in self.state.workers.values() for a in w.attempts.values()}
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
                    attempt.observed, attempt.running_us = True, self.ctx.now_us
        return started, stopped

    def finish(self, attempt: Attempt) -> None:
        worker, partition = self.state.workers[attempt.worker], self.state.partitions[attempt.job_id]
        self.state.end_attempt(worker, attempt, m.CAUSE_DONE)
        partition.unrecorded_done.add(attempt.index)
        del partition.attempts[attempt.index]
        self.state.detach(worker, attempt.name)

    def running(self) -> list[Attempt]:
        return [a for w in self.state.workers.values() for a in w.attempts.values()]


@dataclass(slots=True)
class Cost:
    leaves: int
    machines: int
    first_us: int  # a pass that fills the fleet
    full_us: int  # a pass that finds the fleet full
    looked: int  # workers that the two looked at
    bytes_per_leaf: float


def measure(leaves: int, machines: int, with_tree: bool) -> Cost:
    """A pass with a job of every leaf waiting: one that fills the fleet, one that finds it full."""
    groups = max(1, leaves // 100)
    cap = (UNLIMITED,) * 4
    levels = [Level("root", cap=(machines * 16000, *cap[1:]))]
    levels += [Level(f"g{g}", "root", cap=(machines * 1600, *cap[1:])) for g in range(groups)]
    levels += [Level(f"t{i}", f"g{i % groups}", 1.0 + i % 3, (8000, *cap[1:]), team=True) for i in range(leaves)]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    tree = Tree(levels) if with_tree else None
    bed = Bed(tree, machines, 16.0)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    for i in range(leaves):
        bed.submit(f"t{i}", 4, 1.0)
    times_us = []
    for _ in range(2):
        started_ns = time.perf_counter_ns()
        bed.pass_()
        times_us.append((time.perf_counter_ns() - started_ns) // 1000)
    return Cost(leaves, machines, times_us[0], times_us[1], bed.placement.workers_examined, used / leaves)
