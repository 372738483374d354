"""What users do at a moment, and what is expected of their answers."""

import json
from functools import partial
from typing import Any

from quinceslip.quota.plots import merge_pages
from tests.scenario.state import RunnerState
from tests.scenario.submission import MAX_RETRIES_US, Submission, read_spec
from tests.scenario.tools import COMPARE
from tests.simulation.clock import SECOND_US


class UserVerbs(RunnerState):
    """What users do at a moment, and what is expected of their answers."""

    def on_sample(self, args: list[str], named: dict[str, Any]) -> None:
        """sample FILE every=S until=T: what `quota record` would write of all controllers"""
        world = self.w()
        pages: list[Any] = []
        for host in world.controllers.values():
            host.receive_query("quota", lambda status, body: pages.append(body))

        def write() -> None:
            with open(args[0], "a", encoding="utf-8") as out:
                out.write(json.dumps({"at_s": world.now_us / SECOND_US, "levels": merge_pages(pages)}) + "\n")

        world.after(20_000, write)
        if world.now_us < named["until"] * SECOND_US:
            world.after(named["every"] * SECOND_US, lambda: self.on_sample(args, named))

    def on_submit(self, args: list[str], named: dict[str, Any]) -> None:
        """submit UID [gang|service] [run=S] [apart=S] [fails=N] [by=NAME] [poll=S] [lacks=FIELD] [FIELD=VALUE ...]

        A user submits it until it is answered, and polls it from then on. `run` is what each task takes, `apart` what
        each takes more than the one before; `fails` of its starts fail.
        """
        world, job_id = self.w(), args[0]
        run_s, run_increment_s, failing = named.pop("run", 5), named.pop("apart", 0), named.pop("fails", 0)
        by, poll_s, lacking = named.pop("by", ""), named.pop("poll", 2), named.pop("lacks", "")
        spec = read_spec(job_id, args, named)
        waits_on = spec["waitsOn"]
        if lacking:
            del spec[lacking]
        if job_id in world.jobs:
            spec = spec if lacking else world.jobs[job_id] | {key: spec[key] for key in ("picks", "vcpus")}
        elif lacking:
            world.invalid_submissions[job_id] = spec
        else:
            world.jobs[job_id], world.run_s[job_id] = spec, run_s
            world.remaining_failures[job_id], world.run_increment_s[job_id] = failing, run_increment_s
        world.checker.submission_attempted(job_id)
        Submission(self, job_id, spec, waits_on, by, poll_s, world.now_us + MAX_RETRIES_US).attempt()

    def on_submit_many(self, args: list[str], named: dict[str, Any]) -> None:
        """submit_many FIRST COUNT [every=S] [off=S] ...: jobs of one kind, with numbers from FIRST on, at once or one
        by one; with `off`, each fourth is cancelled so long after; with `needs=N`, each needs the one N numbers before
        """
        needs = int(named.pop("needs", 0))
        every_us, off_s, named = int(named.pop("every", 0) * SECOND_US), named.pop("off", None), {**named}
        for place in range(int(args[1])):
            what = [f"req-{int(args[0]) + place:06d}", *args[2:]]
            after = {"after": f"req-{int(args[0]) + place - needs:06d}"} if needs else {}
            self.w().after(place * every_us + 1, partial(self.on_submit, what, {**named, **after}))
            if off_s is not None and place % 4 == 3:
                self.w().after(place * every_us + off_s * SECOND_US, partial(self.on_cancel, what[:1], {}))

    def on_submit_teams(self, args: list[str], named: dict[str, Any]) -> None:
        """submit_teams FIRST COUNT ...: a job of each of the teams t-1, t-2, ..."""
        for number in range(int(args[1])):
            self.on_submit([f"req-{int(args[0]) + number:06d}", *args[2:]], {**named, "team": f"t-{number + 1}"})

    def on_cancel_many(self, args: list[str], named: dict[str, Any]) -> None:
        """cancel_many FIRST COUNT [step=N]: jobs by number, each or each so many"""
        for number in range(int(args[0]), int(args[0]) + int(args[1]), int(named.get("step", 1))):
            self.on_cancel([f"req-{number:06d}"], {})

    def on_count(self, args: list[str], named: dict[str, Any]) -> None:
        """count: what is counted from here on"""
        world = self.w()
        starts = {task: len(times) for task, times in world.checker.observed.starts.items()}
        self.counted = {
            "puts": world.store.job_writes,
            "reports": world.heartbeats,
            "looked": self._workers_examined(),
            "starts": starts,
            "reads": self._reads(),
            "asked": world.cloud.rental_requests,
            "second": world.now_us // SECOND_US,
            "grants": world.store.quota_writes,
        }

    def on_poll(self, args: list[str], named: dict[str, Any]) -> None:
        """poll UID [by=NAME]"""
        by = str(named.get("by", ""))

        def heard(status: int, body: Any) -> None:
            self.statuses.setdefault(args[0], []).append(status)
            self.whys.setdefault(args[0], {})[by] = body.get("why", "")
            self.w().checker.answers.poll_answered(args[0], status, body)

        self.ask("poll", args[0], heard, by=by)

    def on_poll_many(self, args: list[str], named: dict[str, Any]) -> None:
        """poll_many UID COUNT over=S: spread evenly"""
        for number in range(int(args[1])):
            self.w().after(number * named["over"] * SECOND_US // int(args[1]), lambda: self.on_poll(args, {}))

    def _reads(self) -> int:
        return sum(h.actor.user_requests.read_barriers for h in self.w().controllers.values() if h.actor is not None)

    def check_reads_since(self, args: list[str], named: dict[str, Any]) -> None:
        """reads_since OP N: linearizable reads of the store for users, since `count`"""
        count = self._reads() - self.counted["reads"]
        assert COMPARE[args[0]](count, int(args[1])), f"{count} reads"

    def check_polls_within(self, args: list[str], named: dict[str, Any]) -> None:
        """polls_within S: no controller that went on has taken longer over a poll"""
        limit_us = int(float(args[0]) * SECOND_US)
        late = [
            job_id
            for (asked_us, job_id), (host, incarnation) in self.open_polls.items()
            if host.incarnation == incarnation and asked_us + limit_us < self.w().now_us
        ]
        assert not late and self.slowest_us <= limit_us, (late[:3], self.slowest_us)

    def check_answered(self, args: list[str], named: dict[str, Any]) -> None:
        """answered UID N: so many requests of users for it were answered with 200 or 201"""
        assert sum(s in (200, 201) for s in self.statuses[args[0]]) == int(args[1]), len(self.statuses[args[0]])

    def on_cancel(self, args: list[str], named: dict[str, Any]) -> None:
        """cancel UID [by=NAME]: asked of that controller, or of any"""
        world, job_id = self.w(), args[0]
        world.checker.cancellation_requested(job_id)
        settled = [False]

        def heard(status: int, body: Any) -> None:
            self.statuses.setdefault(job_id, []).append(status)
            settled[0] = settled[0] or status == 200
            world.checker.answers.cancellation_answered(job_id, status, body)

        def attempt() -> None:
            if not settled[0]:
                self.ask("cancel", job_id, heard, by=named.get("by", ""))
                world.after(2 * SECOND_US, attempt)

        attempt()

    def check_done(self, args: list[str], named: dict[str, Any]) -> None:
        """done UID...: the last answer to users about each is that it is done"""
        for job_id in args:
            assert self.w().checker.observed.last_status.get(job_id) == "done", (
                f"{job_id}: {self.w().checker.observed.last_status.get(job_id)}"
            )

    def check_told(self, args: list[str], named: dict[str, Any]) -> None:
        """told UID STATUS: the status in the last answer to users about it"""
        assert self.w().checker.observed.last_status.get(args[0]) == args[1]

    def check_status(self, args: list[str], named: dict[str, Any]) -> None:
        """status UID CODE: some request of users for it was answered so"""
        assert int(args[1]) in self.statuses[args[0]], self.statuses[args[0]]

    def check_why(self, args: list[str], named: dict[str, Any]) -> None:
        """why UID TEXT: what answers say of a job beside its state, by the one controller that answers for it"""
        assert sum(" ".join(args[1:]) in text for text in self.whys[args[0]].values()) == 1, self.whys

    def check_all_done(self, args: list[str], named: dict[str, Any]) -> None:
        """all_done: users were answered that each array is done"""
        last_status = self.w().checker.observed.last_status
        arrays = [job_id for job_id, spec in self.w().jobs.items() if spec["shape"] == "array"]
        left = [job_id for job_id in arrays if last_status.get(job_id) != "done"]
        assert not left, left[:5]

    def check_open_jobs(self, args: list[str], named: dict[str, Any]) -> None:
        """open_jobs N: records of jobs that are not over"""
        left = [k for k, (v, *_) in self.w().store.data.items() if k.startswith("q/job/") and v["state"] == "queued"]
        assert len(left) == int(args[0]), left[:5]

    def check_late_starts(self, args: list[str], named: dict[str, Any]) -> None:
        """late_starts OP N: tasks that began after their cancellation was answered, by commands on their way"""
        assert COMPARE[args[0]](self.w().checker.machines.late_starts, int(args[1])), (
            self.w().checker.machines.late_starts
        )

    def check_refused_for(self, args: list[str], named: dict[str, Any]) -> None:
        """refused_for UID LEVEL RESOURCE: the 422 names them"""
        text = str(self.reasons[args[0]])
        assert all(word in text for word in args[1:]), text

    def check_running_team(self, args: list[str], named: dict[str, Any]) -> None:
        """running_team TEAM OP N"""
        there = [
            t
            for t, p in self.w().checker.observed.running_on.items()
            if p and self.w().jobs[t.rpartition("/")[0]]["crew"] == args[0]
        ]
        assert COMPARE[args[1]](len(there), int(args[2])), f"{len(there)} tasks of {args[0]}"
