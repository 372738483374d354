"""The list of known failures names existing tests, and no more than three."""

import subprocess
import sys

import pytest

from tests.known_red import KNOWN_RED_PATH, known_red, parse_known_red


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


def test_a_fourth_line_is_refused() -> None:
    with pytest.raises(ValueError, match="at most 3"):
        parse_known_red("\n".join(f"test_{number} | cause | issue" for number in range(4)))


@pytest.mark.parametrize("line", ["a test alone", "test | cause", "test |  | issue"])
def test_an_incomplete_line_is_refused(line: str) -> None:
    with pytest.raises(ValueError, match=r"test \| cause \| issue"):
        parse_known_red(line)
