"""Golden samples: what the program reads and writes, byte for byte.

Every sample in `tests/samples/golden/*.json` has an input (`given`) and the outcome that the program had for it
(`expected`): stored records, JSON messages, peer frames, settings files, and the command line. Samples hold only wire
names, stored names and text that operators see, so they outlive renames of modules, types and fields in the program.
The adapter below is the only place that names anything of the program.

    python -m tests.test_golden_samples        rewrites every `expected` from the present code

Rewrite them only for an intended change of a format or a text, and say in the commit which one it is.
"""

import contextlib
import dataclasses
import io
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import pytest

from quinceslip.cli import main as command_line
from quinceslip.liveness import stall_records
from quinceslip.protocol import frames
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import SettingsError, load_settings, load_tuning, read_operator_file
from quinceslip.quota import allocations, quota_records
from quinceslip.quota.allocation_manager import AllocationManager
from quinceslip.quota.commands import format_page as quota_table
from quinceslip.quota.config import load_tree
from quinceslip.quota.status_page import build_page as quota_page
from quinceslip.storage import records, task_sets

# Adapter: the names of the program. A rename edits this block and nothing else.
from quinceslip.storage.cache import StoreCache

SAMPLES = Path(__file__).resolve().parent / "samples" / "golden"
ROOT = Path(__file__).resolve().parents[1]

#: stored records, by the kind in their key
RECORD_TYPES: dict[str, Any] = {**records.KINDS, **AllocationManager.kinds}
#: modules in which every public message type must have samples
MESSAGE_MODULES = (m,)
#: JSON messages, by a name that only the samples use
MESSAGE_TYPES: dict[str, Any] = {
    "job": m.JobSpec,
    "task report": m.TaskStatus,
    "worker report": m.WorkerHeartbeat,
    "command": m.Command,
    "command reply": m.CommandReply,
    "direct commands": m.DirectCommands,
    "machine type": m.MachineType,
    "machine types": m.MachineTypes,
    "hire answer": m.ScaleOutAnswer,
    "host": m.CloudMachine,
    "host list": m.MachineListing,
    "lease answer": m.LeaseAnswer,
    "transaction answer": m.CompareAndSwapAnswer,
    "item": m.Item,
    "listing": m.Listing,
    "event": m.Event,
    "changes": m.Changes,
}
FRAME_HEADER_BYTES = frames.HEADER.size
FrameError = frames.FrameError


def as_job(job: Any) -> Any:
    """The job that a JSON value stands for."""
    return msgspec.convert(job, m.JobSpec)


def following_note(previous: Any, part: str, wall_us: int, lease_us: int) -> Any:
    """The standstill record that is written after `previous`."""
    note = None if previous is None else msgspec.convert(previous, RECORD_TYPES["standstill"])
    return stall_records.next_record(note, part, wall_us, lease_us)


