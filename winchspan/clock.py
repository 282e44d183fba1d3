"""The one clock: float milliseconds, settable in tests, and the conversion to the module's nanoseconds."""

from __future__ import annotations

import time

NS_PER_MS = 1_000_000


def to_ns(ms: float) -> int:
    """Milliseconds as the decision module's whole nanoseconds."""
    return int(ms * NS_PER_MS)


def to_ms(ns: int) -> float:
    """The decision module's nanoseconds as milliseconds."""
    return ns / NS_PER_MS


class Clock:
    """Reads the system's clocks."""

    def now(self) -> float:
        """Milliseconds that only move forward; comparable within one process."""
        return time.monotonic() * 1_000.0

    def unix(self) -> float:
        """Unix time in milliseconds, for what must survive a restart."""
        return time.time() * 1_000.0


class SetClock(Clock):
    """Stands still until a test moves it."""

    def __init__(self, now: float = 1_000_000.0, unix: float = 1_700_000_000_000.0) -> None:
        self._now, self._unix = now, unix

    def now(self) -> float:
        """The reading last set."""
        return self._now

    def unix(self) -> float:
        """Unix time, moved along with the reading."""
        return self._unix

    def advance(self, ms: float) -> None:
        """Move both readings forward."""
        self._now += ms
        self._unix += ms
