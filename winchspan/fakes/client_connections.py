"""The fake clients' RESP2 connections to couriers: a pool of idle ones, and new ones on demand."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple

from winchspan.fakes.clients import Clients, Message
from winchspan.fakes.scenario import LoadBalancer
from winchspan.fakes.sockets import HOST
from winchspan.runtime.clock import Clock

ANSWER_TIMEOUT_SECONDS: Final = 0.4
RETRY_AFTER_BROKEN_CONNECTION_MS: Final = 100.0


class _Connection(NamedTuple):
    """A connection to a courier."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def open(cls, port: int) -> _Connection:
        return cls(*await asyncio.open_connection(HOST, port))


def _format_submit(message: Message, left_ms: float, *, is_retry: bool) -> bytes:
    """Return the SUBMIT command for a message that expires in `left_ms`."""
    fields = (
        f"c={message.stream.cls},d={left_ms:.0f},k={message.idempotency_key},"
        f"dest={message.stream.destination}"
    )
    if is_retry:
        fields += ",r=1"
    message_id = message.id.encode()
    words = [b"SUBMIT", b"%016x" % message.key, message_id, fields.encode(), b"body of " + message_id]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class ClientConnections:
    """Submits the messages of the fake clients, and reports the couriers' answers to them.

    Attributes:
        clients: receive the answers.
        ports: of the couriers, by courier number.
    """

    def __init__(
        self, clients: Clients, clock: Clock, load_balancer: LoadBalancer, show: Callable[[str], None]
    ) -> None:
        """Create the pool without connections; `show` prints a line for each rejection."""
        self.clients = clients
        self.ports: list[int] = []
        self._clock = clock
        self._load_balancer = load_balancer
        self._show = show
        self._idle: dict[int, list[_Connection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def submit(self, message: Message, is_retry: bool) -> None:
        """Submit a message in a background task."""
        task = asyncio.get_running_loop().create_task(self._submit(message, is_retry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _submit(self, message: Message, is_retry: bool) -> None:
        message_id = message.id
        left_ms = message.deadline - self._clock.now()
        port = self.ports[self._load_balancer.choose_courier(message)]
        line = await self._exchange(port, _format_submit(message, left_ms, is_retry=is_retry))
        text = line.decode("latin-1").strip()
        if not line:
            self.clients.rejected(message_id, RETRY_AFTER_BROKEN_CONNECTION_MS)
        elif text.startswith("+"):
            self.clients.accepted(message_id)
        else:
            self._show(f"refused {message_id}: {text}")
            words = text.split()
            has_retry_after = words[0] == "-BUSY" and len(words) > 1
            self.clients.rejected(message_id, float(words[1]) if has_retry_after else 0.0)

    async def _exchange(self, port: int, command: bytes) -> bytes:
        """Return a courier's answer to a command; empty without an answer.

        The courier may have closed an idle connection. The command is then sent on a new one. After a timeout
        it is not sent again, since the first copy may still be in flight.
        """
        attempts: list[_Connection | None] = [None]
        if self._idle.get(port):
            attempts.insert(0, self._idle[port].pop())
        for idle_connection in attempts:
            try:
                connection = idle_connection or await _Connection.open(port)
            except OSError:  # also a timeout while connecting: nothing has been sent
                continue
            try:
                connection.writer.write(command)
                line = await asyncio.wait_for(connection.reader.readline(), ANSWER_TIMEOUT_SECONDS)
            except TimeoutError:
                connection.writer.transport.abort()
                return b""
            except OSError:
                continue
            if line:
                self._idle.setdefault(port, []).append(connection)
                return line
        return b""

    async def is_ready(self, port: int) -> bool:
        """Return whether the courier on a port answers PING."""
        try:
            connection = await _Connection.open(port)
            connection.writer.write(b"*1\r\n$4\r\nPING\r\n")
            line = await asyncio.wait_for(connection.reader.readline(), ANSWER_TIMEOUT_SECONDS)
        except (OSError, TimeoutError):
            return False
        connection.writer.close()
        return line == b"+PONG\r\n"

    def close(self) -> None:
        """Cancel submissions in progress, and reset all idle connections."""
        for task in self._tasks:
            task.cancel()
        for connections in self._idle.values():
            for connection in connections:
                connection.writer.transport.abort()
