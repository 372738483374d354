"""Checks of the addresses of lost workers, before tasks that were launched there may start elsewhere.

A direct command goes to an address, not to a machine: another machine may have taken over the address of a lost worker
and carried out the command. Proof that the worker is gone does not rule this out. Until the address is *cleared*, a
launch that may have been carried out there keeps its attempt, and a worker inherited from an earlier leader stays
unreconciled and in the machine registry, so that the next leader inherits the check. Any of these clears an address:

- A machine answers there that has none of the tasks and that drops any launch still on its way, since it has shown a
  higher token. Tasks that it does have are stopped first.
- The cloud lists no other machine there, in a list that cannot be older than the moment at which the last call was
  given up. A call reaches a machine only by a connection made before then, so a later machine receives nothing.
- Nobody has answered there for the duration of a worker's lease since that moment, and neither the registry nor the
  cloud's list has another machine there: no leader has renewed the lease of a machine that may have been there. This
  bounds the wait while the cloud is unavailable.

This module decides; `address_probes` sends the probes. It does no I/O and reads no clock but the actor's.
"""

import logging
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.reconciliation.local_tasks import find_local_task
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m
from quinceslip.storage.records import RecordKind

log = logging.getLogger(__name__)

#: margin beyond twice the lag of the cloud's list, for clock drift
LIST_MARGIN_US = SECOND // 4


@dataclass(slots=True, eq=False)
class AddressCheck:
    """Check of the address of one lost worker, with the launches that may have been carried out there.

    Compared by identity.
    """

    worker: Worker
    attempts: list[Attempt]  # launches that another machine there may have carried out, or may still carry out
    is_inherited: bool  # an earlier leader may have sent launches there
    latest_token: int  # a machine that has shown a higher one drops launches still on their way; 0: there are none
    given_up_us: int  # no call to the address was open after this
    since_us: int
    probing: bool = False  # a call to the address is in flight
    next_probe_us: int = 0
    occupant: str = ""  # name of the machine that last answered there
    answered_us: int = 0  # time of that answer

    @property
    def endpoint(self) -> str:
        """The address."""
        return self.worker.endpoint

    @property
    def last_seen_us(self) -> int:
        """The latest time at which a machine there may have received a launch, or answered."""
        return max(self.given_up_us, self.answered_us)

    def merge(self, other: "AddressCheck") -> None:
        """Merge a later check of the same worker into this one."""
        self.attempts += other.attempts
        self.is_inherited |= other.is_inherited
        self.latest_token = max(self.latest_token, other.latest_token)
        self.given_up_us = max(self.given_up_us, other.given_up_us)


