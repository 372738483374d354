"""Which jobs are ready, which are cancelled and how urgent they are, against a reference computed from all records.

Random graphs; submissions, completions, cancellations and writes of derived cancellations in any order. Observers that
get the records one by one, in batches, or as a listing in any order must match the reference after each batch.
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
from tests.test_random_simulations import simulation_settings

RUN_US = 7


class GraphObserver:
    """A graph and the records that it was given."""

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

    def records_received(self, batch: list[tuple[str, JobRecord]]) -> None:
        self.records.update(batch)
        changes = self.graph.records_changed([job_id for job_id, _ in batch])
        for job_id in changes.ready:
            assert job_id not in self.ready, f"{job_id} is ready twice"
            self.ready.add(job_id)


def expected_states(records: dict[str, JobRecord], specs: dict[str, m.JobSpec]) -> dict[str, Any]:
    """Compute from all records, for every queued job: whether it waits, whether it is cancelled, and its urgency."""

    def cancelled(job_id: str) -> bool:
        return records[job_id].state == m.CANCELLED or (
            records[job_id].state != m.DONE and any(cancelled(job) for job in specs[job_id].dependencies)
        )

    def urgency(job_id: str) -> tuple[int, int]:
        spec, at_us = specs[job_id], records[job_id].at_us
        urgency_found = (spec.priority, 10**9 if spec.deadline_s is None else at_us + int(spec.deadline_s))
        for other, record in records.items():
            if record.state == m.QUEUED and job_id in specs[other].dependencies and not cancelled(other):
                priority_class, due = urgency(other)
                urgency_found = (
                    min(urgency_found[0], priority_class),
                    min(urgency_found[1], due - RUN_US if due < 10**9 else due),
                )
        return urgency_found

    return {
        job_id: (
            any(records[job].state != m.DONE for job in specs[job_id].dependencies),
            cancelled(job_id),
            urgency(job_id),
        )
        for job_id, record in records.items()
        if record.state == m.QUEUED
    }


def assert_matches_reference(observer: GraphObserver, specs: dict[str, m.JobSpec]) -> None:
    for job_id, (waits, cancelled, (priority_class, due)) in expected_states(observer.records, specs).items():
        graph = observer.graph
        assert graph.is_waiting(job_id) == waits and graph.is_cancelled(job_id) == cancelled, job_id
        urgency_found = graph.urgency(job_id) or Urgency(
            specs[job_id].priority,
            ()
            if specs[job_id].deadline_s is None
            else (observer.records[job_id].at_us + int(specs[job_id].deadline_s or 0),),
        )
        assert (urgency_found.priority, min(urgency_found.due_times_us, default=10**9)) == (priority_class, due), job_id
    assert set(observer.graph.cancelled) <= {
        job for job, record in observer.records.items() if record.state == m.QUEUED
    }


@given(st.integers(0, 10**9), st.integers(2, 14))
@simulation_settings
def test_readiness_cancellation_and_urgency_match_reference(seed: int, jobs: int) -> None:
    rng = random.Random(seed)
    specs: dict[str, m.JobSpec] = {}
    all_records: dict[str, JobRecord] = {}
    one_by_one, in_batches = GraphObserver(), GraphObserver()
    batch: list[tuple[str, JobRecord]] = []
    for step in range(5 * jobs):
        queued = [job for job, record in all_records.items() if record.state == m.QUEUED]
        event = rng.choice(["submit", "submit", "end", "cancel", "spread"])
        if event == "submit" and len(specs) < jobs:
            job_id = f"req-{rng.randrange(10**6):06d}"
            if job_id in specs:
                continue
            dependencies = rng.sample(sorted(specs), min(len(specs), rng.choice([0, 1, 1, 2, 3])))
            spec = msgspec.convert(
                job_spec(
                    job_id,
                    waitsOn=dependencies,
                    rank=rng.choice(list(m.PRIORITY_CLASSES)),
                    dueS=rng.choice([None, 50.0, 90.0]),
                ),
                m.JobSpec,
            )
            specs[job_id] = spec
            updates = [(job_id, JobRecord(m.QUEUED, 1, spec, 0, PartitionRecord("0"), step))]
        elif event == "end" and queued:
            # Only a job whose dependencies are done can end.
            ready = [job for job in queued if all(all_records[n].state == m.DONE for n in specs[job].dependencies)]
            updates = [(job, final_record(all_records[job], m.DONE, 1, step)) for job in ready[:1]]
        elif event == "cancel" and queued and rng.random() < 0.5:
            job_id = rng.choice(queued)
            updates = [(job_id, final_record(all_records[job_id], m.CANCELLED, 0))]
        elif event == "spread":
            updates = [
                (job, final_record(all_records[job], m.CANCELLED, 0)) for job in list(one_by_one.graph.cancelled)[:1]
            ]
        else:
            continue
        all_records.update(updates)
        one_by_one.records_received(updates)
        assert_matches_reference(one_by_one, specs)
        batch += updates
        if rng.random() < 0.2:
            # A listing has the latest record of each job, in any order.
            latest = list(dict(batch).items())
            rng.shuffle(latest)
            in_batches.records_received(latest)
            assert_matches_reference(in_batches, specs)
            new_observer = GraphObserver()
            listing = list(all_records.items())
            rng.shuffle(listing)
            new_observer.records_received(listing)
            assert_matches_reference(new_observer, specs)
            batch = []
    assert one_by_one.ready <= {job for job in specs if not one_by_one.graph.is_waiting(job)}


def test_wide_and_deep_graphs_avoid_quadratic_cost(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against recursion and quadratic cost, with a job that thousands wait for and a chain of hundreds."""
    observer, merges, merged = GraphObserver(), [0], Urgency.merged

    def count_merge(self: Urgency, other: Urgency) -> Urgency:
        merges[0] += 1
        return merged(self, other)

    monkeypatch.setattr(Urgency, "merged", count_merge)

    def submission(job_id: str, dependencies: list[str], due_s: float | None) -> tuple[str, JobRecord]:
        spec = msgspec.convert(job_spec(job_id, waitsOn=dependencies, dueS=due_s), m.JobSpec)
        return job_id, JobRecord(m.QUEUED, 1, spec, 0, PartitionRecord("0"), 0)

    first = "req-0"
    observer.records_received([submission(first, [], None)])
    observer.records_received([submission(f"req-1{n:05d}", [first], 5000.0 - n) for n in range(3000)])
    assert observer.graph.urgency(first) == Urgency(2, (5000 - 2999 - RUN_US,))
    chain = [f"req-2{n:05d}" for n in range(800)]
    for n, job_id in enumerate(chain):
        observer.records_received([submission(job_id, [chain[n - 1] if n else first], 100000.0 if n == 799 else None)])
    assert observer.graph.urgency(chain[0]) == Urgency(2, (100000 - 799 * RUN_US,))
    assert merges[0] < 20_000
    observer.records_received([(first, final_record(observer.records[first], m.CANCELLED, 0))])
    assert len(observer.graph.cancelled) == 3800
