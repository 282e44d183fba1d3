"""Callbacks that run right after each poll of the event loop, before any socket is read or written."""

from __future__ import annotations

from collections.abc import Callable

from winchspan.net.connection_pool import HttpConnectionPool
from winchspan.runtime.system import System


class PollGuard:
    """Runs callbacks after each poll while an HTTP call is partially written.

    When a process that was stopped during a call resumes, its event loop would otherwise write the rest of
    the call before it runs any timer.
    """

    def __init__(self, system: System, connections: HttpConnectionPool) -> None:
        self._system = system
        self._connections = connections
        self._callbacks: list[Callable[[], None]] = []

    def add(self, callback: Callable[[], None]) -> None:
        """Add a callback to run after each poll while a call is partially written."""
        self._callbacks.append(callback)
        self._system.poll_monitor.after_poll = self._after_poll

    def close(self) -> None:
        """Stop running callbacks."""
        self._system.poll_monitor.after_poll = None

    def _after_poll(self) -> None:
        for callback in self._callbacks if self._connections.partially_written else ():
            callback()
