"""Gang scheduling: all tasks of a gang get a machine before any of them is launched.

A large gang is placed in several turns of the actor. Its attempts are withheld until the last one has a machine, and
are dropped again if one of them is lost or stopped, or if no machine has room for the rest.
"""

from dataclasses import dataclass

from quinceslip.coordination.scheduling.machine_eligibility import MachineEligibility
from quinceslip.coordination.scheduling.machine_preference import MachinePreference, has_attempt_of
from quinceslip.coordination.scheduling.machine_room import MachineRoom
from quinceslip.coordination.scheduling.pass_context import PassContext
from quinceslip.coordination.scheduling.task_launcher import TaskLauncher
from quinceslip.coordination.scheduling.zone_constraints import EligibleZones
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.coordination.shard_state.state import ShardState
from quinceslip.coordination.shard_state.worker import Attempt, Worker


@dataclass(slots=True)
class GangPlacer:
    """Places whole gangs.

    Best fit prefers the fuller of two machines, so the best machine stays the best as it fills up.
    """

    state: ShardState
    eligibility: MachineEligibility
    preference: MachinePreference
    launcher: TaskLauncher

    def place(self, context: PassContext, partition: JobPartition, offered: list[Worker]) -> None:
        """Place all tasks or none; nothing is sent before all have a machine, so launches can be undone."""
        if partition.withheld_gang and not self._intact(partition):
            self.abandon(partition)
        if not partition.withheld_gang and not self._ready(partition):
            return
        eligible = EligibleZones(self.state, partition)
        context.budget.spend(len(offered))
        machines = _sufficient_machines(partition, eligible, self.preference.sorted_machines(partition, offered))
        if not machines:
            self.abandon(partition)
            return
        for worker in machines:
            self._fill_machine(context, partition, eligible, worker)
            if context.interrupted:
                return
        if partition.pending:
            self.abandon(partition)
        else:
            self._release(partition)

    def abandon(self, partition: JobPartition) -> None:
        """Drop the attempts of a gang that is not complete, and queue their tasks again."""
        dropped = self.state.drop_withheld_gang(partition)
        self.launcher.launched -= len(dropped)
        self.state.return_to_queue(partition, dropped)

    def _fill_machine(
        self, context: PassContext, partition: JobPartition, eligible: EligibleZones, worker: Worker
    ) -> None:
        """Give the machine as many tasks as fit on it."""
        present: list[int] = []  # tasks of which the machine still has an attempt
        # Bound: the waiting tasks; each iteration removes one, and `present` is returned after the loop.
        while partition.pending and worker.has_room_for(partition.spec) and eligible.allows(worker.zone):
            if context.must_stop():
                break
            index = partition.pending.peek()
            partition.pending.discard(index)
            if has_attempt_of(worker, f"{partition.job_id}/{index}"):
                present.append(index)
                continue
            self._withhold(partition, index, worker)
            eligible.task_placed(worker.zone)
            context.task_launched()
        for index in present:
            partition.pending.push(index)

    def _withhold(self, partition: JobPartition, index: int, worker: Worker) -> None:
        """Create an attempt that is not sent yet."""
        # The tasks of a gang identify each other by the attempt number, so they share one.
        number = partition.withheld_gang[0].number if partition.withheld_gang else 0
        attempt = self.launcher.launch(partition, index, worker, number)
        attempt.withheld = True
        partition.withheld_gang.append(attempt)

    def _release(self, partition: JobPartition) -> None:
        """Let the attempts of a complete gang be sent."""
        for attempt in partition.withheld_gang:
            attempt.withheld = False
            self.state.workers_to_command.add(attempt.worker)
        partition.withheld_gang = []

    def _intact(self, partition: JobPartition) -> bool:
        """Whether every attempt that earlier turns have withheld may still be sent, with the tasks that wait."""
        if len(partition.withheld_gang) + len(partition.pending) != _unfinished_count(partition):
            return False
        return all(self._may_be_sent(partition, attempt) for attempt in partition.withheld_gang)

    def _may_be_sent(self, partition: JobPartition, attempt: Attempt) -> bool:
        """Whether a withheld attempt is still that of its task, on a machine that may get tasks."""
        worker = self.state.workers.get(attempt.worker)
        return (
            worker is not None
            and self.eligibility.usable(worker)
            and not attempt.stopping
            and worker.attempts.get(attempt.name) is attempt
            and partition.attempts.get(attempt.index) is attempt
        )

    def _ready(self, partition: JobPartition) -> bool:
        """Whether every unfinished task is waiting: no earlier attempt is left, and no retry is delayed."""
        if len(partition.pending) != _unfinished_count(partition):
            return False
        now_us = self.state.ctx.now_us
        return not any(retry_us > now_us for retry_us in partition.not_before.values())


def _unfinished_count(partition: JobPartition) -> int:
    return len(partition.assigned) - len(partition.done) - len(partition.unrecorded_done)


def _sufficient_machines(partition: JobPartition, eligible: EligibleZones, machines: list[Worker]) -> list[Worker]:
    """Return those of the machines that together have room for all waiting tasks, in their order; none if too few."""
    places_by_zone: dict[str, int] = {}
    for worker in machines:
        places = max(0, MachineRoom.of(worker).count_fitting(partition.spec))
        places_by_zone[worker.zone] = places_by_zone.get(worker.zone, 0) + places
    for zone, places in places_by_zone.items():
        places_by_zone[zone] = min(places, eligible.max_further_tasks(zone))
    needed = len(partition.pending)
    if partition.spec.one_zone:
        places_by_zone = {zone: places for zone, places in places_by_zone.items() if places >= needed}
    if sum(places_by_zone.values()) < needed:
        return []
    return [worker for worker in machines if places_by_zone.get(worker.zone)]
