"""Protocol constants, and the periods of leases, heartbeats and probes that follow from the settings."""

from quinceslip.protocol.messages import MAX_AMOUNT
from quinceslip.protocol.settings import Settings, SettingsError, WorkerFacts

#: microseconds in a second
SECOND = 1_000_000

#: longest duration to calculate with, about 30 years; longer ones mean "never" and count as this one, so that sums and
#: multiples of durations that users, the cloud or settings give stay numbers that every clock and record can hold
MAX_DURATION_S = MAX_AMOUNT

#: maximum relative drift between the monotonic clocks of two machines (PROTOCOL)
MAX_CLOCK_DRIFT = 0.0005

#: the key-value store grants leases of up to ten minutes (PROTOCOL); one of less than a second expires at any hiccup
MIN_LEASE_US, MAX_LEASE_US = SECOND, 600 * SECOND

#: longest period that the settings may have: more than a day is implausible, and would not fit the derived values
MAX_PERIOD_S = 86_400

#: workers discard an answer to a heartbeat that takes longer than this (PROTOCOL)
HEARTBEAT_TIMEOUT_US = 4 * SECOND

#: maximum interval between heartbeats, in periods (PROTOCOL)
MAX_HEARTBEAT_PERIODS = 1.25
#: a worker is probed after this many periods of silence plus the margin
PROBE_AFTER_PERIODS = 1.4
PROBE_MARGIN_US = SECOND // 4
#: a worker may be given new tasks for this many periods after its last contact
MAX_CONTACT_AGE_PERIODS = 2.6
CONTACT_AGE_FLOOR_US = 2 * SECOND


def micros(seconds: float) -> int:
    """Seconds as whole microseconds, rounded towards zero; never beyond `MAX_DURATION_S` in either direction.

    Not a number, as in infinity times 0, counts as the longest duration.
    """
    # The order of the arguments matters: `min` returns its first one if the other is not a number.
    return int(max(-MAX_DURATION_S, min(MAX_DURATION_S, seconds)) * SECOND)


class Timing:
    """Periods of leader leases, worker leases, heartbeats and probes, derived from the settings alone.

    Raises SettingsError if the settings leave no room for a leader's lease between a worker's lease and `cancel_s`.
    """

    def __init__(self, settings: Settings) -> None:
        workers = settings.facts.workers
        _check_periods(workers)
        self.heartbeat_period_us = micros(workers.report_s)
        self.worker_lease_us = micros(workers.lease_s)
        cancel_us = micros(workers.cancel_s)
        self.margin_us = SECOND + int(2 * MAX_CLOCK_DRIFT * cancel_us)
        # Time that `cancel_s` leaves to a leader that cannot learn of the cancellation (docs/design.md, "The gap").
        available_us = cancel_us - self.worker_lease_us - 2 * self.margin_us
        if available_us < MIN_LEASE_US:
            raise SettingsError(
                f"facts.workers.cancel_s = {workers.cancel_s:g}: lease_s = {workers.lease_s:g} and margins of "
                f"{2 * self.margin_us / SECOND:g} s leave no owner's lease of {MIN_LEASE_US // SECOND} s"
            )
        # A third of a worker's lease, so that a successor takes over well before a failed leader's workers give up.
        self.leader_lease_us = min(
            max(self.worker_lease_us // 3, 2 * SECOND),
            max(cancel_us // 6, MIN_LEASE_US),
            available_us,
            MAX_LEASE_US,
        )
        # A leader that lost the key-value store answers its workers for this long past its own lease: its lease, the
        # grace period and a worker's lease must end before a cancellation that it cannot hear of falls due.
        self.grace_us = available_us - self.leader_lease_us
        #: the lease of a worker has expired after this long without an answer, by the leader's clock
        self.lease_expiry_us = int(self.worker_lease_us * (1 + 2 * MAX_CLOCK_DRIFT)) + self.margin_us
        self.probe_after_us = int(PROBE_AFTER_PERIODS * self.heartbeat_period_us) + PROBE_MARGIN_US
        self.max_contact_age_us = max(int(MAX_CONTACT_AGE_PERIODS * self.heartbeat_period_us), CONTACT_AGE_FLOOR_US)


def _check_periods(workers: WorkerFacts) -> None:
    """Raise SettingsError if a period is too long, or a worker's lease can expire between two heartbeats."""
    for name, period_s in (
        ("report_s", workers.report_s),
        ("lease_s", workers.lease_s),
        ("cancel_s", workers.cancel_s),
    ):
        if period_s > MAX_PERIOD_S:
            raise SettingsError(f"facts.workers.{name} = {period_s:g}: more than {MAX_PERIOD_S} s")
    if workers.report_s * MAX_HEARTBEAT_PERIODS >= workers.lease_s:
        raise SettingsError(
            f"facts.workers.report_s = {workers.report_s:g}: a worker's lease (lease_s = "
            f"{workers.lease_s:g}) runs out between two reports"
        )
