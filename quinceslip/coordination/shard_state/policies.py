"""Protocols for team quotas and preemption, implemented by the quota package."""

from collections.abc import Iterable, Iterator, Sequence
from typing import Protocol

from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m


class PreemptionPolicy(Protocol):
    """Decides which attempts may be preempted for a task; victims are chosen one at a time.

    The team and the priority of an attempt decide. An answer of no stays no as more victims are chosen and stopped.
    """

    def may_preempt(self, victim: Attempt) -> bool:
        """Whether this attempt may be preempted in addition to those chosen so far."""
        ...

    def choose(self, victim: Attempt) -> None:
        """Count this attempt as a victim."""
        ...


class QuotaPolicy(Protocol):
    """Team quotas as used by a shard, with the events that they receive (`quinceslip/quota/admission.py`)."""

    # Events of attempts and workers.

    def attempt_added(self, attempt: Attempt) -> None:
        """Called when an attempt may be on its worker from now on."""
        ...

    def attempt_removed(self, attempt: Attempt) -> None:
        """Called when an attempt is no longer on its worker."""
        ...

    def attempt_ended(self, worker: Worker | None, attempt: Attempt) -> None:
        """Called when an attempt takes no more resources, though a launch may still arrive; `worker`: None if gone."""
        ...

    def attempt_stopping(self, attempt: Attempt) -> None:
        """Called when an attempt is to be stopped."""
        ...

    def heartbeat_received(self, worker: Worker) -> None:
        """Called when a heartbeat of the worker has been applied."""
        ...

    # Order of a placement pass.

    def queue_empty(self) -> None:
        """Called when no task waits."""
        ...

    def fair_share_rounds(
        self, queue: Sequence[JobPartition], workers: Sequence[Worker]
    ) -> Iterator[list[JobPartition]]:
        """Yield the queue in fair-share order, in as many rounds as the pass needs."""
        ...

    def order_for_one_worker(self, queue: Sequence[JobPartition]) -> list[JobPartition]:
        """Return the queue in fair-share order, to fill a single worker."""
        ...

    def deferred_to_next_round(self) -> bool:
        """Whether the last refusal applies to this round only."""
        ...

    # Admission and preemption.

    def allows(self, spec: m.JobSpec, count: int = 1) -> bool:
        """Whether every level of the job's quota allows `count` of its tasks to start now."""
        ...

    def blocked_by_quota(
        self, partition: JobPartition, count: int, placeable: bool, workers: Iterable[Worker] = ()
    ) -> None:
        """Called when only its quota keeps the partition from starting `count` tasks."""
        ...

    def not_placed(self, partition: JobPartition) -> None:
        """Called when a whole pass found no worker for the remaining tasks of the partition."""
        ...

    def tasks_allowed_on_new_machines(
        self, spec: m.JobSpec, max_count: int, granted_by_level: dict[int, tuple[int, int, int, int]]
    ) -> int:
        """Return how many of up to `max_count` tasks the quota allows, after the grants of the same plan so far."""
        ...

    def guarantees_covering(self, spec: m.JobSpec, count: int = 1) -> set[int]:
        """Return the quota levels whose guarantee covers `count` more tasks."""
        ...

    def preemption_policy(
        self, spec: m.JobSpec, count: int = 1, covering_guarantees: set[int] | None = None
    ) -> PreemptionPolicy:
        """Return the policy for preemption for `count` tasks; `covering_guarantees`: if known."""
        ...
