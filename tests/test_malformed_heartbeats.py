"""Malformed values in heartbeats and direct replies are ignored without losing the message that contains them.

Guards against a heartbeat lost to a ValueError ("while handling HeartbeatReceived" in the log), and with it the renewal
of the worker's lease and the reported results. `find_local_task` checked `isdigit()`, which accepts digits that `int()`
refuses (`JOB/²`); `JOB/07` matched the task `JOB/7`; and a notice too large to be counted in microseconds raised too.
"""

import logging
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from quinceslip.coordination.reconciliation.local_tasks import find_local_task
from tests.scenario.runner import Runner

JOB = "req-000001"
TASK_NUMBERS = ["²", "٣", "007", "+1", "-1", " 1", "1 ", "1_0", "", "1" * 5000, "1e3", "0x1", "①", "99999999"]
TASK_NAMES = [*(f"{JOB}/{number}" for number in TASK_NUMBERS), "", "/", "//1", f"{JOB}//1", f"{JOB}/1/", "²/²"]

malformed_tasks = st.builds(
    lambda name, attempt, state, cause: {"pick": name, "try": attempt, "status": state, "cause": cause},
    st.one_of(st.sampled_from(TASK_NAMES), st.text(max_size=8), st.text(max_size=3).map(lambda text: f"{JOB}/{text}")),
    st.sampled_from([0, 1, 2**24, 2**63, 2**64 - 1]),
    st.sampled_from(["pulling", "running", "flushing", "exited", "", "odd"]),
    st.sampled_from([None, "done", "halted", "error", "no_room", "", "odd"]),
)
unusual_fields = st.fixed_dictionaries(
    {},
    optional={
        "warningS": st.sampled_from([None, -1.0, 0.0, 1e9, 1e300, 1.7e308, -1.7e308]),
        "build": st.sampled_from(["", "odd"]),
        "yard": st.sampled_from(["", "odd"]),
        "baton": st.sampled_from([0, 2**40]),
    },
)


def running_controller() -> Runner:
    """Return a controller whose only worker has just finished the two tasks of a job."""
    runner = Runner()
    for line in ("site size=1", "machines 1 m a", f"at 2 submit {JOB} tasks=2 run=2", "run 4"):
        runner.execute_line(line)
    return runner


def send_heartbeat(runner: Runner, tasks: list[Any], fields: dict[str, Any]) -> list[int]:
    """Send the worker's next heartbeat with these tasks and fields added; return the statuses of the answers."""
    world = runner.w()
    (worker,) = world.workers.values()
    heartbeat = worker.heartbeat()
    heartbeat["picks"] = [*tasks, *heartbeat["picks"]]
    heartbeat.update(fields)
    statuses: list[int] = []
    world.controllers["berth-0"].receive_heartbeat(heartbeat, lambda status, body: statuses.append(status))
    runner.execute_line(f"run {world.now_us / 1e6 + 0.1}")
    return statuses


@example([{"pick": f"{JOB}/²", "try": 1, "status": "running", "cause": None}], {})
@example([{"pick": f"{JOB}/{'1' * 5000}", "try": 1, "status": "running", "cause": None}], {})
@example([], {"warningS": 1.7e308})
@given(st.lists(malformed_tasks, max_size=6), unusual_fields)
@settings(deadline=None, database=None, derandomize=True, max_examples=60)
def test_heartbeat_with_malformed_values_is_answered(tasks: list[Any], fields: dict[str, Any]) -> None:
    runner = running_controller()
    logging.disable(logging.ERROR)  # log messages about malformed tasks are not checked here
    try:
        statuses = send_heartbeat(runner, tasks, fields)
    finally:
        logging.disable(logging.NOTSET)
    assert statuses == [503 if fields.get("baton") else 200], (statuses, tasks, fields)


@pytest.mark.parametrize(
    "number", [number for number in TASK_NUMBERS if number != "99999999"], ids=lambda number: ascii(number[:9])
)
def test_task_number_in_another_spelling_is_not_found(number: str) -> None:
    actor = running_controller().w().controllers["berth-0"].actor
    assert actor is not None
    shard = actor.shards[0]
    assert find_local_task(shard, f"{JOB}/1") is not None
    assert find_local_task(shard, f"{JOB}/{number}") is None


def test_malformed_task_name_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    runner = running_controller()
    caplog.set_level(logging.INFO, "quinceslip")
    malformed = {"pick": f"{JOB}/²", "try": 1, "status": "running", "cause": None}
    for _ in range(3):
        assert send_heartbeat(runner, [malformed], {}) == [200]
    lines = [record.getMessage() for record in caplog.records]
    assert lines.count(f"invalid task name task={malformed['pick']!r} worker=n-000001") == 1
