"""Traces of everything that reaches or leaves a controller, to compare two versions of the source.

The simulated world runs in virtual time from a seed, so equal behaviour is equal bytes. With the environment variable
`QUINCESLIP_TRACES` naming a folder, every scenario and every example of a random day writes a digest there, and with
`QUINCESLIP_TRACES_FULL=1` its whole text as well. `python -m
tests.simulation.tracing BEFORE AFTER` compares two such folders.
Record both with `PYTHONHASHSEED=0`. Only what is on the wire is traced, so a trace outlives renames in the source.
"""

import hashlib
import os
import re
import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO, Any

import msgspec

FOLDER_VARIABLE = "QUINCESLIP_TRACES"
FULL_VARIABLE = "QUINCESLIP_TRACES_FULL"

_played: Counter[str] = Counter()


class Trace:
    """A running digest over all messages of one world, and their text where that is asked for."""

    def __init__(self, text: IO[str] | None = None) -> None:
        self.digest = hashlib.sha256()
        self.messages = 0
        self._text = text

    def write(self, now_us: int, controller: str, direction: str, other: str, *said: Any) -> None:
        """Add one message: when, at which controller, whether it came or went, the other end, and what was said."""
        line = msgspec.json.encode([now_us, controller, direction, other, *said]) + b"\n"
        self.digest.update(line)
        self.messages += 1
        if self._text is not None:
            self._text.write(line.decode())


@contextmanager
def open_trace() -> Iterator[Trace | None]:
    """The trace of one world, named after the test that runs and how many worlds it has had before."""
    folder = os.environ.get(FOLDER_VARIABLE)
    if not folder:
        yield None
        return
    test = re.sub(r"[^A-Za-z0-9_.-]+", "-", os.environ.get("PYTEST_CURRENT_TEST", "none").rpartition(" ")[0])
    test = test.rpartition("py-")[2]
    _played[test] += 1
    path = Path(folder) / f"{test.strip('-')}.{_played[test]}"
    path.parent.mkdir(parents=True, exist_ok=True)
    text = path.with_name(path.name + ".jsonl").open("w") if os.environ.get(FULL_VARIABLE) else None
    trace = Trace(text)
    try:
        yield trace
    finally:
        if text is not None:
            text.close()
        if trace.messages:
            path.with_name(path.name + ".digest").write_text(f"{trace.messages} {trace.digest.hexdigest()}\n")


def differences(before: Path, after: Path) -> list[str]:
    """Names of traces that both folders have and whose digests differ, and of those that only `before` has."""
    found = []
    for path in sorted(before.glob("*.digest")):
        other = after / path.name
        if not other.exists():
            found.append(f"missing: {path.stem}")
        elif other.read_text() != path.read_text():
            found.append(f"differs: {path.stem}")
    return found


def main() -> int:
    """Print the differences between two folders of traces; the exit status is 1 where there are any."""
    before, after = map(Path, sys.argv[1:3])
    found = differences(before, after)
    compared = len(list(before.glob("*.digest")))
    print(*found, f"{compared} traces compared, {len(found)} differ", sep="\n")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
