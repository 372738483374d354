"""The periods between owners, for all settings that are accepted: the sum that carries a cancellation holds."""

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


def timing(report_s: float, lease_s: float, cancel_s: float) -> Timing | None:
    """What is derived; None where the settings are refused, and then a field is named with its value."""
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
def test_a_cancellation_outlasts_what_an_owner_that_cannot_hear_of_it_renews(
    report_s: float, lease_s: float, cancel_s: float
) -> None:
    found = timing(report_s, lease_s, cancel_s)
    lease, cancel = Fraction(lease_s), Fraction(cancel_s)
    if found is None:
        # Refused is only what leaves an owner's lease no second, no lease between two reports, or is no such period.
        assert (
            cancel - lease < Fraction(31, 10) + cancel / 400
            or report_s * 1.25 >= lease_s
            or max(report_s, lease_s, cancel_s) > 86_400
        )
        return
    slow = 1 + Fraction(MAX_CLOCK_DRIFT)  # a second by a clock that is slow lasts so long
    # The owner's clock: from its last proof of contact to the end of its grace. The worker's: its lease, from a report
    # that was sent before it was answered. A session ends within a report's time limit of its lease, when it looks.
    ends = Fraction(found.leader_lease_us + found.grace_us, SECOND) * slow + lease * slow + 1
    assert ends < cancel / slow
    assert found.leader_lease_us >= SECOND and found.grace_us >= 0 and found.leader_lease_us <= 600 * SECOND
    assert int(found.leader_lease_us * 0.95) - 50_000 > 0  # entitled for some time, and for less than the lease lasts
    assert found.lease_expiry_us > lease * slow * slow * SECOND  # a worker's lease by our clock: never over too early


def test_settings_of_usual_sites_are_accepted_with_a_grace() -> None:
    """Both deployments' orders of magnitude, the tests' own, and beyond."""
    for report_s, lease_s, cancel_s in (
        (4, 26, 46),
        (2.5, 15.25, 40.25),
        (3, 26, 46),
        (1, 10, 35),
        (0.5, 5, 20),
        (30, 300, 900),
        (60, 3600, 10_000),
    ):
        found = timing(report_s, lease_s, cancel_s)
        assert found is not None and found.grace_us > found.leader_lease_us // 2, (report_s, lease_s, cancel_s)


@given(st.integers(0, 60), st.integers(0, 60))
@settings(max_examples=200, deadline=None, database=None, derandomize=True)
def test_rights_end_by_the_earlier_proof_of_contact(renewed_s: int, watched_s: int) -> None:
    """Whichever of the answered renewal and the answered watch was sent longer ago; before both there are none."""
    found = timing(4.0, 26.0, 46.0)
    assert found is not None
    now_us = 1000 * SECOND
    ctx: Any = SimpleNamespace(timing=found, now_us=now_us, settings=SimpleNamespace(facts=SimpleNamespace(size=1)))
    rights = LeaderElection(ctx, 0, lambda *_: None, lambda _: None)
    assert not rights.may_answer()  # one that has just started knows of no contact
    rights.lease.lease_id, rights.lease.renewal_sent_us = 7, now_us - renewed_s * SECOND
    rights.lease.watch_sent_us = now_us - watched_s * SECOND
    ago_us = max(renewed_s, watched_s) * SECOND
    assert rights.may_launch() == (ago_us < int(found.leader_lease_us * 0.95) - 50_000)
    assert rights.may_answer() == (ago_us < found.leader_lease_us + found.grace_us)
