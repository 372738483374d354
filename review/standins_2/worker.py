"""A stand-in of a machine with its worker, as PROTOCOL describes it."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from review.standins_2.wire import Client, Server, encode

MIN_REPORT_S = 0.5
ANSWER_S = 4.0
AMOUNTS = ("vcpus", "gpus", "memGb")


@dataclass(slots=True)
class Task:
    """One attempt on a machine."""

    pick: str
    attempt: int
    job: dict[str, Any]
    status: str
    cause: str = ""
    started: float = 0.0  # when it had its image
    ends: float = 0.0  # when its image is there, or when it is done

    def report(self) -> dict[str, Any]:
        """Its entry in a report."""
        entry: dict[str, Any] = {"pick": self.pick, "try": self.attempt, "status": self.status}
        return entry | {"cause": self.cause} if self.cause else entry


class Worker:
    """A machine. `jobs` holds the descriptions that users uploaded, `run_s` says how long a task of a job runs."""

    def __init__(
        self,
        name: str,
        build: dict[str, Any],
        yard: str,
        controllers: dict[str, str],
        facts: dict[str, float],
        jobs: dict[str, dict[str, Any]],
        run_s: Callable[[dict[str, Any]], float],
        note: Callable[..., None],
    ) -> None:
        self.name, self.build, self.yard, self.note = name, build, yard, note
        self.report_s, self.lease_s = facts["report_s"], facts["lease_s"]
        self.jobs, self.run_s = jobs, run_s
        self.labels = sorted(controllers)
        self.clients = {label: Client(address, ANSWER_S) for label, address in controllers.items()}
        self.current = random.randrange(len(self.labels))
        self.stint, self.tick, self.baton = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.present: dict[str, Task] = {}  # by pick: the attempt that has not exited
        self.used = dict.fromkeys(AMOUNTS, 0.0)
        self.images: set[str] = set()
        self.renewed = time.monotonic()
        self.changed = asyncio.Event()
        self.statuses: dict[int, int] = {}
        self.sessions_lost = 0
        self.largest_report = 0
        self.gone = False
        self._running: list[asyncio.Task[None]] = []
        self.server = Server(self.handle)

    async def start(self) -> None:
        """Listen, report and run tasks."""
        await self.server.start()
        self._running = [asyncio.create_task(self._report()), asyncio.create_task(self._run())]

    def end(self) -> None:
        """End with all that is on the machine."""
        self.gone = True
        for running in self._running:
            running.cancel()
        for task in list(self.tasks.values()):
            self._note_end(task, "machine gone")
        self.tasks.clear()

    def report(self) -> dict[str, Any]:
        """Its state; counts as a message."""
        self.tick += 1
        return {
            "berth": self.name,
            "endpoint": self.server.address,
            "build": self.build["label"],
            "yard": self.yard,
            "loaners": False,
            "stint": self.stint,
            "tick": self.tick,
            "baton": self.baton,
            "warningS": None,
            "picks": [task.report() for task in self.tasks.values()],
        }

    async def handle(self, _method: str, path: str, _query: dict[str, str], body: Any) -> tuple[int, Any]:
        """Answer `/do` and `/inspect`."""
        if self.gone:
            await asyncio.sleep(60)
        if path == "/inspect":
            return 200, self.report()
        if not isinstance(body, dict) or "baton" not in body or "stint" not in body:
            return 400, {"error": "baton or stint is missing"}
        if body["baton"] < self.baton or body["stint"] != self.stint:
            return 409, self.report()
        self._accept(body)
        return 200, self.report()

    def _accept(self, answer: dict[str, Any]) -> None:
        if answer["baton"] > self.baton:
            self.baton = answer["baton"]
            self.changed.set()
        for order in answer.get("orders") or []:
            self._carry_out(order)

    def _carry_out(self, order: dict[str, Any]) -> None:
        key = (order["pick"], order["try"])
        task = self.tasks.get(key)
        if order["verb"] == "reap":
            if task is not None and task.status == "exited":
                del self.tasks[key]
        elif order["verb"] == "halt":
            if task is not None and task.status != "exited":
                self._exit(task, "halted")
        elif task is None:
            self._launch(*key)
        self.changed.set()

    def _launch(self, pick: str, attempt: int) -> None:
        job = self.jobs.get(pick.rpartition("/")[0])
        refusal = "unknown" if job is None else self._refusal(pick, job)
        task = self.tasks[pick, attempt] = Task(pick, attempt, job or {}, "pulling")
        if refusal:
            task.status, task.cause = "exited", refusal
            return
        self.present[pick] = task
        self._add_usage(task, 1)
        if task.job["kit"] in self.images:
            self._begin(task)
        else:
            task.ends = time.monotonic() + task.job["sizeGb"] / self.build["pullGbPerS"]

    def _refusal(self, pick: str, job: dict[str, Any]) -> str:
        if pick in self.present:
            return "busy"
        fits = all(self.used[amount] + job[amount] <= self.build[amount] + 1e-6 for amount in AMOUNTS)
        return "" if fits else "no_room"

    def _add_usage(self, task: Task, sign: int) -> None:
        for amount in AMOUNTS:
            self.used[amount] += sign * task.job[amount]

    def _begin(self, task: Task) -> None:
        now = time.monotonic()
        task.status, task.started = "running", now
        task.ends = now + self.run_s(task.job) if task.job["shape"] == "array" else float("inf")
        self.note("start", self.name, task.pick, task.attempt)
        self.changed.set()

    def _exit(self, task: Task, cause: str) -> None:
        self._note_end(task, cause)
        task.status, task.cause = "exited", cause
        del self.present[task.pick]
        self._add_usage(task, -1)
        self.changed.set()

    def _note_end(self, task: Task, cause: str) -> None:
        if task.started and task.status != "exited":
            self.note("end", self.name, task.pick, task.attempt, cause)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for task in list(self.present.values()):
                if task.status == "pulling" and now >= task.ends:
                    self.images.add(task.job["kit"])
                    self._begin(task)
                elif task.status == "running" and now >= task.ends:
                    self._exit(task, "done")
            if now > self.renewed + self.lease_s:
                self._next_session(now)

    def _next_session(self, now: float) -> None:
        if self.tasks:
            self.sessions_lost += 1
            self.note("lease over", self.name, f"{len(self.tasks)} tasks killed and forgotten")
        for task in self.tasks.values():
            self._note_end(task, "lease over")
        self.tasks.clear()
        self.present.clear()
        self.used = dict.fromkeys(AMOUNTS, 0.0)
        self.stint += 1
        self.renewed = now
        self.changed.set()

    async def _report(self) -> None:
        while True:
            sent, stint = time.monotonic(), self.stint
            self.changed.clear()
            data = encode(self.report())
            self.largest_report = max(self.largest_report, len(data))
            status, answer = await self.clients[self.labels[self.current]].request("POST", "/hello", data)
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if time.monotonic() - sent > ANSWER_S:
                status = 0
            pause = self._handle_answer(status, answer, sent, stint)
            if pause:
                await asyncio.sleep(pause)
                continue
            await asyncio.sleep(max(0.0, sent + MIN_REPORT_S - time.monotonic()))
            period = self.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.0, sent + period - time.monotonic()))
            except TimeoutError:
                pass

    def _handle_answer(self, status: int, answer: Any, sent: float, stint: int) -> float:
        """Apply an answer; returns the pause before a report to the next node, 0 if it stays."""
        if status == 200 and isinstance(answer, dict):
            if stint == self.stint and answer.get("baton", -1) >= self.baton:
                self.renewed = max(self.renewed, sent)
                self._accept(answer)
            return 0.0
        foreman = answer.get("foreman") if status == 421 and isinstance(answer, dict) else None
        if foreman in self.clients and foreman != self.labels[self.current]:
            self.clients[self.labels[self.current]].close()
            self.current = self.labels.index(foreman)
            return random.uniform(0.01, 0.5)
        self.clients[self.labels[self.current]].close()
        self.current = (self.current + 1) % len(self.labels)
        return 1.0
