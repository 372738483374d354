"""Verbs of scenarios for troubles that meet: users who look closely or ask oddly, cancellations at awkward moments."""

from functools import partial
from itertools import count
from typing import Any

from tests.scenario.odd_requests import FIRST_ID, OddRequests
from tests.scenario.users import UserVerbs
from tests.simulation.clock import SECOND_US
from tests.simulation.faults import LostHandOver, StoreCut, WorkerCut

#: hosts of cancelled jobs that hang, at the most
MAX_HUNG_MACHINES = 8


class Troubles(UserVerbs):
    """A part of the runner: what `at T VERB ...` says, for verbs that watch the day and step in."""

    def __init__(self) -> None:
        super().__init__()
        self.odd_numbers = count(FIRST_ID)  # of odd submissions of this run
        self.met: dict[str, int] = {}  # how often each of these troubles met something

    def _meets(self, what: str) -> None:
        self.met[what] = self.met.get(what, 0) + 1

    def check_met(self, args: list[str], named: dict[str, Any]) -> None:
        """met WHAT N: this trouble met something so often at least; without that its scenario would show nothing"""
        assert self.met.get(args[0], 0) >= int(args[1]), self.met

    # What users do.

    def _cancel_in(self, job_id: str, seconds: float, by: str = "") -> None:
        self.w().after(seconds * SECOND_US, lambda: self.on_cancel([job_id], {"by": by} if by else {}))

    def on_close_looks(self, args: list[str], named: dict[str, Any]) -> None:
        """close_looks S [cancel=SHARE]: all controllers are asked within milliseconds of any news about a job

        The submission is repeated as well; of what has just been accepted that share is cancelled at once.
        """
        world, share = self.w(), float(named.get("cancel", 0))
        until_us = world.begin_fault(float(args[0]))

        def news(job_id: str, status: str) -> None:
            if world.now_us >= until_us or job_id in world.invalid_submissions:
                return
            self._meets("close_looks")
            for label in world.controllers:
                for _ in range(2):
                    world.after(
                        world.random.randint(1, 8000),
                        partial(
                            self.ask,
                            "poll",
                            job_id,
                            lambda s, b: world.checker.answers.poll_answered(job_id, s, b),
                            by=label,
                        ),
                    )
                world.after(
                    world.random.randint(1, 8000),
                    partial(
                        self.ask,
                        "submit",
                        job_id,
                        lambda s, b: world.checker.answers.submission_answered(job_id, s, b),
                        world.jobs[job_id],
                        by=label,
                    ),
                )
            if status not in ("done", "withdrawn") and world.random.random() < share:
                self._cancel_in(job_id, 0.001)

        world.status_listeners.append(news)

    def on_odd_requests(self, args: list[str], named: dict[str, Any]) -> None:
        """odd_requests S [every=S]: repeats of unfinished jobs, as they were and spoilt; cancellations of what is done;
        jobs that fit no machine or lack a field"""
        every_us = int(float(named.get("every", 0.3)) * SECOND_US)
        until_us = self.w().begin_fault(float(args[0]))
        OddRequests(self, every_us, until_us, self._meets, self.odd_numbers).send_next()

    def on_cancel_at_end(self, args: list[str], named: dict[str, Any]) -> None:
        """cancel_at_end S [share=P]: of the jobs that end, that share is called off at the moment of the end"""
        world, share = self.w(), float(named.get("share", 1))
        until_us = world.begin_fault(float(args[0]))

        def ends(job_id: str) -> None:
            if world.now_us < until_us and world.random.random() < share:
                self._meets("cancel_at_end")
                self._cancel_in(job_id, world.random.choice([0.0, 0.003, 0.02, 0.3]))

        world.completion_listeners.append(ends)

    def on_cancel_now(self, args: list[str], named: dict[str, Any]) -> None:
        """cancel_now COUNT [within=S] [hang=S] [by=NAME]: so many jobs that run; their machines hang, eight at most"""
        world, hang_s = self.w(), float(named.get("hang", 0))
        within_s, by = float(named.get("within", 0.2)), str(named.get("by", ""))
        where = world.checker.observed.running_on
        running = sorted(
            {t.rpartition("/")[0] for t, places in where.items() if places} - world.checker.observed.cancel_requested,
            key=lambda u: (world.jobs[u]["shape"] != "standing", -world.run_s.get(u, 0), u),
        )
        hung: list[str] = []
        for job_id in running[: int(args[0])]:
            self._meets("cancel_now")
            self._cancel_in(job_id, world.random.random() * within_s, by)
            hung += sorted({n for t, places in where.items() if t.startswith(job_id + "/") for n in places})
        for name in list(dict.fromkeys(hung))[:MAX_HUNG_MACHINES] if hang_s else []:
            self._meets("hung")
            world.workers[name].hung_until_us = world.begin_fault(hang_s)

    # What the network does.

    def on_boots(self, args: list[str], named: dict[str, Any]) -> None:
        """boots S: machines rented from now on are up so soon"""
        self.w().cloud.boot_us = int(float(args[0]) * SECOND_US)

    def on_slow_links(self, args: list[str], named: dict[str, Any]) -> None:
        """slow_links S MOST: every message takes up to so long, between whomever"""
        world = self.w()
        world.links_slow_until_us, world.link_delay_us = (
            world.begin_fault(float(args[0])),
            int(float(args[1]) * SECOND_US),
        )

    def on_island(self, args: list[str], named: dict[str, Any]) -> None:
        """island ZONE NAME S [MODE]: a zone with its workers and that controller is cut off from all else"""
        world = self.w()
        until_us = world.begin_fault(float(args[2]))
        for label, host in world.controllers.items():
            host.workers.cut = WorkerCut(until_us, "!" + args[0] if label == args[1] else args[0])
        inside = world.controllers[args[1]]
        inside.peers_cut_until_us = until_us
        inside.store.cut = StoreCut(until_us, args[3] if args[3:] else "held")

    def on_hand_over_unanswered(self, args: list[str], named: dict[str, Any]) -> None:
        """hand_over_unanswered NAME S: its next hand-over is carried out, the answer is lost, and its watch hangs

        `hand_over_unanswered NAME S lost`: it is not carried out either.
        """
        self.w().store.lost_hand_overs[args[0]] = LostHandOver(int(float(args[1]) * SECOND_US), "lost" in args)

    def check_handed_over(self, args: list[str], named: dict[str, Any]) -> None:
        """handed_over: that has met"""
        assert self.w().hand_over_lost_us
