"""The operators' HTTP server: accepts a bounded number of connections and executes their requests."""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus
from typing import Final

from loguru import logger

from winchspan.admin.connection import AdminConnection
from winchspan.admin.operations import OperationResult, Operations
from winchspan.admin.request import AdminRequest
from winchspan.admin.routes import handle_request
from winchspan.runtime.system import Listener
from winchspan.runtime.timers import TimerQueue

MAX_CONNECTIONS: Final = 16
"""Maximum number of open connections."""

ACCEPT_RETRY_SECONDS: Final = 0.1
"""Delay before the next accept after the system has failed to accept."""


class AdminServer:
    """Accepts operators' connections.

    Attributes:
        timers: timer queue of the courier.
    """

    def __init__(self, operations: Operations, timers: TimerQueue) -> None:
        self.timers = timers
        self._operations = operations
        self._connections: dict[AdminConnection, None] = {}  # ordered set, oldest connection first
        self._loop: asyncio.AbstractEventLoop | None = None
        self._listener: Listener | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self, loop: asyncio.AbstractEventLoop, listener: Listener) -> int:
        """Take ownership of a listening socket, accept its connections and return its port."""
        self._loop = loop
        self._listener = listener
        self._start_accepting()
        return int(listener.getsockname()[1])

    def handle(self, request: AdminRequest) -> OperationResult:
        """Execute the operation of a request; an unexpected exception results in status 500."""
        try:
            return handle_request(self._operations, request)
        except Exception:  # the client needs a response to a request that fails unexpectedly
            logger.exception("admin: {} {} failed", request.method, request.path)
            return OperationResult(HTTPStatus.INTERNAL_SERVER_ERROR, "internal error\n")

    def remove(self, connection: AdminConnection) -> None:
        """Unregister a closed connection."""
        self._connections.pop(connection, None)

    def close(self) -> None:
        """Stop listening and close all connections; further calls have no effect."""
        if self._listener is not None and self._loop is not None:
            self._loop.remove_reader(self._listener)  # type: ignore[arg-type]  # has fileno()
            self._listener.close()
            self._listener = None
        for connection in list(self._connections):
            connection.close()

    def _start_accepting(self) -> None:
        if self._loop is not None and self._listener is not None:
            self._loop.add_reader(self._listener, self._accept)  # type: ignore[arg-type]  # has fileno()

    def _accept(self) -> None:
        """Accept pending connections, at most `MAX_CONNECTIONS` per call."""
        assert self._loop is not None
        assert self._listener is not None
        for _ in range(MAX_CONNECTIONS):
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as err:
                logger.error("admin: cannot accept: {}", err)
                self._loop.remove_reader(self._listener)  # type: ignore[arg-type]  # has fileno()
                self._loop.call_later(ACCEPT_RETRY_SECONDS, self._start_accepting)
                return
            sock.setblocking(False)
            self._evict_excess()
            connection = AdminConnection(self)
            self._connections[connection] = None
            task = self._loop.create_task(self._connect(self._loop, connection, sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _evict_excess(self) -> None:
        """Close connections to admit a new one: answered ones first, then the oldest without a request.

        Without it, clients that send no request could block others.
        """
        excess_count = max(0, len(self._connections) - MAX_CONNECTIONS + 1)
        by_preference = sorted(self._connections, key=lambda connection: not connection.is_answered)
        for connection in by_preference[:excess_count]:
            connection.close()
            self.remove(connection)

    async def _connect(
        self, loop: asyncio.AbstractEventLoop, connection: AdminConnection, sock: socket.socket
    ) -> None:
        try:
            await loop.connect_accepted_socket(lambda: connection, sock)
        except OSError as err:
            logger.warning("admin: connection failed: {}", err)
            self.remove(connection)