#: functions that make messages, records, keys and paths; called with the arguments of a sample, in order
BUILDERS: dict[str, Callable[..., Any]] = {
    "launch": m.launch,
    "halt": m.stop,
    "reap": m.acknowledge_result,
    "submission": lambda text: m.read_submission(text.encode()),
    "report is of worker": lambda text, worker: m.is_heartbeat_of(text.encode(), worker),
    "job answer": m.job_answer,
    "redirect": m.redirect,
    "hire request": m.scale_out_request,
    "delete request": m.delete_request,
    "hosts path": m.machines_path,
    "lease request": m.lease_request,
    "renew path": m.renew_path,
    "list path": m.list_path,
    "watch path": m.watch_path,
    "transaction": m.compare_and_swap_request,
    "job with priority": lambda job, priority: m.with_priority(as_job(job), priority),
    "job waiting on": lambda job, job_ids: m.with_dependencies(as_job(job), job_ids),
    "final record": lambda job, *rest: records.final_record(msgspec.convert(job, RECORD_TYPES["job"]), *rest),
    "following standstill": following_note,
    "task set": lambda numbers: task_sets.encode(set(numbers)),
    "task set read": lambda text: sorted(task_sets.decode(text)),
    "key of shard": records.shard_key,
    "key of job": records.job_key,
    "key of part": records.partition_key,
    "key of roster": records.machine_key,
    "key of hire": records.scale_out_key,
    "key of stray": records.misrouted_key,
    "key of supports": records.supports_key,
    "key of load": records.load_key,
    "key of standstill": stall_records.key,
    "key of want": quota_records.want_key,
    "name of grant": quota_records.grant_name,
    "kind and name of key": StoreCache.split_key,
    "other keys": lambda: [
        records.PREFIX,
        records.TERM_KEY,
        records.MACHINE_TYPES_KEY,
        records.ACTIVE_LEVEL_KEY,
        records.UNUSED_KEY,
        quota_records.TREE_KEY,
    ],
    "paths": lambda: [
        m.PATH_JOBS,
        m.PATH_READY,
        m.PATH_HEARTBEAT,
        m.PATH_INSPECT,
        m.PATH_COMMANDS,
        m.PATH_MACHINE_TYPES,
        m.PATH_HOSTS,
        m.PATH_HOSTS_DELETE,
        m.PATH_TXN,
        m.PATH_LEASES,
        m.PATH_KV,
        m.CANCEL_SUFFIX,
        *AllocationManager.questions,
    ],
    "words": lambda: [
        m.QUEUED,
        m.RUNNING,
        m.DONE,
        m.CANCELLED,
        m.PULLING,
        m.FLUSHING,
        m.EXITED,
        m.CAUSE_DONE,
        m.CAUSE_HALTED,
        m.CAUSE_ERROR,
        *m.GANG_EXIT_CAUSES,
        m.HOST_FAILED,
        m.HOST_BOOTING,
        m.NO_LEASE.decode(),
        m.MAX_BODY_BYTES,
        m.PRIORITY_CLASSES,
    ],
}


def pack_heartbeat(label: str, state_ok: bool, revision: int, loads: list[list[Any]], *rest: Any) -> bytes:
    """The frame of a heartbeat; each of `loads` and `rest` holds constructor arguments in order."""
    return frames.pack_heartbeat(
        frames.PeerHeartbeat(label, state_ok, revision, [frames.ShardLoad(*load) for load in loads], *rest)
    )


def pack_observations(label: str, observations: list[list[Any]]) -> bytes:
    """The frame of sightings; each of `observations` holds constructor arguments in order."""
    return frames.pack_observations(
        frames.PeerObservations(label, [frames.Observation(*observation) for observation in observations])
    )


#: functions that make peer frames
FRAME_BUILDERS: dict[str, Callable[..., bytes]] = {"heartbeat": pack_heartbeat, "sightings": pack_observations}


def read_frame(data: bytes) -> tuple[int, int, Any]:
    """Kind, payload length and content of a frame; raises FrameError."""
    kind, length = frames.read_header(data[:FRAME_HEADER_BYTES])
    return kind, length, frames.read_frame(kind, data[FRAME_HEADER_BYTES:])


def pack_again(content: Any) -> bytes:
    """The frame of what `read_frame` read."""
    return (
        frames.pack_heartbeat(content)
        if isinstance(content, frames.PeerHeartbeat)
        else frames.pack_observations(content)
    )


def understood_settings(path: Path) -> dict[str, str]:
    """The platform's settings as the program understands them, and the limits that it plans with."""
    settings = load_settings(path)
    return {"settings": encoded(settings), "lasting limits": encoded(settings.facts.state.lowest_limits())}


def understood_tuning(path: Path) -> str:
    """Section [quinceslip] of an operators' file as the program understands it."""
    return encoded(load_tuning(path))


