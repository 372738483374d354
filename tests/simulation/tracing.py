"""Traces of all messages to and from controllers, to compare the behaviour of two versions of the source.

The simulated world runs in virtual time from a seed, so equal behaviour gives byte-identical traces. If the environment
variable `QUINCESLIP_TRACES` names a folder, every scenario and every example of a random day writes a digest there, and
with `QUINCESLIP_TRACES_FULL=1` the full text as well. `python -m tests.simulation.tracing BEFORE AFTER` compares two
folders; record both with `PYTHONHASHSEED=0`. Only data on the wire is traced, so renames in the source don't affect it.
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

FOLDER_ENV = "QUINCESLIP_TRACES"
FULL_TEXT_ENV = "QUINCESLIP_TRACES_FULL"

_worlds_by_test: Counter[str] = Counter()


class Trace:
    """A running digest over all messages of one world, and optionally their text."""

    def __init__(self, text: IO[str] | None = None) -> None:
        self.digest = hashlib.sha256()
        self.messages = 0
        self._text = text

    def write(self, now_us: int, controller: str, direction: str, other: str, *contents: Any) -> None:
        """Add one message: its time, the controller, the direction, the other end, and the contents."""
        line = msgspec.json.encode([now_us, controller, direction, other, *contents]) + b"\n"
        self.digest.update(line)
        self.messages += 1
        if self._text is not None:
            self._text.write(line.decode())


@contextmanager
def open_trace() -> Iterator[Trace | None]:
    """Open the trace of one world, named after the running test and the number of the world within it."""
    folder = os.environ.get(FOLDER_ENV)
    if not folder:
        yield None
        return
    test = re.sub(r"[^A-Za-z0-9_.-]+", "-", os.environ.get("PYTEST_CURRENT_TEST", "none").rpartition(" ")[0])
    test = test.rpartition("py-")[2]
    _worlds_by_test[test] += 1
    path = Path(folder) / f"{test.strip('-')}.{_worlds_by_test[test]}"
    path.parent.mkdir(parents=True, exist_ok=True)
    text = path.with_name(path.name + ".jsonl").open("w") if os.environ.get(FULL_TEXT_ENV) else None
    trace = Trace(text)
    try:
        yield trace
    finally:
        if text is not None:
            text.close()
        if trace.messages:
            path.with_name(path.name + ".digest").write_text(f"{trace.messages} {trace.digest.hexdigest()}\n")


def differences(before: Path, after: Path) -> list[str]:
    """List the traces whose digests differ between the folders, and those that are missing in `after`."""
    found = []
    for path in sorted(before.glob("*.digest")):
        other = after / path.name
        if not other.exists():
            found.append(f"missing: {path.stem}")
        elif other.read_text() != path.read_text():
            found.append(f"differs: {path.stem}")
    return found


def main() -> int:
    """Print the differences between two folders of traces; the exit status is 1 if there are any."""
    before, after = map(Path, sys.argv[1:3])
    found = differences(before, after)
    compared = len(list(before.glob("*.digest")))
    print(*found, f"{compared} traces compared, {len(found)} differ", sep="\n")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
