"""Local health multiplier (Lifeguard, "local health"): a slow node suspects others later."""

from __future__ import annotations

from winchspan.membership.config import MAX_LOCAL_HEALTH


class LocalHealth:
    """Saturating score of evidence that the local node is slow; 0 is healthy.

    Attributes:
        score: current score, 0 to MAX_LOCAL_HEALTH.
    """

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor on the probe interval and the probe timeout."""
        return 1 + self.score

    def degrade(self, steps: int = 1) -> None:
        """Count evidence that the local node is slow."""
        self.score = min(MAX_LOCAL_HEALTH, self.score + steps)

    def recover(self) -> None:
        """Count evidence that the local node is on time."""
        self.score = max(0, self.score - 1)
