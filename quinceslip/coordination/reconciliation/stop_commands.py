"""Stop commands, and how a stop, such as that of a cancelled task, is confirmed at a worker.

`ShardState.stop` marks an attempt as stopping. The stop is repeated in each answer to a heartbeat until a later
heartbeat shows the attempt as exited (`attempt_outcomes`), or the worker's lease or machine is gone (`worker_leases`).
An attempt that no heartbeat has shown is dropped only once its launch can no longer arrive (`launch_safety`). Until
then each answer launches and stops it, so that the worker knows the attempt as ended and ignores a late launch.
"""

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.reconciliation.command_batch import CommandBatch
from quinceslip.coordination.reconciliation.launch_safety import LaunchSafety
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker
from quinceslip.protocol import messages as m
from quinceslip.storage import records


def is_job_final(ctx: Context, job_id: str) -> bool:
    """Whether a job is done or cancelled, which is permanent, according to the cache of the store."""
    job = ctx.cache.job(job_id)
    return job is not None and records.is_final(job)


class StopCommands:
    """Adds the commands for attempts that are stopping."""

    def __init__(self, state: ShardState, launch_safety: LaunchSafety) -> None:
        self.state = state
        self.ctx = state.ctx
        self.launch_safety = launch_safety

    def may_stop_without_leadership(self, attempt: Attempt) -> bool:
        """Whether a controller that may not launch may still stop the attempt.

        Guard: a controller that may not launch still stops the tasks of final jobs. A leader may have learned of a
        cancellation long before it lost the key-value store, and its stops may have been lost; an answer without them
        would renew the lease of cancelled tasks beyond `cancel_s`. A final record stays final, so this needs no
        leadership.
        """
        return attempt.stopping and not attempt.end_cause and is_job_final(self.ctx, attempt.job_id)

    def add_observed(self, batch: CommandBatch, attempt: Attempt) -> None:
        """Repeat the stop of a running attempt, unless it is already saving its progress within its grace period."""
        if attempt.state != m.FLUSHING or attempt.grace_s == 0:
            batch.stops.append(m.stop(attempt.name, attempt.number, attempt.grace_s))

    def add_unobserved(self, batch: CommandBatch, worker: Worker, attempt: Attempt, may_launch: bool) -> None:
        """Requeue a launch that no heartbeat has shown; if it may still arrive, launch and stop it at the worker."""
        if self.launch_safety.may_requeue(worker, attempt):
            self.state.requeue(worker, attempt)
            self.state.detach(worker, attempt.name)
            return
        batch.launches.append(m.launch(attempt.name, attempt.number))
        batch.launches.append(m.stop(attempt.name, attempt.number, 0.0))
        if may_launch:
            self.state.tokens.raise_above(worker, attempt.unanswered_call_token)