def understood_tree(path: Path) -> dict[str, Any]:
    """The quota tree of an operators' file, with the teams of `full.toml` and one stored grant of level guild."""
    tree = load_tree(read_operator_file(path), load_settings(SAMPLES / "full.toml").facts.teams, str(path), True)
    assert tree is not None
    cache = StoreCache()
    cache.register_kinds(AllocationManager.kinds)
    grant = {"version": 1, "total": [9000, 0, 0, 0], "parts": {"0": [4000, 0, 0, 0], "2": [6000, 0, 0, 0]}}
    cache.store(
        f"{records.PREFIX}{quota_records.GRANT}/{quota_records.grant_name('guild', quota_records.AmountKind.CAP)}",
        msgspec.convert(grant, RECORD_TYPES[quota_records.GRANT]),
        5,
    )
    page = quota_page(tree, allocations.Allocations(tree, cache), {}, "", "")
    return {"digest": tree.digest, "page": encoded(page), "table": list(quota_table(page, False))}


#: what reads a settings file, by the name that samples use
LOADERS: dict[str, Callable[[Path], Any]] = {
    "settings": understood_settings,
    "tuning": understood_tuning,
    "tree": understood_tree,
}
# End of the adapter.

#: the width that the command line formats its help for
COLUMNS = "100"
ACCEPTED = "accepted"
#: values that a field of a message is replaced by, one after the other
MAX_UNANSWERED_PROBES: dict[str, Any] = {
    "null": None,
    "-1": -1,
    "-1.5": -1.5,
    "empty text": "",
    "201 letters": "x" * 201,
    "empty list": [],
    "empty object": {},
}


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One input, and the outcome that the program had for it when the sample was written."""

    group: str
    name: str
    given: Any
    expected: Any


def encoded(value: Any) -> str:
    """JSON text as the program writes it; dataclasses become lists, whose order does not depend on field names."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        value = dataclasses.astuple(value)
    return msgspec.json.encode(value).decode()


def compact(value: Any) -> bytes:
    """A JSON body that keeps the order of keys, and 1 apart from 1.0."""
    return json.dumps(value, separators=(",", ":")).encode()


# Outcomes: one function for each file of samples.


def reread(types: dict[str, Any], given: Any) -> str:
    """What is left of a JSON body after it was read and written again, or why it cannot be read."""
    body = given["text"].encode() if "text" in given else compact(given["read"])
    try:
        return encoded(msgspec.json.decode(body, type=types[given["type"]]))
    except msgspec.DecodeError as error:
        return f"error: {error}"


def record_outcome(given: Any) -> str:
    """A stored record, read and written again."""
    return reread(RECORD_TYPES, given)


def message_outcome(given: Any) -> str:
    """A JSON message, read and written again."""
    return reread(MESSAGE_TYPES, given)


def refusal_outcome(given: Any) -> dict[str, dict[str, str]]:
    """By field of a full sample and by what it is replaced by: the error, or that the body is accepted."""
    types = RECORD_TYPES if given["group"] == "records" else MESSAGE_TYPES
    full = read_group(given["group"])[f"{given['type']}: full"]["given"]["read"]

    def outcome(body: dict[str, Any]) -> str:
        text = reread(types, {"type": given["type"], "read": body})
        return text if text.startswith("error: ") else ACCEPTED

    found: dict[str, dict[str, str]] = {}
    for field in full:
        found[field] = {"left out": outcome({key: value for key, value in full.items() if key != field})}
        for name, probe in MAX_UNANSWERED_PROBES.items():
            found[field][name] = outcome({**full, field: probe})
    return found


def builder_outcome(given: Any) -> str:
    """What a builder function of the program makes of its arguments, as JSON."""
    return encoded(BUILDERS[given["call"]](*given["arguments"]))


def frame_outcome(given: Any) -> dict[str, Any]:
    """A frame that is built or given as hex digits, what is read in it, and the frame that is packed of that."""
    data = FRAME_BUILDERS[given["call"]](*given["arguments"]) if "call" in given else bytes.fromhex(given["hex"])
    try:
        kind, length, content = read_frame(data)
    except FrameError as error:
        return {"frame": data.hex(), "error": str(error)}
    again = "" if content is None else pack_again(content).hex()
    return {"frame": data.hex(), "kind": kind, "length": length, "content": encoded(content), "again": again}


