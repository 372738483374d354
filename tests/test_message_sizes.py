"""Messages to and from workers stay within 64 KiB (PROTOCOL), however many and small the tasks are."""

import json
from typing import Any

import msgspec
import pytest

from quinceslip.coordination.reconciliation.command_batch import CommandBatch
from quinceslip.coordination.scheduling.machine_room import MachineRoom
from quinceslip.protocol import messages as m
from quinceslip.protocol.messages.worker_limits import (
    LONGEST_AMOUNT,
    LONGEST_COMMANDS,
    LONGEST_EMPTY_HEARTBEAT,
    LONGEST_EMPTY_MESSAGES,
    LONGEST_TASK_NAME,
    LONGEST_TASK_STATUS,
    MAX_INTEGER,
)
from tests.scenario.runner import Runner
from tests.simulation.inputs import job_spec
from tests.simulation.worker import SimulatedWorker
from tests.turn_work import run_lines

MAX_BYTES = 64 * 1024
#: the longest id that a job may have
JOB = "req-" + "9" * 32
ONE_MACHINE = """
site size=1 report=1 lease=10 cancel=35
type m cpus=64 memory=256 boot=60
machines 1 m a
no_cloud_capacity
"""


@pytest.fixture
def message_sizes(monkeypatch: pytest.MonkeyPatch) -> dict[str, int]:
    """The largest message so far of each kind: heartbeats, answers to them, and direct commands."""
    largest = {"heartbeat": 0, "answer": 0, "direct": 0}

    def measure(kind: str, message: Any) -> None:
        largest[kind] = max(largest[kind], len(json.dumps(message)))

    heartbeat, apply_answer = SimulatedWorker.heartbeat, SimulatedWorker._apply_answer
    receive_commands = SimulatedWorker.receive_commands

    def measured_heartbeat(worker: SimulatedWorker) -> dict[str, Any]:
        report = heartbeat(worker)
        measure("heartbeat", report)
        return report

    def measured_answer(worker: SimulatedWorker, exchange: Any, body: Any) -> None:
        measure("answer", body)
        apply_answer(worker, exchange, body)

    def measured_commands(worker: SimulatedWorker, body: Any) -> tuple[int, Any]:
        measure("direct", body)
        return receive_commands(worker, body)

    monkeypatch.setattr(SimulatedWorker, "heartbeat", measured_heartbeat)
    monkeypatch.setattr(SimulatedWorker, "_apply_answer", measured_answer)
    monkeypatch.setattr(SimulatedWorker, "receive_commands", measured_commands)
    return largest


def running(runner: Runner, job_id: str) -> int:
    tasks = (task for worker in runner.w().workers.values() for task in worker.tasks.values())
    return sum(task.name.startswith(f"{job_id}/") and task.status == "running" for task in tasks)


def test_longest_messages_that_are_allowed_fit() -> None:
    # Guards against: a limit that holds for short ids only.
    report = msgspec.structs.replace(LONGEST_EMPTY_HEARTBEAT, tasks=[LONGEST_TASK_STATUS] * m.MAX_LISTED_TASKS)
    assert MAX_BYTES - 1024 < len(json.dumps(msgspec.to_builtins(report))) <= MAX_BYTES
    assert msgspec.convert(json.loads(msgspec.json.encode(report)), m.WorkerHeartbeat) == report
    for command in LONGEST_COMMANDS:
        for message in LONGEST_EMPTY_MESSAGES:
            full = msgspec.structs.replace(message, commands=[command] * m.MAX_COMMANDS)
            assert len(msgspec.json.encode(full)) <= MAX_BYTES
    assert m.MAX_PLACED_TASKS < m.MAX_LISTED_TASKS


def test_job_of_tiny_tasks_is_done_on_one_machine(message_sizes: dict[str, int]) -> None:
    # Guards against: a machine gets more tasks than its heartbeat can list, and its lease runs out again and again.
    runner = run_lines(f"{ONE_MACHINE}\nat 1 submit {JOB} tasks=1500 cpus=0.01 memory=0.01 run=4\nrun 60")
    runner.execute_line(f"expect done {JOB}")
    runner.finish()
    assert max(message_sizes.values()) <= MAX_BYTES, message_sizes
    assert message_sizes["heartbeat"] > MAX_BYTES / 2, "the machine is used"


