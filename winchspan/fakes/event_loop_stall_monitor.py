"""Measures stalls of an event loop, in which received data may have stayed unread."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

TICK_SECONDS: Final = 0.01
LATE_TICK_SECONDS: Final = 0.02  # delay of a tick from which the loop counts as stalled
CATCH_UP_SECONDS: Final = 0.05  # time in which a loop reads the pending data after a stall


class EventLoopStallMonitor:
    """Detects stalls of an event loop, caused by a blocking call or a busy machine."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        """Start to monitor the loop; must be called on its thread.

        Args:
            loop: event loop to monitor.
            clock: returns the time in seconds.
        """
        self._loop = loop
        self._clock = clock
        self._last_tick_at = clock()
        self._stalled_at = self._resumed_at = float("-inf")
        self._tick()

    def _tick(self) -> None:
        now = self._clock()
        if self._is_late(now):
            self._stalled_at, self._resumed_at = self._current_stall_begin(), now
        self._last_tick_at = now
        self._loop.call_later(TICK_SECONDS, self._tick)

    def _is_late(self, now: float) -> bool:
        return now - self._last_tick_at > TICK_SECONDS + LATE_TICK_SECONDS

    def _current_stall_begin(self) -> float:
        """Return the begin of a stall that is noticed now; one that follows another continues it.

        The data of a new connection is read in the iteration after that which accepts it, or a later one.
        """
        if self._last_tick_at - self._resumed_at <= CATCH_UP_SECONDS:
            return self._stalled_at
        return self._last_tick_at

    def max_read_delay_seconds(self) -> float:
        """Return an upper bound on how long data that is read now lay unread; 0 without a stall."""
        now = self._clock()
        if self._is_late(now):
            return now - self._current_stall_begin()
        if now - self._resumed_at <= CATCH_UP_SECONDS:
            return now - self._stalled_at
        return 0.0
