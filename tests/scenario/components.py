"""Lines that check one component by itself, without a world."""

import json
import tempfile
import time
import tracemalloc
from itertools import combinations_with_replacement, permutations
from pathlib import Path
from typing import Any

import msgspec
import pytest

from quinceslip.bench import capacity
from quinceslip.bench.fleet import measure
from quinceslip.bench.plots import write_page
from quinceslip.coordination.actor.effects import (
    Call,
    Urgency,
)
from quinceslip.coordination.load_balancing.queueing_model import (
    Station,
    choose_shard,
    credible,
    fair_levels,
    load,
    marginal_cost,
    mean_wait,
    shares,
    wait_probability,
)
from quinceslip.coordination.scheduling.deadline_order import order_by_deadline
from quinceslip.coordination.shard.partition import JobPartition
from quinceslip.liveness import stall_records
from quinceslip.liveness.stall_detector import Sample, StallDetector
from quinceslip.models.gap import explore as gap
from quinceslip.models.takeover import explore as takeover
from quinceslip.models.takeover import read_steps
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import SettingsError
from quinceslip.quota.model import explore
from quinceslip.storage import task_sets
from quinceslip.storage.cache import StoreCache
from quinceslip.storage.records import JobRecord, StallRecord
from quinceslip.transport.actor import ActorThread
from quinceslip.transport.clients import Budget, Pool
from tests.inputs import ROOT, bad_input
from tests.loopback import loopback, standstill
from tests.scenario.state import RunnerState
from tests.scenario.tools import at_once, unbounded
from tests.simulation.clock import US
from tests.simulation.inputs import job_spec