def test_tasks_that_need_nothing_are_bounded_too(message_sizes: dict[str, int]) -> None:
    # Guards against: a number of tasks that only amounts limit.
    runner = run_lines(f"{ONE_MACHINE}\nat 1 submit {JOB} tasks=2000 cpus=0 memory=0 run=60\nrun 9")
    assert running(runner, JOB) == m.MAX_PLACED_TASKS
    assert max(message_sizes.values()) <= MAX_BYTES, message_sizes


def test_cancelled_tiny_tasks_end_in_time(message_sizes: dict[str, int]) -> None:
    # Guards against: stops of all tasks of a machine in one message that is too large, or stops that are left out.
    runner = run_lines(
        f"{ONE_MACHINE}\nat 1 submit {JOB} tasks=1500 cpus=0.01 memory=0.01 run=300\nat 8 cancel {JOB}\nrun 60"
    )
    runner.finish()
    assert not any(worker.tasks for worker in runner.w().workers.values())
    assert max(message_sizes.values()) <= MAX_BYTES, message_sizes


def test_urgent_work_finds_room_on_a_machine_full_of_tiny_tasks(message_sizes: dict[str, int]) -> None:
    # Guards against: tiny tasks that leave CPUs free, but no place in a heartbeat, keep urgent work waiting.
    runner = run_lines(f"""{ONE_MACHINE}
        at 1 submit {JOB} tasks=1500 cpus=0.01 memory=0.01 run=300 rank=low
        at 8 submit req-000002 tasks=200 cpus=0.1 run=300 rank=urgent
        run 10
    """)
    assert running(runner, "req-000002") >= 20
    runner.execute_line("run 30")
    assert running(runner, "req-000002") == 200
    assert max(message_sizes.values()) <= MAX_BYTES, message_sizes


def test_service_of_tiny_replicas_gets_as_many_machines_as_can_list_them(message_sizes: dict[str, int]) -> None:
    # Guards against: one machine is rented for replicas that fit there by their amounts, and the rest waits for ever.
    runner = run_lines(f"""
        site size=1
        type m cpus=64 memory=256 boot=5
        at 1 submit {JOB} service tasks=1000 cpus=0.01 memory=0.01 rank=production spot=false
        run 60
    """)
    assert running(runner, JOB) == 1000
    assert max(message_sizes.values()) <= MAX_BYTES, message_sizes


def test_launch_and_its_stop_stay_in_one_message() -> None:
    # Guards against: a message that ends between a launch and the stop behind it starts an attempt that was given up.
    batch = CommandBatch(stops=[m.stop("req-1/0", 1, 0.0)])
    for number in range(m.MAX_COMMANDS):
        batch.launches += [m.launch(f"req-1/{number}", 2), m.stop(f"req-1/{number}", 2, 0.0)]
    commands = batch.in_order()
    assert m.MAX_COMMANDS - 1 <= len(commands) <= m.MAX_COMMANDS
    assert commands[0].attempt == 1
    assert commands[-1].op == m.CommandKind.STOP


def test_room_counts_places_in_heartbeats() -> None:
    # Guards against: a gang that needs no CPUs counts as one task for each machine, and never starts.
    spec = msgspec.convert(job_spec("req-1", shape="group", picks=50, vcpus=0.0, memGb=0.0), m.JobSpec)
    assert MachineRoom(1.0, 0.0, 1.0, 7).count_fitting(spec) == 7
    assert not MachineRoom(1.0, 0.0, 1.0, 0).has_room_for(spec)
    assert len(f"{LONGEST_TASK_NAME}") == len(f"{JOB}/99999")
    assert len(repr(LONGEST_AMOUNT)) >= 22 and MAX_INTEGER == 2**64 - 1
