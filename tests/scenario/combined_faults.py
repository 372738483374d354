"""Verbs for combined faults: frequent or irregular user requests, cancellations at critical moments, slow networks."""

from functools import partial
from itertools import count
from typing import Any

from tests.scenario.irregular_requests import FIRST_ID, IrregularRequests
from tests.scenario.users import UserVerbs
from tests.simulation.clock import SECOND_US
from tests.simulation.faults import LostHandOver, StoreCut, WorkerCut

#: maximum number of machines of cancelled jobs that `cancel_running` hangs
MAX_HUNG_MACHINES = 8


class CombinedFaults(UserVerbs):
    """Verbs that react to events of the run, and verbs for faults of the network."""

    def __init__(self) -> None:
        super().__init__()
        self.irregular_id_numbers = count(FIRST_ID)
        self.occurrences: dict[str, int] = {}  # how often each of these faults took effect

    def _count_occurrence(self, kind: str) -> None:
        self.occurrences[kind] = self.occurrences.get(kind, 0) + 1

    def check_occurred(self, args: list[str], named: dict[str, Any]) -> None:
        """occurred KIND N: this fault took effect at least N times; otherwise its scenario would prove nothing"""
        assert self.occurrences.get(args[0], 0) >= int(args[1]), self.occurrences

    # Users.

    def _cancel_in(self, job_id: str, seconds: float, via: str = "") -> None:
        self.w().after(seconds * SECOND_US, lambda: self.on_cancel([job_id], {"via": via} if via else {}))

    def on_poll_on_change(self, args: list[str], named: dict[str, Any]) -> None:
        """poll_on_change S [cancel=SHARE]: poll all controllers within milliseconds of any status change of a job

        The submission is repeated as well; that share of the jobs that were just accepted is cancelled immediately.
        """
        world, share = self.w(), float(named.get("cancel", 0))
        until_us = world.begin_fault(float(args[0]))

        def status_changed(job_id: str, status: str) -> None:
            if world.now_us >= until_us or job_id in world.invalid_submissions:
                return
            self._count_occurrence("poll_on_change")
            for label in world.controllers:
                for _ in range(2):
                    world.after(
                        world.random.randint(1, 8000),
                        partial(
                            self.ask,
                            "poll",
                            job_id,
                            lambda code, body: world.checker.answers.poll_answered(job_id, code, body),
                            via=label,
                        ),
                    )
                world.after(
                    world.random.randint(1, 8000),
                    partial(
                        self.ask,
                        "submit",
                        job_id,
                        lambda code, body: world.checker.answers.submission_answered(job_id, code, body),
                        world.jobs[job_id],
                        via=label,
                    ),
                )
            if status not in ("done", "withdrawn") and world.random.random() < share:
                self._cancel_in(job_id, 0.001)

        world.status_listeners.append(status_changed)

    def on_irregular_requests(self, args: list[str], named: dict[str, Any]) -> None:
        """irregular_requests S [every=S]: send irregular requests of random kinds

        Submissions of unfinished jobs are repeated, unchanged or invalid; done jobs are cancelled; new jobs fit no
        machine or lack a field.
        """
        every_us = int(float(named.get("every", 0.3)) * SECOND_US)
        until_us = self.w().begin_fault(float(args[0]))
        IrregularRequests(self, every_us, until_us, self._count_occurrence, self.irregular_id_numbers).send_next()

    def on_cancel_on_completion(self, args: list[str], named: dict[str, Any]) -> None:
        """cancel_on_completion S [share=P]: cancel that share of the jobs at or just after the moment they end"""
        world, share = self.w(), float(named.get("share", 1))
        until_us = world.begin_fault(float(args[0]))

        def job_ended(job_id: str) -> None:
            if world.now_us < until_us and world.random.random() < share:
                self._count_occurrence("cancel_on_completion")
                self._cancel_in(job_id, world.random.choice([0.0, 0.003, 0.02, 0.3]))

        world.completion_listeners.append(job_ended)

    def on_cancel_running(self, args: list[str], named: dict[str, Any]) -> None:
        """cancel_running COUNT [within=S] [hang=S] [via=NAME]: cancel running jobs, hang up to 8 machines"""
        world, hang_s = self.w(), float(named.get("hang", 0))
        within_s, via = float(named.get("within", 0.2)), str(named.get("via", ""))
        running_on = world.checker.observed.running_on
        running = sorted(
            {t.rpartition("/")[0] for t, names in running_on.items() if names}
            - world.checker.observed.cancel_requested,
            key=lambda u: (world.jobs[u]["shape"] != "standing", -world.run_s.get(u, 0), u),
        )
        hung: list[str] = []
        for job_id in running[: int(args[0])]:
            self._count_occurrence("cancel_running")
            self._cancel_in(job_id, world.random.random() * within_s, via)
            hung += sorted({n for t, names in running_on.items() if t.startswith(job_id + "/") for n in names})
        for name in list(dict.fromkeys(hung))[:MAX_HUNG_MACHINES] if hang_s else []:
            self._count_occurrence("hung")
            world.workers[name].hung_until_us = world.begin_fault(hang_s)

    # Network.

    def on_boot_time(self, args: list[str], named: dict[str, Any]) -> None:
        """boot_time S: set the boot time of machines rented from now on"""
        self.w().cloud.boot_us = int(float(args[0]) * SECOND_US)

    def on_slow_links(self, args: list[str], named: dict[str, Any]) -> None:
        """slow_links S MAX: every message of any connection takes up to MAX seconds"""
        world = self.w()
        world.links_slow_until_us, world.link_delay_us = (
            world.begin_fault(float(args[0])),
            int(float(args[1]) * SECOND_US),
        )

    def on_isolate_zone(self, args: list[str], named: dict[str, Any]) -> None:
        """isolate_zone ZONE NAME S [MODE]: cut off the workers of a zone and that controller from everything else"""
        world = self.w()
        until_us = world.begin_fault(float(args[2]))
        for label, host in world.controllers.items():
            host.workers.cut = WorkerCut(until_us, "!" + args[0] if label == args[1] else args[0])
        isolated = world.controllers[args[1]]
        isolated.peers_cut_until_us = until_us
        isolated.store.cut = StoreCut(until_us, args[3] if args[3:] else "held")

    def on_hand_over_unanswered(self, args: list[str], named: dict[str, Any]) -> None:
        """hand_over_unanswered NAME S: lose the answer to its next hand-over of a shard, and hang its watch

        `hand_over_unanswered NAME S lost`: the hand-over is not executed either.
        """
        self.w().store.lost_hand_overs[args[0]] = LostHandOver(int(float(args[1]) * SECOND_US), "lost" in args)

    def check_handed_over(self, args: list[str], named: dict[str, Any]) -> None:
        """handed_over: a hand-over without an answer has occurred"""
        assert self.w().hand_over_lost_us
