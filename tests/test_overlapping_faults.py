"""Random simulations in which two or three faults overlap (docs/meetings.md); no rule is broken, no error is logged.

Each function draws the scenario lines of one combination of faults, starting at a given time. Most of them concern the
owner `berth-0`; users mostly cancel through another controller. CI runs a few; HYPOTHESIS_PROFILE=long runs more, and
another `--hypothesis-seed` other ones.
"""

from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from tests.scenario.runner import run_scenario
from tests.test_random_simulations import CONTROLLERS, simulation_settings, tenths

Draw = st.DrawFn
#: an array of long tasks, a service, a gang, and jobs of two or three tasks that end at different times
JOB_IDS = ["req-000001", "req-000002", "req-000003", "req-000004", "req-000005", "req-000006"]
OTHER_CONTROLLERS = st.sampled_from(["berth-1", "berth-2"])
CUT_MODES = st.sampled_from(["held", "refused", "reset"])
RESTART_S = st.sampled_from([0.05, 0.3, 1, 5])


def cancellations(draw: Draw, at_s: float, max_count: int = 3) -> list[str]:
    """Users cancel jobs around a given time, mostly through a controller that does not own them."""
    chosen = draw(st.lists(st.sampled_from(JOB_IDS), max_size=max_count, unique=True))
    return [
        f"at {max(2.5, at_s + draw(tenths(-1, 4))):.2f} cancel {job_id} via={draw(OTHER_CONTROLLERS)}"
        for job_id in chosen
    ]


def state_service_outages(draw: Draw, at_s: float) -> list[str]:
    """The state service refuses the owner only, then is down for all; once, or twice in a row."""
    lines = []
    for _ in range(draw(st.integers(1, 2))):
        alone_s, all_s = draw(st.sampled_from([2, 5, 14])), draw(st.sampled_from([8, 20, 40, 75, 105]))
        down_s = at_s + draw(tenths(0.5, alone_s + 1))
        lines += [
            f"at {at_s:.2f} partition_store berth-0 {alone_s} {draw(CUT_MODES)}",
            *cancellations(draw, at_s),
            f"at {down_s:.2f} outage store {all_s}",
        ]
        if draw(st.booleans()):
            lines.append(f"at {down_s + draw(tenths(0, 9)):.2f} crash berth-0 restart_after={draw(RESTART_S)}")
        if draw(st.booleans()):
            lines.append(f"at {at_s:.2f} partition_workers {draw(OTHER_CONTROLLERS)} {alone_s + all_s}")
        at_s = down_s + all_s + draw(tenths(0, 8))
    return lines


def slow_state_service(draw: Draw, at_s: float) -> list[str]:
    """The state service is slow, then refuses one controller or all, while users cancel and poll."""
    return [
        f"at {at_s:.2f} slow_store {draw(st.sampled_from(['all', 'berth-0', 'berth-1']))} "
        f"{draw(st.sampled_from([6, 15, 30]))} {draw(st.sampled_from([0.4, 1.6, 3]))}",
        f"at {at_s + 1:.2f} poll_many {draw(st.sampled_from(JOB_IDS))} 40 over=20",
        *cancellations(draw, at_s + 2),
        f"at {at_s + draw(tenths(2, 12)):.2f} {draw(st.sampled_from(['refuse_store_calls berth-0', 'outage store']))} "
        f"{draw(st.sampled_from([5, 14, 40]))}",
    ]


def leader_partition(draw: Draw, at_s: float) -> list[str]:
    """A leader is cut off from the state service and its peers; workers and users still reach it."""
    return [
        f"at {at_s:.2f} isolate berth-0 {draw(st.sampled_from([5, 14, 40]))} {draw(CUT_MODES)}",
        *cancellations(draw, at_s + 3),
        f"at {at_s + 2:.2f} submit NEW tasks=3 run=2 via=berth-0",
        f"at {at_s + 3:.2f} cancel {draw(st.sampled_from(JOB_IDS))} via=berth-0",
        *(
            [f"at {at_s + 1:.2f} partition_workers berth-1 30 zone={draw(st.sampled_from('ab'))}"]
            if draw(st.booleans())
            else []
        ),
    ]


