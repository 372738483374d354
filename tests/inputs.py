"""Invalid input by kind: settings, command line, frames, jobs and quota trees."""

import json
import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from quinceslip.protocol import frames
from quinceslip.protocol import messages as m
from quinceslip.protocol.settings import SettingsError, Team, load_settings, load_tuning, read_operator_file
from quinceslip.quota.config import load_tree
from quinceslip.quota.plots import merge_pages
from quinceslip.quota.tree import Tree
from tests.simulation.inputs import job_spec

ROOT = Path(__file__).resolve().parent.parent

SETTINGS = """
label = "berth-0"
location = "a"
api_addr = "127.0.0.1:{api}"
peer_bind = "127.0.0.1:{peer}"
later = "unknown fields are ignored"
[outside]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"
[facts]
size = 1
zones = ["a"]
[[facts.teams]]
name = "team"
[facts.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 35.0
[facts.state]
rps = 150.0
write_rps = 20.0
value_kb = 16.0
txn_ops = 16
[facts.cloud]
rps = 4.0
list_lag_s = 5.0
"""


def settings_text(**ports: int) -> str:
    return SETTINGS.format(**({"api": 1, "peer": 2, "cloud": 3, "state": 4} | ports))


def _settings(tmp: Path) -> None:
    good = tmp / "good.toml"
    good.write_text(settings_text())
    assert load_settings(good).facts.size == 1
    for old, new, message in (
        ("rps = 150.0", "", "rps"),
        ("size = 1", 'size = "x"', "facts.size"),
        ("lease_s = 10.0", "lease_s = -1.0", "lease_s"),
        ('label = "berth-0"', "", "label"),
        ('state = "127.0.0.1:4"', 'state = "nowhere"', "outside.state"),
        ("size = 1", "size = 3", "facts.size"),
        *(
            ("[facts.cloud]", f"[facts.state.next]\n{line}\n[facts.cloud]", f"state.next.{field}")
            for line, field in (
                ("rps = 0", "rps"),
                ('write_rps = "x"', "write_rps"),
                ("value_kb = -2.0", "value_kb"),
                ("txn_ops = 0", "txn_ops"),
                ("txn_ops = 2.5", "txn_ops"),
            )
        ),
    ):
        bad = tmp / "bad.toml"
        bad.write_text(settings_text().replace(old, new, 1))
        with pytest.raises(SettingsError, match=message):
            load_settings(bad)
    assert load_settings(good).facts.state.lowest_limits() == load_settings(good).facts.state
    for announced, lasting in (
        ("txn_ops = 5\nvalue_kb = 2\nlater = 1", (150.0, 20.0, 2.0, 5)),
        ("rps = 90.5\nwrite_rps = 30", (90.5, 20.0, 16.0, 16)),
    ):
        good.write_text(settings_text().replace("[facts.cloud]", f"[facts.state.next]\n{announced}\n[facts.cloud]"))
        assert msgspec.structs.astuple(load_settings(good).facts.state.lowest_limits())[:4] == lasting
    ini = tmp / "own.ini"
    ini.write_text("[quinceslip]\nload_record_s = 7\n")
    assert load_tuning(ini).load_record_s == 7.0
    for text, message in (
        ("[quinceslip]\nload_record_s = -1\n", "load_record_s = -1"),
        ("[quinceslip]\nsurprise = 1\n", "surprise = 1"),
        ("[other]\n", "other"),
        ("junk", "own.ini"),
    ):
        ini.write_text(text)
        with pytest.raises(SettingsError, match=message):
            load_tuning(ini)


def _command(tmp: Path) -> None:
    def run(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, str(ROOT / "run.py"), *arguments], capture_output=True, text=True, timeout=60, check=False
        )

    assert run("--version").stdout.startswith("quinceslip ")
    assert "check" in run("--help").stdout and "--operator-config" in run("run", "--help").stdout
    assert run().returncode == run("surprise").returncode == run("--config", "x").returncode == 2
    bad = tmp / "bad.toml"
    bad.write_text(settings_text().replace("lease_s = 10.0", ""))
    result = run("run", "--config", str(bad))
    assert result.returncode == 2 and "lease_s" in result.stderr and len(result.stderr.strip().splitlines()) == 1
    good = tmp / "good.toml"
    good.write_text(settings_text())
    assert run("check", "--config", str(good)).returncode == 0
    assert run("check", "--config", str(tmp / "none.toml")).returncode == 2
    # Disabled subsystems are not imported.
    script = (
        "import sys; from pathlib import Path; from quinceslip import service, subsystems; "
        "from quinceslip.protocol.settings import load_settings, read_operator_file; "
        f"found = subsystems.subsystem_factories(load_settings(Path({str(good)!r})), read_operator_file(None)); "
        "assert not found and not [m for m in sys.modules if m.startswith('quinceslip.quota')]"
    )
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(map(str, (ROOT, ROOT / "target" / "deps")))}
    subprocess.run([sys.executable, "-c", script], check=True, timeout=60, env=environment)


