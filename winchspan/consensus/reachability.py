"""Decides when a leader steps down because a live member cannot reach it although other members can.

A member that cannot reach the leader cannot renew leases or propose commands. The other members have contact
with the leader, so no candidate can win an election (4.2.3), and without a step-down the outage would last
until the network recovers.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

FIRST_BACKOFF_MS: Final = 5_000.0  # between the first two step-downs of this node; then doubled
MAX_BACKOFF_MS: Final = 160_000.0  # if each member is unreachable for another one, no leader is better


class LeaderStepDown:
    """Decides when this node, as the leader, steps down in favour of a member that all members can reach."""

    def __init__(self) -> None:
        """Create the decision without an earlier step-down."""
        self._step_down_allowed_ms = float("-inf")
        self._backoff_ms = FIRST_BACKOFF_MS

    def decide(self, now: float, unreachable_members: Iterable[str]) -> str:
        """Return the reason for the leader to step down now; empty if it must not step down.

        Args:
            now: clock reading, ms.
            unreachable_members: live members that other members reach and this node does not.
        """
        names = sorted(unreachable_members)
        if not names or now < self._step_down_allowed_ms:
            return ""
        self._back_off(now)
        return f"only others reach {', '.join(names)}"

    def _back_off(self, now: float) -> None:
        is_backoff_expired = now >= self._step_down_allowed_ms + MAX_BACKOFF_MS
        self._backoff_ms = (
            FIRST_BACKOFF_MS if is_backoff_expired else min(2 * self._backoff_ms, MAX_BACKOFF_MS)
        )
        self._step_down_allowed_ms = now + self._backoff_ms
