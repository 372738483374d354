"""Amounts at the ends of their range: what is computed from them stays a number, whatever a record brings."""

import math
import sys

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quinceslip.coordination.actor.timing import MAX_DURATION_S, SECOND, micros
from quinceslip.coordination.controller.controller import Controller
from quinceslip.coordination.load_balancing.queueing_model import choose_shard
from quinceslip.coordination.scheduling.machine_room import MachineRoom
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Tuning
from quinceslip.quota.amounts import task_amounts
from quinceslip.quota.preemption import GangCapacity
from quinceslip.storage.records import LoadRecord, load_key
from tests.scenario.runner import Runner
from tests.simulation.inputs import job_spec, settings_of

LARGEST, SMALLEST = sys.float_info.max, 5e-324
amounts = st.one_of(st.sampled_from([0.0, SMALLEST, 1.0, 1e300, LARGEST]), st.floats(0.0, LARGEST))
frees = st.floats(-1e9, 1e9)


def spec_of(**fields: object) -> m.JobSpec:
    return msgspec.convert(job_spec("req-1", **fields), m.JobSpec)


@pytest.mark.parametrize(
    ("seconds", "expected_s"),
    [
        (1.5, 1.5),
        (0.0, 0.0),
        (-1.0, -1.0),
        (LARGEST, MAX_DURATION_S),
        (-LARGEST, -MAX_DURATION_S),
        (math.inf, MAX_DURATION_S),
        (math.nan, MAX_DURATION_S),
    ],
)
def test_duration_beyond_the_clock_counts_as_the_longest(seconds: float, expected_s: float) -> None:
    # Guards against: a duration that overflows the conversion ends the loop over all jobs that computes it.
    assert micros(seconds) == expected_s * SECOND


@given(frees, frees, amounts, amounts)
@settings(max_examples=300, deadline=None, database=None, derandomize=True)
def test_room_for_tasks_of_any_size_is_a_number(cpus: float, memory_gb: float, each: float, each_gb: float) -> None:
    # Guards against: a tiny amount whose quotient is infinite ends the placement of all shards.
    spec = m.with_bounded_amounts(spec_of(vcpus=each, memGb=each_gb, shape="group", picks=3))
    room = MachineRoom(cpus, 0.0, memory_gb)
    assert abs(room.count_fitting(spec)) <= m.MAX_TASKS
    machine_type = m.MachineType(label="m", cpus=cpus, gpus=0.0, memory_gb=memory_gb, price=1.0, boot_s=1.0, zones=[])
    worker = Worker("n-1", machine_type, "a", False, "10.0.0.1:1")
    assert abs(GangCapacity(spec, [worker]).count) <= m.MAX_TASKS
    assert all(amount <= m.MAX_AMOUNT * 1000 for amount in task_amounts(spec))


@given(amounts, amounts, amounts, amounts, amounts)
@settings(max_examples=200, deadline=None, database=None, derandomize=True)
def test_multiples_of_bounded_amounts_are_finite(a: float, b: float, c: float, d: float, e: float) -> None:
    # Guards against: an amount whose multiple for all tasks is infinite makes the figures of its shard infinite.
    spec = spec_of(vcpus=a, memGb=b, expectS=c, dueS=d, sizeGb=e)
    bounded = m.with_bounded_amounts(spec)
    for value in (bounded.cpus, bounded.memory_gb, bounded.estimated_run_s, bounded.deadline_s, bounded.image_gb):
        assert value is not None and math.isfinite(value * m.MAX_TASKS * m.MAX_TASKS)
    assert (bounded is spec) == (max(a, b, c, d, e) <= m.MAX_AMOUNT)


def test_amounts_in_range_are_left_as_they_are() -> None:
    # Guards against: a bound that changes what ordinary jobs ask for.
    spec = spec_of(dueS=None, expectS=86_400.0, vcpus=0.25)
    assert m.with_bounded_amounts(spec) is spec


def test_stored_load_that_no_number_can_hold_chooses_a_shard() -> None:
    # Guards against: a stored count of waiting tasks, whose quotient can't be computed, ends every submission.
    controller = Controller(settings_of(Runner().facts), Tuning(), 0, 0)
    controller.ctx.cache.store(load_key(1), LoadRecord(10**400, 4, 0.1, 0.0), 1)
    loads = controller.load_balancer.load_collector.collect()
    assert choose_shard(0, loads.stations, loads.waiting_tasks, {}) == 1
