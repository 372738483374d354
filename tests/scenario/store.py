"""What happens to the key-value store, and what is expected of its records."""

from typing import Any

import msgspec

from quinceslip.coordination.actor.effects import (
    Call,
    CallResult,
    StoreChanges,
    StoreListing,
    Tick,
)
from quinceslip.coordination.controller.controller import Controller
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import Tuning
from quinceslip.storage.records import JobRecord
from tests.scenario.state import RunnerState
from tests.scenario.tools import COMPARE
from tests.simulation.clock import SECOND_US
from tests.simulation.faults import LateTransactions, LostAnswers, SlowAnswers
from tests.simulation.inputs import settings_of
from tests.simulation.world import World


class StoreVerbs(RunnerState):
    """What happens to the key-value store, and what is expected of its records."""

    def on_outage(self, args: list[str], named: dict[str, Any]) -> None:
        """outage state|cloud S"""
        until_us = self.w().begin_fault(float(args[1]))
        if args[0] == "state":
            self.w().store.outage(int(float(args[1]) * SECOND_US))
        else:
            self.w().cloud.down_until_us = until_us

    def on_refuse(self, args: list[str], named: dict[str, Any]) -> None:
        """refuse NAME S: the key-value store answers 503 to this controller alone."""
        self.w().store.refused_until_us[args[0]] = self.w().begin_fault(float(args[1]))

    def on_late(self, args: list[str], named: dict[str, Any]) -> None:
        """late NAME S DELAY [MOST] [share=P]: of its transactions that share is carried out late, unanswered.

        `late NAME S at_once [share=P]`: they are carried out at once, and only their answers are lost.
        """
        if args[2] == "at_once":
            for label in self.w().controllers if args[0] == "all" else args[:1]:
                self.w().store.lost_transaction_answers[label] = LostAnswers(
                    self.w().begin_fault(float(args[1])), float(named.get("share", 1.0))
                )
            return
        least_s, most_s = float(args[2]), float(args[-1])
        self.w().store.late_transactions[args[0]] = LateTransactions(
            self.w().begin_fault(float(args[1])),
            int(least_s * SECOND_US),
            int(most_s * SECOND_US),
            float(named.get("share", 1.0)),
        )
        self.w().begin_fault(float(args[1]) + most_s)

    def on_slow(self, args: list[str], named: dict[str, Any]) -> None:
        """slow NAME|all S MOST: the key-value store takes up to so long to answer."""
        for label in self.w().controllers if args[0] == "all" else args[:1]:
            self.w().store.slow_answers[label] = SlowAnswers(
                self.w().begin_fault(float(args[1])), int(float(args[2]) * SECOND_US)
            )

    def on_page_gap(self, args: list[str], named: dict[str, Any]) -> None:
        """page_gap S: a listing of the records is read in pages, so long after one another"""
        self.w().store.page_gap_us = int(float(args[0]) * SECOND_US)

    def on_state_limits(self, args: list[str], named: dict[str, Any]) -> None:
        """state_limits value_kb=N txn_ops=N: larger values and transactions are answered 400 from now on"""
        self.w().store.limits = dict(named.items())

    def check_asked(self, args: list[str], named: dict[str, Any]) -> None:
        """asked KEY OP N: how often a change of a record was asked for, whatever came of it"""
        count = self.w().store.change_requests["q/" + args[0]]
        assert COMPARE[args[1]](count, int(args[2])), f"{args[0]}: {count}"

    def check_too_large(self, args: list[str], named: dict[str, Any]) -> None:
        """too_large OP N: changes that the key-value store refused for its limits; never the same ones again"""
        refused = self.w().store.refused_changes
        assert COMPARE[args[0]](len(refused), int(args[1])) and len(set(refused)) == len(refused), refused[:3]

    def on_load_record(self, args: list[str], named: dict[str, Any]) -> None:
        """load_record SHARD slots=N rate=R ...: such a record of a shard's load, whoever wrote it; null is a word"""
        record = {"waiting": 0, "slots": 8, "rate": 0.1, "arrivals": 0.0, "room": 0} | {
            k: None if v == "null" else v for k, v in named.items()
        }
        self.w().store.answer("", "POST", "/txn", {"if": [], "then": [{"write": f"q/load/{args[0]}", "v": record}]})

    def check_puts_per_job(self, args: list[str], named: dict[str, Any]) -> None:
        """puts_per_job OP N: changes of records of jobs since `count`, for each job"""
        puts = self.w().store.job_writes - self.counted["puts"]
        jobs = len(self.w().jobs)
        assert COMPARE[args[0]](puts / jobs, float(args[1])), f"{puts} puts for {jobs} jobs"

    def check_puts_per_s(self, args: list[str], named: dict[str, Any]) -> None:
        """in any ten seconds in a row, on average"""
        seconds = self.w().store.job_writes_in_second
        first, last = self.counted["second"], self.w().now_us // SECOND_US
        most = max(sum(seconds.get(t + i, 0) for i in range(10)) / 10 for t in range(first, last - 9))
        assert COMPARE[args[0]](most, float(args[1])), f"{most} puts a second"

    def check_grant_writes(self, args: list[str], named: dict[str, Any]) -> None:
        """grant_writes OP N: changes of quotas' records since `count`"""
        writes = self.w().store.quota_writes - self.counted.get("grants", 0)
        assert COMPARE[args[0]](writes, float(args[1])), f"{writes} writes for quotas"

    def check_grant_writes_per_job(self, args: list[str], named: dict[str, Any]) -> None:
        """grant_writes_per_job OP N: changes of quotas' records since `count`, for each job"""
        self.check_grant_writes([args[0], str(float(args[1]) * len(self.w().jobs))], named)

    def check_grant_writes_per_s(self, args: list[str], named: dict[str, Any]) -> None:
        """in any ten seconds in a row, on average"""
        seconds = self.w().store.quota_writes_in_second
        most = max(sum(seconds.get(t + i, 0) for i in range(10)) / 10 for t in range(self.w().now_us // SECOND_US))
        assert COMPARE[args[0]](most, float(args[1])), f"{most} writes a second for quotas"

    def check_records(self, args: list[str], named: dict[str, Any]) -> None:
        """records KIND N: so many of a kind in the key-value store"""
        assert sum(key.startswith(f"q/{args[0]}/") for key in self.w().store.data) == int(args[1])

    def check_answers_lost(self, args: list[str], named: dict[str, Any]) -> None:
        """answers_lost N: so many transactions at least were carried out at once, without an answer"""
        assert self.w().store.answers_lost >= int(args[0]), self.w().store.answers_lost

    def do_long_listing(self, plain: list[str], named: dict[str, Any]) -> None:
        """long_listing N: one message with so many records makes steps all along, so it is no standstill"""
        world = World(self.facts, [], 1)
        node = Controller(settings_of(world.facts), Tuning(), 0, 0)
        raw = msgspec.Raw(msgspec.json.encode(JobRecord("done", 4, done=4)))
        items = [m.Item(f"q/job/req-{n:06d}", raw, n + 1) for n in range(int(plain[0]))]
        node.handle(StoreListing(items, len(items), 0), 1)
        assert node.ctx.progress_count() >= 2 * len(items)

    def do_listing_in_pages(self, plain: list[str], named: dict[str, Any]) -> None:
        """listing_in_pages FIRST LAST: read over these revisions; nothing is decided before the watch has the last"""
        node = Controller(settings_of({**self.facts, "size": 1}), Tuning(), 0, 0)
        claims, first, last = list[int](), int(plain[0]), int(plain[1])

        def gives(message: Any, now_us: int) -> None:
            for effect in node.handle(message, now_us):
                if isinstance(effect, Call) and effect.path == m.PATH_LEASES:
                    gives(CallResult(effect.id, 200, b'{"hold":1}'), now_us)
                if isinstance(effect, Call) and b"q/shard/0" in msgspec.json.encode(effect.body):
                    claims.append(now_us)

        gives(Tick(), 1)
        gives(StoreListing([], first, 1, last), 2)
        gives(Tick(), 3)
        gives(StoreChanges([], last - 1, 3), 4)
        gives(Tick(), 5)
        assert not claims and not node.ready()
        gives(StoreChanges([], last, 5), 6)
        gives(Tick(), 7)
        assert len(claims) == 1 and node.ready()
