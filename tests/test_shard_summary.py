"""The periodic log summary of a shard: counts by machine state, in bounded length; single machines at `debug`."""

import logging

import msgspec
import pytest

from quinceslip.coordination.shard import log_summary
from quinceslip.coordination.shard.log_summary import (
    MAX_LOGGED_MACHINES,
    MachineState,
    MachineStatus,
    log_machines,
    machine_state,
    summarize,
)
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m
from tests.scenario.runner import Runner

TYPE = m.MachineType("t", 8.0, 0.0, 32.0, 1.0, 10.0, ["z"])
BATCH = m.JobSpec(
    job_id="job",
    job_class="lane",
    team="team",
    kind="array",
    priority_class="normal",
    tasks=1,
    cpus=1.5,
    gpus=0.0,
    memory_gb=1.0,
    image="image",
    image_gb=1.0,
    one_zone=False,
    spread=False,
    spot=True,
    estimated_run_s=60.0,
    checkpoint_interval_s=0.0,
    checkpoint_cost_s=0.0,
)
SERVICE = msgspec.structs.replace(BATCH, kind="standing", cpus=2.0)
#: longest log line that is still readable
MAX_LINE_CHARACTERS = 250


def worker(name: str, spot: bool = False) -> Worker:
    return Worker(name, TYPE, "z", spot, last_contact_us=1)


def test_machine_state_tells_why_a_machine_gets_no_tasks() -> None:
    usable, booting, out_of_contact = worker("a"), Worker("b", TYPE, "z", False), worker("c")
    returning, deleted, preempted_soon = worker("d"), Worker("e", TYPE, "z", False, deleting=True), worker("f")
    returning.draining, preempted_soon.notice_us = "return", 5
    assert machine_state(usable, True) == MachineState.USABLE
    assert machine_state(booting, False) == MachineState.BOOTING
    assert machine_state(out_of_contact, False) == MachineState.UNAVAILABLE
    assert {machine_state(w, False) for w in (returning, deleted, preempted_soon)} == {MachineState.DRAINING}


def test_summary_counts_machines_by_state_and_their_cpus() -> None:
    busy, spot, booting = worker("a"), worker("b", spot=True), Worker("c", None, "z", False)
    busy.add_usage(SERVICE, 1)
    busy.add_usage(BATCH, 1)
    spot.add_usage(BATCH, 1)
    statuses = [
        MachineStatus(busy, MachineState.USABLE),
        MachineStatus(spot, MachineState.UNAVAILABLE),
        MachineStatus(booting, MachineState.BOOTING),
    ]
    assert str(summarize(2, 7, statuses)) == (
        "shard summary shard=2 machines=3 usable=1 draining=0 booting=1 out=1 spot=1"
        " service_cpus=2.0 other_cpus=3.0 total_cpus=16.0 waiting_tasks=7 unacknowledged=0"
    )


def test_number_and_length_of_lines_are_bounded(caplog: pytest.LogCaptureFixture) -> None:
    statuses = [MachineStatus(worker(f"n-{n:06d}"), MachineState.USABLE) for n in range(3000)]
    statuses.append(MachineStatus(worker("z"), MachineState.UNAVAILABLE))
    assert len(str(summarize(100, 1_000_000, statuses))) <= MAX_LINE_CHARACTERS
    with caplog.at_level(logging.INFO, log_summary.__name__):
        log_machines(0, statuses)
    assert not caplog.records
    with caplog.at_level(logging.DEBUG, log_summary.__name__):
        log_machines(0, statuses)
    lines = [record.getMessage() for record in caplog.records]
    assert len(lines) == MAX_LOGGED_MACHINES + 1
    assert lines[0].startswith("machine shard=0 worker=z state=out ")
    assert lines[-1] == f"machines not logged shard=0 count={len(statuses) - MAX_LOGGED_MACHINES}"


def test_summary_of_a_running_shard() -> None:
    runner = Runner()
    for line in ("site size=1", "machines 2 m a", "at 2 submit req-000001 tasks=2 run=30", "run 8"):
        runner.execute_line(line)
    actor = runner.w().controllers["berth-0"].actor
    assert actor is not None
    line = actor.shards[0].summary()
    assert line.startswith("shard summary shard=0 machines=2 usable=2 draining=0 booting=0 out=0 spot=0 "), line
    assert line.endswith(" waiting_tasks=0 unacknowledged=0") and "other_cpus=0.0" not in line, line
