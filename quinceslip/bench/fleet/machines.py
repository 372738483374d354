"""The simulated machines: they send heartbeats, execute commands, and run tasks for about the estimated time."""

import random
from dataclasses import dataclass, field
from functools import partial

from quinceslip.bench.fleet.actor_shell import ActorShell
from quinceslip.bench.fleet.costs import MessageKind
from quinceslip.bench.fleet.services import OK, Answer
from quinceslip.coordination.actor import effects as fx
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.protocol import messages as m

ZONES = ["a", "b"]
HEARTBEAT_S = 4.0
MACHINE_TYPE = m.MachineType(
    label="m",
    cpus=16.0,
    gpus=0.0,
    memory_gb=64.0,
    price=0.9,
    boot_s=50.0,
    zones=ZONES,
    spot_price=0.36,
    cache_gb=25.0,
)
#: of each group of 9 consecutive machines, the first 5 are on demand and the others spot
MACHINE_GROUP_SIZE, ON_DEMAND_PER_GROUP = 9, 5
#: start of heartbeats and submissions, late enough for the controller to have claimed its shard
START_US = 2 * SECOND
#: duration of an image pull, which delays the start of each task
IMAGE_PULL_US = SECOND
#: delay of the heartbeat that reports a change, so that it covers several changes
EXTRA_HEARTBEAT_DELAY_US = SECOND // 2


@dataclass(slots=True)
class SimulatedMachine:
    """One machine and the tasks on it."""

    name: str
    zone: str
    spot: bool
    seq: int = 0
    fencing_token: int = 0
    tasks: dict[str, m.TaskStatus] = field(default_factory=dict)
    extra_heartbeat_due: bool = False

    @property
    def endpoint(self) -> str:
        """The address for direct commands."""
        return f"{self.name}:1"

    def heartbeat(self) -> m.WorkerHeartbeat:
        """Return the next heartbeat, with the state of all tasks."""
        self.seq += 1
        return m.WorkerHeartbeat(
            worker=self.name,
            endpoint=self.endpoint,
            type=MACHINE_TYPE.label,
            zone=self.zone,
            spot=self.spot,
            epoch=1,
            seq=self.seq,
            fencing_token=self.fencing_token,
            tasks=list(self.tasks.values()),
        )


def _machine(number: int) -> SimulatedMachine:
    spot = number % MACHINE_GROUP_SIZE >= ON_DEMAND_PER_GROUP
    return SimulatedMachine(f"n-{number:06d}", ZONES[number % len(ZONES)], spot)


class SimulatedMachines:
    """All machines, with counts of launched and ended tasks."""

    def __init__(self, count: int, shell: ActorShell, specs: dict[str, m.JobSpec], rng: random.Random) -> None:
        """Create `count` idle machines; `specs` holds the submitted jobs by id."""
        self._shell, self._queue = shell, shell.queue
        self._specs = specs
        self._rng = rng
        self._machines = [_machine(number) for number in range(count)]
        self._by_endpoint = {machine.endpoint: machine for machine in self._machines}
        self.launched = 0
        self.ended = 0

    # Heartbeats.

    def start(self) -> None:
        """Start the heartbeats of all machines, at random offsets."""
        for machine in self._machines:
            delay_us = START_US + self._rng.uniform(0, HEARTBEAT_S) * SECOND
            self._queue.schedule(delay_us, partial(self._regular_heartbeat, machine))

    def _regular_heartbeat(self, machine: SimulatedMachine) -> None:
        self._send_heartbeat(machine)
        delay_us = HEARTBEAT_S * SECOND * self._rng.uniform(0.75, 1.25)
        self._queue.schedule(delay_us, lambda: self._regular_heartbeat(machine))

    def _schedule_extra_heartbeat(self, machine: SimulatedMachine) -> None:
        if not machine.extra_heartbeat_due:
            machine.extra_heartbeat_due = True
            self._queue.schedule(EXTRA_HEARTBEAT_DELAY_US, lambda: self._send_heartbeat(machine))

    def _send_heartbeat(self, machine: SimulatedMachine) -> None:
        def on_reply(status: int, body: m.CommandReply) -> None:
            if status == OK:
                self._execute_commands(machine, body.fencing_token, body.commands)

        machine.extra_heartbeat_due = False
        request = self._shell.open_request(on_reply)
        self._shell.post(MessageKind.HEARTBEAT, fx.HeartbeatReceived(request, machine.heartbeat()))

    # Commands.

    def answer(self, call: fx.Call) -> Answer:
        """Handle a direct call; the answer is a heartbeat."""
        machine = self._by_endpoint[call.target]
        if call.path == m.PATH_COMMANDS:
            self._execute_commands(machine, call.body.fencing_token, call.body.commands)
        return Answer(OK, machine.heartbeat())

    def _execute_commands(self, machine: SimulatedMachine, fencing_token: int, commands: list[m.Command]) -> None:
        machine.fencing_token = max(machine.fencing_token, fencing_token)
        for command in commands:
            known = machine.tasks.get(command.task)
            if command.op == "launch":
                if known is None:
                    self._launch(machine, command)
            elif known is not None and known.attempt == command.attempt:
                self._end(machine, command, known)
        if commands:
            self._schedule_extra_heartbeat(machine)

    def _launch(self, machine: SimulatedMachine, command: m.Command) -> None:
        self.launched += 1
        machine.tasks[command.task] = m.TaskStatus(command.task, command.attempt, m.PULLING)
        self._queue.schedule(IMAGE_PULL_US, lambda: self._start_task(machine, command.task, command.attempt))

    def _end(self, machine: SimulatedMachine, command: m.Command, known: m.TaskStatus) -> None:
        """Stop an attempt, or drop the result of one that has exited."""
        if command.op == "halt":
            self._exit(machine, command.task, command.attempt, m.CAUSE_HALTED)
        elif command.op == "reap" and known.state == m.EXITED:
            del machine.tasks[command.task]

    # Tasks.

    def _start_task(self, machine: SimulatedMachine, task: str, attempt: int) -> None:
        known = machine.tasks.get(task)
        if known is None or known.attempt != attempt or known.state != m.PULLING:
            return
        machine.tasks[task] = m.TaskStatus(task, attempt, m.RUNNING)
        self._schedule_extra_heartbeat(machine)
        spec = self._specs[task.rpartition("/")[0]]
        if not spec.service:
            duration_us = spec.estimated_run_s * self._rng.uniform(0.5, 1.5) * SECOND
            self._queue.schedule(duration_us, lambda: self._exit(machine, task, attempt, m.CAUSE_DONE))

    def _exit(self, machine: SimulatedMachine, task: str, attempt: int, cause: str) -> None:
        known = machine.tasks.get(task)
        if known is None or known.attempt != attempt or known.state == m.EXITED:
            return
        machine.tasks[task] = m.TaskStatus(task, attempt, m.EXITED, cause)
        self.ended += 1
        self._schedule_extra_heartbeat(machine)
