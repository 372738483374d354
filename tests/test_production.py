"""Records and frames of the version in production (deploy/service.toml names it), as it wrote them.

Both versions serve side by side during an upgrade: what that one wrote is read here, and rewritten without loss; what
this one writes before the gate is open has no field that the other would drop on a rewrite.
"""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from quinceslip.protocol import frames
from quinceslip.protocol import messages as m
from quinceslip.quota.allocation_manager import AllocationManager
from quinceslip.storage.cache import StoreCache
from quinceslip.storage.records import KINDS, JobRecord, PartitionRecord, final_record
from tests.simulation.inputs import job_spec

SAMPLES = json.loads((Path(__file__).parent / "samples" / "production.json").read_text(encoding="utf-8"))
#: fields that the version in production knows, by kind of record: it drops all others
KNOWN: dict[str, set[str]] = {
    "job": {"state", "tasks", "spec", "shard", "chunk", "at_us", "parts", "done"},
    "part": {"own", "done", "zones"},
    "roster": {"shard", "type", "zone", "spot", "endpoint", "used"},
    "hire": {"shard", "type", "zone", "spot", "count"},
    "load": {"waiting", "slots", "rate", "arrivals", "room"},
    "shard": {"owner", "term"},
    "term": {"term"},
    "stray": {"strays"},
    "standstill": {"part", "times", "at_us"},
}
SPEC = {
    "uid",
    "lane",
    "crew",
    "shape",
    "rank",
    "picks",
    "vcpus",
    "gpus",
    "memGb",
    "kit",
    "sizeGb",
    "builds",
    "yard",
    "together",
    "spread",
    "loaners",
    "expectS",
    "markEveryS",
    "markCostS",
    "dueS",
}


def full(value: Any) -> Any:
    """Without what is null or empty: a field that may be null may be left out."""
    if not isinstance(value, dict):
        return value
    return {k: full(v) for k, v in value.items() if v not in (None, [], "", 0, False)}


@pytest.mark.parametrize("sample", SAMPLES["records"], ids=lambda s: s["k"])
def test_records_are_read_and_rewritten_without_loss(sample: dict[str, Any]) -> None:
    kind = StoreCache.split_key(sample["k"])[0]
    read = msgspec.convert(sample["v"], {**KINDS, **AllocationManager.kinds}[kind])
    written = json.loads(msgspec.json.encode(read))
    assert full(written) == full(sample["v"])
    if kind in KNOWN:
        assert written.keys() <= KNOWN[kind] and (written.get("spec") or {}).keys() <= SPEC


def test_all_kinds_have_a_sample() -> None:
    kinds = {StoreCache.split_key(s["k"])[0] for s in SAMPLES["records"]}
    assert kinds >= {"term", "shard", "job", "part", "roster", "hire", "load", "types", "stray", "grant"}, kinds


def test_frames_are_read() -> None:
    heartbeat, seen = (bytes.fromhex(text) for text in SAMPLES["frames"])
    for data in (heartbeat, seen):
        kind, length = frames.read_header(data[: frames.HEADER.size])
        said = frames.read_frame(kind, data[frames.HEADER.size :])
        assert length == len(data) - frames.HEADER.size
        assert said is not None
        again = (
            frames.pack_heartbeat(said) if isinstance(said, frames.PeerHeartbeat) else frames.pack_observations(said)
        )
        assert again == data


def test_what_is_written_before_the_gate_opens_is_known_to_production() -> None:
    spec = msgspec.convert(job_spec("req-000001", builds=["m"], yard="a", dueS=9.0), m.JobSpec)
    job = JobRecord(m.QUEUED, 3, spec, 1, PartitionRecord("0-2", "1", ["a"]), 17, [0, 1])
    for record in (job, final_record(job, m.DONE, 3, 18), final_record(job, m.CANCELLED, 1)):
        written = msgspec.to_builtins(record)
        assert written.keys() <= KNOWN["job"] and (written.get("spec") or {}).keys() <= SPEC
    # What waits for others has one more field: production would drop it, so it waits for the gate.
    assert "waitsOn" in msgspec.to_builtins(m.with_dependencies(spec, ["req-000002"]))
