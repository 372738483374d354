"""Random days on which two or three troubles meet (docs/meetings.md); no rule is broken and no error is logged.

Each function draws the lines of one meeting from a moment on. The owner that most of them are about is `berth-0`;
whoever cancels is mostly another. CI plays a few; HYPOTHESIS_PROFILE=long plays more, with another
`--hypothesis-seed` others.
"""

from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from tests.test_random_days import days, tenths
from tests.test_scenarios import play

Draw = st.DrawFn
#: arrays of long tasks, a service, a gang, and jobs of two or three tasks that end far apart
JOBS = ["req-000001", "req-000002", "req-000003", "req-000004", "req-000005", "req-000006"]
OTHERS = st.sampled_from(["berth-1", "berth-2"])
MODES = st.sampled_from(["held", "refused", "reset"])
BACK = st.sampled_from([0.05, 0.3, 1, 5])


def cancels(draw: Draw, at_s: float, most: int = 3) -> list[str]:
    """Users cancel just before a moment, at it or after it, mostly through another controller than the owner."""
    chosen = draw(st.lists(st.sampled_from(JOBS), max_size=most, unique=True))
    return [f"at {max(2.5, at_s + draw(tenths(-1, 4))):.2f} cancel {uid} by={draw(OTHERS)}" for uid in chosen]


def gap(draw: Draw, at_s: float) -> list[str]:
    """The state service refuses the owner alone, then is down for all; once, or twice in a row."""
    lines = []
    for _ in range(draw(st.integers(1, 2))):
        alone_s, all_s = draw(st.sampled_from([2, 5, 14])), draw(st.sampled_from([8, 20, 40, 75, 105]))
        down_s = at_s + draw(tenths(0.5, alone_s + 1))
        lines += [f"at {at_s:.2f} cut_state berth-0 {alone_s} {draw(MODES)}",
                  *cancels(draw, at_s), f"at {down_s:.2f} outage state {all_s}"]
        if draw(st.booleans()):
            lines.append(f"at {down_s + draw(tenths(0, 9)):.2f} crash berth-0 back={draw(BACK)}")
        if draw(st.booleans()):
            lines.append(f"at {at_s:.2f} cut_workers {draw(OTHERS)} {alone_s + all_s}")
        at_s = down_s + all_s + draw(tenths(0, 8))
    return lines


def slow(draw: Draw, at_s: float) -> list[str]:
    """The state service answers slowly, then refuses one or all, while users cancel and ask."""
    return [f"at {at_s:.2f} slow {draw(st.sampled_from(['all', 'berth-0', 'berth-1']))} "
            f"{draw(st.sampled_from([6, 15, 30]))} {draw(st.sampled_from([0.4, 1.6, 3]))}",
            f"at {at_s + 1:.2f} poll_many {draw(st.sampled_from(JOBS))} 40 over=20", *cancels(draw, at_s + 2),
            f"at {at_s + draw(tenths(2, 12)):.2f} {draw(st.sampled_from(['refuse berth-0', 'outage state']))} "
            f"{draw(st.sampled_from([5, 14, 40]))}"]


def cut_leader(draw: Draw, at_s: float) -> list[str]:
    """A leader loses the state service and its peers; workers and users still reach it."""
    return [f"at {at_s:.2f} isolate berth-0 {draw(st.sampled_from([5, 14, 40]))} {draw(MODES)}",
            *cancels(draw, at_s + 3), f"at {at_s + 2:.2f} submit NEW tasks=3 run=2 by=berth-0",
            f"at {at_s + 3:.2f} cancel {draw(st.sampled_from(JOBS))} by=berth-0",
            *([f"at {at_s + 1:.2f} cut_workers berth-1 30 zone={draw(st.sampled_from('ab'))}"]
              if draw(st.booleans()) else [])]


def change(draw: Draw, at_s: float) -> list[str]:
    """The leader changes, and back, while tasks of small jobs end one after the other, some on lost machines."""
    lines = []
    for _ in range(draw(st.integers(1, 4))):
        lines.append(f"at {at_s:.2f} crash berth-0 back={draw(st.sampled_from([0.3, 5, 8, 14]))}")
        if draw(st.booleans()):
            lines.append(f"at {at_s + draw(tenths(0, 4)):.2f} take busiest notice=0")
        at_s += draw(tenths(1, 14))
    return lines


def old_reports(draw: Draw, at_s: float) -> list[str]:
    """Old reports after newer ones, of earlier sessions, attempts and machines, at whoever owns what by then."""
    who = draw(st.sampled_from(["all", "third", "zone:a"]))
    return [f"at {at_s:.2f} copies {who} {draw(st.sampled_from([6, 14]))} times={draw(st.integers(1, 3))} "
            f"late={draw(st.sampled_from([4, 14, 30]))}",
            f"at {at_s + draw(tenths(0, 6)):.2f} {draw(st.sampled_from(['cut', 'unheard', 'mute']))} {who} 14",
            f"at {at_s + draw(tenths(0, 20)):.2f} reboot {draw(st.sampled_from(['third', 'busiest']))} "
            f"{draw(st.sampled_from(['', 'other']))}",
            f"at {at_s + draw(tenths(0, 20)):.2f} crash berth-0 back={draw(BACK)}"]


