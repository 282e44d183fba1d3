"""The sockets that a process may have open."""

from __future__ import annotations


class SocketBudget:
    """Counts open sockets against the process's limit.

    Attributes:
        limit: how many may be open.
        open_count: how many are open.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.open_count = 0

    def available(self) -> int:
        """Return how many more may be opened."""
        return self.limit - self.open_count