def leader_changes(draw: Draw, at_s: float) -> list[str]:
    """Leadership changes back and forth while tasks of small jobs end one by one, some on lost machines."""
    lines = []
    for _ in range(draw(st.integers(1, 4))):
        lines.append(f"at {at_s:.2f} crash berth-0 restart_after={draw(st.sampled_from([0.3, 5, 8, 14]))}")
        if draw(st.booleans()):
            lines.append(f"at {at_s + draw(tenths(0, 4)):.2f} reclaim busiest notice=0")
        at_s += draw(tenths(1, 14))
    return lines


def stale_heartbeats(draw: Draw, at_s: float) -> list[str]:
    """Heartbeats of earlier sessions, attempts and machines reach the current owners after newer ones."""
    who = draw(st.sampled_from(["all", "third", "zone:a"]))
    return [
        f"at {at_s:.2f} duplicate_heartbeats {who} {draw(st.sampled_from([6, 14]))} times={draw(st.integers(1, 3))} "
        f"max_delay={draw(st.sampled_from([4, 14, 30]))}",
        f"at {at_s + draw(tenths(0, 6)):.2f} "
        f"{draw(st.sampled_from(['partition', 'block_inbound', 'block_outbound']))} {who} 14",
        f"at {at_s + draw(tenths(0, 20)):.2f} reboot {draw(st.sampled_from(['third', 'busiest']))} "
        f"{draw(st.sampled_from(['', 'replaced']))}",
        f"at {at_s + draw(tenths(0, 20)):.2f} crash berth-0 restart_after={draw(RESTART_S)}",
    ]


def late_command_copies(draw: Draw, at_s: float) -> list[str]:
    """Direct commands that were carried out arrive again, while jobs end, are cancelled and change hands."""
    return [
        f"at {max(1, at_s - 5):.2f} duplicate_commands {draw(st.sampled_from(['all', 'third', 'zone:a']))} 14 "
        f"share={draw(st.sampled_from([0.3, 1]))} max_delay={draw(st.sampled_from([4, 16, 60]))} "
        f"times={draw(st.integers(1, 2))}",
        *(f"at {at_s + draw(tenths(0, 5)):.2f} submit NEW tasks=6 run=2 fails=3 rank=production" for _ in range(2)),
        *cancellations(draw, at_s),
        f"at {at_s + draw(tenths(0, 9)):.2f} crash berth-0 restart_after={draw(RESTART_S)}",
    ]


def unreachable_workers(draw: Draw, at_s: float) -> list[str]:
    """A leader ends while machines with long tasks are unreachable, or do not receive its successor's answers."""
    fault = draw(st.sampled_from(["partition zone:a", "block_inbound zone:a", "block_inbound third", "hang third"]))
    lost = draw(st.sampled_from(["", " lost"])) if not fault.startswith("hang") else ""
    lines = [
        f"at {at_s:.2f} {fault} {draw(st.sampled_from([6, 14, 30]))}{lost}",
        f"at {at_s + draw(tenths(0, 4)):.2f} crash berth-0 restart_after={draw(st.sampled_from([0.3, 8, 30]))}",
        *cancellations(draw, at_s),
    ]
    return [*lines, f"at {at_s:.2f} outage cloud 30"] if draw(st.booleans()) else lines


def delayed_commands(draw: Draw, at_s: float) -> list[str]:
    """Commands or their answers are delayed by seconds, while jobs are cancelled and owners change."""
    lines = [
        f"at {at_s:.2f} slow_commands {draw(st.sampled_from(['all', 'third', 'zone:b']))} 12 "
        f"request_delay={draw(st.sampled_from([0, 3, 9]))} answer_delay={draw(st.sampled_from([0, 3, 9]))}",
        *(
            f"at {at_s + draw(tenths(0, 5)):.2f} submit NEW "
            f"{draw(st.sampled_from(['tasks=6 run=4', 'gang tasks=3 run=3', 'service tasks=2 spot=false']))} "
            f"rank=production"
            for _ in range(3)
        ),
        *cancellations(draw, at_s + 1),
    ]
    if draw(st.booleans()):
        faults = [
            "crash berth-0 restart_after=0.3",
            "isolate berth-0 14 held",
            "hang third 5",
            "block_inbound third 8",
            "reboot third replaced",
        ]
        lines.append(f"at {at_s + draw(tenths(0, 10)):.2f} {draw(st.sampled_from(faults))}")
    return lines


