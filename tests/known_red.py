"""The tests that are known to fail for a fault that is not mended yet: `KNOWN-RED.txt` at the root.

A line names a test, the cause and the issue, separated by ` | `. A listed test must fail: one that passes fails the
run, and so do a fourth line and a name that no test has (`tests/test_known_red.py`).
"""

from dataclasses import dataclass
from pathlib import Path

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One test that is known to fail."""

    node_id: str
    cause: str
    issue: str


def parse_known_red(text: str) -> list[KnownRed]:
    """Read the list; raises ValueError for a line that is not complete and for more lines than are allowed."""
    found = []
    for line in text.splitlines():
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != 3 or not all(fields):
            raise ValueError(f"not 'test | cause | issue': {line!r}")
        found.append(KnownRed(*fields))
    if len(found) > MAX_KNOWN_RED:
        raise ValueError(f"{len(found)} tests are listed, at most {MAX_KNOWN_RED} may be")
    return found


def known_red() -> list[KnownRed]:
    """The list as it stands; empty where there is no file."""
    return parse_known_red(KNOWN_RED_PATH.read_text(encoding="utf-8")) if KNOWN_RED_PATH.exists() else []
