"""KNOWN-RED.txt lists existing tests, each once, with everything needed to reproduce the failure."""

import subprocess
import sys

import pytest

from tests.known_red import KNOWN_RED_PATH, known_red, parse_known_red

LINE = "test | cause | issue | command | seed | seen"


def test_every_listed_test_exists() -> None:
    listed = {entry.node_id for entry in known_red()}
    if not listed:
        return
    files = sorted({node_id.partition("::")[0] for node_id in listed})
    command = [sys.executable, "-m", "pytest", "-o", "addopts=", "--collect-only", "-q", *files]
    collected = subprocess.run(
        command, cwd=KNOWN_RED_PATH.parent, capture_output=True, text=True, timeout=120, check=True
    )
    unknown = listed - set(collected.stdout.splitlines())
    assert not unknown, unknown


def test_duplicate_entry_is_refused() -> None:
    with pytest.raises(ValueError, match="listed twice: test"):
        parse_known_red(f"{LINE}\n\n{LINE}")


@pytest.mark.parametrize("field_index", range(6))
@pytest.mark.parametrize("is_removed", [True, False])
def test_incomplete_line_is_refused(field_index: int, is_removed: bool) -> None:
    fields: list[str] = LINE.split(" | ")
    fields[field_index : field_index + 1] = [] if is_removed else [" "]
    with pytest.raises(ValueError, match=r"test \| cause \| issue \| command \| seed \| seen"):
        parse_known_red(" | ".join(fields))


def test_entry_without_issue_name_is_refused() -> None:
    with pytest.raises(ValueError, match="the issue is not named"):
        parse_known_red(LINE.replace("issue", "-"))


@pytest.mark.parametrize(("seen", "intermittent"), [("3 of 50 runs: a rule", True), ("in 3 of 50 days", False)])
def test_entry_is_intermittent_only_with_a_count_of_runs(seen: str, intermittent: bool) -> None:
    (entry,) = parse_known_red(LINE.replace("seen", seen))
    assert entry.is_intermittent == intermittent


@pytest.mark.parametrize("seen", ["0 of 50 runs", "50 of 50 runs", "3 of 0 runs"])
def test_intermittent_entry_must_fail_in_some_runs_only(seen: str) -> None:
    with pytest.raises(ValueError, match="fails in some of its runs"):
        parse_known_red(LINE.replace("seen", seen))
