"""The interface that the emulated network requires of processes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

LOCALHOST: Final = "127.0.0.1"
"""The IP address of every emulated host; hosts are distinguished by port."""


class NetworkProcess(Protocol):
    """A process that owns connections and sockets."""

    @property
    def host(self) -> str:
        """The name of the machine on which it runs."""

    @property
    def is_alive(self) -> bool:
        """Whether it has not ended."""

    def defer_while_suspended(self, action: Callable[[], None]) -> bool:
        """Defer an action until the process is resumed.

        Returns:
            True if the process is suspended and the action has been deferred; False if the caller has to
            perform the action itself.
        """
