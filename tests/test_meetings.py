"""Random days on which two or three troubles meet (docs/meetings.md); no rule is broken and no error is logged.

Each function draws the lines of one meeting from a moment on. The owner that most of them are about is `berth-0`;
whoever cancels is mostly another. CI plays a few; HYPOTHESIS_PROFILE=long plays more, with another
`--hypothesis-seed` others.
"""

from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from tests.scenario.runner import run_scenario
from tests.test_random_days import OWNERS, days, tenths

Draw = st.DrawFn
#: arrays of long tasks, a service, a gang, and jobs of two or three tasks that end far apart
JOBS = ["req-000001", "req-000002", "req-000003", "req-000004", "req-000005", "req-000006"]
OTHERS = st.sampled_from(["berth-1", "berth-2"])
MODES = st.sampled_from(["held", "refused", "reset"])
BACK = st.sampled_from([0.05, 0.3, 1, 5])


def cancels(draw: Draw, at_s: float, most: int = 3) -> list[str]:
    """Users cancel just before a moment, at it or after it, mostly through another controller than the owner."""
    chosen = draw(st.lists(st.sampled_from(JOBS), max_size=most, unique=True))
    return [f"at {max(2.5, at_s + draw(tenths(-1, 4))):.2f} cancel {job_id} via={draw(OTHERS)}" for job_id in chosen]


def gap(draw: Draw, at_s: float) -> list[str]:
    """The state service refuses the owner alone, then is down for all; once, or twice in a row."""
    lines = []
    for _ in range(draw(st.integers(1, 2))):
        alone_s, all_s = draw(st.sampled_from([2, 5, 14])), draw(st.sampled_from([8, 20, 40, 75, 105]))
        down_s = at_s + draw(tenths(0.5, alone_s + 1))
        lines += [
            f"at {at_s:.2f} partition_store berth-0 {alone_s} {draw(MODES)}",
            *cancels(draw, at_s),
            f"at {down_s:.2f} outage store {all_s}",
        ]
        if draw(st.booleans()):
            lines.append(f"at {down_s + draw(tenths(0, 9)):.2f} crash berth-0 restart_after={draw(BACK)}")
        if draw(st.booleans()):
            lines.append(f"at {at_s:.2f} partition_workers {draw(OTHERS)} {alone_s + all_s}")
        at_s = down_s + all_s + draw(tenths(0, 8))
    return lines


def slow(draw: Draw, at_s: float) -> list[str]:
    """The state service answers slowly, then refuses one or all, while users cancel and ask."""
    return [
        f"at {at_s:.2f} slow_store {draw(st.sampled_from(['all', 'berth-0', 'berth-1']))} "
        f"{draw(st.sampled_from([6, 15, 30]))} {draw(st.sampled_from([0.4, 1.6, 3]))}",
        f"at {at_s + 1:.2f} poll_many {draw(st.sampled_from(JOBS))} 40 over=20",
        *cancels(draw, at_s + 2),
        f"at {at_s + draw(tenths(2, 12)):.2f} {draw(st.sampled_from(['refuse_store_calls berth-0', 'outage store']))} "
        f"{draw(st.sampled_from([5, 14, 40]))}",
    ]


def cut_leader(draw: Draw, at_s: float) -> list[str]:
    """A leader loses the state service and its peers; workers and users still reach it."""
    return [
        f"at {at_s:.2f} isolate berth-0 {draw(st.sampled_from([5, 14, 40]))} {draw(MODES)}",
        *cancels(draw, at_s + 3),
        f"at {at_s + 2:.2f} submit NEW tasks=3 run=2 via=berth-0",
        f"at {at_s + 3:.2f} cancel {draw(st.sampled_from(JOBS))} via=berth-0",
        *(
            [f"at {at_s + 1:.2f} partition_workers berth-1 30 zone={draw(st.sampled_from('ab'))}"]
            if draw(st.booleans())
            else []
        ),
    ]


def change(draw: Draw, at_s: float) -> list[str]:
    """The leader changes, and back, while tasks of small jobs end one after the other, some on lost machines."""
    lines = []
    for _ in range(draw(st.integers(1, 4))):
        lines.append(f"at {at_s:.2f} crash berth-0 restart_after={draw(st.sampled_from([0.3, 5, 8, 14]))}")
        if draw(st.booleans()):
            lines.append(f"at {at_s + draw(tenths(0, 4)):.2f} reclaim busiest notice=0")
        at_s += draw(tenths(1, 14))
    return lines


