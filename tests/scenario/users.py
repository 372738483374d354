"""Verbs for requests of users and the answers expected."""

import json
from functools import partial
from typing import Any

from quinceslip.quota.plots import merge_pages
from tests.scenario.state import RunnerState
from tests.scenario.submission import MAX_RETRIES_US, Submission, read_spec
from tests.scenario.tools import COMPARE
from tests.simulation.clock import SECOND_US


class UserVerbs(RunnerState):
    """Verbs for requests of users and the answers expected."""

    def on_sample(self, args: list[str], named: dict[str, Any]) -> None:
        """sample FILE every=S until=T: append what `quota record` would write, over all controllers"""
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
        """submit UID [gang|service] [run=S] [run_increment=S] [fails=N] [via=NAME] [poll_every=S] [omit=FIELD] ...

        The other options are fields of the job. A user submits it until it is answered, and polls it from then on.
        Each task takes `run` seconds, and `run_increment` more than the one before; `fails` of its starts fail.
        """
        world, job_id = self.w(), args[0]
        run_s, run_increment_s, failing = named.pop("run", 5), named.pop("run_increment", 0), named.pop("fails", 0)
        via, poll_period_s, omitted = named.pop("via", ""), named.pop("poll_every", 2), named.pop("omit", "")
        spec = read_spec(job_id, args, named)
        waits_on = spec["waitsOn"]
        if omitted:
            del spec[omitted]
        if job_id in world.jobs:
            spec = spec if omitted else world.jobs[job_id] | {key: spec[key] for key in ("picks", "vcpus")}
        elif omitted:
            world.invalid_submissions[job_id] = spec
        else:
            world.jobs[job_id], world.run_s[job_id] = spec, run_s
            world.remaining_failures[job_id], world.run_increment_s[job_id] = failing, run_increment_s
        world.checker.submission_attempted(job_id)
        Submission(self, job_id, spec, waits_on, via, poll_period_s, world.now_us + MAX_RETRIES_US).attempt()

    def on_submit_many(self, args: list[str], named: dict[str, Any]) -> None:
        """submit_many FIRST COUNT [every=S] [cancel_after=S] [dependency_offset=N] ...: submit jobs of one kind

        The jobs are numbered from FIRST on. `every` is the time between two submissions; `cancel_after` cancels each
        fourth job after that time; with `dependency_offset`, each depends on the job N numbers before it.
        """
        offset = int(named.pop("dependency_offset", 0))
        every_us, cancel_after_s, named = (
            int(named.pop("every", 0) * SECOND_US),
            named.pop("cancel_after", None),
            {**named},
        )
        for place in range(int(args[1])):
            words = [f"req-{int(args[0]) + place:06d}", *args[2:]]
            after = {"after": f"req-{int(args[0]) + place - offset:06d}"} if offset else {}
            self.w().after(place * every_us + 1, partial(self.on_submit, words, {**named, **after}))
            if cancel_after_s is not None and place % 4 == 3:
                self.w().after(place * every_us + cancel_after_s * SECOND_US, partial(self.on_cancel, words[:1], {}))

    def on_submit_teams(self, args: list[str], named: dict[str, Any]) -> None:
        """submit_teams FIRST COUNT ...: submit one job for each of the teams t-1, t-2, ..."""
        for number in range(int(args[1])):
            self.on_submit([f"req-{int(args[0]) + number:06d}", *args[2:]], {**named, "team": f"t-{number + 1}"})

    def on_cancel_many(self, args: list[str], named: dict[str, Any]) -> None:
        """cancel_many FIRST COUNT [step=N]: cancel each N-th job of this range of numbers"""
        for number in range(int(args[0]), int(args[0]) + int(args[1]), int(named.get("step", 1))):
            self.on_cancel([f"req-{number:06d}"], {})

    def on_reset_counters(self, args: list[str], named: dict[str, Any]) -> None:
        """reset_counters: record the counters, so that later checks can compare with them"""
        world = self.w()
        starts = {task: len(times) for task, times in world.checker.observed.starts.items()}
        self.baseline = {
            "job_writes": world.store.job_writes,
            "heartbeats": world.heartbeats,
            "workers_examined": self._workers_examined(),
            "starts": starts,
            "reads": self._reads(),
            "rental_requests": world.cloud.rental_requests,
            "second": world.now_us // SECOND_US,
            "quota_writes": world.store.quota_writes,
        }

    def on_poll(self, args: list[str], named: dict[str, Any]) -> None:
        """poll UID [via=NAME]: poll the job once, through that controller or any"""
        via = str(named.get("via", ""))

        def answered(status: int, body: Any) -> None:
            self.statuses.setdefault(args[0], []).append(status)
            self.whys.setdefault(args[0], {})[via] = body.get("why", "")
            self.w().checker.answers.poll_answered(args[0], status, body)

        self.ask("poll", args[0], answered, via=via)

    def on_poll_many(self, args: list[str], named: dict[str, Any]) -> None:
        """poll_many UID COUNT over=S: poll the job COUNT times, spread evenly over that time"""
        for number in range(int(args[1])):
            self.w().after(number * named["over"] * SECOND_US // int(args[1]), lambda: self.on_poll(args, {}))

    def _reads(self) -> int:
        return sum(h.actor.user_requests.read_barriers for h in self.w().controllers.values() if h.actor is not None)

    def check_reads_since(self, args: list[str], named: dict[str, Any]) -> None:
        """reads_since OP N: linearizable reads of the store for users, since `reset_counters`"""
        count = self._reads() - self.baseline["reads"]
        assert COMPARE[args[0]](count, int(args[1])), f"{count} reads"

    def check_polls_within(self, args: list[str], named: dict[str, Any]) -> None:
        """polls_within S: no controller that kept running took longer to answer a poll"""
        limit_us = int(float(args[0]) * SECOND_US)
        late = [
            job_id
            for (sent_us, job_id), (host, incarnation) in self.open_polls.items()
            if host.incarnation == incarnation and sent_us + limit_us < self.w().now_us
        ]
        assert not late and self.slowest_poll_us <= limit_us, (late[:3], self.slowest_poll_us)

    def check_successful_requests(self, args: list[str], named: dict[str, Any]) -> None:
        """successful_requests UID N: number of user requests for the job that were answered with 200 or 201"""
        assert sum(s in (200, 201) for s in self.statuses[args[0]]) == int(args[1]), len(self.statuses[args[0]])

    def on_cancel(self, args: list[str], named: dict[str, Any]) -> None:
        """cancel UID [via=NAME]: cancel the job, through that controller or any"""
        world, job_id = self.w(), args[0]
        world.checker.cancellation_requested(job_id)
        concluded = [False]

        def answered(status: int, body: Any) -> None:
            self.statuses.setdefault(job_id, []).append(status)
            concluded[0] = concluded[0] or status == 200
            world.checker.answers.cancellation_answered(job_id, status, body)

        def attempt() -> None:
            if not concluded[0]:
                self.ask("cancel", job_id, answered, via=named.get("via", ""))
                world.after(2 * SECOND_US, attempt)

        attempt()

    def check_done(self, args: list[str], named: dict[str, Any]) -> None:
        """done UID...: the last status that users received of each job is `done`"""
        for job_id in args:
            assert self.w().checker.observed.last_status.get(job_id) == "done", (
                f"{job_id}: {self.w().checker.observed.last_status.get(job_id)}"
            )

    def check_last_status(self, args: list[str], named: dict[str, Any]) -> None:
        """last_status UID STATUS: the last status that users received of the job"""
        assert self.w().checker.observed.last_status.get(args[0]) == args[1]

    def check_http_status(self, args: list[str], named: dict[str, Any]) -> None:
        """http_status UID CODE: some user request for the job was answered with this code"""
        assert int(args[1]) in self.statuses[args[0]], self.statuses[args[0]]

    def check_why(self, args: list[str], named: dict[str, Any]) -> None:
        """why UID TEXT: the explanation beside the job's state, given by exactly one of the controllers"""
        assert sum(" ".join(args[1:]) in text for text in self.whys[args[0]].values()) == 1, self.whys

    def check_all_done(self, args: list[str], named: dict[str, Any]) -> None:
        """all_done: the last status that users received of each array is `done`"""
        last_status = self.w().checker.observed.last_status
        arrays = [job_id for job_id, spec in self.w().jobs.items() if spec["shape"] == "array"]
        unfinished = [job_id for job_id in arrays if last_status.get(job_id) != "done"]
        assert not unfinished, unfinished[:5]

    def check_open_jobs(self, args: list[str], named: dict[str, Any]) -> None:
        """open_jobs N: number of records of unfinished jobs"""
        open_jobs = [
            k for k, (v, *_) in self.w().store.data.items() if k.startswith("q/job/") and v["state"] == "queued"
        ]
        assert len(open_jobs) == int(args[0]), open_jobs[:5]

    def check_late_starts(self, args: list[str], named: dict[str, Any]) -> None:
        """late_starts OP N: tasks started after their cancellation was answered, by commands still in transit"""
        assert COMPARE[args[0]](self.w().checker.machines.late_starts, int(args[1])), (
            self.w().checker.machines.late_starts
        )

    def check_refusal_names(self, args: list[str], named: dict[str, Any]) -> None:
        """refusal_names UID WORD...: the refusal of the job contains these words"""
        text = str(self.reasons[args[0]])
        assert all(word in text for word in args[1:]), text

    def check_running_team(self, args: list[str], named: dict[str, Any]) -> None:
        """running_team TEAM OP N: running tasks of the team"""
        running = [
            t
            for t, p in self.w().checker.observed.running_on.items()
            if p and self.w().jobs[t.rpartition("/")[0]]["crew"] == args[0]
        ]
        assert COMPARE[args[1]](len(running), int(args[2])), f"{len(running)} tasks of {args[0]}"
