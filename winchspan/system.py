"""What a courier takes from the system it runs on, so that an emulated one can stand in for it."""

from __future__ import annotations

import os
import socket
from collections.abc import Mapping
from typing import Any, Protocol

from winchspan.clock import Clock

BACKLOG = 512             # clients that the system keeps until they are accepted


class Listener(Protocol):
    """A socket that listens, without blocking; the loop tells by `add_reader` when somebody has come."""

    def accept(self) -> tuple[Any, Any]:
        """The next connection, for `connect_accepted_socket`; raises BlockingIOError if there is none."""

    def getsockname(self) -> Any:
        """Its address: host and port."""

    def close(self) -> None:
        """Listen no more."""


class System:
    """The real one."""

    def __init__(self, clock: Clock | None = None, environ: Mapping[str, str] = os.environ) -> None:
        self.clock, self.environ = clock or Clock(), environ
        self.keeper: Any = None       # makes the keeper of undelivered messages, where it may have no thread

    def listen(self, host: str, port: int) -> Listener:
        """Listen for clients at an address; raises OSError."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        found = socket.create_server((host, port), family=family, backlog=BACKLOG)
        found.setblocking(False)
        return found
