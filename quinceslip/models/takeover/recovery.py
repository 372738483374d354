"""The liveness check: in the absence of further faults every task completes."""

from quinceslip.models.result import Breach, Step
from quinceslip.models.takeover.enabled_steps import enabled_steps
from quinceslip.models.takeover.steps import StepKind, perform
from quinceslip.models.takeover.world import World

#: rounds without faults within which all tasks must complete
MAX_RECOVERY_ROUNDS = 14
#: steps that the leader and the workers take without external events
PROGRESS_KINDS = frozenset(
    {
        StepKind.RAISE_TERM,
        StepKind.WATCH,
        StepKind.RECORD,
        StepKind.TASK_DONE,
        StepKind.LOSS_NOTICED,
        StepKind.ADDRESS_PROBED,
        StepKind.MACHINES_LISTED,
    }
)


def check_recovery(world: World) -> None:
    """Continue without faults, which modifies `world`; raises Breach if a task does not complete."""
    for _ in range(MAX_RECOVERY_ROUNDS):
        if _all_recorded(world):
            return
        _deliver_everything(world)
        _make_progress(world)
    if not _all_recorded(world):
        raise Breach(f"without further faults only tasks {sorted(world.store.recorded)} of {world.tasks} complete")


def _all_recorded(world: World) -> bool:
    return len(world.store.recorded) == world.tasks


def _deliver_everything(world: World) -> None:
    """Deliver all messages in flight, then a heartbeat of each worker."""
    # Bound: the heartbeats in flight; an arrival sends no further heartbeat.
    while world.network.heartbeats:
        perform(world, Step(StepKind.HEARTBEAT_ARRIVES))
    # Bound: the writes in flight; none is sent meanwhile.
    while world.store.pending_writes:
        perform(world, Step(StepKind.WRITE_APPLIED))
    # Bound: the commands that the leader has to send; it does not repeat delivered ones.
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
