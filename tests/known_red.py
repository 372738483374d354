"""Tests that are known to fail because of an unfixed fault, listed in `KNOWN-RED.txt` at the root.

Each line has the fields test, cause, issue, command to reproduce, seed and what was seen, separated by ` | `.
A listed test must fail; if it passes, the run fails. The exception is an entry whose last field begins with
`N of M runs`: its test is intermittent, so it may pass or fail, and the run prints the outcome.
"""

import re
from dataclasses import dataclass
from pathlib import Path

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
FIELDS = ("test", "cause", "issue", "command", "seed", "seen")

_RUNS = re.compile(r"(\d+) of (\d+) runs\b")


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that is known to fail."""

    node_id: str
    cause: str
    issue: str
    command: str
    seed: str
    seen: str

    @property
    def is_intermittent(self) -> bool:
        """Whether the test fails in some runs only."""
        return _RUNS.match(self.seen) is not None


def parse_known_red(text: str) -> list[KnownRed]:
    """Parse the list. Raises ValueError for an incomplete or implausible line, and for a test that is listed twice."""
    entries = [_parse_line(line) for line in text.splitlines() if line.strip()]
    node_ids = [entry.node_id for entry in entries]
    for node_id in node_ids:
        if node_ids.count(node_id) > 1:
            raise ValueError(f"listed twice: {node_id}")
    return entries


def _parse_line(line: str) -> KnownRed:
    fields = [field.strip() for field in line.split(" | ")]
    if len(fields) != len(FIELDS) or not all(fields):
        raise ValueError(f"not '{' | '.join(FIELDS)}': {line!r}")
    entry = KnownRed(*fields)
    if not any(letter.isalpha() for letter in entry.issue):
        raise ValueError(f"the issue is not named: {line!r}")
    runs = _RUNS.match(entry.seen)
    if runs is not None and not 0 < int(runs[1]) < int(runs[2]):
        raise ValueError(f"a test that fails at times fails in some of its runs and passes in others: {line!r}")
    return entry


def known_red() -> list[KnownRed]:
    """Read the current list; it is empty if there is no file."""
    return parse_known_red(KNOWN_RED_PATH.read_text(encoding="utf-8")) if KNOWN_RED_PATH.exists() else []
