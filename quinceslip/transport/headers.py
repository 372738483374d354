"""Header lines of HTTP messages, read into a plain dictionary.

`http.server` and `http.client` hand each header block to `email.parser`, which costs more than all else that
is done for a heartbeat. Nothing here needs more of it than names and values.
"""

from typing import Protocol

#: a longer header line, and a block of more lines, is refused with 431
MAX_LINE_BYTES = 64 * 1024
MAX_LINES = 100


class Source(Protocol):
    """What header lines are read from."""

    def readline(self, size: int = ..., /) -> bytes:
        """One line with its end, or its first `size` bytes; empty at the end of the stream."""


class HeaderError(ValueError):
    """A block that is malformed (`status` 400) or larger than is read (431)."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Headers(dict[str, str]):
    """Values by lower-case name; `get` takes any case. Of repeated lines the values are joined by commas."""

    def get(self, name: str, default: str | None = None) -> str | None:  # type: ignore[override]
        """The value of a header line, whatever the case of its name."""
        return super().get(name.lower(), default)


def read_headers(source: Source) -> Headers:
    """Read up to and including the empty line; raises `HeaderError`."""
    headers = Headers()
    for _ in range(MAX_LINES + 1):
        line = source.readline(MAX_LINE_BYTES + 1)
        if line in (b"\r\n", b"\n", b""):
            return headers
        if len(line) > MAX_LINE_BYTES:
            raise HeaderError(431, "header line too long")
        _add_line(headers, line)
    raise HeaderError(431, "too many header lines")


def _add_line(headers: Headers, line: bytes) -> None:
    """Add one line; raises `HeaderError`.

    Repeated lengths are refused, however alike: two readers that choose differently would see two messages.
    """
    name, colon, value = line.decode("latin-1").partition(":")
    if not colon or not name or name != name.strip():
        raise HeaderError(400, "malformed header line")
    name, value = name.lower(), value.strip()
    if name not in headers:
        headers[name] = value
    elif name in ("content-length", "transfer-encoding"):
        raise HeaderError(400, f"{name} is given twice")
    else:
        headers[name] += ", " + value