def old_reports(draw: Draw, at_s: float) -> list[str]:
    """Old reports after newer ones, of earlier sessions, attempts and machines, at whoever owns what by then."""
    who = draw(st.sampled_from(["all", "third", "zone:a"]))
    return [
        f"at {at_s:.2f} duplicate_heartbeats {who} {draw(st.sampled_from([6, 14]))} times={draw(st.integers(1, 3))} "
        f"max_delay={draw(st.sampled_from([4, 14, 30]))}",
        f"at {at_s + draw(tenths(0, 6)):.2f} "
        f"{draw(st.sampled_from(['partition', 'block_inbound', 'block_outbound']))} {who} 14",
        f"at {at_s + draw(tenths(0, 20)):.2f} reboot {draw(st.sampled_from(['third', 'busiest']))} "
        f"{draw(st.sampled_from(['', 'replaced']))}",
        f"at {at_s + draw(tenths(0, 20)):.2f} crash berth-0 restart_after={draw(BACK)}",
    ]


def unreached(draw: Draw, at_s: float) -> list[str]:
    """A leader ends while machines with long tasks can't be reached, or don't hear whoever follows."""
    what = draw(st.sampled_from(["partition zone:a", "block_inbound zone:a", "block_inbound third", "hang third"]))
    lost = draw(st.sampled_from(["", " lost"])) if not what.startswith("hang") else ""
    lines = [
        f"at {at_s:.2f} {what} {draw(st.sampled_from([6, 14, 30]))}{lost}",
        f"at {at_s + draw(tenths(0, 4)):.2f} crash berth-0 restart_after={draw(st.sampled_from([0.3, 8, 30]))}",
        *cancels(draw, at_s),
    ]
    return [*lines, f"at {at_s:.2f} outage cloud 30"] if draw(st.booleans()) else lines


def commands(draw: Draw, at_s: float) -> list[str]:
    """Commands, or their answers, are held up for seconds; jobs are cancelled and owners change meanwhile."""
    lines = [
        f"at {at_s:.2f} slow_commands {draw(st.sampled_from(['all', 'third', 'zone:b']))} 12 "
        f"request_delay={draw(st.sampled_from([0, 3, 9]))} answer_delay={draw(st.sampled_from([0, 3, 9]))}",
        *(
            f"at {at_s + draw(tenths(0, 5)):.2f} submit NEW "
            f"{draw(st.sampled_from(['tasks=6 run=4', 'gang tasks=3 run=3', 'service tasks=2 spot=false']))} "
            f"rank=production"
            for _ in range(3)
        ),
        *cancels(draw, at_s + 1),
    ]
    if draw(st.booleans()):
        what = [
            "crash berth-0 restart_after=0.3",
            "isolate berth-0 14 held",
            "hang third 5",
            "block_inbound third 8",
            "reboot third replaced",
        ]
        lines.append(f"at {at_s + draw(tenths(0, 10)):.2f} {draw(st.sampled_from(what))}")
    return lines


def late(draw: Draw, at_s: float) -> list[str]:
    """A share of the transactions goes unanswered and is carried out 2 to 12 s later, after newer ones."""
    one = draw(st.sampled_from(["berth-0", "berth-1"]))
    lines = [
        f"at {at_s:.2f} lose_transaction_answers {one} {draw(st.sampled_from([5, 15, 30]))} 2 12 "
        f"share={draw(st.sampled_from([0.2, 0.5, 1.0]))}",
        *cancels(draw, at_s + 3, 2),
    ]
    if draw(st.booleans()):
        lines.append(f"at {at_s + draw(tenths(0, 9)):.2f} crash {one} restart_after={draw(BACK)}")
    return lines


def back(draw: Draw, at_s: float) -> list[str]:
    """Controllers hand over and back, all end, one returns; also within a second, and in the middle of an election."""
    lines = [f"at {at_s:.2f} crash berth-0 restart_after={draw(st.sampled_from([4, 8, 25]))}"]
    for _ in range(draw(st.integers(1, 4))):
        who = draw(st.sampled_from(["berth-1", "berth-2", "berth-1 berth-2", "berth-0 berth-1 berth-2"]))
        at_s += draw(tenths(0.1, 6))
        lines.append(f"at {at_s:.2f} crash {who} restart_after={draw(BACK)}")
    if draw(st.booleans()):
        lines.append(f"at {at_s:.2f} page_delay {draw(st.sampled_from([0.05, 0.3]))}")
    return lines