TREE = """
[quota]
version = 1
[quota guild]
cpus = 10
cpus_max = 20
[quota member]
parent = guild
cpus = 6
teams = team
[quota other]
parent = guild
cpus = 4
memory_gb_max = 8
teams = spare
"""


def _tree(tmp: Path) -> None:
    teams = [Team("team", cpus_max=16.0), Team("spare"), Team("third")]
    path = tmp / "tree.ini"

    def load(text: str) -> object:
        path.write_text(text)
        return load_tree(read_operator_file(path), teams, str(path))

    tree = load(TREE)
    assert isinstance(tree, Tree) and [tree.levels[i].name for i in tree.path("team")] == ["team", "member", "guild"]
    assert tree.by_name["team"].cap[0] == 16_000 and tree.by_name["other"].cap[2] == 8_000
    for old, new, message in (
        ("version = 1", "", r"\[quota\] version"),
        ("version = 1", "version = 1.5", "version = 1.5"),
        ("cpus = 6", "cpus = 11", r"\[quota member\] cpus = 11: .* over that of guild"),
        ("cpus = 4", "cpus = 5", r"\[quota guild\] cpus = 10: .* 11 together"),
        ("cpus = 10", "cpus = 21", r"\[quota guild\] cpus = 21: .* over its own cap"),
        ("teams = team", "teams = nobody", r"\[quota member\] teams = nobody: unknown team nobody"),
        ("teams = spare", "teams = spare, team", r"\[quota other\] teams = .*team has two parents"),
        ("cpus_max = 20", "cpus_max = 20\nparent = member", r"parent = .*circle: .*guild"),
        ("parent = guild\ncpus = 6", "parent = nowhere\ncpus = 6", r"\[quota member\] parent = nowhere"),
        ("parent = guild\ncpus = 6", "parent = third\ncpus = 6", r"parent = third: third is a team"),
        ("teams = spare", "", r"\[quota other\]: other is neither a team"),
        (
            "teams = team",
            "teams = team"
            + "".join(f"\n[quota deep{n}]\nparent = {f'deep{n - 1}' if n else 'member'}" for n in range(70)),
            r"\[quota deep62\] parent = .*more than 64 levels",
        ),
        ("cpus_max = 20", "cpus_max = much", r"\[quota guild\] cpus_max = much: must be a number"),
        ("cpus_max = 20", "cpus_most = 20", r"\[quota guild\] cpus_most = 20: unknown key"),
        ("cpus = 4", "weight = 0", r"\[quota other\] weight = 0: must be a number"),
    ):
        assert old in TREE
        with pytest.raises(SettingsError, match=message):
            load(TREE.replace(old, new, 1))
    with pytest.raises(SettingsError, match="two parents"):
        load(TREE + "[quota team]\nparent = other\n")
    assert load("") is not None  # the platform's team limits form a tree by themselves
    from quinceslip.cli import main

    path.write_text(TREE)
    assert main(["quota", "check", str(path)]) == 0
    path.write_text(TREE.replace("cpus = 6", "cpus = 60"))
    assert main(["quota", "check", str(path)]) == main(["quota", "show", "--from", "nowhere"]) == 2
    samples = tmp / "usage.jsonl"
    amounts = {"cpus": 2.0}
    level = {
        "level": "guild",
        "depth": 0,
        "guaranteed": {},
        "cap": {"cpus": 4.0},
        "used": amounts,
        "waiting": amounts,
        "lent": {},
        "borrowed": {},
    }
    samples.write_text(
        "\n".join(json.dumps({"at_s": t, "levels": merge_pages([{"levels": [level]}] * 2)}) for t in (0, 1))
    )
    assert json.loads(samples.read_text().splitlines()[0])["levels"][0]["used"] == {"cpus": 4.0}
    assert main(["quota", "plot", str(samples), "-o", str(tmp / "usage.html")]) == 0
    assert "<svg" in (tmp / "usage.html").read_text()
    samples.write_text("junk")
    assert main(["quota", "plot", str(samples), "-o", str(tmp / "usage.html")]) == 2


