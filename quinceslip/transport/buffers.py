"""Byte buffers between a non-blocking socket and `http.server`, which reads and writes files."""

import socket
import sys

#: bytes that are taken from a socket at a time
RECEIVE_BYTES = 16 * 1024


class IncompleteRequest(Exception):
    """A request of which not all bytes have arrived. Reading starts anew from its first byte when they have."""


class ReceiveBuffer:
    """What a connection has received; read like a file by the handler of one request.

    Where a blocking file would wait for the client, `readline` and `read` raise `IncompleteRequest`. So a client
    that sends slowly keeps a few bytes in memory, and no thread. At the end of the stream both return what is left.
    """

    __slots__ = ("_awaits_newline", "_bytes_needed", "_data", "_end_of_stream", "_position")

    def __init__(self) -> None:
        self._data = bytearray()
        self._position = 0
        self._end_of_stream = False
        # What must arrive before it is of use to read the request anew: so many bytes, or the end of a line.
        self._bytes_needed = 1
        self._awaits_newline = False

    def __len__(self) -> int:
        return len(self._data)

    def fill(self, source: socket.socket) -> None:
        """Take what has arrived at a non-blocking socket; raises `OSError` where the connection is broken."""
        try:
            received = source.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        self._data += received
        self._end_of_stream = not received
        if self._awaits_newline and b"\n" in received:
            self._bytes_needed = len(self._data)

    def worth_reading(self) -> bool:
        """Whether more of a request can be read than at the last attempt, or the stream has ended."""
        return self._end_of_stream or len(self._data) >= self._bytes_needed

    def rewind(self) -> None:
        """Go back to the first byte of the request."""
        self._position = 0

    def discard_read(self) -> None:
        """Forget the request that has been read; a pipelined one behind it stays."""
        del self._data[: self._position]
        self._position, self._bytes_needed, self._awaits_newline = 0, 1, False

    def readline(self, size: int = sys.maxsize, /) -> bytes:
        """One line with its end, or its first `size` bytes."""
        newline = self._data.find(b"\n", self._position, self._position + size)
        end = newline + 1 if newline >= 0 else self._position + size
        return self._take(end, awaits_newline=newline < 0)

    def read(self, size: int, /) -> bytes:
        """As many bytes as are asked for."""
        return self._take(self._position + size, awaits_newline=False)

    def _take(self, end: int, awaits_newline: bool) -> bytes:
        if end > len(self._data) and not self._end_of_stream:
            self._bytes_needed, self._awaits_newline = end, awaits_newline
            raise IncompleteRequest
        end = min(end, len(self._data))
        start, self._position = self._position, end
        return bytes(self._data[start:end])


class SendBuffer:
    """What is to be sent; written like a file by a handler, sent as far as the client takes it."""

    __slots__ = ("_data",)

    def __init__(self) -> None:
        self._data = b""

    def __len__(self) -> int:
        return len(self._data)

    def write(self, data: bytes) -> None:
        """Append `data`; nothing is sent yet."""
        self._data = self._data + data if self._data else data

    def flush(self) -> None:
        """For `http.server`; the event loop sends."""

    def send_to(self, target: socket.socket) -> None:
        """Send what a non-blocking socket takes; raises `OSError` where the connection is broken."""
        if not self._data:
            return
        try:
            sent = target.send(self._data)
        except BlockingIOError:
            return
        self._data = self._data[sent:]
