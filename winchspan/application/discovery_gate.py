"""Delays the first attempts of a process until discovery has answered."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from winchspan.net.discovery_watch import DiscoveryWatch
from winchspan.runtime.clock import Clock
from winchspan.runtime.timers import TimerQueue

FIRST_SNAPSHOT_TIMEOUT_MS: Final = 100.0  # the local agent answers at once or not at all
FIRST_EVENT_TIMEOUT_MS: Final = (
    20.0  # after the response head; without changes, the first event comes after 2 s
)
POLL_INTERVAL_MS: Final = 2.0


class DiscoveryGate:
    """Waits for discovery's first update after a start.

    A process that is slow to start must not send to endpoints that only its configuration still lists. The
    agent's endpoint list counts as known from the start of the process, and only calls that are sent within
    250 ms of the start count as already under way.
    """

    def __init__(
        self, watch: DiscoveryWatch, clock: Clock, timers: TimerQueue, on_open: Callable[[], None]
    ) -> None:
        self._watch = watch
        self._clock = clock
        self._timers = timers
        self._on_open = on_open
        self._started_ms = 0.0
        self._answered_ms = 0.0  # when the response head was first seen; 0 if it was not

    def start(self) -> None:
        """Start to wait."""
        self._started_ms = self._clock.now()
        self._poll()

    def _poll(self) -> None:
        now = self._clock.now()
        if self._watch.has_response_head and not self._answered_ms:
            self._answered_ms = now
        if self._is_settled(now):
            self._on_open()
        else:
            self._timers.call_later(POLL_INTERVAL_MS, self._poll)

    def _is_settled(self, now: float) -> bool:
        return (
            self._watch.has_received
            or now >= self._started_ms + FIRST_SNAPSHOT_TIMEOUT_MS
            or 0.0 < self._answered_ms <= now - FIRST_EVENT_TIMEOUT_MS
        )
