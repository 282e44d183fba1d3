"""The control socket's server: checks the permission of clients and dispatches requests to commands."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Final

from loguru import logger

from winchspan.control.command_call import Command, CommandCall, CommandResult, PeerCredentials
from winchspan.control.connection import ControlConnection
from winchspan.control.protocol import ControlError
from winchspan.runtime.timers import TimerQueue

MAX_CONNECTIONS: Final = 8
"""Maximum number of open connections."""

_ROOT_UID: Final = 0
_SOCKET_MODE: Final = 0o600
_SOCKET_UMASK: Final = 0o177


class ControlServer:
    """Listens on a socket file that only the courier's user and root may use.

    Attributes:
        timers: timer queue of the courier.
        rejected_count: number of connections rejected for their user or for the limit on connections.
    """

    def __init__(self, path: Path, commands: Mapping[str, Command], timers: TimerQueue) -> None:
        """Create a server that does not listen yet.

        Args:
            path: path of the socket file.
            commands: commands by name.
            timers: timer queue of the courier.
        """
        self.timers = timers
        self.rejected_count = 0
        self._path = path
        self._commands = commands
        self._connections: set[ControlConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen, replacing the socket file of a previous process.

        Raises:
            OSError: if the path cannot be bound, for example because it is a regular file.
        """
        if self._path.is_socket():
            self._path.unlink()
        previous_umask = os.umask(_SOCKET_UMASK)  # other users have no access even before chmod
        try:
            loop = asyncio.get_running_loop()
            self._server = await loop.create_unix_server(
                lambda: ControlConnection(self), str(self._path), backlog=MAX_CONNECTIONS
            )
        finally:
            os.umask(previous_umask)
        os.chmod(self._path, _SOCKET_MODE)

    def admit(self, connection: ControlConnection, peer: PeerCredentials) -> bool:
        """Register a connection if its user and the limit permit it; return whether they do."""
        if peer.uid not in (_ROOT_UID, os.geteuid()) or len(self._connections) >= MAX_CONNECTIONS:
            self.rejected_count += 1
            logger.bind(event="control_refused").warning("control: refused {}", peer)
            return False
        self._connections.add(connection)
        return True

    def remove(self, connection: ControlConnection) -> None:
        """Unregister a closed connection."""
        self._connections.discard(connection)

    def execute(self, name: str, call: CommandCall) -> None:
        """Execute a command; an unexpected exception is reported to the client as an internal error."""
        command = self._commands.get(name)
        if command is None:
            names = ", ".join(sorted(self._commands))
            call.respond(CommandResult(error=f"unknown command {name!r:.60}; there are {names}"))
            return
        try:
            command(call)
        except ControlError as err:
            call.respond(CommandResult(error=str(err)))
        except Exception:  # the client needs a reply to a command that fails unexpectedly
            logger.exception("control: {} failed", name)
            call.respond(CommandResult(error="internal error"))

    def close(self) -> None:
        """Stop listening and close all connections; further calls have no effect."""
        if self._server is not None:
            self._server.close()
            self._server = None
            self._path.unlink(missing_ok=True)
        for connection in list(self._connections):
            connection.close()
