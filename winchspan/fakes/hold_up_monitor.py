"""Tells for how long an event loop has not run, and may have left unread what had arrived."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

TICK_SECONDS: Final = 0.01
LATE_TICK_SECONDS: Final = 0.02  # later than this the loop was held up
CATCH_UP_SECONDS: Final = 0.05  # in which a loop that runs again reads what had arrived


class HoldUpMonitor:
    """Notes when its event loop was held up, by a call that blocks or on a busy machine."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        """Start to watch.

        Args:
            loop: that is watched, on its own thread.
            clock: its readings are in seconds.
        """
        self._loop = loop
        self._clock = clock
        self._ticked_at = clock()
        self._held_up_at = self._ran_again_at = float("-inf")
        self._tick()

    def _tick(self) -> None:
        now = self._clock()
        if self._is_late(now):
            self._held_up_at, self._ran_again_at = self._ticked_at, now
        self._ticked_at = now
        self._loop.call_later(TICK_SECONDS, self._tick)

    def _is_late(self, now: float) -> bool:
        return now - self._ticked_at > TICK_SECONDS + LATE_TICK_SECONDS

    def held_up_seconds(self) -> float:
        """Return for how long what is read now may have lain unread; 0 if the loop has run all the time."""
        now = self._clock()
        if self._is_late(now):
            return now - self._ticked_at
        if now - self._ran_again_at <= CATCH_UP_SECONDS:
            return now - self._held_up_at
        return 0.0