def late_transactions(draw: Draw, at_s: float) -> list[str]:
    """Some transactions go unanswered and are carried out 2 to 12 s later, after newer ones."""
    one = draw(st.sampled_from(["berth-0", "berth-1"]))
    lines = [
        f"at {at_s:.2f} lose_transaction_answers {one} {draw(st.sampled_from([5, 15, 30]))} 2 12 "
        f"share={draw(st.sampled_from([0.2, 0.5, 1.0]))}",
        *cancellations(draw, at_s + 3, 2),
    ]
    if draw(st.booleans()):
        lines.append(f"at {at_s + draw(tenths(0, 9)):.2f} crash {one} restart_after={draw(RESTART_S)}")
    return lines


def controller_restarts(draw: Draw, at_s: float) -> list[str]:
    """Controllers hand over and back, or all end and one returns, also within a second or during an election."""
    lines = [f"at {at_s:.2f} crash berth-0 restart_after={draw(st.sampled_from([4, 8, 25]))}"]
    for _ in range(draw(st.integers(1, 4))):
        who = draw(st.sampled_from(["berth-1", "berth-2", "berth-1 berth-2", "berth-0 berth-1 berth-2"]))
        at_s += draw(tenths(0.1, 6))
        lines.append(f"at {at_s:.2f} crash {who} restart_after={draw(RESTART_S)}")
    if draw(st.booleans()):
        lines.append(f"at {at_s:.2f} page_delay {draw(st.sampled_from([0.05, 0.3]))}")
    return lines


# Fault scenarios of the second page of docs/meetings.md.


def team_limits(draw: Draw, at_s: float) -> list[str]:
    """A team at its limit has jobs cancelled whose machines are cut off or hang, and the leader changes."""
    hang_s = draw(st.sampled_from([0, 5, 9, 20]))
    fault = draw(
        st.sampled_from(
            [
                "partition third 14 lost",
                "partition busiest 20",
                "hang third 9",
                "block_inbound third 20",
                "block_outbound third 20",
                "block_inbound zone:a 14 lost",
            ]
        )
    )
    lines = [
        f"at {max(2.3, at_s - 4):.2f} submit NEW tasks=8 run=200 team=capped",
        f"at {max(2.3, at_s - 4):.2f} submit NEW tasks=4 run=90 team=capped",
        f"at {at_s - 1:.2f} submit NEW tasks=20 run=3 team=capped rank={draw(st.sampled_from(['low', 'normal']))}",
        f"at {at_s + draw(tenths(0, 3)):.2f} {fault}",
        f"at {at_s + draw(tenths(0, 3)):.2f} cancel_running {draw(st.integers(1, 4))} hang={hang_s}",
        f"at {at_s + draw(tenths(0, 4)):.2f} crash {draw(OTHER_CONTROLLERS)} berth-0 "
        f"restart_after={draw(RESTART_S) * 4}",
    ]
    return [*lines, f"at {at_s + draw(tenths(4, 14)):.2f} cancel_running 2 via={draw(OTHER_CONTROLLERS)}"]


def inspecting_users(draw: Draw, at_s: float) -> list[str]:
    """Users poll closely and send malformed requests; jobs are cancelled at their end or at once, some by many."""
    lines = [
        f"at {at_s:.2f} poll_on_change 20 cancel={draw(st.sampled_from([0, 0.2]))}",
        f"at {at_s:.2f} irregular_requests 20",
        f"at {at_s:.2f} cancel_on_completion 20 share={draw(st.sampled_from([0.3, 1.0]))}",
    ]
    return lines + [
        f"at {at_s + draw(tenths(0, 15)):.2f} submit NEW tasks={draw(st.integers(1, 3))} run=1 "
        f"run_increment={draw(st.sampled_from([0, 2]))}"
        for _ in range(8)
    ]