# Those of the second page.


def limits(draw: Draw, at_s: float) -> list[str]:
    """A team is at its limit; jobs of it are cancelled whose machines are cut off or hang, and the leader changes."""
    hang_s = draw(st.sampled_from([0, 5, 9, 20]))
    trouble = draw(
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
        f"at {at_s + draw(tenths(0, 3)):.2f} {trouble}",
        f"at {at_s + draw(tenths(0, 3)):.2f} cancel_running {draw(st.integers(1, 4))} hang={hang_s}",
        f"at {at_s + draw(tenths(0, 4)):.2f} crash {draw(OTHERS)} berth-0 restart_after={draw(BACK) * 4}",
    ]
    return [*lines, f"at {at_s + draw(tenths(4, 14)):.2f} cancel_running 2 via={draw(OTHERS)}"]


def looks(draw: Draw, at_s: float) -> list[str]:
    """Users look closely and send odd requests; jobs are called off at their end or at once, some by many."""
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


def muted(draw: Draw, at_s: float) -> list[str]:
    """Machines reach no controller, while direct commands reach them; jobs on them are cancelled."""
    who = draw(st.sampled_from(["third", "busiest", "zone:a", "all"]))
    lines = [
        f"at {at_s:.2f} block_outbound {who} {draw(st.sampled_from([5, 12, 30]))} "
        f"{draw(st.sampled_from(['', 'refused']))}",
        f"at {at_s + draw(tenths(0, 4)):.2f} cancel_running 2 hang={draw(st.sampled_from([0, 6]))}",
    ]
    return [*lines, f"at {at_s + draw(tenths(0, 12)):.2f} crash berth-0 restart_after={draw(BACK)}"]


def unanswered(draw: Draw, at_s: float) -> list[str]:
    """Transactions are carried out at once and only their answers are lost, while others read what they wrote."""
    return [
        f"at {at_s:.2f} lose_transaction_answers {draw(st.sampled_from(['all', 'berth-0', 'berth-1']))} "
        f"{draw(st.sampled_from([5, 15, 30]))} at_once share={draw(st.sampled_from([0.2, 0.5, 1.0]))}",
        *cancels(draw, at_s + 2),
        f"at {at_s + draw(tenths(0, 9)):.2f} submit NEW tasks=4 run=3",
        f"at {at_s + draw(tenths(0, 9)):.2f} crash {draw(st.sampled_from(OWNERS[:2]))} restart_after={draw(BACK)}",
    ]


def for_the_next(draw: Draw, at_s: float) -> list[str]:
    """Old reports are kept and reach every controller just as a new leader begins."""
    trouble = draw(
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
        f"at {at_s + draw(tenths(-2, 3)):.2f} {trouble}",
        *cancels(draw, at_s),
        f"at {at_s + draw(tenths(0, 6)):.2f} crash berth-0 restart_after={draw(BACK)}",
        f"at {at_s + draw(tenths(6, 14)):.2f} crash {draw(OTHERS)} berth-0 restart_after={draw(BACK)}",
    ]


def fresh(draw: Draw, at_s: float) -> list[str]:
    """New machines are up within two seconds and get work at once while writes lag, and the leader ends."""
    how = draw(st.sampled_from(["12 at_once share=0.5", "12 1 4 share=0.6", "8 2 12 share=1.0"]))
    return [
        f"at {max(2.1, at_s - 2):.2f} boot_time {draw(st.sampled_from([0.3, 1, 2]))}",
        f"at {at_s:.2f} lose_transaction_answers {draw(st.sampled_from(['berth-0', 'berth-1']))} {how}",
        f"at {at_s:.2f} cloud lost_answers {draw(st.integers(0, 2))}",
        f"at {at_s + 1:.2f} submit NEW tasks=40 run=5 rank=urgent",
        f"at {at_s + draw(tenths(1, 5)):.2f} crash berth-0 restart_after={draw(BACK)}",
        f"at {at_s + draw(tenths(2, 9)):.2f} reclaim zone:{draw(st.sampled_from('ab'))} notice=0",
    ]


