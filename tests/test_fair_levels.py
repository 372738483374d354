"""Properties of the fair workload levels: they come after a bounded number of steps, and are the paper's.

CI plays a few seconds; HYPOTHESIS_PROFILE=long plays more, with another `--hypothesis-seed` others.
"""

import math
import os
from fractions import Fraction

from hypothesis import assume, given, settings
from hypothesis import strategies as st

from quinceslip.coordination.load_balancing.mmm_queue import Station, is_plausible, marginal_cost
from quinceslip.coordination.load_balancing.queueing_model import ROUNDING, fair_levels, shares
from quinceslip.coordination.load_balancing.share_search import (
    MAX_MULTIPLIER_BISECTIONS,
    MAX_SERIES_TERMS,
    MAX_SHARE_BISECTIONS,
    ShareSearch,
)

settings.register_profile("levels-ci", max_examples=40, derandomize=True)
settings.register_profile("levels-long", max_examples=20_000)
drawn = settings(
    settings.get_profile(f"levels-{os.environ.get('HYPOTHESIS_PROFILE', 'ci')}"), deadline=None, database=None
)

#: evaluations of a shard's cost that a solution of usual shards takes at most; their bound is far beyond
USUAL_STEPS = 600

#: whole numbers of tasks over whole seconds: where sums of quotients meet, rounding errors show
measured = st.builds(lambda tasks, seconds: tasks / seconds, st.integers(1, 200), st.integers(1, 120))
stations = st.lists(
    st.builds(Station, st.sampled_from([0, 1, 2, 3, 8, 12, 40, 300, 3000]), measured), min_size=1, max_size=8
)
wild = st.lists(
    st.builds(
        Station, st.integers(-10, 2**32 - 1), st.one_of(st.floats(), st.sampled_from([1e-300, 1e300, 0.0, -1.0]))
    ),
    max_size=64,
)


def capacity(of: list[Station]) -> float:
    return math.fsum(s.capacity for s in of if is_plausible(s))


@given(stations, wild, st.one_of(st.floats(), measured))
@drawn
def test_wrong_records_cost_themselves(good: list[Station], wrong: list[Station], total: float) -> None:
    wrong = [s for s in wrong if not is_plausible(s)]
    levels = fair_levels([*wrong, *good], total)
    assert levels == [0] * len(wrong) + fair_levels(good, total)
    assert all(isinstance(level, int) and level >= 0 for level in levels)


@given(stations, st.floats(0, 1), st.integers(0, 60), st.booleans())
@drawn
def test_ends_and_solves_eq_9(of: list[Station], part: float, k: int, near: bool) -> None:
    of = [s for s in of if s.slots]
    assume(of)
    whole = capacity(of)
    total = whole * (1.0 - 2.0**-k if near else part)
    if not whole * ROUNDING < total < whole * (1.0 - ROUNDING):
        assert fair_levels(of, total) == [s.slots for s in of]
        return
    search = ShareSearch(of, total)
    search.run()
    assert search.evaluations <= min(USUAL_STEPS, (MAX_MULTIPLIER_BISECTIONS + 2) * MAX_SHARE_BISECTIONS) * len(of)
    assert search.terms <= MAX_SERIES_TERMS + 10_000
    found = shares(of, total)
    assert abs(math.fsum(found) - 1.0) < 1e-8
    assert all(0.0 <= f * total <= s.capacity * (1 + 1e-12) for f, s in zip(found, of, strict=True))
    # Where no bound holds the costs are equal; a shard that gets nothing costs as much for its first task.
    # Beyond 2^-20 the difference that marginal_cost starts from has too few digits to compare.
    if total < whole * (1 - 2.0**-20):
        costs = [marginal_cost(s, f * total) for s, f in zip(of, found, strict=True)]
        used = [c for c, f in zip(costs, found, strict=True) if f > 1e-15]
        assert max(used) <= min(used) * (1 + 1e-5), (costs, found)
        assert all(c >= min(used) * (1 - 1e-5) for c in costs)


def queue_length(slots: int, offered: Fraction) -> Fraction:
    """Eqs. 2 to 5 by direct summation: the mean number of waiting tasks."""
    rho = offered / slots
    last = offered**slots / (math.factorial(slots) * (1 - rho))
    everything = sum((offered**k / math.factorial(k) for k in range(slots)), Fraction(0)) + last
    return last / everything * rho / (1 - rho)


@given(st.lists(st.builds(Station, st.integers(1, 12), measured), min_size=1, max_size=4), st.integers(1, 999))
@drawn
def test_levels_are_those_of_direct_summation(of: list[Station], thousandths: int) -> None:
    total = capacity(of) * thousandths / 1000
    for station, share, level in zip(of, shares(of, total), fair_levels(of, total), strict=True):
        offered = Fraction(share) * Fraction(total) / Fraction(station.rate)
        length = float(queue_length(station.slots, offered))
        assert math.ceil(length * (1 - 1e-6)) <= level <= math.ceil(length * (1 + 1e-6)), (station, length, level)


@given(stations)
@drawn
def test_levels_up_to_saturation(of: list[Station]) -> None:
    of = [s for s in of if s.slots]
    whole = capacity(of)
    before = [0] * len(of)
    for k in range(1, 80 if len(of) < 3 else 20):
        total = whole * (1.0 - 2.0**-k)
        levels = fair_levels(of, total)
        if total >= whole * (1.0 - ROUNDING):
            assert levels == [s.slots for s in of]
        else:
            assert all(now >= then - 1 for now, then in zip(levels, before, strict=True)), (k, levels, before)
            before = levels
