"""Parses the header lines of HTTP messages into a plain dictionary.

`http.server` and `http.client` parse headers with `email.parser`, which costs more than the rest of the work for a
heartbeat. Only names and values are needed here.
"""

from typing import Protocol

#: a longer header line, or more header lines, are rejected with status 431
MAX_LINE_BYTES = 64 * 1024
MAX_LINES = 100


class LineReader(Protocol):
    """A stream to read header lines from."""

    def readline(self, size: int = ..., /) -> bytes:
        """Return one line with its line end, or its first `size` bytes; empty at end of stream."""


class HeaderError(ValueError):
    """The headers are malformed (`status` 400) or too large (431)."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Headers(dict[str, str]):
    """Values by lower-case name; `get` ignores case. The values of repeated headers are joined with commas."""

    def get(self, name: str, default: str | None = None) -> str | None:  # type: ignore[override]
        """Return the value of a header; the case of `name` doesn't matter."""
        return super().get(name.lower(), default)


def read_headers(source: LineReader) -> Headers:
    """Read headers up to and including the empty line; raises `HeaderError`."""
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
    """Parse one header line; raises `HeaderError`.

    A repeated length is rejected even if both are equal: parsers that choose differently would see different messages.
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
