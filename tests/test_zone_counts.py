"""The counts of a job's tasks by zone, compared with a count of all its attempts, while faults go on."""

from collections import Counter
from itertools import product

from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from tests.scenario.runner import Runner
from tests.turn_work import run_lines

FAULTS = """
seed 4
site zones=a,b,c
machines 3 m a
machines 3 m b
machines 2 m c
at 1 submit req-000001 tasks=90 run=20 rank=low spread=true
at 2 submit req-000002 service tasks=12 cpus=1 spread=true rank=production
at 4 submit req-000003 tasks=20 cpus=1 run=2 together=true fails=4
at 9 slow_commands all 1 request_delay=7
at 9.1 submit req-000004 tasks=24 run=5 rank=urgent spread=true
at 9.7 reboot third replaced
at 10 partition n-000001 12
at 12 cancel req-000001
at 16 reboot third replaced
"""
JOBS = ("req-000001", "req-000002", "req-000003", "req-000004")


def counted_anew(shard: Shard, job_id: str, count_kept: bool) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for attempt in shard.attempts_by_job.get(job_id, ()):
        worker = shard.worker_of(attempt)
        if (
            worker is not None
            and _may_run(shard, worker, attempt)
            and (count_kept or attempt not in shard.kept_attempts)
        ):
            counts[worker.zone] += 1
    return dict(counts)


def _may_run(shard: Shard, worker: Worker, attempt: Attempt) -> bool:
    return not attempt.end_cause or not shard.launch_cannot_arrive(worker, attempt)


def led_shards(runner: Runner) -> list[Shard]:
    actors = [controller.actor for controller in runner.w().controllers.values()]
    return [shard for actor in actors if actor is not None for shard in actor.shards.values()]


def test_counts_by_zone_equal_those_of_all_attempts() -> None:
    # Guards against: a count that misses an event lets a spread job exceed its share of a zone, or keeps it waiting.
    runner, counted, kept = run_lines(FAULTS), 0, 0
    for tenth in range(10, 300):
        runner.execute_line(f"run {tenth / 10}")
        for shard, job_id, count_kept in product(led_shards(runner), JOBS, (True, False)):
            expected = counted_anew(shard, job_id, count_kept)
            assert shard.possibly_running_by_zone(job_id, count_kept) == expected, (tenth, shard.index, job_id)
            counted += bool(expected)
            kept += expected != counted_anew(shard, job_id, True)
    assert counted >= 1000
    assert kept, "some attempts were kept for an address"
