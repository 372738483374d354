"""Lease and grace periods for all accepted settings: a cancellation outlasts every lease that an old owner renews."""

from fractions import Fraction
from types import SimpleNamespace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from quinceslip.coordination.actor.timing import MAX_CLOCK_DRIFT, SECOND, Timing
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.protocol.settings import SettingsError
from tests.scenario.runner import Runner
from tests.simulation.inputs import settings_of

seconds = st.one_of(st.floats(0.01, 100.0), st.floats(0.01, 100_000.0), st.sampled_from([1.0, 4.0, 10.0, 15.25, 26.0]))


def derive_timing(report_s: float, lease_s: float, cancel_s: float) -> Timing | None:
    """Derive the periods; None if the settings are refused, with an error that names a field and its value."""
    facts = {**Runner().facts, "workers": {"report_s": report_s, "lease_s": lease_s, "cancel_s": cancel_s}, "size": 1}
    try:
        return Timing(settings_of(facts))
    except SettingsError as error:
        assert any(
            f"facts.workers.{name} = {value:g}: " in str(error)
            for name, value in (("report_s", report_s), ("lease_s", lease_s), ("cancel_s", cancel_s))
        ), str(error)
        return None


@given(seconds, seconds, seconds)
@settings(max_examples=400, deadline=None, database=None, derandomize=True)
def test_cancellation_period_outlasts_leases_renewed_by_a_cut_off_owner(
    report_s: float, lease_s: float, cancel_s: float
) -> None:
    timing = derive_timing(report_s, lease_s, cancel_s)
    lease, cancel = Fraction(lease_s), Fraction(cancel_s)
    if timing is None:
        # Settings may be refused only if they leave less than a second for the owner's lease, if no lease fits between
        # two reports, or if a period is too long.
        assert (
            cancel - lease < Fraction(31, 10) + cancel / 400
            or report_s * 1.25 >= lease_s
            or max(report_s, lease_s, cancel_s) > 86_400
        )
        return
    slow_clock = 1 + Fraction(MAX_CLOCK_DRIFT)  # duration of one second on a slow clock
    # By the owner's clock: from its last contact to the end of its grace period. By the worker's clock: its lease, from
    # a report sent before it was answered. The session ends at most one report timeout after the lease, when it checks.
    session_end_s = Fraction(timing.leader_lease_us + timing.grace_us, SECOND) * slow_clock + lease * slow_clock + 1
    assert session_end_s < cancel / slow_clock
    assert timing.leader_lease_us >= SECOND and timing.grace_us >= 0 and timing.leader_lease_us <= 600 * SECOND
    assert int(timing.leader_lease_us * 0.95) - 50_000 > 0  # may launch for some time, and for less than the lease
    # A worker's lease by the controller's clock never expires too early.
    assert timing.lease_expiry_us > lease * slow_clock * slow_clock * SECOND


def test_usual_settings_are_accepted_and_leave_a_grace_period() -> None:
    """Settings in the range of both deployments, those of the tests, and larger ones."""
    for report_s, lease_s, cancel_s in (
        (4, 26, 46),
        (2.5, 15.25, 40.25),
        (3, 26, 46),
        (1, 10, 35),
        (0.5, 5, 20),
        (30, 300, 900),
        (60, 3600, 10_000),
    ):
        timing = derive_timing(report_s, lease_s, cancel_s)
        assert timing is not None and timing.grace_us > timing.leader_lease_us // 2, (report_s, lease_s, cancel_s)


@given(st.integers(0, 60), st.integers(0, 60))
@settings(max_examples=200, deadline=None, database=None, derandomize=True)
def test_leader_rights_end_by_the_earlier_contact(renewed_s: int, watched_s: int) -> None:
    """The earlier of the answered renewal and the answered watch counts; before both, a leader has no rights."""
    timing = derive_timing(4.0, 26.0, 46.0)
    assert timing is not None
    now_us = 1000 * SECOND
    ctx: Any = SimpleNamespace(timing=timing, now_us=now_us, settings=SimpleNamespace(facts=SimpleNamespace(size=1)))
    election = LeaderElection(ctx, 0, lambda *_: None, lambda _: None)
    assert not election.may_answer()  # no contact yet since the start
    election.lease.lease_id, election.lease.renewal_sent_us = 7, now_us - renewed_s * SECOND
    election.lease.watch_sent_us = now_us - watched_s * SECOND
    age_us = max(renewed_s, watched_s) * SECOND
    assert election.may_launch() == (age_us < int(timing.leader_lease_us * 0.95) - 50_000)
    assert election.may_answer() == (age_us < timing.leader_lease_us + timing.grace_us)
