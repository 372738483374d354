"""Random simulations: no rule of the protocol is broken and no controller logs an error.

The first kind is the one that broke rule `ran_twice` (docs/incidents/exited-before-the-roster.md): many preemptions
while the owner ends and restarts. The second overlaps all faults that the simulated services support. CI runs a few;
HYPOTHESIS_PROFILE=long runs a thousand, and another `--hypothesis-seed` other ones.
"""

import os

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.scenario.runner import run_scenario

settings.register_profile("ci", max_examples=6, derandomize=True)
settings.register_profile("long", max_examples=170)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
simulation_settings = settings(
    deadline=None, database=None, suppress_health_check=list(HealthCheck), report_multiple_bugs=False
)

AFFECTED_WORKERS = st.sampled_from(["busiest", "busiest", "third", "zone:a", "all"])
CONTROLLERS = ["berth-0", "berth-1", "berth-2", "berth-0 berth-1 berth-2"]


def tenths(low: float, high: float) -> st.SearchStrategy[float]:
    return st.integers(int(low * 10), int(high * 10)).map(lambda n: n / 10)


@st.composite
def preemption_runs(draw: st.DrawFn) -> str:
    """One controller that restarts three times, and short production jobs that preempt a long array."""
    machines = draw(st.integers(5, 13))
    lines = [
        f"seed {draw(st.integers(1, 10**6))}",
        f"machines {machines} m a",
        "site size=1",
        f"at 0 cloud capacity {machines}",
        f"at 1 submit req-000001 tasks={machines * 16} run=40 rank=low checkpoint_every=5 checkpoint_cost=0.3",
    ]
    at_s = draw(tenths(5, 9))
    for number in range(draw(st.integers(8, 18))):
        shape = draw(st.sampled_from(["tasks=3", "tasks=6", "tasks=12", "service tasks=3 spread=true"]))
        lines.append(
            f"at {at_s:.2f} submit req-{100000 + number} {shape} run={draw(st.sampled_from([1.5, 3, 6]))} "
            f"rank=production spot=false"
        )
        at_s += draw(tenths(0.2, 1.5))
    for _ in range(3):
        lines.append(
            f"at {draw(tenths(8, 20)):.2f} crash berth-0 restart_after={draw(st.sampled_from([0.05, 0.3, 0.6, 2]))}"
        )
    for _ in range(draw(st.integers(0, 3))):
        verb = draw(
            st.sampled_from(
                [
                    "hang",
                    "partition",
                    "block_outbound",
                    "block_inbound",
                    "duplicate_heartbeats",
                    "duplicate_commands",
                    "reboot",
                ]
            )
        )
        lines.append(
            f"at {draw(tenths(8, 20)):.2f} {verb} {draw(AFFECTED_WORKERS)} {draw(st.sampled_from([2, 6, 14, 25]))}"
        )
    return "\n".join([*lines, "run quiescent"])


@st.composite
def command_copy_runs(draw: st.DrawFn) -> str:
    """The same, while a share of the direct commands arrives again, up to 16 s or minutes later."""
    *lines, last = draw(preemption_runs()).splitlines()
    max_delay_s = draw(st.sampled_from([4, 16, 16, 90]))
    copies = (
        f"at 0.5 duplicate_commands all 60 share={draw(st.sampled_from([0.3, 1]))} min_delay=1 "
        f"max_delay={max_delay_s} times={draw(st.integers(1, 2))}"
    )
    return "\n".join([*lines, copies, last, "expect launches_repeated == 0"])


