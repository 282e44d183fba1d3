"""A minimal HTTP server on loopback, on which the fakes are built.

It implements the part of HTTP that the platform's protocol needs, with asyncio streams. It shares no code
with the courier.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

HOST: Final = "127.0.0.1"
MAX_REQUEST_BYTES: Final = 1 << 20
NO_CONTENT: Final = 204

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
"""Serves one connection until it ends."""


@dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request; return None at the end of the connection, or for a request that is too large."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    request_line, *lines = head.split("\r\n")
    method, path, _ = request_line.split(" ", 2)
    headers = {
        name.strip().lower(): value.strip()
        for name, colon, value in (line.partition(":") for line in lines)
        if colon
    }
    length = int(headers.get("content-length", "0"))
    if length > MAX_REQUEST_BYTES:
        return None
    try:
        return Request(method, path, headers, await reader.readexactly(length))
    except (asyncio.IncompleteReadError, OSError):
        return None


def answer(status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()) -> bytes:
    """Return an encoded HTTP response with its `Content-Length`."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    if status != NO_CONTENT:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """A server on loopback, and its open connections.

    Attributes:
        port: port on which it listens; 0 before `start`.
    """

    def __init__(self, serve: ConnectionHandler) -> None:
        self._serve = serve
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.StreamWriter, None] = {}  # in the order of acceptance
        self.port = 0

    async def start(self) -> None:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._run, HOST, 0, limit=MAX_REQUEST_BYTES)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers[writer] = None
        try:
            await self._serve(reader, writer)
        except (OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.pop(writer, None)
            writer.close()

    def break_all(self) -> None:
        """Reset all connections, as the exit of a process does."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.break_all()
