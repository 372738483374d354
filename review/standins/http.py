"""A small HTTP/1.1 server and client on asyncio, for loopback addresses only."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

#: longest request body of the protocol
MAX_BODY_BYTES = 64 * 1024
#: status and body of an answer; None: the request gets no answer
Answer = tuple[int, Any] | None
Handler = Callable[[str, str, bytes], Awaitable[Answer]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Read one request or response; returns its first line and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    length = 0
    for line in lines:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return first, await reader.readexactly(length) if length else b""


def encode(body: Any) -> bytes:
    """Return the bytes of a body; bytes are sent as they are."""
    return body if isinstance(body, bytes) else json.dumps(body).encode()


class Server:
    """Serves requests on a free loopback port, one at a time on each connection."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the port."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, body = await read_message(reader)
                method, path, _ = line.split(" ")
                answer = await self.handler(method, path, body)
                if answer is None:
                    break
                data = encode(answer[1])
                head = (
                    f"HTTP/1.1 {answer[0]} -\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass  # the client is gone, or the case is over
        finally:
            writer.close()


async def request(port: int, method: str, path: str, body: Any = None, timeout_s: float = 5.0) -> tuple[int, Any]:
    """Send one request on a new connection; returns status and decoded body, status 0 without an answer."""
    try:
        return await asyncio.wait_for(_request(port, method, path, body), timeout_s)
    except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
        return 0, None


async def _request(port: int, method: str, path: str, body: Any) -> tuple[int, Any]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2**20)
    try:
        data = b"" if body is None else encode(body)
        head = f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\nContent-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        line, answer = await read_message(reader)
        if len(answer) > MAX_BODY_BYTES:
            raise ValueError("an answer with a line longer than 64 KiB")
        return int(line.split(" ")[1]), json.loads(answer) if answer else None
    finally:
        writer.close()