def unreached(draw: Draw, at_s: float) -> list[str]:
    """A leader ends while machines with long tasks can't be reached, or don't hear whoever follows."""
    what = draw(st.sampled_from(["cut zone:a", "unheard zone:a", "unheard third", "hang third"]))
    lost = draw(st.sampled_from(["", " lost"])) if not what.startswith("hang") else ""
    lines = [f"at {at_s:.2f} {what} {draw(st.sampled_from([6, 14, 30]))}{lost}",
             f"at {at_s + draw(tenths(0, 4)):.2f} crash berth-0 back={draw(st.sampled_from([0.3, 8, 30]))}",
             *cancels(draw, at_s)]
    return [*lines, f"at {at_s:.2f} outage cloud 30"] if draw(st.booleans()) else lines


def commands(draw: Draw, at_s: float) -> list[str]:
    """Commands, or their answers, are held up for seconds; jobs are cancelled and owners change meanwhile."""
    lines = [f"at {at_s:.2f} slow_commands {draw(st.sampled_from(['all', 'third', 'zone:b']))} 12 "
             f"there={draw(st.sampled_from([0, 3, 9]))} back={draw(st.sampled_from([0, 3, 9]))}",
             *(f"at {at_s + draw(tenths(0, 5)):.2f} submit NEW "
               f"{draw(st.sampled_from(['tasks=6 run=4', 'gang tasks=3 run=3', 'service tasks=2 spot=false']))} "
               f"rank=production" for _ in range(3)), *cancels(draw, at_s + 1)]
    if draw(st.booleans()):
        what = ["crash berth-0 back=0.3", "isolate berth-0 14 held", "hang third 5", "unheard third 8",
                "reboot third other"]
        lines.append(f"at {at_s + draw(tenths(0, 10)):.2f} {draw(st.sampled_from(what))}")
    return lines


def late(draw: Draw, at_s: float) -> list[str]:
    """A share of the transactions goes unanswered and is carried out 2 to 12 s later, after newer ones."""
    one = draw(st.sampled_from(["berth-0", "berth-1"]))
    lines = [f"at {at_s:.2f} late {one} {draw(st.sampled_from([5, 15, 30]))} 2 12 "
             f"share={draw(st.sampled_from([0.2, 0.5, 1.0]))}", *cancels(draw, at_s + 3, 2)]
    if draw(st.booleans()):
        lines.append(f"at {at_s + draw(tenths(0, 9)):.2f} crash {one} back={draw(BACK)}")
    return lines


def back(draw: Draw, at_s: float) -> list[str]:
    """Controllers hand over and back, all end, one returns; also within a second, and in the middle of an election."""
    lines = [f"at {at_s:.2f} crash berth-0 back={draw(st.sampled_from([4, 8, 25]))}"]
    for _ in range(draw(st.integers(1, 4))):
        who = draw(st.sampled_from(["berth-1", "berth-2", "berth-1 berth-2", "berth-0 berth-1 berth-2"]))
        at_s += draw(tenths(0.1, 6))
        lines.append(f"at {at_s:.2f} crash {who} back={draw(BACK)}")
    if draw(st.booleans()):
        lines.append(f"at {at_s:.2f} page_gap {draw(st.sampled_from([0.05, 0.3]))}")
    return lines


MEETINGS: list[Callable[[Draw, float], list[str]]] = [
    gap, slow, cut_leader, change, old_reports, unreached, commands, late, back]


def day(draw: Draw, meetings: list[Callable[[Draw, float], list[str]]]) -> str:
    lines = [f"seed {draw(st.integers(1, 10**6))}", f"site size={draw(st.sampled_from([2, 3, 3]))}",
             f"machines {draw(st.integers(3, 6))} m a", f"machines {draw(st.integers(3, 6))} m b",
             "at 0 cloud capacity 14",
             "at 1 submit req-000001 tasks=60 run=40 rank=low checkpoint=5 save=0.5",
             "at 1.5 submit req-000002 service tasks=4 spread=true spot=false rank=production",
             "at 2 submit req-000003 tasks=3 run=4 apart=16",
             "at 2 submit req-000004 tasks=2 run=2 apart=30 rank=production",
             "at 2.2 submit req-000005 gang tasks=3 run=30",
             f"at {draw(tenths(4, 12)):.1f} submit req-000006 tasks=2 run=9 apart=9"]
    at_s = draw(tenths(6, 14))
    for meeting in meetings:
        lines += meeting(draw, at_s)
        at_s += draw(tenths(0, 12))
    if "site size=2" in lines:
        lines = [line.replace("berth-2", "berth-1") for line in lines]
    return "\n".join([*(line.replace("NEW", f"req-{n:06d}") for n, line in enumerate(lines, 100)), "run calm"])


@st.composite
def pairs(draw: Draw) -> str:
    chosen = draw(st.lists(st.sampled_from(MEETINGS), min_size=2, max_size=3))
    return day(draw, chosen)


@st.composite
def gaps(draw: Draw) -> str:
    return day(draw, [gap])


@given(gaps())
@days
def test_the_gap(text: str) -> None:
    play(text)


@given(pairs())
@days
def test_meetings_that_overlap(text: str) -> None:
    play(text)