def hands(draw: Draw, at_s: float) -> list[str]:
    """Jobs are cancelled in the seconds in which one controller's work changes hands."""
    lines = [f"at {at_s:.2f} crash berth-0 restart_after={draw(st.sampled_from([0.3, 5, 9]))}"]
    if draw(st.booleans()):
        lines.append(f"at {max(2.1, at_s - 1):.2f} page_delay {draw(st.sampled_from([0.05, 0.3]))}")
    for _ in range(draw(st.integers(2, 5))):
        lines += cancels(draw, at_s + draw(tenths(0, 5)), 1)
        lines.append(f"at {at_s + draw(tenths(0, 5)):.2f} cancel_running 1 hang={draw(st.sampled_from([0, 9]))}")
    return [*lines, f"at {at_s + draw(tenths(3, 9)):.2f} crash {draw(OTHERS)} restart_after={draw(BACK)}"]


def island(draw: Draw, at_s: float) -> list[str]:
    """A zone with its workers and a controller is cut off from all else, mostly for longer than a lease."""
    how = draw(st.sampled_from(["held", "reset"]))
    return [
        f"at {at_s:.2f} isolate_zone {draw(st.sampled_from('ab'))} berth-0 {draw(st.sampled_from([6, 14, 30]))} {how}",
        *cancels(draw, at_s + 2),
        f"at {at_s + draw(tenths(0, 9)):.2f} submit NEW tasks=4 run=3 via={draw(OTHERS)}",
    ]


def leaders(draw: Draw, at_s: float) -> list[str]:
    """Leaders change again and again, all of them at times, and inside an outage."""
    lines = [f"at {at_s + 9:.2f} outage store {draw(st.sampled_from([6, 20]))}"] if draw(st.booleans()) else []
    for _ in range(draw(st.integers(4, 10))):
        who = draw(st.sampled_from(["berth-0", "berth-1", "berth-2", "berth-0 berth-1", "berth-0 berth-1 berth-2"]))
        lines.append(f"at {at_s:.2f} crash {who} restart_after={draw(st.sampled_from([0.3, 2, 4, 9]))}")
        at_s += draw(tenths(1, 12))
    return lines


def crowd(draw: Draw, at_s: float) -> list[str]:
    """More work than room, urgent and not, over slow links."""
    return [
        f"at {at_s:.2f} slow_links {draw(st.sampled_from([10, 30]))} {draw(st.sampled_from([0.1, 0.4, 0.8]))}",
        f"at {at_s + 1:.2f} submit NEW tasks=60 run=4 rank=low checkpoint_every=2 checkpoint_cost=0.2",
        *(f"at {at_s + 2 + n:.2f} submit NEW tasks=4 run=3 rank=urgent" for n in range(6)),
        f"at {at_s + 3:.2f} submit NEW service tasks=4 spread=true spot=false rank=production",
        *cancels(draw, at_s + 4),
    ]


def singles(draw: Draw, at_s: float) -> list[str]:
    """One-task jobs come four a second, a quarter of them cancelled."""
    return [
        f"at {at_s:.2f} submit_many 2000 {draw(st.sampled_from([40, 100]))} every=0.25 tasks=1 run=4 poll_every=6 "
        f"cancel_after={draw(st.sampled_from([0.05, 1, 4]))}"
    ]


