"""Jobs of many tasks: no turn of the actor is long, counted in function calls, and the jobs run all the same."""

import msgspec
import pytest

from quinceslip.coordination.controller.controller import Controller
from quinceslip.coordination.jobs.result_writer import MAX_ENCODED_TASKS_PER_TURN, ResultWriter
from quinceslip.coordination.scheduling import placement
from quinceslip.protocol import messages as m
from quinceslip.storage import records, task_sets
from quinceslip.storage.cache import StoreCache
from tests.scenario.runner import Runner, run_scenario
from tests.simulation.inputs import job_spec
from tests.turn_work import counted_turns, run_lines

#: machines of 64 CPUs, as the largest type of a site has them
FLEET = """
site size=1 zones=a,b report=1 lease=10 cancel=35
type m cpus=64 memory=256 boot=60
machines 4 m a
machines 4 m b
no_cloud_capacity
"""
#: tasks of 0.2 CPUs that fit on the machines of a zone, and of both
ZONE_PLACES, PLACES = 1280, 2560


def controllers(runner: Runner) -> list[Controller]:
    actors = (controller.actor for controller in runner.w().controllers.values())
    return [actor for actor in actors if actor is not None]


def started_tasks(runner: Runner, job_id: str) -> int:
    names = (task.name for worker in runner.w().workers.values() for task in worker.tasks.values())
    return sum(name.startswith(f"{job_id}/") for name in names)


@pytest.mark.parametrize(("words", "started"), [("spread=true", PLACES), ("together=true", ZONE_PLACES), ("", PLACES)])
def test_job_of_many_small_tasks_is_placed_in_short_turns(
    monkeypatch: pytest.MonkeyPatch, words: str, started: int
) -> None:
    # Guards against: each task placed counts all attempts of its job again, and the watchdog ends every controller.
    with counted_turns(monkeypatch):
        runner = run_lines(f"{FLEET}\nat 3 submit req-000001 tasks=25000 cpus=0.2 memory=0.4 run=300 {words}\nrun 6")
    assert started_tasks(runner, "req-000001") == started


@pytest.mark.parametrize(("words", "tasks"), [("spread=true", PLACES), ("together=true", ZONE_PLACES), ("", PLACES)])
def test_gang_of_many_small_tasks_is_placed_in_short_turns(
    monkeypatch: pytest.MonkeyPatch, words: str, tasks: int
) -> None:
    # Guards against: each task of a gang looks at all machines and at all attempts of its job again.
    gang = f"gang tasks={tasks} cpus=0.2 memory=0.4 run=300 {words}"
    with counted_turns(monkeypatch):
        runner = run_lines(f"{FLEET}\nat 3 submit req-000001 {gang}\nrun 6")
    assert started_tasks(runner, "req-000001") == tasks


@pytest.mark.parametrize("words", ["spread=true", "together=true", "", "gang", "gang spread=true"])
def test_placement_goes_on_in_the_next_turns(monkeypatch: pytest.MonkeyPatch, words: str) -> None:
    # Guards against: a pass that ends at the bound of its turn leaves tasks waiting, or starts a gang in part.
    monkeypatch.setattr(placement, "MAX_STEPS_PER_TURN", 50)
    runner = run_scenario(f"""
        site size=1 zones=a,b
        type m cpus=16 boot=60
        machines 2 m a
        machines 2 m b
        no_cloud_capacity
        at 1 submit req-000001 tasks=32 cpus=0.5 run=8 {words}
        at 1 submit req-000002 tasks=16 cpus=0.5 run=8 rank=urgent
        at 2 submit req-000003 service tasks=4 cpus=0.5 rank=production spread=true
        at 12 cancel req-000003
        run 40
        expect done req-000001 req-000002
    """)
    assert runner.w().launches_repeated == 0


