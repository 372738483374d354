"""A simulated machine with its worker: keeps fencing tokens, leases and agent epochs as the protocol says."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from tests.simulation.clock import US

if TYPE_CHECKING:
    from tests.simulation.world import World


class SimulatedWorker:
    """One machine: keeps tokens, leases and sessions as the protocol tells."""

    def __init__(self, world: "World", name: str, host: dict[str, Any]) -> None:
        self.world, self.name, self.host = world, name, host
        self.type = world.types[host["build"]]
        self.epoch = 1
        self.seq = 0
        self.fencing_token = 0
        self.tasks: dict[str, dict[str, Any]] = {}
        self.started_us = self.answered_us = world.now_us
        self.node = world.random.choice(sorted(world.controllers))
        self.dead = False
        self.life = 0
        self.cut_until_us = 0
        self.hung_until_us = 0
        self.mute_until_us = 0
        self.mute_refused = False  # its connections are refused, so it goes on to the next at once; else they hang
        self.slow_do: tuple[int, int, int] = (0, 0, 0)  # until when commands, or their answers, take so long at most
        self.drops = False  # what does not reach it is lost, not held
        self.unheard_until_us = 0  # its reports arrive; no answer, command or question reaches it
        self.copies: tuple[int, int, int] = (0, 0, 0)  # until when its reports come again, how often, how late at most
        self.for_next_until_us = 0  # a copy of its latest report is kept until a shard has an owner anew
        self.busy = False
        self.changed = True
        self.last_report_us = 0
        self.notice_us: int | None = None
        self.not_before_us = 0
        self.held: list[tuple[Any, Callable[[int, Any], None]]] = []
        self._heartbeat()

    # Liveness.

    def die(self) -> None:
        self.dead = True
        for task in list(self.tasks):
            self._end(task)

    def reboot(self) -> None:
        """Back at once, with nothing, in a new session, and knowing no token."""
        for task in list(self.tasks):
            self._end(task)
        self.tasks.clear()
        self.epoch, self.fencing_token, self.busy, self.changed = self.epoch + 1, 0, False, True
        self.life += 1
        self.answered_us = self.world.now_us
        self.held.clear()

    def _end(self, name: str) -> None:
        if self.tasks[name]["on"]:
            self.tasks[name]["on"] = False
            self.world.checker.machines.task_stopped(name, self.name)

    def _heartbeat(self) -> None:
        if self.dead:
            return
        world = self.world
        now_us = world.now_us
        world.after(50_000, self._heartbeat)
        past = now_us - self.answered_us > world.facts["workers"]["lease_s"] * US
        if past:
            # Also on a machine that hangs: it may resume within its lease, not after it.
            world.killed += sum(t["on"] for t in self.tasks.values())
            for name in list(self.tasks):
                self._end(name)
        if now_us < self.hung_until_us:
            return
        if past:
            self.tasks.clear()
            self.epoch += 1
            self.answered_us = now_us
            self.changed = True
        if self.held and now_us >= max(self.cut_until_us, self.unheard_until_us):
            held, self.held = self.held, []
            for body, _ in held:
                self.do(body)
        period_us = world.facts["workers"]["report_s"] * US
        gap_us = now_us - self.last_report_us
        if (
            not self.busy
            and now_us >= self.not_before_us
            and (gap_us >= period_us or (self.changed and gap_us >= US // 2))
        ):
            self._report()

    def heartbeat(self) -> dict[str, Any]:
        self.seq += 1
        notice_s = None if self.notice_us is None else max(0.0, (self.notice_us - self.world.now_us) / US)
        picks = [
            {k: v for k, v in t.items() if k in ("pick", "try", "status", "cause", "saved")}
            for t in self.tasks.values()
        ]
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
            "picks": picks,
        }

    def _report(self) -> None:
        world = self.world
        self.busy, self.changed, self.last_report_us = True, False, world.now_us
        sent_us, epoch, life = world.now_us, self.epoch, self.life
        done = [False]

        def answer(status: int, body: Any) -> None:
            if done[0] or self.dead or life != self.life:
                return
            if world.now_us < max(self.cut_until_us, self.hung_until_us, self.unheard_until_us):
                return
            done[0] = True
            self.busy = False
            if status == 200:
                if epoch == self.epoch and body.get("baton", 0) >= self.fencing_token:
                    self._see(body["baton"])
                    self.answered_us = max(self.answered_us, sent_us)
                    self._execute(body["orders"])
            elif status == 421 and body.get("foreman") in world.controllers and body["foreman"] != self.node:
                self.node, self.changed = body["foreman"], True
            else:
                self._next_node()

        def timeout() -> None:
            if not done[0] and not self.dead and life == self.life:
                done[0] = True
                self.busy = False
                self._next_node()

        heartbeat = self.heartbeat()
        if world.now_us < self.mute_until_us and self.mute_refused:
            world.after(world.latency(), timeout)
            return
        world.after(4 * US, timeout)
        if world.now_us < self.for_next_until_us:
            world.for_next = [r for r in world.for_next if r["berth"] != self.name] + [heartbeat]
        if world.now_us >= max(self.cut_until_us, self.mute_until_us):
            node = world.controllers[self.node]
            world.after(world.latency(), lambda: node.worker_reports(heartbeat, answer))
            until_us, times, late_us = self.copies
            for _ in range(times if world.now_us < until_us else 0):
                # A copy comes by another connection: whatever it is answered, nobody takes it.
                other = world.controllers[world.random.choice(sorted(world.controllers))]
                world.after(
                    world.random.randint(US, late_us),
                    partial(other.worker_reports, heartbeat, lambda status, body: None, copy=True),
                )

    def _next_node(self) -> None:
        names = sorted(self.world.controllers)
        self.node = names[(names.index(self.node) + 1) % len(names)]
        self.not_before_us = self.world.now_us + US

    def _see(self, fencing_token: int) -> None:
        if fencing_token > self.fencing_token:
            self.fencing_token, self.changed = fencing_token, True

    # Commands.

    def do(self, body: Any) -> tuple[int, Any]:
        if body["baton"] < self.fencing_token or body["stint"] != self.epoch:
            return 409, self.heartbeat()
        self._see(body["baton"])
        self._execute(body["orders"])
        return 200, self.heartbeat()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            name, number = order["pick"], order["try"]
            task = self.tasks.get(name)
            if order["verb"] == "launch":
                if task is None:
                    self._launch(name, number)
            elif order["verb"] == "halt":
                if task and task["try"] == number and task["status"] != "exited":
                    saved = task["spec"]["markEveryS"] > 0 and order.get("windDownS", 0) >= task["spec"]["markCostS"]
                    if saved and task["status"] == "running":
                        task["status"] = "flushing"
                        self.world.after(task["spec"]["markCostS"] * US, partial(self._exit, name, number, "halted"))
                    else:
                        self._exit(name, number, "halted")
            elif task and task["try"] == number and task["status"] == "exited":
                del self.tasks[name]
            self.changed = True

    def _launch(self, name: str, number: int) -> None:
        job_id = name.rpartition("/")[0]
        spec = self.world.jobs.get(job_id)
        task = {"pick": name, "try": number, "status": "pulling", "spec": spec, "on": False}
        self.tasks[name] = task
        if spec is None:
            task.update(status="exited", cause="unknown")
            return
        used = [t["spec"] for t in self.tasks.values() if t["status"] != "exited"]
        if sum(s["vcpus"] for s in used) > self.type["vcpus"] + 1e-6:
            task.update(status="exited", cause="no_room")
            return
        self.world.after(300_000, lambda: self._start(name, number))

    def _start(self, name: str, number: int) -> None:
        task = self.tasks.get(name)
        if self.dead or task is None or task["try"] != number or task["status"] != "pulling":
            return
        if self.world.now_us < self.hung_until_us:
            self.world.after(self.hung_until_us - self.world.now_us + 100_000, lambda: self._start(name, number))
            return
        task["status"], task["on"] = "running", True
        self.changed = True
        world = self.world
        world.checker.machines.task_started(name, self)
        job_id = name.rpartition("/")[0]
        if world.failing.get(job_id, 0) > 0:
            world.failing[job_id] -= 1
            world.after(US, lambda: self._exit(name, number, "error"))
        elif task["spec"]["shape"] != "standing":
            run_s = world.run_s[job_id] + int(name.rpartition("/")[2]) * world.apart_s.get(job_id, 0)
            world.after(run_s * US, lambda: self._complete(name, number))

    def _complete(self, name: str, number: int) -> None:
        task = self.tasks.get(name)
        if task and task["try"] == number and task["status"] == "running" and not self.dead:
            if self.world.now_us < self.hung_until_us:
                self.world.after(self.hung_until_us - self.world.now_us + 100_000, lambda: self._complete(name, number))
                return
            self.world.checker.task_completed(name)
            self._exit(name, number, "done")
            job_id = name.rpartition("/")[0]
            if self.world.checker.observed.is_complete(job_id):
                for ends in self.world.on_end:
                    ends(job_id)

    def _exit(self, name: str, number: int, cause: str) -> None:
        task = self.tasks.get(name)
        if task and task["try"] == number and task["status"] != "exited" and not self.dead:
            self._end(name)
            task.update(status="exited", cause=cause)
            self.changed = True
