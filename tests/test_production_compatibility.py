"""Compatibility with records and frames written by the version in production, which deploy/service.toml names.

Both versions run side by side during an upgrade. This one must read what the production version wrote and rewrite it
without loss; until the feature gate opens, it must not write a field that the production version drops on a rewrite.
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
#: fields known to the version in production, by kind of record; it drops all others
PRODUCTION_FIELDS: dict[str, set[str]] = {
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
PRODUCTION_SPEC_FIELDS = {
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


def without_empty(value: Any) -> Any:
    """Drop null and empty values, since optional fields may be omitted."""
    if not isinstance(value, dict):
        return value
    return {k: without_empty(v) for k, v in value.items() if v not in (None, [], "", 0, False)}


@pytest.mark.parametrize("sample", SAMPLES["records"], ids=lambda s: s["k"])
def test_records_are_read_and_rewritten_without_loss(sample: dict[str, Any]) -> None:
    kind = StoreCache.split_key(sample["k"])[0]
    read = msgspec.convert(sample["v"], {**KINDS, **AllocationManager.kinds}[kind])
    written = json.loads(msgspec.json.encode(read))
    assert without_empty(written) == without_empty(sample["v"])
    if kind in PRODUCTION_FIELDS:
        assert (
            written.keys() <= PRODUCTION_FIELDS[kind] and (written.get("spec") or {}).keys() <= PRODUCTION_SPEC_FIELDS
        )


def test_every_record_kind_has_a_sample() -> None:
    kinds = {StoreCache.split_key(s["k"])[0] for s in SAMPLES["records"]}
    assert kinds >= {"term", "shard", "job", "part", "roster", "hire", "load", "types", "stray", "grant"}, kinds


def test_frames_are_read_and_packed_unchanged() -> None:
    heartbeat, observations = (bytes.fromhex(text) for text in SAMPLES["frames"])
    for data in (heartbeat, observations):
        kind, length = frames.read_header(data[: frames.HEADER.size])
        content = frames.read_frame(kind, data[frames.HEADER.size :])
        assert length == len(data) - frames.HEADER.size
        assert content is not None
        repacked = (
            frames.pack_heartbeat(content)
            if isinstance(content, frames.PeerHeartbeat)
            else frames.pack_observations(content)
        )
        assert repacked == data


def test_records_written_before_the_gate_opens_have_only_production_fields() -> None:
    spec = msgspec.convert(job_spec("req-000001", builds=["m"], yard="a", dueS=9.0), m.JobSpec)
    job = JobRecord(m.QUEUED, 3, spec, 1, PartitionRecord("0-2", "1", ["a"]), 17, [0, 1])
    for record in (job, final_record(job, m.DONE, 3, 18), final_record(job, m.CANCELLED, 1)):
        written = msgspec.to_builtins(record)
        assert (
            written.keys() <= PRODUCTION_FIELDS["job"] and (written.get("spec") or {}).keys() <= PRODUCTION_SPEC_FIELDS
        )
    # Dependencies need one more field, which production would drop; it is written only once the gate is open.
    assert "waitsOn" in msgspec.to_builtins(m.with_dependencies(spec, ["req-000002"]))
