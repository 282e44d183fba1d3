"""Logging to standard error, with a limit on the number of lines in each time window."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final

from loguru import logger

from winchspan.runtime.clock import Clock

if TYPE_CHECKING:
    from loguru import Record

MAX_LINES_PER_WINDOW: Final = 100
DEBUG_LIMIT_MULTIPLE: Final = 100
WINDOW_MS: Final = 10_000.0


class LogRateLimiter:
    """A log filter that passes a limited number of lines per time window.

    The first line of the next window states how many were dropped. This bounds the size of the log, and the
    time spent on it, when a peer misbehaves.
    """

    def __init__(self, clock: Clock, max_lines: int = MAX_LINES_PER_WINDOW) -> None:
        self._clock = clock
        self._max_lines = max_lines
        self._window_start_ms = clock.now()
        self._line_count = 0

    def __call__(self, record: Record) -> bool:
        """Return whether the log line is written."""
        if self._clock.now() - self._window_start_ms >= WINDOW_MS:
            self._start_window(record)
        self._line_count += 1
        return self._line_count <= self._max_lines

    def _start_window(self, record: Record) -> None:
        """Start the next window, and add the number of dropped lines to its first line."""
        dropped_count = self._line_count - self._max_lines
        if dropped_count > 0:
            record["message"] += f" ({dropped_count} earlier lines dropped)"
        self._window_start_ms = self._clock.now()
        self._line_count = 0


def configure_logging(level: str) -> None:
    """Write log lines of a level and above to standard error."""
    max_lines = MAX_LINES_PER_WINDOW
    if level == "DEBUG":
        max_lines *= DEBUG_LIMIT_MULTIPLE
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format="{time:HH:mm:ss.SSS} {level} {message}",
        filter=LogRateLimiter(Clock(), max_lines),
        backtrace=False,
        diagnose=False,
    )
