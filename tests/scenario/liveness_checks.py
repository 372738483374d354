"""Lines that check how a process detects that its actor has stalled, and how it reacts."""

import time
from typing import Any

import pytest

from quinceslip.liveness import stall_records
from quinceslip.liveness.stall_detector import Sample, StallDetector
from quinceslip.storage.records import StallRecord
from quinceslip.transport.actor import ActorThread
from tests.loopback import stalled_actor
from tests.scenario.state import RunnerState
from tests.scenario.tools import time_limit
from tests.simulation.clock import SECOND_US


class LivenessChecks(RunnerState):
    """Lines that check how a process detects that its actor has stalled, and how it reacts."""

    def do_stall(self, plain: list[str], named: dict[str, Any]) -> None:
        """stall KIND [limit=S] [sample_delay=S] [cpu_share=P] [for=S] after=S|never: when an actor counts as stalled

        KIND: busy (its code position changes), blocked (it does not, from `blocked_from` on), unmeasured (as `busy`,
        but without a measured processor time).
        `cpu_share`: processor time that it uses in a second. `sample_delay`: every sample is late by this;
        `pause=S`: one sample is. `turn_every=S`: it completes a turn this often.
        """
        limit_us, share = int(named.get("limit", 3) * SECOND_US), float(named.get("cpu_share", plain[0] != "blocked"))
        detector = StallDetector(limit_us, 0)
        now_us, cpu_us, detected_s = 0, 0, None
        for number in range(100_000):
            elapsed_us = detector.period_us + int(named.get("sample_delay", 0) * SECOND_US)
            cpu_us += int(share * elapsed_us)
            now_us += elapsed_us + (int(named.get("pause", 0) * SECOND_US) if number == 10 else 0)
            turns = now_us // int(named["turn_every"] * SECOND_US) if "turn_every" in named else 0
            position = (
                (1, 1) if plain[0] == "blocked" and now_us >= named.get("blocked_from", 0) * SECOND_US else (number, 2)
            )
            if detector.add(Sample(now_us, turns, None if plain[0] == "unmeasured" else cpu_us, position)):
                detected_s = now_us / SECOND_US
                break
            if now_us > named.get("for", 600) * SECOND_US:
                break
        if named["after"] == "never":
            assert detected_s is None, detected_s
        else:
            assert detected_s == pytest.approx(named["after"], abs=0.2 * named.get("limit", 3)), detected_s

    def do_repeated_stalls(self, plain: list[str], named: dict[str, Any]) -> None:
        """repeated_stalls HOURS lease=S restart_after=S max_exits=N: a process that stalls right after every start"""
        lease_us, now_us, exits = int(named["lease"] * SECOND_US), 0, 0
        record: StallRecord | None = None
        while (
            now_us := max(
                now_us + int(named["restart_after"] * SECOND_US), stall_records.next_exit_us(record, lease_us)
            )
        ) < float(plain[0]) * 3600 * SECOND_US:
            record, exits = stall_records.next_record(record, "levels", now_us, lease_us), exits + 1
            assert stall_records.is_suspended(record, "levels", now_us + lease_us, lease_us)
            assert not stall_records.is_suspended(record, "moves", now_us, lease_us)
            for part in ("moves", "rights", "machines", "Tick"):
                other = StallRecord(part, 1, now_us)
                assert stall_records.is_suspended(other, part, now_us, lease_us) == (part == "moves")
        assert exits <= named["max_exits"], exits
        assert record is not None and record.stalls == exits
        later_us = now_us + 3 * stall_records.pause_us(exits, lease_us)
        assert stall_records.next_record(record, "levels", later_us, lease_us).stalls == 1  # the count has expired

    def do_loopback_stall(self, plain: list[str], named: dict[str, Any]) -> None:
        """loopback_stall: a real process exits when its actor has stalled"""
        stalled_actor()

    def do_actor_survives_errors(self, plain: list[str], named: dict[str, Any]) -> None:
        """actor_survives_errors: a failing message or effect does not terminate the actor's thread"""
        self.errors_expected.append("while ")
        attempted: list[Any] = []

        def carry_out(effect: Any) -> None:
            attempted.append(effect)
            raise ValueError("no such target")

        actor = ActorThread(lambda message, now_us: [message], carry_out, 20_000, 10)
        actor.start()
        with time_limit(10.0):
            while len(attempted) < 20 or actor.messages_handled < 20:
                time.sleep(0.01)
        assert actor.thread.is_alive()
        actor.handle, actor.tick_period_us = lambda message, now_us: [], 10**12  # idle from here on