class AddressChecks:
    """The open address checks of one shard. Owned by its reconciler."""

    def __init__(self, state: ShardState, takeover_term: int, on_reconciled: Callable[[Worker], None]) -> None:
        """`on_reconciled` is called with an inherited worker once its address is cleared."""
        self.state = state
        self.ctx = state.ctx
        self.takeover_term = takeover_term
        self.on_reconciled = on_reconciled
        self.open: dict[str, AddressCheck] = {}  # by name of the lost worker
        self._listed: Mapping[str, m.CloudMachine] = {}
        self._listed_us = 0  # when the list was requested; 0: no list yet
        self._listed_names_by_address: dict[str, list[str]] | None = None  # built on first use for each list

    # Opening checks.

    def worker_lost(self, worker: Worker) -> None:
        """Open a check of the address of a worker whose machine or lease is proven gone, where one is needed.

        Guard: a task launched there is not started elsewhere until the address is cleared, whatever has become of the
        worker. Otherwise it would run beside the copy on the machine that has the address now.
        """
        self._open_check(worker, is_inherited=worker.name in self.state.unreconciled)

    def epoch_ended(self, worker: Worker) -> None:
        """Open a check of the address of a worker that has started a new epoch, where one is needed.

        The worker carries out nothing that was sent to it before, but another machine that takes over its address
        might.
        """
        self._open_check(worker, is_inherited=False)

    def _open_check(self, worker: Worker, is_inherited: bool) -> None:
        if not worker.endpoint or "address" not in self.state.guards:
            return
        attempts = [attempt for attempt in worker.attempts.values() if self._may_run_on_other_machine(attempt)]
        if not attempts and not is_inherited:
            return
        check = self._make_check(worker, attempts, is_inherited)
        if self._is_vacant(check):
            return
        for attempt in attempts:
            self.state.keep_attempt(worker, attempt)
        known = self.open.get(worker.name)
        if known is not None:
            known.merge(check)
            return
        self.open[worker.name] = check
        log.info(
            "launches indeterminate address=%s worker=%s launches=%d inherited=%s",
            check.endpoint,
            worker.name,
            len(attempts),
            is_inherited,
        )

    def _may_run_on_other_machine(self, attempt: Attempt) -> bool:
        """Whether another machine at the worker's address may have carried out the launch, or may still do so."""
        if attempt.end_cause and not self.state.is_current(attempt):
            return False
        return attempt.direct_call_open or attempt.unanswered_call_token > 0 or attempt.answered_by_other_machine

    def _make_check(self, worker: Worker, attempts: list[Attempt], is_inherited: bool) -> AddressCheck:
        timeout_us = self.ctx.timeout_us
        given_up_us = max((attempt.given_up_us for attempt in attempts), default=0)
        if any(attempt.direct_call_open for attempt in attempts):
            given_up_us = self.ctx.now_us + timeout_us
        latest_token = max((attempt.unanswered_call_token for attempt in attempts), default=0)
        if is_inherited:
            # An earlier leader may have launched until this one took over, under any term before its first.
            given_up_us = max(given_up_us, self.state.led_since_us + timeout_us)
            latest_token = max(latest_token, self.takeover_term - 1)
        return AddressCheck(worker, attempts, is_inherited, latest_token, given_up_us, self.ctx.now_us)

    # Evidence.

    def close_cleared(self) -> None:
        """Close the checks of addresses that are cleared by what is known now."""
        for check in list(self.open.values()):
            self._drop_resolved_attempts(check)
            if not check.attempts and not self._is_inherited_open(check):
                self.close(check, "nothing left in doubt")
            elif self._is_vacant(check):
                self.close(check, "no other machine there")

    def machines_listed(self, listed: Mapping[str, m.CloudMachine], asked_us: int) -> None:
        """Apply a complete list of the cloud's machines that was requested at `asked_us`."""
        self._listed, self._listed_us, self._listed_names_by_address = listed, asked_us, None
        self.close_cleared()

    def next_conclusive_list_us(self) -> int | None:
        """The earliest time at which a list must be requested to clear another address; None: no check needs one."""
        conclusive_us = [self._conclusive_list_us(check) for check in self.open.values()]
        return min((at_us for at_us in conclusive_us if at_us > self._listed_us), default=None)

    def occupant_answered(self, check: AddressCheck, heartbeat: m.WorkerHeartbeat, asked_us: int) -> list[m.TaskStatus]:
        """Apply the answer of the machine at an address to a probe sent at `asked_us`; returns the tasks to stop.

        The answer clears the address if the machine has none of the tasks and drops launches still on their way.
        """
        check.occupant, check.answered_us = heartbeat.worker, self.ctx.now_us
        self._drop_resolved_attempts(check)
        # Guard: before the last call was given up, yet another machine may take over the address and receive the call.
        is_after_last_call = not self._has_open_call(check) and asked_us >= check.given_up_us
        if heartbeat.worker == check.worker.name:
            # No other machine had the address in the meantime, and the worker itself is in a new epoch.
            if is_after_last_call:
                self.close(check, "the worker is back")
            return []
        running = self._running_checked_tasks(check, heartbeat)
        if is_after_last_call and not running and self.drops_late_launches(check, heartbeat):
            self.close(check, "another machine has none of the tasks")
        return running

    @staticmethod
    def drops_late_launches(check: AddressCheck, heartbeat: m.WorkerHeartbeat) -> bool:
        """Whether the machine at the address drops all launches sent there that may still arrive."""
        return not check.latest_token or heartbeat.fencing_token > check.latest_token

    @staticmethod
    def _has_open_call(check: AddressCheck) -> bool:
        return any(attempt.direct_call_open for attempt in check.attempts)

    def close(self, check: AddressCheck, cause: str) -> None:
        """Close a check, and put its tasks back in the queue: none of them is at the address or can still get there."""
        del self.open[check.worker.name]
        log.info(
            "address cleared address=%s worker=%s occupant=%s cause=%r after_s=%.1f",
            check.endpoint,
            check.worker.name,
            check.occupant or "none",
            cause,
            (self.ctx.now_us - check.since_us) / SECOND,
        )
        for attempt in check.attempts:
            self.state.release_attempt(attempt)
        if self._is_inherited_open(check):
            self.on_reconciled(check.worker)

    def _is_inherited_open(self, check: AddressCheck) -> bool:
        return check.is_inherited and check.worker.name in self.state.unreconciled

    def _drop_resolved_attempts(self, check: AddressCheck) -> None:
        """Drop attempts that another worker of this shard has reported, or that the lost worker answered after all."""
        for attempt in list(check.attempts):
            partition = self.state.partitions.get(attempt.job_id)
            is_replaced = partition is not None and partition.attempts.get(attempt.index) is not attempt
            if is_replaced or not self._may_run_on_other_machine(attempt):
                check.attempts.remove(attempt)
                self.state.release_attempt(attempt)
            else:
                check.latest_token = max(check.latest_token, attempt.unanswered_call_token)
                check.given_up_us = max(check.given_up_us, attempt.given_up_us)

    def _running_checked_tasks(self, check: AddressCheck, heartbeat: m.WorkerHeartbeat) -> list[m.TaskStatus]:
        """The tasks of the check that run on the machine, except those that this shard has adopted there."""
        own = self.state.workers.get(heartbeat.worker)
        adopted = own.attempts if own is not None else {}
        checked_names = {attempt.name for attempt in check.attempts}
        return [
            status
            for status in heartbeat.tasks
            if status.state != m.EXITED
            and status.task not in adopted
            and (status.task in checked_names or (check.is_inherited and self._is_inherited_task(status.task)))
        ]

    def _is_inherited_task(self, name: str) -> bool:
        """Whether this is an unfinished task that an earlier leader of this shard may have launched."""
        task = find_local_task(self.state, name)
        return task is not None and task.index in task.partition.unreconciled

    # Vacant addresses.

    def _is_vacant(self, check: AddressCheck) -> bool:
        """Whether no machine that may have received a launch at the address is there any more."""
        if self._has_open_call(check):
            return False
        is_list_new = self._listed_us >= self._conclusive_list_us(check)
        is_lease_over = self.ctx.now_us > check.last_seen_us + self.ctx.timing.lease_expiry_us
        if not is_list_new and not is_lease_over:
            return False
        if self._is_another_listed(check):
            return False
        return is_list_new or not self._is_another_registered(check)

    def _conclusive_list_us(self, check: AddressCheck) -> int:
        """The time from which a requested list shows every machine that may have received a launch there.

        The list lags by up to twice the configured lag (PROTOCOL).
        """
        return check.last_seen_us + 2 * micros(self.ctx.settings.facts.cloud.list_lag_s) + LIST_MARGIN_US

    def _is_another_listed(self, check: AddressCheck) -> bool:
        """Whether the cloud lists a machine of another name at the address."""
        if self._listed_names_by_address is None:
            self._listed_names_by_address = defaultdict(list)
            for name, host in self._listed.items():
                if host.status != m.HOST_FAILED:
                    self._listed_names_by_address[host.endpoint].append(name)
        return any(name != check.worker.name for name in self._listed_names_by_address.get(check.endpoint, ()))

    def _is_another_registered(self, check: AddressCheck) -> bool:
        """Whether the machine registry has a machine of another name at the address."""
        return any(
            record.endpoint == check.endpoint and name != check.worker.name
            for name, record in self.ctx.cache.by_kind[RecordKind.MACHINE].items()
        )