@st.composite
def overlapping_fault_runs(draw: st.DrawFn) -> str:
    """Three controllers; restarts, cuts, hangs, outages and late transactions with services, gangs and arrays."""
    seconds = st.sampled_from([1, 2, 6, 12, 14])
    lines = [
        f"seed {draw(st.integers(1, 10**6))}",
        f"machines {draw(st.integers(3, 7))} m a",
        f"machines {draw(st.integers(3, 7))} m b",
        "at 0 cloud capacity 14",
        "at 1 submit req-000001 tasks=160 run=30 rank=low checkpoint_every=5 checkpoint_cost=0.5",
        "at 1.5 submit req-000002 tasks=40 run=8 rank=normal",
    ]
    at_s = draw(tenths(6, 10))
    for number in range(100000, 100000 + draw(st.integers(20, 34))):
        event = draw(
            st.sampled_from(
                [
                    "service",
                    "service",
                    "work",
                    "gang",
                    "crash",
                    "crash",
                    "outage",
                    "hang",
                    "partition",
                    "partition_zone",
                    "lose_transaction_answers",
                    "reclaim",
                    "cancel",
                    "partition_peers",
                    "refuse_store_calls",
                    "block_inbound",
                    "block_inbound",
                    "duplicate_heartbeats",
                    "duplicate_commands",
                    "isolate",
                    "isolate",
                    "reboot",
                    "cloud",
                ]
            )
        )
        one = draw(st.sampled_from(CONTROLLERS[:3]))
        lines.append(
            f"at {at_s:.2f} "
            + {
                "service": f"submit req-{number} service tasks={draw(st.sampled_from([2, 4, 8]))} "
                f"spread={draw(st.sampled_from(['true', 'false']))} rank=production spot=false",
                "work": f"submit req-{number} tasks={draw(st.sampled_from([6, 20]))} run=2 rank=production",
                "gang": f"submit req-{number} gang tasks={draw(st.sampled_from([3, 6]))} run=5 rank=normal",
                "crash": f"crash {draw(st.sampled_from(CONTROLLERS))} "
                f"restart_after={draw(st.sampled_from([0.05, 0.3, 1, 5]))}",
                "block_inbound": f"block_inbound {draw(AFFECTED_WORKERS)} {draw(st.sampled_from([3, 9, 25]))} "
                f"{draw(st.sampled_from(['', 'lost']))}",
                "duplicate_heartbeats": f"duplicate_heartbeats {draw(AFFECTED_WORKERS)} {draw(seconds)} "
                f"times={draw(st.integers(1, 3))} "
                f"max_delay={draw(seconds) + 16}",
                "duplicate_commands": f"duplicate_commands {draw(AFFECTED_WORKERS)} {draw(seconds)} "
                f"share={draw(st.sampled_from([0.3, 1]))} times={draw(st.integers(1, 2))} "
                f"max_delay={draw(seconds) + 4}",
                "isolate": f"isolate {one} {draw(st.sampled_from([5, 14, 40]))} "
                f"{draw(st.sampled_from(['held', 'refused', 'reset']))}",
                "reboot": f"reboot {draw(AFFECTED_WORKERS)} {draw(st.sampled_from(['', 'replaced']))}",
                "cloud": f"outage cloud {draw(seconds)}",
                "outage": f"outage store {draw(seconds)}",
                "hang": f"hang busiest {draw(seconds)}",
                "partition": f"partition busiest {draw(seconds)}",
                "partition_zone": f"partition_zone {draw(st.sampled_from(['a', 'b']))} {draw(seconds)}",
                "lose_transaction_answers": f"lose_transaction_answers {one} {draw(seconds)} 2",
                "reclaim": "reclaim busiest notice=0",
                "cancel": f"cancel req-{draw(st.integers(100000, number))}",
                "partition_peers": f"partition_peers {one} {draw(seconds)}",
                "refuse_store_calls": f"refuse_store_calls {one} {draw(seconds)}",
            }[event]
        )
        at_s += draw(tenths(0.1, 2.5))
    return "\n".join([*lines, "run quiescent"])


@st.composite
def crowded_runs(draw: st.DrawFn) -> str:
    """A stream of small jobs that nearly fills a fleet which cannot grow, and a few large jobs submitted among them.

    The rule that is checked for users: the largest jobs of each class start within 240 s, whatever arrives later.
    """
    machines, load = draw(st.integers(3, 5)), draw(st.sampled_from([0.6, 0.8, 0.9]))
    lines = [
        f"seed {draw(st.integers(1, 10**6))}",
        "site size=1",
        "team guest",
        "no_cloud_capacity",
        f"machines {machines} m a",
        "objective deadline small share=0.9",
        "objective finished large within=60 share=0.9",
    ]
    tasks, run_s = draw(st.sampled_from([6, 12])), draw(st.sampled_from([9, 15]))
    # Interval at which the stream takes the share `load` of the fleet; the large jobs come on top.
    every_s = tasks * 2 * run_s / (16 * machines * load)
    lines.append(
        f"at 1 submit_many 1000 {int(300 / every_s)} every={every_s:.3f} tasks={tasks} cpus=2 run={run_s} "
        f"estimate={run_s * draw(st.sampled_from([0.5, 1, 1.5]))} lane=small dueS={3 * run_s} "
        f"rank={draw(st.sampled_from(['normal', 'low']))} poll_every=15"
    )
    for number in range(draw(st.integers(1, 2))):
        shape = draw(
            st.sampled_from(
                [
                    "tasks=2 cpus=16",
                    "gang tasks=4 cpus=8",
                    "gang tasks=2 cpus=9",
                    "tasks=60 cpus=1",
                    "service tasks=2 cpus=8",
                    "tasks=3 cpus=10",
                ]
            )
        )
        lines.append(
            f"at {draw(tenths(3, 60)):.1f} submit req-{number:06d} {shape} run=6 estimate=6 "
            f"lane=large-{number} rank=normal team={draw(st.sampled_from(['team', 'guest']))}"
        )
    return "\n".join([*lines, "run 310"])


@given(preemption_runs())
@simulation_settings
def test_preemption_with_controller_restarts(script: str) -> None:
    run_scenario(script)


@given(command_copy_runs())
@simulation_settings
def test_late_copies_of_commands_start_nothing_again(script: str) -> None:
    run_scenario(script)


@given(crowded_runs())
@simulation_settings
def test_large_jobs_start_on_a_crowded_fleet(script: str) -> None:
    run_scenario(script)


@given(overlapping_fault_runs())
@simulation_settings
def test_random_overlapping_faults(script: str) -> None:
    run_scenario(script)
