"""Verbs for faults of the key-value store and the records expected in it."""

import json
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
from tests.scenario.submission import read_spec
from tests.scenario.tools import COMPARE, terms_given
from tests.simulation.clock import SECOND_US
from tests.simulation.faults import LateTransactions, LostAnswers, SlowAnswers
from tests.simulation.inputs import settings_of
from tests.simulation.world import World


class StoreVerbs(RunnerState):
    """Verbs for faults of the key-value store and the records expected in it."""

    def on_outage(self, args: list[str], named: dict[str, Any]) -> None:
        """outage store|cloud S: the key-value store or the cloud is unavailable"""
        until_us = self.w().begin_fault(float(args[1]))
        if args[0] == "store":
            self.w().store.outage(int(float(args[1]) * SECOND_US))
        else:
            self.w().cloud.down_until_us = until_us

    def on_refuse_store_calls(self, args: list[str], named: dict[str, Any]) -> None:
        """refuse_store_calls NAME S: the key-value store answers 503 to this controller only"""
        self.w().store.refused_until_us[args[0]] = self.w().begin_fault(float(args[1]))

    def on_lose_transaction_answers(self, args: list[str], named: dict[str, Any]) -> None:
        """lose_transaction_answers NAME S MIN [MAX] [share=P]: execute that share of its transactions late, unanswered

        `lose_transaction_answers NAME S at_once [share=P]`: execute them without delay, and lose only the answers.
        """
        if args[2] == "at_once":
            for label in self.w().controllers if args[0] == "all" else args[:1]:
                self.w().store.lost_transaction_answers[label] = LostAnswers(
                    self.w().begin_fault(float(args[1])), float(named.get("share", 1.0))
                )
            return
        min_s, max_s = float(args[2]), float(args[-1])
        self.w().store.late_transactions[args[0]] = LateTransactions(
            self.w().begin_fault(float(args[1])),
            int(min_s * SECOND_US),
            int(max_s * SECOND_US),
            float(named.get("share", 1.0)),
        )
        self.w().begin_fault(float(args[1]) + max_s)

    def on_slow_store(self, args: list[str], named: dict[str, Any]) -> None:
        """slow_store NAME|all S MAX: the key-value store takes up to MAX seconds to answer"""
        for label in self.w().controllers if args[0] == "all" else args[:1]:
            self.w().store.slow_answers[label] = SlowAnswers(
                self.w().begin_fault(float(args[1])), int(float(args[2]) * SECOND_US)
            )

    def on_page_delay(self, args: list[str], named: dict[str, Any]) -> None:
        """page_delay S: records are listed in pages, with this time between two pages"""
        self.w().store.page_gap_us = int(float(args[0]) * SECOND_US)

    def on_store_limits(self, args: list[str], named: dict[str, Any]) -> None:
        """store_limits value_kb=N txn_ops=N: reject larger values and transactions with 400 from now on"""
        self.w().store.limits = dict(named.items())

    def check_change_requests(self, args: list[str], named: dict[str, Any]) -> None:
        """change_requests KEY OP N: requested changes of a record, successful or not"""
        count = self.w().store.change_requests["q/" + args[0]]
        assert COMPARE[args[1]](count, int(args[2])), f"{args[0]}: {count}"

    def check_oversized_changes(self, args: list[str], named: dict[str, Any]) -> None:
        """oversized_changes OP N: changes that the key-value store refused for its limits; none was sent again"""
        refused = self.w().store.refused_changes
        assert COMPARE[args[0]](len(refused), int(args[1])) and len(set(refused)) == len(refused), refused[:3]

    def on_write_load_record(self, args: list[str], named: dict[str, Any]) -> None:
        """write_load_record SHARD slots=N rate=R ...: write a load record to the store; values may be null"""
        record = {"waiting": 0, "slots": 8, "rate": 0.1, "arrivals": 0.0, "room": 0} | {
            k: None if v == "null" else v for k, v in named.items()
        }
        self.w().store.answer("", "POST", "/txn", {"if": [], "then": [{"write": f"q/load/{args[0]}", "v": record}]})

    def on_store_job(self, args: list[str], named: dict[str, Any]) -> None:
        """store_job UID [gang|service] [shard=N] [run=S] [after=UID,...] ...: a job that an earlier version accepted

        The other options are fields of the job, as in `submit`.
        """
        world, job_id = self.w(), args[0]
        shard, run_s = named.pop("shard", 0), named.pop("run", 5)
        spec = read_spec(job_id, args, named)
        world.jobs[job_id], world.run_s[job_id] = spec, run_s
        world.remaining_failures[job_id] = world.run_increment_s[job_id] = 0
        world.checker.submission_attempted(job_id)
        all_tasks = {"own": f"0-{spec['picks'] - 1}" if spec["picks"] > 1 else "0"}
        record = {"state": "queued", "tasks": spec["picks"], "spec": spec, "shard": shard, "chunk": all_tasks}
        self.on_write_record([f"job/{job_id}", json.dumps(record)], {})

    def on_write_record(self, args: list[str], named: dict[str, Any]) -> None:
        """write_record KEY JSON: write a record to the store; KEY is without its prefix"""
        change = {"write": f"q/{args[0]}", "v": json.loads(args[1])}
        self.w().store.answer("", "POST", "/txn", {"if": [], "then": [change]})

    def check_highest_term(self, args: list[str], named: dict[str, Any]) -> None:
        """highest_term OP N: the highest term that was given to any leader, counted in terms"""
        count = terms_given(self.w().store)
        assert COMPARE[args[0]](count, int(args[1])), count

    def check_job_writes_per_job(self, args: list[str], named: dict[str, Any]) -> None:
        """job_writes_per_job OP N: writes of job records since `reset_counters`, per job"""
        writes = self.w().store.job_writes - self.baseline["job_writes"]
        jobs = len(self.w().jobs)
        assert COMPARE[args[0]](writes / jobs, float(args[1])), f"{writes} writes for {jobs} jobs"

    def check_job_writes_per_s(self, args: list[str], named: dict[str, Any]) -> None:
        """job_writes_per_s OP N: maximum rate of writes of job records, averaged over any ten consecutive seconds"""
        seconds = self.w().store.job_writes_in_second
        first, last = self.baseline["second"], self.w().now_us // SECOND_US
        peak = max(sum(seconds.get(t + i, 0) for i in range(10)) / 10 for t in range(first, last - 9))
        assert COMPARE[args[0]](peak, float(args[1])), f"{peak} writes a second"

    def check_quota_writes(self, args: list[str], named: dict[str, Any]) -> None:
        """quota_writes OP N: writes of quota records since `reset_counters`"""
        writes = self.w().store.quota_writes - self.baseline.get("quota_writes", 0)
        assert COMPARE[args[0]](writes, float(args[1])), f"{writes} quota writes"

    def check_quota_writes_per_job(self, args: list[str], named: dict[str, Any]) -> None:
        """quota_writes_per_job OP N: writes of quota records since `reset_counters`, per job"""
        self.check_quota_writes([args[0], str(float(args[1]) * len(self.w().jobs))], named)

    def check_quota_writes_per_s(self, args: list[str], named: dict[str, Any]) -> None:
        """quota_writes_per_s OP N: maximum rate of quota record writes, averaged over any ten consecutive seconds"""
        seconds = self.w().store.quota_writes_in_second
        peak = max(sum(seconds.get(t + i, 0) for i in range(10)) / 10 for t in range(self.w().now_us // SECOND_US))
        assert COMPARE[args[0]](peak, float(args[1])), f"{peak} quota writes a second"

    def check_records(self, args: list[str], named: dict[str, Any]) -> None:
        """records KIND N: number of records of a kind in the key-value store"""
        assert sum(key.startswith(f"q/{args[0]}/") for key in self.w().store.data) == int(args[1])

    def check_answers_lost(self, args: list[str], named: dict[str, Any]) -> None:
        """answers_lost N: minimum number of transactions that were executed without delay, but not answered"""
        assert self.w().store.answers_lost >= int(args[0]), self.w().store.answers_lost

    def do_long_listing(self, plain: list[str], named: dict[str, Any]) -> None:
        """long_listing N: handling a message with N records reports progress, so it is no stall"""
        world = World(self.facts, [], 1)
        node = Controller(settings_of(world.facts), Tuning(), 0, 0)
        raw = msgspec.Raw(msgspec.json.encode(JobRecord("done", 4, done=4)))
        items = [m.Item(f"q/job/req-{n:06d}", raw, n + 1) for n in range(int(plain[0]))]
        node.handle(StoreListing(items, len(items), 0), 1)
        assert node.ctx.progress_count() >= 2 * len(items)

    def do_paged_listing(self, plain: list[str], named: dict[str, Any]) -> None:
        """paged_listing FIRST LAST: list over these revisions; no shard is claimed until the watch reaches LAST"""
        node = Controller(settings_of({**self.facts, "size": 1}), Tuning(), 0, 0)
        claims, first, last = list[int](), int(plain[0]), int(plain[1])

        def deliver(message: Any, now_us: int) -> None:
            for effect in node.handle(message, now_us):
                if isinstance(effect, Call) and effect.path == m.PATH_LEASES:
                    deliver(CallResult(effect.id, 200, b'{"hold":1}'), now_us)
                if isinstance(effect, Call) and b"q/shard/0" in msgspec.json.encode(effect.body):
                    claims.append(now_us)

        deliver(Tick(), 1)
        deliver(StoreListing([], first, 1, last), 2)
        deliver(Tick(), 3)
        deliver(StoreChanges([], last - 1, 3), 4)
        deliver(Tick(), 5)
        assert not claims and not node.ready()
        deliver(StoreChanges([], last, 5), 6)
        deliver(Tick(), 7)
        assert len(claims) == 1 and node.ready()