def file_content(given: Any) -> bytes:
    """The content of a file: hex digits, a text, or a file of the samples with replacements."""
    if "hex" in given:
        return bytes.fromhex(given["hex"])
    text: str = given["text"] if "text" in given else (SAMPLES / given["file"]).read_text(encoding="utf-8")
    for old, new in given.get("replace", []):
        assert text.count(old) == 1, f"{old!r} is not there exactly once"
        text = text.replace(old, new)
    return text.encode()


def load_file(loader: str, content: bytes | None) -> Any:
    """What a loader makes of a file in a directory of its own; of a missing one for None."""
    with tempfile.TemporaryDirectory() as folder, contextlib.chdir(folder):
        path = Path("given.toml" if loader == "settings" else "given.ini")
        if content is not None:
            path.write_bytes(content)
        try:
            return LOADERS[loader](path)
        except SettingsError as error:
            return f"error: {error}"


def with_each_value(text: str, value: str | None) -> Iterator[tuple[str, str]]:
    """A name and the text for each line `key = value`, with another value there; None leaves the line out."""
    lines = text.splitlines(keepends=True)
    for number, line in enumerate(lines):
        key, separator, _ = line.partition(" = ")
        if separator and not line.startswith((";", "#")):
            changed = [] if value is None else [f"{key} = {value}\n"]
            yield f"line {number + 1}, {key}", "".join([*lines[:number], *changed, *lines[number + 1 :]])


def file_outcome(given: Any) -> Any:
    """What the program understands of a settings file, or its error; with `each value`, for every line in turn."""
    loader = given["loader"]
    if given.get("missing"):
        return load_file(loader, None)
    content = file_content(given)
    if "each value" not in given:
        return load_file(loader, content)
    found: dict[str, str] = {}
    for name, text in with_each_value(content.decode(), given["each value"]):
        outcome = load_file(loader, text.encode())
        found[name] = outcome if isinstance(outcome, str) and outcome.startswith("error: ") else ACCEPTED
    return found


@contextlib.contextmanager
def command_surroundings(given: Any) -> Iterator[None]:
    """A directory with the files of a command-line sample, and its environment variables."""
    variables = {name: value for name, value in os.environ.items() if name != "LOG_LEVEL"}
    variables |= {"COLUMNS": COLUMNS, **given.get("environment", {})}
    with (
        tempfile.TemporaryDirectory() as folder,
        contextlib.chdir(folder),
        mock.patch.dict(os.environ, variables, clear=True),
    ):
        for name, file in given.get("files", {}).items():
            Path(name).write_bytes(file_content(file))
        yield


def command_result(status: int, output: str, errors: str) -> dict[str, Any]:
    """Exit status and texts as samples hold them: lines with their ends."""
    return {"status": status, "stdout": output.splitlines(keepends=True), "stderr": errors.splitlines(keepends=True)}


def command_outcome(given: Any) -> dict[str, Any]:
    """A command, run in this process."""
    output, errors = io.StringIO(), io.StringIO()
    with command_surroundings(given), contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        try:
            status = command_line(given["arguments"])
        except SystemExit as end:
            status = int(end.code or 0)
    return command_result(status, output.getvalue(), errors.getvalue())


