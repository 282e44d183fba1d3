"""The interface between the control socket's server and its commands."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from struct import Struct
from typing import Final, NamedTuple, TypeAlias

from winchspan.control.protocol import JsonValue

_CREDENTIALS: Final = Struct("3i")  # pid, uid and gid of a peer, as SO_PEERCRED returns them (unix(7))


class PeerCredentials(NamedTuple):
    """Process and user ID of a connection's peer, as reported by the kernel."""

    pid: int
    uid: int

    def __str__(self) -> str:
        return f"uid {self.uid} (pid {self.pid})"


def peer_credentials(sock: socket.socket) -> PeerCredentials:
    """Return the credentials of the process at the other end of a Unix-domain socket."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    pid, uid, _ = _CREDENTIALS.unpack(credentials)
    return PeerCredentials(pid, uid)


class CommandResult(NamedTuple):
    """The outcome of a command.

    Attributes:
        data: return value of the command; None if it failed.
        error: cause of the failure, in one line; empty on success.
    """

    data: JsonValue = None
    error: str = ""


class CommandCall(NamedTuple):
    """One execution of a command.

    Attributes:
        arguments: the command's arguments, not validated.
        peer: credentials of the client.
        respond: callback that sends the result, now or later; only its first call has an effect.
    """

    arguments: Mapping[str, JsonValue]
    peer: PeerCredentials
    respond: Callable[[CommandResult], None]


Command: TypeAlias = Callable[[CommandCall], None]
"""A function that executes a call; it may raise `ControlError` instead of responding."""