def _frames(tmp: Path) -> None:
    heartbeat = frames.PeerHeartbeat(
        "berth-1", True, 42, [frames.ShardLoad(1, 2, 3, 4, 0.5, [5, 6], 7)], yielding=True, misrouted=[(1, 5)]
    )
    data = frames.pack_heartbeat(heartbeat)
    kind, length = frames.read_header(data[: frames.HEADER.size])
    assert kind == frames.KIND_HEARTBEAT and frames.read_heartbeat(data[frames.HEADER.size :]) == heartbeat and length
    # A heartbeat without misrouted workers has the format of earlier versions, which did not send them.
    assert (
        len(data) - len(frames.pack_heartbeat(frames.PeerHeartbeat(heartbeat.label, True, 42, heartbeat.loads)))
        == frames.MISROUTED.size
    )
    # The stockouts that an earlier version sends in its heartbeats are skipped.
    size = frames.HEADER.size + frames.HEARTBEAT.size
    older = bytearray(data[frames.HEADER.size :])
    older[frames.HEARTBEAT.size - 2 : frames.HEARTBEAT.size] = (1).to_bytes(2, "big")
    rest = len(data) - frames.MISROUTED.size - size
    older[frames.HEARTBEAT.size + rest : frames.HEARTBEAT.size + rest] = bytes(frames.STOCKOUT.size)
    assert frames.read_heartbeat(bytes(older)) == heartbeat
    seen = [
        frames.Observation((f"kind-{n}", "erie-east", n % 2 == 0), 1_700_000_000_000, n, n * 1000, n, n // 2)
        for n in range(1, 100)
    ]
    data_seen = frames.pack_observations(frames.PeerObservations("berth-1", seen))
    kind, length = frames.read_header(data_seen[: frames.HEADER.size])
    decoded = frames.read_frame(kind, data_seen[frames.HEADER.size :])
    assert length <= frames.MAX_PAYLOAD_BYTES and isinstance(decoded, frames.PeerObservations)
    assert (
        decoded.label == "berth-1"
        and decoded.observations == seen[: len(decoded.observations)]
        and len(decoded.observations) > 30
    )
    assert frames.read_frame(77, b"whatever a later version says") is None
    for body in (b"", data_seen[frames.HEADER.size : -1], b"\xff" * 40):
        with pytest.raises(frames.FrameError):
            frames.read_frame(frames.KIND_OBSERVATIONS, body)
    for bad in (b"XX" + data[2:6], data[:2] + b"\x01" + data[3:6], data[:4] + b"\xff\xff"):
        with pytest.raises(frames.FrameError):
            frames.read_header(bad)
    for body in (b"", data[frames.HEADER.size : -1], b"\xff" * 40):
        with pytest.raises(frames.FrameError):
            frames.read_heartbeat(body)


def _jobs(tmp: Path) -> None:
    decoder = msgspec.json.Decoder(m.JobSpec)
    assert decoder.decode(json.dumps(job_spec("req-000001"))).tasks == 1
    for field, value in (
        ("uid", "job-1"),
        ("uid", 7),
        ("picks", 0),
        ("picks", 100_001),
        ("picks", 1.5),
        ("vcpus", -1),
        ("vcpus", True),
        ("shape", "ring"),
        ("rank", "highest"),
        ("memGb", "4"),
        ("spread", None),
        ("expectS", None),
        ("builds", "m"),
        ("dueS", -1.0),
    ):
        with pytest.raises(msgspec.DecodeError):
            decoder.decode(json.dumps({**job_spec("req-000001"), field: value}))
    for field in ("uid", "lane", "crew", "shape", "picks", "sizeGb", "loaners"):
        spec = job_spec("req-000001")
        del spec[field]
        with pytest.raises(msgspec.DecodeError):
            decoder.decode(json.dumps(spec))
    with pytest.raises(msgspec.DecodeError):
        decoder.decode(json.dumps(job_spec("req-000001")).replace('"vcpus": 2.0', '"vcpus": 1e999'))


def bad_input(kind: str) -> None:
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        checks = {"settings": _settings, "command": _command, "frames": _frames, "jobs": _jobs, "tree": _tree}
        checks[kind](Path(folder))
