"""Random days of jobs with extreme amounts, over failovers: each is done or runs, and no controller logs an error."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.scenario.runner import run_scenario

LARGEST, SMALLEST = "1.7976931348623157e308", "5e-324"
#: values of each field, ordinary ones among them
CPUS = ["0", SMALLEST, "1e-9", "2.0", "2.0"]
MEMORY_GB = ["0", SMALLEST, "1.0"]
SECONDS = ["0", SMALLEST, "5.0", "100.0", "1e9", "1e303", LARGEST]
IMAGE_GB = ["0", SMALLEST, "1.0", LARGEST]
CHECKPOINT_S = ["0", "5.0", "1e303", LARGEST]
SAVE_S = ["0", "1e-9"]
SHAPES = ["tasks=2", "tasks=5", "gang tasks=3", "service tasks=2 spread=true", "service tasks=2"]


@st.composite
def days(draw: st.DrawFn) -> str:
    """Three controllers with limits, objectives and pipelines; all of them end, and later one more."""
    lines = [
        f"seed {draw(st.integers(1, 10**6))}",
        "machines 3 m a",
        "machines 3 m b",
        f"objective deadline batch share=0.9 times={draw(st.sampled_from(['1.0', '1e300']))}",
        f"objective finished batch within={draw(st.sampled_from(['60.0', LARGEST]))} share=0.9",
        "team capped cpus_max=24",
        "team other cpus=8",
    ]
    number = draw(st.integers(6, 14))
    arrays: list[int] = []
    for index in range(number):
        shape = draw(st.sampled_from(SHAPES))
        words = [
            f"at {2 + index * 0.7:.1f} submit req-{index:06d} {shape} run={draw(st.sampled_from([1.5, 4, 12]))}",
            f"cpus={draw(st.sampled_from(CPUS))} memory={draw(st.sampled_from(MEMORY_GB))}",
            f"estimate={draw(st.sampled_from(SECONDS))} sizeGb={draw(st.sampled_from(IMAGE_GB))}",
            f"checkpoint_every={draw(st.sampled_from(CHECKPOINT_S))} checkpoint_cost={draw(st.sampled_from(SAVE_S))}",
            f"rank={draw(st.sampled_from(['production', 'urgent', 'normal', 'low']))}",
            f"team={draw(st.sampled_from(['team', 'capped', 'other']))}",
        ]
        if draw(st.booleans()):
            words.append(f"dueS={draw(st.sampled_from(SECONDS))}")
        if arrays and draw(st.integers(0, 2)) == 0:
            words.append(f"after=req-{draw(st.sampled_from(arrays)):06d}")
        if not shape.startswith("service"):
            arrays.append(index)
        lines.append(" ".join(words))
    lines.append(f"at {draw(st.integers(5, 12))} crash berth-0 berth-1 berth-2 restart_after=4")
    lines.append(f"at 25 crash {draw(st.sampled_from(['berth-0', 'berth-1', 'berth-2']))} restart_after=20")
    lines += ["run quiescent", f"expect done {' '.join(f'req-{index:06d}' for index in arrays)}" if arrays else ""]
    return "\n".join(lines)


@given(days())
@settings(max_examples=12, deadline=None, database=None, derandomize=True, suppress_health_check=list(HealthCheck))
def test_jobs_with_extreme_amounts_are_led_to_their_end(script: str) -> None:
    # Guards against: an accepted amount from which some controller computes no number, wherever it does so.
    run_scenario(script)