def muted_workers(draw: Draw, at_s: float) -> list[str]:
    """Machines cannot reach any controller but still get direct commands; jobs on them are cancelled."""
    who = draw(st.sampled_from(["third", "busiest", "zone:a", "all"]))
    lines = [
        f"at {at_s:.2f} block_outbound {who} {draw(st.sampled_from([5, 12, 30]))} "
        f"{draw(st.sampled_from(['', 'refused']))}",
        f"at {at_s + draw(tenths(0, 4)):.2f} cancel_running 2 hang={draw(st.sampled_from([0, 6]))}",
    ]
    return [*lines, f"at {at_s + draw(tenths(0, 12)):.2f} crash berth-0 restart_after={draw(RESTART_S)}"]


def lost_transaction_answers(draw: Draw, at_s: float) -> list[str]:
    """Transactions are carried out but their answers are lost, while others read what they wrote."""
    return [
        f"at {at_s:.2f} lose_transaction_answers {draw(st.sampled_from(['all', 'berth-0', 'berth-1']))} "
        f"{draw(st.sampled_from([5, 15, 30]))} at_once share={draw(st.sampled_from([0.2, 0.5, 1.0]))}",
        *cancellations(draw, at_s + 2),
        f"at {at_s + draw(tenths(0, 9)):.2f} submit NEW tasks=4 run=3",
        f"at {at_s + draw(tenths(0, 9)):.2f} crash {draw(st.sampled_from(CONTROLLERS[:2]))} "
        f"restart_after={draw(RESTART_S)}",
    ]


def stale_heartbeats_to_next_leader(draw: Draw, at_s: float) -> list[str]:
    """Stale heartbeats reach every controller just as a new leader begins."""
    fault = draw(
        st.sampled_from(
            [
                "reboot third replaced",
                "reboot busiest",
                "reclaim busiest notice=0",
                "partition third 14 lost",
                "block_inbound third 14",
                "hang zone:a 9",
            ]
        )
    )
    return [
        f"at {max(2.5, at_s - 4):.2f} duplicate_heartbeats all {draw(st.sampled_from([1, 4, 12]))} for_next_leader",
        f"at {at_s + draw(tenths(-2, 3)):.2f} {fault}",
        *cancellations(draw, at_s),
        f"at {at_s + draw(tenths(0, 6)):.2f} crash berth-0 restart_after={draw(RESTART_S)}",
        f"at {at_s + draw(tenths(6, 14)):.2f} crash {draw(OTHER_CONTROLLERS)} berth-0 restart_after={draw(RESTART_S)}",
    ]


def new_machines(draw: Draw, at_s: float) -> list[str]:
    """New machines boot within two seconds and get work at once, while writes lag and the leader ends."""
    how = draw(st.sampled_from(["12 at_once share=0.5", "12 1 4 share=0.6", "8 2 12 share=1.0"]))
    return [
        f"at {max(2.1, at_s - 2):.2f} boot_time {draw(st.sampled_from([0.3, 1, 2]))}",
        f"at {at_s:.2f} lose_transaction_answers {draw(st.sampled_from(['berth-0', 'berth-1']))} {how}",
        f"at {at_s:.2f} cloud lost_answers {draw(st.integers(0, 2))}",
        f"at {at_s + 1:.2f} submit NEW tasks=40 run=5 rank=urgent",
        f"at {at_s + draw(tenths(1, 5)):.2f} crash berth-0 restart_after={draw(RESTART_S)}",
        f"at {at_s + draw(tenths(2, 9)):.2f} reclaim zone:{draw(st.sampled_from('ab'))} notice=0",
    ]


def cancellations_during_handover(draw: Draw, at_s: float) -> list[str]:
    """Jobs are cancelled during the seconds in which a controller's work is handed over."""
    lines = [f"at {at_s:.2f} crash berth-0 restart_after={draw(st.sampled_from([0.3, 5, 9]))}"]
    if draw(st.booleans()):
        lines.append(f"at {max(2.1, at_s - 1):.2f} page_delay {draw(st.sampled_from([0.05, 0.3]))}")
    for _ in range(draw(st.integers(2, 5))):
        lines += cancellations(draw, at_s + draw(tenths(0, 5)), 1)
        lines.append(f"at {at_s + draw(tenths(0, 5)):.2f} cancel_running 1 hang={draw(st.sampled_from([0, 9]))}")
    return [
        *lines,
        f"at {at_s + draw(tenths(3, 9)):.2f} crash {draw(OTHER_CONTROLLERS)} restart_after={draw(RESTART_S)}",
    ]


