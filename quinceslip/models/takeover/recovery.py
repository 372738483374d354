"""The liveness check: without further faults every task is completed."""

from quinceslip.models.result import Breach, Step
from quinceslip.models.takeover.enabled_steps import enabled_steps
from quinceslip.models.takeover.steps import StepKind, perform
from quinceslip.models.takeover.world import World

#: rounds without faults in which everything must be done
MAX_RECOVERY_ROUNDS = 14
#: progress that the leader and the workers make by themselves
PROGRESS_KINDS = frozenset(
    {
        StepKind.RAISE_TERM,
        StepKind.WATCH,
        StepKind.RECORD,
        StepKind.TASK_DONE,
        StepKind.GONE_SEEN,
        StepKind.ADDRESS_ASKED,
        StepKind.LISTED,
    }
)


def check_recovery(world: World) -> None:
    """Play on without faults; raises Breach where a task is never completed. The world is used up."""
    for _ in range(MAX_RECOVERY_ROUNDS):
        if _all_recorded(world):
            return
        _deliver_everything(world)
        _make_progress(world)
    if not _all_recorded(world):
        raise Breach(f"only {sorted(world.store.recorded)} of {world.tasks} tasks can ever be done")


def _all_recorded(world: World) -> bool:
    return len(world.store.recorded) == world.tasks


def _deliver_everything(world: World) -> None:
    """What is in flight arrives, then a heartbeat of each worker."""
    # Bound: what is in flight; an arrival sends no other heartbeat.
    while world.network.heartbeats:
        perform(world, Step(StepKind.HEARTBEAT_ARRIVES))
    # Bound: what is in flight; no write is sent meanwhile.
    while world.store.pending_writes:
        perform(world, Step(StepKind.WRITE_APPLIED))
    # Bound: the commands that the leader has to send; delivered, they need no repetition.
    while world.network.commands:
        perform(world, Step(StepKind.COMMANDS_ARRIVE))
    for number, machine in enumerate(world.workers):
        if not machine.gone and not machine.is_foreign:
            perform(world, Step(StepKind.HEARTBEAT, number))


def _make_progress(world: World) -> None:
    for step in [step for step in enabled_steps(world) if step.kind in PROGRESS_KINDS]:
        perform(world, step)
    launch = next((step for step in enabled_steps(world) if step.kind == StepKind.LAUNCH), None)
    if launch is not None:
        perform(world, launch)
