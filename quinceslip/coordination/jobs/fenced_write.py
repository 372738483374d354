"""Conditional writes of partitions' records, fenced by the leadership of their shard."""

import logging
from collections.abc import Sequence
from http import HTTPStatus

from quinceslip.coordination.actor.effects import Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.protocol import messages as m
from quinceslip.storage.records import JobRecord, PartitionRecord

log = logging.getLogger(__name__)

#: pause between writes of a partition after a write that was answered, whether applied or not
RETRY_US = 250_000
#: pause after a write that failed in any other way
ERROR_RETRY_US = SECOND


class FencedWriter:
    """Writes a partition's records while this controller leads the shard, one write at a time."""

    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.ctx = state.ctx

    def write(
        self,
        partition: JobPartition,
        key: str,
        value: JobRecord | PartitionRecord,
        urgency: Urgency,
        mod_revisions: dict[str, int],
        delete: Sequence[str] = (),
        delete_later: Sequence[str] = (),
    ) -> None:
        """Write `value` and delete the keys `delete` if the shard's record and `mod_revisions` are unchanged.

        `delete_later`: keys that are not needed once the job is done, and are deleted after this write.
        """
        partition.writing = True

        def on_written(status: int, failed: list[str]) -> None:
            answered = status in (HTTPStatus.OK, HTTPStatus.CONFLICT)
            partition.writing = False
            partition.next_write_us = self.ctx.now_us + (RETRY_US if answered else ERROR_RETRY_US)
            job = self.ctx.cache.job(partition.job_id)
            if status == HTTPStatus.OK and job is not None and job.state == m.DONE:
                log.info("job done job=%s", partition.job_id)
                self.ctx.delete_obsolete(list(delete_later))

        conditions = {**self.state.election.fencing_condition(self.state.index), **mod_revisions}
        self.ctx.compare_and_swap(conditions, {key: (value, None)}, list(delete), on_written, urgency)
