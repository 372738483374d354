"""Judges a run by the rules of the protocol, from what machines did and what users were told."""

from collections import defaultdict
from typing import Any

US = 1_000_000
#: a job about which nothing is answered for so long after the last trouble is forgotten
SILENT_S = 75
#: the largest jobs of a class begin within this long of the first attempt to submit them
BEGIN_S = 240
#: no job waits for so long while a machine that fits has room and its team is under its limit
WAIT_S = 90
KINDS = {"cpus": "vcpus", "gpus": "gpus", "memory_gb": "memGb"}


class Checker:
    def __init__(self, world: Any) -> None:
        self.world = world
        self.broken: list[str] = []
        self.where: dict[str, set[str]] = defaultdict(set)
        self.completed: set[str] = set()
        self.done_us: dict[str, int] = {}  # when each of these completed
        self.starts: dict[str, list[int]] = defaultdict(list)
        self.accepted: dict[str, dict[str, Any]] = {}
        self.told: dict[str, str] = {}
        self.final_us: dict[str, int] = {}  # when a user was first told that a job is done or cancelled
        self.question_us: int | None = None  # when what is answered now was asked; None: now
        self.cancel_asked: set[str] = set()
        self.cancelled_us: dict[str, int] = {}
        self.notes: list[str] = []
        self.used: dict[str, dict[str, float]] = {}
        self.history: dict[str, list[tuple[int, float]]] = defaultdict(list)  # CPUs of a level at each start
        self.most_used: dict[str, float] = defaultdict(float)  # by capped level, in any of its resources
        self.answers: dict[str, list[int]] = defaultdict(list)
        self.asked_us: dict[str, int] = {}  # first attempt to submit
        self.told_us: dict[str, int] = {}  # last answer about an accepted job
        self.accepted_us: dict[str, int] = {}  # when a user was first told that a job is accepted
        self.late_starts = 0  # tasks that began after a user was told that their job is cancelled
        self.waits_us: dict[str, int] = {}  # since when a job has waited beside room that it could have
        self.excused = ""  # why the end of this day is not judged by what was served

    def note(self, text: str) -> None:
        self.notes.append(f"{self.world.now_us / US:.3f} {text}")

    def asks(self, job_id: str) -> None:
        """A user's first attempt to submit it."""
        self.asked_us.setdefault(job_id, self.world.now_us)

    def breach(self, rule: str, text: str) -> None:
        self.broken.append(f"{self.world.now_us / US:.3f} {rule}: {text}")

    # What machines do.

    def on(self, task: str, worker: Any) -> None:
        job_id = task.rpartition("/")[0]
        spec = self.world.jobs[job_id]
        early = [u for u in spec["waitsOn"] if not self._complete(u)]
        if early:
            self.breach("too_early", f"{task} starts before {early[:3]} are done")
        if self.where[task]:
            self.breach("ran_twice", f"{task} on {worker.name} and {sorted(self.where[task])}")
        host = worker.host
        if (
            (spec["builds"] is not None and host["build"] not in spec["builds"])
            or (spec["yard"] not in (None, host["yard"]))
            or (host["loaners"] and not spec["loaners"])
        ):
            self.breach("wrong_place", f"{task} on {worker.name}")
        zones: dict[str, int] = defaultdict(int)
        zones[host["yard"]] += 1
        for other, places in self.where.items():
            if other.rpartition("/")[0] == job_id and other != task:
                for name in places:
                    if name in self.world.workers:
                        zones[self.world.workers[name].host["yard"]] += 1
        if spec["together"] and len(zones) > 1:
            self.breach("wrong_place", f"{task}: zones {dict(zones)}")
        if spec["spread"] and max(zones.values()) > (spec["picks"] + 1) // 2:
            self.breach("wrong_place", f"{task}: spread {dict(zones)}")
        if spec["shape"] == "group":
            # Not the protocol's rule but the design's: tasks of a gang know each other by their attempt.
            others = {
                self.world.workers[n].tasks[t]["try"]
                for t, p in self.where.items()
                for n in p
                if t.rpartition("/")[0] == job_id and n in self.world.workers
            }
            if others - {worker.tasks[task]["try"]}:
                self.breach("mixed_gang", f"{task} starts under another attempt than the others")
        self.where[task].add(worker.name)
        self.starts[task].append(self.world.now_us)
        self._quota()
        self.late_starts += job_id in self.cancelled_us
        self._late(task, "starts")

    def off(self, task: str, worker: str) -> None:
        self._late(task, "was still there")
        self.where[task].discard(worker)

    def _late(self, task: str, what: str) -> None:
        told_us = self.cancelled_us.get(task.rpartition("/")[0])
        limit_us = self.world.facts["workers"]["cancel_s"] * US
        if told_us is not None and self.world.now_us > told_us + limit_us:
            self.breach("ran_cancelled", f"{task} {what}")

    def _caps(self) -> tuple[dict[str, dict[str, float]], dict[str, str]]:
        """Of every level its caps, and the level above."""
        caps: dict[str, dict[str, float]] = defaultdict(dict)
        above: dict[str, str] = {}
        for team in self.world.facts.get("teams", []):
            caps[team["name"]] = {kind: team[kind + "_max"] for kind in KINDS if team.get(kind + "_max")}
        for section, given in self.world.operators.items():
            name = section.partition(" ")[2]
            above[name] = above.get(name) or given.get("parent", "")
            above.update({t.strip(): name for t in given.get("teams", "").split(",") if t.strip()})
            for kind in [*KINDS, "tasks"]:
                if name and kind + "_max" in given:
                    caps[name][kind] = min(float(given[kind + "_max"]), caps[name].get(kind, 1e18))
        return caps, above

    def _quota(self) -> None:
        """Every level, summed anew from what is on machines: no level is ever over its cap."""
        spec_of = self.world.jobs
        kinds = KINDS
        caps, above = self._caps()
        used: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
        for task, places in self.where.items():
            spec = spec_of[task.rpartition("/")[0]]
            level = spec["crew"]
            while places and level:
                for kind in kinds:
                    used[level][kind] += spec[kinds[kind]] * len(places)
                used[level]["tasks"] += len(places)
                level = above.get(level, "")
        for level in caps:
            self.history[level].append((self.world.now_us, used[level]["cpus"]))
        self.used = used
        for level, most in caps.items():
            for kind, cap in most.items():
                self.most_used[level] = max(self.most_used[level], used[level][kind])
                if used[level][kind] > cap + 1e-6:
                    self.breach("quota", f"{level} uses {used[level][kind]} {kind} of {cap}")

    def used_now(self, level: str) -> float:
        """CPUs beneath a level."""
        self._quota()
        return self.used[level]["cpus"]

    # Jobs that wait for others.

    def _complete(self, job_id: str) -> bool:
        return all(f"{job_id}/{i}" in self.completed for i in range(self.world.jobs[job_id]["picks"]))

    def _before(self, job_id: str) -> set[str]:
        """All jobs that one needs, directly or through others."""
        found: set[str] = set()
        left = [job_id]
        # Bound: each job is taken once.
        while left:
            for other in self.world.jobs.get(left.pop(), {}).get("waitsOn", ()):
                if other not in found:
                    found.add(other)
                    left.append(other)
        return found

    def called_off(self, job_id: str) -> bool:
        """Whether its user, or that of a job before it, has asked for its end; what was done by then goes on."""
        return job_id in self.cancel_asked or any(
            u in self.cancel_asked and self.told.get(u) != "done" for u in self._before(job_id)
        )

    def ready_us(self, job_id: str) -> int:
        """When its times begin: with the attempt to submit it, or the end of the last job that it needs; now if that is
        still to come."""
        ends = [
            max(self.done_us.get(f"{u}/{i}", self.world.now_us) for i in range(self.world.jobs[u]["picks"]))
            for u in self.world.jobs[job_id]["waitsOn"]
        ]
        asked_us: int = self.asked_us.get(job_id, self.world.now_us)
        return max(asked_us, *ends) if ends else asked_us

    # What users are told.

    def submitted(self, job_id: str, status: int, body: Any) -> None:
        if status in (200, 201):
            if job_id in self.world.odd and job_id not in self.accepted:
                self.breach("accepted_wrong", f"{job_id} can't run or lacks a field")
                return
            if job_id not in self.accepted:
                self.accepted_us[job_id] = self.world.now_us
                self._news(job_id, "accepted")
            self.accepted.setdefault(job_id, body)
            self._answered(job_id)
            self.heard(job_id, body)
        elif status in (400, 422) and job_id in self.accepted:
            self.breach("forgotten", f"{job_id} answered {status}")

    def polled(self, job_id: str, status: int, body: Any) -> None:
        self.answers[job_id].append(status)
        self._unknown(job_id, status)
        if status == 200:
            if job_id not in self.world.jobs:
                self.breach("invented", job_id)
                return
            self._answered(job_id)
            self.heard(job_id, body)

    def _unknown(self, job_id: str, status: int) -> None:
        """404 for a question asked after its user heard of the acceptance, whichever node was asked."""
        asked_us = self.world.now_us if self.question_us is None else self.question_us
        if status == 404 and job_id in self.accepted and asked_us >= self.accepted_us[job_id]:
            self.breach("forgotten", f"{job_id} answered 404")

    def _news(self, job_id: str, status: str) -> None:
        for hears in self.world.on_news:
            hears(job_id, status)

    def cancel_answer(self, job_id: str, status: int, body: Any) -> None:
        self._unknown(job_id, status)
        if status == 200:
            if job_id not in self.world.jobs:
                self.breach("invented", job_id)
                return
            self.heard(job_id, body)

    def heard(self, job_id: str, body: Any) -> None:
        status, before = body["status"], self.told.get(job_id)
        final = ("done", "withdrawn")
        asked_us = self.world.now_us if self.question_us is None else self.question_us
        # A question that was on its way already may be answered by what was when it was asked; never by another end.
        if before in final and status != before and (status in final or asked_us >= self.final_us[job_id]):
            self.breach("went_back", f"{job_id}: {before}, then {status}")
        if before in final and status not in final:
            return
        if status not in final:
            for other in self._before(job_id):
                late_us = asked_us - self.cancelled_us.get(other, asked_us)
                if late_us > self.world.facts["workers"]["cancel_s"] * US:
                    self.breach("orphaned", f"{job_id} is {status}, {late_us / US:.0f} s after {other} was withdrawn")
        if status in final and job_id not in self.final_us:
            self.final_us[job_id] = self.world.now_us
            self._news(job_id, status)
        if status == "withdrawn":
            if not self.called_off(job_id):
                self.breach("went_back", f"{job_id} is called cancelled, which nobody asked for")
            self.cancelled_us.setdefault(job_id, self.world.now_us)
        if status == "done":
            tasks = [f"{job_id}/{i}" for i in range(self.world.jobs[job_id]["picks"])]
            missing = [t for t in tasks if t not in self.completed]
            if missing:
                self.breach("not_done", f"{job_id}: {missing[:3]}")
        self.told[job_id] = status

    # What is checked at the end of a day.

    def _answered(self, job_id: str) -> None:
        """Silence is counted from the end of all troubles, for each job by itself."""
        now_us = self.world.now_us
        silent_us = now_us - max(self.told_us.get(job_id, now_us), self.world.calm_us)
        if silent_us > SILENT_S * US and job_id in self.accepted and not self.called_off(job_id):
            self.breach("forgotten", f"{job_id}: nothing was answered for {silent_us / US:.0f} s")
        self.told_us[job_id] = now_us

    def look(self) -> None:
        """Who waits beside room that he could have; asked for every second or two, judged once troubles are over."""
        world, now_us = self.world, self.world.now_us
        if now_us < world.calm_us:
            self.waits_us.clear()
            return
        machines = [(w, _free(w)) for w in world.workers.values() if hasattr(w, "type") and w.notice_us is None]
        there = {t for w, _ in machines for t, task in w.tasks.items() if task["status"] != "exited"}
        self._quota()
        waits: dict[str, int] = {}
        for job_id in self.accepted:
            if self.told.get(job_id) in ("done", "withdrawn") or self.called_off(job_id) or world.failing.get(job_id):
                continue
            spec = world.jobs[job_id]
            if not all(map(self._complete, spec["waitsOn"])):
                continue
            left = [
                i
                for i in range(spec["picks"])
                if f"{job_id}/{i}" not in there
                and f"{job_id}/{i}" not in self.completed
                and not self.where.get(f"{job_id}/{i}")
            ]
            if left and self._could_start(spec, len(left), machines, there):
                waits[job_id] = self.waits_us.get(job_id, now_us)
                if now_us - waits[job_id] > WAIT_S * US:
                    self.breach("left_waiting", f"{job_id}: {len(left)} tasks, beside room for {WAIT_S} s")
                    waits[job_id] = now_us
        self.waits_us = waits

    def _could_start(self, spec: dict[str, Any], left: int, machines: list[Any], there: set[str]) -> bool:
        """Whether machines and limits would have one more task, or all that are left of what starts together."""
        job_id, need = spec["uid"], (spec["vcpus"], spec["gpus"], spec["memGb"])
        begun = left < spec["picks"]
        count = left if spec["shape"] == "group" or (spec["shape"] == "standing" and not begun) else 1
        if not self._under_limits(spec, count, machines):
            return False
        zones: dict[str, int] = defaultdict(int)  # of its tasks
        room: dict[str, int] = defaultdict(int)  # for its tasks, by zone
        for worker, free in machines:
            host = worker.host
            zones[host["yard"]] += sum(
                t.startswith(job_id + "/") and task["status"] != "exited" for t, task in worker.tasks.items()
            )
            if (
                (spec["builds"] is None or host["build"] in spec["builds"])
                and spec["yard"] in (None, host["yard"])
                and (spec["loaners"] or not host["loaners"])
            ):
                fits = [int((f + 1e-6) // n) for f, n in zip(free, need, strict=True) if n]
                room[host["yard"]] += max(0, min(fits, default=count))
        if spec["together"]:
            used = {z for z, n in zones.items() if n}
            return any(n >= count for z, n in room.items() if not used or used == {z})
        if spec["spread"]:
            most = (spec["picks"] + 1) // 2
            room = {z: min(n, max(0, most - zones[z])) for z, n in room.items()}
        return sum(room.values()) >= count

    def _under_limits(self, spec: dict[str, Any], count: int, machines: list[Any]) -> bool:
        """As `_quota` has the levels, by the lowest cap in any controller's file; what fetches its image counts."""
        caps, above = self._caps()
        for host in self.world.controllers.values():
            for level, given in ((name.partition(" ")[2], host.operators[name]) for name in host.operators.sections()):
                for kind in [*KINDS, "tasks"]:
                    if level and kind + "_max" in given:
                        caps[level][kind] = min(float(given[kind + "_max"]), caps[level].get(kind, 1e18))
        level = spec["crew"]
        # Bound: the depth of the tree.
        while level:
            there = (
                [
                    self.world.jobs[t.rpartition("/")[0]]
                    for w, _ in machines
                    for t, task in w.tasks.items()
                    if task["status"] != "exited" and self._beneath(t, level, above)
                ]
                if caps.get(level)
                else []
            )
            for kind, cap in caps.get(level, {}).items():
                takes = [s[KINDS[kind]] if kind in KINDS else 1 for s in [spec] * count + there]
                if sum(takes) > cap + 1e-6:
                    return False
            level = above.get(level, "")
        return True

    def _beneath(self, task: str, level: str, above: dict[str, str]) -> bool:
        job_id = task.rpartition("/")[0]
        at = self.world.jobs[job_id]["crew"] if job_id in self.world.jobs else ""
        # Bound: the depth of the tree.
        while at and at != level:
            at = above.get(at, "")
        return bool(at)

    def _served(self, job_id: str) -> bool:
        spec = self.world.jobs[job_id]
        if spec["shape"] == "standing":
            return all(self.where[f"{job_id}/{i}"] for i in range(spec["picks"]))
        return self.told.get(job_id) == "done"

    def _begun_us(self, job_id: str) -> int:
        """When it began: the first task of an array, all of a gang or of a service; now if it has not."""
        spec, now_us = self.world.jobs[job_id], self.world.now_us
        first = [(self.starts.get(f"{job_id}/{i}") or [now_us])[0] for i in range(spec["picks"])]
        return min(first) if spec["shape"] == "array" else max(first)

    def _groups(self) -> dict[str, list[str]]:
        """Jobs that are to be served, by class, by team, and the largest of each class."""
        found: dict[str, list[str]] = defaultdict(list)
        jobs = self.world.jobs
        for job_id in self.accepted:
            if not self.called_off(job_id) and not self.world.failing.get(job_id):
                found[f"class {jobs[job_id]['lane']}"].append(job_id)
                found[f"team {jobs[job_id]['crew']}"].append(job_id)
        for name, job_ids in list(found.items()):
            for what in ("picks", "vcpus") if name.startswith("class") else ():
                most = sorted(job_ids, key=lambda u: -jobs[u]["picks"] * (jobs[u]["vcpus"] if what == "vcpus" else 1))
                found[f"largest by {what} of {name}"] = most[: max(1, len(most) // 10)]
        return found

    def _judge_served(self) -> None:
        """Half of each group, and all work once troubles are long over, of what is older than the bound."""
        now_us, bound_us = self.world.now_us, self.world.bound_us()
        for name, job_ids in self._groups().items():
            old = [u for u in job_ids if self.ready_us(u) + bound_us < now_us]
            left = [u for u in old if not self._served(u)]
            if 2 * len(left) > len(old):
                self.breach("starved", f"{name}: {len(left)} of {len(old)} not served, as {left[:3]}")
            if left and now_us > self.world.calm_us + bound_us:
                self.breach("lost_work", f"{left[:3]} of {name}, {bound_us / US:.0f} s after all troubles")
            for job_id in job_ids if name.startswith("largest") else ():
                if self._begun_us(job_id) - self.ready_us(job_id) > BEGIN_S * US:
                    self.breach("starved", f"{job_id}, of the {name}, had not begun after {BEGIN_S} s")

    def finish(self) -> None:
        for task, places in self.where.items():
            if places:
                self._late(task, "is still there")
        for job_id in self.told_us:
            silent_us = self.told_us[job_id]
            self._answered(job_id)
            self.told_us[job_id] = silent_us
        if not self.excused:
            self._judge_served()
        if self.accepted and not self.starts:
            self.breach("nothing_ran", "no task was started")


def _free(worker: Any) -> tuple[float, float, float]:
    """CPUs, GPUs and GB that no task of a machine takes, those that fetch their image among them."""
    specs = [t["spec"] for t in worker.tasks.values() if t["status"] != "exited" and t["spec"] is not None]
    used = [sum(s[name] for s in specs) for name in KINDS.values()]
    return (worker.type["vcpus"] - used[0], worker.type["gpus"] - used[1], worker.type["memGb"] - used[2])
