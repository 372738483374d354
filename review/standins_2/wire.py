"""A small HTTP/1.1 server and client on asyncio, for the stand-ins; every body is JSON."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

#: called with method, path, query and body; returns the status and the body, which may be encoded already
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[tuple[int, Any]]]

_REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone", 429: "Too Many Requests"}


def encode(body: Any) -> bytes:
    """Return a body as bytes; bytes stay as they are."""
    return body if isinstance(body, bytes) else json.dumps(body, separators=(",", ":")).encode()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read a request or a response; None if the other side closed the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head[:-4].split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length") or 0))


class Server:
    """Serves one handler on a free port of the loopback interface."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**24)
        self.port = server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                path, _, text = target.partition("?")
                query = {name: values[-1] for name, values in parse_qs(text, keep_blank_values=True).items()}
                body = json.loads(message[2]) if message[2] else None
                status, answer = await self.handler(method, path, query, body)
                data = encode(answer)
                head = f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
                writer.write(head.encode() + f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                if message[1].get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Client:
    """A connection to one server, opened again where needed; one request at a time."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.timeout_s = timeout_s
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Return status and body of the answer; status 0 if there was none in time."""
        data = b"" if body is None else encode(body)
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\nContent-Length: {len(data)}\r\n\r\n".encode()
        try:
            answer = await asyncio.wait_for(self._exchange(head + data), self.timeout_s)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = None
        if answer is None:
            self.close()
            return 0, None
        status, headers, text = int(answer[0].split(" ")[1]), answer[1], answer[2]
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, json.loads(text) if text else None

    async def _exchange(self, data: bytes) -> tuple[str, dict[str, str], bytes] | None:
        if self._streams is None:
            self._streams = await asyncio.open_connection(self.host, self.port, limit=2**24)
        reader, writer = self._streams
        writer.write(data)
        await writer.drain()
        return await read_message(reader)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            with contextlib.suppress(OSError, RuntimeError):
                self._streams[1].close()
            self._streams = None
