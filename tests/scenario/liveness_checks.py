"""Lines that check how a process judges that its actor stands still, and what it does then."""

import time
from typing import Any

import pytest

from quinceslip.liveness import stall_records
from quinceslip.liveness.stall_detector import Sample, StallDetector
from quinceslip.storage.records import StallRecord
from quinceslip.transport.actor import ActorThread
from tests.loopback import standstill
from tests.scenario.state import RunnerState
from tests.scenario.tools import at_once
from tests.simulation.clock import SECOND_US


class LivenessChecks(RunnerState):
    """Lines that check how a process judges that its actor stands still, and what it does then."""

    def do_standstill(self, plain: list[str], named: dict[str, Any]) -> None:
        """standstill KIND [limit=S] [gap=S] [share=P] [for=S] after=S|never: when an actor is judged to stand still

        KIND: works (its place changes), waits (it does not, from `settles` on), blind (as `works`, but its
        processor time is not known).
        `share`: its own processor time in a second. `gap`: the looks come so late, every time; `stop=S` once.
        """
        limit_us, share = int(named.get("limit", 3) * SECOND_US), float(named.get("share", plain[0] != "waits"))
        judge = StallDetector(limit_us, 0)
        now_us, cpu_us, found = 0, 0, None
        for number in range(100_000):
            passed_us = judge.period_us + int(named.get("gap", 0) * SECOND_US)
            cpu_us += int(share * passed_us)
            now_us += passed_us + (int(named.get("stop", 0) * SECOND_US) if number == 10 else 0)
            turns = now_us // int(named["turn"] * SECOND_US) if "turn" in named else 0
            place = (1, 1) if plain[0] == "waits" and now_us >= named.get("settles", 0) * SECOND_US else (number, 2)
            if judge.add(Sample(now_us, turns, None if plain[0] == "blind" else cpu_us, place)):
                found = now_us / SECOND_US
                break
            if now_us > named.get("for", 600) * SECOND_US:
                break
        if named["after"] == "never":
            assert found is None, found
        else:
            assert found == pytest.approx(named["after"], abs=0.2 * named.get("limit", 3)), found

    def do_standstills_in(self, plain: list[str], named: dict[str, Any]) -> None:
        """standstills_in HOURS lease=S back=S ends=N: a process that stands still at once, each time it is started"""
        lease_us, now_us, ends = int(named["lease"] * SECOND_US), 0, 0
        note: StallRecord | None = None
        while (
            now_us := max(now_us + int(named["back"] * SECOND_US), stall_records.next_exit_us(note, lease_us))
        ) < float(plain[0]) * 3600 * SECOND_US:
            note, ends = stall_records.next_record(note, "levels", now_us, lease_us), ends + 1
            assert stall_records.is_suspended(note, "levels", now_us + lease_us, lease_us)
            assert not stall_records.is_suspended(note, "moves", now_us, lease_us)
            for part in ("moves", "rights", "machines", "Tick"):
                other = StallRecord(part, 1, now_us)
                assert stall_records.is_suspended(other, part, now_us, lease_us) == (part == "moves")
        assert ends <= named["ends"], ends
        assert note is not None and note.stalls == ends
        later_us = now_us + 3 * stall_records.pause_us(ends, lease_us)
        assert stall_records.next_record(note, "levels", later_us, lease_us).stalls == 1  # long ago: it starts anew

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
            while len(seen) < 20 or actor.messages_handled < 20:
                time.sleep(0.01)
        assert actor.thread.is_alive()
        actor.handle, actor.tick_period_us = lambda message, now_us: [], 10**12  # it sleeps from here on