def command_process_outcome(given: Any) -> dict[str, Any]:
    """The same command as operators run it, in a process of its own."""
    with command_surroundings(given):
        found = subprocess.run(
            [sys.executable, str(ROOT / "run.py"), *given["arguments"]],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
    return command_result(found.returncode, found.stdout, found.stderr)


#: by file of samples, what makes an outcome of an input
OUTCOMES: dict[str, Callable[[Any], Any]] = {
    "records": record_outcome,
    "messages": message_outcome,
    "refusals": refusal_outcome,
    "builders": builder_outcome,
    "frames": frame_outcome,
    "files": file_outcome,
    "command_line": command_outcome,
}


def read_group(group: str) -> dict[str, Any]:
    """One file of samples, by name of the sample."""
    content: dict[str, Any] = json.loads((SAMPLES / f"{group}.json").read_text(encoding="utf-8"))
    return content


def read_samples(*groups: str) -> list[Sample]:
    """The samples of these groups."""
    return [
        Sample(group, name, entry["given"], entry.get("expected"))
        for group in groups
        for name, entry in read_group(group).items()
    ]


def write_samples() -> None:
    """Rewrite every `expected`, and the copy of the service file, from the present code."""
    for group, outcome in OUTCOMES.items():
        entries = {
            sample.name: {"given": sample.given, "expected": outcome(sample.given)} for sample in read_samples(group)
        }
        (SAMPLES / f"{group}.json").write_text(json.dumps(entries, indent=1) + "\n", encoding="utf-8")
    (SAMPLES / "service.toml").write_bytes((ROOT / "deploy" / "service.toml").read_bytes())


def sample_id(sample: Sample) -> str:
    """The name of a sample in the report of a test run."""
    return f"{sample.group}: {sample.name}"


# Tests.


@pytest.mark.parametrize("sample", read_samples(*OUTCOMES), ids=sample_id)
def test_outcome_is_that_of_the_sample(sample: Sample) -> None:
    """Reading, writing and error texts are what they were. Compared as text: 1 and 1.0 differ."""
    outcome = OUTCOMES[sample.group](sample.given)
    assert json.dumps(outcome, indent=1) == json.dumps(sample.expected, indent=1)


@pytest.mark.parametrize("sample", [s for s in read_samples("command_line") if s.given.get("process")], ids=sample_id)
def test_command_line_in_a_process(sample: Sample) -> None:
    """`python run.py` gives the same texts and exit status as the samples."""
    assert command_process_outcome(sample.given) == sample.expected


def test_service_file_is_unchanged() -> None:
    """The platform reads deploy/service.toml, so no byte of it changes unintended."""
    assert (ROOT / "deploy" / "service.toml").read_bytes() == (SAMPLES / "service.toml").read_bytes()


@pytest.mark.parametrize(
    ("group", "types"), [("records", RECORD_TYPES), ("messages", MESSAGE_TYPES)], ids=["records", "messages"]
)
def test_every_type_has_all_samples(group: str, types: dict[str, Any]) -> None:
    """Each type has a full sample with every wire name, a minimal one, one with an unknown field, and refusals."""
    samples = read_group(group)
    refusals = read_group("refusals")
    for name, kind in types.items():
        full, minimal = (samples[f"{name}: {size}"]["given"]["read"] for size in ("full", "minimal"))
        assert samples[f"{name}: unknown field"]["given"]["type"] == name
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            fields = msgspec.structs.fields(kind)
            assert full.keys() == {field.encode_name for field in fields}, name
            assert minimal.keys() == {field.encode_name for field in fields if field.required}, name
            assert f"{group}: {name}" in refusals


def test_every_message_type_is_listed() -> None:
    """A new message type needs samples."""
    for module in MESSAGE_MODULES:
        for name, value in vars(module).items():
            own = isinstance(value, type) and issubclass(value, msgspec.Struct) and value.__module__ == module.__name__
            assert not own or name.startswith("_") or value in MESSAGE_TYPES.values(), name


def test_every_builder_has_a_sample() -> None:
    """A builder function in the adapter without a sample would check nothing."""
    assert {sample.given["call"] for sample in read_samples("builders")} == BUILDERS.keys()
    assert {sample.given.get("call") for sample in read_samples("frames")} >= FRAME_BUILDERS.keys()


if __name__ == "__main__":
    write_samples()
