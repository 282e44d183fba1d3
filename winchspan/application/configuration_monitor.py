"""Watches the platform's file after a take-over, whose SIGHUP may reach the process that has ended."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from winchspan.config.platform import FileVersion, read_file_version
from winchspan.runtime.clock import Clock
from winchspan.runtime.timers import TimerQueue

CHECK_INTERVAL_MS: Final = 100.0
DURATION_MS: Final = 6_000.0
"""Time in which the platform learns that this process serves, and sends signals to it from then on."""


class ConfigurationMonitor:
    """Reloads a file that is replaced within `DURATION_MS` after a take-over, with or without a SIGHUP.

    Guards against a SIGHUP to the previous process at its end, which no process would act on.
    """

    def __init__(
        self,
        path: str,
        version: FileVersion | None,
        clock: Clock,
        timers: TimerQueue,
        reload: Callable[[], None],
    ) -> None:
        """Create a monitor that does not watch yet.

        Args:
            path: the file.
            version: its version that is in force.
            clock: the courier's clock.
            timers: the courier's timers.
            reload: reloads the file; a file that cannot be used changes nothing.
        """
        self._path = path
        self._version = version
        self._clock = clock
        self._timers = timers
        self._reload = reload
        self._ends_at_ms = 0.0

    def start(self) -> None:
        """Watch from now on."""
        self._ends_at_ms = self._clock.now() + DURATION_MS
        self._check()

    def _check(self) -> None:
        version = read_file_version(self._path)
        if version is not None and version != self._version:
            self._version = version
            self._reload()
        if self._clock.now() < self._ends_at_ms:
            self._timers.call_later(CHECK_INTERVAL_MS, self._check)
