"""Room for thousands of tasks is made in turns of bounded work, counted in function calls, whatever entitles them."""

import pytest

from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.preemptible_work import PreemptibleWork
from quinceslip.quota.amounts import UNLIMITED
from quinceslip.quota.harness import ShardHarness
from quinceslip.quota.tree import Level, Tree
from tests.turn_work import count_calls, run_lines

MACHINES, CPUS = 28, 64.0
#: small tasks, of which all machines together take this many
TASK_CPUS, PLACES = 0.25, 7168
UNLIMITED_REST = (UNLIMITED, UNLIMITED, UNLIMITED)
#: most turns that the placement of one job takes
MAX_TURNS = 200


def team(name: str, guaranteed_cpus: float = 0.0, cap_cpus: float | None = None) -> Level:
    cap = UNLIMITED if cap_cpus is None else int(cap_cpus * 1000)
    level = Level(name, "root", 1, (cap, *UNLIMITED_REST), team=True)
    if guaranteed_cpus:
        level.guarantee = (int(guaranteed_cpus * 1000), 0, UNLIMITED, UNLIMITED)
    return level


def harness_of(*teams: Level) -> ShardHarness:
    tree = Tree([Level("root", cap=(UNLIMITED, *UNLIMITED_REST)), *teams]) if teams else None
    return ShardHarness(tree, MACHINES, CPUS)


def run_turns(harness: ShardHarness) -> int:
    """Place what waits, turn by turn; returns the number of turns."""
    harness.state.needs_placement = True
    for turn in range(1, MAX_TURNS):
        count_calls(harness.placement.place_waiting)
        if not harness.state.needs_placement and not harness.placement.passes.interrupted:
            return turn
    raise AssertionError("placement does not come to an end")


def fill(harness: ShardHarness, team_name: str, tasks: int = 25_000, priority_class: str = "low") -> JobPartition:
    """Let a job of small tasks run wherever there is room, as its workers report."""
    partition = harness.submit(team_name, tasks, TASK_CPUS, priority_class)
    run_turns(harness)
    for worker in harness.state.workers.values():
        for attempt in worker.attempts.values():
            attempt.observed, attempt.running_since_us = True, harness.ctx.now_us
        worker.attempts_changed()
    return partition


def stopping(harness: ShardHarness) -> int:
    return sum(attempt.stopping for attempt in harness.running())


@pytest.mark.parametrize(
    ("guaranteed", "priority_class", "kind"),
    [
        (True, "normal", "array"),
        (True, "normal", "standing"),
        (False, "urgent", "array"),
        (False, "production", "standing"),
    ],
)
def test_room_for_thousands_of_tasks_is_made_in_short_turns(guaranteed: bool, priority_class: str, kind: str) -> None:
    # Guards against: each waiting task plans over all machines and their attempts again, and the watchdog ends leaders.
    harness = harness_of(team("own", 0.7 * MACHINES * CPUS), team("guest")) if guaranteed else harness_of()
    fill(harness, "guest" if guaranteed else "own")
    assert len(harness.running()) == PLACES
    own = harness.submit("own", 4000, TASK_CPUS, priority_class, kind)
    run_turns(harness)
    assert len(own.attempts) == 4000
    assert stopping(harness) == 4000, "no more is stopped than the tasks need"


def test_room_under_a_cap_is_made_in_short_turns() -> None:
    # Guards against: each waiting task goes through all that was stopped for the tasks before it.
    harness = harness_of(team("own", cap_cpus=5000 * TASK_CPUS), team("guest"))
    fill(harness, "own", 5000)
    fill(harness, "guest", 2000)
    urgent = harness.submit("own", 4000, TASK_CPUS, "urgent")
    run_turns(harness)
    assert stopping(harness) >= 1000
    for _ in range(20):
        harness.run_pass()
    assert len(urgent.attempts) == 4000
    assert not [attempt for attempt in harness.running() if attempt.spec.team == "guest" and attempt.stopping]


def test_room_for_a_gang_is_made_in_short_turns() -> None:
    # Guards against: victims that turn out not to be needed are looked for one by one in a list of all victims.
    harness = harness_of(team("own", 4000 * TASK_CPUS, 4000 * TASK_CPUS), team("guest"))
    fill(harness, "own", 4000)
    fill(harness, "guest", 3168)
    gang = harness.submit("own", 3000, TASK_CPUS, "urgent", "group")
    run_turns(harness)
    assert stopping(harness) >= 3000
    for _ in range(20):
        harness.run_pass()
    assert len(gang.attempts) == 3000


PREEMPTIONS = """
seed 2
site size=1 zones=a,b
machines 3 m a
machines 3 m b
no_cloud_capacity
at 1 submit req-000001 tasks=160 cpus=0.5 run=9 rank=low checkpoint_every=2 checkpoint_cost=0.5
at 1 submit req-000002 tasks=60 cpus=0.5 run=12 rank=normal
at 6 submit req-000003 tasks=50 cpus=1 run=4 rank=urgent
at 7 submit req-000004 service tasks=8 cpus=2 rank=production
at 9 partition n-000001 15
at 11 submit req-000005 tasks=40 cpus=1 run=2 rank=urgent fails=10
at 14 cancel req-000002
at 15 reboot n-000003
at 17 reclaim n-000004 notice=3
"""


def test_kept_order_of_victims_equals_one_computed_anew() -> None:
    # Guards against: a change that the kept order misses lets an attempt be stopped twice, or room be counted twice.
    runner, compared = run_lines(PREEMPTIONS), 0
    for twentieth in range(20, 500):
        runner.execute_line(f"run {twentieth / 20}")
        (actor,) = [c.actor for c in runner.w().controllers.values() if c.actor is not None]
        for worker in [worker for shard in actor.shards.values() for worker in shard.workers.values()]:
            kept, anew = worker.preemptible_work(), PreemptibleWork(worker.live_attempts())
            assert list(kept.victims()) == list(anew.victims())
            assert kept.room_being_freed == pytest.approx(anew.room_being_freed)
            compared += any(anew.room_being_freed)
    assert compared >= 20
