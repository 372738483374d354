"""A simulated machine with its worker, which follows the protocol for fencing tokens, leases and agent epochs."""

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from tests.simulation.clock import SECOND_US
from tests.simulation.faults import CommandCopies, HeartbeatCopies, SlowCommands
from tests.simulation.task_runner import TaskRunner

if TYPE_CHECKING:
    from tests.simulation.world import World

#: interval at which a worker checks whether its lease has expired or a heartbeat is due
TICK_US = 50_000
#: how long a worker waits for the answer to a heartbeat
HEARTBEAT_TIMEOUT_US = 4 * SECOND_US
#: changes are reported before the heartbeat period ends, but at least this long after the last heartbeat
MIN_HEARTBEAT_GAP_US = SECOND_US // 2
#: delay before a worker contacts another controller
NEXT_CONTROLLER_DELAY_US = SECOND_US


@dataclass
class HeartbeatExchange:
    """A heartbeat and the state of the wait for its answer."""

    sent_us: int
    epoch: int
    incarnation: int
    is_closed: bool = False  # answered or timed out


class SimulatedWorker:
    """One machine with its lease and heartbeats; a `TaskRunner` runs its tasks."""

    def __init__(self, world: "World", name: str, host: dict[str, Any]) -> None:
        self.world, self.name, self.host = world, name, host
        self.type = world.types[host["build"]]
        self.epoch = 1
        self.seq = 0
        self.fencing_token = 0
        self.runner = TaskRunner(self)
        self.tasks = self.runner.tasks
        self.lease_renewed_us = world.now_us
        self.controller = world.random.choice(sorted(world.controllers))  # label of the one that it sends heartbeats to
        self.is_dead = False
        self.incarnation = 0  # counts reboots
        self.cut_until_us = 0
        self.hung_until_us = 0
        self.outbound_blocked_until_us = 0  # until then, it reaches no controller, but direct commands reach it
        # While outbound messages are blocked: its connections are refused, so it tries the next controller at once;
        # else they hang.
        self.refuses_outbound = False
        self.slow_commands = SlowCommands()
        self.command_copies = CommandCopies()
        self.loses_undelivered = False  # commands that can't reach it are lost, not delivered later
        self.inbound_blocked_until_us = 0  # until then, its heartbeats arrive, but nothing reaches it
        self.copies = HeartbeatCopies()
        self.keep_copy_until_us = 0  # until then, a copy of its latest heartbeat is kept for the next claim of a shard
        self.is_awaiting_answer = False
        self.has_changed = True  # there is a change to report before the heartbeat period ends
        self.last_heartbeat_us = 0
        self.notice_us: int | None = None  # when the cloud will reclaim the machine
        self.next_heartbeat_after_us = 0  # earliest time of the next heartbeat
        self.undelivered: list[Any] = []  # commands that arrive when the network fault ends
        self._tick()

    # Liveness.

    def die(self) -> None:
        """Remove the machine at once; its tasks end."""
        self.is_dead = True
        self.runner.end_all()

    def reboot(self) -> None:
        """Restart at once in a new agent epoch, without tasks and without a known fencing token."""
        self.runner.end_all()
        self.tasks.clear()
        self.epoch += 1
        self.fencing_token = 0
        self.is_awaiting_answer, self.has_changed = False, True
        self.incarnation += 1
        self.lease_renewed_us = self.world.now_us
        self.undelivered.clear()

    def is_unreachable(self) -> bool:
        """Whether no command, inspection or answer can reach the worker now."""
        return self.world.now_us < max(self.cut_until_us, self.hung_until_us, self.inbound_blocked_until_us)

    def _tick(self) -> None:
        if self.is_dead:
            return
        now_us = self.world.now_us
        self.world.after(TICK_US, self._tick)
        lease_expired = now_us - self.lease_renewed_us > self.world.facts["workers"]["lease_s"] * SECOND_US
        if lease_expired:
            # Applies to a machine that hangs, too: its tasks may resume only while its lease lasts.
            self.world.tasks_ended_by_lease += self.runner.running_task_count()
            self.runner.end_all()
        if now_us < self.hung_until_us:
            return
        if lease_expired:
            self._begin_epoch()
        self._process_undelivered()
        if self._is_heartbeat_due():
            self._send_heartbeat()

    def _begin_epoch(self) -> None:
        self.tasks.clear()
        self.epoch += 1
        self.lease_renewed_us = self.world.now_us
        self.has_changed = True

    def _process_undelivered(self) -> None:
        if self.undelivered and self.world.now_us >= max(self.cut_until_us, self.inbound_blocked_until_us):
            undelivered, self.undelivered = self.undelivered, []
            for body in undelivered:
                self.receive_commands(body)

    # Heartbeats.

    def _is_heartbeat_due(self) -> bool:
        if self.is_awaiting_answer or self.world.now_us < self.next_heartbeat_after_us:
            return False
        gap_us = self.world.now_us - self.last_heartbeat_us
        period_us = self.world.facts["workers"]["report_s"] * SECOND_US
        return bool(gap_us >= period_us or (self.has_changed and gap_us >= MIN_HEARTBEAT_GAP_US))

    def heartbeat(self) -> dict[str, Any]:
        """Build the next heartbeat in wire format."""
        self.seq += 1
        notice_s = None if self.notice_us is None else max(0.0, (self.notice_us - self.world.now_us) / SECOND_US)
        return {
            "berth": self.name,
            "endpoint": self.host["endpoint"],
            "build": self.host["build"],
            "yard": self.host["yard"],
            "loaners": self.host["loaners"],
            "stint": self.epoch,
            "tick": self.seq,
            "baton": self.fencing_token,
            "warningS": notice_s,
            "picks": [task.to_wire() for task in self.tasks.values()],
        }

    def _send_heartbeat(self) -> None:
        world, now_us = self.world, self.world.now_us
        self.is_awaiting_answer, self.has_changed, self.last_heartbeat_us = True, False, now_us
        exchange = HeartbeatExchange(now_us, self.epoch, self.incarnation)
        heartbeat = self.heartbeat()
        if now_us < self.outbound_blocked_until_us and self.refuses_outbound:
            world.after(world.latency(), partial(self._time_out_heartbeat, exchange))
            return
        world.after(HEARTBEAT_TIMEOUT_US, partial(self._time_out_heartbeat, exchange))
        if now_us < self.keep_copy_until_us:
            other_copies = [copy for copy in world.kept_heartbeats if copy["berth"] != self.name]
            world.kept_heartbeats = [*other_copies, heartbeat]
        if now_us >= max(self.cut_until_us, self.outbound_blocked_until_us):
            controller = world.controllers[self.controller]
            on_answer = partial(self._receive_answer, exchange)
            world.after(world.latency(), partial(controller.receive_heartbeat, heartbeat, on_answer))
            self._send_copies(heartbeat)

    def _send_copies(self, heartbeat: dict[str, Any]) -> None:
        """Send delayed copies of a heartbeat over other connections; their answers are ignored."""
        world = self.world
        if world.now_us >= self.copies.until_us:
            return
        for _ in range(self.copies.times):
            controller = world.controllers[world.random.choice(sorted(world.controllers))]
            world.after(
                world.random.randint(SECOND_US, self.copies.max_delay_us),
                partial(controller.receive_heartbeat, heartbeat, lambda status, body: None, is_copy=True),
            )

    def _is_open(self, exchange: HeartbeatExchange) -> bool:
        return not exchange.is_closed and not self.is_dead and exchange.incarnation == self.incarnation

    def _receive_answer(self, exchange: HeartbeatExchange, status: int, body: Any) -> None:
        if not self._is_open(exchange) or self.is_unreachable():
            return
        exchange.is_closed = True
        self.is_awaiting_answer = False
        if status == 200:
            self._apply_answer(exchange, body)
        elif status == 421 and body.get("foreman") in self.world.controllers and body["foreman"] != self.controller:
            self.controller, self.has_changed = body["foreman"], True
        else:
            self._switch_to_next_controller()

    def _apply_answer(self, exchange: HeartbeatExchange, body: Any) -> None:
        """Renew the lease as of the time the heartbeat was sent, and execute the commands.

        Ignores an answer from an earlier leader or to an earlier epoch.
        """
        if exchange.epoch == self.epoch and body.get("baton", 0) >= self.fencing_token:
            self._observe_token(body["baton"])
            self.lease_renewed_us = max(self.lease_renewed_us, exchange.sent_us)
            self.runner.execute(body["orders"])

    def _time_out_heartbeat(self, exchange: HeartbeatExchange) -> None:
        if self._is_open(exchange):
            exchange.is_closed = True
            self.is_awaiting_answer = False
            self._switch_to_next_controller()

    def _switch_to_next_controller(self) -> None:
        labels = sorted(self.world.controllers)
        self.controller = labels[(labels.index(self.controller) + 1) % len(labels)]
        self.next_heartbeat_after_us = self.world.now_us + NEXT_CONTROLLER_DELAY_US

    def _observe_token(self, fencing_token: int) -> None:
        if fencing_token > self.fencing_token:
            self.fencing_token, self.has_changed = fencing_token, True

    # Direct commands.

    def answer_call(self, body: Any) -> tuple[int, Any]:
        """Execute a direct command message; late copies of it may follow (`command_copies`)."""
        self._schedule_copies(body)
        return self.receive_commands(body)

    def _schedule_copies(self, body: Any) -> None:
        world, copies = self.world, self.command_copies
        if world.now_us >= copies.until_us or world.random.random() >= copies.share:
            return
        for _ in range(copies.times):
            delay_us = world.random.randint(copies.min_delay_us, copies.max_delay_us)
            world.after(delay_us, partial(self._deliver_copy, body, copies.to_address))

    def _deliver_copy(self, body: Any, to_address: bool) -> None:
        """Deliver a late copy of a direct command message to this machine, or to the one that has its address now."""
        address = self.host["endpoint"]
        receivers = [worker for worker in self.world.workers.values() if worker.host["endpoint"] == address]
        for receiver in receivers if to_address else [self]:
            receiver.receive_copy(body)

    def receive_copy(self, body: Any) -> None:
        """Execute a late copy of a direct command message, or keep it until this machine can be reached again."""
        if self.is_dead:
            return
        if self.is_unreachable():
            self.undelivered.append(body)
            return
        started = set(self.tasks)
        self.receive_commands(body)
        self.world.launches_repeated += len(set(self.tasks) - started)

    def receive_commands(self, body: Any) -> tuple[int, Any]:
        """Execute a direct command message; answers 409 to an earlier leader or for another agent epoch."""
        if body["baton"] < self.fencing_token or body["stint"] != self.epoch:
            return 409, self.heartbeat()
        self._observe_token(body["baton"])
        self.runner.execute(body["orders"])
        return 200, self.heartbeat()
