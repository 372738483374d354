"""Zones of a split service that are of no use to one part go to the part that waits beside a machine there."""

from collections.abc import Callable

import msgspec
import pytest

from quinceslip.coordination.shard.shard import Shard
from tests.scenario.runner import Runner
from tests.turn_work import run_lines

SERVICE = "req-000001"
#: a large machine has room for four replicas, a small one for two
SPLIT = """
site size=2 zones=a,b,c
type large boot=600 cpus=16
type small boot=600 cpus=8
no_cloud_capacity
run 3
"""


def add_machine(runner: Runner, kind: str, zone: str, controller: int) -> str:
    name = runner.w().cloud.start(kind, zone, False, 0)
    runner.execute_line(f"run {runner.w().now_us / 1e6 + 0.001}")
    runner.w().workers[name].controller = f"berth-{controller}"
    return name


def run_for(runner: Runner, seconds: float) -> None:
    runner.execute_line(f"run {runner.w().now_us / 1e6 + seconds}")


def replicas_by_zone(runner: Runner) -> dict[str, int]:
    counts: dict[str, int] = {}
    for worker in runner.w().workers.values():
        running = sum(task.status == "running" for task in worker.tasks.values())
        if running and not worker.is_dead:
            counts[worker.host["yard"]] = counts.get(worker.host["yard"], 0) + running
    return counts


def shards(runner: Runner) -> list[Shard]:
    actors = [controller.actor for controller in runner.w().controllers.values()]
    return [shard for actor in actors if actor is not None for shard in actor.shards.values()]


def split_service() -> tuple[Runner, str]:
    """Run a service of four replicas: its first part on a machine in zone a, the other on one in zone b."""
    runner = run_lines(SPLIT)
    first = add_machine(runner, "large", "a", 0)
    run_for(runner, 3)
    at_s = runner.w().now_us / 1e6 + 0.1
    spec = f"submit {SERVICE} service tasks=4 cpus=4 memory=6 spread=true spot=false rank=production via=berth-0"
    runner.execute_line(f"at {at_s} {spec}")
    run_for(runner, 5)
    add_machine(runner, "small", "b", 1)
    run_for(runner, 40)
    assert replicas_by_zone(runner) == {"a": 2, "b": 2}
    assert sorted(map(sorted, zones_of_parts(runner))) == [["a"], ["b", "c"]]
    return runner, first


def zones_of_parts(runner: Runner) -> list[set[str]]:
    return [shard.partitions[SERVICE].zones for shard in shards(runner) if SERVICE in shard.partitions]


def holder_of(runner: Runner, zone: str) -> Shard:
    return next(shard for shard in shards(runner) if zone in shard.partitions[SERVICE].zones)


def test_part_without_machines_gets_a_zone_that_the_other_part_does_not_use() -> None:
    # Guards against: replicas wait beside an empty machine in a zone that belongs to a part which has no use for it.
    runner, first = split_service()
    runner.w().cloud.remove(first)
    add_machine(runner, "large", "c", 0)
    run_for(runner, 60)
    assert replicas_by_zone(runner) == {"b": 2, "c": 2}
    assert sorted(map(sorted, zones_of_parts(runner))) == [["a", "c"], ["b"]]
    runner.finish()


@pytest.mark.parametrize("delay_s", [0, 3, 12])
def test_zone_whose_release_has_no_answer_is_used_by_one_part_only(delay_s: int) -> None:
    # Guards against: the giver uses a zone again that a late write hands over, and both parts fill it.
    runner, first = split_service()
    at_s = runner.w().now_us / 1e6 + 0.01
    giver = f"berth-{holder_of(runner, 'c').index}"
    runner.execute_line(f"at {at_s} lose_transaction_answers {giver} 25 {delay_s} share=1")
    runner.w().cloud.remove(first)
    add_machine(runner, "large", "c", 0)
    for _ in range(90):
        run_for(runner, 1)
        for shard in shards(runner):
            assert max(shard.possibly_running_by_zone(SERVICE).values(), default=0) <= 2
    assert replicas_by_zone(runner) == {"b": 2, "c": 2}
    runner.finish()


def test_zone_that_is_given_up_stays_with_one_part_until_the_outcome_is_known() -> None:
    # Guards against: a change of another record gives the zone back to a part that may have handed it over.
    runner, _ = split_service()
    shard = holder_of(runner, "c")
    partition = shard.partitions[SERVICE]
    assert shard.persistence.releasable_zones(partition) == {"c"}
    shard.persistence.release_zones(partition, {"c"}, holder_of(runner, "a").index)
    shard.persistence.load(SERVICE)
    assert partition.zones == {"b"}
    assert not shard.persistence.releasable_zones(partition), "one release at a time"


def test_refused_second_release_forgets_nothing_that_a_late_first_one_changed(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: a zone that a late write has given away is recorded for both parts again, and neither may use it.
    runner, _ = split_service()
    shard = holder_of(runner, "c")
    partition, target = shard.partitions[SERVICE], holder_of(runner, "a").index
    handlers: list[Callable[[int, list[str]], None]] = []
    monkeypatch.setattr(shard.ctx, "compare_and_swap", lambda *arguments: handlers.append(arguments[3]))
    shard.persistence.release_zones(partition, {"c"}, target)
    handlers[0](0, [])  # no answer
    shard.persistence.release_zones(partition, {"c"}, target)
    # The first write is carried out late, and the cache shows it.
    cache, job = shard.ctx.cache, shard.ctx.cache.job(SERVICE)
    own = cache.partition(shard.index, SERVICE)
    assert own is not None
    assert job is not None
    given = msgspec.structs.replace(own, zones=["b"])
    key = cache.partition_record_key(shard.index, SERVICE)
    is_home = job.shard == shard.index
    cache.store(key, msgspec.structs.replace(job, partition=given) if is_home else given, cache.mod_revision(key) + 1)
    shard.persistence.load(SERVICE)
    handlers[1](409, [key])
    assert partition.released_zones == set()
    assert partition.zones == {"b"}
