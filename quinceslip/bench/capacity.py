"""How often many controllers ask the cloud for what it has not, and how soon they find what it has again.

The real `CapacityObservations` of each controller, in virtual time, against a cloud whose kinds of machines run short
and come back. All controllers want machines of every kind all the time, which is the worst there is. Heartbeats
arrive at once, and some are lost. Counts repeat exactly for one seed.
"""

import random
import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from quinceslip import plotting
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.autoscaling.capacity import CapacityObservations, Kind
from quinceslip.coordination.controller.controller import NEWS_US
from quinceslip.protocol import frames

STEP_US = SECOND // 10
#: how long a kind is short, and how long it has room
SHORT_S, ROOM_S = (15.0, 90.0), (5.0, 40.0)
LOSS = 0.01


def measure(controllers: int, told: bool, kinds: int, seconds: float, seed: int, rps: float) -> dict[str, Any]:
    """Asks in vain a minute for one kind that is short, and seconds from room again to the first that has of it."""
    chance = random.Random(seed)
    labels = [f"berth-{i}" for i in range(controllers)]
    nodes = [CapacityObservations(label, labels, rps, 1, told) for label in labels]
    wanted: list[Kind] = [(f"type-{i}", "zone", True) for i in range(kinds)]
    short = dict.fromkeys(wanted, False)
    turns = {kind: int(chance.uniform(*ROOM_S) * SECOND) for kind in wanted}
    back: dict[Kind, int] = {}
    found: list[float] = []
    vain, short_us, sent = 0, 0, 0
    next_beat = [chance.randrange(SECOND) for _ in nodes]
    next_plan = [chance.randrange(SECOND) for _ in nodes]
    for now_us in range(0, int(seconds * SECOND), STEP_US):
        for kind in wanted:
            short_us += STEP_US * short[kind]
            if now_us >= turns[kind]:
                short[kind] = not short[kind]
                turns[kind] = now_us + int(chance.uniform(*(SHORT_S if short[kind] else ROOM_S)) * SECOND)
                if not short[kind]:
                    back[kind] = now_us
        for place, node in enumerate(nodes):
            if now_us >= next_plan[place]:
                next_plan[place] = now_us + SECOND
                for kind in wanted:
                    if not node.backs_off(kind, now_us):
                        node.request_answered(kind, 4, 0 if short[kind] else 4, now_us)
                        vain += short[kind]
                        if not short[kind] and kind in back:
                            found.append((now_us - back.pop(kind)) / SECOND)
            if now_us >= next_beat[place] - (NEWS_US if node.has_news else 0):
                next_beat[place] = now_us + SECOND
                seen = node.own_observations(now_us)
                if seen:
                    frame = frames.pack_observations(frames.PeerObservations(node.label, seen))
                    heard = frames.read_observations(frame[frames.HEADER.size :])
                    sent += len(frame)
                    for other in nodes:
                        if other is not node and chance.random() >= LOSS:
                            other.observations_received(node.label, heard.observations, now_us)
    marks = statistics.quantiles(found, n=20) if len(found) > 1 else [0.0] * 19
    return {
        "controllers": controllers,
        "told": told,
        "kinds": kinds,
        "seconds": seconds,
        "vain_a_minute": round(vain / max(short_us / 60 / SECOND, 1e-9), 2),
        "found_s": {"median": round(marks[9], 1), "p95": round(marks[18], 1), "most": round(max(found, default=0), 1)},
        "bytes_a_second": round(sent / controllers / seconds, 1),
    }


def write_page(runs: Sequence[dict[str, Any]], target: Path) -> str:
    """Both figures over the number of controllers, told and each by itself."""
    figure, axes = plotting.rows(2, 8)
    for told, name in ((True, "told"), (False, "each by itself")):
        mine = [run for run in runs if run["told"] == told]
        at = [run["controllers"] for run in mine]
        axes[0].plot(at, [run["vain_a_minute"] for run in mine], marker="o", markersize=3, label=name)
        axes[1].plot(at, [run["found_s"]["median"] for run in mine], marker="o", markersize=3, label=f"{name}, median")
        axes[1].plot(at, [run["found_s"]["p95"] for run in mine], marker="x", markersize=3, label=f"{name}, 95 of 100")
    axes[0].set_title("requests in vain a minute, for one kind that is short", loc="left", fontsize=9)
    axes[1].set_title("seconds until room that comes back is found", loc="left", fontsize=9)
    for axis in axes:
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=7)
    axes[-1].set_xlabel("controllers")
    target.write_text(plotting.page(figure, "bench supply", "Room of the cloud", "virtual time"), encoding="utf-8")
    return f"{target}: {len(runs)} runs"
