"""Who may start, who is withdrawn and how urgent a job is, against a plain reference over all records.

Any graph, submissions, ends, cancellations and writes of derived withdrawals in any order; nodes that see the records
one by one, several at once, or in a listing in any order, must agree with the reference after each batch.
"""

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from quinceslip.dependencies.graph import DependencyGraph
from quinceslip.dependencies.urgency import Urgency
from quinceslip.protocol import messages as m
from quinceslip.storage.records import JobRecord, PartitionRecord, final_record
from tests.simulation.inputs import job_spec
from tests.test_random_simulations import days

RUN_US = 7


class GraphObserver:
    """A graph, and the records that it has been told of."""

    def __init__(self) -> None:
        self.records: dict[str, JobRecord] = {}
        self.graph = DependencyGraph(
            self.records.get,
            lambda spec, at_us: Urgency(
                spec.priority, () if spec.deadline_s is None else (at_us + int(spec.deadline_s),)
            ),
            lambda spec: RUN_US,
        )
        self.ready: set[str] = set()

    def told(self, batch: list[tuple[str, JobRecord]]) -> None:
        self.records.update(batch)
        changes = self.graph.records_changed([job_id for job_id, _ in batch])
        for job_id in changes.ready:
            assert job_id not in self.ready, f"{job_id} is ready twice"
            self.ready.add(job_id)


def reference(records: dict[str, JobRecord], specs: dict[str, m.JobSpec]) -> dict[str, Any]:
    """For every open job: whether it waits, whether it is withdrawn, its urgency; each from all records anew."""

    def cancelled(job_id: str) -> bool:
        return records[job_id].state == m.CANCELLED or (
            records[job_id].state != m.DONE and any(cancelled(u) for u in specs[job_id].dependencies)
        )

    def urgency(job_id: str) -> tuple[int, int]:
        spec, at_us = specs[job_id], records[job_id].at_us
        found = (spec.priority, 10**9 if spec.deadline_s is None else at_us + int(spec.deadline_s))
        for other, record in records.items():
            if record.state == m.QUEUED and job_id in specs[other].dependencies and not cancelled(other):
                priority_class, due = urgency(other)
                found = (min(found[0], priority_class), min(found[1], due - RUN_US if due < 10**9 else due))
        return found

    return {
        job_id: (
            any(records[u].state != m.DONE for u in specs[job_id].dependencies),
            cancelled(job_id),
            urgency(job_id),
        )
        for job_id, record in records.items()
        if record.state == m.QUEUED
    }


def agrees(node: GraphObserver, specs: dict[str, m.JobSpec]) -> None:
    for job_id, (waits, cancelled, (priority_class, due)) in reference(node.records, specs).items():
        graph = node.graph
        assert graph.is_waiting(job_id) == waits and graph.is_cancelled(job_id) == cancelled, job_id
        found = graph.urgency(job_id) or Urgency(
            specs[job_id].priority,
            ()
            if specs[job_id].deadline_s is None
            else (node.records[job_id].at_us + int(specs[job_id].deadline_s or 0),),
        )
        assert (found.priority, min(found.due_times_us, default=10**9)) == (priority_class, due), job_id
    assert set(node.graph.cancelled) <= {u for u, r in node.records.items() if r.state == m.QUEUED}


@given(st.integers(0, 10**9), st.integers(2, 14))
@days
def test_who_may_start_and_how_urgent_it_is(seed: int, jobs: int) -> None:
    chance = random.Random(seed)
    specs: dict[str, m.JobSpec] = {}
    truth: dict[str, JobRecord] = {}
    step_by_step, in_lots = GraphObserver(), GraphObserver()
    lot: list[tuple[str, JobRecord]] = []
    for turn in range(5 * jobs):
        open_ = [u for u, r in truth.items() if r.state == m.QUEUED]
        what = chance.choice(["submit", "submit", "end", "cancel", "spread"])
        if what == "submit" and len(specs) < jobs:
            job_id = f"req-{chance.randrange(10**6):06d}"
            if job_id in specs:
                continue
            needs = chance.sample(sorted(specs), min(len(specs), chance.choice([0, 1, 1, 2, 3])))
            spec = msgspec.convert(
                job_spec(
                    job_id,
                    waitsOn=needs,
                    rank=chance.choice(list(m.PRIORITY_CLASSES)),
                    dueS=chance.choice([None, 50.0, 90.0]),
                ),
                m.JobSpec,
            )
            specs[job_id] = spec
            news = [(job_id, JobRecord(m.QUEUED, 1, spec, 0, PartitionRecord("0"), turn))]
        elif what == "end" and open_:
            # Only what is ready by the records can end.
            able = [u for u in open_ if all(truth[n].state == m.DONE for n in specs[u].dependencies)]
            news = [(u, final_record(truth[u], m.DONE, 1, turn)) for u in able[:1]]
        elif what == "cancel" and open_ and chance.random() < 0.5:
            job_id = chance.choice(open_)
            news = [(job_id, final_record(truth[job_id], m.CANCELLED, 0))]
        elif what == "spread":
            news = [(u, final_record(truth[u], m.CANCELLED, 0)) for u in list(step_by_step.graph.cancelled)[:1]]
        else:
            continue
        truth.update(news)
        step_by_step.told(news)
        agrees(step_by_step, specs)
        lot += news
        if chance.random() < 0.2:
            # A listing shows the latest of each, in any order.
            latest = list(dict(lot).items())
            chance.shuffle(latest)
            in_lots.told(latest)
            agrees(in_lots, specs)
            fresh = GraphObserver()
            listing = list(truth.items())
            chance.shuffle(listing)
            fresh.told(listing)
            agrees(fresh, specs)
            lot = []
    assert step_by_step.ready <= {u for u in specs if not step_by_step.graph.is_waiting(u)}


def test_thousands_behind_one_and_a_long_chain(monkeypatch: pytest.MonkeyPatch) -> None:
    """A job needed by thousands, and a chain of hundreds, cost no recursion and no square of their number."""
    node, looked, merged = GraphObserver(), [0], Urgency.merged

    def counted(self: Urgency, other: Urgency) -> Urgency:
        looked[0] += 1
        return merged(self, other)

    monkeypatch.setattr(Urgency, "merged", counted)

    def submits(job_id: str, needs: list[str], due_s: float | None) -> tuple[str, JobRecord]:
        spec = msgspec.convert(job_spec(job_id, waitsOn=needs, dueS=due_s), m.JobSpec)
        return job_id, JobRecord(m.QUEUED, 1, spec, 0, PartitionRecord("0"), 0)

    first = "req-0"
    node.told([submits(first, [], None)])
    node.told([submits(f"req-1{n:05d}", [first], 5000.0 - n) for n in range(3000)])
    assert node.graph.urgency(first) == Urgency(2, (5000 - 2999 - RUN_US,))
    chain = [f"req-2{n:05d}" for n in range(800)]
    for n, job_id in enumerate(chain):
        node.told([submits(job_id, [chain[n - 1] if n else first], 100000.0 if n == 799 else None)])
    assert node.graph.urgency(chain[0]) == Urgency(2, (100000 - 799 * RUN_US,))
    assert looked[0] < 20_000
    node.told([(first, final_record(node.records[first], m.CANCELLED, 0))])
    assert len(node.graph.cancelled) == 3800
