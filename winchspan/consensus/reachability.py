"""When a leader gives way because a live member cannot reach it, while other members can.

A member that is cut off from the leader alone renews no lease and has nothing proposed. Its followers hear
the leader, so that nobody campaigns (4.2.3), and the cut would last as long as the network needs to heal.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

FIRST_BACKOFF_MS: Final = 5_000.0  # between two times that this node gives way; doubled each time
MAX_BACKOFF_MS: Final = 160_000.0  # where each member is cut off from another, no leader is better


class LeaderStepDown:
    """Decides when this node, as the leader, steps down in favour of a member that all can reach."""

    def __init__(self) -> None:
        """Start without having stepped down."""
        self._allowed_at_ms = float("-inf")
        self._backoff_ms = FIRST_BACKOFF_MS

    def decide(self, now: float, cut_off: Iterable[str]) -> str:
        """Return why the leader steps down now; empty: it stays.

        Args:
            now: clock reading, ms.
            cut_off: live members that only others reach.
        """
        names = sorted(cut_off)
        if not names or now < self._allowed_at_ms:
            return ""
        self._back_off(now)
        return f"only others reach {', '.join(names)}"

    def _back_off(self, now: float) -> None:
        is_first_in_long = now >= self._allowed_at_ms + MAX_BACKOFF_MS
        self._backoff_ms = FIRST_BACKOFF_MS if is_first_in_long else min(2 * self._backoff_ms, MAX_BACKOFF_MS)
        self._allowed_at_ms = now + self._backoff_ms
