"""Checks whether a team's quota lets a task start, and reports to the quotas which tasks they block."""

from collections.abc import Iterator

from quinceslip.coordination.scheduling.candidates import CandidateMachines
from quinceslip.coordination.scheduling.machine_eligibility import satisfies_constraints
from quinceslip.coordination.scheduling.pass_context import PassContext
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Worker
from quinceslip.protocol import messages as m


class QuotaGate:
    """Checks starts against the quotas of a shard; without quotas everything may start."""

    def __init__(self, state: ShardState) -> None:
        self.state = state

    def allows_one(self, partition: JobPartition) -> bool:
        """Whether one more task may start."""
        quota = self.state.quota
        return quota is None or quota.allows(partition.spec)

    def admits_one(
        self,
        context: PassContext,
        partition: JobPartition,
        machines: CandidateMachines | None = None,
        machines_full: bool = False,
    ) -> bool:
        """Whether one more task may start; a pass over the whole shard reports a refusal to the quotas.

        `machines`: those on which work may be preempted for it; `machines_full`: none of them has room.
        """
        quota, spec = self.state.quota, partition.spec
        if quota is None or quota.allows(spec):
            return True
        if context.whole_shard and not quota.deferred_to_next_round():
            usable = machines.all() if machines is not None else []
            placeable = not (machines_full and usable)
            quota.blocked_by_quota(partition, 1, placeable, _suitable_machines(usable, spec))
        return False

    def admits_whole_job(self, context: PassContext, partition: JobPartition) -> bool:
        """Whether a gang, or a service of which nothing runs yet, may start as a whole; true for all other jobs."""
        quota, spec = self.state.quota, partition.spec
        starts_whole = spec.gang or (spec.service and not partition.attempts)
        if quota is None or not starts_whole or not partition.pending:
            return True
        count = len(partition.pending)
        if quota.allows(spec, count):
            return True
        if context.whole_shard and not quota.deferred_to_next_round():
            quota.blocked_by_quota(partition, count, True, _suitable_machines(context.machines.all(), spec))
        return False


def _suitable_machines(usable: list[Worker], spec: m.JobSpec) -> Iterator[Worker]:
    """Yield the machines whose type, zone and kind suit the task; lazy, since often only a few are needed."""
    return (worker for worker in usable if satisfies_constraints(worker, spec, None))
