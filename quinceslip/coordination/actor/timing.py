"""Every period of the protocol between leaders, derived from the settings alone."""

from quinceslip.protocol.settings import Settings, SettingsError

SECOND = 1_000_000


#: the steady clocks of two machines drift apart by at most this (PROTOCOL)
DRIFT = 0.0005


#: the state service takes leases of up to ten minutes (PROTOCOL); a shorter one than a second is lost by any hiccup
MIN_LEASE_US, MAX_LEASE_US = SECOND, 600 * SECOND


#: longer periods than a day are no such settings, and would not fit what is derived from them
MAX_PERIOD_S = 86_400


#: workers drop the answer to a report after this long (PROTOCOL)
HEARTBEAT_TIMEOUT_US = 4 * SECOND


def micros(seconds: float) -> int:
    return int(seconds * SECOND)


class Timing:
    """Every period of the protocol between owners, derived from the settings alone.

    Raises SettingsError for settings under which no owner's lease fits between a worker's and `cancel_s`.
    """

    def __init__(self, settings: Settings) -> None:
        workers = settings.facts.workers
        for name, given_s in (
            ("report_s", workers.report_s),
            ("lease_s", workers.lease_s),
            ("cancel_s", workers.cancel_s),
        ):
            if given_s > MAX_PERIOD_S:
                raise SettingsError(f"facts.workers.{name} = {given_s:g}: more than {MAX_PERIOD_S} s")
        if workers.report_s * 1.25 >= workers.lease_s:
            raise SettingsError(
                f"facts.workers.report_s = {workers.report_s:g}: a worker's lease (lease_s = "
                f"{workers.lease_s:g}) runs out between two reports"
            )
        self.heartbeat_period_us = micros(workers.report_s)
        self.worker_lease_us = micros(workers.lease_s)
        cancel_us = micros(workers.cancel_s)
        margin_us = SECOND + int(2 * DRIFT * cancel_us)
        # What a cancellation leaves to an owner that cannot hear of it (docs/design.md, "The gap").
        left_us = cancel_us - self.worker_lease_us - 2 * margin_us
        if left_us < MIN_LEASE_US:
            raise SettingsError(
                f"facts.workers.cancel_s = {workers.cancel_s:g}: lease_s = {workers.lease_s:g} and margins of "
                f"{2 * margin_us / SECOND:g} s leave no owner's lease of {MIN_LEASE_US // SECOND} s"
            )
        # A third of the workers': a successor is up well before the workers of a dead owner give up.
        self.leader_lease_us = min(
            max(self.worker_lease_us // 3, 2 * SECOND), max(cancel_us // 6, MIN_LEASE_US), left_us, MAX_LEASE_US
        )
        # An owner that lost the state service answers its workers for this long past its own lease:
        # owner's lease + grace + worker's lease must end before a cancellation it cannot hear of falls due.
        self.grace_us = left_us - self.leader_lease_us
        self.margin_us = margin_us
        self.lease_expiry_us = int(self.worker_lease_us * (1 + 2 * DRIFT)) + margin_us
        # Reports come every report_s, a quarter more at most; later than this, a worker is asked.
        self.probe_after_us = int(1.4 * self.heartbeat_period_us) + SECOND // 4
        self.fresh_us = max(int(2.6 * self.heartbeat_period_us), 2 * SECOND)