def isolated_zone(draw: Draw, at_s: float) -> list[str]:
    """A zone with its workers and a controller is isolated, mostly for longer than a lease."""
    how = draw(st.sampled_from(["held", "reset"]))
    return [
        f"at {at_s:.2f} isolate_zone {draw(st.sampled_from('ab'))} berth-0 {draw(st.sampled_from([6, 14, 30]))} {how}",
        *cancellations(draw, at_s + 2),
        f"at {at_s + draw(tenths(0, 9)):.2f} submit NEW tasks=4 run=3 via={draw(OTHER_CONTROLLERS)}",
    ]


def frequent_leader_changes(draw: Draw, at_s: float) -> list[str]:
    """Leaders change repeatedly, sometimes all at once, and during an outage."""
    lines = [f"at {at_s + 9:.2f} outage store {draw(st.sampled_from([6, 20]))}"] if draw(st.booleans()) else []
    for _ in range(draw(st.integers(4, 10))):
        who = draw(st.sampled_from(["berth-0", "berth-1", "berth-2", "berth-0 berth-1", "berth-0 berth-1 berth-2"]))
        lines.append(f"at {at_s:.2f} crash {who} restart_after={draw(st.sampled_from([0.3, 2, 4, 9]))}")
        at_s += draw(tenths(1, 12))
    return lines


def overload(draw: Draw, at_s: float) -> list[str]:
    """More work than capacity, urgent and not, over slow links."""
    return [
        f"at {at_s:.2f} slow_links {draw(st.sampled_from([10, 30]))} {draw(st.sampled_from([0.1, 0.4, 0.8]))}",
        f"at {at_s + 1:.2f} submit NEW tasks=60 run=4 rank=low checkpoint_every=2 checkpoint_cost=0.2",
        *(f"at {at_s + 2 + n:.2f} submit NEW tasks=4 run=3 rank=urgent" for n in range(6)),
        f"at {at_s + 3:.2f} submit NEW service tasks=4 spread=true spot=false rank=production",
        *cancellations(draw, at_s + 4),
    ]


def single_task_jobs(draw: Draw, at_s: float) -> list[str]:
    """Single-task jobs arrive four a second; a quarter of them is cancelled."""
    return [
        f"at {at_s:.2f} submit_many 2000 {draw(st.sampled_from([40, 100]))} every=0.25 tasks=1 run=4 poll_every=6 "
        f"cancel_after={draw(st.sampled_from([0.05, 1, 4]))}"
    ]


def zone_bound_jobs(draw: Draw, at_s: float) -> list[str]:
    """Jobs bound to one zone, arrays included, lose machines or the whole zone."""
    fault = draw(
        st.sampled_from(
            [
                "reclaim zone:a",
                "reclaim zone:b",
                "partition zone:a 14",
                "partition zone:b 6 lost",
                "hang zone:a 9",
                "hang zone:b 14",
                "reboot zone:a",
                "reboot busiest replaced",
            ]
        )
    )
    shape = draw(st.sampled_from(["tasks=12", "gang tasks=3"]))
    return [
        f"at {max(2.3, at_s - 4):.2f} submit NEW tasks=12 run=9 zone=a",
        f"at {max(2.3, at_s - 4):.2f} submit NEW {shape} run=9 together=true",
        f"at {at_s:.2f} {fault}",
        f"at {at_s + draw(tenths(0, 6)):.2f} crash berth-0 restart_after={draw(RESTART_S)}",
    ]


