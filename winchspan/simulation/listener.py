"""A listening socket of the emulated network."""

from __future__ import annotations

import errno
from collections import deque
from collections.abc import Callable
from typing import Final

from winchspan.simulation.connection import ConnectionEnd
from winchspan.simulation.loop import EmulatedLoop
from winchspan.simulation.network_process import LOCALHOST, NetworkProcess

BACKLOG_LIMIT: Final = 512
"""Maximum of connections that wait to be accepted; further connection requests are dropped."""


class EmulatedListener:
    """A listening socket that implements `winchspan.runtime.system.Listener`.

    Attributes:
        process: the listening process.
        port: the port.
        host: the host name to which clients connect.
        on_connection: called with each new connection instead of adding it to the backlog.
        on_readable: called in each tick while a connection waits in the backlog.
    """

    def __init__(
        self,
        loop: EmulatedLoop,
        process: NetworkProcess,
        port: int,
        host: str,
        on_close: Callable[[EmulatedListener], None],
    ) -> None:
        self.process = process
        self.port = port
        self.host = host
        self.on_connection: Callable[[ConnectionEnd], None] | None = None
        self.on_readable: Callable[[], object] | None = None
        self._loop = loop
        self._on_close = on_close
        self._backlog: deque[ConnectionEnd] = deque()

    @property
    def is_full(self) -> bool:
        """Whether the backlog is full."""
        return len(self._backlog) >= BACKLOG_LIMIT

    @property
    def is_readable(self) -> bool:
        """Whether a connection waits in the backlog, and a reader is set to accept it."""
        return bool(self._backlog) and self.on_readable is not None

    def add_connection(self, connection: ConnectionEnd) -> None:
        """Pass a connection to `on_connection`, or add it to the backlog."""
        if self.on_connection is not None:
            self.on_connection(connection)
            return
        self._backlog.append(connection)
        self.schedule_notification()

    def schedule_notification(self) -> None:
        """Notify the reader in the next tick, and in each later tick while a connection waits."""
        if self.is_readable and self.process.is_alive:
            self._loop.call_soon(self._notify_reader)

    def _notify_reader(self) -> None:
        if self.process.defer_while_suspended(self._notify_reader):
            return
        if self._backlog and self.on_readable is not None and self.process.is_alive:
            self.on_readable()
            self.schedule_notification()

    def accept(self) -> tuple[ConnectionEnd, tuple[str, int]]:
        """Return the next waiting connection, and its client's address.

        Raises:
            BlockingIOError: if no connection waits.
        """
        while self._backlog:
            connection = self._backlog.popleft()
            if not connection.is_closed:
                return connection, (LOCALHOST, 0)
        raise BlockingIOError(errno.EAGAIN, "no connection waits")

    def getsockname(self) -> tuple[str, int]:
        """Return its address."""
        return LOCALHOST, self.port

    def close(self) -> None:
        """Stop listening, and reset the waiting connections."""
        self._on_close(self)
        self.on_readable = None
        self.on_connection = None
        while self._backlog:
            self._backlog.popleft().abort()