def one_zone(draw: Draw, at_s: float) -> list[str]:
    """Jobs bound to one zone, arrays too, lose machines, or the zone."""
    trouble = draw(
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
    bound = draw(st.sampled_from(["tasks=12", "gang tasks=3"]))
    return [
        f"at {max(2.3, at_s - 4):.2f} submit NEW tasks=12 run=9 zone=a",
        f"at {max(2.3, at_s - 4):.2f} submit NEW {bound} run=9 together=true",
        f"at {at_s:.2f} {trouble}",
        f"at {at_s + draw(tenths(0, 6)):.2f} crash berth-0 restart_after={draw(BACK)}",
    ]


def handed_over(draw: Draw, at_s: float) -> list[str]:
    """A shard goes home and the hand-over's answer is lost, while new work comes; its home reaches one zone alone."""
    one = draw(OTHERS)
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


def pipelines(draw: Draw, at_s: float) -> list[str]:
    """Jobs that wait for others, of any shape, some cancelled at awkward moments, while owners change."""
    lines = []
    for place in range(draw(st.integers(3, 9))):
        before = [f"req-{4000 + n:06d}" for n in range(place)] + JOBS[2:4]
        needs = draw(st.lists(st.sampled_from(before), max_size=3))
        after = f" after={','.join(needs)}" if needs else ""
        lines.append(
            f"at {max(2.5, at_s - 6) + 0.3 * place:.2f} submit req-{4000 + place:06d} "
            f"tasks={draw(st.integers(1, 6))} run={draw(st.sampled_from([1, 3, 8]))}{after} "
            f"rank={draw(st.sampled_from(['low', 'normal', 'urgent']))} dueS={draw(st.sampled_from([30, 9]))}"
        )
        if draw(st.integers(0, 3)) == 0:
            lines.append(f"at {at_s + draw(tenths(0, 20)):.2f} cancel req-{4000 + place:06d} via={draw(OTHERS)}")
    for _ in range(draw(st.integers(0, 3))):
        who = draw(st.sampled_from(["berth-0", "berth-1", "berth-0 berth-1 berth-2"]))
        lines.append(f"at {at_s + draw(tenths(0, 25)):.2f} crash {who} restart_after={draw(BACK)}")
    return [
        *lines,
        *([f"at {at_s:.2f} lose_transaction_answers all 20 at_once share=0.4"] if draw(st.booleans()) else []),
        *([f"at {at_s:.2f} cancel_on_completion 30 share=0.3"] if draw(st.booleans()) else []),
    ]


SECOND_PAGE: list[Callable[[Draw, float], list[str]]] = [
    limits,
    looks,
    muted,
    unanswered,
    for_the_next,
    fresh,
    hands,
    island,
    leaders,
    crowd,
    singles,
    one_zone,
    handed_over,
    pipelines,
]
MEETINGS: list[Callable[[Draw, float], list[str]]] = [
    gap,
    slow,
    cut_leader,
    change,
    old_reports,
    unreached,
    commands,
    late,
    back,
    *SECOND_PAGE,
]


def reused(draw: Draw, at_s: float) -> list[str]:
    """Machines are replaced by others at their addresses among slow links, lost answers and commands held up."""
    disturbed = draw(
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
    lines = [disturbed, f"at {at_s:.2f} reboot {draw(st.sampled_from(['third', 'busiest', 'zone:a']))} replaced"]
    for _ in range(draw(st.integers(2, 5))):
        lines.append(f"at {at_s + draw(tenths(-1, 3)):.2f} submit NEW {draw(shape)} run=20 rank=production")
    if draw(st.booleans()):
        lines.append(f"at {at_s + draw(tenths(0, 3)):.2f} reboot third replaced")
    lines += cancels(draw, at_s + 2)
    return [
        *lines,
        f"at {at_s + draw(tenths(1, 6)):.2f} crash {draw(st.sampled_from(OWNERS))} restart_after={draw(BACK)}",
    ]


def day(draw: Draw, meetings: list[Callable[[Draw, float], list[str]]]) -> str:
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
    for meeting in meetings:
        lines += meeting(draw, at_s)
        at_s += draw(tenths(0, 12))
    if "site size=2" in lines:
        lines = [line.replace("berth-2", "berth-1") for line in lines]
    return "\n".join([*(line.replace("NEW", f"req-{n:06d}") for n, line in enumerate(lines, 100)), "run quiescent"])


@st.composite
def pairs(draw: Draw) -> str:
    chosen = draw(st.lists(st.sampled_from(MEETINGS), min_size=2, max_size=3, unique=True))  # ids are used once
    return day(draw, chosen)


@st.composite
def gaps(draw: Draw) -> str:
    return day(draw, [gap])


@st.composite
def second_page(draw: Draw) -> str:
    """One of the second page, with one of either page beside it."""
    first, other = draw(st.sampled_from(SECOND_PAGE)), draw(st.sampled_from(MEETINGS))
    return day(draw, [first, other] if other is not first else [first])


@st.composite
def pipeline_days(draw: Draw) -> str:
    return day(draw, [pipelines, draw(st.sampled_from([meeting for meeting in MEETINGS if meeting is not pipelines]))])


@st.composite
def reused_addresses(draw: Draw) -> str:
    return day(draw, [reused, *draw(st.sampled_from([[], [draw(st.sampled_from(MEETINGS))]]))])


@given(reused_addresses())
@days
def test_addresses_that_are_reused(text: str) -> None:
    run_scenario(text)


@given(pipeline_days())
@days
def test_pipelines_among_troubles(text: str) -> None:
    run_scenario(text)


@given(second_page())
@days
def test_the_second_page(text: str) -> None:
    run_scenario(text)


@given(gaps())
@days
def test_the_gap(text: str) -> None:
    run_scenario(text)


@given(pairs())
@days
def test_meetings_that_overlap(text: str) -> None:
    run_scenario(text)
