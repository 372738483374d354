"""What must be known of the address of a lost worker before the tasks that were sent there may start elsewhere.

A direct command goes to an address, not to a machine: another machine may have taken the address of a lost worker and
carried out what was meant for that one. That the worker is gone says nothing of it. Until the address is *settled* a
launch that may have been carried out there keeps its attempt, and a worker of an earlier leader stays unreconciled and
in the machine registry, so that the next leader inherits the wait. An address is settled by one of these:

- A machine answers there that drops whatever may still arrive, since it has shown a later term, and that has none of
  the tasks. What it has of them is stopped.
- The cloud lists no other machine there, in a list that cannot be older than the moment at which the last call was
  given up. A call reaches a machine only by a connection made before then, so who comes later receives nothing.
- Nobody has answered there for a worker's lease since that moment, and neither the registry nor the cloud's list has
  another machine there: no leader renewed what may have been there. This bounds the wait while the cloud is away.

This module decides; `address_probes` asks. It does no I/O and reads no clock but the actor's.
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

log = logging.getLogger(__name__)

#: beyond twice the lag of the cloud's list: clocks drift meanwhile
LIST_MARGIN_US = SECOND // 4
#: kind of the registry's records in the store
MACHINE_KIND = "roster"


@dataclass(slots=True, eq=False)
class AddressCheck:
    """The address of one lost worker, with what may have been carried out there; compared by identity."""

    worker: Worker
    attempts: list[Attempt]  # launches that another machine there may have carried out, or may yet
    is_inherited: bool  # an earlier leader may have sent launches there
    latest_term: int  # a machine that has shown a later term drops what may still arrive; 0: nothing may
    given_up_us: int  # no call was still open after this
    since_us: int
    probing: bool = False  # the address was asked, and has not answered
    next_probe_us: int = 0
    occupant: str = ""  # the machine that answered there last
    answered_us: int = 0  # when it did

    @property
    def endpoint(self) -> str:
        """The address."""
        return self.worker.endpoint

    @property
    def last_seen_us(self) -> int:
        """A machine may have received a launch there, or was there, up to this moment."""
        return max(self.given_up_us, self.answered_us)

    def merge(self, other: "AddressCheck") -> None:
        """Take over a later check of the same worker."""
        self.attempts += other.attempts
        self.is_inherited |= other.is_inherited
        self.latest_term = max(self.latest_term, other.latest_term)
        self.given_up_us = max(self.given_up_us, other.given_up_us)


class AddressChecks:
    """The addresses of one shard that are not settled yet. Owned by its reconciler."""

    def __init__(self, state: ShardState, takeover_term: int, on_reconciled: Callable[[Worker], None]) -> None:
        """`on_reconciled` takes an inherited worker once its address is settled."""
        self.state = state
        self.ctx = state.ctx
        self.takeover_term = takeover_term
        self.on_reconciled = on_reconciled
        self.open: dict[str, AddressCheck] = {}  # by name of the lost worker
        self._listed: Mapping[str, m.CloudMachine] = {}
        self._listed_us = 0  # when the list was asked for; 0: there was none
        self._listed_names: dict[str, list[str]] | None = (
            None  # by address; made once for a list, where it is asked for
        )

    # Beginning.

    def worker_lost(self, worker: Worker) -> None:
        """Begin a check of the address of a worker whose machine or lease is proven gone, where one is needed.

        Guard: what was launched there stays where it may be until the address is settled, whatever has become of the
        name. Without it a task starts elsewhere beside the copy of the machine that has the address now.
        """
        self._begin(worker, is_inherited=worker.name in self.state.unreconciled)

    def epoch_ended(self, worker: Worker) -> None:
        """Begin a check of the address of a worker that has begun a new epoch.

        It carries out nothing that was sent to it before; another machine, which takes its address now, might.
        """
        self._begin(worker, is_inherited=False)

    def _begin(self, worker: Worker, is_inherited: bool) -> None:
        if not worker.endpoint or "address" not in self.state.guards:
            return
        attempts = [attempt for attempt in worker.attempts.values() if self._is_in_doubt(attempt)]
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

    def _is_in_doubt(self, attempt: Attempt) -> bool:
        """Whether another machine at the address of its worker may carry out its launch, or has done so."""
        if attempt.end_cause and not self.state.is_current(attempt):
            return False
        return attempt.direct_call_open or attempt.unanswered_call_term > 0 or attempt.answered_by_other_machine

    def _make_check(self, worker: Worker, attempts: list[Attempt], is_inherited: bool) -> AddressCheck:
        timeout_us = self.ctx.timeout_us
        given_up_us = max((attempt.given_up_us for attempt in attempts), default=0)
        if any(attempt.direct_call_open for attempt in attempts):
            given_up_us = self.ctx.now_us + timeout_us
        latest_term = max((attempt.unanswered_call_term for attempt in attempts), default=0)
        if is_inherited:
            # An earlier leader may have launched until this one came, under any term before its first.
            given_up_us = max(given_up_us, self.state.led_since_us + timeout_us)
            latest_term = max(latest_term, self.takeover_term - 1)
        return AddressCheck(worker, attempts, is_inherited, latest_term, given_up_us, self.ctx.now_us)

    # Evidence.

    def close_cleared(self) -> None:
        """Settle what nothing is in doubt of any more, by what is known now."""
        for check in list(self.open.values()):
            self._drop_certain(check)
            if not check.attempts and not self._is_inherited_open(check):
                self.settle(check, "nothing left in doubt")
            elif self._is_vacant(check):
                self.settle(check, "no other machine there")

    def machines_listed(self, listed: Mapping[str, m.CloudMachine], asked_us: int) -> None:
        """Take a complete list of the cloud's machines that was asked for at `asked_us`."""
        self._listed, self._listed_us, self._listed_names = listed, asked_us, None
        self.close_cleared()

    def next_conclusive_list_us(self) -> int | None:
        """The moment from which on the next list that is asked for may settle an address; None: none is waited for."""
        useful_us = [self._useful_list_us(check) for check in self.open.values()]
        return min((at_us for at_us in useful_us if at_us > self._listed_us), default=None)

    def answered(self, check: AddressCheck, heartbeat: m.WorkerHeartbeat, asked_us: int) -> list[m.TaskStatus]:
        """Take what the machine at an address says of itself, asked at `asked_us`; returns the tasks it has to stop.

        The check is settled by it where the machine has none of the tasks and drops what may still arrive.
        """
        check.occupant, check.answered_us = heartbeat.worker, self.ctx.now_us
        self._drop_certain(check)
        # Guard: before the last call was given up, the machine may be replaced by one more that is sent it as well.
        is_last = not self._has_open_call(check) and asked_us >= check.given_up_us
        if heartbeat.worker == check.worker.name:
            # No other machine had the address meanwhile, and it is in a new epoch itself.
            if is_last:
                self.settle(check, "the worker is back")
            return []
        running = self._tasks_in_doubt(check, heartbeat)
        if is_last and not running and self.drops_late_launches(check, heartbeat):
            self.settle(check, "another machine has none of the tasks")
        return running

    @staticmethod
    def drops_late_launches(check: AddressCheck, heartbeat: m.WorkerHeartbeat) -> bool:
        """Whether the machine at the address carries out nothing that was sent to it and may still arrive."""
        return not check.latest_term or heartbeat.fencing_token > check.latest_term

    @staticmethod
    def _has_open_call(check: AddressCheck) -> bool:
        return any(attempt.direct_call_open for attempt in check.attempts)

    def settle(self, check: AddressCheck, cause: str) -> None:
        """Let the tasks wait for a machine again: none of them is at the address, nor will be."""
        del self.open[check.worker.name]
        log.info(
            "address settled address=%s worker=%s occupant=%s cause=%r after_s=%.1f",
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

    def _drop_certain(self, check: AddressCheck) -> None:
        """Drop attempts that another worker of this shard has shown, or that the lost one answered for after all."""
        for attempt in list(check.attempts):
            partition = self.state.partitions.get(attempt.job_id)
            is_replaced = partition is not None and partition.attempts.get(attempt.index) is not attempt
            if is_replaced or not self._is_in_doubt(attempt):
                check.attempts.remove(attempt)
                self.state.release_attempt(attempt)
            else:
                check.latest_term = max(check.latest_term, attempt.unanswered_call_term)
                check.given_up_us = max(check.given_up_us, attempt.given_up_us)

    def _tasks_in_doubt(self, check: AddressCheck, heartbeat: m.WorkerHeartbeat) -> list[m.TaskStatus]:
        """The tasks in doubt that run on the machine, apart from those that this shard has taken for its own there."""
        own = self.state.workers.get(heartbeat.worker)
        adopted = own.attempts if own is not None else {}
        held = {attempt.name for attempt in check.attempts}
        return [
            status
            for status in heartbeat.tasks
            if status.state != m.EXITED
            and status.task not in adopted
            and (status.task in held or (check.is_inherited and self._is_inherited_task(status.task)))
        ]

    def _is_inherited_task(self, name: str) -> bool:
        """Whether an earlier leader of this shard may have launched a task that is not done."""
        task = find_local_task(self.state, name)
        return task is not None and task.index in task.partition.unreconciled

    # Nobody there.

    def _is_vacant(self, check: AddressCheck) -> bool:
        """Whether no machine that can have received a launch at the address is there any more."""
        if self._has_open_call(check):
            return False
        is_list_new = self._listed_us >= self._useful_list_us(check)
        is_lease_over = self.ctx.now_us > check.last_seen_us + self.ctx.timing.lease_expiry_us
        if not is_list_new and not is_lease_over:
            return False
        if self._is_another_listed(check):
            return False
        return is_list_new or not self._is_another_registered(check)

    def _useful_list_us(self, check: AddressCheck) -> int:
        """A list that is asked for from then on shows every machine that may have received a launch there.

        The list lags by up to twice the lag of the settings (PROTOCOL).
        """
        return check.last_seen_us + 2 * micros(self.ctx.settings.facts.cloud.list_lag_s) + LIST_MARGIN_US

    def _is_another_listed(self, check: AddressCheck) -> bool:
        """Whether the cloud lists a machine of another name at the address."""
        if self._listed_names is None:
            self._listed_names = defaultdict(list)
            for name, host in self._listed.items():
                if host.status != m.HOST_FAILED:
                    self._listed_names[host.endpoint].append(name)
        return any(name != check.worker.name for name in self._listed_names.get(check.endpoint, ()))

    def _is_another_registered(self, check: AddressCheck) -> bool:
        """Whether the machine registry has a machine of another name at the address."""
        return any(
            record.endpoint == check.endpoint and name != check.worker.name
            for name, record in self.ctx.cache.by_kind[MACHINE_KIND].items()
        )