def test_gang_that_loses_a_machine_between_turns_gives_up_its_room(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: attempts of a gang that is not complete are sent, or keep their room after one of them was lost.
    monkeypatch.setattr(placement, "MAX_STEPS_PER_TURN", 10)
    runner = run_lines("""
        site size=1
        type m cpus=16 boot=60
        machines 3 m a
        no_cloud_capacity
        at 3 submit req-000001 gang tasks=40 cpus=1 run=60
    """)
    for hundredths in range(300, 400):
        runner.execute_line(f"run {hundredths / 100}")
        (shard,) = [shard for controller in controllers(runner) for shard in controller.shards.values()]
        withheld = [attempt for partition in shard.partitions.values() for attempt in partition.withheld_gang]
        if withheld:
            break
    assert 0 < len(withheld) < 40
    assert not any(worker.tasks for worker in runner.w().workers.values()), "nothing is sent before all have a machine"
    shard.machine_gone(withheld[0].worker)
    runner.execute_line("run 3.9")
    assert shard.workers and all(not worker.live_attempt_count for worker in shard.workers.values())
    assert started_tasks(runner, "req-000001") == 0


def test_answers_to_many_users_of_one_job_take_a_short_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: each answer after a read barrier counts all tasks of the job again, in one turn for all users.
    with counted_turns(monkeypatch):
        runner = run_lines(f"""{FLEET}
            at 3 submit req-000001 tasks=25000 cpus=0.2 memory=0.4 run=300
            at 6 poll_many req-000001 600 over=0.01
            run 8
        """)
    assert started_tasks(runner, "req-000001") == PLACES
    assert runner.slowest_poll_us > 0


def test_results_of_many_users_are_decoded_once(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: each answer about a job decodes its record, with up to 100,000 tasks, again.
    decoded: list[str] = []
    decode = task_sets.decode

    def counted_decode(text: str) -> set[int]:
        decoded.append(text)
        return decode(text)

    monkeypatch.setattr(task_sets, "decode", counted_decode)
    store = StoreCache()
    done = task_sets.encode(set(range(0, m.MAX_TASKS, 3)))
    spec = msgspec.convert(job_spec("req-7", picks=m.MAX_TASKS), m.JobSpec)
    job = records.JobRecord(m.QUEUED, m.MAX_TASKS, spec, partition=records.PartitionRecord("0-99999", done))
    store.store(records.job_key("req-7"), job, 1)
    assert {store.done_count("req-7") for _ in range(100)} == {33_334}
    assert len(decoded) <= 1


def test_results_of_many_large_jobs_are_encoded_in_several_turns(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: the records of all jobs with results are encoded in one turn, however many tasks they have.
    encoded_in_turn: list[int] = []
    encode, write_due = task_sets.encode, ResultWriter.write_due

    def counted_encode(numbers: set[int]) -> str:
        if encoded_in_turn:
            encoded_in_turn[-1] += len(numbers)
        return encode(numbers)

    def counted_write_due(writer: ResultWriter) -> None:
        encoded_in_turn.append(0)
        write_due(writer)
        encoded_in_turn.append(0)  # of what else is encoded until the next turn

    monkeypatch.setattr(task_sets, "encode", counted_encode)
    monkeypatch.setattr(ResultWriter, "write_due", counted_write_due)
    runner = run_lines("site size=1\nno_cloud_capacity\nat 2 submit_many 1 12 tasks=100000 run=2\nrun 8")
    (shard,) = [shard for controller in controllers(runner) for shard in controller.shards.values()]
    assert len(shard.partitions) == 12
    for partition in shard.partitions.values():
        for index in range(0, m.MAX_TASKS, 3):
            partition.pending.discard(index)
            partition.unrecorded_done.add(index)
        shard.persistence.task_completed(partition)
    runner.execute_line("run 20")
    assert all(len(partition.done) == 33_334 for partition in shard.partitions.values())
    one_record = 2 * m.MAX_TASKS
    assert max(encoded_in_turn[0::2]) <= MAX_ENCODED_TASKS_PER_TURN + one_record
