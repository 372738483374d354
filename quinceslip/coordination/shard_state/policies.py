"""What a shard asks of the limits on teams, as protocols that the quota package implements."""

from collections.abc import Iterable, Iterator, Sequence
from typing import Protocol

from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m


class PreemptionPolicy(Protocol):
    """Which attempts may be preempted for a task; victims are chosen one after the other."""

    def may_preempt(self, victim: Attempt) -> bool:
        """Whether this attempt may be preempted, after those chosen so far."""
        ...

    def choose(self, victim: Attempt) -> None:
        """Count this attempt as a victim."""
        ...


class QuotaPolicy(Protocol):
    """What a shard asks of the quotas of teams, and the events it passes them (`quinceslip/quota/admission.py`)."""

    # Events: what is on machines.

    def attempt_added(self, attempt: Attempt) -> None:
        """The attempt may be on its worker from now on."""
        ...

    def attempt_removed(self, attempt: Attempt) -> None:
        """The attempt is on its worker no more."""
        ...

    def attempt_ended(self, worker: Worker | None, attempt: Attempt) -> None:
        """The attempt takes no room any more; a launch of it may still arrive. `worker` is None if it is gone."""
        ...

    def attempt_stopping(self, attempt: Attempt) -> None:
        """The attempt is to be stopped."""
        ...

    def heartbeat_received(self, worker: Worker) -> None:
        """A heartbeat of the worker has been applied."""
        ...

    # The order of a placement pass.

    def queue_empty(self) -> None:
        """No task waits."""
        ...

    def fair_share_rounds(
        self, queue: Sequence[JobPartition], workers: Sequence[Worker]
    ) -> Iterator[list[JobPartition]]:
        """The queue in fair-share order, in as many rounds as the pass needs."""
        ...

    def order_for_one_worker(self, queue: Sequence[JobPartition]) -> list[JobPartition]:
        """The queue in fair-share order, for room on a single worker."""
        ...

    def deferred_to_next_round(self) -> bool:
        """Whether the last refusal holds for this round only."""
        ...

    # Admission and preemption.

    def allows(self, spec: m.JobSpec, count: int = 1) -> bool:
        """Whether `count` tasks of the job may start now, by every level of its quota."""
        ...

    def blocked_by_quota(
        self, partition: JobPartition, count: int, placeable: bool, workers: Iterable[Worker] = ()
    ) -> None:
        """Only its quota keeps the partition from starting `count` tasks."""
        ...

    def not_placed(self, partition: JobPartition) -> None:
        """A whole pass found no worker for what still waits of the partition."""
        ...

    def startable(self, spec: m.JobSpec, most: int, spoken_for: dict[int, tuple[int, int, int, int]]) -> int:
        """For how many of `most` tasks the quota leaves room; `spoken_for` adds up what one plan was granted."""
        ...

    def guarantees_covering(self, spec: m.JobSpec, count: int = 1) -> set[int]:
        """The levels whose guarantee covers `count` more tasks."""
        ...

    def preemption_policy(self, spec: m.JobSpec, count: int = 1, rests_on: set[int] | None = None) -> PreemptionPolicy:
        """Which attempts may be preempted for `count` tasks; `rests_on`: the covering guarantees, if known."""
        ...
