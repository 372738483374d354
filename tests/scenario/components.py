"""Lines that check one component by itself, without a world."""

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
from tests.scenario.tools import unbounded
from tests.simulation.clock import SECOND_US
from tests.simulation.inputs import job_spec


class ComponentChecks(RunnerState):
    """Lines that check one component by itself, without a world."""

    def do_set(self, plain: list[str], named: dict[str, Any]) -> None:
        """set TEXT size=N: a stored set of tasks is read, and written as it was; odd numbers stay short"""
        numbers = task_sets.decode(plain[0])
        assert len(numbers) == named["size"]
        assert task_sets.decode(task_sets.encode(numbers)) == numbers
        odd = set(range(1, 100_000, 2))
        assert task_sets.decode(task_sets.encode(odd)) == odd
        assert len(task_sets.encode(odd)) < 16_000

    def do_foresee(self, plain: list[str], named: dict[str, Any]) -> None:
        """foresee CPUS_PER_S NAME:tasks:estimate:due,... late=NAME,...: jobs of 2 CPUs that are put back"""
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
        found = {c.job_id for c in partitions if c.missed_due_times}
        assert found == set(str(named.get("late", "")).split(",")) - {""}, found

    def do_urgency(self, plain: list[str], named: dict[str, Any]) -> None:
        """urgency NAME...: calls to the key-value store come out in the order of their urgency"""
        pool = ClientPool("test", 0, lambda answer: True, RateLimiter(1000.0, 1000.0, 1))
        for number, name in enumerate(plain):
            pool.submit(Call("", number, "POST", "/txn", None, 5_000_000, 1, Urgency[name]), "10.0.0.1:1")
        out = [pool._next_call()[3].urgency for _ in plain]
        assert out == sorted(out), out

    def do_budget(self, plain: list[str], named: dict[str, Any]) -> None:
        """budget SIZE: refusals shrink a controller's share, but never below an equal part"""
        budget = RateLimiter(100.0, 20.0, int(plain[0]))
        for _ in range(40):
            budget.last_cut_us = 0
            budget.record_rejection()
        assert budget.share == pytest.approx(1 / int(plain[0]))

    def do_memory_per_job(self, plain: list[str], named: dict[str, Any]) -> None:
        """memory_per_job BYTES: what a view keeps of a job that is over"""
        cache, count = StoreCache(), 5000
        raw = msgspec.Raw(msgspec.json.encode(JobRecord("done", 40, done=40)))
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        cache.apply_changes([m.Event(n + 1, put=f"q/job/req-{n:06d}", value=raw) for n in range(count)], count)
        used = (tracemalloc.get_traced_memory()[0] - before) / count
        tracemalloc.stop()
        assert len(cache.by_kind["job"]) == count and used < float(plain[0]), used

    def do_bounded_loops(self, plain: list[str], named: dict[str, Any]) -> None:
        """bounded_loops PATTERN... [!PATTERN...]: each `while` and each function that calls itself says what bounds it

        A pattern that matches no file fails, so that moved files stay checked.
        """
        package = ROOT / "quinceslip"
        matches = {pattern: set(package.glob(pattern.lstrip("!"))) for pattern in plain}
        assert all(matches.values()), f"no file matches {[pattern for pattern, paths in matches.items() if not paths]}"
        left_out = set().union(*(paths for pattern, paths in matches.items() if pattern.startswith("!")))
        for path in sorted(set().union(*matches.values()) - left_out):
            text = path.read_text(encoding="utf-8")
            loops = unbounded(text)
            assert not loops, f"{path.relative_to(package)}: no bound is said at {loops}"
        assert unbounded("x = 1\nwhile x:\n    x += 1\n") == [2]
        assert unbounded("def f(x):\n    return f(x)\n") == [1]
        assert unbounded("# Bound: x falls.\nwhile x:\n    x -= 1\n") == []

    def do_input(self, plain: list[str], named: dict[str, Any]) -> None:
        """input NAME: bad input of that kind is refused as it must be (tests/inputs.py)"""
        bad_input(plain[0])

    def do_loopback(self, plain: list[str], named: dict[str, Any]) -> None:
        """loopback: one controller over real sockets (tests/loopback.py)"""
        loopback()
