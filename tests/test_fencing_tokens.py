"""Fencing tokens of one term: they are below every later term, and work goes on when a worker has used them up."""

from itertools import pairwise
from typing import Any

import pytest

from quinceslip.coordination.leadership import claims
from quinceslip.coordination.shard_state import fencing_tokens
from quinceslip.coordination.shard_state.state import ALL_GUARDS
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.models.job import task_name
from quinceslip.models.takeover.steps import parse_steps, perform
from quinceslip.models.takeover.world import World
from quinceslip.protocol import messages as m
from tests.scenario.runner import Runner, run_scenario

SCENARIO_OF_COPIES = """
site size=1
machines 4 m a
no_cloud_capacity
at 0.5 duplicate_commands all 60 min_delay=1 max_delay=8 times=2
at 2 submit req-000001 tasks=24 run=4 fails=12
at 3 submit req-000003 service tasks=4 rank=production
at 9 submit req-000002 tasks=12 run=2 rank=production
run 40
expect done req-000001 req-000002
expect launches_repeated == 0
"""


def led_shards(runner: Runner) -> list[Any]:
    actors = [controller.actor for controller in runner.w().controllers.values()]
    return [shard for actor in actors if actor is not None for shard in actor.shards.values()]


def token_ranges(runner: Runner) -> set[tuple[int, int]]:
    return {(shard.term, shard.tokens.last) for shard in led_shards(runner)}


def test_no_two_leaderships_share_a_fencing_token() -> None:
    runner = Runner()
    for line in ("site size=3", "machines 3 m a", "at 9 crash berth-0 restart_after=0.3", "at 14 crash berth-1"):
        runner.execute_line(line)
    ranges: set[tuple[int, int]] = set()
    for second in range(2, 50, 2):
        runner.execute_line(f"run {second}")
        ranges |= token_ranges(runner)
    ordered = sorted(ranges)
    assert len(ordered) >= 5, ordered
    assert all(last < next_first for (_, last), (next_first, _) in pairwise(ordered)), ordered


def test_claim_after_previous_version_is_above_its_term() -> None:
    runner = Runner()
    for line in ("site size=1", "machines 1 m a", "run 3"):
        runner.execute_line(line)
    (before,) = token_ranges(runner)
    # The previous version claims terms one by one, above the highest number that was given.
    claim = {"if": [], "then": [{"write": "q/term", "v": {"term": before[1] + 5}}]}
    assert runner.w().store.answer("berth-0", "POST", "/txn", claim)[0] == 200
    for line in ("at 4 crash berth-0 restart_after=0.3", "run 9"):
        runner.execute_line(line)
    (after,) = token_ranges(runner)
    assert after[0] > before[1] + 5


def test_attempts_are_acknowledged_after_tokens_of_a_term_are_used_up(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (claims, fencing_tokens):
        monkeypatch.setattr(module, "TOKENS_PER_TERM", 2)
    runner = run_scenario(SCENARIO_OF_COPIES)
    states = {task.status for worker in runner.w().workers.values() for task in worker.tasks.values()}
    assert states == {"running"}
    (shard,) = led_shards(runner)
    assert shard.term > 2, "a higher term was claimed"


def test_usual_acknowledgements_need_no_claim() -> None:
    runner = run_scenario(SCENARIO_OF_COPIES)
    (shard,) = led_shards(runner)
    assert shard.term == 1
    assert any(worker.fencing_token > shard.term for worker in runner.w().workers.values())


def world_after(history: str, guards: frozenset[str] = ALL_GUARDS) -> World:
    world = World(workers=2, tasks=1, guards=guards)
    for step in parse_steps(history):
        perform(world, step)
    return world


def forget_exited_attempt(world: World, cause: str) -> None:
    """End the task on the first worker, have its result recorded if it is done, and its attempt acknowledged."""
    world.workers[0].exit(task_name(0), cause)
    for step in parse_steps("report:0:0,record:0:0,watch:0:0,report:0:0,report:0:0"):
        perform(world, step)
    assert not world.workers[0].tasks


@pytest.mark.parametrize("cause", [m.CAUSE_DONE, m.CAUSE_HALTED, m.CAUSE_ERROR, "no_room", "busy", "unknown"])
@pytest.mark.parametrize("by_successor", [False, True])
def test_late_copy_of_a_launch_is_refused_once_its_attempt_is_forgotten(cause: str, by_successor: bool) -> None:
    world = world_after("launch:0:0,twice:0:0")
    if by_successor:
        world.fail_over()
        perform(world, parse_steps("report:1:0")[0])
    forget_exited_attempt(world, cause)
    perform(world, parse_steps("do:0:0")[0])
    assert not world.workers[0].tasks


def test_late_copy_of_a_launch_is_carried_out_without_the_guard() -> None:
    world = world_after("launch:0:0,twice:0:0", ALL_GUARDS - {"repeated"})
    forget_exited_attempt(world, m.CAUSE_ERROR)
    perform(world, parse_steps("do:0:0")[0])
    assert world.workers[0].tasks


def test_late_copy_of_a_launch_of_an_unknown_job_is_refused_once_it_is_forgotten() -> None:
    world = world_after("launch:0:0,twice:0:0")
    machine = world.workers[0]
    perform(world, parse_steps("report:0:0")[0])
    world.leader.reconciler.detach(world.leader.reconciler.workers[machine.name], task_name(0))
    world.leader.reconciler.partitions.clear()
    machine.exit(task_name(0), m.CAUSE_HALTED)
    perform(world, parse_steps("report:0:0")[0])
    assert not machine.tasks
    perform(world, parse_steps("do:0:0")[0])
    assert not machine.tasks


def test_late_copy_of_a_launch_is_refused_once_the_adopted_attempt_is_forgotten() -> None:
    world = world_after("launch:0:0,twice:0:0")
    name, reconciler = world.workers[0].name, world.leader.reconciler
    reconciler.machine_gone(name)  # wrongly, so that the worker is added again without its attempts
    reconciler.workers[name] = Worker(name, None, "z", False, endpoint=name, registered=True)
    for step in parse_steps("report:0:0,report:0:0"):
        perform(world, step)
    assert reconciler.workers[name].attempts
    forget_exited_attempt(world, m.CAUSE_ERROR)
    perform(world, parse_steps("do:0:0")[0])
    assert not world.workers[0].tasks


def test_attempts_are_not_forgotten_while_a_direct_call_to_their_worker_is_in_flight() -> None:
    world = world_after("launch:0:0,do:0:0")
    world.workers[0].exit(task_name(0), m.CAUSE_ERROR)
    reconciler = world.leader.reconciler
    reconciler.workers[world.workers[0].name].command_open = True
    perform(world, parse_steps("report:0:0")[0])
    assert world.workers[0].tasks
    reconciler.workers[world.workers[0].name].command_open = False
    perform(world, parse_steps("report:0:0")[0])
    assert not world.workers[0].tasks


def test_a_new_machine_gets_a_token_above_those_of_all_launches_so_far() -> None:
    world = world_after("launch:0:0,do:0:0")
    reconciler = world.leader.reconciler
    launched = reconciler.workers[world.workers[0].name].attempts[task_name(0)]
    newcomer = Worker("w9", None, "z", False)
    reconciler.tokens.fence_new_worker(newcomer)
    assert launched.direct_call_token < reconciler.tokens.current(newcomer) <= reconciler.tokens.last
