"""Lines that check a single component, without a simulated world."""

import tracemalloc
from typing import Any

import msgspec
import pytest

from quinceslip.coordination.actor.effects import (
    Call,
    Urgency,
)
from quinceslip.coordination.scheduling.deadline_order import order_by_deadline
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.protocol import messages as m
from quinceslip.storage import task_sets
from quinceslip.storage.cache import StoreCache
from quinceslip.storage.records import JobRecord
from quinceslip.transport.clients import ClientPool, RateLimiter
from tests.inputs import ROOT, bad_input
from tests.loopback import loopback
from tests.scenario.state import RunnerState
from tests.scenario.tools import undocumented_loops
from tests.simulation.clock import SECOND_US
from tests.simulation.inputs import job_spec


class ComponentChecks(RunnerState):
    """Lines that check a single component, without a simulated world."""

    def do_task_set(self, plain: list[str], named: dict[str, Any]) -> None:
        """task_set TEXT size=N: a stored set of tasks survives a round trip; a set of all odd numbers stays short"""
        numbers = task_sets.decode(plain[0])
        assert len(numbers) == named["size"]
        assert task_sets.decode(task_sets.encode(numbers)) == numbers
        odd = set(range(1, 100_000, 2))
        assert task_sets.decode(task_sets.encode(odd)) == odd
        assert len(task_sets.encode(odd)) < 16_000

    def do_deadline_order(self, plain: list[str], named: dict[str, Any]) -> None:
        """deadline_order CPUS_PER_S NAME:tasks:estimate:due,... late=NAME,...: which jobs of 2 CPUs are late"""
        partitions = []
        for place, part in enumerate(plain[1].split(",")):
            name, tasks, estimate, due = part.split(":")
            spec = msgspec.convert(job_spec("req-1", picks=int(tasks), expectS=float(estimate)), m.JobSpec)
            partition = JobPartition(
                name, spec, submitted_us=place, due_us=[int(float(due) * SECOND_US)] if due else []
            )
            for index in range(int(tasks)):
                partition.pending.push(index)
            partitions.append(partition)
        order_by_deadline(partitions, float(plain[0]), 0)
        late = {p.job_id for p in partitions if p.missed_due_times}
        assert late == set(str(named.get("late", "")).split(",")) - {""}, late

    def do_call_order(self, plain: list[str], named: dict[str, Any]) -> None:
        """call_order URGENCY...: queued calls to the key-value store are sent in order of urgency"""
        pool = ClientPool("test", 0, lambda answer: True, RateLimiter(1000.0, 1000.0, 1))
        for number, name in enumerate(plain):
            pool.submit(Call("", number, "POST", "/txn", None, 5_000_000, 1, Urgency[name]), "10.0.0.1:1")
        sent = [pool._next_call()[3].urgency for _ in plain]
        assert sent == sorted(sent), sent

    def do_call_budget(self, plain: list[str], named: dict[str, Any]) -> None:
        """call_budget SIZE: refusals reduce a controller's share of the call budget, but never below an equal share"""
        budget = RateLimiter(100.0, 20.0, int(plain[0]))
        for _ in range(40):
            budget.last_cut_us = 0
            budget.record_rejection()
        assert budget.share == pytest.approx(1 / int(plain[0]))

    def do_memory_per_job(self, plain: list[str], named: dict[str, Any]) -> None:
        """memory_per_job BYTES: upper bound of the memory that the store cache uses for each finished job"""
        cache, count = StoreCache(), 5000
        raw = msgspec.Raw(msgspec.json.encode(JobRecord("done", 40, done=40)))
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        cache.apply_changes([m.Event(n + 1, put=f"q/job/req-{n:06d}", value=raw) for n in range(count)], count)
        used = (tracemalloc.get_traced_memory()[0] - before) / count
        tracemalloc.stop()
        assert len(cache.by_kind["job"]) == count and used < float(plain[0]), used

    def do_bounded_loops(self, plain: list[str], named: dict[str, Any]) -> None:
        """bounded_loops PATTERN... [!PATTERN...]: each `while` loop and recursive function documents its bound

        A pattern that matches no file fails, so that moved files stay checked.
        """
        package = ROOT / "quinceslip"
        matches = {pattern: set(package.glob(pattern.lstrip("!"))) for pattern in plain}
        assert all(matches.values()), f"no file matches {[pattern for pattern, paths in matches.items() if not paths]}"
        excluded = set().union(*(paths for pattern, paths in matches.items() if pattern.startswith("!")))
        for path in sorted(set().union(*matches.values()) - excluded):
            text = path.read_text(encoding="utf-8")
            loops = undocumented_loops(text)
            assert not loops, f"{path.relative_to(package)}: no bound is documented at lines {loops}"
        assert undocumented_loops("x = 1\nwhile x:\n    x += 1\n") == [2]
        assert undocumented_loops("def f(x):\n    return f(x)\n") == [1]
        assert undocumented_loops("# Bound: x falls.\nwhile x:\n    x -= 1\n") == []

    def do_bad_input(self, plain: list[str], named: dict[str, Any]) -> None:
        """bad_input KIND: invalid input of that kind is rejected (tests/inputs.py)"""
        bad_input(plain[0])

    def do_loopback(self, plain: list[str], named: dict[str, Any]) -> None:
        """loopback: run one controller over real sockets (tests/loopback.py)"""
        loopback()
