"""Delays the first decisions of a process that has taken over until it has read what it adopted."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from winchspan.net.connection_pool import HttpConnectionPool
from winchspan.runtime.clock import Clock
from winchspan.runtime.timers import TimerQueue

MAX_DELAY_MS: Final = 50.0
POLL_INTERVAL_MS: Final = 2.0


class AdoptionGate:
    """Waits until the input of adopted calls has been read.

    Responses that came during the hand-over are still unread: their calls must not be judged as overdue, and
    they may ask for a wait that binds already.
    """

    def __init__(
        self,
        connections: HttpConnectionPool,
        clock: Clock,
        timers: TimerQueue,
        on_open: Callable[[], None],
    ) -> None:
        """Create a gate.

        Args:
            connections: the pool with the adopted connections.
            clock: the courier's clock.
            timers: the courier's timers.
            on_open: called once their input has been read, or after `MAX_DELAY_MS`.
        """
        self._connections = connections
        self._clock = clock
        self._timers = timers
        self._on_open = on_open
        self._opens_at_ms = 0.0

    def start(self) -> None:
        """Start to wait."""
        self._opens_at_ms = self._clock.now() + MAX_DELAY_MS
        self._timers.call_later(POLL_INTERVAL_MS, self._poll)

    def _poll(self) -> None:
        if self._connections.has_unread_adopted_call() and self._clock.now() < self._opens_at_ms:
            self._timers.call_later(POLL_INTERVAL_MS, self._poll)
        else:
            self._on_open()