class ComponentChecks(RunnerState):
    """Lines that check one component by itself, without a world."""

    def do_queue(self, plain: list[str], named: dict[str, Any]) -> None:
        """queue m u arrivals: P_m and W against worked values."""
        station, arrivals = Station(int(plain[0]), float(plain[1])), float(plain[2])
        if "p" in named:
            assert wait_probability(station.slots, arrivals / station.rate) == pytest.approx(named["p"], rel=1e-6)
        if "wait" in named:
            assert mean_wait(station, arrivals) == pytest.approx(named["wait"], rel=1e-6)
        if "slope" in named:
            assert marginal_cost(station, arrivals) == pytest.approx(named["slope"], rel=1e-6)
        step = 1e-6 * station.rate
        if 0 < arrivals < station.capacity - step:

            def cost(x: float) -> float:
                return x * (mean_wait(station, x) + 1 / station.rate)

            numeric = (cost(arrivals + step) - cost(arrivals - step)) / (2 * step)
            assert marginal_cost(station, arrivals) == pytest.approx(numeric, rel=1e-3)

    def do_levels(self, plain: list[str], named: dict[str, Any]) -> None:
        """levels m:u,m:u,... total -> shares and levels, at once; 1/60 is a number too"""

        def number(text: str) -> float:
            above, _, below = text.partition("/")
            return float(above) / float(below or 1)

        stations = [Station(int(a), number(b)) for a, _, b in (p.partition(":") for p in plain[0].split(","))]
        total = number(plain[1])
        with at_once(5.0):
            self._levels(stations, total, named)

    def do_levels_at_capacity(self, plain: list[str], named: dict[str, Any]) -> None:
        """levels_at_capacity MOST: three shards of up to so many slots, as many arrivals in a minute as slots"""
        most = int(plain[0])
        with at_once(20.0):
            for slots in combinations_with_replacement(range(most + 1), 3):
                for order in sorted(set(permutations(slots))):
                    stations = [Station(m, 1 / 60) for m in order]
                    assert fair_levels(stations, sum(order) / 60) == list(order), order

    def _levels(self, stations: list[Station], total: float, named: dict[str, Any]) -> None:
        if "shares" in named:
            wanted = [float(s) for s in str(named["shares"]).split(",")]
            assert shares(stations, total) == pytest.approx(wanted, abs=1e-4)
        if "levels" in named:
            assert fair_levels(stations, total) == [int(x) for x in str(named["levels"]).split(",")]
        if 0 < total < sum(s.capacity for s in stations) * (1 - 1e-9) and all(map(credible, stations)):
            found = shares(stations, total)
            assert sum(found) == pytest.approx(1.0, abs=1e-6)
            slopes = [marginal_cost(s, f * total) for s, f in zip(stations, found, strict=True) if f > 1e-9]
            assert max(slopes) == pytest.approx(min(slopes), rel=2e-2)

    def do_choose(self, plain: list[str], named: dict[str, Any]) -> None:
        """choose HOME m:u:waiting:level,... shard=N"""
        parts = [p.split(":") for p in plain[1].split(",")]
        stations = {i: Station(int(p[0]), float(p[1])) for i, p in enumerate(parts)}
        waiting = {i: int(p[2]) for i, p in enumerate(parts)}
        levels = {i: int(p[3]) for i, p in enumerate(parts)}
        assert load(waiting[0], stations[0]) == (waiting[0] + stations[0].slots) / stations[0].capacity
        assert choose_shard(int(plain[0]), stations, waiting, levels) == named["shard"]

    def do_set(self, plain: list[str], named: dict[str, Any]) -> None:
        """set TEXT size=N: a stored set of tasks is read, and written as it was; odd numbers stay short"""
        numbers = task_sets.decode(plain[0])
        assert len(numbers) == named["size"]
        assert task_sets.decode(task_sets.encode(numbers)) == numbers
        odd = set(range(1, 100_000, 2))
        assert task_sets.decode(task_sets.encode(odd)) == odd
        assert len(task_sets.encode(odd)) < 16_000

    def do_foresee(self, plain: list[str], named: dict[str, Any]) -> None:
        """foresee CPUS_PER_S NAME:tasks:estimate:due,... late=NAME,...: jobs of 2 CPUs that are put back"""
        partitions = []
        for place, part in enumerate(plain[1].split(",")):
            name, tasks, estimate, due = part.split(":")
            spec = msgspec.convert(job_spec("req-1", picks=int(tasks), expectS=float(estimate)), m.JobSpec)
            partition = JobPartition(name, spec, submitted_us=place, due_us=[int(float(due) * US)] if due else [])
            for index in range(int(tasks)):
                partition.pending.push(index)
            partitions.append(partition)
        order_by_deadline(partitions, float(plain[0]), 0)
        found = {c.job_id for c in partitions if c.missed_due_times}
        assert found == set(str(named.get("late", "")).split(",")) - {""}, found

    def do_urgency(self, plain: list[str], named: dict[str, Any]) -> None:
        """urgency NAME...: calls to the state service come out in the order of their urgency"""
        pool = Pool("test", 0, lambda answer: True, Budget(1000.0, 1000.0, 1))
        for number, name in enumerate(plain):
            pool.submit(Call("", number, "POST", "/txn", None, 5_000_000, 1, Urgency[name]), "10.0.0.1:1")
        out = [pool._next()[3].urgency for _ in plain]
        assert out == sorted(out), out

    def do_budget(self, plain: list[str], named: dict[str, Any]) -> None:
        """budget SIZE: refusals shrink a controller's share, but never below an equal part"""
        budget = Budget(100.0, 20.0, int(plain[0]))
        for _ in range(40):
            budget.cut_us = 0
            budget.refused()
        assert budget.share == pytest.approx(1 / int(plain[0]))

    def do_memory_per_job(self, plain: list[str], named: dict[str, Any]) -> None:
        """memory_per_job BYTES: what a view keeps of a job that is over"""
        cache, count = StoreCache(), 5000
        raw = msgspec.Raw(msgspec.json.encode(JobRecord("done", 40, done=40)))
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        cache.apply_changes([m.Event(n + 1, put=f"q/job/req-{n:06d}", value=raw) for n in range(count)], count)
        used = (tracemalloc.get_traced_memory()[0] - before) / count
        tracemalloc.stop()
        assert len(cache.by_kind["job"]) == count and used < float(plain[0]), used

    def do_standstill(self, plain: list[str], named: dict[str, Any]) -> None:
        """standstill KIND [limit=S] [gap=S] [share=P] [for=S] after=S|never: when an actor is judged to stand still

        KIND: works (its place changes), waits (it does not, from `settles` on), blind (as `works`, but its
        processor time is not known).
        `share`: its own processor time in a second. `gap`: the looks come so late, every time; `stop=S` once.
        """
        limit_us, share = int(named.get("limit", 3) * US), float(named.get("share", plain[0] != "waits"))
        judge = StallDetector(limit_us, 0)
        now_us, cpu_us, found = 0, 0, None
        for number in range(100_000):
            passed_us = judge.period_us + int(named.get("gap", 0) * US)
            cpu_us += int(share * passed_us)
            now_us += passed_us + (int(named.get("stop", 0) * US) if number == 10 else 0)
            turns = now_us // int(named["turn"] * US) if "turn" in named else 0
            place = (1, 1) if plain[0] == "waits" and now_us >= named.get("settles", 0) * US else (number, 2)
            if judge.add(Sample(now_us, turns, None if plain[0] == "blind" else cpu_us, place)):
                found = now_us / US
                break
            if now_us > named.get("for", 600) * US:
                break
        if named["after"] == "never":
            assert found is None, found
        else:
            assert found == pytest.approx(named["after"], abs=0.2 * named.get("limit", 3)), found

    def do_standstills_in(self, plain: list[str], named: dict[str, Any]) -> None:
        """standstills_in HOURS lease=S back=S ends=N: a process that stands still at once, each time it is started"""
        lease_us, now_us, ends = int(named["lease"] * US), 0, 0
        note: StallRecord | None = None
        while (now_us := max(now_us + int(named["back"] * US), stall_records.next_end_us(note, lease_us))) < float(
            plain[0]
        ) * 3600 * US:
            note, ends = stall_records.following(note, "levels", now_us, lease_us), ends + 1
            assert stall_records.rests(note, "levels", now_us + lease_us, lease_us)
            assert not stall_records.rests(note, "moves", now_us, lease_us)
            for part in ("moves", "rights", "machines", "Tick"):
                other = StallRecord(part, 1, now_us)
                assert stall_records.rests(other, part, now_us, lease_us) == (part == "moves")
        assert ends <= named["ends"], ends
        assert note is not None and note.times == ends
        later_us = now_us + 3 * stall_records.pause_us(ends, lease_us)
        assert stall_records.following(note, "levels", later_us, lease_us).times == 1  # long ago: it starts anew

    def do_loopback_standstill(self, plain: list[str], named: dict[str, Any]) -> None:
        """loopback_standstill: a process whose actor stands still ends itself"""
        standstill()

    def do_actor_goes_on(self, plain: list[str], named: dict[str, Any]) -> None:
        """actor_goes_on: neither a message nor an effect that fails ends the actor's thread"""
        self.errors_expected.append("while ")
        seen: list[Any] = []

        def carry_out(effect: Any) -> None:
            seen.append(effect)
            raise ValueError("no such target")

        actor = ActorThread(lambda message, now_us: [message], carry_out, 20_000, 10)
        actor.start()
        with at_once(10.0):
            while len(seen) < 20 or actor.turns < 20:
                time.sleep(0.01)
        assert actor.thread.is_alive()
        actor.handle, actor.beat_us = lambda message, now_us: [], 10**12  # it sleeps from here on

    def do_bounded_loops(self, plain: list[str], named: dict[str, Any]) -> None:
        """bounded_loops PATTERN... [!PATTERN...]: each `while` and each function that calls itself says what bounds it

        A pattern that matches no file fails, so that moved files stay checked.
        """
        package = ROOT / "quinceslip"
        matches = {pattern: set(package.glob(pattern.lstrip("!"))) for pattern in plain}
        assert all(matches.values()), f"no file matches {[pattern for pattern, paths in matches.items() if not paths]}"
        left_out = set().union(*(paths for pattern, paths in matches.items() if pattern.startswith("!")))
        for path in sorted(set().union(*matches.values()) - left_out):
            text = path.read_text(encoding="utf-8")
            loops = unbounded(text)
            assert not loops, f"{path.relative_to(package)}: no bound is said at {loops}"
        assert unbounded("x = 1\nwhile x:\n    x += 1\n") == [2]
        assert unbounded("def f(x):\n    return f(x)\n") == [1]
        assert unbounded("# Bound: x falls.\nwhile x:\n    x -= 1\n") == []

    def do_model(self, plain: list[str], named: dict[str, Any]) -> None:
        """model [without=GUARD] [depth=N] [only=STEP,...]: a breach is found exactly where a guard is left out"""
        result = explore(
            named.get("depth", 8),
            controllers=named.get("controllers", 2),
            without=named.get("without", ""),
            most_states=named.get("most", 0),
            only=frozenset(s for s in str(named.get("only", "")).split(",") if s),
        )
        assert bool(result.breach) == ("without" in named), (named, result)

    def do_takeover(self, plain: list[str], named: dict[str, Any]) -> None:
        """takeover [without=GUARD] [depth=N] [workers=N] [tasks=N] [only=STEP,...] [after=STEP:N:N,...]"""
        # Owners that are left without a guard say so.
        self.errors_expected.append("")
        result = takeover(
            named.get("depth", 7),
            named.get("workers", 2),
            named.get("tasks", 1),
            named.get("without", ""),
            named.get("most", 0),
            frozenset(s for s in str(named.get("only", "")).split(",") if s),
            read_steps(str(named.get("after", ""))),
        )
        assert bool(result.breach) == ("without" in named), (named, result)

    def do_gap(self, plain: list[str], named: dict[str, Any]) -> None:
        """gap [without=GUARD] [lease=N] [cancel=N]: all histories of a cancellation that the owner cannot hear of"""
        result = gap(**named)
        assert bool(result.breach) == ("without" in named), (named, result)
        # A model in which nothing happens finds nothing: without a breach the task is there until just before cancel_s.
        assert result.breach or result.depth >= named.get("cancel", 12) - 2, result

    def do_supply(self, plain: list[str], named: dict[str, Any]) -> None:
        """supply N ... vain=TIMES found=S: requests in vain against those of one alone; most seconds to find room"""
        counts = [1, *map(int, plain)]
        runs = [capacity.measure(count, True, 4, 600.0, 1, 8.0) for count in counts]
        assert all(run["vain_a_minute"] <= named["vain"] * runs[0]["vain_a_minute"] for run in runs), runs
        assert all(run["found_s"]["p95"] <= named["found"] for run in runs), runs
        alone = [capacity.measure(count, False, 4, 600.0, 1, 8.0) for count in counts]
        assert alone[-1]["vain_a_minute"] > 5 * runs[-1]["vain_a_minute"], (alone, runs)
        with tempfile.TemporaryDirectory() as folder:
            target = Path(folder) / "page.html"
            assert capacity.write_page(runs + alone, target) == f"{target}: {len(runs + alone)} runs"
            assert "seconds until room" in target.read_text(encoding="utf-8")

    def do_fleet_work(self, plain: list[str], named: dict[str, Any]) -> None:
        """fleet_work SMALL LARGE seconds=S KIND=TIMES ...: calls for a message may grow by so much at the most"""
        seconds = float(named.pop("seconds"))
        runs = [measure(int(n), seconds, 1) for n in plain]
        small, large = (run["kinds"] for run in runs)
        with tempfile.TemporaryDirectory() as folder:
            lines, target = Path(folder) / "now.jsonl", Path(folder) / "page.html"
            lines.write_text("\n".join(json.dumps(run) for run in runs), encoding="utf-8")
            assert write_page([lines], target) == f"{target}: 2 runs, {len(large)} kinds of messages"
            text = target.read_text(encoding="utf-8")
            assert text.count("<svg") == 1 and all(f"{kind}: calls" in text for kind in large)
            lines.write_text('{"machines": "many"}', encoding="utf-8")
            with pytest.raises(SettingsError, match="line 1"):
                write_page([lines], target)
        grown = {k: large[k]["calls_each"] / small[k]["calls_each"] for k in named}
        assert all(grown[k] <= named[k] for k in named), grown

    def do_input(self, plain: list[str], named: dict[str, Any]) -> None:
        """input NAME: bad input of that kind is refused as it must be (tests/inputs.py)"""
        bad_input(plain[0])

    def do_loopback(self, plain: list[str], named: dict[str, Any]) -> None:
        """loopback: one controller over real sockets (tests/loopback.py)"""
        loopback()