def unanswered_shard_handovers(draw: Draw, at_s: float) -> list[str]:
    """A shard returns to its home; the handover's answer is lost, work arrives, and the home reaches only one zone."""
    one = draw(OTHER_CONTROLLERS)
    lines = [
        f"at {at_s:.2f} crash {one} restart_after={draw(st.sampled_from([5, 10]))}",
        f"at {at_s + 12:.2f} submit NEW tasks=300 run=2 rank=low",
        f"at {at_s + 14:.2f} hand_over_unanswered berth-0 {draw(st.sampled_from([0.5, 1.9, 5]))}",
        f"at {at_s + 14:.2f} hand_over_unanswered berth-1 {draw(st.sampled_from([0.5, 1.9, 5]))}",
        f"at {at_s + 14:.2f} partition_workers {one} 30 zone={draw(st.sampled_from('ab'))}",
        f"at {at_s + 14:.2f} submit_many 3000 60 every=0.25 via=berth-0 tasks=1 run=3 rank=production",
    ]
    return [
        *lines,
        f"at {at_s + draw(tenths(20, 45)):.2f} {draw(st.sampled_from(['hang third 9', 'reclaim busiest']))}",
    ]


def dependent_jobs(draw: Draw, at_s: float) -> list[str]:
    """Jobs of any shape wait for others, some are cancelled at awkward moments, and owners change."""
    lines = []
    for index in range(draw(st.integers(3, 9))):
        before = [f"req-{4000 + n:06d}" for n in range(index)] + JOB_IDS[2:4]
        dependencies = draw(st.lists(st.sampled_from(before), max_size=3))
        after = f" after={','.join(dependencies)}" if dependencies else ""
        lines.append(
            f"at {max(2.5, at_s - 6) + 0.3 * index:.2f} submit req-{4000 + index:06d} "
            f"tasks={draw(st.integers(1, 6))} run={draw(st.sampled_from([1, 3, 8]))}{after} "
            f"rank={draw(st.sampled_from(['low', 'normal', 'urgent']))} dueS={draw(st.sampled_from([30, 9]))}"
        )
        if draw(st.integers(0, 3)) == 0:
            lines.append(
                f"at {at_s + draw(tenths(0, 20)):.2f} cancel req-{4000 + index:06d} via={draw(OTHER_CONTROLLERS)}"
            )
    for _ in range(draw(st.integers(0, 3))):
        who = draw(st.sampled_from(["berth-0", "berth-1", "berth-0 berth-1 berth-2"]))
        lines.append(f"at {at_s + draw(tenths(0, 25)):.2f} crash {who} restart_after={draw(RESTART_S)}")
    return [
        *lines,
        *([f"at {at_s:.2f} lose_transaction_answers all 20 at_once share=0.4"] if draw(st.booleans()) else []),
        *([f"at {at_s:.2f} cancel_on_completion 30 share=0.3"] if draw(st.booleans()) else []),
    ]


SECOND_PAGE_SCENARIOS: list[Callable[[Draw, float], list[str]]] = [
    team_limits,
    inspecting_users,
    muted_workers,
    lost_transaction_answers,
    stale_heartbeats_to_next_leader,
    new_machines,
    cancellations_during_handover,
    isolated_zone,
    frequent_leader_changes,
    overload,
    single_task_jobs,
    zone_bound_jobs,
    unanswered_shard_handovers,
    dependent_jobs,
]
FAULT_SCENARIOS: list[Callable[[Draw, float], list[str]]] = [
    state_service_outages,
    slow_state_service,
    leader_partition,
    leader_changes,
    stale_heartbeats,
    late_command_copies,
    unreachable_workers,
    delayed_commands,
    late_transactions,
    controller_restarts,
    *SECOND_PAGE_SCENARIOS,
]


