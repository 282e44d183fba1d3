"""Retry-After waits of destinations, shared by the couriers of a cluster."""

from __future__ import annotations

from typing import Final

MAX_DESTINATIONS: Final = 2_000  # maximum number of destinations with stored waits
MAX_RETRY_AFTER_MS: Final = 600_000.0  # longer waits are truncated to this value


class SharedBackoff:
    """One courier's view of the destinations' waits; times are readings of the local clock in ms."""

    def __init__(self) -> None:
        self._until_ms: dict[int, float] = {}  # end of the wait by destination

    def record_retry_after(self, now: float, destination: int, retry_after_ms: float) -> bool:
        """Record a Retry-After of a destination; return whether it extends the destination's wait."""
        until_ms = now + min(retry_after_ms, MAX_RETRY_AFTER_MS)
        if not retry_after_ms > 0.0 or until_ms <= self._until_ms.get(destination, 0.0):
            return False
        if len(self._until_ms) >= MAX_DESTINATIONS:
            self._until_ms = {known: until for known, until in self._until_ms.items() if until > now}
            if len(self._until_ms) >= MAX_DESTINATIONS:
                del self._until_ms[min(self._until_ms, key=self._until_ms.__getitem__)]
        self._until_ms[destination] = until_ms
        return True

    def remaining_ms(self, now: float, destination: int) -> float:
        """Return the remaining wait of a destination, ms; 0 if it has none."""
        return max(0.0, self._until_ms.get(destination, 0.0) - now)

    def active_waits(self, now: float) -> list[tuple[int, float]]:
        """Return destination and remaining ms of all waits that have not ended."""
        return [
            (destination, until_ms - now)
            for destination, until_ms in self._until_ms.items()
            if until_ms > now
        ]
