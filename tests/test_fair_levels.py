"""Properties of the fair workload levels: they are found in a bounded number of steps and solve the paper's equations.

CI runs for a few seconds; HYPOTHESIS_PROFILE=long runs more examples, and another `--hypothesis-seed` other ones.
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
profile_settings = settings(
    settings.get_profile(f"levels-{os.environ.get('HYPOTHESIS_PROFILE', 'ci')}"), deadline=None, database=None
)

#: most evaluations of a shard's cost that usual shards need; the hard limit is far higher
MAX_USUAL_EVALUATIONS = 600

#: whole numbers of tasks over whole seconds: sums of such quotients expose rounding errors
measured_rates = st.builds(lambda tasks, seconds: tasks / seconds, st.integers(1, 200), st.integers(1, 120))
station_lists = st.lists(
    st.builds(Station, st.sampled_from([0, 1, 2, 3, 8, 12, 40, 300, 3000]), measured_rates), min_size=1, max_size=8
)
implausible_stations = st.lists(
    st.builds(
        Station, st.integers(-10, 2**32 - 1), st.one_of(st.floats(), st.sampled_from([1e-300, 1e300, 0.0, -1.0]))
    ),
    max_size=64,
)


def total_capacity(stations: list[Station]) -> float:
    return math.fsum(s.capacity for s in stations if is_plausible(s))


@given(station_lists, implausible_stations, st.one_of(st.floats(), measured_rates))
@profile_settings
def test_implausible_records_get_no_share(plausible: list[Station], implausible: list[Station], total: float) -> None:
    implausible = [s for s in implausible if not is_plausible(s)]
    levels = fair_levels([*implausible, *plausible], total)
    assert levels == [0] * len(implausible) + fair_levels(plausible, total)
    assert all(isinstance(level, int) and level >= 0 for level in levels)


@given(station_lists, st.floats(0, 1), st.integers(0, 60), st.booleans())
@profile_settings
def test_search_terminates_and_solves_eq_9(
    stations: list[Station], load_fraction: float, k: int, near_saturation: bool
) -> None:
    stations = [s for s in stations if s.slots]
    assume(stations)
    max_load = total_capacity(stations)
    total = max_load * (1.0 - 2.0**-k if near_saturation else load_fraction)
    if not max_load * ROUNDING < total < max_load * (1.0 - ROUNDING):
        assert fair_levels(stations, total) == [s.slots for s in stations]
        return
    search = ShareSearch(stations, total)
    search.run()
    assert search.evaluations <= min(
        MAX_USUAL_EVALUATIONS, (MAX_MULTIPLIER_BISECTIONS + 2) * MAX_SHARE_BISECTIONS
    ) * len(stations)
    assert search.terms <= MAX_SERIES_TERMS + 10_000
    solved_shares = shares(stations, total)
    assert abs(math.fsum(solved_shares) - 1.0) < 1e-8
    assert all(0.0 <= f * total <= s.capacity * (1 + 1e-12) for f, s in zip(solved_shares, stations, strict=True))
    # Costs are equal where no bound applies; a shard that gets nothing has at least that cost for its first task.
    # Closer to saturation than 2^-20, the difference in marginal_cost has too few digits to compare.
    if total < max_load * (1 - 2.0**-20):
        costs = [marginal_cost(s, f * total) for s, f in zip(stations, solved_shares, strict=True)]
        used = [c for c, f in zip(costs, solved_shares, strict=True) if f > 1e-15]
        assert max(used) <= min(used) * (1 + 1e-5), (costs, solved_shares)
        assert all(c >= min(used) * (1 - 1e-5) for c in costs)


def queue_length(slots: int, offered: Fraction) -> Fraction:
    """Mean number of waiting tasks by direct summation of eqs. 2 to 5."""
    rho = offered / slots
    all_busy = offered**slots / (math.factorial(slots) * (1 - rho))
    normalization = sum((offered**k / math.factorial(k) for k in range(slots)), Fraction(0)) + all_busy
    return all_busy / normalization * rho / (1 - rho)


@given(st.lists(st.builds(Station, st.integers(1, 12), measured_rates), min_size=1, max_size=4), st.integers(1, 999))
@profile_settings
def test_levels_match_direct_summation(stations: list[Station], thousandths: int) -> None:
    total = total_capacity(stations) * thousandths / 1000
    for station, share, level in zip(stations, shares(stations, total), fair_levels(stations, total), strict=True):
        offered = Fraction(share) * Fraction(total) / Fraction(station.rate)
        length = float(queue_length(station.slots, offered))
        assert math.ceil(length * (1 - 1e-6)) <= level <= math.ceil(length * (1 + 1e-6)), (station, length, level)


@given(station_lists)
@profile_settings
def test_levels_grow_up_to_saturation(stations: list[Station]) -> None:
    stations = [s for s in stations if s.slots]
    max_load = total_capacity(stations)
    previous_levels = [0] * len(stations)
    for k in range(1, 80 if len(stations) < 3 else 20):
        total = max_load * (1.0 - 2.0**-k)
        levels = fair_levels(stations, total)
        if total >= max_load * (1.0 - ROUNDING):
            assert levels == [s.slots for s in stations]
        else:
            assert all(level >= previous - 1 for level, previous in zip(levels, previous_levels, strict=True)), (
                k,
                levels,
                previous_levels,
            )
            previous_levels = levels