def reused_machine_addresses(draw: Draw, at_s: float) -> list[str]:
    """Other machines take over addresses amid slow links, lost answers and delayed commands."""
    disturbance = draw(
        st.sampled_from(
            [
                f"at {at_s - 1:.2f} slow_links 10 0.8",
                f"at {at_s + 0.1:.2f} slow_commands all 4 answer_delay=9",
                f"at {at_s - 1:.2f} slow_commands all 2 request_delay=7",
                f"at {at_s + 0.8:.2f} block_inbound third 8",
            ]
        )
    )
    shape = st.sampled_from(["tasks=12", "tasks=4", "gang tasks=4", "service tasks=4 spot=false"])
    lines = [disturbance, f"at {at_s:.2f} reboot {draw(st.sampled_from(['third', 'busiest', 'zone:a']))} replaced"]
    for _ in range(draw(st.integers(2, 5))):
        lines.append(f"at {at_s + draw(tenths(-1, 3)):.2f} submit NEW {draw(shape)} run=20 rank=production")
    if draw(st.booleans()):
        lines.append(f"at {at_s + draw(tenths(0, 3)):.2f} reboot third replaced")
    lines += cancellations(draw, at_s + 2)
    return [
        *lines,
        f"at {at_s + draw(tenths(1, 6)):.2f} crash {draw(st.sampled_from(CONTROLLERS))} "
        f"restart_after={draw(RESTART_S)}",
    ]


def simulation_script(draw: Draw, scenarios: list[Callable[[Draw, float], list[str]]]) -> str:
    lines = [
        f"seed {draw(st.integers(1, 10**6))}",
        f"site size={draw(st.sampled_from([2, 3, 3]))}",
        "team capped cpus_max=24",
        f"machines {draw(st.integers(3, 6))} m a",
        f"machines {draw(st.integers(3, 6))} m b",
        "at 0 cloud capacity 14",
        "at 1 submit req-000001 tasks=60 run=40 rank=low checkpoint_every=5 checkpoint_cost=0.5",
        "at 1.5 submit req-000002 service tasks=4 spread=true spot=false rank=production",
        "at 2 submit req-000003 tasks=3 run=4 run_increment=16",
        "at 2 submit req-000004 tasks=2 run=2 run_increment=30 rank=production",
        "at 2.2 submit req-000005 gang tasks=3 run=30",
        f"at {draw(tenths(4, 12)):.1f} submit req-000006 tasks=2 run=9 run_increment=9",
    ]
    at_s = draw(tenths(6, 14))
    for scenario in scenarios:
        lines += scenario(draw, at_s)
        at_s += draw(tenths(0, 12))
    if "site size=2" in lines:
        lines = [line.replace("berth-2", "berth-1") for line in lines]
    return "\n".join([*(line.replace("NEW", f"req-{n:06d}") for n, line in enumerate(lines, 100)), "run quiescent"])


@st.composite
def overlapping_scenarios(draw: Draw) -> str:
    chosen = draw(
        st.lists(st.sampled_from(FAULT_SCENARIOS), min_size=2, max_size=3, unique=True)
    )  # its job ids are used once
    return simulation_script(draw, chosen)


@st.composite
def outage_runs(draw: Draw) -> str:
    return simulation_script(draw, [state_service_outages])


@st.composite
def second_page_runs(draw: Draw) -> str:
    """A scenario of the second page, with one of either page beside it."""
    first, other = draw(st.sampled_from(SECOND_PAGE_SCENARIOS)), draw(st.sampled_from(FAULT_SCENARIOS))
    return simulation_script(draw, [first, other] if other is not first else [first])


@st.composite
def dependent_job_runs(draw: Draw) -> str:
    return simulation_script(
        draw,
        [
            dependent_jobs,
            draw(st.sampled_from([scenario for scenario in FAULT_SCENARIOS if scenario is not dependent_jobs])),
        ],
    )


@st.composite
def reused_address_runs(draw: Draw) -> str:
    return simulation_script(
        draw, [reused_machine_addresses, *draw(st.sampled_from([[], [draw(st.sampled_from(FAULT_SCENARIOS))]]))]
    )


@given(reused_address_runs())
@simulation_settings
def test_reused_machine_addresses(script: str) -> None:
    run_scenario(script)


@given(dependent_job_runs())
@simulation_settings
def test_dependent_jobs_during_faults(script: str) -> None:
    run_scenario(script)


@given(second_page_runs())
@simulation_settings
def test_second_page_fault_scenarios(script: str) -> None:
    run_scenario(script)


@given(outage_runs())
@simulation_settings
def test_state_service_outages(script: str) -> None:
    run_scenario(script)


@given(overlapping_scenarios())
@simulation_settings
def test_overlapping_fault_scenarios(script: str) -> None:
    run_scenario(script)
