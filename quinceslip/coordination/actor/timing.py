"""Every period of the protocol between leaders, derived from the settings alone."""

from quinceslip.protocol.settings import Settings, SettingsError, WorkerFacts

#: microseconds in a second
SECOND = 1_000_000

#: the steady clocks of two machines drift apart by at most this (PROTOCOL)
MAX_CLOCK_DRIFT = 0.0005

#: the key-value store takes leases of up to ten minutes (PROTOCOL); a shorter one than a second is lost by any hiccup
MIN_LEASE_US, MAX_LEASE_US = SECOND, 600 * SECOND

#: longer periods than a day are no such settings, and would not fit what is derived from them
MAX_PERIOD_S = 86_400

#: workers drop the answer to a heartbeat after this long (PROTOCOL)
HEARTBEAT_TIMEOUT_US = 4 * SECOND

#: heartbeats come at most so many periods apart (PROTOCOL)
MAX_HEARTBEAT_PERIODS = 1.25
#: a worker is probed once it has been silent for so many periods, and the margin
PROBE_AFTER_PERIODS = 1.4
PROBE_MARGIN_US = SECOND // 4
#: a worker is a good choice for new tasks for so many periods after its last heartbeat
FRESH_PERIODS = 2.6
MIN_FRESH_US = 2 * SECOND


def micros(seconds: float) -> int:
    """Seconds as whole microseconds, rounded towards zero."""
    return int(seconds * SECOND)


class Timing:
    """Every period of the protocol between leaders, derived from the settings alone.

    Raises SettingsError for settings under which no leader's lease fits between a worker's lease and `cancel_s`.
    """

    def __init__(self, settings: Settings) -> None:
        workers = settings.facts.workers
        _check_periods(workers)
        self.heartbeat_period_us = micros(workers.report_s)
        self.worker_lease_us = micros(workers.lease_s)
        cancel_us = micros(workers.cancel_s)
        self.margin_us = SECOND + int(2 * MAX_CLOCK_DRIFT * cancel_us)
        # What a cancellation leaves to a leader that cannot hear of it (docs/design.md, "The gap").
        left_us = cancel_us - self.worker_lease_us - 2 * self.margin_us
        if left_us < MIN_LEASE_US:
            raise SettingsError(
                f"facts.workers.cancel_s = {workers.cancel_s:g}: lease_s = {workers.lease_s:g} and margins of "
                f"{2 * self.margin_us / SECOND:g} s leave no owner's lease of {MIN_LEASE_US // SECOND} s"
            )
        # A third of the workers': a successor is up well before the workers of a dead leader give up.
        self.leader_lease_us = min(
            max(self.worker_lease_us // 3, 2 * SECOND),
            max(cancel_us // 6, MIN_LEASE_US),
            left_us,
            MAX_LEASE_US,
        )
        # A leader that lost the key-value store answers its workers for this long past its own lease: its lease, the
        # grace period and a worker's lease must end before a cancellation that it cannot hear of falls due.
        self.grace_us = left_us - self.leader_lease_us
        #: after so long without an answer the lease of a worker has expired, by the leader's clock
        self.lease_expiry_us = int(self.worker_lease_us * (1 + 2 * MAX_CLOCK_DRIFT)) + self.margin_us
        self.probe_after_us = int(PROBE_AFTER_PERIODS * self.heartbeat_period_us) + PROBE_MARGIN_US
        self.max_contact_age_us = max(int(FRESH_PERIODS * self.heartbeat_period_us), MIN_FRESH_US)


def _check_periods(workers: WorkerFacts) -> None:
    """Raise SettingsError for periods that are too long, or a lease that expires between two heartbeats."""
    for name, given_s in (
        ("report_s", workers.report_s),
        ("lease_s", workers.lease_s),
        ("cancel_s", workers.cancel_s),
    ):
        if given_s > MAX_PERIOD_S:
            raise SettingsError(f"facts.workers.{name} = {given_s:g}: more than {MAX_PERIOD_S} s")
    if workers.report_s * MAX_HEARTBEAT_PERIODS >= workers.lease_s:
        raise SettingsError(
            f"facts.workers.report_s = {workers.report_s:g}: a worker's lease (lease_s = "
            f"{workers.lease_s:g}) runs out between two reports"
        )
